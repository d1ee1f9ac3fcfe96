package gateway

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"bramleygap/internal/core/membership"
	"bramleygap/internal/core/placement"
	"bramleygap/internal/core/speed"
	"bramleygap/internal/obs"
	"bramleygap/internal/settings"
	"bramleygap/internal/wire"
)

// newSpeedState returns the event loop and state of a gateway that knows n engines.
func newSpeedState(n int) (*eventLoop, *state) {
	options := &Options{Settings: settings.Gateway{Name: "g", Placement: settings.Placement{EngineSpeeds: true}}, Logger: zerolog.Nop()}
	l := newEventLoop(options, newMetrics(obs.NewRegistry()))
	st := l.newState(time.Now())
	var list []membership.Registration
	for i := range n {
		list = append(list, membership.Registration{ID: fmt.Sprintf("e%04d", i), Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Zone: "a", Service: "s", Slots: 64, StartUnixMS: 1_800_000_000_000 + uint64(i), Model: true})
	}
	st.fleet.Update(list, func(string) int { return 55000 })
	return l, st
}

// speedsOf returns a message with speeds of n engines, a third of them fast.
func speedsOf(n int) *wire.GatewayState {
	var records []speed.Record
	for i := range n {
		e := speed.Estimate{Speed: 0.7, Samples: 40}
		if i%3 == 2 {
			e.Speed = 1.7
		}
		key := speed.Key{Target: uint32(placement.KeyOf(fmt.Sprintf("e%04d", i))), Start: uint32(1_800_000_000_000 + uint64(i))}
		records = append(records, speed.Record{Key: key, Estimates: [2]speed.Estimate{e, e}})
	}
	return &wire.GatewayState{Name: "other", PackedSpeeds: packSpeeds(records)}
}

// Guards against speeds that are lost with the gateway that measured them, and against faulty messages that
// end the exchange or change estimates.
func TestSpeedsArePassedOnAndFaultyOnesIgnored(t *testing.T) {
	c := qt.New(t)
	l, st := newSpeedState(30)
	now := time.Now()
	l.mergeSpeeds(st, now, speedsOf(30))
	l.evaluateSpeeds(st, now)
	c.Assert(st.fleet.SpeedsInUse("s"), qt.IsTrue)

	next, third := newSpeedState(30)
	next.mergeSpeeds(third, now, &wire.GatewayState{Name: "g", PackedSpeeds: packSpeeds(st.fleet.ExportSpeeds(now))})
	next.evaluateSpeeds(third, now)
	c.Check(third.fleet.SpeedsInUse("s"), qt.IsTrue, qt.Commentf("a gateway does not pass on what it merged"))

	faulty := speedsOf(3).PackedSpeeds
	faulty.Starts = faulty.Starts[:2]
	next.mergeSpeeds(third, now, &wire.GatewayState{PackedSpeeds: faulty})
	c.Check(third.invalidReportsLogged["speeds"], qt.Equals, now, qt.Commentf("the first fault is not logged at once"))
	huge := speedsOf(3).PackedSpeeds
	huge.PrefillPermille[1], huge.PrefillSamples[1] = 1<<31, 1000
	next.mergeSpeeds(third, now.Add(time.Second/2), &wire.GatewayState{PackedSpeeds: huge})
	c.Check(third.invalidReportsLogged["speeds"], qt.Equals, now, qt.Commentf("a second line within a second"))
	c.Check(counted(c, next.metrics.invalidReports), qt.Equals, 2.0)
	next.evaluateSpeeds(third, now.Add(time.Second))
	c.Check(third.fleet.SpeedsInUse("s"), qt.IsTrue)
}

// Guards against messages that fill the links of an installation of 370 gateways and 1,100 engines: control may take
// 8 KB/s of each gateway.
func TestSpeedsTakeFewBytesAtTargetSize(t *testing.T) {
	c := qt.New(t)
	l, st := newSpeedState(1100)
	now := time.Now()
	whole := speedsOf(1100).PackedSpeeds
	for i := 0; i < 1100; i += speed.MaxRecords {
		j := min(1100, i+speed.MaxRecords)
		l.mergeSpeeds(st, now, &wire.GatewayState{PackedSpeeds: &wire.PackedSpeeds{
			Targets: whole.Targets[i:j], Starts: whole.Starts[i:j], PrefillPermille: whole.PrefillPermille[i:j],
			DecodePermille: whole.DecodePermille[i:j], PrefillSamples: whole.PrefillSamples[i:j], DecodeSamples: whole.DecodeSamples[i:j],
		}})
	}
	total := 0
	for i := range 110 {
		size := proto.Size(&wire.GatewayState{PackedSpeeds: packSpeeds(st.fleet.ExportSpeeds(now.Add(time.Duration(i) * 90 * time.Millisecond)))})
		c.Assert(size <= 64*16, qt.IsTrue, qt.Commentf("%d bytes in a message", size))
		total += size
	}
	c.Check(total < 10*2300, qt.IsTrue, qt.Commentf("%d bytes in 10 s", total))
	t.Logf("%d bytes in 10 s", total)
}
