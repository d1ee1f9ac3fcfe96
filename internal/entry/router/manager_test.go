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
	_ cluster.Delegate      = (*Manager)(nil)
	_ cluster.AgentObserver = (*Manager)(nil)
)

// startManager runs a manager with two model targets and one application target.
func startManager(t *testing.T, name string, change func(*Options)) *Manager {
	config := &opconfig.Config{Services: []opconfig.Service{
		{Name: "letters", Kind: opconfig.KindModel, Versions: []opconfig.Version{{Name: "v1", Share: 100}}},
		{Name: "permits", Kind: opconfig.KindApplication},
	}}
	target := func(name, service string, versions ...string) membership.Target {
		return membership.Target{Name: name, VM: "vm-" + name, Zone: "a", Service: service, Versions: versions, Ready: true, Slots: 4}
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

// Guards against application calls that wait for a version, and against generations
// placed on a target without their version.
func TestPlaceGenerationAndCall(t *testing.T) {
	c := qt.New(t)
	m := startManager(t, "e1", nil)
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

// Guards against a rejected request that crashes further targets through another entry.
func TestRejectionReachesPeers(t *testing.T) {
	c := qt.New(t)
	first, second := startManager(t, "e1", nil), startManager(t, "e2", nil)
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
	second.stateMailbox <- func(*state) { close(merged) }
	<-merged
	_, err = second.Place(context.Background(), placement.Request{Service: "letters", Fingerprint: 7})
	c.Assert(codeOf(err), qt.Equals, result.CrashesTargets)
}

// Guards against an attempt that waits after its context ended, and against a wrong result
// code for it.
func TestWaitEndsWithContext(t *testing.T) {
	c := qt.New(t)
	m := startManager(t, "e1", nil)
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
		replyTo := make(chan reply, 1)
		m.mailbox <- func(s *state) {
			s.place(time.Now(), 1<<40, test.request, replyTo)
			s.abandon(1 << 40)
		}
		c.Assert((<-replyTo).err.Code, qt.Equals, test.code)
	}
	_, err := m.Place(ctx, placement.Request{Service: "letters", Version: "v9"})
	c.Assert(err, qt.IsNotNil)
}

// Guards against a request that crashes more than three engines when its caller sends it
// through each entry in turn, and against rejecting other requests of the same batches.
func TestCrashingRequestIsLimitedToThreeEngines(t *testing.T) {
	c := qt.New(t)
	entries := []*Manager{startManager(t, "e1", nil), startManager(t, "e2", nil), startManager(t, "e3", nil)}
	lostEngines := 0
	for send := range 6 {
		m := entries[send%3]
		batched := placement.Request{Service: "letters", Fingerprint: uint64(100 + send)}
		a, err := m.Place(context.Background(), placement.Request{Service: "letters", Fingerprint: 7})
		if err != nil {
			c.Assert(codeOf(err), qt.Equals, result.CrashesTargets)
			continue
		}
		b, err := m.Place(context.Background(), batched)
		c.Assert(err, qt.IsNil)
		lostEngines++
		// The agent reports the crash to every entry in its heartbeats.
		death := &wire.TargetDeath{
			DeathId: a.Target.Name + string(rune('0'+send)), UnixMs: time.Now().UnixMilli(),
			RunningFingerprints: []uint64{7, batched.Fingerprint},
		}
		for _, e := range entries {
			e.ObserveAgent(&wire.AgentState{Target: a.Target.Name, Vm: "vm-" + a.Target.Name, Zone: a.Target.Zone, Deaths: []*wire.TargetDeath{death}})
			handled := make(chan struct{})
			e.stateMailbox <- func(*state) { close(handled) }
			<-handled
		}
		a.Done(placement.Outcome{Failed: true, TargetDied: true})
		b.Done(placement.Outcome{Failed: true, TargetDied: true})
	}
	c.Check(lostEngines, qt.Equals, 3)
	for _, m := range entries {
		for send := range 3 {
			a, err := m.Place(context.Background(), placement.Request{Service: "letters", Fingerprint: uint64(100 + send)})
			c.Assert(err, qt.IsNil)
			a.Done(placement.Outcome{})
		}
	}
}

// Guards against one engine crash that counts as a failure of each request of the batch,
// which would withdraw a good version after a single crash.
func TestCrashIsObservedOnce(t *testing.T) {
	c := qt.New(t)
	observed := make(chan placement.Outcome, 8)
	m := startManager(t, "e1", func(o *Options) {
		o.Observe = func(_, _, _, _ string, _ int, outcome placement.Outcome, _ bool) { observed <- outcome }
	})
	var batch []*Assignment
	for i := range 3 {
		a, err := m.Place(context.Background(), placement.Request{
			Service: "letters", Fingerprint: uint64(i + 1), Exclude: []string{"m2"},
		})
		c.Assert(err, qt.IsNil)
		batch = append(batch, a)
	}
	for _, a := range batch {
		a.Done(placement.Outcome{Failed: true, TargetDied: true})
	}
	handled := make(chan struct{})
	m.mailbox <- func(*state) { close(handled) }
	<-handled
	c.Check(len(observed), qt.Equals, 1)
}

// Guards against over-share work that is placed while the pool is full, against a resume
// that waits behind new work, and against a waiting attempt that is not placed when a slot
// becomes free.
func TestQueueUnderOverload(t *testing.T) {
	c := qt.New(t)
	m := startManager(t, "e1", func(o *Options) {
		config := o.Config().Config
		config.Members = []opconfig.Member{{Name: "over", Share: 50}, {Name: "in", Share: 50}}
	})
	m.ObserveAgent(&wire.AgentState{Target: "m1", UseHere: []*wire.MemberUse{
		{Member: "over", TokensPerSecond: 90}, {Member: "in", TokensPerSecond: 10},
	}})
	handled := make(chan struct{})
	m.stateMailbox <- func(s *state) { s.usage.Refresh(time.Now()); close(handled) }
	<-handled
	var held []*Assignment
	for range 16 { // two targets with four slots each take twice their slots of in-share work
		a, err := m.Place(context.Background(), placement.Request{Service: "letters", Member: "in"})
		c.Assert(err, qt.IsNil)
		held = append(held, a)
	}
	_, err := m.Place(context.Background(), placement.Request{Service: "letters", Member: "over"})
	c.Assert(codeOf(err), qt.Equals, result.Overloaded)
	placed := make(chan error, 1)
	a, err := m.Place(context.Background(), placement.Request{Service: "letters", Version: "v1", Resume: true})
	c.Assert(err, qt.IsNil, qt.Commentf("a resume waited behind new work"))
	a.Done(placement.Outcome{})
	go func() {
		_, err := m.Place(context.Background(), placement.Request{Service: "letters", Member: "in"})
		placed <- err
	}()
	held[0].Done(placement.Outcome{})
	c.Assert(<-placed, qt.IsNil)
}

// Guards against attempts without a usable target that starve attempts for other targets.
func TestUnplaceableAttemptsDoNotBlockQueue(t *testing.T) {
	c := qt.New(t)
	m := startManager(t, "e1", nil)
	replies := make(chan int)
	m.mailbox <- func(s *state) {
		now := time.Now()
		for id := range uint64(2 * maxFailedSearches) {
			s.place(now, 1<<40+id, placement.Request{Service: "letters", Version: "v9"}, make(chan reply, 1))
		}
		replyTo := make(chan reply, 1)
		last := &pending{id: 1 << 50, request: placement.Request{Service: "permits"}, class: placement.ClassInShare, replyTo: replyTo}
		s.enqueue(now, last, now)
		s.dispatch(now)
		replies <- len(replyTo)
	}
	c.Assert(<-replies, qt.Equals, 1)
}

// Guards against more concurrent runs of a suspect than crashes left before its rejection.
func TestRunsOfSuspectAreBounded(t *testing.T) {
	c := qt.New(t)
	m := startManager(t, "e1", nil)
	m.ReportDeath("d1", []uint64{7}, "v1")
	m.ReportDeath("d2", []uint64{7}, "v1")
	a, err := m.Place(context.Background(), placement.Request{Service: "letters", Fingerprint: 7})
	c.Assert(err, qt.IsNil)
	placed := make(chan error, 1)
	replies := make(chan int)
	m.mailbox <- func(s *state) {
		replyTo := make(chan reply, 1)
		s.place(time.Now(), 1<<40, placement.Request{Service: "letters", Fingerprint: 7}, replyTo)
		replies <- len(replyTo)
		go func() { placed <- (<-replyTo).unpackError() }()
	}
	c.Assert(<-replies, qt.Equals, 0, qt.Commentf("a second concurrent run could cause the fourth crash"))
	m.ReportDeath("d3", []uint64{7}, "v1")
	a.Done(placement.Outcome{Failed: true, TargetDied: true})
	c.Assert(codeOf(<-placed), qt.Equals, result.CrashesTargets)
}

func (r reply) unpackError() error {
	_, err := r.unpack()
	return err
}
