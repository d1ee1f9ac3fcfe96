package placement

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleygap/internal/core/membership"
)

const (
	// loadMaxAge is the age from which a load report is ignored. The heartbeat interval is
	// 1 s, so a report is ignored after three missed heartbeats.
	loadMaxAge = 3 * time.Second
	// zonePenalty is added to the score of a target in another zone; 1 is the load of a full
	// target. The latency between zones is below 1 ms, so a load difference of a tenth
	// outweighs it.
	zonePenalty = 0.1
	// cacheBenefit is subtracted from the score if all blocks of the prompt are cached. It
	// exceeds zonePenalty because prefill of a long prompt costs more than crossing zones.
	cacheBenefit = 0.3
	// sharedSuspectPenalty is added for a suspect at a target that runs another suspect, and
	// at one that another entry prefers for its suspects, since entries do not see each
	// other's reservations.
	sharedSuspectPenalty = 0.5
	// crashZonePenalty is added for a suspect at a target in the zone of its last crash, so
	// that a failing zone does not add crashes to requests that it merely interrupted.
	crashZonePenalty = 1.0
	// scanLimit is the pool size up to which all targets are compared.
	scanLimit = 32
	// sampleSize is the number of random candidates in a larger pool.
	sampleSize = 4
	// maxAffinity bounds the number of prompt prefixes whose last placement is kept.
	maxAffinity = 8192
)

// Class is the priority class of an attempt under overload.
type Class int

// Priority classes in descending order of priority.
const (
	ClassResume Class = iota
	ClassInShare
	ClassOverShare
)

// String returns the class as a metric label.
func (c Class) String() string {
	switch c {
	case ClassResume:
		return "resume"
	case ClassInShare:
		return "in_share"
	}
	return "over_share"
}

// loadLimit is the estimated load per slot below which the class may use a target. In-share
// work may queue at the agent, whose fair queueing needs waiting requests to choose from.
// Over-share work may only fill free slots. Resumes are not held back by new work.
func (c Class) loadLimit() float64 {
	switch c {
	case ClassResume:
		return 4
	case ClassInShare:
		return 2
	}
	return 1
}

// Query describes an attempt that needs a target.
type Query struct {
	Service string
	Member  string
	// Version restricts the choice to targets that have loaded it; empty accepts any.
	Version string
	Class   Class
	Blocks  []uint64
	Exclude []string
	// Suspicion of the request. An isolated request requires a target without other suspects.
	Suspicion Suspicion
	// CrashZone is the zone of the suspect's last crash; empty if unknown.
	CrashZone string
	// Now is the time against which the age of load reports is measured.
	Now time.Time
}

// Verdict is the result of Choose.
type Verdict int

const (
	// Chosen means that a target was chosen.
	Chosen Verdict = iota
	// NoUsableTarget means that no usable target of the service and version exists, or that
	// all of them are excluded.
	NoUsableTarget
	// AllTargetsFull means that usable targets exist, but none may take this class of work
	// or this suspect now.
	AllTargetsFull
)

type poolKey struct{ service, version string }

// pooledTarget is the state kept for one target across snapshots.
type pooledTarget struct {
	info membership.Target
	// inflight is the number of this entry's reservations.
	inflight int
	// inflightAtReport is the value of inflight when the current load report arrived. The
	// report includes these reservations, so they are subtracted from it.
	inflightAtReport int
	// members is the number of this entry's reservations by member.
	members  map[string]int
	suspects int // attempts of suspected or isolated requests
	isolated int // attempts of isolated requests
	// preferred is set if this entry is the one that prefers the target for its suspects.
	preferred bool
	// listed is set if the last snapshot contains the target.
	listed bool
}

// Pool holds the targets of the last snapshot, indexed by service and version, and
// this entry's reservations on them. It is not safe for concurrent use.
type Pool struct {
	zone    string
	entry   string
	entries []string
	targets map[string]*pooledTarget
	index   map[poolKey][]*pooledTarget
	// affinity maps a block hash to the target that last received a prompt that starts or
	// ends with the block.
	affinity map[uint64]string
	// affinityOrder is a ring buffer of the keys of affinity in order of insertion.
	affinityOrder []uint64
	affinityNext  int
}

// NewPool returns an empty pool for the named entry in the given zone.
func NewPool(entry, zone string) *Pool {
	return &Pool{
		zone:     zone,
		entry:    entry,
		entries:  []string{entry},
		targets:  map[string]*pooledTarget{},
		index:    map[poolKey][]*pooledTarget{},
		affinity: map[uint64]string{},
	}
}

// SetEntries sets the names of the entries that share the targets. Each target is preferred
// by one entry for its suspects, chosen by rendezvous hashing.
func (p *Pool) SetEntries(entries []string) {
	p.entries = entries
	for _, t := range p.targets {
		t.preferred = p.prefers(t.info.Name)
	}
}

func (p *Pool) prefers(target string) bool {
	own := rendezvousHash(p.entry, target)
	for _, e := range p.entries {
		if e != p.entry && rendezvousHash(e, target) > own {
			return false
		}
	}
	return true
}

func rendezvousHash(entry, target string) uint64 { return xxhash.Sum64String(entry + "\x00" + target) }

// Update replaces the targets by those of a snapshot. Reservations are kept by target name
// until they are released, even if the snapshot no longer lists the target.
func (p *Pool) Update(snapshot *membership.Snapshot) {
	for _, t := range p.targets {
		t.listed = false
	}
	for key := range p.index {
		p.index[key] = p.index[key][:0]
	}
	for i := range snapshot.Targets {
		p.updateTarget(&snapshot.Targets[i])
	}
	for name, t := range p.targets {
		if !t.listed && t.inflight == 0 {
			delete(p.targets, name)
		}
	}
	for key, list := range p.index {
		if len(list) == 0 {
			delete(p.index, key)
		}
	}
}

func (p *Pool) updateTarget(latest *membership.Target) {
	t := p.targets[latest.Name]
	if t == nil {
		t = &pooledTarget{preferred: p.prefers(latest.Name), members: map[string]int{}}
		p.targets[latest.Name] = t
	}
	if !t.info.LoadAt.Equal(latest.LoadAt) || t.info.Incarnation != latest.Incarnation {
		t.inflightAtReport = t.inflight
	}
	t.info = *latest
	t.listed = true
	if !latest.Usable() {
		return
	}
	anyVersion := poolKey{service: latest.Service}
	p.index[anyVersion] = append(p.index[anyVersion], t)
	for _, v := range latest.Versions {
		key := poolKey{latest.Service, v}
		p.index[key] = append(p.index[key], t)
	}
}

// Count returns the number of usable targets of a service that have loaded a version; an
// empty version counts all.
func (p *Pool) Count(service, version string) int {
	return len(p.index[poolKey{service, version}])
}

// Slots returns the number of slots of the usable targets of a service.
func (p *Pool) Slots(service string) int {
	total := 0
	for _, t := range p.index[poolKey{service: service}] {
		total += t.capacity()
	}
	return total
}

// Target returns the named target as of the last snapshot.
func (p *Pool) Target(name string) (membership.Target, bool) {
	t := p.targets[name]
	if t == nil || !t.listed {
		return membership.Target{}, false
	}
	return t.info, true
}

// Choose returns the usable target with the lowest score. Pools larger than scanLimit are
// sampled: Choose compares random candidates and the target that last received the same
// prompt prefix, and compares all targets only if none of these may take the work.
func (p *Pool) Choose(q Query, rng *rand.Rand) (membership.Target, Verdict) {
	candidates := p.index[poolKey{q.Service, q.Version}]
	if len(candidates) == 0 {
		return membership.Target{}, NoUsableTarget
	}
	best := selection{score: math.Inf(1), rng: rng}
	if len(candidates) > scanLimit {
		for range sampleSize {
			best.consider(p, &q, candidates[rng.IntN(len(candidates))])
		}
		if t := p.affinityTarget(&q); t != nil {
			best.consider(p, &q, t)
		}
	}
	if best.target == nil {
		for _, t := range candidates {
			best.consider(p, &q, t)
		}
	}
	if best.target == nil {
		return membership.Target{}, p.failureVerdict(&q, candidates)
	}
	p.recordPlacement(q.Blocks, best.target.info.Name)
	return best.target.info, Chosen
}

// failureVerdict distinguishes a full pool from one whose targets are all excluded.
func (p *Pool) failureVerdict(q *Query, candidates []*pooledTarget) Verdict {
	for _, t := range candidates {
		if !excluded(q.Exclude, t.info.Name) {
			return AllTargetsFull
		}
	}
	return NoUsableTarget
}

// selection holds the candidate with the lowest score; ties are broken at random.
type selection struct {
	target *pooledTarget
	score  float64
	ties   int
	rng    *rand.Rand
}

func (sel *selection) consider(p *Pool, q *Query, t *pooledTarget) {
	score, ok := p.score(q, t)
	if !ok || score > sel.score {
		return
	}
	if score < sel.score {
		sel.target, sel.score, sel.ties = t, score, 1
		return
	}
	sel.ties++
	if sel.rng.IntN(sel.ties) == 0 {
		sel.target = t
	}
}

func (p *Pool) score(q *Query, t *pooledTarget) (float64, bool) {
	if excluded(q.Exclude, t.info.Name) {
		return 0, false
	}
	if !t.admits(q.Suspicion) {
		return 0, false
	}
	load := t.load(q.Now)
	if load >= q.Class.loadLimit() && !t.hasMemberRoom(q) {
		return 0, false
	}
	score := load - cacheBenefit*cachedFraction(q.Blocks, t.info.CachedBlocks)
	if t.info.Zone != p.zone {
		score += zonePenalty
	}
	if q.Suspicion != NotSuspected && !t.preferred {
		score += sharedSuspectPenalty
	}
	if q.Suspicion != NotSuspected && t.suspects > 0 {
		score += sharedSuspectPenalty
	}
	if q.Suspicion != NotSuspected && q.CrashZone != "" && q.CrashZone == t.info.Zone {
		score += crashZonePenalty
	}
	return score, true
}

// admits reports whether a request may share the target with the suspects that run on it.
func (t *pooledTarget) admits(suspicion Suspicion) bool {
	switch suspicion {
	case Suspected:
		return t.isolated == 0
	case Isolated:
		return t.suspects == 0
	}
	return true
}

// hasMemberRoom reports whether in-share work may queue at a full target. The agent preempts
// for a member only if that member waits at the agent. Without this room, a member that
// filled all queues would keep other members away from every agent.
func (t *pooledTarget) hasMemberRoom(q *Query) bool {
	return q.Class == ClassInShare && t.members[q.Member] < t.capacity()
}

func (t *pooledTarget) capacity() int { return max(1, t.info.Slots) }

// load estimates the load per slot: this entry's reservations plus the rest of the reported
// load, whose weight decreases linearly to 0 as the report reaches loadMaxAge.
func (t *pooledTarget) load(now time.Time) float64 {
	remote := max(0, t.info.Running+t.info.Waiting-t.inflightAtReport)
	age := max(0, now.Sub(t.info.LoadAt))
	weight := max(0, 1-float64(age)/float64(loadMaxAge))
	return (float64(t.inflight) + weight*float64(remote)) / float64(t.capacity())
}

// cachedFraction returns the fraction of the blocks up to and including the last cached one.
// The hashes are chained: a block's hash covers all blocks before it, so these need not be
// in the sample that the agent reports.
func cachedFraction(blocks []uint64, cached map[uint64]struct{}) float64 {
	for i := len(blocks) - 1; i >= 0; i-- {
		if _, ok := cached[blocks[i]]; ok {
			return float64(i+1) / float64(len(blocks))
		}
	}
	return 0
}

func excluded(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// affinityTarget returns the usable target that last received the longest known prefix of
// the prompt, nil if there is none.
func (p *Pool) affinityTarget(q *Query) *pooledTarget {
	for i := len(q.Blocks) - 1; i >= 0; i-- {
		name, ok := p.affinity[q.Blocks[i]]
		if !ok {
			continue
		}
		t := p.targets[name]
		if t == nil || !t.listed || !t.info.Usable() || t.info.Service != q.Service {
			continue
		}
		if q.Version == "" || t.info.HasVersion(q.Version) {
			return t
		}
	}
	return nil
}

// recordPlacement records the target under the prompt's first and last block.
func (p *Pool) recordPlacement(blocks []uint64, target string) {
	if len(blocks) == 0 {
		return
	}
	p.recordBlock(blocks[0], target)
	p.recordBlock(blocks[len(blocks)-1], target)
}

func (p *Pool) recordBlock(block uint64, target string) {
	if _, ok := p.affinity[block]; !ok {
		if len(p.affinityOrder) < maxAffinity {
			p.affinityOrder = append(p.affinityOrder, block)
		} else {
			delete(p.affinity, p.affinityOrder[p.affinityNext])
			p.affinityOrder[p.affinityNext] = block
			p.affinityNext = (p.affinityNext + 1) % maxAffinity
		}
	}
	p.affinity[block] = target
}

// Reserve adds a reservation for an attempt of a member on a target.
func (p *Pool) Reserve(target, member string, suspicion Suspicion) {
	t := p.targets[target]
	if t == nil {
		return
	}
	t.inflight++
	t.members[member]++
	t.addSuspect(suspicion, 1)
}

// Release removes a reservation made by Reserve with the same arguments.
func (p *Pool) Release(target, member string, suspicion Suspicion) {
	t := p.targets[target]
	if t == nil {
		return
	}
	if t.members[member]--; t.members[member] <= 0 {
		delete(t.members, member)
	}
	t.inflight = max(0, t.inflight-1)
	t.addSuspect(suspicion, -1)
}

func (t *pooledTarget) addSuspect(suspicion Suspicion, n int) {
	if suspicion != NotSuspected {
		t.suspects = max(0, t.suspects+n)
	}
	if suspicion == Isolated {
		t.isolated = max(0, t.isolated+n)
	}
}

// Suspects returns the number of this entry's reservations for suspects on a target.
func (p *Pool) Suspects(target string) int {
	if t := p.targets[target]; t != nil {
		return t.suspects
	}
	return 0
}

// Inflight returns the number of this entry's reservations on a target.
func (p *Pool) Inflight(target string) int {
	if t := p.targets[target]; t != nil {
		return t.inflight
	}
	return 0
}

// LoadLevel classifies the load of a target: 0 below a third of its slots, 1 below four
// fifths, 2 from there on. Evidence about versions is collected per level.
func (p *Pool) LoadLevel(target string, now time.Time) int {
	t := p.targets[target]
	if t == nil {
		return 0
	}
	switch load := t.load(now); {
	case load < 1.0/3:
		return 0
	case load < 0.8:
		return 1
	}
	return 2
}
