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
	// maxWaiting is the queue length from which in-share attempts are refused too, unless an
	// over-share attempt can be shed.
	maxWaiting = 10000
	// overShareWait is how long an over-share attempt may wait for a free slot.
	overShareWait = 2 * time.Second
	// unknownMemberShare is the share, in percent, of a member that the operator
	// configuration does not list; the agents use the same value.
	unknownMemberShare = 1
	// entryMaxAge is how long an entry counts as watching the targets after an agent last
	// listed it.
	entryMaxAge = 10 * time.Second
	// maintenanceInterval is the time between passes over all suspects, running attempts
	// and usage reports; the cost of a pass grows with the size of the installation.
	maintenanceInterval = 500 * time.Millisecond
	// crashWindow is the time within which failures on one target count as one crash.
	crashWindow = 2 * time.Second
	// maxFailedSearches bounds the searches that find no target in a pass over the queue,
	// and so the work of a pass when the pool is full. Attempts with the key of an earlier
	// failed search skip the search, so that they do not starve attempts for other targets.
	maxFailedSearches = 256
)

type pending struct {
	id        uint64
	request   placement.Request
	class     placement.Class
	arrivedAt time.Time
	replyTo   chan reply
	verdict   placement.Verdict
}

// running is a placed attempt of a request with a fingerprint.
type running struct {
	fingerprint uint64
	startedAt   time.Time
	target      string
}

type service struct {
	budget         *retry.Budget
	firstTokenTime retry.Estimate
	inflight       int
}

// searchKey groups attempts for which a failed search has the same verdict.
type searchKey struct {
	service, version string
	class            placement.Class
	suspicion        placement.Suspicion
	member           string
}

// state is owned by the goroutine of Manager.Run.
type state struct {
	manager       *Manager
	options       *Options
	rng           *rand.Rand
	pool          *placement.Pool
	queue         *placement.Queue
	pending       map[uint64]*pending
	usage         *placement.Usage
	tracker       *suspect.Tracker
	services      map[string]*service
	running       map[uint64]running   // by attempt id
	byFingerprint map[uint64][]uint64  // attempt ids
	entryLastSeen map[string]time.Time // by entry name
	lastCrash     map[string]time.Time // by target name
	// noTarget holds the verdicts of the failed searches of the current pass over the queue.
	noTarget        map[searchKey]placement.Verdict
	failedSearches  int
	entries         []string
	maintainedAt    time.Time
	snapshot        *membership.Snapshot
	snapshotAt      time.Time
	exportedVersion uint64
}

func newState(m *Manager, rng *rand.Rand) *state {
	return &state{
		manager:       m,
		options:       &m.options,
		rng:           rng,
		pool:          placement.NewPool(m.options.EntryName, m.options.Zone),
		queue:         placement.NewQueue(),
		pending:       map[uint64]*pending{},
		usage:         placement.NewUsage(),
		tracker:       suspect.NewTracker(),
		services:      map[string]*service{},
		running:       map[uint64]running{},
		byFingerprint: map[uint64][]uint64{},
		entryLastSeen: map[string]time.Time{},
		lastCrash:     map[string]time.Time{},
		noTarget:      map[searchKey]placement.Verdict{},
	}
}

// service returns the state of a service with its retry budget refilled.
func (s *state) service(name string, now time.Time) *service {
	svc := s.services[name]
	if svc == nil {
		svc = &service{budget: retry.NewBudget(now)}
		s.services[name] = svc
	}
	svc.budget.Refill(now, svc.inflight)
	return svc
}

func (s *state) config() *opconfig.Config {
	if adopted := s.options.Config(); adopted != nil {
		return adopted.Config
	}
	return nil
}

// place checks the limits of a new attempt, then places or queues it.
func (s *state) place(now time.Time, id uint64, request placement.Request, replyTo chan reply) {
	p := &pending{id: id, request: request, arrivedAt: now, replyTo: replyTo}
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
	p.class = s.classify(config, &request)
	s.refreshSnapshot(now, false)
	clear(s.noTarget)
	delay := time.Duration(0)
	if request.Retry && !request.Resume && !request.Preempted {
		delay = retry.Backoff(max(1, len(request.Exclude)), s.rng)
	}
	if delay == 0 && s.tryPlace(now, p) {
		return
	}
	s.enqueue(now, p, now.Add(delay))
}

// admit applies the limits that do not depend on targets: rejected fingerprints, the
// deadline and the retry budgets.
func (s *state) admit(now time.Time, p *pending) *result.Error {
	r := &p.request
	if r.Fingerprint != 0 && s.tracker.Rejected(r.Fingerprint, now) {
		if r.Resume || r.Retry {
			// An earlier attempt ran, so a not-run code would be false.
			return result.New(result.CrashedMidway, "the request crashed %d targets", suspect.CrashLimit)
		}
		return result.New(result.CrashesTargets, "the request has already crashed %d targets", suspect.CrashLimit)
	}
	svc := s.service(r.Service, now)
	if !retry.CanMeetDeadline(now, r.Deadline, svc.firstTokenTime.Mean()) {
		if r.Resume {
			return result.New(result.DeadlineExceeded, "less than the expected time to first token (%v) remains before the deadline", svc.firstTokenTime.Mean())
		}
		return result.New(result.DeadlineTooShort, "less than the expected time to first token (%v) remains before the deadline", svc.firstTokenTime.Mean())
	}
	switch {
	case r.Preempted:
		s.manager.metrics.retries.WithLabelValues("preempted").Inc()
	case r.Resume:
		s.manager.metrics.retries.WithLabelValues("resume").Inc()
		if !svc.budget.TakeResume() {
			return result.New(result.ResumeBudgetSpent, "the resume reserve of service %q is empty", r.Service)
		}
	case r.Retry:
		s.manager.metrics.retries.WithLabelValues("retry").Inc()
		if !svc.budget.TakeRetry() {
			return result.New(result.RetryBudgetSpent, "the retry budget of service %q is empty", r.Service)
		}
	default:
		svc.budget.OnRequest()
	}
	return nil
}

func (s *state) classify(config *opconfig.Config, r *placement.Request) placement.Class {
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
		return unknownMemberShare
	}
}

// enqueue queues the attempt. If the queue is full, it sheds or refuses over-share work
// first. Resumes are always queued.
func (s *state) enqueue(now time.Time, p *pending, notBefore time.Time) {
	limit := min(maxWaiting, max(16, s.pool.Slots(p.request.Service)))
	if s.queue.Len() >= limit && p.class != placement.ClassResume {
		if p.class == placement.ClassOverShare {
			s.refuse(p, result.New(result.Overloaded, "the queue is full and member %q is over its share", p.request.Member))
			return
		}
		if shedID, ok := s.queue.Newest(placement.ClassOverShare); ok {
			s.shed(shedID)
		} else if s.queue.Len() >= maxWaiting {
			s.refuse(p, result.New(result.Overloaded, "%d attempts are already waiting", s.queue.Len()))
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
	s.refuse(p, result.New(result.Overloaded, "the queue is full and member %q is over its share", p.request.Member))
}

// tryPlace assigns a target to the attempt, or records the verdict and returns false.
func (s *state) tryPlace(now time.Time, p *pending) bool {
	r := &p.request
	crashes, left := 0, suspect.CrashLimit
	if r.Fingerprint != 0 {
		crashes, left = s.tracker.Crashes(r.Fingerprint, now), s.tracker.CrashesLeft(r.Fingerprint, now)
	}
	// Each concurrent run of a suspect may crash its target, so their number is limited to
	// the crashes left before its rejection.
	if crashes > 0 && len(s.byFingerprint[r.Fingerprint]) >= left {
		p.verdict = placement.AllTargetsFull
		return false
	}
	version := r.Version
	if version == "" {
		version = s.chooseVersion(r, p.id)
	}
	suspicion := suspicionOf(crashes, left)
	key := searchKey{r.Service, version, p.class, suspicion, r.Member}
	if verdict, ok := s.noTarget[key]; ok {
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
		s.failedSearches++
		if len(r.Exclude) == 0 {
			s.noTarget[key] = verdict
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
	loadLevel := s.pool.LoadLevel(target.Name, now)
	s.pool.Reserve(target.Name, r.Member, suspicion)
	s.service(r.Service, now).inflight++
	if r.Fingerprint != 0 {
		s.running[id] = running{r.Fingerprint, now, target.Name}
		s.byFingerprint[r.Fingerprint] = append(s.byFingerprint[r.Fingerprint], id)
	}
	s.manager.metrics.placed.WithLabelValues(p.class.String()).Inc()
	s.manager.metrics.wait.Observe(now.Sub(p.arrivedAt).Seconds())
	decision := placement.Decision{Target: target, Version: version, Suspicion: suspicion}
	release := func(outcome placement.Outcome) {
		s.manager.send(context.Background(), func(s *state) {
			s.release(time.Now(), id, r, decision, loadLevel, outcome)
		})
	}
	p.replyTo <- reply{assignment: &Assignment{Decision: decision, Done: release}}
}

// chooseVersion returns the version for a request that names none, or an empty string if
// the service has no versions. It falls back to the configured shares if the version from
// Options.ChooseVersion is withdrawn or has no targets.
func (s *state) chooseVersion(r *placement.Request, id uint64) string {
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
		// Nothing was delivered, so the version may change. The inverted seed selects
		// another point of the traffic split, which keeps a request from spending all its
		// attempts on a faulty new version.
		seed = ^seed
	}
	if s.options.ChooseVersion != nil {
		v := s.options.ChooseVersion(r.Service, r.Route, seed)
		if v != "" && !s.withdrawn(r.Service, v) && s.pool.Count(r.Service, v) > 0 {
			return v
		}
	}
	return s.versionByShare(service, seed)
}

// versionByShare chooses by the configured shares among the versions that are not
// withdrawn and have targets.
func (s *state) versionByShare(service *opconfig.Service, seed uint64) string {
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
		// No version is usable, so the attempt waits for the first one.
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

// release frees the reservation of an attempt, records its outcome and places waiting
// attempts.
func (s *state) release(now time.Time, id uint64, request placement.Request, decision placement.Decision, loadLevel int, outcome placement.Outcome) {
	suspectPresent := s.pool.Suspects(decision.Target.Name) > 0
	s.pool.Release(decision.Target.Name, request.Member, decision.Suspicion)
	svc := s.service(request.Service, now)
	svc.inflight--
	svc.firstTokenTime.Observe(outcome.FirstToken)
	s.endAttempt(now, id, outcome)
	if s.options.Observe != nil && decision.Version != "" && !outcome.Cancelled && !s.repeatedCrash(now, decision.Target.Name, outcome) {
		s.options.Observe(request.Service, decision.Version, request.Route, decision.Target.Zone, loadLevel, outcome, suspectPresent)
	}
	s.dispatch(now)
}

func (s *state) endAttempt(now time.Time, id uint64, outcome placement.Outcome) {
	run, ok := s.running[id]
	if !ok {
		return
	}
	delete(s.running, id)
	ids := s.byFingerprint[run.fingerprint]
	for i, other := range ids {
		if other == id {
			ids = append(ids[:i:i], ids[i+1:]...)
			break
		}
	}
	if len(ids) == 0 {
		delete(s.byFingerprint, run.fingerprint)
	} else {
		s.byFingerprint[run.fingerprint] = ids
	}
	elapsed := now.Sub(run.startedAt)
	switch {
	case outcome.TargetDied:
		s.tracker.RecordCrashedRun(run.fingerprint, elapsed)
	case !outcome.Failed && !outcome.Cancelled:
		s.clearSuspect(run.fingerprint, elapsed, true)
	}
}

// repeatedCrash reports whether the outcome belongs to a crash that was already reported
// as evidence, and records the time of the crash. One crash fails a whole batch of
// attempts but is one event.
func (s *state) repeatedCrash(now time.Time, target string, outcome placement.Outcome) bool {
	if !outcome.TargetDied {
		return false
	}
	last, known := s.lastCrash[target]
	s.lastCrash[target] = now
	return known && now.Sub(last) <= crashWindow
}

// dispatch places waiting attempts in queue order.
func (s *state) dispatch(now time.Time) {
	if s.queue.Len() == 0 {
		return
	}
	s.failedSearches = 0
	clear(s.noTarget)
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
		return false, s.failedSearches < maxFailedSearches
	})
	s.manager.metrics.waiting.Set(float64(s.queue.Len()))
}

// recheck returns an error if a waiting attempt must now be refused.
func (s *state) recheck(now time.Time, p *pending) *result.Error {
	request := &p.request
	if request.Fingerprint != 0 && s.tracker.Rejected(request.Fingerprint, now) {
		if request.Resume || request.Retry {
			return result.New(result.CrashedMidway, "the request crashed %d targets", suspect.CrashLimit)
		}
		return result.New(result.CrashesTargets, "the request crashed %d targets", suspect.CrashLimit)
	}
	if p.class == placement.ClassOverShare && now.Sub(p.arrivedAt) > overShareWait {
		return result.New(result.Overloaded, "no free slot within %v for member %q, which is over its share", overShareWait, request.Member)
	}
	return nil
}

// abandon refuses an attempt whose context ended, if it is still waiting.
func (s *state) abandon(id uint64) {
	p := s.pending[id]
	if p == nil {
		return
	}
	delete(s.pending, id)
	s.queue.Remove(id)
	s.manager.metrics.waiting.Set(float64(s.queue.Len()))
	s.refuse(p, waitError(p))
}

func waitError(p *pending) *result.Error {
	r := &p.request
	switch {
	case p.verdict == placement.AllTargetsFull && r.Resume:
		return result.New(result.DeadlineExceeded, "no target of service %q had capacity in time", r.Service)
	case p.verdict == placement.AllTargetsFull:
		return result.New(result.Overloaded, "no target of service %q had capacity in time", r.Service)
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
	p.replyTo <- reply{err: err}
}

func (s *state) stop() {
	for id, p := range s.pending {
		delete(s.pending, id)
		s.refuse(p, result.New(result.Leaving, "the entry is shutting down"))
	}
}

func (s *state) tick(now time.Time) {
	s.refreshSnapshot(now, true)
	if now.Sub(s.maintainedAt) >= maintenanceInterval {
		s.maintainedAt = now
		s.maintain(now)
	}
	s.dispatch(now)
	s.export(now)
}

// maintain drops expired state and clears suspects that have run long enough.
func (s *state) maintain(now time.Time) {
	s.usage.Refresh(now)
	s.tracker.Expire(now)
	s.refreshEntries(now)
	for _, run := range s.running {
		s.clearSuspect(run.fingerprint, now.Sub(run.startedAt), false)
	}
	for target, at := range s.lastCrash {
		if now.Sub(at) > crashWindow {
			delete(s.lastCrash, target)
		}
	}
	s.manager.metrics.suspects.Set(float64(s.tracker.Len()))
}

// refreshSnapshot updates the pool to the current membership view. Unless force is set,
// it skips updates within snapshotInterval of the last one.
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
		// If no target of a VM sends heartbeats right after a crash there, the VM itself
		// has failed.
		if previous != nil && hasVM(previous, vm) && !hasHealthyTarget(snapshot, vm) {
			s.tracker.VMLost(vm, now)
		}
	}
}
