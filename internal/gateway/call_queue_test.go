package gateway

import (
	"bytes"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"bramleygap/internal/core/pacing"
	"bramleygap/internal/settings"
	"bramleygap/internal/wire"
)

// Guards against messages about calls of services that are not paced, and against reports out of range that are used or
// logged each time.
func TestCallLoadsAreExchanged(t *testing.T) {
	c := qt.New(t)
	var output bytes.Buffer
	registry := prometheus.NewRegistry()
	options := &Options{Settings: settings.Gateway{Name: "g1", Calls: settings.Calls{Pace: true}}, Logger: zerolog.New(&output)}
	l := newEventLoop(options, newMetrics(registry))
	now := time.Now()
	st := l.newState(now)
	q := &callQueue{service: "s", pacer: pacing.New("g1", "s"), waiting: map[uint64]*waitingCall{}}
	st.calls.byService["s"] = q
	q.pacer.Observe(now, "e", false)
	c.Check(st.exportCallLoads(), qt.HasLen, 0)
	q.pacer.Observe(now, "e", true)
	c.Check(st.exportCallLoads(), qt.HasLen, 1)
	remote := &wire.GatewayState{Name: "g2", PackedLoads: &wire.PackedLoads{}, CallLoads: []*wire.CallLoad{{Service: uint32(pacing.KeyOf("s")), Active: 1 << 31}}}
	for range 3 {
		l.mergeCallLoads(st, now, remote)
	}
	c.Check(counterValue(c, registry, "bramleygap_gateway_invalid_reports_total"), qt.Equals, 3.0)
	c.Check(strings.Count(output.String(), "impossible values"), qt.Equals, 1)
}
