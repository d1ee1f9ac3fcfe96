package gateway

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"bramleygap/internal/core/suspect"
)

const sharedText, sharedPart, lastPart = uint64(11), uint64(22), uint64(33)

// crashAll reports that targets ended one after the other under requests of one text with one shared part.
func crashAll(st *state, targets int, spacing time.Duration, until time.Time) {
	for i := range targets {
		at := until.Add(-time.Duration(targets-1-i) * spacing)
		id := fmt.Sprint("crash", i)
		identity := suspect.Request{Content: sharedText, Whole: uint64(1000 + i)}
		st.suspects.Report(suspect.Death{ID: id, Target: id, Zone: id, At: at, Fingerprints: identity.Identities()}, until)
		st.suspects.ReportPartCrash(id, at, []suspect.Candidate{{Request: identity, Parts: []uint64{sharedPart}}}, until)
	}
}

func streamOf(g *Gateway, whole uint64) *clientRequest {
	return &clientRequest{g: g, service: "s", log: zerolog.Nop(), identity: suspect.Request{Content: sharedText, Whole: whole}, parts: []uint64{sharedPart, lastPart}}
}

// Guards against streams of one text with one shared prompt part that are refused until the crashes expire: the
// text was not tried because the part was condemned, and the part was not tried because the text was rejected.
func TestTextAndPartAreTriedTogether(t *testing.T) {
	c := qt.New(t)
	gateway := newControlGateway(controlSize{gateways: 1, targets: 3}, 0)
	g, st, loop := gateway.peers.g, gateway.st, gateway.peers.g.loop
	crashed := time.Now()
	crashAll(st, 4, 500*time.Millisecond, crashed)
	sound := streamOf(g, 1)
	c.Assert(st.suspects.Rejects(sound.identity, crashed), qt.IsTrue)
	c.Assert(st.suspects.CondemnedParts(sound.parts), qt.IsNotNil)

	c.Check(loop.rejects(st, crashed.Add(time.Second), sound, false), qt.IsTrue, qt.Commentf("before the first trial"))
	due := crashed.Add(3 * time.Second)
	trial := streamOf(g, 2)
	c.Check(loop.rejects(st, due, trial, false), qt.IsFalse)
	c.Check(loop.rejects(st, due, trial, false), qt.IsFalse, qt.Commentf("the trial seeks another target"))
	c.Check(loop.rejects(st, due, streamOf(g, 3), false), qt.IsTrue, qt.Commentf("one trial at a time"))
	c.Check(loop.rejects(st, due, trial, true), qt.IsTrue, qt.Commentf("a trial reaches one target only"))

	loop.responseFlowed(st, due.Add(time.Second), trial, 0)
	st.suspects.Completed(trial.identity, time.Second)
	c.Check(loop.rejects(st, due.Add(time.Second), streamOf(g, 4), false), qt.IsFalse)
}

// Guards against a trial that is lost with a request that found no target: the next one came up to 90 s later.
func TestUnsentTrialIsGivenBack(t *testing.T) {
	c := qt.New(t)
	gateway := newControlGateway(controlSize{gateways: 1, targets: 3}, 0)
	g, st, loop := gateway.peers.g, gateway.st, gateway.peers.g.loop
	crashed := time.Now()
	crashAll(st, 4, 500*time.Millisecond, crashed)
	due := crashed.Add(3 * time.Second)
	unsent := streamOf(g, 1)
	c.Assert(loop.rejects(st, due, unsent, false), qt.IsFalse)
	c.Check(loop.rejects(st, due, streamOf(g, 2), false), qt.IsTrue)
	loop.returnTrials(st, unsent)
	c.Check(loop.rejects(st, due, streamOf(g, 3), false), qt.IsFalse)
	c.Check(loop.rejects(st, due, streamOf(g, 4), false), qt.IsTrue)
}
