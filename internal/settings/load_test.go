package settings

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against invalid example files, which operators copy.
func TestExamplesAreValid(t *testing.T) {
	c := qt.New(t)
	_, err := LoadEntry("../../examples/entry.toml")
	c.Assert(err, qt.IsNil)
	_, err = LoadAgent("../../examples/agent.toml")
	c.Assert(err, qt.IsNil)
}

// Guards against faults in the settings that surface only after start-up, and against
// reports that stop at the first fault.
func TestAllProblemsAreReported(t *testing.T) {
	c := qt.New(t)
	_, err := ParseEntry("e.toml", `name = "e 1"
zone = "a"
caller_listen = "10.0.0.1"
peer_listen = "0.0.0.0:7400"
admin_listen = "10.0.0.1:70000"
platform_url = "10.0.0.9"
max_body_bytes = "big"
typo = true
[[seed]]
address = "host:1"
role = "router"
[log]
level = "loud"
[rollout]
lease_time = "2s"
decide_before = "5s"
min_step_time = "-1s"
`)
	c.Assert(err, qt.ErrorMatches, `(?s)e.toml:1: name: .*e.toml:3: caller_listen: .*e.toml:4: peer_listen: .*`+
		`e.toml:5: admin_listen: .*e.toml:6: platform_url: .*e.toml:7: max_body_bytes: .*e.toml:8: typo: unknown key.*`+
		`e.toml:10: seed\[0\].address: .*e.toml:11: seed\[0\].role: .*e.toml:13: log.level: .*`+
		`e.toml:15: rollout.lease_time: .*e.toml:16: rollout.decide_before: .*e.toml:17: rollout.min_step_time: .*`)
	_, err = ParseAgent("a.toml", "target_kind = \"application\"\nversions = [\"v1\"]\nlisten = \"10.0.0.1:1\"\nadmin_listen = \"10.0.0.1:1\"\n")
	c.Assert(err, qt.ErrorMatches, `(?s).*a.toml: name: is missing.*a.toml:2: versions: .*a.toml:4: admin_listen: .*is also the address of listen.*`)
	_, err = ParseAgent("a.toml", "name = \n")
	c.Assert(err, qt.ErrorMatches, `a.toml:1: .*not valid TOML.*`)
}

// Guards against panics on arbitrary text.
func FuzzParse(f *testing.F) {
	f.Add("name = \"e\"\nseed = [{address = \"1.2.3.4:5\"}]\n")
	f.Add("[log]\nlevel = \"info\"\n[[seed]]\nrole = \"agent\"")
	f.Fuzz(func(_ *testing.T, text string) {
		if _, err := ParseEntry("f", text); err != nil {
			_ = err.Error()
		}
		if _, err := ParseAgent("f", text); err != nil {
			_ = err.Error()
		}
	})
}
