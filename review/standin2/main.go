// Command review-standin-2 plays the scripted cases of a review: it starts the project's gateways and small stand-ins of
// engines, the platform's store and clients on loopback, and checks one rule from what they see.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) == 0 {
		fmt.Fprintln(os.Stderr, "usage: review-standin-2 CASE --record FILE")
		return 2
	}
	if args[0] == "engine" {
		return runEngine(args[1:])
	}
	play, known := cases[args[0]]
	flags := flag.NewFlagSet(args[0], flag.ContinueOnError)
	path := flags.String("record", "", "file to write the record to")
	if flags.Parse(args[1:]) != nil || !known || *path == "" {
		fmt.Fprintln(os.Stderr, "usage: review-standin-2 CASE --record FILE")
		return 2
	}
	file, err := os.Create(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = file.Close() }()
	r := &record{file: file}
	trouble := os.Getenv("TROUBLE") != "0"
	r.printf("case %s, disruption %v", args[0], trouble)
	broken, err := play(r, trouble)
	if err != nil {
		if !errors.Is(err, errCannotRun) {
			err = fmt.Errorf("%w: %w", errCannotRun, err)
		}
		r.printf("%v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if broken {
		r.printf("the rule was broken")
		return 1
	}
	r.printf("the rule was kept")
	return 0
}
