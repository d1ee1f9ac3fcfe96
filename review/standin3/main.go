// Command review-standin3 plays the scripted cases of the third review: stand-ins of the users' platform, engines and
// clients around gateways of the project that run as separate processes.
//
//	review-standin3 CASE RECORD
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not be played. With TROUBLE=0
// in the environment, the case is played without its disruption.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Bounds of the deployment, as on the users' sheet of a small one.
const (
	drainTimeout = 2 * time.Second
	configApply  = 2 * time.Second
	contact      = 3 * time.Second
	outer        = 5 * time.Second
)

var (
	processes []*exec.Cmd
	started   = time.Now()
)

// record is what was sent, answered and run, in its order.
type record struct {
	mu   sync.Mutex
	file *os.File
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(started).Seconds(), fmt.Sprintf(format, args...))
}

// say adds a line to the record and prints it.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}

func endProcesses() {
	for _, p := range processes {
		_ = p.Process.Kill()
		_ = p.Wait()
	}
	processes = nil
}

func unable(format string, args ...any) {
	endProcesses()
	fmt.Fprintf(os.Stderr, "the case could not be played: "+format+"\n", args...)
	os.Exit(2)
}

func check(err error) {
	if err != nil {
		unable("%v", err)
	}
}

func main() {
	cases := map[string]func(c *playedCase) bool{"older-store": olderStore, "other-writer": otherWriter, "refused-text": refusedText, "added-text": addedText}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		unable("usage: review-standin3 CASE RECORD")
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		unable("interrupted")
	}()
	time.AfterFunc(115*time.Second, func() { unable("it took longer than 115 s") })
	file, err := os.Create(os.Args[2])
	check(err)
	folder, err := os.MkdirTemp("", "review-standin3-")
	check(err)
	c := &playedCase{log: &record{file: file}, folder: folder, trouble: os.Getenv("TROUBLE") != "0"}
	c.log.say("case %s, with the disruption: %v", os.Args[1], c.trouble)
	broken := cases[os.Args[1]](c)
	endProcesses()
	_ = os.RemoveAll(folder)
	if broken {
		c.log.say("the rule was broken")
		os.Exit(1)
	}
	c.log.say("the rule held")
}
