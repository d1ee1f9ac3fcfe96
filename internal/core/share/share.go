// Package share admits members' generations to one engine by weighted fair queueing and
// preempts generations of members over their share. It is pure: times are arguments,
// decisions are returned as effects.
package share

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Params are the constants of the scheduler.
type Params struct {
	// Window is the time over which work is counted for shares.
	Window time.Duration
	// WaitBeforePreempt is how long a member below its share waits before it preempts.
	WaitBeforePreempt time.Duration
	// PreemptInterval is the least time between two preemptions of one generation.
	PreemptInterval time.Duration
	// ExcessTolerance is the part by which a member must exceed its share to be preempted.
	ExcessTolerance float64
	// RemoteUsageMaxAge is the age from which usage elsewhere is ignored.
	RemoteUsageMaxAge time.Duration
	// MaxWaiting bounds the queue.
	MaxWaiting int
	// AdmissionCharge is the work charged at admission and credited to the job's first work.
	// Without it a member could take all free slots before its first token counts.
	AdmissionCharge float64
}

// DefaultParams follow the design page, section 5.4.
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
	// unknownWeight is the weight, in percent, of a member that the operator
	// configuration does not list; an agent without configuration treats all alike.
	unknownWeight = 1
	// minCorrection is the least part of its weight that a member keeps however much
	// it uses elsewhere, so that it never starves here.
	minCorrection = 0.05
	// keptDivision is the part of an agent's present division of work that its weights
	// keep. At 0 members with cached prompts on few engines get too little there; at 1
	// an uneven division stays for good.
	keptDivision = 0.5
)

// Job is one attempt that needs a slot.
type Job struct {
	ID         string
	Generation string
	Member     string
	// Priority: higher goes first within the member.
	Priority int32
	// Resume marks the continuation of an interrupted generation; it goes before new ones.
	Resume bool
	// Started is when the generation began; among resumes the oldest goes first.
	Started time.Time
}

// Effects are decisions by job id, to be carried out in order.
type Effects struct {
	// Admit lists jobs that may use the engine.
	Admit []string
	// Preempt lists running jobs to stop; each then needs Depart.
	Preempt []string
	// Shed lists waiting jobs to refuse because the queue is full; they have left.
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
	// advance is the part of the work charged at admission that is not yet used.
	advance float64
	// weight is the member's weight when the advance was charged.
	weight float64
}

type member struct {
	name    string
	virtual float64 // charged work divided by weight
	waiting []*job  // best first
	running int
	// owed counts the slots freed for the member by preemption that it has not taken.
	// Without it the fair queueing may return such a slot to the member that lost it.
	owed int
	use  window
}

func (m *member) competes() bool { return m.running > 0 || len(m.waiting) > 0 }

// Scheduler is the state for one engine. It is not safe for concurrent use.
type Scheduler struct {
	params  Params
	slots   int
	running int
	waiting int
	order   uint64
	// clock is the virtual time: the charged work for its weight at which the last job was admitted.
	clock   float64
	weights map[string]float64
	// charging holds the corrected weights of the last tick; computing them for each
	// token would cost more than the rest of its handling.
	charging    map[string]float64
	members     map[string]*member
	jobs        map[string]*job
	elsewhere   map[string]float64
	elsewhereAt time.Time
	preempted   map[string]time.Time
}

// New returns a scheduler for an engine with the number of slots.
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

// SetWeights sets the members' shares in percent.
func (s *Scheduler) SetWeights(weights map[string]float64) { s.weights = weights }

// SetRemoteUsage sets the members' work per second on other agents.
func (s *Scheduler) SetRemoteUsage(now time.Time, use map[string]float64) {
	s.elsewhere, s.elsewhereAt = use, now
}

// Usage returns each member's work per second here over the window.
func (s *Scheduler) Usage(now time.Time) map[string]float64 {
	use := make(map[string]float64)
	for name, m := range s.members {
		if rate := m.use.rate(now, s.params.Window); rate > 0 {
			use[name] = rate
		}
	}
	return use
}

// Arrive adds a waiting job; an id that is present is ignored.
func (s *Scheduler) Arrive(now time.Time, arrival Job) Effects {
	if s.jobs[arrival.ID] != nil {
		return Effects{}
	}
	m := s.member(arrival.Member)
	if !m.competes() {
		// An idle member gains no credit for the time it did not compete.
		s.clock = max(s.clock, s.leastVirtual())
		m.virtual = max(m.virtual, s.clock)
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

// shed drops the last waiting job of the member with the longest queue for its weight.
func (s *Scheduler) shed(now time.Time) string {
	weights := s.corrected(now)
	var worst *member
	for _, m := range s.sorted() {
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

// Depart removes a job that ended, was cancelled or preempted.
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
		m.virtual -= j.advance / j.weight
		if j.beneficiary != nil {
			j.beneficiary.owed++
		}
		return
	}
	m.waiting = slices.DeleteFunc(m.waiting, func(other *job) bool { return other == j })
	s.waiting--
}

// Charge counts work of a running job, in generated tokens.
func (s *Scheduler) Charge(now time.Time, id string, work float64) {
	j := s.jobs[id]
	if j == nil {
		return
	}
	m := s.member(j.Member)
	m.use.add(now, s.params.Window, work)
	paid := min(j.advance, work)
	j.advance -= paid
	weight := s.charging[m.name]
	if weight == 0 {
		weight = s.weight(m.name)
	}
	m.virtual += (work - paid) / weight
}

// Tick admits, and preempts for members that waited below their share.
func (s *Scheduler) Tick(now time.Time) Effects {
	s.charging = s.corrected(now)
	effects := s.admit(now)
	effects.Preempt = s.preempt(now)
	s.forget(now)
	return effects
}

// admit fills the free slots; the member with the least charged work for its weight
// goes first. It is work-conserving: no slot stays free while a job waits.
func (s *Scheduler) admit(now time.Time) Effects {
	var effects Effects
	if s.running >= s.slots || s.waiting == 0 {
		return effects
	}
	weights := s.corrected(now)
	for s.running < s.slots && s.waiting > 0 {
		m := s.nextMember(weights)
		m.owed = max(0, m.owed-1)
		j := m.waiting[0]
		m.waiting = m.waiting[1:]
		s.waiting--
		s.running++
		m.running++
		j.running, j.admitted = true, now
		j.advance, j.weight = s.params.AdmissionCharge, weights[m.name]
		s.clock = max(s.clock, m.virtual)
		m.virtual += j.advance / weights[m.name]
		effects.Admit = append(effects.Admit, j.ID)
	}
	return effects
}

func (s *Scheduler) nextMember(weights map[string]float64) *member {
	var best *member
	for _, m := range s.sorted() {
		if len(m.waiting) == 0 {
			m.owed = 0
			continue
		}
		if m.owed > 0 {
			return m
		}
		if best == nil || m.virtual < best.virtual ||
			(m.virtual == best.virtual && float64(m.running)*weights[best.name] < float64(best.running)*weights[m.name]) {
			best = m
		}
	}
	return best
}

// preempt chooses the newest job of the member most over its share, one for each member
// that waits below its share.
func (s *Scheduler) preempt(now time.Time) []string {
	shares := s.standing(now)
	var victims []string
	for _, m := range s.sorted() {
		if !shares[m.name].below() {
			continue
		}
		for range s.longWaits(now, m, shares[m.name]) - s.preemptingFor(m) {
			victim := s.victim(now, shares)
			if victim == nil {
				return victims
			}
			victim.preempting, victim.beneficiary = true, m
			s.preempted[victim.Generation] = now
			standing := shares[victim.Member]
			standing.slots -= 1 / float64(max(s.slots, 1))
			shares[victim.Member] = standing
			victims = append(victims, victim.ID)
		}
	}
	return victims
}

// longWaits counts the member's jobs that waited long enough, up to the slots it is due.
func (s *Scheduler) longWaits(now time.Time, m *member, standing standing) int {
	due := int((standing.share-standing.slots)*float64(s.slots) + 1e-9)
	if due == 0 && m.running == 0 {
		// A share of less than one slot still gets its turn.
		due = 1
	}
	waits := 0
	for _, j := range m.waiting {
		if now.Sub(j.arrived) >= s.params.WaitBeforePreempt {
			waits++
		}
	}
	return min(waits, due)
}

func (s *Scheduler) preemptingFor(m *member) int {
	count := 0
	for _, j := range s.jobs {
		if j.beneficiary == m {
			count++
		}
	}
	return count
}

func (s *Scheduler) preemptingOf(m *member) int {
	count := 0
	for _, j := range s.jobs {
		if j.preempting && j.Member == m.name {
			count++
		}
	}
	return count
}

func (s *Scheduler) victim(now time.Time, shares map[string]standing) *job {
	var worst *member
	for _, m := range s.sorted() {
		if !shares[m.name].over(s.params.ExcessTolerance) || s.newest(now, m) == nil {
			continue
		}
		if worst == nil || shares[m.name].excess() > shares[worst.name].excess() {
			worst = m
		}
	}
	if worst == nil {
		return nil
	}
	return s.newest(now, worst)
}

// newest returns the member's latest admitted job that may be preempted.
func (s *Scheduler) newest(now time.Time, m *member) *job {
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

// standing compares a member with its share among the members that compete here.
type standing struct {
	// share is what the member is due here, corrected by its use elsewhere.
	share float64
	// slots is the part of the slots that it holds.
	slots float64
	// work is its part of the work here over the window; -1 if there was none.
	work float64
}

// below and over compare slots and work: the window alone lags by 10 s, so a member that
// was just preempted would be preempted again until the other was over its share.
func (s standing) below() bool { return s.slots < s.share && s.work < s.share }

func (s standing) over(excess float64) bool {
	limit := s.share * (1 + excess)
	return s.slots > limit && (s.work < 0 || s.work > limit)
}

func (s standing) excess() float64 { return s.slots / s.share }

func (s *Scheduler) standing(now time.Time) map[string]standing {
	weights := s.corrected(now)
	totalWeight, totalWork := 0.0, 0.0
	for name, m := range s.members {
		if m.competes() {
			totalWeight += weights[name]
			totalWork += m.use.rate(now, s.params.Window)
		}
	}
	shares := make(map[string]standing)
	for name, m := range s.members {
		if !m.competes() {
			continue
		}
		held := m.running - s.preemptingOf(m)
		current := standing{share: weights[name] / totalWeight, slots: float64(held) / float64(max(s.slots, 1)), work: -1}
		if totalWork > 0 {
			current.work = m.use.rate(now, s.params.Window) / totalWork
		}
		shares[name] = current
	}
	return shares
}

// corrected returns the weight of each member here. A member's part of the whole pool's
// work, here and elsewhere, is to equal its share. All agents correct at once, so each
// adds only the member's relative deficit in the pool, and keeps part of the division
// that it has: if each made up for the whole deficit, the members' parts would swing.
func (s *Scheduler) corrected(now time.Time) map[string]float64 {
	weights := make(map[string]float64, len(s.members))
	used := make(map[string]float64, len(s.members))
	here, total, totalWeight := 0.0, 0.0, 0.0
	for name, m := range s.members {
		weights[name] = s.weight(name)
		if m.competes() {
			totalWeight += weights[name]
			used[name] = m.use.rate(now, s.params.Window)
			here += used[name]
			total += used[name] + s.elsewhere[name]
		}
	}
	if s.elsewhere == nil || now.Sub(s.elsewhereAt) > s.params.RemoteUsageMaxAge || total == 0 {
		return weights
	}
	for name, work := range used {
		part := weights[name] / totalWeight
		factor := 2 - (work+s.elsewhere[name])/total/part
		if here > 0 {
			factor += keptDivision * (work/here/part - 1)
		}
		weights[name] *= max(minCorrection, factor)
	}
	return weights
}

func (s *Scheduler) weight(name string) float64 {
	if weight := s.weights[name]; weight > 0 {
		return weight
	}
	return unknownWeight
}

func (s *Scheduler) leastVirtual() float64 {
	least, found := 0.0, false
	for _, m := range s.members {
		if m.competes() && (!found || m.virtual < least) {
			least, found = m.virtual, true
		}
	}
	return least
}

func (s *Scheduler) member(name string) *member {
	m := s.members[name]
	if m == nil {
		m = &member{name: name}
		s.members[name] = m
	}
	return m
}

// sorted returns the members by name, so that decisions do not depend on map order.
func (s *Scheduler) sorted() []*member {
	members := make([]*member, 0, len(s.members))
	for _, name := range slices.Sorted(maps.Keys(s.members)) {
		members = append(members, s.members[name])
	}
	return members
}

// forget drops members without jobs and recent work, and old preemptions.
func (s *Scheduler) forget(now time.Time) {
	for name, m := range s.members {
		if !m.competes() && m.use.rate(now, s.params.Window) == 0 {
			delete(s.members, name)
		}
	}
	for generation, at := range s.preempted {
		if now.Sub(at) >= s.params.PreemptInterval {
			delete(s.preempted, generation)
		}
	}
}
