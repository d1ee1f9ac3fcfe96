package placement

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleygap/internal/core/membership"
)

const (
	// loadMaxAge is the age from which a load report has no influence. The heartbeat
	// interval is 1 s, so a report is discounted fully after three missed heartbeats.
	loadMaxAge = 3 * time.Second
	// zonePenalty is added to the score of a target in another zone, in units of a full
	// target. Latency between zones is below 1 ms, so a tenth of a target outweighs it.
	zonePenalty = 0.1
	// cacheBenefit is subtracted for a prompt whose blocks are all cached. It is larger
	// than zonePenalty: prefill of a long prompt costs more than a change of zone.
	cacheBenefit = 0.3
	// sharedSuspectPenalty keeps a suspect off targets with another suspect, and off those
	// that another entry prefers for its own, since entries do not see each other's
	// reservations.
	sharedSuspectPenalty = 0.5
	// crashZonePenalty sends a suspect to another zone than that of its last crash, so
	// that a failing zone does not add crashes to requests that it merely interrupted.
	crashZonePenalty = 1.0
	// scanLimit is the pool size up to which all targets are compared.
	scanLimit = 32
	// sampleSize is the number of random candidates in a larger pool.
	sampleSize = 4
	// maxAffinity bounds the memory of recent placements by prompt prefix.
	maxAffinity = 8192
)

// Class orders work under overload.
type Class int

// Classes of work, the most important first.
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

// loadLimit is the estimated load per slot up to which a class may use a target.
// In-share work may queue at the agent, whose fair queue needs waiting requests to
// choose from; over-share work only fills free slots; resumes are never held back by
// new work.
func (c Class) loadLimit() float64 {
	switch c {
	case ClassResume:
		return 4
	case ClassInShare:
		return 2
	}
	return 1
}

// Query is a request for one target.
type Query struct {
	Service string
	// Member is whose reservations count for the member's own room at a target.
	Member string
	// Version restricts the choice to targets that have loaded it; empty accepts any.
	Version string
	Class   Class
	Blocks  []uint64
	Exclude []string
	// Suspicion of the request: an isolated one requires a target without another suspect.
	Suspicion Suspicion
	// CrashZone is the zone of the suspect's last crash, if known.
	CrashZone string
	// Now is the time against which the age of load reports is measured.
	Now time.Time
}

// Verdict tells why no target was chosen.
type Verdict int

// Verdicts of Choose.
const (
	Chosen Verdict = iota
	// NoUsableTarget means that no usable target of the service and version exists.
	NoUsableTarget
	// AllTargetsFull means that usable targets exist, but none may take this class of work now.
	AllTargetsFull
)

type poolKey struct{ service, version string }

// slot is the state kept for one target across snapshots.
type slot struct {
	target membership.Target
	// inflight counts this entry's reservations.
	inflight int
	// inflightAtReport is inflight when the current load report arrived. The report
	// includes these reservations, so they are subtracted from it.
	inflightAtReport int
	// members counts the reservations of each member.
	members   map[string]int
	suspects  int // attempts of suspected or isolated requests
	isolated  int
	preferred bool
	present   bool
}

// Pool holds the targets of the last snapshot, indexed by service and version, and
// this entry's reservations on them. It is not safe for concurrent use.
type Pool struct {
	zone     string
	entry    string
	entries  []string
	slots    map[string]*slot
	index    map[poolKey][]*slot
	affinity map[uint64]string
	// affinityOrder is a ring of the keys of affinity in order of insertion.
	affinityOrder []uint64
	affinityNext  int
}

// NewPool returns an empty pool for the named entry in the given zone.
func NewPool(entry, zone string) *Pool {
	return &Pool{
		zone:     zone,
		entry:    entry,
		entries:  []string{entry},
		slots:    map[string]*slot{},
		index:    map[poolKey][]*slot{},
		affinity: map[uint64]string{},
	}
}

// SetEntries tells which entries share the targets. Each target is preferred by one
// entry for its suspects, chosen by rendezvous hashing.
func (p *Pool) SetEntries(entries []string) {
	p.entries = entries
	for _, s := range p.slots {
		s.preferred = p.prefers(s.target.Name)
	}
}

func (p *Pool) prefers(target string) bool {
	own := rendezvous(p.entry, target)
	for _, e := range p.entries {
		if e != p.entry && rendezvous(e, target) > own {
			return false
		}
	}
	return true
}

func rendezvous(entry, target string) uint64 { return xxhash.Sum64String(entry + "\x00" + target) }

// Update replaces the view of the targets. Reservations are kept by target name, also
// for targets that the snapshot no longer lists, until they are released.
func (p *Pool) Update(snapshot *membership.Snapshot) {
	for _, s := range p.slots {
		s.present = false
	}
	for key := range p.index {
		p.index[key] = p.index[key][:0]
	}
	for i := range snapshot.Targets {
		p.updateTarget(&snapshot.Targets[i])
	}
	for name, s := range p.slots {
		if !s.present && s.inflight == 0 {
			delete(p.slots, name)
		}
	}
	for key, list := range p.index {
		if len(list) == 0 {
			delete(p.index, key)
		}
	}
}

func (p *Pool) updateTarget(t *membership.Target) {
	s := p.slots[t.Name]
	if s == nil {
		s = &slot{preferred: p.prefers(t.Name), members: map[string]int{}}
		p.slots[t.Name] = s
	}
	if !s.target.LoadAt.Equal(t.LoadAt) || s.target.Incarnation != t.Incarnation {
		s.inflightAtReport = s.inflight
	}
	s.target = *t
	s.present = true
	if !t.Usable() {
		return
	}
	all := poolKey{service: t.Service}
	p.index[all] = append(p.index[all], s)
	for _, v := range t.Versions {
		key := poolKey{t.Service, v}
		p.index[key] = append(p.index[key], s)
	}
}

// Count returns the number of usable targets of a service with a version loaded;
// an empty version counts all.
func (p *Pool) Count(service, version string) int {
	return len(p.index[poolKey{service, version}])
}

// Slots returns the number of slots of the usable targets of a service.
func (p *Pool) Slots(service string) int {
	total := 0
	for _, s := range p.index[poolKey{service: service}] {
		total += s.capacity()
	}
	return total
}

// Target returns the target with the given name as of the last snapshot.
func (p *Pool) Target(name string) (membership.Target, bool) {
	s := p.slots[name]
	if s == nil || !s.present {
		return membership.Target{}, false
	}
	return s.target, true
}

// Choose returns the usable target with the lowest score. Pools larger than scanLimit
// are sampled: random candidates plus those that recently got the same prompt prefix;
// only when none of these may take the work are all targets compared.
func (p *Pool) Choose(q Query, rng *rand.Rand) (membership.Target, Verdict) {
	candidates := p.index[poolKey{q.Service, q.Version}]
	if len(candidates) == 0 {
		return membership.Target{}, NoUsableTarget
	}
	best := best{score: math.Inf(1), rng: rng}
	if len(candidates) > scanLimit {
		for range sampleSize {
			best.offer(p, &q, candidates[rng.IntN(len(candidates))])
		}
		if s := p.recent(&q); s != nil {
			best.offer(p, &q, s)
		}
	}
	if best.slot == nil {
		for _, s := range candidates {
			best.offer(p, &q, s)
		}
	}
	if best.slot == nil {
		return membership.Target{}, p.reason(&q, candidates)
	}
	p.remember(q.Blocks, best.slot.target.Name)
	return best.slot.target, Chosen
}

// reason tells an exhausted pool from one whose targets are all excluded.
func (p *Pool) reason(q *Query, candidates []*slot) Verdict {
	for _, s := range candidates {
		if !excluded(q.Exclude, s.target.Name) {
			return AllTargetsFull
		}
	}
	return NoUsableTarget
}

// best keeps the candidate with the lowest score; equal scores are broken at random.
type best struct {
	slot  *slot
	score float64
	ties  int
	rng   *rand.Rand
}

func (b *best) offer(p *Pool, q *Query, s *slot) {
	score, ok := p.score(q, s)
	if !ok || score > b.score {
		return
	}
	if score < b.score {
		b.slot, b.score, b.ties = s, score, 1
		return
	}
	b.ties++
	if b.rng.IntN(b.ties) == 0 {
		b.slot = s
	}
}

func (p *Pool) score(q *Query, s *slot) (float64, bool) {
	if excluded(q.Exclude, s.target.Name) {
		return 0, false
	}
	if !s.admits(q.Suspicion) {
		return 0, false
	}
	load := s.load(q.Now)
	if load >= q.Class.loadLimit() && !s.hasOwnRoom(q) {
		return 0, false
	}
	score := load - cacheBenefit*matched(q.Blocks, s.target.CachedBlocks)
	if s.target.Zone != p.zone {
		score += zonePenalty
	}
	if q.Suspicion != NotSuspected && !s.preferred {
		score += sharedSuspectPenalty
	}
	if q.Suspicion != NotSuspected && s.suspects > 0 {
		score += sharedSuspectPenalty
	}
	if q.Suspicion != NotSuspected && q.CrashZone != "" && q.CrashZone == s.target.Zone {
		score += crashZonePenalty
	}
	return score, true
}

// admits reports whether a request may run beside the suspects on the target.
func (s *slot) admits(suspicion Suspicion) bool {
	switch suspicion {
	case Suspected:
		return s.isolated == 0
	case Isolated:
		return s.suspects == 0
	}
	return true
}

// hasOwnRoom reports whether in-share work may queue at a target that is full: the agent
// takes slots back for a waiting member only if that member waits there. Without such
// room a member that filled all queues would keep the others from every agent.
func (s *slot) hasOwnRoom(q *Query) bool {
	return q.Class == ClassInShare && s.members[q.Member] < s.capacity()
}

func (s *slot) capacity() int { return max(1, s.target.Slots) }

// load estimates the load per slot: own reservations plus the part of the reported
// load that comes from elsewhere, which fades out as the report ages.
func (s *slot) load(now time.Time) float64 {
	elsewhere := max(0, s.target.Running+s.target.Waiting-s.inflightAtReport)
	age := max(0, now.Sub(s.target.LoadAt))
	weight := max(0, 1-float64(age)/float64(loadMaxAge))
	return (float64(s.inflight) + weight*float64(elsewhere)) / float64(s.capacity())
}

// matched returns the part of the blocks up to the last one that is in the cache. The
// hashes are chained: a block's hash stands for all blocks before it too, which need not
// be in the sample that an agent reports.
func matched(blocks []uint64, cached map[uint64]struct{}) float64 {
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

// recent returns the target that last got the longest known prefix of the prompt.
func (p *Pool) recent(q *Query) *slot {
	for i := len(q.Blocks) - 1; i >= 0; i-- {
		name, ok := p.affinity[q.Blocks[i]]
		if !ok {
			continue
		}
		s := p.slots[name]
		if s == nil || !s.present || !s.target.Usable() || s.target.Service != q.Service {
			continue
		}
		if q.Version == "" || s.target.HasVersion(q.Version) {
			return s
		}
	}
	return nil
}

// remember records the placement under the prompt's first and last block.
func (p *Pool) remember(blocks []uint64, target string) {
	if len(blocks) == 0 {
		return
	}
	p.rememberBlock(blocks[0], target)
	p.rememberBlock(blocks[len(blocks)-1], target)
}

func (p *Pool) rememberBlock(block uint64, target string) {
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

// Reserve counts one attempt of a member on a target.
func (p *Pool) Reserve(target, member string, suspicion Suspicion) {
	s := p.slots[target]
	if s == nil {
		return
	}
	s.inflight++
	s.members[member]++
	s.addSuspect(suspicion, 1)
}

// Release ends one attempt of a member on a target.
func (p *Pool) Release(target, member string, suspicion Suspicion) {
	s := p.slots[target]
	if s == nil {
		return
	}
	if s.members[member]--; s.members[member] <= 0 {
		delete(s.members, member)
	}
	s.inflight = max(0, s.inflight-1)
	s.addSuspect(suspicion, -1)
}

func (s *slot) addSuspect(suspicion Suspicion, n int) {
	if suspicion != NotSuspected {
		s.suspects = max(0, s.suspects+n)
	}
	if suspicion == Isolated {
		s.isolated = max(0, s.isolated+n)
	}
}

// Suspects returns the number of this entry's suspects on a target.
func (p *Pool) Suspects(target string) int {
	if s := p.slots[target]; s != nil {
		return s.suspects
	}
	return 0
}

// Inflight returns this entry's reservations on a target.
func (p *Pool) Inflight(target string) int {
	if s := p.slots[target]; s != nil {
		return s.inflight
	}
	return 0
}

// LoadLevel classifies the load of a target: 0 below a third of its slots, 1 below
// four fifths, 2 above. Evidence about versions is kept per level.
func (p *Pool) LoadLevel(target string, now time.Time) int {
	s := p.slots[target]
	if s == nil {
		return 0
	}
	switch load := s.load(now); {
	case load < 1.0/3:
		return 0
	case load < 0.8:
		return 1
	}
	return 2
}
