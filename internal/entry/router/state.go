package router

import (
	"context"
	"math/rand/v2"
	"time"

	"bramleygap/internal/core/membership"
	"bramleygap/internal/core/placement"
	"bramleygap/internal/core/retry"
	"bramleygap/internal/core/suspect"
	"bramleygap/internal/opconfig"
	"bramleygap/internal/result"
)

const (
	// maxWaiting bounds the queue; beyond it in-share work is refused too.
	maxWaiting = 10000
	// overShareWait is how long over-share work may wait for a free slot.
	overShareWait = 2 * time.Second
	// unknownShare is the share, in percent, of a member that the operator configuration
	// does not list; the agents use the same.
	unknownShare = 1
	// entryMaxAge is how long an entry counts as watching the targets after an agent named it.
	entryMaxAge = 10 * time.Second
	// upkeepInterval is the time between passes over all suspects, running attempts and
	// usage reports, whose cost grows with the installation.
	upkeepInterval = 500 * time.Millisecond
	// deathWindow is the time within which failures on one target are one crash.
	deathWindow = 2 * time.Second
	// maxSearches ends a pass over the queue after that many searches that found no
	// target, so that a full pool costs a bounded amount of work each pass. Attempts of a
	// kind that found no room before are not searched for, so that they cannot keep
	// attempts for other targets from their turn.
	maxSearches = 256
)

type pending struct {
	id      uint64
	request placement.Request
	class   placement.Class
	since   time.Time
	answer  chan reply
	verdict placement.Verdict
}

type running struct {
	fingerprint uint64
	since       time.Time
	target      string
}

type service struct {
	budget     *retry.Budget
	firstToken retry.Estimate
	inflight   int
}

// fullKey names a kind of work that found no target.
type fullKey struct {
	service, version string
	class            placement.Class
	suspicion        placement.Suspicion
	member           string
}

// state is owned by the task of Run.
type state struct {
	manager   *Manager
	options   *Options
	rng       *rand.Rand
	pool      *placement.Pool
	queue     *placement.Queue
	pending   map[uint64]*pending
	usage     *placement.Usage
	tracker   *suspect.Tracker
	services  map[string]*service
	running   map[uint64]running // by attempt id
	byPrint   map[uint64][]uint64
	lastSeen  map[string]time.Time // entries, by name
	lastDeath map[string]time.Time // targets, by name
	// full holds what found no room in the current pass over the queue, so that
	// further attempts of the kind skip the search.
	full       map[fullKey]placement.Verdict
	searches   int
	entries    []string
	upkeepAt   time.Time
	snapshot   *membership.Snapshot
	snapshotAt time.Time
	exported   uint64
}

func newState(m *Manager, rng *rand.Rand) *state {
	return &state{
		manager:   m,
		options:   &m.options,
		rng:       rng,
		pool:      placement.NewPool(m.options.EntryName, m.options.Zone),
		queue:     placement.NewQueue(),
		pending:   map[uint64]*pending{},
		usage:     placement.NewUsage(),
		tracker:   suspect.NewTracker(),
		services:  map[string]*service{},
		running:   map[uint64]running{},
		byPrint:   map[uint64][]uint64{},
		lastSeen:  map[string]time.Time{},
		lastDeath: map[string]time.Time{},
		full:      map[fullKey]placement.Verdict{},
	}
}

func (s *state) service(name string, now time.Time) *service {
	v := s.services[name]
	if v == nil {
		v = &service{budget: retry.NewBudget(now)}
		s.services[name] = v
	}
	v.budget.Refill(now, v.inflight)
	return v
}

func (s *state) config() *opconfig.Config {
	if a := s.options.Config(); a != nil {
		return a.Config
	}
	return nil
}

// place checks the limits of a new attempt, then places or queues it.
func (s *state) place(now time.Time, id uint64, request placement.Request, answer chan reply) {
	p := &pending{id: id, request: request, since: now, answer: answer}
	config := s.config()
	if config == nil {
		s.refuse(p, result.New(result.NotReady, "no operator configuration yet"))
		return
	}
	if config.Service(request.Service) == nil {
		s.refuse(p, result.New(result.UnknownService, "service %q is not configured", request.Service))
		return
	}
	// Requests without a fingerprint, such as calls to applications, are never suspects.
	if err := s.admit(now, p); err != nil {
		s.refuse(p, err)
		return
	}
	p.class = s.class(config, &request)
	s.refreshSnapshot(now, false)
	clear(s.full)
	delay := time.Duration(0)
	if request.Retry && !request.Resume && !request.Preempted {
		delay = retry.Backoff(max(1, len(request.Exclude)), s.rng)
	}
	if delay == 0 && s.tryPlace(now, p) {
		return
	}
	s.enqueue(now, p, now.Add(delay))
}

// admit applies the rejections that do not depend on the targets.
func (s *state) admit(now time.Time, p *pending) *result.Error {
	r := &p.request
	if r.Fingerprint != 0 && s.tracker.Rejected(r.Fingerprint, now) {
		if r.Resume || r.Retry {
			// An earlier attempt ran, so a not-run code would be false.
			return result.New(result.CrashedMidway, "the request crashed %d targets", suspect.CrashLimit)
		}
		return result.New(result.CrashesTargets, "the request crashed %d targets before", suspect.CrashLimit)
	}
	v := s.service(r.Service, now)
	if !retry.CanMeetDeadline(now, r.Deadline, v.firstToken.Mean()) {
		if r.Resume {
			return result.New(result.DeadlineExceeded, "less than the expected time to first token (%v) remains", v.firstToken.Mean())
		}
		return result.New(result.DeadlineTooShort, "less than the expected time to first token (%v) remains", v.firstToken.Mean())
	}
	switch {
	case r.Preempted:
		s.manager.metrics.retries.WithLabelValues("preempted").Inc()
	case r.Resume:
		s.manager.metrics.retries.WithLabelValues("resume").Inc()
		if !v.budget.TakeResume() {
			return result.New(result.ResumeBudgetSpent, "the resume reserve of service %q is empty", r.Service)
		}
	case r.Retry:
		s.manager.metrics.retries.WithLabelValues("retry").Inc()
		if !v.budget.TakeRetry() {
			return result.New(result.RetryBudgetSpent, "the retry budget of service %q is empty", r.Service)
		}
	default:
		v.budget.OnRequest()
	}
	return nil
}

func (s *state) class(config *opconfig.Config, r *placement.Request) placement.Class {
	if r.Resume || r.Preempted {
		return placement.ClassResume
	}
	if config.Member(r.Member) != nil && s.usage.OverShare(r.Member, shareOf(config)) {
		return placement.ClassOverShare
	}
	return placement.ClassInShare
}

func shareOf(config *opconfig.Config) func(string) float64 {
	return func(name string) float64 {
		if member := config.Member(name); member != nil {
			return member.Share
		}
		return unknownShare
	}
}

// enqueue makes the attempt wait, or sheds work if the queue is full. Resumes are never shed.
func (s *state) enqueue(now time.Time, p *pending, notBefore time.Time) {
	limit := min(maxWaiting, max(16, s.pool.Slots(p.request.Service)))
	if s.queue.Len() >= limit && p.class != placement.ClassResume {
		if p.class == placement.ClassOverShare {
			s.refuse(p, result.New(result.Overloaded, "the pool is full and member %q is over its share", p.request.Member))
			return
		}
		if victim, ok := s.queue.Newest(placement.ClassOverShare); ok {
			s.shed(victim)
		} else if s.queue.Len() >= maxWaiting {
			s.refuse(p, result.New(result.Overloaded, "%d attempts wait already", s.queue.Len()))
			return
		}
	}
	s.pending[p.id] = p
	s.queue.Push(&placement.QueuedAttempt{
		ID: p.id, Class: p.class, Started: p.request.Started, EnqueuedAt: now, NotBefore: notBefore,
	})
	s.manager.metrics.waiting.Set(float64(s.queue.Len()))
}

func (s *state) shed(id uint64) {
	p := s.pending[id]
	delete(s.pending, id)
	s.queue.Remove(id)
	s.refuse(p, result.New(result.Overloaded, "the pool is full and member %q is over its share", p.request.Member))
}

// tryPlace settles the attempt if a target may take it now, or if it became a suspect
// that must be rejected while it waited.
func (s *state) tryPlace(now time.Time, p *pending) bool {
	r := &p.request
	crashes := 0
	if r.Fingerprint != 0 {
		crashes = s.tracker.Crashes(r.Fingerprint, now)
	}
	// Each run of a suspect may be its next crash: more runs at a time than crashes
	// left would cost more than the limit of targets.
	if crashes > 0 && len(s.byPrint[r.Fingerprint]) >= suspect.CrashLimit-crashes {
		p.verdict = placement.AllTargetsFull
		return false
	}
	version := r.Version
	if version == "" {
		version = s.version(r, p.id)
	}
	suspicion := suspicionOf(crashes)
	key := fullKey{r.Service, version, p.class, suspicion, r.Member}
	if verdict, ok := s.full[key]; ok {
		p.verdict = verdict
		return false
	}
	query := placement.Query{
		Service: r.Service, Member: r.Member, Version: version, Class: p.class, Blocks: r.Blocks,
		Exclude: r.Exclude, Suspicion: suspicion, Now: now,
	}
	if crashes > 0 {
		query.CrashZone = s.tracker.CrashZone(r.Fingerprint)
	}
	target, verdict := s.pool.Choose(query, s.rng)
	p.verdict = verdict
	if verdict != placement.Chosen {
		s.searches++
		if len(r.Exclude) == 0 {
			s.full[key] = verdict
		}
		return false
	}
	if version == "" && len(target.Versions) > 0 {
		version = target.Versions[0]
	}
	s.assign(now, p, target, version, suspicion)
	return true
}

func (s *state) assign(now time.Time, p *pending, target membership.Target, version string, suspicion placement.Suspicion) {
	r := p.request
	id := p.id
	level := s.pool.LoadLevel(target.Name, now)
	s.pool.Reserve(target.Name, r.Member, suspicion)
	s.service(r.Service, now).inflight++
	if r.Fingerprint != 0 {
		s.running[id] = running{r.Fingerprint, now, target.Name}
		s.byPrint[r.Fingerprint] = append(s.byPrint[r.Fingerprint], id)
	}
	s.manager.metrics.placed.WithLabelValues(p.class.String()).Inc()
	s.manager.metrics.wait.Observe(now.Sub(p.since).Seconds())
	decision := placement.Decision{Target: target, Version: version, Suspicion: suspicion}
	release := func(outcome placement.Outcome) {
		s.manager.send(context.Background(), func(s *state) {
			s.release(time.Now(), id, r, decision, level, outcome)
		})
	}
	p.answer <- reply{assignment: &Assignment{Decision: decision, Done: release}}
}

// version chooses the version of a new request. Where the chosen one has no target, any
// other version with targets that is not withdrawn takes its place.
func (s *state) version(r *placement.Request, id uint64) string {
	config := s.config()
	if config == nil {
		return ""
	}
	service := config.Service(r.Service)
	if service == nil || service.Kind == opconfig.KindApplication || len(service.Versions) == 0 {
		return ""
	}
	seed := r.Fingerprint
	if seed == 0 {
		seed = id
	}
	if r.Retry {
		// Nothing was delivered, so the version may change. Another point of the split
		// keeps a request from spending all its attempts on a new version that is bad.
		seed = ^seed
	}
	if s.options.ChooseVersion != nil {
		v := s.options.ChooseVersion(r.Service, r.Route, seed)
		if v != "" && !s.withdrawn(r.Service, v) && s.pool.Count(r.Service, v) > 0 {
			return v
		}
	}
	return s.configuredVersion(service, seed)
}

// configuredVersion chooses by the configured shares among the versions that can run.
func (s *state) configuredVersion(service *opconfig.Service, seed uint64) string {
	total, last := 0.0, ""
	usable := func(v *opconfig.Version) bool {
		return !s.withdrawn(service.Name, v.Name) && s.pool.Count(service.Name, v.Name) > 0
	}
	for i := range service.Versions {
		if v := &service.Versions[i]; usable(v) {
			total += v.Share
			last = v.Name
		}
	}
	if last == "" {
		// No version can run: naming one makes the attempt wait for it.
		return service.Versions[0].Name
	}
	point := total * float64(seed%10000) / 10000
	for i := range service.Versions {
		v := &service.Versions[i]
		if !usable(v) {
			continue
		}
		if point < v.Share {
			return v.Name
		}
		point -= v.Share
	}
	return last
}

func (s *state) withdrawn(service, version string) bool {
	return s.options.Withdrawn != nil && s.options.Withdrawn(service, version)
}

// release ends an attempt: it frees the reservation and learns from the outcome.
func (s *state) release(now time.Time, id uint64, r placement.Request, d placement.Decision, level int, o placement.Outcome) {
	aboard := s.pool.Suspects(d.Target.Name) > 0
	s.pool.Release(d.Target.Name, r.Member, d.Suspicion)
	v := s.service(r.Service, now)
	v.inflight--
	v.firstToken.Observe(o.FirstToken)
	s.endRun(now, id, o)
	if s.options.Observe != nil && d.Version != "" && !o.Cancelled && !s.repeatedDeath(now, d.Target.Name, o) {
		s.options.Observe(r.Service, d.Version, r.Route, d.Target.Zone, level, o, aboard)
	}
	s.drain(now)
}

func (s *state) endRun(now time.Time, id uint64, o placement.Outcome) {
	run, ok := s.running[id]
	if !ok {
		return
	}
	delete(s.running, id)
	ids := s.byPrint[run.fingerprint]
	for i, other := range ids {
		if other == id {
			ids = append(ids[:i:i], ids[i+1:]...)
			break
		}
	}
	if len(ids) == 0 {
		delete(s.byPrint, run.fingerprint)
	} else {
		s.byPrint[run.fingerprint] = ids
	}
	elapsed := now.Sub(run.since)
	switch {
	case o.TargetDied:
		s.tracker.RecordCrashedRun(run.fingerprint, elapsed)
	case !o.Failed && !o.Cancelled:
		s.clearSuspect(run.fingerprint, elapsed, true)
	}
}

// repeatedDeath reports whether the outcome belongs to a crash that was reported as
// evidence already: one crash fails a whole batch, which is one event and not many.
func (s *state) repeatedDeath(now time.Time, target string, o placement.Outcome) bool {
	if !o.TargetDied {
		return false
	}
	last, ok := s.lastDeath[target]
	s.lastDeath[target] = now
	return ok && now.Sub(last) <= deathWindow
}

// drain offers free targets to waiting attempts in order.
func (s *state) drain(now time.Time) {
	if s.queue.Len() == 0 {
		return
	}
	s.searches = 0
	clear(s.full)
	s.queue.Dispatch(now, func(id uint64) (bool, bool) {
		p := s.pending[id]
		if err := s.recheck(now, p); err != nil {
			delete(s.pending, id)
			s.refuse(p, err)
			return true, true
		}
		if s.tryPlace(now, p) {
			delete(s.pending, id)
			return true, true
		}
		return false, s.searches < maxSearches
	})
	s.manager.metrics.waiting.Set(float64(s.queue.Len()))
}

// recheck refuses an attempt whose situation changed while it waited.
func (s *state) recheck(now time.Time, p *pending) *result.Error {
	r := &p.request
	if r.Fingerprint != 0 && s.tracker.Rejected(r.Fingerprint, now) {
		if r.Resume || r.Retry {
			return result.New(result.CrashedMidway, "the request crashed %d targets", suspect.CrashLimit)
		}
		return result.New(result.CrashesTargets, "the request crashed %d targets", suspect.CrashLimit)
	}
	if p.class == placement.ClassOverShare && now.Sub(p.since) > overShareWait {
		return result.New(result.Overloaded, "no free slot within %v for member %q, which is over its share", overShareWait, r.Member)
	}
	return nil
}

// abandon refuses an attempt that still waits when its context ends.
func (s *state) abandon(id uint64) {
	p := s.pending[id]
	if p == nil {
		return
	}
	delete(s.pending, id)
	s.queue.Remove(id)
	s.manager.metrics.waiting.Set(float64(s.queue.Len()))
	s.refuse(p, waitEnded(p))
}

func waitEnded(p *pending) *result.Error {
	r := &p.request
	switch {
	case p.verdict == placement.AllTargetsFull && r.Resume:
		return result.New(result.DeadlineExceeded, "no target of service %q had room in time", r.Service)
	case p.verdict == placement.AllTargetsFull:
		return result.New(result.Overloaded, "no target of service %q had room in time", r.Service)
	case r.Resume:
		return result.New(result.VersionGone, "no target of service %q has version %q", r.Service, r.Version)
	case r.Version != "":
		return result.New(result.VersionUnavailable, "no target of service %q has version %q", r.Service, r.Version)
	}
	return result.New(result.NoTarget, "no target of service %q is ready", r.Service)
}

func (s *state) refuse(p *pending, err *result.Error) {
	s.manager.metrics.refused.WithLabelValues(err.Code.String()).Inc()
	s.options.Logger.Debug().Str("service", p.request.Service).Str("code", err.Code.String()).Msg("attempt refused")
	p.answer <- reply{err: err}
}

func (s *state) stop() {
	for id, p := range s.pending {
		delete(s.pending, id)
		s.refuse(p, result.New(result.Leaving, "the entry is shutting down"))
	}
}

func (s *state) tick(now time.Time) {
	s.refreshSnapshot(now, true)
	if now.Sub(s.upkeepAt) >= upkeepInterval {
		s.upkeepAt = now
		s.upkeep(now)
	}
	s.drain(now)
	s.export(now)
}

// upkeep drops what is too old and clears suspects that have run long enough.
func (s *state) upkeep(now time.Time) {
	s.usage.Refresh(now)
	s.tracker.Expire(now)
	s.refreshEntries(now)
	for _, run := range s.running {
		s.clearSuspect(run.fingerprint, now.Sub(run.since), false)
	}
	for target, at := range s.lastDeath {
		if now.Sub(at) > deathWindow {
			delete(s.lastDeath, target)
		}
	}
	s.manager.metrics.suspects.Set(float64(s.tracker.Len()))
}

func (s *state) refreshSnapshot(now time.Time, force bool) {
	snapshot := s.options.Snapshot()
	if snapshot == nil || snapshot == s.snapshot {
		return
	}
	if !force && s.snapshot != nil && now.Sub(s.snapshotAt) < snapshotInterval {
		return
	}
	previous := s.snapshot
	s.snapshot, s.snapshotAt = snapshot, now
	s.pool.Update(snapshot)
	for _, vm := range s.tracker.VMsWithRecentDeaths(now) {
		// A VM whose targets fall silent right after a crash has failed as a whole.
		if previous != nil && hasVM(previous, vm) && !answers(snapshot, vm) {
			s.tracker.VMLost(vm, now)
		}
	}
}
