package catalog

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleygap/internal/core/precedence"
)

func sample() *Config {
	routes := []Route{
		{Name: "short", Host: "h.example", Prefix: "/a/", Shares: []Share{{"s", 1}}},
		{Name: "long", Host: "h.example", Prefix: "/a/b/", Shares: []Share{{"s", 90}, {"t", 10}, {"u", 0}}, Anonymous: true},
	}
	services := []Service{{Name: "s", Engine: &Engine{Models: []string{"m"}}}, {Name: "t"}}
	accounts := []Account{{Name: "x", Keys: []string{"k1", "k2"}}}
	return New(4, routes, services, accounts, Limits{})
}

// Guards against choosing the wrong one of several matching routes.
func TestRoute(t *testing.T) {
	c := qt.New(t)
	config := sample()
	for path, want := range map[string]string{"/a/": "short", "/a/x": "short", "/a/b/c": "long", "/a/b": "short"} {
		c.Check(config.Route("H.example:80", path).Name, qt.Equals, want, qt.Commentf(path))
	}
	c.Check(config.Route("h.example", "/ab"), qt.IsNil)
	c.Check(config.Route("other", "/a/"), qt.IsNil)
}

// Guards against choosing a service that no share allows, also at the ends of the range.
func TestPick(t *testing.T) {
	c := qt.New(t)
	r := sample().Route("h.example", "/a/b/")
	c.Check(r.Pick(0), qt.Equals, "s")
	c.Check(r.Pick(0.899), qt.Equals, "s")
	c.Check(r.Pick(0.9), qt.Equals, "t")
	c.Check(r.Pick(0.999999), qt.Equals, "t")
	c.Check(r.Allows("u"), qt.IsFalse, qt.Commentf("weight 0"))
	c.Check((&Route{}).Pick(0.5), qt.Equals, "")
}

// Guards against keys that are attributed to another account, and against requiring keys in
// a configuration without accounts.
func TestKeys(t *testing.T) {
	c := qt.New(t)
	config := sample()
	c.Check(config.Account("k2").Name, qt.Equals, "x")
	c.Check(config.Account(""), qt.IsNil)
	c.Check(config.RequiresKey(config.Route("h.example", "/a/")), qt.IsTrue)
	c.Check(config.RequiresKey(config.Route("h.example", "/a/b/")), qt.IsFalse)
	c.Check(New(1, nil, nil, nil, Limits{}).RequiresKey(&Route{}), qt.IsFalse)
}

// Guards against attributing a restarted engine to the wrong service.
func TestModelService(t *testing.T) {
	c := qt.New(t)
	service, ok := sample().ModelService([]string{"m"})
	c.Check(ok, qt.IsTrue)
	c.Check(service, qt.Equals, "s")
	_, ok = sample().ModelService([]string{"other"})
	c.Check(ok, qt.IsFalse)
	two := New(1, nil, []Service{{Name: "a", Engine: &Engine{Models: []string{"m"}}}, {Name: "b", Engine: &Engine{Models: []string{"m"}}}}, nil, Limits{})
	_, ok = two.ModelService([]string{"m"})
	c.Check(ok, qt.IsFalse, qt.Commentf("two services serve the model"))
}

func streamRoute(name, service string, priority int) Route {
	return Route{Name: name, Kind: Stream, Priority: priority, Shares: []Share{{service, 1}}}
}

// Guards against services that are served by rank although their stream routes do not ask for it, and against
// priorities out of range that make a route or an account the most important one.
func TestRanks(t *testing.T) {
	c := qt.New(t)
	routes := []Route{
		streamRoute("urgent", "s", 1), streamRoute("patient", "s", 3), streamRoute("wrong", "s", -1),
		streamRoute("alone", "t", 2), streamRoute("wrong too", "t", MaxPriority+1), {Name: "call", Kind: Once, Priority: 9, Shares: []Share{{"t", 1}}},
	}
	accounts := []Account{{Name: "x", Priority: 1}, {Name: "y", Priority: 4}, {Name: "z", Priority: -7}}
	config := New(1, routes, []Service{{Name: "s"}, {Name: "t"}}, accounts, Limits{})
	c.Check(config.Ranked("s"), qt.IsTrue)
	c.Check(config.Ranked("t"), qt.IsFalse)
	c.Check(config.Ranked("unknown"), qt.IsFalse)
	c.Check(config.Ranks("s"), qt.DeepEquals, []precedence.Rank{{Account: 0, Route: 0}, {Account: 0, Route: 2}, {Account: 3, Route: 0}, {Account: 3, Route: 2}})
	c.Check(config.InvalidPriorities(), qt.DeepEquals, []string{"account z", "route wrong", "route wrong too"})
	c.Check(config.Rank("s", &routes[0], &accounts[0]), qt.Equals, precedence.Rank{})
	c.Check(config.Rank("s", &routes[1], &accounts[1]), qt.Equals, precedence.Rank{Account: 3, Route: 2})
	c.Check(config.Rank("s", &routes[2], &accounts[2]), qt.Equals, precedence.Rank{Account: 3, Route: 2})
	c.Check(config.Rank("s", &routes[0], nil), qt.Equals, precedence.Rank{Account: 3})
}

// Guards against routes that only test which version is in force, or that serve streams, ranking the calls of a service.
func TestCallsRanked(t *testing.T) {
	c := qt.New(t)
	shares := []Share{{Service: "s", Weight: 1}}
	other := Route{Host: "h", Prefix: "/b", Kind: Once, Priority: 2, Shares: shares}
	ranked := func(change func(*Route)) bool {
		second := other
		change(&second)
		routes := []Route{{Host: "h", Prefix: "/a", Priority: 1, Shares: shares}, second}
		return New(1, routes, []Service{{Name: "s"}}, []Account{{Name: "a", Keys: []string{"k"}}}, Limits{}).CallRanks("s") != nil
	}
	c.Check(ranked(func(*Route) {}), qt.IsTrue)
	c.Check(ranked(func(r *Route) { r.Priority = 1 }), qt.IsFalse)
	c.Check(ranked(func(r *Route) { r.Anonymous = true }), qt.IsFalse)
	c.Check(ranked(func(r *Route) { r.Kind = Stream }), qt.IsFalse)
	c.Check(ranked(func(r *Route) { r.Shares = []Share{{Service: "t", Weight: 1}} }), qt.IsFalse)
}

// Guards against a shortest objective of routes that state none, or of another service.
func TestShortestObjective(t *testing.T) {
	c := qt.New(t)
	route := func(path, service string, kind Kind, objective time.Duration) Route {
		return Route{Name: path, Host: "h", Prefix: path, Kind: kind, TargetLatency: objective, Shares: []Share{{Service: service, Weight: 1}}}
	}
	routes := []Route{route("/a", "s", Stream, 10*time.Second), route("/b", "s", Stream, 4*time.Second), route("/c", "s", Stream, 0), route("/d", "s", Once, time.Second), route("/e", "t", Stream, 0)}
	config := New(1, routes, []Service{{Name: "s"}, {Name: "t"}}, nil, Limits{})
	c.Check(config.ShortestObjective("s"), qt.Equals, 4*time.Second)
	c.Check(config.ShortestObjective("t"), qt.Equals, time.Duration(0))
	c.Check(config.ShortestObjective("u"), qt.Equals, time.Duration(0))
}
