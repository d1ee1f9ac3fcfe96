package emulator

import (
	"time"

	"bramleygap/internal/core/relay"
	"bramleygap/internal/core/suspect"
)

const (
	// crashedEngineOutage is how long an engine that a request crashed is away.
	crashedEngineOutage = 2 * time.Second
	// contactTime is the time within which gateways in touch must know what one of them has seen, and
	// crashesUntilKnown the number of crashes from which on, both as the users state them.
	contactTime       = 3 * time.Second
	crashesUntilKnown = 5
	// beginningPeriod is how long after its first event a response counts as beginning.
	beginningPeriod = 500 * time.Millisecond
	// sharedFirstParts and sharedMiddleParts are the numbers of parts that the prompts of clients share.
	sharedFirstParts, sharedMiddleParts = 3, 12
	// firstMiddlePart and firstCrashingPart are the identities of the first middle part and of the first
	// one that only crashing requests have.
	firstMiddlePart, firstCrashingPart = 100, 1000
)

// crashingParts is what a simulation knows of the prompt parts that crash engines.
type crashingParts struct {
	// parts holds the times of the crashes by part.
	parts map[uint64][]time.Time
	// lateArrivals counts by part the requests that reached engines more than contactTime after the part had
	// crashed crashesUntilKnown, sent by gateways that had run for contactTime.
	crashes      int
	lateArrivals map[uint64]int
	// begun and sound count the streams without such a part that share a first part with one, sent more
	// than twice contactTime after the part was known, and those of them that began at their first attempt.
	begun, sound int
}

func newCrashingParts() crashingParts {
	return crashingParts{parts: map[uint64][]time.Time{}, lateArrivals: map[uint64]int{}}
}

// sharedParts draws the shared parts of a prompt.
func (sim *simulation) sharedParts() []uint64 {
	return []uint64{sim.partRNG.Uint64N(sharedFirstParts), firstMiddlePart + sim.partRNG.Uint64N(sharedMiddleParts)}
}

// addCrashingRequests adds requests with one of n crashing parts for a share of the arriving ones. Their
// other parts are those of sound requests. If first is set, the crashing part is the first one.
func (sim *simulation) addCrashingRequests(share float64, n uint64, first bool) {
	for i := range n {
		sim.crashing.parts[firstCrashingPart+i] = nil
	}
	sim.modifyRequest = func(*client) {
		if sim.partRNG.Float64() >= share {
			return
		}
		c := sim.newClient(sim.partRNG.Uint64())
		c.crashing = true
		part := firstCrashingPart + sim.partRNG.Uint64N(n)
		if first {
			c.parts[0] = part
		} else {
			c.parts[1] = part
		}
		sim.startRequest(c)
	}
}

// arrivedAtEngine counts an arrival of a request with a crashing part.
func (c *crashingParts) arrivedAtEngine(from *gateway, j *job, now time.Time) {
	for _, part := range j.parts {
		times := c.parts[part]
		if len(times) >= crashesUntilKnown && now.Sub(times[crashesUntilKnown-1]) > contactTime && now.Sub(from.startedAt) > contactTime {
			c.lateArrivals[part]++
		}
	}
}

// crash reports whether an engine ends when it begins to answer a job, and counts it.
func (c *crashingParts) crash(j *job, now time.Time) bool {
	for _, part := range j.parts {
		if times, ok := c.parts[part]; ok {
			c.parts[part] = append(times, now)
			c.crashes++
			return true
		}
	}
	return false
}

// observeSound counts a stream that was sent while a part was known that crashes engines.
func (c *crashingParts) observeSound(sent *client) {
	if sent.crashing || sent.duplicate || sent.result == resultCancelled {
		return
	}
	for part, times := range c.parts {
		if part == sent.parts[0] || len(times) == 0 {
			continue
		}
		last := times[min(len(times), crashesUntilKnown)-1]
		if sent.arrived.Sub(last) > 2*contactTime {
			c.sound++
			if sent.received > 0 && sent.retries == 0 {
				c.begun++
			}
			return
		}
	}
}

// reportCrash records the streams at a target that ended as suspects.
func (g *gateway) reportCrash(target string, zone string) {
	now := g.sim.clock.now
	death := suspect.Death{ID: target, Target: target, Zone: zone, At: now}
	var candidates []suspect.Candidate
	for _, s := range g.orderedStreams() {
		for _, a := range []*attempt{s.successor, s.current} {
			if a == nil || a.job == nil || a.target.ID != target {
				continue
			}
			for _, identity := range s.client.identity().Identities() {
				death.Fingerprints, death.Runs = append(death.Fingerprints, identity), append(death.Runs, now.Sub(a.sentAt))
				death.Flows = append(death.Flows, a.flowed(now))
			}
			if a.begunAt.IsZero() || now.Sub(a.begunAt) < beginningPeriod {
				candidates = append(candidates, suspect.Candidate{Request: s.client.identity(), Parts: s.client.parts, Run: now.Sub(a.sentAt)})
			}
		}
	}
	if len(death.Fingerprints) == 0 || !g.suspects.Report(death, now) {
		return
	}
	if g.sim.policy.CountParts {
		g.suspects.ReportPartCrash(target, now, candidates, now)
		g.interruptRejected()
	}
}

// rejects reports whether a stream must not be sent because it, or a part of its prompt, crashes engines.
func (g *gateway) rejects(s *stream) bool {
	if !g.sim.policy.CountRequests {
		return false
	}
	now := g.sim.clock.now
	owns := func(id uint64) bool { return g.sim.gatewayNames()[id%uint64(len(g.sim.gateways))] == g.name }
	verdict, identity := g.suspects.CondemnedParts(s.client.parts), s.client.identity()
	contentRejected, parts := g.suspects.Rejects(identity, now), s.client.parts
	if verdict == nil {
		return contentRejected && (!owns(identity.Content) || !g.suspects.TakeRequestTrial(identity, parts, now))
	}
	if !owns(verdict.Parts[0]) || contentRejected && !g.suspects.RequestTrialDue(identity, parts, now) || !g.suspects.TakeTrial(verdict, parts, now) {
		return true
	}
	return contentRejected && !g.suspects.TakeRequestTrial(identity, parts, now)
}

// interruptRejected ends the attempts whose prompt has a condemned part before their response begins.
func (g *gateway) interruptRejected() {
	for _, s := range g.orderedStreams() {
		a := s.current
		if a != nil && a.job != nil && a.begunAt.IsZero() && g.suspects.CondemnedParts(s.client.parts) != nil {
			g.sim.clock.after(0, func() {
				if a.open() && a.s.current == a {
					a.failed(relay.TargetDown)
				}
			})
		}
	}
}

// recordFlowing records that the response to a request has gone on for some time since its first event.
func (g *gateway) recordFlowing(c *client, flowed time.Duration) {
	if g.sim.policy.CountRequests {
		g.suspects.Flowed(c.identity(), flowed)
	}
	if g.sim.policy.CountParts {
		g.suspects.PartsBegun(c.parts, g.sim.clock.now)
	}
}

// flowed returns how long the response has gone on since its first event.
func (a *attempt) flowed(now time.Time) time.Duration {
	if a.begunAt.IsZero() {
		return 0
	}
	return now.Sub(a.begunAt)
}

// mergeSuspects merges the suspects of another gateway as of an exchange.
func (g *gateway) mergeSuspects(requests []suspect.Record, parts []suspect.PartRecord) {
	now := g.sim.clock.now
	g.suspects.Merge(requests, now)
	if g.sim.policy.CountParts {
		g.suspects.MergeParts(parts, now)
		g.interruptRejected()
	}
}

// sharedText identifies the content of all requests if they have the same text.
const sharedText = 1 << 32

// identity identifies the client's request. No two have the same prompt.
func (c *client) identity() suspect.Request {
	id := suspect.Request{Content: uint64(c.number) + 1, Whole: uint64(c.number) + 1}
	if c.sim.oneText {
		id.Content = sharedText
	}
	return id
}

// crash ends an engine that begins to answer a job, and starts it again.
func (e *engine) crash(sim *simulation) {
	e.stop(false)
	e.clock.after(crashedEngineOutage, func() {
		if !e.up {
			e.start()
			sim.register(e)
		}
	})
}
