// Package benchsize holds the installation sizes and messages that benchmarks share.
package benchsize

import (
	"fmt"
	"strings"
	"testing"

	"bramleygap/internal/wire"
)

// Size describes one installation.
type Size struct {
	Name                        string
	Entries, Agents             int
	Accounts, Members, Services int
	Regions, Zones              int
	// Running is the number of generations on one engine: at the target size, 2.5 M
	// tokens/s with 60 ms between tokens mean 150,000 generations on 1,100 engines.
	Running int
	// Suspects is the number of unexpired suspect requests after three engine crashes.
	Suspects int
}

// Sizes are today's installations, an intermediate step, and the target of the design
// document. The number of members is an assumption; the document states only that of accounts.
var Sizes = []Size{
	{Name: "today", Entries: 3, Agents: 20, Accounts: 10, Members: 5, Services: 1, Regions: 1, Zones: 3, Running: 8, Suspects: 24},
	{Name: "step", Entries: 33, Agents: 150, Accounts: 180, Members: 20, Services: 3, Regions: 3, Zones: 9, Running: 32, Suspects: 96},
	{Name: "target", Entries: 370, Agents: 1100, Accounts: 3100, Members: 60, Services: 9, Regions: 8, Zones: 27, Running: 136, Suspects: 408},
}

// Run runs a benchmark at each size and counts allocations.
func Run(b *testing.B, benchmark func(*testing.B, Size)) {
	for _, size := range Sizes {
		b.Run(size.Name, func(b *testing.B) {
			b.ReportAllocs()
			benchmark(b, size)
		})
	}
}

// Zone returns the zone of the i-th node.
func (s Size) Zone(i int) string {
	return fmt.Sprintf("region%d-zone%02d", i%s.Zones%s.Regions, i%s.Zones)
}

// Service returns the service of the i-th agent.
func (s Size) Service(i int) string { return fmt.Sprintf("service%d", i%s.Services) }

// EntryAddress returns the address of the i-th entry.
func (s Size) EntryAddress(i int) string { return fmt.Sprintf("10.1.%d.%d:7400", i/250, i%250) }

// AgentAddress returns the address of the i-th agent.
func (s Size) AgentAddress(i int) string { return fmt.Sprintf("10.2.%d.%d:7500", i/250, i%250) }

// MemberUse returns the use of all members.
func (s Size) MemberUse() []*wire.MemberUse {
	use := make([]*wire.MemberUse, s.Members)
	for i := range use {
		use[i] = &wire.MemberUse{Member: fmt.Sprintf("member-%03d", i), TokensPerSecond: 17.25 * float64(i+1)}
	}
	return use
}

// cachedBlocks is the number of cached blocks sampled in a heartbeat.
const cachedBlocks = 128

// AgentState returns the heartbeat of the i-th agent, watched by the given number of entries.
func (s Size) AgentState(i, watchers int) *wire.AgentState {
	state := &wire.AgentState{
		Target: fmt.Sprintf("engine-%04d", i), Vm: fmt.Sprintf("vm-engine-%04d", i), Zone: s.Zone(i), Address: s.AgentAddress(i),
		Incarnation: 1_800_000_000_000_000_000, Sequence: 100_000, Kind: wire.TargetKind_TARGET_KIND_MODEL, Service: s.Service(i),
		Versions: []string{"v1", "v2"}, Ready: true, Running: uint32(s.Running), Slots: uint32(s.Running + 24), LoadAgeMs: 250,
		ConfigRevision: 1800, UseHere: s.MemberUse(), HighestFence: 17,
	}
	for block := range cachedBlocks {
		state.CachedBlocks = append(state.CachedBlocks, uint64(i*cachedBlocks+block)*0x9e3779b97f4a7c15)
	}
	for entry := range watchers {
		state.Entries = append(state.Entries, s.EntryAddress(entry))
	}
	return state
}

// Evidence returns the counters of one running rollout: each origin reports two versions at
// three load levels in the zones of its own region.
func (s Size) Evidence() []*wire.EvidenceCounter {
	var counters []*wire.EvidenceCounter
	for origin := range s.Entries {
		for bucket := range 2 * 3 * (s.Zones / s.Regions) {
			counters = append(counters, &wire.EvidenceCounter{
				Origin: fmt.Sprintf("entry-%03d", origin), Incarnation: 1_800_000_000_000_000_000, Service: s.Service(0),
				Version: fmt.Sprintf("v%d", 1+bucket%2), Route: "/v1/completions", Zone: s.Zone(origin + bucket/6*s.Regions),
				LoadLevel: uint32(bucket / 2 % 3), Requests: 12345, Failures: 12, Slow: 34,
			})
		}
	}
	return counters
}

// PeerState returns the state that an entry sends to a peer.
func (s Size) PeerState() *wire.PeerState {
	state := &wire.PeerState{
		Entry: "entry-000", Incarnation: 1_800_000_000_000_000_000, Sequence: 100_000, Address: s.EntryAddress(0),
		Zone: s.Zone(0), ConfigRevision: 1800, ConfigOperator: "operator", ConfigChangeId: "4f7c1e8ab2d94c35", Evidence: s.Evidence(),
	}
	for i := range s.Entries {
		state.Acks = append(state.Acks, &wire.NodeAck{
			Node: fmt.Sprintf("entry/entry-%03d", i), Incarnation: 1_800_000_000_000_000_000, ConfigRevision: 1800,
			SeenUnixMs: 1_800_000_000_000, Address: s.EntryAddress(i),
		})
	}
	for i := range s.Suspects {
		state.Suspects = append(state.Suspects, &wire.SuspectCount{
			Fingerprint: uint64(i+1) * 0x9e3779b97f4a7c15, ExpiresUnixMs: 1_800_000_600_000,
			DeathIds: []string{fmt.Sprintf("engine-%04d/1800000000000000000/%d", i%3, 1)},
		})
	}
	return state
}

// ConfigText returns an operator configuration.
func (s Size) ConfigText() string {
	var text strings.Builder
	for i := range s.Members {
		fmt.Fprintf(&text, "[[member]]\nname = \"member-%03d\"\nshare = %.3f\n", i, 99/float64(s.Members))
	}
	for i := range s.Accounts {
		fmt.Fprintf(&text, "[[account]]\nname = \"account-%04d\"\nmember = \"member-%03d\"\nkey_sha256 = \"%064x\"\n", i, i%s.Members, i+1)
	}
	for i := range s.Services {
		fmt.Fprintf(&text, "[[service]]\nname = %q\nkind = \"model\"\nmodel = \"model%d\"\n", s.Service(i), i)
		text.WriteString("[[service.version]]\nname = \"v1\"\nshare = 100\n[[service.version]]\nname = \"v2\"\nshare = 0\n")
	}
	return text.String()
}
