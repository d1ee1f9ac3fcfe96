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
	"bramleygap/internal/core/speed"
)

const (
	// defaultPrefillRate is the nominal prefill speed of an engine in tokens per ms, as
	// stated by the users for their engines. Observed slowness scales it.
	defaultPrefillRate = 5.0
	// firstEventOverhead is the time to the first event beyond prefill: admission and
	// decoding of the first event's tokens.
	firstEventOverhead = 60 * time.Millisecond
	// choiceJitter is the range of the random cost that keeps gateways with the same view
	// from choosing the same target.
	choiceJitter = 60 * time.Millisecond
	// nonPreferredCost is the cost of a target that another gateway prefers. Gateways learn
	// of each other's choices with a delay, so each fills its preferred targets first, up to
	// this much extra waiting.
	nonPreferredCost = 250 * time.Millisecond
	// leavingCost is the cost of a target that reported itself as leaving while the store
	// was unavailable. The target is not excluded, since the report may be wrong.
	leavingCost = 3 * time.Second
	// leavingReportTTL is how long a target's report that it is leaving is valid.
	leavingReportTTL = 4 * time.Second
	// streamCost is the least cost of each running stream at a candidate, and joinedShare that cost as a share of
	// the time to read the prompt. An engine reads a part of a prompt with each token of its streams, which
	// take several times as long meanwhile. The share is well below that, since a late first event delays the
	// whole stream that waits for it.
	streamCost  = 25 * time.Millisecond
	joinedShare = 0.12
	// copyCost is the cost of each KV cache copy at a candidate: when the target that runs the
	// stream is lost, the stream resumes at its copy.
	copyCost = 15 * time.Millisecond
	// sameZoneCopyCost is the cost of each copy at a candidate whose stream runs in the same
	// zone as the stream to be copied: if that zone is lost, they all resume at once.
	sameZoneCopyCost = 120 * time.Millisecond
	// copyMemoryFraction is the fraction of the engines' memory, reserved for runs and copies, above
	// which no copies are added. With the copies, the runs of an overloaded fleet would have to wait
	// for memory, and each loss would be followed by fewer places to resume at.
	copyMemoryFraction = 0.7
	// lastResortCost is the cost of a candidate whose memory would overflow, which preempts
	// generations, or whose failure rate exceeds failureThreshold.
	lastResortCost = 20 * time.Second
	// otherZoneCost makes short calls prefer the gateway's own zone: traffic between zones
	// is billed and takes 1 ms longer.
	otherZoneCost = 2 * time.Millisecond
	// downDuration is how long a target is avoided after it was found unreachable, unless a
	// probe finds it alive.
	downDuration = 3 * time.Second
	// peerLoadMaxAge is the age beyond which another gateway's load report is ignored.
	peerLoadMaxAge = 2 * time.Second
	// failureWeight, latencyWeight and slownessWeight are the weights of a new sample in a
	// target's moving averages.
	failureWeight = 0.15
	// failureThreshold is the failure rate above which a target is a last resort. It is well
	// above the rate at which healthy applications fail requests.
	failureThreshold = 0.4
	// failureHalfLife is the half-life of a failure rate without new samples.
	failureHalfLife = 2 * time.Second
	latencyWeight   = 0.2
	// latencyHalfLife is the half-life of the excess of a target's latency over that of the others without
	// new samples.
	latencyHalfLife = 5 * time.Second
	slownessWeight  = 0.5
	// maxSlowness bounds the slowness of a target, so that it recovers within a few samples.
	maxSlowness = 10.0
	// slownessHalfLife is the half-life of the excess slowness without new samples.
	slownessHalfLife = 5 * time.Second
)

// GenerationSize is the size of one generation in tokens.
type GenerationSize struct {
	// PromptTokens is the number of prompt tokens that need prefill, without those that the
	// target may have cached.
	PromptTokens int
	// OutputTokens is the expected number of output tokens.
	OutputTokens int
}

// memory returns the number of tokens that the generation occupies when it completes.
func (size GenerationSize) memory() int { return size.PromptTokens + size.OutputTokens }

// PeerLoad is the load that one gateway has placed on one target.
type PeerLoad struct {
	// Backlog is the time that the target needs to prefill its pending prompts.
	Backlog time.Duration
	// Memory is the number of reserved tokens, Streams the number of running generations
	// and Copies the number of KV cache copies.
	Memory, Streams, Copies int
}

// TargetKey stands for the ID of a target in the loads that gateways report. The keys of two targets
// are equal in one of 4 billion cases; each then seems to have the reported loads of both.
type TargetKey uint32

// KeyOf returns the key of a target.
func KeyOf(id string) TargetKey { return TargetKey(xxhash.Sum64String(id)) }

// ReportedLoad is the load that one gateway has placed on one target.
type ReportedLoad struct {
	Target TargetKey
	PeerLoad
}

type peerReport struct {
	at    time.Time
	loads []ReportedLoad
}

// loadSums is the load of one target summed over the valid reports of other gateways, so that
// a choice does not look at each report for each target.
type loadSums struct {
	memory, streams, copies int
	// reports is the number of reports in the sums, registered whether a target uses them.
	reports    int
	registered bool
	backlogs   []reportedBacklog
}

// reportedBacklog is when a target will have read the pending prompts of one other gateway.
type reportedBacklog struct {
	peer    string
	at, end time.Time
}

func (b *reportedBacklog) length() time.Duration { return b.end.Sub(b.at) }

func (r *loadSums) add(peer string, at time.Time, load PeerLoad) {
	r.memory, r.streams, r.copies, r.reports = r.memory+load.Memory, r.streams+load.Streams, r.copies+load.Copies, r.reports+1
	if load.Backlog > 0 {
		r.backlogs = append(r.backlogs, reportedBacklog{peer, at, at.Add(load.Backlog)})
	}
}

func (r *loadSums) remove(peer string, load PeerLoad) {
	r.memory, r.streams, r.copies, r.reports = r.memory-load.Memory, r.streams-load.Streams, r.copies-load.Copies, r.reports-1
	if load.Backlog > 0 {
		r.backlogs = slices.DeleteFunc(r.backlogs, func(b reportedBacklog) bool { return b.peer == peer })
	}
}

// backlog returns the time that the target needs to prefill the pending prompts of other gateways.
func (r *loadSums) backlog(now time.Time) time.Duration {
	var total time.Duration
	for i := range r.backlogs {
		total += max(0, r.backlogs[i].end.Sub(now))
	}
	return total
}

type targetState struct {
	reg membership.Registration
	key TargetKey
	// ringHash is the target's place in the ring of its zone's targets.
	ringHash uint64
	// memoryCapacity is the memory in tokens, 0 if unknown.
	memoryCapacity int
	downUntil      time.Time
	// replaced is set when another instance responded at the address.
	replaced bool
	// displacedBy is the ID of a newer instance that is registered at the address, empty for none, and refuted that of
	// one whose registration this instance has contradicted by its own answer since.
	displacedBy, refuted string
	// goneAt is when this gateway found that the instance no longer exists, zero if it did not.
	goneAt time.Time
	// reportedGone is set once another gateway has reported that the instance no longer exists.
	reportedGone bool
	// preferredBy is the gateway that prefers the target, and preferredHash its rendezvous hash.
	// preferred is set if that is this gateway.
	preferredBy   string
	preferredHash uint64
	preferred     bool
	// firstInRing is set if the target lies between this gateway and the next one in the ring.
	firstInRing bool
	// notice is what the instance said about itself, nil if nothing.
	notice *noticeState
	// leavingUntil is the end of a report that the target is unhealthy, by its health check or by
	// another gateway. leavingFirstHand is set if it was this gateway's health check.
	leavingUntil     time.Time
	leavingFirstHand bool
	activeCalls      int
	// reported is the load from other gateways. Its expired reports are removed by expireReports.
	reported *loadSums
	streams  map[uint64]*stream
	// streamMemory is the number of tokens reserved for streams.
	streamMemory int
	copies       int
	// copiesBySourceZone counts the copies by the zone in which their streams run.
	copiesBySourceZone map[string]int
	// copyMemory is the number of tokens reserved for copies.
	copyMemory int
	// prefillEnd is when all prompts placed by this gateway are expected to be prefilled.
	prefillEnd time.Time
	// slowness is the factor by which prefill takes longer than nominal, at least 1.
	slowness decayingAverage
	failures decayingAverage
	recent   recentAttempts
	// latency is the average latency of calls, and latencyAt the time of its last sample.
	latency   time.Duration
	latencyAt time.Time
	work      workEvidence
	// idleSince and idleSeen are those of idleFor.
	idleSince, idleSeen time.Time
	// lasting holds the lasting speeds, nil while those of its service are not in use.
	lasting   *speed.Speeds
	latencies speed.Latencies
}

// stream is one generation placed on a target by this gateway.
type stream struct {
	size    GenerationSize
	started time.Time
	// expected is the expected time to the first event.
	expected time.Duration
	// prefilling is set until the first event.
	prefilling bool
	sampling   speedSampling
}

// decayingAverage is a weighted average that decays to its baseline without new samples.
type decayingAverage struct {
	value, baseline float64
	halfLife        time.Duration
	at              time.Time
}

func (d *decayingAverage) get(now time.Time) float64 {
	if d.at.IsZero() {
		return d.baseline
	}
	halfLives := float64(now.Sub(d.at)) / float64(d.halfLife)
	if halfLives > 30 {
		return d.baseline
	}
	return d.baseline + (d.value-d.baseline)/math.Exp2(halfLives)
}

func (d *decayingAverage) add(now time.Time, sample, weight float64) {
	current := d.get(now)
	d.value, d.at = current+weight*(sample-current), now
}

// Fleet chooses among targets that gateways reach directly, based on the work that this
// gateway placed on each and the loads that other gateways reported. It is not safe for
// concurrent use.
type Fleet struct {
	name     string
	zone     string
	gateways []string
	rng      *rand.Rand
	targets  map[string]*targetState
	// order holds the targets sorted by id, so that choices are deterministic.
	order []*targetState
	// sharers holds the gateways as of the last report of another one.
	sharers []string
	own     ownTargets
	// peers holds the reports of other gateways by name, and reported their sums, also
	// of targets that are not registered yet. oldestReport is not after the oldest report.
	peers        map[string]peerReport
	reported     map[TargetKey]*loadSums
	oldestReport time.Time
	notices      *notices
	nextStreamID uint64
	// rings is nil until it is needed, and while gateways use all targets.
	rings *rings
	// callsSinceTrial counts the calls of each service since the last one to a failing target.
	callsSinceTrial map[string]int
	// speeds is nil unless the fleet estimates speeds. samples counts the samples of its own.
	speeds   *speed.Book
	samples  SampleCounts
	transfer zoneTransfer
	// prompts holds the services for whose targets unread counts the prompts one by one.
	prompts map[string]bool
}

// NewFleet returns an empty fleet for a gateway in a zone.
func NewFleet(name, zone string, rng *rand.Rand) *Fleet {
	return &Fleet{name: name, zone: zone, gateways: []string{name}, rng: rng, targets: map[string]*targetState{}, peers: map[string]peerReport{}, reported: map[TargetKey]*loadSums{}, notices: newNotices(), callsSinceTrial: map[string]int{}, prompts: map[string]bool{}}
}

// Update replaces the registered targets. The state of targets that are still registered is
// kept, unless they restarted. The capacity function returns the memory of a service's
// engines in tokens.
func (f *Fleet) Update(list []membership.Registration, capacity func(service string) int) {
	next := make(map[string]*targetState, len(list))
	for _, reg := range list {
		t := f.targets[reg.ID]
		if t == nil || !t.reg.SameInstance(&reg) {
			t = &targetState{
				key:                KeyOf(reg.ID),
				ringHash:           xxhash.Sum64String("ring\x00" + reg.ID),
				streams:            map[uint64]*stream{},
				copiesBySourceZone: map[string]int{},
				slowness:           decayingAverage{baseline: 1, halfLife: slownessHalfLife},
				failures:           decayingAverage{halfLife: failureHalfLife},
			}
			f.assignPreferred(t, reg.ID, f.gateways)
		}
		t.reg, t.memoryCapacity, t.reported = reg, capacity(reg.Service), f.sumsOf(t.key)
		next[reg.ID] = t
	}
	for _, t := range f.targets {
		t.reported.registered = false
	}
	for _, t := range next {
		t.reported.registered = true
	}
	for _, t := range f.targets {
		f.dropUnused(t.key)
	}
	previous := f.targets
	f.targets = next
	f.attachNotices(previous)
	f.order = slices.SortedFunc(maps.Values(next), func(a, b *targetState) int { return cmp.Compare(a.reg.ID, b.reg.ID) })
	f.detectDisplaced()
	f.rings, f.own = nil, ownTargets{}
	f.updateSpeeds()
}

// detectDisplaced finds the targets whose address is also registered by a newer instance.
func (f *Fleet) detectDisplaced() {
	newest := make(map[string]*targetState, len(f.targets))
	for _, t := range f.targets {
		if other := newest[t.reg.Address]; other == nil || other.reg.StartUnixMS < t.reg.StartUnixMS {
			newest[t.reg.Address] = t
		}
	}
	for _, t := range f.targets {
		t.displacedBy = ""
		if other := newest[t.reg.Address]; t.reg.StartUnixMS < other.reg.StartUnixMS {
			t.displacedBy = other.reg.ID
		}
	}
}

// isReplaced reports whether another instance has taken over the target's address. What the target answers says more
// than a registration.
func (t *targetState) isReplaced() bool {
	return t.replaced || t.displacedBy != "" && t.displacedBy != t.refuted
}

// SetGateways sets the names of the gateways that share the targets, including this one. Only the
// gateways that joined are compared for each target, and all of them for the targets of those that
// left: the number of targets times that of gateways is large.
func (f *Fleet) SetGateways(names []string) {
	before := make(map[string]bool, len(f.gateways))
	for _, name := range f.gateways {
		before[name] = true
	}
	var joined []string
	for _, name := range names {
		if !before[name] {
			joined = append(joined, name)
		}
		delete(before, name)
	}
	f.gateways, f.rings = names, nil
	for id, t := range f.targets {
		if before[t.preferredBy] {
			t.preferredBy, t.preferredHash = "", 0
			f.assignPreferred(t, id, names)
			continue
		}
		f.assignPreferred(t, id, joined)
	}
}

// assignPreferred updates which gateway prefers a target, given gateways that it has not been
// compared for. Rendezvous hashing reassigns few targets when a gateway joins or leaves.
func (f *Fleet) assignPreferred(t *targetState, id string, gateways []string) {
	for _, name := range gateways {
		if h := preferenceHash(name, id); h > t.preferredHash || t.preferredBy == "" {
			t.preferredHash, t.preferredBy = h, name
		}
	}
	t.preferred = t.preferredBy == f.name
}

// preferenceHash returns the rendezvous hash of a gateway for a target.
func preferenceHash(gateway, id string) uint64 { return xxhash.Sum64String(gateway + "\x00" + id) }

// Prefers reports whether this gateway prefers a target, that is, has the highest rendezvous
// hash for it. The target need not be registered.
func (f *Fleet) Prefers(id string) bool {
	if t := f.targets[id]; t != nil {
		return t.preferred
	}
	var t targetState
	f.assignPreferred(&t, id, f.gateways)
	return t.preferred
}

// MarkLeaving records for leavingReportTTL that the health check of a target failed: it leaves or is
// unhealthy. A target that states that it leaves is recorded by Observe, without an end.
func (f *Fleet) MarkLeaving(now time.Time, id string) {
	if t := f.targets[id]; t != nil {
		t.leavingUntil, t.leavingFirstHand = now.Add(leavingReportTTL), true
	}
}

// ReportLeaving records for leavingReportTTL that another gateway reports a target as leaving.
func (f *Fleet) ReportLeaving(now time.Time, id string) {
	if t := f.targets[id]; t != nil && !now.Before(t.leavingUntil) {
		t.leavingUntil, t.leavingFirstHand = now.Add(leavingReportTTL), false
	}
}

// ReportedLeaving returns the targets that told this gateway that they leave and whose registration
// does not say so. Reports of other gateways are not passed on: gateways would renew each other's
// reports without end.
func (f *Fleet) ReportedLeaving(now time.Time) []string {
	var ids []string
	for _, t := range f.order {
		if t.hasReportedLeaving(now) {
			ids = append(ids, t.reg.ID)
		}
	}
	return ids
}

func (t *targetState) hasReportedLeaving(now time.Time) bool {
	told := t.leavingFirstHand && now.Before(t.leavingUntil) || t.leaving() && now.Sub(t.notice.LeavingSince) < leavingShareTime
	return told && !t.reg.Leaving
}

func (t *targetState) leavingPenalty(now time.Time) time.Duration {
	if now.Before(t.leavingUntil) {
		return leavingCost
	}
	return 0
}

// SetPeerLoads replaces the loads reported by another gateway. The list must not be changed later.
func (f *Fleet) SetPeerLoads(peer string, at time.Time, loads []ReportedLoad) {
	f.removeReport(peer)
	f.sharers = f.gateways
	if len(f.peers) == 0 || at.Before(f.oldestReport) {
		f.oldestReport = at
	}
	f.peers[peer] = peerReport{at: at, loads: loads}
	for _, load := range loads {
		f.sumsOf(load.Target).add(peer, at, load.PeerLoad)
	}
}

// removeReport removes the loads reported by another gateway from the sums.
func (f *Fleet) removeReport(peer string) {
	for _, load := range f.peers[peer].loads {
		f.reported[load.Target].remove(peer, load.PeerLoad)
		f.dropUnused(load.Target)
	}
	delete(f.peers, peer)
}

// expireReports removes the reports that are older than peerLoadMaxAge.
func (f *Fleet) expireReports(now time.Time) {
	if len(f.peers) == 0 || now.Sub(f.oldestReport) <= peerLoadMaxAge {
		return
	}
	f.oldestReport = now
	for peer, report := range f.peers {
		switch {
		case now.Sub(report.at) > peerLoadMaxAge:
			f.removeReport(peer)
		case report.at.Before(f.oldestReport):
			f.oldestReport = report.at
		}
	}
}

// sumsOf returns the sums of a target, creating them if necessary.
func (f *Fleet) sumsOf(target TargetKey) *loadSums {
	sums := f.reported[target]
	if sums == nil {
		sums = &loadSums{}
		f.reported[target] = sums
	}
	return sums
}

// dropUnused drops the sums of a target that is not registered and has no reports.
func (f *Fleet) dropUnused(target TargetKey) {
	if sums := f.reported[target]; sums != nil && sums.reports == 0 && !sums.registered {
		delete(f.reported, target)
	}
}

// UsableCount returns the number of usable targets of a service.
func (f *Fleet) UsableCount(now time.Time, service string) int {
	n := 0
	for _, t := range f.targets {
		if t.reg.Service == service && t.usable(now) {
			n++
		}
	}
	return n
}

// Target returns the registration of a target.
func (f *Fleet) Target(id string) (membership.Registration, bool) {
	t := f.targets[id]
	if t == nil {
		return membership.Registration{}, false
	}
	return t.reg, true
}

// Usable reports whether a target can be reached: it is registered, and neither registered as
// leaving, replaced nor down. Its notices may keep it from receiving new work.
func (f *Fleet) Usable(now time.Time, id string) bool {
	t := f.targets[id]
	return t != nil && t.usable(now)
}

// CanHoldCopy reports whether a target is usable and has not reported itself as leaving: a
// leaving engine refuses to resume from a copy. A paused engine keeps its copies, since moving them
// takes longer than most pauses.
func (f *Fleet) CanHoldCopy(now time.Time, id string) bool {
	t := f.targets[id]
	return t != nil && t.usable(now) && !t.leaving() && !now.Before(t.leavingUntil)
}

func (t *targetState) usable(now time.Time) bool {
	return !t.reg.Leaving && !t.isReplaced() && !now.Before(t.downUntil)
}

// leaving reports whether the instance itself has said that it leaves.
func (t *targetState) leaving() bool { return t.notice != nil && t.notice.Leaving() }

// accepts reports whether the target may receive new work: it is usable, and its notices do not hold
// requests back.
func (t *targetState) accepts(now time.Time) bool {
	return t.usable(now) && (t.notice == nil || !t.notice.Holds(now))
}

func (t *targetState) instance() Instance { return Instance{t.reg.ID, t.reg.StartUnixMS} }

// Accepts reports whether a target may receive new work now.
func (f *Fleet) Accepts(now time.Time, id string) bool {
	t := f.targets[id]
	return t != nil && t.accepts(now)
}

// BeginCall records the start of a short call at a target.
func (f *Fleet) BeginCall(id string) {
	if t := f.targets[id]; t != nil {
		t.activeCalls++
	}
}

// EndCall records the end of a short call. A latency of 0 means that the call says nothing
// about the target's speed.
func (f *Fleet) EndCall(now time.Time, id string, latency time.Duration, failed bool) {
	f.endCall(now, id, latency, failed)
	if t := f.targets[id]; t != nil {
		t.recent.add(now, failed)
	}
}

// EndCallWithoutVerdict records the end of a short call that does not tell whether the target fails its calls.
func (f *Fleet) EndCallWithoutVerdict(now time.Time, id string) { f.endCall(now, id, 0, false) }

func (f *Fleet) endCall(now time.Time, id string, latency time.Duration, failed bool) {
	t := f.targets[id]
	if t == nil {
		return
	}
	t.activeCalls = max(0, t.activeCalls-1)
	sample := 0.0
	if failed {
		sample = 1
	}
	t.failures.add(now, sample, failureWeight)
	if latency > 0 {
		t.latency += time.Duration(latencyWeight * float64(latency-t.latency))
		t.latencyAt = now
		f.sampleCall(now, t, latency)
	}
}

// BeginStream records a generation at a target and its copy at copyHolder, which may be
// empty. It returns the stream id for RecordFirstEvent and EndStream.
func (f *Fleet) BeginStream(now time.Time, id, copyHolder string, size GenerationSize) uint64 {
	f.nextStreamID++
	if t := f.targets[id]; t != nil {
		expected := f.timeToFirstEvent(now, t, size)
		t.streams[f.nextStreamID] = &stream{size: size, started: now, expected: expected, prefilling: true, sampling: f.beginSampling(now, t, size)}
		t.streamMemory += size.memory()
		start := t.prefillEnd
		if start.Before(now) {
			start = now
		}
		t.prefillEnd = start.Add(t.takes(now, size.PromptTokens, 0))
	}
	f.addCopy(id, copyHolder, size)
	return f.nextStreamID
}

// MoveCopy records that the copy of a generation at the target id is at another holder than before.
// Both holders may be empty. EndStream expects the last one.
func (f *Fleet) MoveCopy(id, from, to string, size GenerationSize) {
	f.removeCopy(id, from, size)
	f.addCopy(id, to, size)
}

func (f *Fleet) addCopy(id, holder string, size GenerationSize) {
	if t := f.targets[holder]; t != nil {
		t.copies++
		t.copyMemory += size.memory()
		t.copiesBySourceZone[f.zoneOf(id)]++
	}
}

func (f *Fleet) removeCopy(id, holder string, size GenerationSize) {
	if t := f.targets[holder]; t != nil && t.copies > 0 {
		t.copies--
		t.copyMemory = max(0, t.copyMemory-size.memory())
		t.copiesBySourceZone[f.zoneOf(id)] = max(0, t.copiesBySourceZone[f.zoneOf(id)]-1)
	}
}

// RecordFirstEvent records that a generation produced its first event and updates the
// target's slowness.
func (f *Fleet) RecordFirstEvent(now time.Time, id string, streamID uint64) {
	t := f.targets[id]
	if t == nil || t.streams[streamID] == nil {
		return
	}
	s := t.streams[streamID]
	s.prefilling = false
	f.samplePrefill(now, t, s)
	if s.size.PromptTokens > 0 {
		ratio := float64(now.Sub(s.started)) / float64(max(s.expected, time.Millisecond))
		t.slowness.add(now, min(maxSlowness, max(1, t.slowness.get(now)*ratio)), slownessWeight)
	}
	for _, other := range t.streams {
		if other.prefilling {
			return
		}
	}
	t.prefillEnd = now
}

// EndStream records the end of a generation at its target and releases its copy.
func (f *Fleet) EndStream(now time.Time, id, copyHolder string, streamID uint64, size GenerationSize, failed bool) {
	if t := f.targets[id]; t != nil && t.streams[streamID] != nil {
		t.streamMemory -= t.streams[streamID].size.memory()
		delete(t.streams, streamID)
		sample := 0.0
		if failed {
			sample = 1
		}
		t.failures.add(now, sample, failureWeight)
		if len(t.streams) == 0 {
			t.prefillEnd = now
		}
	}
	f.removeCopy(id, copyHolder, size)
}

func (f *Fleet) zoneOf(id string) string {
	if t := f.targets[id]; t != nil {
		return t.reg.Zone
	}
	return ""
}

// MarkDown excludes an unreachable target for downDuration.
func (f *Fleet) MarkDown(now time.Time, id string) {
	if t := f.targets[id]; t != nil {
		t.downUntil = now.Add(downDuration)
	}
}

// MarkUp clears the effect of MarkDown and MarkGone after the target responded.
func (f *Fleet) MarkUp(id string) {
	if t := f.targets[id]; t != nil {
		t.downUntil, t.goneAt = time.Time{}, time.Time{}
	}
}

// Confirm records that a target itself answered at its address.
func (f *Fleet) Confirm(id string) {
	if t := f.targets[id]; t != nil {
		t.refuted = t.displacedBy
	}
}

// MarkReplaced excludes a target at whose address another instance responded.
func (f *Fleet) MarkReplaced(now time.Time, id string) {
	if t := f.targets[id]; t != nil {
		t.replaced, t.goneAt = true, now
	}
}

// MarkGone records that the process of a target has ended.
func (f *Fleet) MarkGone(now time.Time, id string) {
	if t := f.targets[id]; t != nil {
		t.goneAt = now
	}
}

// GoneAt returns when this gateway found that the process of a target has ended, zero if it did not.
func (f *Fleet) GoneAt(id string) time.Time {
	if t := f.targets[id]; t != nil {
		return t.goneAt
	}
	return time.Time{}
}

// Instance identifies one start of a target.
type Instance struct {
	ID          string
	StartUnixMS uint64
}

// GoneInstances returns the instances that this gateway found gone within downDuration, to be
// reported to the other gateways.
func (f *Fleet) GoneInstances(now time.Time) []Instance {
	var list []Instance
	for _, t := range f.order {
		if !t.goneAt.IsZero() && now.Sub(t.goneAt) < downDuration {
			list = append(list, Instance{t.reg.ID, t.reg.StartUnixMS})
		}
	}
	return list
}

// ReportGone excludes an instance for downDuration that another gateway found gone. Later reports
// about the same instance have no effect, so that gateways cannot prolong each other's reports.
func (f *Fleet) ReportGone(now time.Time, instance Instance) {
	t := f.targets[instance.ID]
	if t == nil || t.reg.StartUnixMS != instance.StartUnixMS || t.reportedGone {
		return
	}
	t.reportedGone = true
	t.downUntil = now.Add(downDuration)
}

// DownTargets returns the targets to be checked because they are excluded as unreachable, or because a newer instance
// is registered at their address. Those that only other gateways found gone are left to them, and paused ones are
// checked after the pause.
func (f *Fleet) DownTargets(now time.Time) []membership.Registration {
	var list []membership.Registration
	for _, t := range f.targets {
		if t.reportedGone && t.goneAt.IsZero() && !t.preferred {
			continue
		}
		if (now.Before(t.downUntil) || t.isReplaced()) && !t.replaced && !t.reg.Leaving && (t.notice == nil || !t.notice.Paused(now)) {
			list = append(list, t.reg)
		}
	}
	return list
}

// LocalLoads returns the load that this gateway has placed on each target, to be reported to the
// other gateways, without targets that have none and work.
func (f *Fleet) LocalLoads(now time.Time) []ReportedLoad {
	var loads []ReportedLoad
	for _, t := range f.order {
		if len(t.streams) == 0 && t.copies == 0 && !t.hangs(now) {
			continue
		}
		loads = append(loads, ReportedLoad{t.key, PeerLoad{
			Backlog: f.localBacklog(now, t), Memory: t.streamMemory + t.copyMemory, Streams: len(t.streams), Copies: t.copies,
		}})
	}
	return loads
}
