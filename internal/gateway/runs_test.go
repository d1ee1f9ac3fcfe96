package gateway

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"bramleygap/internal/core/runindex"
	"bramleygap/internal/core/suspect"
	"bramleygap/internal/settings"
	"bramleygap/internal/wire"
)

// Guards against writes of empty rows, which the store rejects, and of unchanged rows, since
// each call is billed.
func TestRunsToSave(t *testing.T) {
	c := qt.New(t)
	st := &state{activeRuns: map[uint64]runindex.Record{}, suspects: suspect.NewTracker()}
	c.Check(st.runsToSave(time.Now()), qt.IsNil)
	st.activeRunsChanged = true
	c.Check(st.runsToSave(time.Now()), qt.IsNil)
	st.activeRuns[7] = runindex.Record{Fingerprint: 7, Source: "a", Holder: "b", Address: "b:1", Handle: "h"}
	stored := st.runsToSave(time.Now())
	c.Assert(stored.Records, qt.HasLen, 1)
	c.Check(decodeRun(stored.Records[0]), qt.DeepEquals, st.activeRuns[7])
	c.Check(st.runsToSave(time.Now()), qt.IsNil)
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

// Guards against rejections that are lost with all gateways, or that last longer because they were saved,
// and against rows beyond what the store takes.
func TestSavedRejections(t *testing.T) {
	c := qt.New(t)
	loop := newControlGateway(twoGateways, 0).peers.g.loop
	now := time.Now()
	crashed := loop.newState(now)
	const request, part = 7, 8
	for i := range uint64(3) {
		id := strconv.FormatUint(i, 10)
		at := now.Add(time.Duration(i) * time.Second)
		crashed.suspects.Report(suspect.Death{ID: id, Target: id, Zone: id, At: at, Fingerprints: []uint64{request}}, at)
		crashed.suspects.ReportPartCrash("p"+id, at, []suspect.Candidate{{Fingerprint: 100 + i, Parts: []uint64{part}}}, at)
	}
	now = now.Add(3 * time.Second)
	crashed.activeRunsChanged = true
	stored := crashed.runsToSave(now)
	c.Assert(stored, qt.IsNotNil)
	for _, tc := range []struct {
		later    time.Duration
		rejected bool
	}{{time.Second, true}, {-time.Hour, true}, {9 * time.Minute, true}, {11 * time.Minute, false}} {
		started := loop.newState(now)
		loop.mergeRejections(started, now.Add(tc.later), stored)
		c.Check(started.suspects.Rejected(request, now.Add(tc.later)), qt.Equals, tc.rejected, qt.Commentf("%v later", tc.later))
		c.Check(started.suspects.CondemnedParts([]uint64{part}) != nil, qt.Equals, tc.rejected, qt.Commentf("%v later", tc.later))
	}
	for i := range uint64(1000) {
		for crash := range 3 {
			id := fmt.Sprintf("i-%x-%x", i, crash)
			crashed.suspects.Report(suspect.Death{ID: id, Target: id, Zone: id, At: now, Fingerprints: []uint64{1000 + i}}, now)
		}
		crashed.activeRuns[i] = runindex.Record{Fingerprint: i, Source: "i-7bf24e3fa4", Holder: "i-80692587d0", Address: "10.2.64.28:8462", Handle: "d0ac6d0948e358d9"}
		if len(crashed.activeRuns) > maxStoredRuns {
			delete(crashed.activeRuns, i)
		}
	}
	crashed.activeRunsChanged = true
	c.Check(proto.Size(crashed.runsToSave(now)) < 1<<16, qt.IsTrue)
}
