package gateway

import (
	"bramleygap/internal/core/catalog"
	"bramleygap/internal/core/precedence"
)

// reportPriorities logs and counts the priorities of a new version of the desired state that are out of range.
func (l *eventLoop) reportPriorities(config *catalog.Config) {
	if invalid := config.InvalidPriorities(); len(invalid) > 0 {
		l.metrics.priorities.Add(float64(len(invalid)))
		l.log.Warn().Uint64("version", config.Version).Strs("of", invalid).Msg("priorities are out of range; they count as the lowest valid one")
	}
}

// rank returns the rank of a stream by a version of the desired state, which may be newer than the one by which it
// was admitted.
func (c *clientRequest) rank(config *catalog.Config) precedence.Rank {
	route := config.Route(c.head.Host, c.head.Path)
	if route == nil || route.Kind != catalog.Stream {
		route = c.route
	}
	return config.Rank(c.service, route, config.Account(c.head.Key))
}

// enginePriority returns the priority that an engine is told for an attempt, negative if the service is not ranked.
// ran is set if the attempt continues work that has run.
func (c *clientRequest) enginePriority(ran bool) int {
	p := c.g.loop.published.Load()
	if p == nil || p.desired.Config == nil || !p.desired.Config.Ranked(c.service) {
		return -1
	}
	return precedence.EnginePriority(c.rank(p.desired.Config), p.desired.Config.Ranks(c.service), ran)
}
