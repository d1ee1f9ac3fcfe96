package settings

import (
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against an invalid example file and against misread bounds.
func TestGatewayExample(t *testing.T) {
	c := qt.New(t)
	s, err := LoadGateway("../../examples/gateway.toml")
	c.Assert(err, qt.IsNil)
	c.Check(s.Grace.Duration, qt.Equals, 8*time.Second)
	c.Check(s.Bounds.DrainTimeout.Duration, qt.Equals, 2*time.Second)
	c.Check(s.Bounds.RetryRatio, qt.Equals, 0.8)
	c.Check(s.Calls.Pace, qt.IsTrue)
	c.Check(s.Placement.EngineSpeeds, qt.IsTrue)
}

// Guards against faults in the settings that surface only after start-up, and against
// reports that stop at the first fault.
func TestGatewayProblems(t *testing.T) {
	c := qt.New(t)
	_, err := ParseGateway("g.toml", `name = "g 1"
zone = "a"
client_listen = "10.0.0.1"
readiness_listen = "10.0.0.1:80"
peer_listen = "0.0.0.0:81"
admin_listen = "10.0.0.1:80"
store_address = "store"
memory_limit_mb = -1
grace = "1s"
typo = 1
processor_share = -0.1
link_mbps = nan
[bounds]
retry_ratio = -0.5
[placement]
zone_transfer_cost = "11s"
`)
	c.Assert(err, qt.ErrorMatches, `(?s)g.toml:1: name: .*g.toml:3: client_listen: .*g.toml:5: peer_listen: .*`+
		`g.toml:6: admin_listen: .*g.toml:7: store_address: .*g.toml:8: memory_limit_mb: .*g.toml:9: grace: .*`+
		`g.toml:10: typo: unknown key.*g.toml:11: processor_share: .*g.toml:12: link_mbps: .*g.toml:14: bounds.retry_ratio: .*g.toml:16: placement.zone_transfer_cost: .*`)
	_, err = LoadGateway(t.TempDir() + "/none")
	c.Assert(err, qt.ErrorIs, os.ErrNotExist)
}
