package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleygap/internal/core/runindex"
	"bramleygap/internal/settings"
	"bramleygap/internal/wire"
)

// Guards against writes of empty rows, which the store rejects, and of unchanged rows, since
// each call is billed.
func TestRunsToSave(t *testing.T) {
	c := qt.New(t)
	st := &state{activeRuns: map[uint64]runindex.Record{}}
	c.Check(st.runsToSave(), qt.IsNil)
	st.activeRunsChanged = true
	c.Check(st.runsToSave(), qt.IsNil)
	st.activeRuns[7] = runindex.Record{Fingerprint: 7, Source: "a", Holder: "b", Address: "b:1", Handle: "h"}
	stored := st.runsToSave()
	c.Assert(stored.Records, qt.HasLen, 1)
	c.Check(decodeRun(stored.Records[0]), qt.DeepEquals, st.activeRuns[7])
	c.Check(st.runsToSave(), qt.IsNil)
}

// Guards against using an outdated record although another gateway has a newer one.
func TestNewerRecord(t *testing.T) {
	c := qt.New(t)
	reply := func(age uint32) *wire.RunRecords { return &wire.RunRecords{Records: []*wire.RunRecord{{AgeMs: age}}} }
	c.Check(newerRecord(nil, nil), qt.IsNil)
	c.Check(newerRecord(&wire.RunRecords{}, nil), qt.IsNil)
	c.Check(newerRecord(reply(5), newerRecord(reply(3), nil)).AgeMs, qt.Equals, uint32(3))
	c.Check(newerRecord(reply(3), newerRecord(reply(5), nil)).AgeMs, qt.Equals, uint32(3))
}

// Pattern: all gateways are killed and restarted. Guards against a starting gateway that
// does not query the gateways listed in the store and its seeds, or that queries itself.
func TestRunLookupAddresses(t *testing.T) {
	c := qt.New(t)
	l := newEventLoop(&Options{Settings: settings.Gateway{Name: "g1"}}, nil)
	st := l.newState(time.Unix(1000, 0))
	self := settings.Gateway{Name: "g1", PeerListen: "h1:1", Seeds: []string{"h1:1", "h2:1", "h3:1"}}
	c.Check(st.runLookupAddresses(7, self, false), qt.HasLen, 0)
	starting := st.runLookupAddresses(7, self, true)
	c.Check(starting, qt.ContentEquals, []string{"h2:1", "h3:1"})
	st.liveGateways, st.peerAddresses = []string{"g1", "g4"}, map[string]string{"g4": "h4:1"}
	c.Check(st.runLookupAddresses(7, self, false), qt.DeepEquals, []string{"h4:1"})
}
