// Command standin runs the stand-ins of the review and the scripts that use them. It is a module
// of its own, so that the project's build and tests do not include it.
package main

import (
	"flag"
	"fmt"
	"os"
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standin store|engine|NAME OF A CASE [flags]")
		os.Exit(exitNotRun)
	}
	name, args := os.Args[1], os.Args[2:]
	switch name {
	case "store":
		flags := flag.NewFlagSet(name, flag.ExitOnError)
		listen := flags.String("listen", "", "host:port")
		_ = flags.Parse(args)
		runStore(*listen)
	case "engine":
		runEngine(parseEngineOptions(args))
	default:
		flags := flag.NewFlagSet(name, flag.ExitOnError)
		record := flags.String("record", "record.txt", "file for what was sent, answered and run")
		_ = flags.Parse(args)
		scenario, ok := cases[name]
		if !ok {
			fmt.Fprintln(os.Stderr, "unknown case", name)
			os.Exit(exitNotRun)
		}
		os.Exit(runCase(name, scenario, *record))
	}
}
