package pacing

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against pacing that never ends, and against an idle gateway that keeps a share: an average that decays is
// never 0, and gateways without calls counted with one each.
func TestPacingEndsWithDemand(t *testing.T) {
	for _, test := range []struct {
		name string
		// calls and others are the numbers of calls at this gateway and at each other one; others below 0 are not
		// heard from.
		calls, others, targets int
		// ends is whether the pacing ends, and reported whether this gateway reports calls.
		ends, reported bool
	}{
		{"idle gateways", 0, 0, 1, true, false},
		{"others not heard from", 1, -1, 1, true, true},
		{"idle among busy ones", 0, 5, 1, true, false},
		{"no target", 1, 5, 0, true, true},
		{"lasting scarcity", 1, 5, 1, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1e9, 0)
			p, reports := New("g00", "s"), NewReports()
			names := []string{"g00"}
			for i := range 21 {
				names = append(names, fmt.Sprintf("g%02d", i+1))
			}
			p.Observe(now, "e", true)
			ended := false
			for tick := range 400 {
				now = now.Add(100 * time.Millisecond)
				var targets []Target
				for range test.targets {
					targets = append(targets, Target{ID: "e", Slots: 6, Active: test.calls})
					if tick < 10 {
						targets[0].Active = 3
					}
				}
				if test.targets == 0 && tick == 0 {
					p.Add(now, &Call{ID: 1, Arrived: now, Objective: now, Deadline: now.Add(time.Hour)})
				}
				for _, name := range names[1:] {
					if test.others >= 0 {
						reports.Set(now, name, map[ServiceKey]Load{p.key: {Active: test.others}})
					}
				}
				// Each event updates the pacer.
				for range 5 {
					p.Update(now, targets, names, reports, 60*time.Millisecond)
				}
				ended = p.Tick(now) || ended
			}
			c.Check(ended, qt.Equals, test.ends)
			c.Check(p.Load() != Load{}, qt.Equals, test.reported)
		})
	}
}
