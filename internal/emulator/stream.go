package emulator

import (
	"fmt"
	"time"

	"bramleygap/internal/core/membership"
	"bramleygap/internal/core/placement"
	"bramleygap/internal/core/relay"
	"bramleygap/internal/core/runindex"
	"bramleygap/internal/core/speed"
)

// stream is the stream of one client connection at a gateway.
type stream struct {
	gateway           *gateway
	client            *client
	machine           *relay.Machine
	size              placement.GenerationSize
	placementDeadline time.Time
	done              bool
	number            int
	// current is the attempt whose events go to the client, nil for none, and successor the one that
	// was opened beside it.
	current, successor *attempt
	// placed is the target that the last placement chose.
	placed  membership.Registration
	checkID int
	// copy is the cache copy left by the previous attempt, nil for none.
	copy       *copyRef
	warmTarget string
	// continues is the ID of the client's earlier attempt whose run this one takes over, empty if unknown.
	continues string
	// unservable is set if the stream was not placed because it cannot end before its deadline.
	unservable bool
	// asHighest is set if the last placement had the rights of the highest rank.
	asHighest    bool
	firstEventAt time.Time
}

// attempt is one attempt of a stream at an engine.
type attempt struct {
	s             *stream
	number        int
	job           *job // nil until it was submitted and after the attempt has ended
	engine        *engine
	incarnation   int
	streamID      uint64
	target        membership.Registration
	placement     relay.Placement
	hasFirstEvent bool
	// sentAt is when the request was sent, begunAt when its first event arrived, zero before. recordedFlow is how long
	// the response had gone on when that was last recorded.
	sentAt, begunAt time.Time
	recordedFlow    time.Duration
	// copy is the cache copy of the run, nil for none.
	copy *copyRef
	// copyHolder is the engine at which the fleet counts the copy, empty for none.
	copyHolder string
	size       placement.GenerationSize
	gaps       speed.Gaps
}

// copyRef identifies a cache copy by the engine that holds it and its name there.
type copyRef struct{ holder, name string }

// accept starts the stream of a client, which may have received some of the events already.
func (g *gateway) accept(c *client) *stream {
	s := &stream{gateway: g, client: c, size: placement.GenerationSize{PromptTokens: c.prompt, OutputTokens: c.events * tokensPerEvent}}
	c.streamCount++
	s.number = c.streamCount
	g.streams[s] = struct{}{}
	if c.received > 0 && g.sim.policy.FindRuns {
		s.findRun()
	}
	options := relay.Options{
		Resumable: g.sim.policy.Resume, MaxAttempts: maxAttempts, Deadline: c.deadline, MaxEventGap: eventGapObjective,
		After: uint64(c.received), HasCopy: s.copy != nil,
	}
	if g.sim.policy.MoveLateStarts {
		options.FirstEventObjective = c.objective
	}
	s.machine = relay.New(options)
	s.apply(s.machine.Start())
	return s
}

// findRun looks up the client's run at the gateways that may have its record.
func (s *stream) findRun() {
	now := s.gateway.sim.clock.now
	candidates := append(runindex.Candidates(s.client.key, s.gateway.sim.gatewayNames(), s.gateway.name), s.gateway.name)
	var lists [][]runindex.Found
	for _, name := range candidates {
		if other := s.gateway.sim.gateway(name); other.up {
			lists = append(lists, other.runs.Get(now, s.client.key))
		}
	}
	r, ok := runindex.Sole(runindex.Merge(lists...))
	if !ok {
		return
	}
	s.warmTarget, s.continues = r.Source, r.Run
	if r.Holder != "" {
		s.copy = &copyRef{r.Holder, r.Handle}
	}
}

// runID returns the ID of the client's attempt.
func (s *stream) runID() string { return fmt.Sprint(s.client.number, "-", s.number) }

// publishRun sends the record of the run to the gateways that keep its replicas.
func (a *attempt) publishRun() {
	s := a.s
	if !s.gateway.sim.policy.FindRuns {
		return
	}
	r := runindex.Record{Key: s.client.key, Run: s.runID(), Continues: s.continues, Source: a.target.ID}
	if a.copy != nil {
		r.Holder, r.Handle = a.copy.holder, a.copy.name
	}
	s.gateway.ownRecords[r.Key] = r
	names := append(runindex.ReplicasFor(s.client.key, s.gateway.sim.gatewayNames(), s.gateway.name), s.gateway.name)
	s.gateway.sim.clock.after(exchangeInterval/4, func() {
		for _, name := range names {
			if other := s.gateway.sim.gateway(name); other.up {
				other.runs.Put(s.gateway.sim.clock.now, r)
			}
		}
	})
}

func (s *stream) apply(effects []relay.Effect) {
	for _, effect := range effects {
		if s.done {
			return
		}
		switch e := effect.(type) {
		case relay.ChooseTarget:
			timeout := placementTimeout
			if s.machine.Ran() {
				timeout = resumePlacementTimeout
			}
			s.placementDeadline = s.gateway.sim.clock.now.Add(timeout)
			s.chooseTarget(e)
		case relay.StartAttempt:
			s.current = s.newAttempt(e)
			s.current.start(e)
		case relay.EndAttempt:
			s.endCurrent()
		case relay.Probe:
			s.current.probe()
		case relay.SeekSuccessor:
			s.seekSuccessor(e)
		case relay.StartSuccessor:
			s.successor = s.newAttempt(e.Start)
			s.successor.start(e.Start)
		case relay.EndSuccessor:
			s.successor.end()
			s.successor = nil
		case relay.Switch:
			s.endCurrent()
			s.current, s.successor = s.successor, nil
		case relay.Deliver:
			number := int(s.machine.LastEvent())
			if s.firstEventAt.IsZero() {
				s.firstEventAt = s.gateway.sim.clock.now
			}
			s.gateway.sim.clock.after(clientDelay, func() { s.client.receive(s, number) })
		case relay.Finish:
			if e.Outcome == relay.Complete && s.gateway.sim.policy.CountRequests {
				s.gateway.suspects.Completed(s.client.identity(), s.gateway.sim.clock.now.Sub(s.client.arrived))
			}
			s.finish(e.Outcome)
		}
	}
}

// chooseTarget tries to place the stream until placementDeadline.
func (s *stream) chooseTarget(e relay.ChooseTarget) {
	if s.done {
		return
	}
	now := s.gateway.sim.clock.now
	copyHolder := ""
	if e.MayHaveCopy && s.copy != nil && s.gateway.sim.policy.CopyCaches {
		copyHolder = s.copy.holder
	}
	if s.gateway.rejects(s) {
		s.client.retries, s.client.rejected = maxClientRetries, true
		s.apply(s.machine.PlacementFailed())
		return
	}
	if s.gateway.sim.ranked && s.gateway.sim.policy.Rank {
		s.awaitPlace(e)
		return
	}
	if chosen, ok := s.gateway.chooseTarget(now, e.Exclude, copyHolder, s); ok {
		s.placed = chosen.Target
		s.apply(s.machine.Placed(now, relayPlacement(&chosen)))
		return
	}
	if s.unservable || !now.Before(s.placementDeadline) || !now.Before(s.client.deadline) {
		s.apply(s.machine.PlacementFailed())
		return
	}
	s.gateway.sim.clock.after(placementRetryInterval, func() { s.chooseTarget(e) })
}

func relayPlacement(chosen *placement.Placement) relay.Placement {
	return relay.Placement{Target: chosen.Target.ID, CopyTarget: chosen.Copy, Resume: chosen.FromCopy, ExpectedFirstEvent: chosen.Expected}
}

// seekSuccessor looks for a target to which the stream can move from a live one. Without the policy
// KeepUntilAccepted, the stream leaves its target first.
func (s *stream) seekSuccessor(e relay.SeekSuccessor) {
	now := s.gateway.sim.clock.now
	if !s.gateway.sim.policy.KeepUntilAccepted {
		s.apply(s.machine.AttemptFailed(now, e.Loss))
		return
	}
	copyHolder := ""
	if e.MayHaveCopy && s.current.copy != nil {
		copyHolder = s.current.copy.holder
	}
	q := placement.FleetQuery{Service: service, Exclude: e.Exclude}
	var chosen placement.Placement
	var ok bool
	if e.Loss.NotWorking() {
		q.LastResort = e.LastResort
		chosen, ok = s.gateway.fleet.Place(now, q, copyHolder, s.size, s.gateway.mayCopy(now))
	} else {
		chosen, ok = s.gateway.fleet.PlaceSuccessor(now, q, copyHolder, s.size, s.gateway.mayCopy(now), e.MaxExpected)
	}
	if !ok {
		s.machine.NoSuccessor()
		return
	}
	s.placed = chosen.Target
	if chosen.FromCopy {
		s.copy, s.current.copy = s.current.copy, nil
	}
	s.apply(s.machine.SuccessorPlaced(now, e.Loss, relayPlacement(&chosen)))
}

func (s *stream) newAttempt(e relay.StartAttempt) *attempt {
	a := &attempt{s: s, number: s.machine.Attempts(), target: s.placed, placement: e.Placement, copyHolder: e.Placement.CopyTarget, size: s.size}
	if e.CopyHolder != "" {
		a.size = placement.GenerationSize{OutputTokens: s.size.PromptTokens + s.size.OutputTokens}
	}
	return a
}

// open reports whether the attempt has not ended.
func (a *attempt) open() bool { return !a.s.done && (a.s.current == a || a.s.successor == a) }

// start sends the request to its target.
func (a *attempt) start(e relay.StartAttempt) {
	s, sim := a.s, a.s.gateway.sim
	target := sim.engineAt(a.target.Address)
	a.streamID = s.gateway.fleet.BeginStream(sim.clock.now, e.Placement.Target, e.Placement.CopyTarget, a.size)
	j := &job{
		name: fmt.Sprintf("%d/%d/%d", s.client.number, s.number, a.number), key: s.client.key, prompt: s.client.prompt,
		events: s.client.events, nextEvent: int(e.After) + 1, prefillTokens: &s.client.prefillTokens, copyTarget: sim.engineByID(e.Placement.CopyTarget),
		parts: s.client.parts, priority: s.priority(),
	}
	a.sentAt = sim.clock.now
	if e.CopyHolder != "" {
		j.resumeFrom = s.copy.name
	}
	j.deliver = func(kind signal, number int) {
		if a.open() {
			a.handleSignal(kind, number)
		}
	}
	fail := func(delay time.Duration, loss relay.Loss, targetDown bool) {
		sim.clock.after(delay, func() {
			if !a.open() {
				return
			}
			if targetDown {
				s.gateway.handleTargetDown(a.target)
			}
			if a.open() {
				a.failed(loss)
			}
		})
	}
	switch {
	case target.unresponsive:
		fail(connectTimeout, relay.Unsent, sim.policy.Probe)
	case !target.up:
		fail(networkDelay, relay.Unsent, sim.policy.Probe)
	case target.id() != a.target.ID:
		s.gateway.fleet.MarkReplaced(sim.clock.now, a.target.ID)
		fail(2*networkDelay, relay.Replaced, false)
	default:
		a.job, a.engine, a.incarnation = j, target, target.incarnation
		if e.Placement.CopyTarget != "" {
			a.copy = &copyRef{e.Placement.CopyTarget, j.name}
		}
		if s.successor == a {
			s.machine.SuccessorSent(sim.clock.now)
		}
		sim.clock.after(networkDelay, func() {
			if target.incarnation == a.incarnation {
				sim.crashing.arrivedAtEngine(s.gateway, j, sim.clock.now)
				target.submit(j)
			}
		})
	}
	s.scheduleCheck()
}

// failed reports the end of the attempt to the state machine.
func (a *attempt) failed(loss relay.Loss) {
	s := a.s
	if s.successor == a {
		s.machine.SuccessorFailed(loss)
		a.end()
		s.successor = nil
		return
	}
	s.apply(s.machine.AttemptFailed(s.gateway.sim.clock.now, loss))
}

// targetSilent reports to the state machine that the target of the attempt answers no probe.
func (a *attempt) targetSilent() {
	s := a.s
	if s.successor == a {
		return
	}
	s.apply(s.machine.TargetSilent(s.gateway.sim.clock.now, a.copy != nil))
	if !s.done {
		s.scheduleCheck()
	}
}

// scheduleCheck schedules the next check of the state machine in place of the scheduled one.
func (s *stream) scheduleCheck() {
	s.checkID++
	id := s.checkID
	s.gateway.sim.clock.after(s.machine.NextCheck().Sub(s.gateway.sim.clock.now), func() {
		if s.done || s.checkID != id {
			return
		}
		s.apply(s.machine.Check(s.gateway.sim.clock.now))
		if !s.done && s.checkID == id {
			s.scheduleCheck()
		}
	})
}

func (a *attempt) handleSignal(kind signal, number int) {
	s, now := a.s, a.s.gateway.sim.clock.now
	if kind != signalDisconnected {
		s.gateway.fleet.Observe(now, placement.Instance{ID: a.target.ID, StartUnixMS: a.target.StartUnixMS}, a.job.answer, placement.FromResponse)
	}
	switch kind {
	case signalEvent:
		s.gateway.lastEvents[a.target.ID] = now
		if s.gateway.sim.policy.LearnSpeeds && a.gaps.Add(now.Sub(a.sentAt)) {
			a.reportGaps(now)
		}
		if a.begunAt.IsZero() {
			a.begunAt = now
		} else if flowed := now.Sub(a.begunAt); flowed >= max(beginningPeriod, a.recordedFlow*3/2) {
			a.recordedFlow = flowed
			s.gateway.recordFlowing(s.client, flowed)
		}
		if s.successor == a {
			s.apply(s.machine.SuccessorEvent(now, uint64(number)))
		} else {
			s.apply(s.machine.Event(now, uint64(number)))
		}
		if !a.hasFirstEvent && s.current == a {
			a.hasFirstEvent = true
			s.gateway.fleet.RecordFirstEvent(now, a.target.ID, a.streamID)
			a.publishRun()
			a.maintainCopy()
		}
		if !s.done {
			s.scheduleCheck()
		}
	case signalCompleted:
		a.reportGaps(now)
		s.apply(s.machine.AttemptCompleted(now))
	case signalRefused:
		a.failed(relay.Refused)
	case signalDisconnected:
		if s.gateway.sim.policy.CountRequests && !a.engine.up {
			s.gateway.reportCrash(a.target.ID, a.target.Zone)
		}
		if s.done || !a.open() {
			return
		}
		if s.gateway.sim.policy.Probe {
			s.gateway.probe(a.target, nil)
		}
		a.failed(relay.Interrupted)
	}
}

// reportGaps gives the fleet the gaps between the events of the attempt.
func (a *attempt) reportGaps(now time.Time) {
	if gap, ok := a.gaps.Summary(); ok {
		a.s.gateway.fleet.RecordGap(now, a.target.ID, a.streamID, gap)
	}
}

// probe checks whether the target of the current attempt is alive.
func (a *attempt) probe() {
	s := a.s
	if !s.gateway.sim.policy.Probe {
		// Without probes, an inactive target counts as alive.
		s.apply(s.machine.Probed(s.gateway.sim.clock.now, true, false))
		return
	}
	s.gateway.probe(a.target, func(alive bool) {
		if s.done || s.current != a {
			return
		}
		if alive && a.engine != nil {
			s.machine.TargetReported(a.evaluateReport())
		}
		s.apply(s.machine.Probed(s.gateway.sim.clock.now, alive, a.copy != nil))
		if !s.done {
			s.scheduleCheck()
		}
	})
}

// evaluateReport returns what the engine's report and the streams there say about the stream.
func (a *attempt) evaluateReport() relay.TargetReport {
	g := a.s.gateway
	now := g.sim.clock.now
	work := a.engine.workReport()
	report := relay.TargetReport{Queued: work.Queued, RunListed: a.job != nil && a.engine.listsRun(a.job)}
	if !g.sim.policy.ReadReports {
		return report
	}
	g.fleet.ObserveWork(now, a.target.ID, work, g.lastEvents[a.target.ID])
	report.Progress = g.fleet.Progress(now, a.target.ID)
	return report
}

// maintainCopy checks the cache copy of the run periodically and creates a new one if it is lost.
func (a *attempt) maintainCopy() {
	if !a.s.gateway.sim.policy.CopyCaches {
		return
	}
	a.s.gateway.sim.clock.after(copyCheckInterval, func() {
		if !a.open() || a.job == nil {
			return
		}
		now, fleet := a.s.gateway.sim.clock.now, a.s.gateway.fleet
		if (a.copy == nil || !fleet.CanHoldCopy(now, a.copy.holder)) && a.s.gateway.mayCopy(now) {
			q := placement.FleetQuery{Service: service, Exclude: []string{a.target.ID}, AvoidZone: a.target.Zone}
			if reg, ok := fleet.ChooseCopy(now, q, a.s.size); ok {
				a.createCopy(reg)
			}
		}
		a.maintainCopy()
	})
}

func (a *attempt) createCopy(reg membership.Registration) {
	a.copy = nil
	sim := a.s.gateway.sim
	holder, source, j := sim.engineByID(reg.ID), a.engine, a.job
	sim.clock.after(copyCreationTime, func() {
		if !a.open() || source.incarnation != a.incarnation || holder == nil {
			return
		}
		if holder.storeCopy(j.name, j.memory()) {
			j.copyTarget = holder
			source.startCopy(j)
			a.copy = &copyRef{reg.ID, j.name}
			a.s.gateway.fleet.MoveCopy(a.target.ID, a.copyHolder, reg.ID, a.size)
			a.copyHolder = reg.ID
			a.publishRun()
		}
	})
}

// endCurrent ends the current attempt and keeps the copy that it leaves.
func (s *stream) endCurrent() {
	s.current.end()
	if s.current.engine != nil {
		s.copy = s.current.copy
	}
	s.current = nil
}

// end ends the attempt and cancels its job.
func (a *attempt) end() {
	clock, fleet := a.s.gateway.sim.clock, a.s.gateway.fleet
	if a.streamID != 0 {
		fleet.EndStream(clock.now, a.placement.Target, a.copyHolder, a.streamID, a.size, false)
		a.streamID = 0
		a.s.gateway.queue.Freed(clock.now, a.size.PromptTokens+a.size.OutputTokens)
		if a.s.gateway.sim.ranked {
			clock.after(0, a.s.gateway.dispatch)
		}
	}
	if a.job == nil {
		return
	}
	j := a.job
	a.job = nil
	clock.after(networkDelay, func() {
		if a.engine.incarnation == a.incarnation {
			a.engine.cancel(j)
		}
	})
}

// endAttempts ends the open attempts.
func (s *stream) endAttempts() {
	if s.successor != nil {
		s.successor.end()
		s.successor = nil
	}
	if s.current != nil {
		s.endCurrent()
	}
}

func (s *stream) finish(outcome relay.Outcome) {
	if outcome == relay.Complete && s.machine.Attempts() == 1 && s.machine.Delivered() == s.client.events {
		s.gateway.completion.Observe(maxOutputTokens, s.client.events, s.gateway.fleet.NominalTime(s.placed.ID, s.gateway.sim.clock.now.Sub(s.firstEventAt)))
	}
	s.endAttempts()
	s.done = true
	delete(s.gateway.streams, s)
	delete(s.gateway.ownRecords, s.client.key)
	c := s.client
	s.gateway.sim.clock.after(clientDelay, func() {
		switch outcome {
		case relay.Complete:
			c.complete(s)
		case relay.NoTarget:
			c.refused(s)
		default:
			c.lost(s)
		}
	})
}

// clientDisconnected ends the stream of a client that closed its connection.
func (s *stream) clientDisconnected() {
	if !s.done && s.gateway.up {
		s.apply(s.machine.CallerDisconnected())
	}
}
