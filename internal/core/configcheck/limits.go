package configcheck

import (
	"strings"
	"time"

	"bramleygap/internal/core/catalog"
)

const (
	// maxTargets is the number of attempts after which a gateway gives a stream up, whatever the route permits
	// (maxTotalAttempts of internal/core/relay).
	maxTargets = 16
	// maxPriority is the largest valid priority; larger numbers and negative ones count as the lowest valid priority.
	maxPriority = 1_000_000
	// engineRanks is the number of priorities for new work that an engine tells apart (1 to 9).
	engineRanks = 9
	// minHeaderBytes is what the header of any client request needs: request line, host, attempt id and key.
	minHeaderBytes = 256
	// bytesPerToken is the usual length of a token of text.
	bytesPerToken = 4
	// listedRoutes bounds the names in a finding for a group of routes.
	listedRoutes = 3
)

// servesIdle reports whether the route looks like one that only serves to test which version is in force:
// anyone may call it any number of times.
func (r *Route) servesIdle() bool { return r.Anonymous && r.Kind == catalog.Idempotent }

func (c *checker) limitsOfRoute(r *Route) {
	if !c.PerRoute {
		return
	}
	switch {
	case r.Timeout == 0:
		c.add(NoTimeout, r.Key, Timeout, "route %q has no timeout, so that a request without a deadline of its own is late on arrival; write a timeout", r.Name)
	case r.Timeout < r.Objective && !r.servesIdle():
		c.add(TimeoutBelowObjective, r.Key, Timeout, "the timeout %v of route %q is below its objective %v, so that answers in time are cut off; raise the timeout, lower the objective, or keep it if a shorter timeout is meant", r.Timeout, r.Name, r.Objective)
	case r.Kind == catalog.Stream && r.EventGap >= r.Timeout:
		c.add(GapBeyondTimeout, r.Key, EventGap, "the longest gap %v between events of route %q is not below its timeout %v, so that it never ends a stream; lower it", r.EventGap, r.Name, r.Timeout)
	}
	if r.Kind == catalog.Stream && r.Attempts > maxTargets {
		c.add(AttemptsBeyondBound, r.Key, Attempts, "route %q permits %d attempts, but a stream is given up after %d; lower them", r.Name, r.Attempts, maxTargets)
	}
}

// idleRoutes reports the timeouts of routes that only serve to test the version in force as one finding: a
// desired state has tens of them.
func (c *checker) idleRoutes() {
	var first *Route
	var names []string
	count := 0
	for i := range c.Routes {
		r := &c.Routes[i]
		if !c.PerRoute || !r.servesIdle() || r.Timeout == 0 || r.Timeout >= r.Objective {
			continue
		}
		if count++; first == nil {
			first = r
		}
		if len(names) < listedRoutes {
			names = append(names, r.Name)
		}
	}
	if count > listedRoutes {
		names = append(names, "...")
	}
	if count > 0 {
		c.add(TimeoutBelowIdle, first.Key, Timeout, "the timeouts of %d anonymous idempotent routes (%s) are below their objectives; usual for routes that only test which version is in force", count, strings.Join(names, ", "))
	}
}

func (c *checker) service(s *Service) {
	if s.Engine && s.Slots > 0 && s.MemoryTokens < s.Slots {
		c.add(MemoryBelowSlots, s.Key, MemoryTokens, "the memory of service %q holds %d tokens for %d slots, less than one for each request; raise the memory or lower the slots", s.Name, s.MemoryTokens, s.Slots)
	}
	if s.Engine && s.Connections > 0 && s.Connections < s.Slots {
		c.add(ConnectionsBelowSlots, s.Key, Connections, "service %q permits %d connections to a target with %d slots, and each request takes one; raise the connections or lower the slots", s.Name, s.Connections, s.Slots)
	}
	if s.Engine && c.Limits.BodyBytes/bytesPerToken > int64(s.MemoryTokens) {
		c.add(BodyBeyondKVCache, c.Limits.Key, BodyBytes, "a prompt of the largest body (%d bytes, about %d tokens) exceeds the %d tokens that a target of service %q holds", c.Limits.BodyBytes, c.Limits.BodyBytes/bytesPerToken, s.MemoryTokens, s.Name)
	}
	for i := range s.Versions {
		v := &s.Versions[i]
		if v.Share == 0 && v.Deadline.IsZero() {
			c.add(IdleVersion, v.Key, Whole, "no request may choose version %q of service %q: it has no share and no deadline; give it one, start its rollout, or remove it", v.Name, s.Name)
		}
		if v.KeepPrevious > 0 && v.KeepPrevious < s.Timeout {
			c.add(KeptTooShort, v.Key, KeepPrevious, "the version before %q of service %q is kept for %v, shorter than a request of the service may take (%v); raise it", v.Name, s.Name, v.KeepPrevious, s.Timeout)
		}
	}
}

func (c *checker) timeoutsOfCallees() {
	timeouts := make(map[string]time.Duration)
	for i := range c.Services {
		timeouts[c.Services[i].Name] = c.Services[i].Timeout
	}
	for i := range c.Services {
		s := &c.Services[i]
		for _, name := range s.DependsOn {
			if callee := timeouts[name]; s.Timeout > 0 && callee > s.Timeout {
				c.add(CalleeOutlivesCaller, s.Key, Timeout, "service %q ends its requests after %v, but service %q that it calls may take %v; raise the first or lower the second", s.Name, s.Timeout, name, callee)
			}
		}
	}
}

// priorities finds priorities that no rule can honour. A service is ranked if two of its stream routes state
// different priorities; ranks are pairs of an account's and a route's priority.
func (c *checker) priorities() {
	accounts := make(map[int]bool)
	for i := range c.Accounts {
		a := &c.Accounts[i]
		accounts[a.Priority] = true
		c.priority("account", a.Key, a.Name, a.Priority)
	}
	streams := make(map[string]map[int]bool)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.priority("route", r.Key, r.Name, r.Priority)
		if r.Kind != catalog.Stream {
			continue
		}
		for _, s := range r.Shares {
			if streams[s.Service] == nil {
				streams[s.Service] = make(map[int]bool)
			}
			streams[s.Service][r.Priority] = true
		}
	}
	ranked := false
	for i := range c.Services {
		s := &c.Services[i]
		routes := len(streams[s.Name])
		if routes < 2 {
			continue
		}
		ranked = true
		if ranks := routes * max(1, len(accounts)); ranks > engineRanks {
			c.add(TooManyRanks, s.Key, Name, "the priorities of accounts (%d) and of stream routes of service %q (%d) make %d ranks, but engines tell %d apart, so that neighboring ranks share one; state fewer priorities", len(accounts), s.Name, routes, ranks, engineRanks)
		}
	}
	if !ranked && len(accounts) > 1 && c.PerRoute {
		c.add(IdlePriorities, "", Accounts, "the priorities of accounts do not order streams: no service has stream routes of different priorities")
	}
}

func (c *checker) priority(kind, key, name string, priority int) {
	if priority < 0 || priority > maxPriority {
		c.add(PriorityOutOfRange, key, Priority, "the priority %d of %s %q is not from 0 to %d, so that it counts as the lowest valid one; write a number in this range", priority, kind, name, maxPriority)
	}
}

func (c *checker) requestLimits() {
	if n := c.Limits.HeaderBytes; n > 0 && n < minHeaderBytes {
		c.add(HeaderLimit, c.Limits.Key, HeaderBytes, "%d bytes do not hold the header of any request; write at least %d", n, minHeaderBytes)
	}
}

// WithGateway returns the contradictions between a configuration and the settings of a gateway that serves it.
func WithGateway(config *Configuration, g Gateway) []Finding {
	c := &checker{Configuration: config}
	if !c.PerRoute {
		return nil
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		if repeats := float64(r.Attempts - 1); repeats > 0 && repeats > g.RetryRatio+g.RetrySlack {
			c.add(AttemptsBeyondBudget, r.Key, Attempts, "route %q permits %d attempts, but the retry budget of gateway %q never permits one request %.0f repeats (ratio %g, slack %g); lower the attempts or raise the budget", r.Name, r.Attempts, g.Name, repeats, g.RetryRatio, g.RetrySlack)
		}
		if r.Timeout > g.Grace && !r.Resumable {
			c.add(TimeoutBeyondGrace, r.Key, Timeout, "requests of route %q may take %v, longer than the grace %v in which gateway %q stops, and cannot be resumed; lower the timeout or raise the grace", r.Name, r.Timeout, g.Grace, g.Name)
		}
	}
	if c.Limits.BodyBytes > g.BodyMemory {
		c.add(BodyBeyondMemory, c.Limits.Key, BodyBytes, "one body of %d bytes exceeds the %d bytes that gateway %q has for all bodies; lower the limit or give the gateway more memory", c.Limits.BodyBytes, g.BodyMemory, g.Name)
	}
	if c.Limits.HeaderBytes > g.HeaderBytes {
		c.add(HeaderLimit, c.Limits.Key, HeaderBytes, "a gateway reads headers of at most %d bytes; lower %d", g.HeaderBytes, c.Limits.HeaderBytes)
	}
	return c.findings
}

// DeadlinesPassed finds versions whose deadline has passed at the time now. They are refused unless the version
// in force has the same deadline.
func DeadlinesPassed(config *Configuration, now time.Time) []Finding {
	c := &checker{Configuration: config}
	for i := range c.Services {
		for _, v := range c.Services[i].Versions {
			if !v.Deadline.IsZero() && !v.Deadline.After(now) {
				c.add(DeadlinePassed, v.Key, Deadline, "%s has passed, which is refused unless the version in force has the same deadline (--against shows it); write a later time", v.Deadline.Format(time.RFC3339))
			}
		}
	}
	return c.findings
}
