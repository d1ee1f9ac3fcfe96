package benchcheck

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const output = `pkg: bramleygap/internal/core/placement
BenchmarkChoose/target-10  100  1000 ns/op  8 B/op
BenchmarkChoose/target-10  100  3000 ns/op  8 B/op
BenchmarkChoose/target-10  100  2000 ns/op  8 B/op
`

// Guards against a bound that passes because its unit or benchmark name does not match the run.
func TestReport(t *testing.T) {
	c := qt.New(t)
	run, err := parse(strings.NewReader(output), "run")
	c.Assert(err, qt.IsNil)
	key := metric{"core/placement Choose/target", "sec/op"}
	var out bytes.Buffer
	earlier := samples{key: {1e-6}}
	c.Assert(report(&out, map[metric]float64{key: 2.5e-6}, earlier, run), qt.IsNil)
	c.Assert(out.String(), qt.Contains, "2.00")
	c.Assert(report(&out, map[metric]float64{key: 1.5e-6}, earlier, run), qt.Equals, ErrExceeded)
	c.Assert(report(&out, map[metric]float64{{"core/placement Other", "sec/op"}: 1}, earlier, run), qt.Equals, ErrExceeded)
}

// Guards against a bounds file that the command cannot read.
func TestBoundsFile(t *testing.T) {
	bounds, err := readBounds("../../bench/bounds.toml")
	qt.New(t).Assert(err, qt.IsNil)
	qt.New(t).Assert(len(bounds) > 0, qt.IsTrue)
}
