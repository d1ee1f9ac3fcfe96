package router

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"bramleygap/internal/core/adoption"
	"bramleygap/internal/core/membership"
	"bramleygap/internal/core/placement"
	"bramleygap/internal/entry/cluster"
	"bramleygap/internal/opconfig"
	"bramleygap/internal/result"
	"bramleygap/internal/wire"
)

var (
	_ Router                = (*Manager)(nil)
	_ cluster.Part          = (*Manager)(nil)
	_ cluster.AgentObserver = (*Manager)(nil)
)

// start runs a manager over two model targets and one application target.
func start(t *testing.T, name string, change func(*Options)) *Manager {
	config := &opconfig.Config{Services: []opconfig.Service{
		{Name: "letters", Kind: opconfig.KindModel, Versions: []opconfig.Version{{Name: "v1", Share: 100}}},
		{Name: "permits", Kind: opconfig.KindApplication},
	}}
	target := func(name, service string, versions ...string) membership.Target {
		return membership.Target{Name: name, Zone: "a", Service: service, Versions: versions, Ready: true, Slots: 4}
	}
	snapshot := &membership.Snapshot{Targets: []membership.Target{
		target("m1", "letters", "v1"), target("m2", "letters", "v1"), target("app", "permits"),
	}}
	options := Options{
		EntryName: name, Zone: "a", Logger: zerolog.Nop(),
		Snapshot: func() *membership.Snapshot { return snapshot },
		Config:   func() *adoption.Adopted { return &adoption.Adopted{Revision: 1, Config: config} },
	}
	if change != nil {
		change(&options)
	}
	m := New(options)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = m.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-m.done })
	return m
}

func codeOf(err error) result.Code {
	var e *result.Error
	if errors.As(err, &e) {
		return e.Code
	}
	return result.OK
}

// Guards against calls to applications that wait for a version, and against
// generations placed on a target without their version.
func TestPlaceGenerationAndCall(t *testing.T) {
	c := qt.New(t)
	m := start(t, "e1", nil)
	a, err := m.Place(context.Background(), placement.Request{Service: "letters", Fingerprint: 7})
	c.Assert(err, qt.IsNil)
	c.Assert(a.Version, qt.Equals, "v1")
	a.Done(placement.Outcome{})
	b, err := m.Place(context.Background(), placement.Request{Service: "permits"})
	c.Assert(err, qt.IsNil)
	c.Assert(b.Target.Name, qt.Equals, "app")
	c.Assert(b.Version, qt.Equals, "")
	b.Done(placement.Outcome{})
}

// Guards against a request that keeps crashing targets by way of another entry.
func TestPeersLearnRejectedRequest(t *testing.T) {
	c := qt.New(t)
	first, second := start(t, "e1", nil), start(t, "e2", nil)
	for _, id := range []string{"d1", "d2", "d3"} {
		first.ReportDeath(id, []uint64{7}, "v1")
		first.ReportDeath(id, []uint64{7}, "v1")
	}
	_, err := first.Place(context.Background(), placement.Request{Service: "letters", Fingerprint: 7})
	c.Assert(codeOf(err), qt.Equals, result.CrashesTargets)
	_, err = first.Place(context.Background(), placement.Request{Service: "letters", Fingerprint: 7, Resume: true, Version: "v1"})
	c.Assert(codeOf(err), qt.Equals, result.CrashedMidway)
	var peer wire.PeerState
	first.Contribute(&peer)
	second.Merge(&peer)
	merged := make(chan struct{})
	second.states <- func(*state) { close(merged) }
	<-merged
	_, err = second.Place(context.Background(), placement.Request{Service: "letters", Fingerprint: 7})
	c.Assert(codeOf(err), qt.Equals, result.CrashesTargets)
}

// Guards against a wait that outlasts its context and against the wrong code for it.
func TestWaitEndsWithContext(t *testing.T) {
	c := qt.New(t)
	m := start(t, "e1", nil)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, test := range []struct {
		request placement.Request
		code    result.Code
	}{
		{placement.Request{Service: "letters", Version: "v9"}, result.VersionUnavailable},
		{placement.Request{Service: "letters", Version: "v9", Resume: true}, result.VersionGone},
		{placement.Request{Service: "permits", Exclude: []string{"app"}}, result.NoTarget},
	} {
		answer := make(chan reply, 1)
		m.mailbox <- func(s *state) {
			s.place(time.Now(), 1<<40, test.request, answer)
			s.abandon(1 << 40)
		}
		c.Assert((<-answer).err.Code, qt.Equals, test.code)
	}
	_, err := m.Place(ctx, placement.Request{Service: "letters", Version: "v9"})
	c.Assert(err, qt.IsNotNil)
}
