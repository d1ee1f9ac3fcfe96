package gateway

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"bramleygap/internal/core/membership"
	"bramleygap/internal/gateway/target"
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

// Scenario: a target falls silent with many streams of a gateway, which all probe it. Guards against a connection
// for each of them.
func TestStreamsShareProbe(t *testing.T) {
	c := qt.New(t)
	g, reg, _ := startNoticeGateway(t)
	var probes atomic.Int64
	asked, answer := make(chan struct{}), make(chan struct{})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if probes.Add(1) == 1 {
			close(asked)
		}
		<-answer
	}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server.Listener = listener
	server.Start()
	t.Cleanup(server.Close)
	reg.Address = listener.Addr().String()
	var streams sync.WaitGroup
	const numStreams = 20
	streams.Go(func() { g.probeTarget(reg) })
	<-asked
	for range numStreams - 1 {
		streams.Go(func() { g.probeTarget(reg) })
	}
	close(answer)
	streams.Wait()
	// Those that ask after the answer probe again.
	c.Check(probes.Load() < numStreams, qt.IsTrue, qt.Commentf("%d probes", probes.Load()))
}

// Scenario: a target is found down again and again while a stream there is late. Guards against reports that
// pile up until the process has no memory.
func TestSilentReportsDoNotPileUp(t *testing.T) {
	c := qt.New(t)
	s := &stream{g: &Gateway{}, messages: make(chan attemptMessage)}
	a := &attempt{s: s, ended: make(chan struct{})}
	for range 1000 {
		a.reportSilent()
	}
	c.Check((<-s.messages).kind, qt.Equals, attemptSilent)
	s.g.tasks.Wait()
	a.reportSilent()
	c.Check((<-s.messages).kind, qt.Equals, attemptSilent)
}

// Guards against a burst of calls past their deadlines that marks sound targets down and probes them, each at the
// cost of an event of the loop: what ended before a connection did says nothing about the target.
func TestOwnDelayMarksNoTargetDown(t *testing.T) {
	c := qt.New(t)
	g, reg, _ := startNoticeGateway(t)
	g.handleDialError(reg, target.ErrAbandoned)
	g.tasks.Wait()
	usable := query(t.Context(), g.loop, func(st *state) bool { return st.fleet.Usable(time.Now(), reg.ID) })
	c.Check(usable, qt.IsTrue)
}
