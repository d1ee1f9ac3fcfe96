package catalog

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against routes that only test which version is in force, or that serve streams, ranking the calls of a service.
func TestCallsRanked(t *testing.T) {
	c := qt.New(t)
	shares := []Share{{Service: "s", Weight: 1}}
	other := Route{Host: "h", Prefix: "/b", Kind: Once, Priority: 2, Shares: shares}
	ranked := func(change func(*Route)) bool {
		second := other
		change(&second)
		routes := []Route{{Host: "h", Prefix: "/a", Priority: 1, Shares: shares}, second}
		return New(1, routes, nil, []Account{{Name: "a", Keys: []string{"k"}}}, Limits{}).CallsRanked("s")
	}
	c.Check(ranked(func(*Route) {}), qt.IsTrue)
	c.Check(ranked(func(r *Route) { r.Priority = 1 }), qt.IsFalse)
	c.Check(ranked(func(r *Route) { r.Anonymous = true }), qt.IsFalse)
	c.Check(ranked(func(r *Route) { r.Kind = Stream }), qt.IsFalse)
	c.Check(ranked(func(r *Route) { r.Shares = []Share{{Service: "t", Weight: 1}} }), qt.IsFalse)
}
