package emulator

import (
	"fmt"
	"time"

	"bramleygap/internal/core/membership"
	"bramleygap/internal/core/placement"
	"bramleygap/internal/core/relay"
	"bramleygap/internal/core/runindex"
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
	// The open attempt.
	job           *job
	engine        *engine
	incarnation   int
	streamID      uint64
	target        membership.Registration
	placement     relay.Placement
	hasFirstEvent bool
	checkID       int
	// copy is the cache copy of the run, nil for none.
	copy       *copyRef
	warmTarget string
	placedSize placement.GenerationSize
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
		options.FirstEventObjective = firstEventObjective
	}
	s.machine = relay.New(options)
	s.apply(s.machine.Start())
	return s
}

// findRun looks up the client's run at the gateways that may have its record.
func (s *stream) findRun() {
	now := s.gateway.sim.clock.now
	candidates := append(runindex.Candidates(s.client.key, s.gateway.sim.gatewayNames(), s.gateway.name), s.gateway.name)
	var lowestAge time.Duration
	for _, name := range candidates {
		other := s.gateway.sim.gateway(name)
		if !other.up {
			continue
		}
		if r, age, ok := other.runs.Get(now, s.client.key); ok && (s.warmTarget == "" || age < lowestAge) {
			lowestAge, s.warmTarget, s.copy = age, r.Source, nil
			if r.Holder != "" {
				s.copy = &copyRef{r.Holder, r.Handle}
			}
		}
	}
}

// publishRun sends the record of the run to the gateways that keep its replicas.
func (s *stream) publishRun() {
	if !s.gateway.sim.policy.FindRuns {
		return
	}
	r := runindex.Record{Fingerprint: s.client.key, Source: s.target.ID}
	if s.copy != nil {
		r.Holder, r.Handle = s.copy.holder, s.copy.name
	}
	s.gateway.ownRecords[r.Fingerprint] = r
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
			s.startAttempt(e)
		case relay.EndAttempt:
			s.endAttempt()
		case relay.Probe:
			s.probe()
		case relay.Deliver:
			number := int(s.machine.LastEvent())
			s.gateway.sim.clock.after(clientDelay, func() { s.client.receive(s, number) })
		case relay.Finish:
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
	if chosen, ok := s.gateway.chooseTarget(now, e.Exclude, copyHolder, s); ok {
		s.target = chosen.Target
		s.apply(s.machine.Placed(now, relay.Placement{Target: chosen.Target.ID, CopyTarget: chosen.Copy, Resume: chosen.FromCopy, ExpectedFirstEvent: chosen.Expected}))
		return
	}
	if !now.Before(s.placementDeadline) || !now.Before(s.client.deadline) {
		s.apply(s.machine.PlacementFailed())
		return
	}
	s.gateway.sim.clock.after(placementRetryInterval, func() { s.chooseTarget(e) })
}

// startAttempt sends the request to its target.
func (s *stream) startAttempt(e relay.StartAttempt) {
	sim := s.gateway.sim
	target := sim.engineAt(s.target.Address)
	s.placement, s.hasFirstEvent = e.Placement, false
	s.placedSize = s.size
	if e.CopyHolder != "" {
		s.placedSize = placement.GenerationSize{OutputTokens: s.size.PromptTokens + s.size.OutputTokens}
	}
	s.streamID = s.gateway.fleet.BeginStream(sim.clock.now, e.Placement.Target, e.Placement.CopyTarget, s.placedSize)
	attempt := s.machine.Attempts()
	current := func() bool { return !s.done && s.machine.Attempts() == attempt }
	j := &job{
		name: fmt.Sprintf("%d/%d/%d", s.client.number, s.number, attempt), key: s.client.key, prompt: s.client.prompt,
		events: s.client.events, nextEvent: int(e.After) + 1, prefillTokens: &s.client.prefillTokens, copyTarget: sim.engineByID(e.Placement.CopyTarget),
	}
	if e.CopyHolder != "" {
		j.resumeFrom = s.copy.name
	}
	j.deliver = func(kind signal, number int) {
		if current() {
			s.handleSignal(kind, number)
		}
	}
	fail := func(delay time.Duration, loss relay.Loss, targetDown bool) {
		sim.clock.after(delay, func() {
			if !current() {
				return
			}
			if targetDown {
				s.gateway.handleTargetDown(s.target)
			}
			if current() {
				s.apply(s.machine.AttemptFailed(sim.clock.now, loss))
			}
		})
	}
	switch {
	case target.unresponsive:
		fail(connectTimeout, relay.Unsent, sim.policy.Probe)
	case !target.up:
		fail(networkDelay, relay.Unsent, sim.policy.Probe)
	case target.id() != s.target.ID:
		s.gateway.fleet.MarkReplaced(sim.clock.now, s.target.ID)
		fail(2*networkDelay, relay.Replaced, false)
	default:
		s.job, s.engine, s.incarnation = j, target, target.incarnation
		if s.copy = nil; e.Placement.CopyTarget != "" {
			s.copy = &copyRef{e.Placement.CopyTarget, j.name}
		}
		sim.clock.after(networkDelay, func() {
			if target.incarnation == s.incarnation {
				target.submit(j)
			}
		})
	}
	s.scheduleCheck(attempt)
}

func (s *stream) scheduleCheck(attempt int) {
	s.checkID++
	id := s.checkID
	s.gateway.sim.clock.after(s.machine.NextCheck().Sub(s.gateway.sim.clock.now), func() {
		if s.done || s.checkID != id || s.machine.Attempts() != attempt {
			return
		}
		effects := s.machine.Check(s.gateway.sim.clock.now)
		s.apply(effects)
		if len(effects) == 0 && !s.done {
			s.scheduleCheck(attempt)
		}
	})
}

func (s *stream) handleSignal(kind signal, number int) {
	now := s.gateway.sim.clock.now
	if kind != signalDisconnected {
		s.gateway.fleet.Observe(now, placement.Instance{ID: s.target.ID, StartUnixMS: s.target.StartUnixMS}, s.job.answer, placement.FromResponse)
	}
	switch kind {
	case signalEvent:
		if !s.hasFirstEvent {
			s.hasFirstEvent = true
			s.gateway.fleet.RecordFirstEvent(now, s.target.ID, s.streamID)
			s.publishRun()
			s.maintainCopy(s.machine.Attempts())
		}
		s.apply(s.machine.Event(now, uint64(number)))
		if !s.done {
			s.scheduleCheck(s.machine.Attempts())
		}
	case signalCompleted:
		s.apply(s.machine.AttemptCompleted())
	case signalRefused:
		s.apply(s.machine.AttemptFailed(now, relay.Refused))
	case signalDisconnected:
		if s.gateway.sim.policy.Probe {
			s.gateway.probe(s.target, nil)
		}
		s.apply(s.machine.AttemptFailed(now, relay.Interrupted))
	}
}

// probe checks whether the target of the open attempt is alive.
func (s *stream) probe() {
	attempt := s.machine.Attempts()
	if !s.gateway.sim.policy.Probe {
		// Without probes, an inactive target counts as alive.
		s.machine.Probed(s.gateway.sim.clock.now, true, false)
		s.scheduleCheck(attempt)
		return
	}
	s.gateway.probe(s.target, func(alive bool) {
		if s.done || s.machine.Attempts() != attempt {
			return
		}
		s.apply(s.machine.Probed(s.gateway.sim.clock.now, alive, s.copy != nil))
		if !s.done && s.machine.Attempts() == attempt {
			s.scheduleCheck(attempt)
		}
	})
}

// maintainCopy checks the cache copy of the run periodically and creates a new one if it is lost.
func (s *stream) maintainCopy(attempt int) {
	if !s.gateway.sim.policy.CopyCaches {
		return
	}
	s.gateway.sim.clock.after(copyCheckInterval, func() {
		if s.done || s.machine.Attempts() != attempt || s.job == nil {
			return
		}
		now := s.gateway.sim.clock.now
		if s.copy == nil || !s.gateway.fleet.CanHoldCopy(now, s.copy.holder) {
			q := placement.FleetQuery{Service: service, Exclude: []string{s.target.ID}, AvoidZone: s.target.Zone}
			if reg, ok := s.gateway.fleet.ChooseCopy(now, q, s.size); ok {
				s.createCopy(attempt, reg)
			}
		}
		s.maintainCopy(attempt)
	})
}

func (s *stream) createCopy(attempt int, reg membership.Registration) {
	s.copy = nil
	holder, source, j := s.gateway.sim.engineByID(reg.ID), s.engine, s.job
	s.gateway.sim.clock.after(copyCreationTime, func() {
		if s.done || s.machine.Attempts() != attempt || source.incarnation != s.incarnation || holder == nil {
			return
		}
		if holder.storeCopy(j.name, j.memory()) {
			j.copyTarget = holder
			source.startCopy(j)
			s.copy = &copyRef{reg.ID, j.name}
			s.publishRun()
		}
	})
}

// endAttempt ends the open attempt and cancels its job.
func (s *stream) endAttempt() {
	if s.streamID != 0 {
		s.gateway.fleet.EndStream(s.gateway.sim.clock.now, s.placement.Target, s.placement.CopyTarget, s.streamID, s.placedSize, false)
		s.streamID = 0
	}
	if s.job == nil {
		return
	}
	j, engine, incarnation := s.job, s.engine, s.incarnation
	s.job = nil
	s.gateway.sim.clock.after(networkDelay, func() {
		if engine.incarnation == incarnation {
			engine.cancel(j)
		}
	})
}

func (s *stream) finish(outcome relay.Outcome) {
	s.endAttempt()
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
