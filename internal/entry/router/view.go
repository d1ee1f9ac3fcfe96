package router

import (
	"slices"
	"sort"
	"time"

	"bramleygap/internal/core/membership"
	"bramleygap/internal/core/suspect"
	"bramleygap/internal/wire"
)

func hasVM(snapshot *membership.Snapshot, vm string) bool {
	for i := range snapshot.Targets {
		if snapshot.Targets[i].VM == vm {
			return true
		}
	}
	return false
}

// hasHealthyTarget reports whether a target of the VM sends heartbeats in time.
func hasHealthyTarget(snapshot *membership.Snapshot, vm string) bool {
	for i := range snapshot.Targets {
		if t := &snapshot.Targets[i]; t.VM == vm && !t.Suspected {
			return true
		}
	}
	return false
}

func (s *state) refreshEntries(now time.Time) {
	names := []string{s.options.EntryName}
	for name, at := range s.entryLastSeen {
		if now.Sub(at) > entryMaxAge {
			delete(s.entryLastSeen, name)
			continue
		}
		names = append(names, name)
	}
	sort.Strings(names)
	if !slices.Equal(names, s.entries) {
		s.entries = names
		s.pool.SetEntries(names)
	}
}

func (s *state) observeAgent(now time.Time, agent *wire.AgentState) {
	for _, name := range agent.GetEntries() {
		if name != s.options.EntryName {
			s.entryLastSeen[name] = now
		}
	}
	usage := make(map[string]float64, len(agent.GetUseHere()))
	for _, u := range agent.GetUseHere() {
		usage[u.GetMember()] = u.GetTokensPerSecond()
	}
	s.usage.Observe(agent.GetTarget(), now, usage)
	for _, d := range agent.GetDeaths() {
		s.recordDeath(suspect.Death{
			ID: d.GetDeathId(), Target: agent.GetTarget(), VM: agent.GetVm(), Zone: agent.GetZone(),
			At: time.UnixMilli(d.GetUnixMs()), Fingerprints: d.GetRunningFingerprints(),
		}, now)
	}
}
