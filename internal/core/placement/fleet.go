package placement

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleygap/internal/core/membership"
)

const (
	// defaultReadRate is the prompt reading speed of an engine in tokens per ms until one
	// has been observed; it is the speed that the users state for their engines.
	defaultReadRate = 5.0
	// firstTokenOverhead is the time to a first event beyond reading the prompt: admission
	// and the first event's tokens.
	firstTokenOverhead = 60 * time.Millisecond
	// choiceNoise keeps gateways with the same view from choosing the same target.
	choiceNoise = 60 * time.Millisecond
	// foreignCost is the cost of a target that another gateway prefers. Gateways see each
	// other's choices late; each fills its own targets first, up to this much waiting.
	foreignCost = 250 * time.Millisecond
	// leavingCost keeps new work off targets that said they are leaving while the store
	// could not say so. It is a cost and no bar, since such a word may be false.
	leavingCost = 3 * time.Second
	// leavingFor is how long the word of a target that it is leaving counts.
	leavingFor = 4 * time.Second
	// streamCrowding is the cost of each running stream at a candidate: reading a prompt
	// delays the events of all of them.
	streamCrowding = 25 * time.Millisecond
	// copyCrowding is the cost of each second copy at a candidate: the loss of another
	// target sends the streams of its copies there.
	copyCrowding = 15 * time.Millisecond
	// sameZoneCopy is the cost of each copy at a candidate whose stream runs in the same
	// zone as the one to be copied: a lost zone sends them all there at once.
	sameZoneCopy = 120 * time.Millisecond
	// memoryCost is added for a candidate whose memory would be full, which preempts.
	memoryCost = 20 * time.Second
	// otherZoneCost prefers the gateway's own zone for short calls: traffic between zones
	// is paid for and takes 1 ms more.
	otherZoneCost = 2 * time.Millisecond
	// downFor is how long a target is avoided after it was found unreachable, unless a
	// probe finds it alive.
	downFor = 3 * time.Second
	// peerLoadMaxAge is the age from which another gateway's load has no influence.
	peerLoadMaxAge = 2 * time.Second
	// failureWeight is the weight of a new sample of a target's failure rate.
	failureWeight = 0.15
	// failureLimit is the failure rate from which a target is a last resort. It is well
	// above the share of requests that healthy applications fail.
	failureLimit = 0.4
	// failureDecay is the time in which half of a failure rate is forgotten without samples.
	failureDecay = 2 * time.Second
	// latencyWeight is the weight of a new sample of a target's call latency.
	latencyWeight = 0.2
	// slownessWeight is the weight of a new sample of a target's slowness.
	slownessWeight = 0.5
	// maxSlowness bounds the slowness of a target, so that it recovers within a few samples.
	maxSlowness = 10.0
	// slownessDecay is the time in which half of the slowness is forgotten without samples.
	slownessDecay = 5 * time.Second
)

// GenerationSize is the size of one generation.
type GenerationSize struct {
	// PromptTokens of the prompt that must be read, without those that the target may keep.
	PromptTokens int
	// OutputTokens is the expected number of output tokens.
	OutputTokens int
}

// memory returns the tokens that the generation occupies at its end.
func (p GenerationSize) memory() int { return p.PromptTokens + p.OutputTokens }

// PeerLoad is the load that another gateway has put on one target.
type PeerLoad struct {
	// Backlog is the time that the target needs for prompts not yet read.
	Backlog time.Duration
	// Memory is the number of tokens reserved, Streams the number of generations.
	Memory, Streams, Copies int
}

type peerReport struct {
	at    time.Time
	loads map[string]PeerLoad
}

// member is the state kept for one registered target.
type member struct {
	reg       membership.Registration
	capacity  int
	downUntil time.Time
	// gone is set when another instance answered at the address.
	gone bool
	// own is set if this gateway is the one that prefers the target.
	own          bool
	leavingUntil time.Time
	calls        int
	streams      map[uint64]*run
	copies       int
	// copiesFrom counts the copies by the zone of their streams.
	copiesFrom map[string]int
	copyMem    int
	readBy     time.Time
	slowness   decaying
	failures   decaying
	latency    time.Duration
}

// run is one generation of this gateway at a target.
type run struct {
	prompt   GenerationSize
	started  time.Time
	expected time.Duration
	reading  bool
}

// decaying is an average that falls to its resting value without samples.
type decaying struct {
	value, rest float64
	half        time.Duration
	at          time.Time
}

func (d *decaying) get(now time.Time) float64 {
	if d.at.IsZero() {
		return d.rest
	}
	halves := float64(now.Sub(d.at)) / float64(d.half)
	if halves > 30 {
		return d.rest
	}
	return d.rest + (d.value-d.rest)/math.Exp2(halves)
}

func (d *decaying) add(now time.Time, sample, weight float64) {
	current := d.get(now)
	d.value, d.at = current+weight*(sample-current), now
}

// Fleet chooses among targets that gateways reach directly. It knows what this gateway
// runs on each and what the others reported. It is not safe for concurrent use.
type Fleet struct {
	name    string
	zone    string
	names   []string
	rng     *rand.Rand
	members map[string]*member
	// order holds the members by id, so that the same calls give the same choices.
	order   []*member
	peers   map[string]peerReport
	nextRun uint64
}

// NewFleet returns an empty fleet for a gateway in a zone.
func NewFleet(name, zone string, rng *rand.Rand) *Fleet {
	return &Fleet{name: name, zone: zone, names: []string{name}, rng: rng, members: map[string]*member{}, peers: map[string]peerReport{}}
}

// Update replaces the registered targets. The state of targets that stay is kept, unless
// they started again. Capacity returns the memory of a service's engines in tokens.
func (f *Fleet) Update(list []membership.Registration, capacity func(service string) int) {
	next := make(map[string]*member, len(list))
	for _, reg := range list {
		m := f.members[reg.ID]
		if m == nil || !m.reg.SameInstance(&reg) {
			m = &member{
				streams:    map[uint64]*run{},
				copiesFrom: map[string]int{},
				slowness:   decaying{rest: 1, half: slownessDecay},
				failures:   decaying{half: failureDecay},
			}
		}
		m.reg, m.capacity = reg, capacity(reg.Service)
		next[reg.ID] = m
	}
	f.members = next
	f.order = slices.SortedFunc(maps.Values(next), func(a, b *member) int { return cmp.Compare(a.reg.ID, b.reg.ID) })
	f.retireReplaced()
	f.assign()
}

// retireReplaced marks targets whose address another, younger start has registered.
func (f *Fleet) retireReplaced() {
	youngest := make(map[string]*member, len(f.members))
	for _, m := range f.members {
		other := youngest[m.reg.Address]
		switch {
		case other == nil:
			youngest[m.reg.Address] = m
		case other.reg.StartUnixMS < m.reg.StartUnixMS:
			other.gone = true
			youngest[m.reg.Address] = m
		case m.reg.StartUnixMS < other.reg.StartUnixMS:
			m.gone = true
		}
	}
}

// SetGateways tells which gateways share the targets; the own name is among them.
func (f *Fleet) SetGateways(names []string) {
	f.names = names
	f.assign()
}

// assign gives each target to the gateway with the highest hash (rendezvous hashing), so
// that few targets change hands when a gateway comes or goes.
func (f *Fleet) assign() {
	for id, m := range f.members {
		m.own = f.Prefers(id)
	}
}

// Prefers reports whether this gateway is the one that prefers a target.
func (f *Fleet) Prefers(id string) bool {
	var best uint64
	owner := f.name
	for _, name := range f.names {
		if h := xxhash.Sum64String(name + "\x00" + id); h > best || best == 0 {
			best, owner = h, name
		}
	}
	return owner == f.name
}

// MarkLeaving records a target's own word that it is leaving.
func (f *Fleet) MarkLeaving(now time.Time, id string) {
	if m := f.members[id]; m != nil {
		m.leavingUntil = now.Add(leavingFor)
	}
}

// ReportedLeaving returns the targets whose own word that they are leaving counts.
func (f *Fleet) ReportedLeaving(now time.Time) []string {
	var ids []string
	for id, m := range f.members {
		if now.Before(m.leavingUntil) && !m.reg.Leaving {
			ids = append(ids, id)
		}
	}
	return ids
}

// extraCost is what speaks against a target for any kind of work.
func (m *member) extraCost(now time.Time) time.Duration {
	if now.Before(m.leavingUntil) {
		return leavingCost
	}
	return 0
}

// SetPeerLoads replaces the load reported by another gateway.
func (f *Fleet) SetPeerLoads(peer string, at time.Time, loads map[string]PeerLoad) {
	f.peers[peer] = peerReport{at: at, loads: loads}
}

// UsableCount returns the number of targets of a service that may get work.
func (f *Fleet) UsableCount(now time.Time, service string) int {
	n := 0
	for _, m := range f.members {
		if m.reg.Service == service && m.usable(now) {
			n++
		}
	}
	return n
}

// Target returns the registration of a target.
func (f *Fleet) Target(id string) (membership.Registration, bool) {
	m := f.members[id]
	if m == nil {
		return membership.Registration{}, false
	}
	return m.reg, true
}

// Usable reports whether a target may get work.
func (f *Fleet) Usable(now time.Time, id string) bool {
	m := f.members[id]
	return m != nil && m.usable(now)
}

// CanHoldCopy reports whether a target may get work and has not said that it is leaving: a leaving
// engine refuses to go on from a copy.
func (f *Fleet) CanHoldCopy(now time.Time, id string) bool {
	m := f.members[id]
	return m != nil && m.usable(now) && !now.Before(m.leavingUntil)
}

func (m *member) usable(now time.Time) bool {
	return !m.reg.Leaving && !m.gone && !now.Before(m.downUntil)
}

// BeginCall counts a short call at a target.
func (f *Fleet) BeginCall(id string) {
	if m := f.members[id]; m != nil {
		m.calls++
	}
}

// EndCall ends a short call. Latency is 0 if the call says nothing about the target's speed.
func (f *Fleet) EndCall(now time.Time, id string, latency time.Duration, failed bool) {
	m := f.members[id]
	if m == nil {
		return
	}
	m.calls = max(0, m.calls-1)
	sample := 0.0
	if failed {
		sample = 1
	}
	m.failures.add(now, sample, failureWeight)
	if latency > 0 {
		m.latency += time.Duration(latencyWeight * float64(latency-m.latency))
	}
}

// BeginStream counts a generation at a target and its copy at another; the copy's id may
// be empty. It returns the id for EndStream.
func (f *Fleet) BeginStream(now time.Time, id, copyAt string, p GenerationSize) uint64 {
	f.nextRun++
	if m := f.members[id]; m != nil {
		expected := f.firstEvent(now, m, p)
		m.streams[f.nextRun] = &run{prompt: p, started: now, expected: expected, reading: true}
		start := m.readBy
		if start.Before(now) {
			start = now
		}
		m.readBy = start.Add(readTime(p.PromptTokens, m.slowness.get(now)))
	}
	if m := f.members[copyAt]; m != nil {
		m.copies++
		m.copyMem += p.memory()
		m.copiesFrom[f.zoneOf(id)]++
	}
	return f.nextRun
}

// RecordFirstEvent tells that a generation produced its first event.
func (f *Fleet) RecordFirstEvent(now time.Time, id string, runID uint64) {
	m := f.members[id]
	if m == nil || m.streams[runID] == nil {
		return
	}
	r := m.streams[runID]
	r.reading = false
	if r.prompt.PromptTokens > 0 {
		ratio := float64(now.Sub(r.started)) / float64(max(r.expected, time.Millisecond))
		m.slowness.add(now, min(maxSlowness, max(1, m.slowness.get(now)*ratio)), slownessWeight)
	}
	for _, other := range m.streams {
		if other.reading {
			return
		}
	}
	m.readBy = now
}

// EndStream ends a generation at its target and frees its copy.
func (f *Fleet) EndStream(now time.Time, id, copyAt string, runID uint64, p GenerationSize, failed bool) {
	if m := f.members[id]; m != nil && m.streams[runID] != nil {
		delete(m.streams, runID)
		sample := 0.0
		if failed {
			sample = 1
		}
		m.failures.add(now, sample, failureWeight)
		if len(m.streams) == 0 {
			m.readBy = now
		}
	}
	if m := f.members[copyAt]; m != nil && m.copies > 0 {
		m.copies--
		m.copyMem = max(0, m.copyMem-p.memory())
		m.copiesFrom[f.zoneOf(id)] = max(0, m.copiesFrom[f.zoneOf(id)]-1)
	}
}

func (f *Fleet) zoneOf(id string) string {
	if m := f.members[id]; m != nil {
		return m.reg.Zone
	}
	return ""
}

// MarkDown marks a target unreachable.
func (f *Fleet) MarkDown(now time.Time, id string) {
	if m := f.members[id]; m != nil {
		m.downUntil = now.Add(downFor)
	}
}

// MarkUp tells that a target answered.
func (f *Fleet) MarkUp(id string) {
	if m := f.members[id]; m != nil {
		m.downUntil = time.Time{}
	}
}

// MarkReplaced marks a target whose address answered as another instance.
func (f *Fleet) MarkReplaced(id string) {
	if m := f.members[id]; m != nil {
		m.gone = true
	}
}

// DownTargets returns the targets that are avoided because they were unreachable.
func (f *Fleet) DownTargets(now time.Time) []membership.Registration {
	var list []membership.Registration
	for _, m := range f.members {
		if now.Before(m.downUntil) && !m.gone && !m.reg.Leaving {
			list = append(list, m.reg)
		}
	}
	return list
}

// LocalLoads returns what this gateway has put on each target, for the other gateways.
func (f *Fleet) LocalLoads(now time.Time) map[string]PeerLoad {
	loads := map[string]PeerLoad{}
	for id, m := range f.members {
		load := PeerLoad{Backlog: f.ownBacklog(now, m), Memory: m.copyMem, Streams: len(m.streams), Copies: m.copies}
		for _, r := range m.streams {
			load.Memory += r.prompt.memory()
		}
		if load != (PeerLoad{}) {
			loads[id] = load
		}
	}
	return loads
}
