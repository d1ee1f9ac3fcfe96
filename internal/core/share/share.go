// Package share admits the members' generations to one engine by weighted fair queueing and
// preempts generations of members over their share. It does no I/O and reads no clock: times
// are arguments and decisions are returned as Effects.
package share

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Params are the parameters of a Scheduler. The unit of work is one generated token.
type Params struct {
	// Window is the sliding window over which the members' work is counted.
	Window time.Duration
	// WaitBeforePreempt is how long a job of a member below its share waits before other
	// members' jobs are preempted for it.
	WaitBeforePreempt time.Duration
	// PreemptInterval is the minimum time between two preemptions of one generation.
	PreemptInterval time.Duration
	// ExcessTolerance is the fraction of its share by which a member must exceed it before
	// its jobs are preempted.
	ExcessTolerance float64
	// RemoteUsageMaxAge is the age beyond which usage on other agents is ignored.
	RemoteUsageMaxAge time.Duration
	MaxWaiting        int
	// AdmissionCharge is the work charged when a job is admitted and credited against its
	// first work. Without it, a member could take all free slots before its first token is
	// charged.
	AdmissionCharge float64
}

// DefaultParams are explained in section 5.4 of the design document.
var DefaultParams = Params{
	Window:            10 * time.Second,
	WaitBeforePreempt: 100 * time.Millisecond,
	PreemptInterval:   5 * time.Second,
	ExcessTolerance:   0.10,
	RemoteUsageMaxAge: 5 * time.Second,
	MaxWaiting:        512,
	AdmissionCharge:   64,
}

const (
	// defaultWeight is the weight, in percent, of a member that the operator configuration
	// does not list. An agent without configuration weights all members equally.
	defaultWeight = 1
	// minCorrectionFactor bounds the correction of a member's weight from below, so that the
	// member never starves on this agent, however much it uses others.
	minCorrectionFactor = 0.05
	// currentSplitWeight is the influence of the current split of work on this agent on the
	// corrected weights. At 0, members whose prompts are cached on few engines get too little
	// work there; at 1, an uneven split persists.
	currentSplitWeight = 0.5
)

// Job is one attempt that needs a slot.
type Job struct {
	ID         string
	Generation string
	Member     string
	// Priority orders the jobs of a member; higher values are admitted first.
	Priority int32
	// Resume marks the continuation of an interrupted generation. Resumes are admitted before
	// the member's other jobs.
	Resume bool
	// Started is when the generation began. The oldest generation resumes first.
	Started time.Time
	// PreemptedAt is when another agent last preempted the generation, zero if none did.
	PreemptedAt time.Time
}

// Effects are decisions by job id, which the caller must carry out in order.
type Effects struct {
	// Admit lists jobs that may use the engine.
	Admit []string
	// Preempt lists running jobs to stop. The caller calls Depart for each once it stopped.
	Preempt []string
	// Shed lists waiting jobs to refuse because the queue is full. They are already removed.
	Shed []string
}

type job struct {
	Job
	arrived    time.Time
	order      uint64
	admitted   time.Time
	running    bool
	preempting bool
	// beneficiary is the member that the job is preempted for.
	beneficiary *member
	// unusedCharge is the part of the admission charge not yet used up by work.
	unusedCharge float64
	// chargeWeight is the member's weight when the job was admitted.
	chargeWeight float64
}

type member struct {
	name        string
	virtualTime float64 // charged work divided by weight
	waiting     []*job  // sorted by compareJobs
	running     int
	// owedSlots counts the slots freed for the member by preemption that it has not received.
	// Without it, fair queueing may return such a slot to the preempted member.
	owedSlots int
	usage     window
}

func (m *member) competes() bool { return m.running > 0 || len(m.waiting) > 0 }

// Scheduler schedules the jobs of one engine. It is not safe for concurrent use.
type Scheduler struct {
	params  Params
	slots   int
	running int
	waiting int
	order   uint64
	// virtualClock is the virtual time of the scheduler. When an idle member gets a job, its
	// virtual time is advanced to at least virtualClock.
	virtualClock float64
	weights      map[string]float64
	// chargeWeights holds the corrected weights as of the last tick. Computing them for each
	// token would cost more than the rest of its processing.
	chargeWeights map[string]float64
	members       map[string]*member
	jobs          map[string]*job
	remoteUsage   map[string]float64
	remoteUsageAt time.Time
	// preempted is the time of the last preemption by generation, here or at another agent.
	preempted map[string]time.Time
}

// New returns a scheduler for an engine with the given number of slots.
func New(params Params, slots int) *Scheduler {
	return &Scheduler{
		params:    params,
		slots:     slots,
		weights:   make(map[string]float64),
		members:   make(map[string]*member),
		jobs:      make(map[string]*job),
		preempted: make(map[string]time.Time),
	}
}

// Waiting returns the number of waiting jobs.
func (s *Scheduler) Waiting() int { return s.waiting }

// Running returns the number of admitted jobs, including those being preempted.
func (s *Scheduler) Running() int { return s.running }

// SetSlots sets the number of slots of the engine.
func (s *Scheduler) SetSlots(now time.Time, slots int) Effects {
	s.slots = slots
	return s.admit(now)
}

// SetWeights sets the members' shares, in percent.
func (s *Scheduler) SetWeights(weights map[string]float64) { s.weights = weights }

// SetRemoteUsage sets the members' usage of other agents, in work per second.
func (s *Scheduler) SetRemoteUsage(now time.Time, usage map[string]float64) {
	s.remoteUsage, s.remoteUsageAt = usage, now
}

// Usage returns each member's usage of this engine over the window, in work per second.
func (s *Scheduler) Usage(now time.Time) map[string]float64 {
	usage := make(map[string]float64)
	for name, m := range s.members {
		if rate := m.usage.rate(now, s.params.Window); rate > 0 {
			usage[name] = rate
		}
	}
	return usage
}

// Arrive adds a waiting job. A job with a known id is ignored.
func (s *Scheduler) Arrive(now time.Time, arrival Job) Effects {
	if s.jobs[arrival.ID] != nil {
		return Effects{}
	}
	m := s.member(arrival.Member)
	if !m.competes() {
		// A member gains no credit for the time in which it had no jobs.
		s.virtualClock = max(s.virtualClock, s.minVirtualTime())
		m.virtualTime = max(m.virtualTime, s.virtualClock)
	}
	if !arrival.PreemptedAt.IsZero() && arrival.PreemptedAt.After(s.preempted[arrival.Generation]) {
		s.preempted[arrival.Generation] = arrival.PreemptedAt
	}
	s.order++
	j := &job{Job: arrival, arrived: now, order: s.order}
	s.jobs[j.ID] = j
	at, _ := slices.BinarySearchFunc(m.waiting, j, compareJobs)
	m.waiting = slices.Insert(m.waiting, at, j)
	s.waiting++
	effects := s.admit(now)
	if s.waiting > s.params.MaxWaiting {
		effects.Shed = append(effects.Shed, s.shed(now))
	}
	return effects
}

// compareJobs orders the waiting jobs of a member; the smallest is admitted first.
func compareJobs(a, b *job) int {
	if a.Resume != b.Resume {
		if a.Resume {
			return -1
		}
		return 1
	}
	if a.Resume {
		if c := a.Started.Compare(b.Started); c != 0 {
			return c
		}
	}
	if c := cmp.Compare(b.Priority, a.Priority); c != 0 {
		return c
	}
	return cmp.Compare(a.order, b.order)
}

// shed removes the last waiting job of the member with the longest queue relative to its
// weight and returns the job's id.
func (s *Scheduler) shed(now time.Time) string {
	weights := s.correctedWeights(now)
	var worst *member
	for _, m := range s.sortedMembers() {
		if len(m.waiting) == 0 {
			continue
		}
		if worst == nil || float64(len(m.waiting))*weights[worst.name] > float64(len(worst.waiting))*weights[m.name] {
			worst = m
		}
	}
	victim := worst.waiting[len(worst.waiting)-1]
	s.remove(victim)
	return victim.ID
}

// Depart removes a job that ended, was cancelled or was preempted.
func (s *Scheduler) Depart(now time.Time, id string) Effects {
	if j := s.jobs[id]; j != nil {
		s.remove(j)
	}
	return s.admit(now)
}

func (s *Scheduler) remove(j *job) {
	delete(s.jobs, j.ID)
	m := s.member(j.Member)
	if j.running {
		m.running--
		s.running--
		m.virtualTime -= j.unusedCharge / j.chargeWeight
		if j.beneficiary != nil {
			j.beneficiary.owedSlots++
		}
		return
	}
	m.waiting = slices.DeleteFunc(m.waiting, func(other *job) bool { return other == j })
	s.waiting--
}

// Charge accounts work of a running job, in generated tokens.
func (s *Scheduler) Charge(now time.Time, id string, work float64) {
	j := s.jobs[id]
	if j == nil {
		return
	}
	m := s.member(j.Member)
	m.usage.add(now, s.params.Window, work)
	prepaid := min(j.unusedCharge, work)
	j.unusedCharge -= prepaid
	weight := s.chargeWeights[m.name]
	if weight == 0 {
		weight = s.weight(m.name)
	}
	m.virtualTime += (work - prepaid) / weight
}

// Tick updates the weights, admits jobs and preempts jobs for members that wait below their
// share. It must be called regularly.
func (s *Scheduler) Tick(now time.Time) Effects {
	s.chargeWeights = s.correctedWeights(now)
	effects := s.admit(now)
	effects.Preempt = s.preempt(now)
	s.expire(now)
	return effects
}

// admit fills the free slots with jobs of the members with the lowest virtual time. It is
// work-conserving: no slot stays free while a job waits.
func (s *Scheduler) admit(now time.Time) Effects {
	var effects Effects
	if s.running >= s.slots || s.waiting == 0 {
		return effects
	}
	weights := s.correctedWeights(now)
	for s.running < s.slots && s.waiting > 0 {
		m := s.nextMember(weights)
		m.owedSlots = max(0, m.owedSlots-1)
		j := m.waiting[0]
		m.waiting = m.waiting[1:]
		s.waiting--
		s.running++
		m.running++
		j.running, j.admitted = true, now
		j.unusedCharge, j.chargeWeight = s.params.AdmissionCharge, weights[m.name]
		s.virtualClock = max(s.virtualClock, m.virtualTime)
		m.virtualTime += j.unusedCharge / weights[m.name]
		effects.Admit = append(effects.Admit, j.ID)
	}
	return effects
}

// nextMember returns the member whose job is admitted next: one with owed slots, otherwise
// the one with the lowest virtual time.
func (s *Scheduler) nextMember(weights map[string]float64) *member {
	var best *member
	for _, m := range s.sortedMembers() {
		if len(m.waiting) == 0 {
			m.owedSlots = 0
			continue
		}
		if m.owedSlots > 0 {
			return m
		}
		if best == nil || m.virtualTime < best.virtualTime ||
			(m.virtualTime == best.virtualTime && float64(m.running)*weights[best.name] < float64(best.running)*weights[m.name]) {
			best = m
		}
	}
	return best
}

// preempt selects jobs to preempt for the members that wait below their share. Each is the
// newest preemptible job of the member that exceeds its share most.
func (s *Scheduler) preempt(now time.Time) []string {
	usages := s.shareUsages(now)
	var victims []string
	for _, m := range s.sortedMembers() {
		if !usages[m.name].below() {
			continue
		}
		for range s.slotsToReclaim(now, m, usages[m.name]) - s.pendingPreemptionsFor(m) {
			victim := s.victim(now, usages)
			if victim == nil {
				return victims
			}
			victim.preempting, victim.beneficiary = true, m
			s.preempted[victim.Generation] = now
			usage := usages[victim.Member]
			usage.slots -= 1 / float64(max(s.slots, 1))
			usages[victim.Member] = usage
			victims = append(victims, victim.ID)
		}
	}
	return victims
}

// slotsToReclaim returns the number of the member's jobs that have waited for
// WaitBeforePreempt, limited to the number of slots missing from its share.
func (s *Scheduler) slotsToReclaim(now time.Time, m *member, usage shareUsage) int {
	deficit := int((usage.share-usage.slots)*float64(s.slots) + 1e-9)
	if deficit == 0 && m.running == 0 {
		// A member whose share is less than one slot still gets one.
		deficit = 1
	}
	waits := 0
	for _, j := range m.waiting {
		if now.Sub(j.arrived) >= s.params.WaitBeforePreempt {
			waits++
		}
	}
	return min(waits, deficit)
}

// pendingPreemptionsFor returns the number of jobs being preempted for the member.
func (s *Scheduler) pendingPreemptionsFor(m *member) int {
	count := 0
	for _, j := range s.jobs {
		if j.beneficiary == m {
			count++
		}
	}
	return count
}

// pendingPreemptionsOf returns the number of the member's jobs that are being preempted.
func (s *Scheduler) pendingPreemptionsOf(m *member) int {
	count := 0
	for _, j := range s.jobs {
		if j.preempting && j.Member == m.name {
			count++
		}
	}
	return count
}

func (s *Scheduler) victim(now time.Time, usages map[string]shareUsage) *job {
	var worst *member
	for _, m := range s.sortedMembers() {
		if !usages[m.name].over(s.params.ExcessTolerance) || s.newestPreemptible(now, m) == nil {
			continue
		}
		if worst == nil || usages[m.name].excess() > usages[worst.name].excess() {
			worst = m
		}
	}
	if worst == nil {
		return nil
	}
	return s.newestPreemptible(now, worst)
}

// newestPreemptible returns the member's most recently admitted job that may be preempted,
// nil if there is none.
func (s *Scheduler) newestPreemptible(now time.Time, m *member) *job {
	var newest *job
	for _, j := range s.jobs {
		if j.Member != m.name || !j.running || j.preempting {
			continue
		}
		if last, ok := s.preempted[j.Generation]; ok && now.Sub(last) < s.params.PreemptInterval {
			continue
		}
		if newest == nil || j.admitted.After(newest.admitted) || (j.admitted.Equal(newest.admitted) && j.order > newest.order) {
			newest = j
		}
	}
	return newest
}

// shareUsage compares a member's usage with its share among the members with jobs on this
// engine. All fields are fractions.
type shareUsage struct {
	// share is the member's share of this engine, corrected for its usage of other agents.
	share float64
	// slots is the fraction of the slots held by the member.
	slots float64
	// work is the member's fraction of the work over the window; -1 if there was none.
	work float64
}

// below and over compare both slots and work. The work over the window lags by 10 s; with
// work alone, a member would be preempted again and again until the other one is over its
// share.
func (u shareUsage) below() bool { return u.slots < u.share && u.work < u.share }

func (u shareUsage) over(excess float64) bool {
	limit := u.share * (1 + excess)
	return u.slots > limit && (u.work < 0 || u.work > limit)
}

func (u shareUsage) excess() float64 { return u.slots / u.share }

func (s *Scheduler) shareUsages(now time.Time) map[string]shareUsage {
	weights := s.correctedWeights(now)
	totalWeight, totalWork := 0.0, 0.0
	for name, m := range s.members {
		if m.competes() {
			totalWeight += weights[name]
			totalWork += m.usage.rate(now, s.params.Window)
		}
	}
	usages := make(map[string]shareUsage)
	for name, m := range s.members {
		if !m.competes() {
			continue
		}
		retained := m.running - s.pendingPreemptionsOf(m)
		current := shareUsage{share: weights[name] / totalWeight, slots: float64(retained) / float64(max(s.slots, 1)), work: -1}
		if totalWork > 0 {
			current.work = m.usage.rate(now, s.params.Window) / totalWork
		}
		usages[name] = current
	}
	return usages
}

// correctedWeights returns the weight of each member on this agent, corrected so that the
// member's fraction of the whole pool's work approaches its share. All agents correct at the
// same time, so each adds only the member's relative deficit and partly keeps the current
// split of its work. With full compensation on each agent, the fractions would oscillate.
func (s *Scheduler) correctedWeights(now time.Time) map[string]float64 {
	weights := make(map[string]float64, len(s.members))
	localWork := make(map[string]float64, len(s.members))
	localTotal, total, totalWeight := 0.0, 0.0, 0.0
	for name, m := range s.members {
		weights[name] = s.weight(name)
		if m.competes() {
			totalWeight += weights[name]
			localWork[name] = m.usage.rate(now, s.params.Window)
			localTotal += localWork[name]
			total += localWork[name] + s.remoteUsage[name]
		}
	}
	if s.remoteUsage == nil || now.Sub(s.remoteUsageAt) > s.params.RemoteUsageMaxAge || total == 0 {
		return weights
	}
	for name, work := range localWork {
		share := weights[name] / totalWeight
		factor := 2 - (work+s.remoteUsage[name])/total/share
		if localTotal > 0 {
			factor += currentSplitWeight * (work/localTotal/share - 1)
		}
		weights[name] *= max(minCorrectionFactor, factor)
	}
	return weights
}

func (s *Scheduler) weight(name string) float64 {
	if weight := s.weights[name]; weight > 0 {
		return weight
	}
	return defaultWeight
}

func (s *Scheduler) minVirtualTime() float64 {
	lowest, found := 0.0, false
	for _, m := range s.members {
		if m.competes() && (!found || m.virtualTime < lowest) {
			lowest, found = m.virtualTime, true
		}
	}
	return lowest
}

func (s *Scheduler) member(name string) *member {
	m := s.members[name]
	if m == nil {
		m = &member{name: name}
		s.members[name] = m
	}
	return m
}

// sortedMembers returns the members sorted by name, so that decisions are deterministic.
func (s *Scheduler) sortedMembers() []*member {
	members := make([]*member, 0, len(s.members))
	for _, name := range slices.Sorted(maps.Keys(s.members)) {
		members = append(members, s.members[name])
	}
	return members
}

// expire removes members without jobs and recent work, and preemptions that no longer
// protect a generation.
func (s *Scheduler) expire(now time.Time) {
	for name, m := range s.members {
		if !m.competes() && m.usage.rate(now, s.params.Window) == 0 {
			delete(s.members, name)
		}
	}
	for generation, at := range s.preempted {
		if now.Sub(at) >= s.params.PreemptInterval {
			delete(s.preempted, generation)
		}
	}
}
