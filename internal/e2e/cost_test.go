package e2e

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleygap/internal/client"
)

// clockTick is the unit of processor time in /proc.
const clockTick = 10 * time.Millisecond

// usage returns the processor time and the resident memory of a process.
func (p *process) usage(t *testing.T) (time.Duration, int) {
	read := func(file string) []string {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", p.command.Process.Pid, file))
		qt.Assert(t, err, qt.IsNil)
		return strings.Fields(string(data))
	}
	number := func(text string) int {
		n, err := strconv.Atoi(text)
		qt.Assert(t, err, qt.IsNil)
		return n
	}
	stat := read("stat")
	return time.Duration(number(stat[13])+number(stat[14])) * clockTick, number(read("statm")[1]) * os.Getpagesize()
}

// TestCost prints the processor time of an entry and an agent per generated token, per
// request and idle. It decides no verdict and runs only on request, since it takes a minute:
//
//	BRAMLEYGAP_COST=1 go test -run TestCost -count 1 -v ./internal/e2e
func TestCost(t *testing.T) {
	if os.Getenv("BRAMLEYGAP_COST") == "" {
		t.Skip("BRAMLEYGAP_COST is not set")
	}
	in := startSmall(t, 1, "", "entry0")
	measure := func(what string, requests, parallel, tokens int) {
		names := []string{"entry0", "agent-engine0"}
		var before [2]time.Duration
		for i, name := range names {
			before[i], _ = in.processes[name].usage(t)
		}
		start := time.Now()
		if requests == 0 {
			time.Sleep(10 * time.Second)
		}
		slots := make(chan struct{}, parallel)
		var running sync.WaitGroup
		for i := range requests {
			slots <- struct{}{}
			running.Go(func() {
				defer func() { <-slots }()
				request := completion(fmt.Sprintf("%s %d", what, i))
				request.MaxTokens, request.Stream = tokens, true
				if err := in.caller("entry0").Complete(t.Context(), request, &client.Completion{}, nil); err != nil {
					t.Errorf("request %d: %v", i, err)
				}
			})
		}
		running.Wait()
		for i, name := range names {
			used, memory := in.processes[name].usage(t)
			t.Logf("%s: %s: %v in %v, %d requests of %d tokens, %d KiB resident",
				what, name, used-before[i], time.Since(start).Round(time.Millisecond), requests, tokens, memory>>10)
		}
	}
	measure("idle", 0, 1, 0)
	measure("short", 400, 8, 1)
	measure("long", 48, 16, 500)
}
