package router

import (
	"slices"
	"testing"
	"time"

	"bramleygap/internal/core/retry"
)

// noticeAfter is when the entries' membership views leave out a lost agent.
const noticeAfter = 3 * time.Second

// storm loses half of the agents at peak load and returns the tally of the minute after.
func storm(unlimited bool) tally {
	all := []int{0, 1, 2}
	d := newDriver(fair, len(all), 20,
		&demand{member: "a", share: 60, entries: all, outstanding: steady(180), prompt: 400, length: 200},
		&demand{member: "b", share: 40, entries: all, outstanding: steady(120), prompt: 400, length: 200})
	for at := time.Duration(0); at < 80*time.Second; at += step {
		if at == 20*time.Second {
			d.tally = newTally()
		}
		for i := 0; i < len(d.agents); i += 2 {
			d.agents[i].lost = at >= 20*time.Second
			d.agents[i].noticed = at >= 20*time.Second+noticeAfter
		}
		if unlimited {
			for _, e := range d.entries {
				e.service("s", d.now).budget = retry.NewBudget(d.now)
			}
		}
		d.step()
	}
	return d.tally
}

// Guards against retries beyond the budget when half of the engines are lost at peak load:
// for each entry a burst of 30, then 10% of its requests and 3 a second.
func TestRetriesAfterLossOfHalf(t *testing.T) {
	show := func(name string, o tally) {
		starts := slices.Concat(o.starts["a"], o.starts["b"])
		t.Logf("%-9s finished %d attempts %d retries %d start p50 %v p99 %v resumes %d p50 %v p99 %v refused %v waited %v", name,
			o.finished, o.attempts, o.retries, quantile(starts, 0.5), quantile(starts, 0.99),
			len(o.resumes), quantile(o.resumes, 0.5), quantile(o.resumes, 0.99), o.refused, o.retried)
	}
	o := storm(false)
	show("budget", o)
	if bound := 3*(30+3*60) + o.attempts/10; o.retries > bound {
		t.Errorf("%d retries, bound %d", o.retries, bound)
	}
	if testing.Verbose() {
		show("unlimited", storm(true))
	}
}
