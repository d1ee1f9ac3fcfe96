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

// clockTick is the unit of CPU time in /proc.
const clockTick = 10 * time.Millisecond

// usage returns the CPU time and the resident memory in bytes of a process.
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

// TestCost prints the CPU time that an entry and an agent use when idle, for short requests
// and for long ones. It asserts no limit and runs only on request, since it takes a minute:
//
//	BRAMLEYGAP_COST=1 go test -run TestCost -count 1 -v ./internal/e2e
func TestCost(t *testing.T) {
	if os.Getenv("BRAMLEYGAP_COST") == "" {
		t.Skip("BRAMLEYGAP_COST is not set")
	}
	in := startInstallation(t, 1, "", "entry0")
	measure := func(name string, requests, parallel, tokens int) {
		processNames := []string{"entry0", "agent-engine0"}
		var cpuBefore [2]time.Duration
		for i, processName := range processNames {
			cpuBefore[i], _ = in.processes[processName].usage(t)
		}
		start := time.Now()
		if requests == 0 {
			time.Sleep(10 * time.Second)
		}
		slots := make(chan struct{}, parallel)
		var group sync.WaitGroup
		for i := range requests {
			slots <- struct{}{}
			group.Go(func() {
				defer func() { <-slots }()
				request := completion(fmt.Sprintf("%s %d", name, i))
				request.MaxTokens, request.Stream = tokens, true
				if err := in.caller("entry0").Complete(t.Context(), request, &client.Completion{}, nil); err != nil {
					t.Errorf("request %d: %v", i, err)
				}
			})
		}
		group.Wait()
		for i, processName := range processNames {
			cpu, memory := in.processes[processName].usage(t)
			t.Logf("%s: %s: %v in %v, %d requests of %d tokens, %d KiB resident",
				name, processName, cpu-cpuBefore[i], time.Since(start).Round(time.Millisecond), requests, tokens, memory>>10)
		}
	}
	measure("idle", 0, 1, 0)
	measure("short", 400, 8, 1)
	measure("long", 48, 16, 500)
}
