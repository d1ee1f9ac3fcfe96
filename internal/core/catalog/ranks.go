package catalog

import (
	"math"
	"slices"
	"time"

	"bramleygap/internal/core/precedence"
)

// MaxPriority is the highest number that a priority may have. Larger ones are taken for a mistake.
const MaxPriority = 1_000_000

func validPriority(p int) bool { return p >= 0 && p <= MaxPriority }

// priorities is the range of the valid priorities of one kind.
type priorities struct{ first, last int }

// rangeOf returns the range of the valid ones of a list, 0 to 0 if there is none.
func rangeOf(list []int) priorities {
	p := priorities{first: math.MaxInt}
	for _, value := range list {
		if validPriority(value) {
			p.first, p.last = min(p.first, value), max(p.last, value)
		}
	}
	if p.first > p.last {
		p.first = 0
	}
	return p
}

// relative returns a priority as its distance from the first one. One that is not valid counts as the last one.
func (p priorities) relative(value int) int {
	if !validPriority(value) {
		value = p.last
	}
	return min(max(0, value-p.first), p.last-p.first)
}

// ranking holds the ranks that occur in a service.
type ranking struct {
	routes priorities
	// ranked is set if two routes state different priorities.
	ranked bool
	// ranks are relative to the highest one, which is zero, in order.
	ranks []precedence.Rank
	// objective is the shortest objective of the routes, 0 if none states one.
	objective time.Duration
}

// rankServices computes the ranking of each service, and the names of the routes and accounts whose priority is
// not valid.
func (c *Config) rankServices(routes []Route, accounts []Account) {
	var ofAccounts []int
	for i := range accounts {
		ofAccounts = append(ofAccounts, accounts[i].Priority)
		if !validPriority(accounts[i].Priority) {
			c.invalidPriorities = append(c.invalidPriorities, "account "+accounts[i].Name)
		}
	}
	c.accountPriorities = rangeOf(ofAccounts)
	for i := range routes {
		if !validPriority(routes[i].Priority) {
			c.invalidPriorities = append(c.invalidPriorities, "route "+routes[i].Name)
		}
	}
	c.rankings, c.callRankings = make(map[string]*ranking, len(c.services)), make(map[string]*ranking, len(c.services))
	for name := range c.services {
		var ofStreams, ofCalls []int
		var shortest time.Duration
		for i := range routes {
			switch r := &routes[i]; {
			case !r.Allows(name):
			case r.Kind == Stream:
				ofStreams = append(ofStreams, r.Priority)
				if r.TargetLatency > 0 && (shortest == 0 || r.TargetLatency < shortest) {
					shortest = r.TargetLatency
				}
			case c.RequiresKey(r):
				// Calls without a key serve to test which version is in force.
				ofCalls = append(ofCalls, r.Priority)
			}
		}
		c.rankings[name], c.callRankings[name] = c.newRanking(ofAccounts, ofStreams), c.newRanking(ofAccounts, ofCalls)
		c.rankings[name].objective = shortest
	}
}

func (c *Config) newRanking(ofAccounts, ofRoutes []int) *ranking {
	r := &ranking{routes: rangeOf(ofRoutes)}
	if r.ranked = r.routes.first != r.routes.last; r.ranked {
		r.ranks = c.crossRanks(ofAccounts, ofRoutes, r.routes)
	}
	return r
}

// crossRanks returns the ranks of each account on each route, in order.
func (c *Config) crossRanks(ofAccounts, ofRoutes []int, routes priorities) []precedence.Rank {
	if len(ofAccounts) == 0 {
		ofAccounts = []int{0}
	}
	distinct := func(list []int, p priorities) []int {
		var relative []int
		for _, value := range list {
			relative = append(relative, p.relative(value))
		}
		slices.Sort(relative)
		return slices.Compact(relative)
	}
	var ranks []precedence.Rank
	ofRoutes = distinct(ofRoutes, routes)
	for _, account := range distinct(ofAccounts, c.accountPriorities) {
		for _, route := range ofRoutes {
			ranks = append(ranks, precedence.Rank{Account: account, Route: route})
		}
	}
	return ranks
}

// Ranked reports whether streams of a service are served by rank: two of its stream routes state different
// priorities.
func (c *Config) Ranked(service string) bool {
	r := c.rankings[service]
	return r != nil && r.ranked
}

// Ranks returns the ranks of the streams of a ranked service, the highest first, which is zero.
func (c *Config) Ranks(service string) []precedence.Rank {
	if r := c.rankings[service]; r != nil {
		return r.ranks
	}
	return nil
}

// ShortestObjective returns the shortest objective of the stream routes of a service, 0 if none states one.
func (c *Config) ShortestObjective(service string) time.Duration {
	if r := c.rankings[service]; r != nil {
		return r.objective
	}
	return 0
}

// CallRanks returns the ranks of the calls of a service, the highest first, which is zero. It returns nil unless two
// routes of calls that require a key state different priorities.
func (c *Config) CallRanks(service string) []precedence.Rank {
	if r := c.callRankings[service]; r != nil {
		return r.ranks
	}
	return nil
}

// Rank returns the rank of the requests of an account on a route to a service, relative to the highest one of the
// service's streams or calls. Without an account, which is nil, it is that of the least important account.
func (c *Config) Rank(service string, route *Route, account *Account) precedence.Rank {
	r := c.callRankings[service]
	if route.Kind == Stream {
		r = c.rankings[service]
	}
	if r == nil {
		return precedence.Rank{}
	}
	rank := precedence.Rank{Account: c.accountPriorities.relative(-1), Route: r.routes.relative(route.Priority)}
	if account != nil {
		rank.Account = c.accountPriorities.relative(account.Priority)
	}
	return rank
}

// InvalidPriorities names the accounts and routes whose priorities are not valid. They count as of the lowest valid
// priority of all accounts, or of the service's routes of streams or calls.
func (c *Config) InvalidPriorities() []string { return c.invalidPriorities }
