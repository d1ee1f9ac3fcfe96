package gateway

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"bramleygap/internal/core/catalog"
	"bramleygap/internal/obs"
)

// rankedConfig has a ranked service s and a service t that is not, although its account states a priority.
func rankedConfig(version uint64) *catalog.Config {
	route := func(path, service string, priority int) catalog.Route {
		return catalog.Route{Name: path, Host: "h", Prefix: path, Kind: catalog.Stream, Priority: priority, Shares: []catalog.Share{{Service: service, Weight: 1}}}
	}
	routes := []catalog.Route{route("/urgent", "s", 0), route("/patient", "s", 2), route("/plain", "t", 1)}
	return catalog.New(version, routes, []catalog.Service{{Name: "s"}, {Name: "t"}}, []catalog.Account{{Name: "x", Keys: []string{"k"}, Priority: 1}}, catalog.Limits{})
}

// Guards against engines that are not told which streams can wait, and against streams of services that are not
// ranked whose engines are told anything.
func TestEnginesAreToldPriorities(t *testing.T) {
	c := qt.New(t)
	g := &Gateway{log: zerolog.Nop(), metrics: newMetrics(obs.NewRegistry()), options: &Options{Logger: zerolog.Nop()}}
	g.loop = newEventLoop(g.options, g.metrics)
	config := rankedConfig(1)
	priority := func(path, service string, ran bool) int {
		request := &clientRequest{g: g, service: service, head: Request{Host: "h", Path: path, Key: "k"}, route: config.Route("h", path)}
		return request.enginePriority(ran)
	}
	c.Check(priority("/urgent", "s", false), qt.Equals, -1, qt.Commentf("without a desired state"))
	g.loop.published.Store(&publishedState{desired: DesiredState{Config: config}})
	c.Check(priority("/urgent", "s", false), qt.Equals, 1)
	c.Check(priority("/urgent", "s", true), qt.Equals, 0)
	c.Check(priority("/patient", "s", false), qt.Equals, 9)
	c.Check(priority("/patient", "s", true), qt.Equals, 8)
	c.Check(priority("/plain", "t", true), qt.Equals, -1)
}
