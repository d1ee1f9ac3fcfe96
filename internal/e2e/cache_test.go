package e2e

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleygap/internal/client"
)

// TestCacheHintReport prints the hit rate and the time to the first token of repeated long
// prompts, with cache events that are late and have gaps, and without cache events. It
// asserts no limit; run it with -v.
func TestCacheHintReport(t *testing.T) {
	if !testing.Verbose() {
		t.Skip("run with -v to print the report")
	}
	const documents, rounds = 8, 5
	for _, size := range []int{4000, 12000} {
		for name, delay := range map[string]string{"hints": "500ms", "no hints": "1h"} {
			in := startInstallationWith(t, engineOptions{version: "v1", extra: []string{
				"--prefill-per-token", "200us", "--cache-event-delay", delay, "--cache-gap-every", "7", "--slots", "4"}}, 4, "", "entry0")
			var firstTokens []time.Duration
			hits := 0
			for round := range rounds {
				for i := range documents {
					request := completion(strings.Repeat(fmt.Sprintf("document %d, page. ", i), size/18) + fmt.Sprintf("question %d", round))
					request.MaxTokens = 5
					var got client.Completion
					qt.Assert(t, in.caller("entry0").Complete(t.Context(), request, &got, nil), qt.IsNil)
					if round == 0 {
						continue
					}
					firstTokens = append(firstTokens, got.FirstToken)
					// On a miss, prefill takes at least 200 us for each of size/4 tokens.
					if got.FirstToken < time.Duration(size/4)*200*time.Microsecond {
						hits++
					}
				}
				time.Sleep(1500 * time.Millisecond)
			}
			total := time.Duration(0)
			for _, latency := range firstTokens {
				total += latency
			}
			t.Logf("prompt of %d bytes, %s: hit rate %.2f, first token mean %v", size, name, float64(hits)/float64(len(firstTokens)), total/time.Duration(len(firstTokens)))
			in.stop()
		}
	}
}
