package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"bramleygap/internal/core/membership"
	"bramleygap/internal/obs"
)

// Guards against a target that answers a probe late and loses its calls, which may not be repeated,
// and the streams whose events arrive; against streams of a silent target that seek no other one, or
// that lose it before they have found one; and against attempts that stay at a crashed target.
func TestDownTargetLosesOnlyWhatCanMove(t *testing.T) {
	start := time.Unix(1000, 0)
	probed := start.Add(time.Second)
	for name, test := range map[string]struct {
		movable   bool
		startedAt time.Time
		heardAt   time.Time // zero for never
		// silent says whether the attempt seeks another target if its own is silent, and ended whether it
		// ends if its target has crashed.
		silent, ended bool
	}{
		"call":                          {movable: false, startedAt: start, silent: false, ended: true},
		"stream that cannot resume":     {movable: false, startedAt: start, heardAt: probed.Add(-time.Millisecond), silent: false, ended: true},
		"stream without an event":       {movable: true, startedAt: start, silent: true, ended: true},
		"stream placed after the probe": {movable: true, startedAt: probed.Add(time.Millisecond), silent: true, ended: true},
		"silent stream":                 {movable: true, startedAt: start, heardAt: probed.Add(-time.Millisecond), silent: true, ended: true},
		"stream with an event since":    {movable: true, startedAt: start, heardAt: probed.Add(time.Millisecond), silent: false, ended: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			for _, ended := range []bool{false, true} {
				loop := newEventLoop(&Options{Logger: zerolog.Nop()}, newMetrics(obs.NewRegistry()))
				loop.probe = func(membership.Registration) {}
				st := loop.newState(start)
				st.fleet.Update([]membership.Registration{{ID: "t", Service: "s", Zone: "a"}}, func(string) int { return 0 })
				canceled, toldSilent := false, false
				handle := &attemptHandle{movable: test.movable, startedAt: test.startedAt, cancel: func() { canceled = true }, reportSilent: func() { toldSilent = true }}
				if !test.heardAt.IsZero() {
					handle.recordHeard(test.heardAt)
				}
				st.addAttempt("t", handle)
				now := probed.Add(maxProbeAttempts * probeTimeout)
				loop.markTargetDown(st, now, "t", targetDown{probed: probed, ended: ended})
				c.Check(toldSilent, qt.Equals, test.silent && !ended)
				c.Check(canceled, qt.Equals, test.ended && ended)
				c.Check(handle.interrupted.Load(), qt.Equals, test.ended && ended)
				c.Check(st.fleet.Usable(now, "t"), qt.IsFalse)
			}
		})
	}
}
