package emulator

import (
	"fmt"
	"time"

	"bramleygap/internal/core/membership"
	"bramleygap/internal/core/placement"
	"bramleygap/internal/core/relay"
	"bramleygap/internal/core/runindex"
)

// stream is one client's stream at a gateway.
type stream struct {
	g       *gateway
	client  *client
	machine *relay.Machine
	prompt  placement.GenerationSize
	waiting time.Time
	done    bool
	number  int
	// The open attempt.
	job    *job
	at     *engine
	start  int
	run    uint64
	target membership.Registration
	place  relay.Placement
	read   bool
	checks int
	// held is where the memory of the run is kept.
	held   *copyName
	warm   string
	placed placement.GenerationSize
}

// copyName says which engine has a copy under which name.
type copyName struct{ holder, name string }

// accept begins a stream of a client that has some of its events already.
func (g *gateway) accept(c *client) *stream {
	s := &stream{g: g, client: c, prompt: placement.GenerationSize{PromptTokens: c.prompt, OutputTokens: c.events * tokensPerEvent}}
	c.streams++
	s.number = c.streams
	g.streams[s] = struct{}{}
	if c.has > 0 && g.w.policy.Returns {
		s.findRun()
	}
	options := relay.Options{
		Resumable: g.w.policy.Resume, MaxAttempts: maxAttempts, Deadline: c.deadline, MaxEventGap: pauseObjective,
		After: uint64(c.has), HasCopy: s.held != nil,
	}
	if g.w.policy.LeavesUnread {
		options.FirstEventObjective = firstObjective
	}
	s.machine = relay.New(options)
	s.apply(s.machine.Start())
	return s
}

// findRun asks the homes of the run.
func (s *stream) findRun() {
	now := s.g.w.clock.now
	asked := append(runindex.Candidates(s.client.key, s.g.w.gatewayNames(), s.g.name), s.g.name)
	var newest time.Duration
	for _, name := range asked {
		other := s.g.w.gateway(name)
		if !other.up {
			continue
		}
		if r, age, ok := other.runs.Get(now, s.client.key); ok && (s.warm == "" || age < newest) {
			newest, s.warm, s.held = age, r.Source, nil
			if r.Holder != "" {
				s.held = &copyName{r.Holder, r.Handle}
			}
		}
	}
}

// remember tells the homes of the run where it is.
func (s *stream) remember() {
	if !s.g.w.policy.Returns {
		return
	}
	r := runindex.Record{Fingerprint: s.client.key, Source: s.target.ID}
	if s.held != nil {
		r.Holder, r.Handle = s.held.holder, s.held.name
	}
	s.g.own[r.Fingerprint] = r
	names := append(runindex.ReplicasFor(s.client.key, s.g.w.gatewayNames(), s.g.name), s.g.name)
	s.g.w.clock.after(exchangeInterval/4, func() {
		for _, name := range names {
			if other := s.g.w.gateway(name); other.up {
				other.runs.Put(s.g.w.clock.now, r)
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
			patience := placePatience
			if s.machine.Ran() {
				patience = resumePatience
			}
			s.waiting = s.g.w.clock.now.Add(patience)
			s.choose(e)
		case relay.StartAttempt:
			s.open(e)
		case relay.EndAttempt:
			s.closeRun()
		case relay.Probe:
			s.probe()
		case relay.Deliver:
			number := int(s.machine.LastEvent())
			s.g.w.clock.after(clientDelay, func() { s.client.event(s, number) })
		case relay.Finish:
			s.finish(e.Outcome)
		}
	}
}

// choose tries to place the stream until its patience ends.
func (s *stream) choose(e relay.ChooseTarget) {
	if s.done {
		return
	}
	now := s.g.w.clock.now
	holder := ""
	if e.MayHaveCopy && s.held != nil && s.g.w.policy.Copies {
		holder = s.held.holder
	}
	if place, ok := s.g.choose(now, e.Exclude, holder, s); ok {
		s.target = place.Target
		s.apply(s.machine.Placed(now, relay.Placement{Target: place.Target.ID, CopyTarget: place.Copy, Resume: place.FromCopy, ExpectedFirstEvent: place.Expected}))
		return
	}
	if !now.Before(s.waiting) || !now.Before(s.client.deadline) {
		s.apply(s.machine.PlacementFailed())
		return
	}
	s.g.w.clock.after(placeRetry, func() { s.choose(e) })
}

// open sends the request to its target.
func (s *stream) open(e relay.StartAttempt) {
	w := s.g.w
	target := w.engineAt(s.target.Address)
	s.place, s.read = e.Placement, false
	s.placed = s.prompt
	if e.CopyHolder != "" {
		s.placed = placement.GenerationSize{OutputTokens: s.prompt.PromptTokens + s.prompt.OutputTokens}
	}
	s.run = s.g.fleet.BeginStream(w.clock.now, e.Placement.Target, e.Placement.CopyTarget, s.placed)
	attempt := s.machine.Attempts()
	current := func() bool { return !s.done && s.machine.Attempts() == attempt }
	j := &job{
		name: fmt.Sprintf("%d/%d/%d", s.client.number, s.number, attempt), key: s.client.key, prompt: s.client.prompt,
		events: s.client.events, next: int(e.After) + 1, cost: &s.client.read, copyTo: w.engineByID(e.Placement.CopyTarget),
	}
	if e.CopyHolder != "" {
		j.from = s.held.name
	}
	j.deliver = func(kind signal, number int) {
		if current() {
			s.signal(kind, number)
		}
	}
	lose := func(after time.Duration, loss relay.Loss, down bool) {
		w.clock.after(after, func() {
			if !current() {
				return
			}
			if down {
				s.g.targetDown(s.target)
			}
			if current() {
				s.apply(s.machine.AttemptFailed(w.clock.now, loss))
			}
		})
	}
	switch {
	case target.silent:
		lose(connectTimeout, relay.Unsent, w.policy.Probes)
	case !target.up:
		lose(networkDelay, relay.Unsent, w.policy.Probes)
	case target.id() != s.target.ID:
		s.g.fleet.MarkReplaced(s.target.ID)
		lose(2*networkDelay, relay.Replaced, false)
	default:
		s.job, s.at, s.start = j, target, target.starts
		if s.held = nil; e.Placement.CopyTarget != "" {
			s.held = &copyName{e.Placement.CopyTarget, j.name}
		}
		w.clock.after(networkDelay, func() {
			if target.starts == s.start {
				target.submit(j)
			}
		})
	}
	s.watch(attempt)
}

// watch calls the machine's next check.
func (s *stream) watch(attempt int) {
	s.checks++
	check := s.checks
	s.g.w.clock.after(s.machine.NextCheck().Sub(s.g.w.clock.now), func() {
		if s.done || s.checks != check || s.machine.Attempts() != attempt {
			return
		}
		effects := s.machine.Check(s.g.w.clock.now)
		s.apply(effects)
		if len(effects) == 0 && !s.done {
			s.watch(attempt)
		}
	})
}

// signal handles what the engine sent.
func (s *stream) signal(kind signal, number int) {
	now := s.g.w.clock.now
	switch kind {
	case signalEvent:
		if !s.read {
			s.read = true
			s.g.fleet.RecordFirstEvent(now, s.target.ID, s.run)
			s.remember()
			s.keepCopy(s.machine.Attempts())
		}
		s.apply(s.machine.Event(now, uint64(number)))
		if !s.done {
			s.watch(s.machine.Attempts())
		}
	case signalEnded:
		s.apply(s.machine.AttemptCompleted())
	case signalRefused:
		s.apply(s.machine.AttemptFailed(now, relay.Refused))
	case signalBroken:
		if s.g.w.policy.Probes {
			s.g.ask(s.target, nil)
		}
		s.apply(s.machine.AttemptFailed(now, relay.Interrupted))
	}
}

// probe asks the target of the open attempt whether it is alive.
func (s *stream) probe() {
	attempt := s.machine.Attempts()
	if !s.g.w.policy.Probes {
		// Without probes, silence means nothing.
		s.machine.Probed(s.g.w.clock.now, true, false)
		s.watch(attempt)
		return
	}
	s.g.ask(s.target, func(alive bool) {
		if s.done || s.machine.Attempts() != attempt {
			return
		}
		s.apply(s.machine.Probed(s.g.w.clock.now, alive, s.held != nil))
		if !s.done && s.machine.Attempts() == attempt {
			s.watch(attempt)
		}
	})
}

// keepCopy orders another copy when the one of the run is lost.
func (s *stream) keepCopy(attempt int) {
	if !s.g.w.policy.Copies {
		return
	}
	s.g.w.clock.after(copyCheck, func() {
		if s.done || s.machine.Attempts() != attempt || s.job == nil {
			return
		}
		now := s.g.w.clock.now
		if s.held == nil || !s.g.fleet.CanHoldCopy(now, s.held.holder) {
			q := placement.FleetQuery{Service: service, Exclude: []string{s.target.ID}, AvoidZone: s.target.Zone}
			if reg, ok := s.g.fleet.ChooseCopy(now, q, s.prompt); ok {
				s.orderCopy(attempt, reg)
			}
		}
		s.keepCopy(attempt)
	})
}

func (s *stream) orderCopy(attempt int, reg membership.Registration) {
	s.held = nil
	to, source, j := s.g.w.engineByID(reg.ID), s.at, s.job
	s.g.w.clock.after(copyOrderTime, func() {
		if s.done || s.machine.Attempts() != attempt || source.starts != s.start || to == nil {
			return
		}
		if to.hold(j.name, j.memory()) {
			j.copyTo = to
			source.beginCopy(j)
			s.held = &copyName{reg.ID, j.name}
			s.remember()
		}
	})
}

// closeRun ends the open attempt.
func (s *stream) closeRun() {
	if s.run != 0 {
		s.g.fleet.EndStream(s.g.w.clock.now, s.place.Target, s.place.CopyTarget, s.run, s.placed, false)
		s.run = 0
	}
	if s.job == nil {
		return
	}
	j, at, start := s.job, s.at, s.start
	s.job = nil
	s.g.w.clock.after(networkDelay, func() {
		if at.starts == start {
			at.cancel(j)
		}
	})
}

func (s *stream) finish(outcome relay.Outcome) {
	s.closeRun()
	s.done = true
	delete(s.g.streams, s)
	delete(s.g.own, s.client.key)
	c := s.client
	s.g.w.clock.after(clientDelay, func() {
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

// clientLeft ends the stream of a client that closed its connection.
func (s *stream) clientLeft() {
	if !s.done && s.g.up {
		s.apply(s.machine.CallerDisconnected())
	}
}
