package gateway

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleygap/internal/core/placement"
	"bramleygap/internal/core/suspect"
	"bramleygap/internal/wire"
)

// partIdentities returns the identities by which the shared parts of a prompt are known to the tracker. A
// part that crashes the engines of one service may be harmless to another model.
func partIdentities(service string, ids []string) []uint64 {
	identities := make([]uint64, len(ids))
	for i, id := range ids {
		identities[i] = xxhash.Sum64String(service + "\x00" + id)
	}
	return identities
}

// formatPart returns the identity of a part as it is logged.
func formatPart(part uint64) string { return fmt.Sprintf("%016x", part) }

func formatParts(parts []uint64) []string {
	list := make([]string, len(parts))
	for i, part := range parts {
		list[i] = formatPart(part)
	}
	return list
}

// mayCauseCrash returns the requests to which a crash of their target is charged by the parts of their
// prompts: those whose responses were beginning, or else those that waited for a response. A response that
// flows has shown that its prompt is harmless.
func (st *state) mayCauseCrash(target string, now time.Time) []suspect.Candidate {
	byPhase := map[attemptPhase][]suspect.Candidate{}
	for handle := range st.attempts[target] {
		if len(handle.parts) > 0 {
			phase := handle.phase(now)
			byPhase[phase] = append(byPhase[phase], suspect.Candidate{Request: handle.identity, Parts: handle.parts, Run: now.Sub(handle.startedAt)})
		}
	}
	if beginning := byPhase[phaseBeginning]; len(beginning) > 0 {
		return beginning
	}
	return byPhase[phaseWaiting]
}

// rejects reports whether a request must not be sent because it, or a part of its prompt, crashes targets.
// A trial is rejected only once it has reached a target.
func (l *eventLoop) rejects(st *state, now time.Time, c *clientRequest, arrived bool) bool {
	verdict := st.suspects.CondemnedParts(c.parts)
	contentRejected := st.suspects.Rejects(c.identity, now) && (arrived || !c.requestTrial)
	partRejected := verdict != nil && (arrived || !c.trial.Load())
	if !contentRejected && !partRejected {
		return false
	}
	if !arrived {
		switch {
		case partRejected && l.takePartTrial(st, now, c, verdict, contentRejected):
			return false
		case verdict == nil && l.takeRequestTrial(st, now, c):
			// With a condemned part, the request would show nothing about the rest of its content.
			return false
		}
	}
	if partRejected {
		c.verdict = verdict
	}
	return true
}

// takePartTrial reports whether a request with a condemned part is sent to find out whether the part still crashes
// targets. If its content is rejected too, the request is a trial of both: trials of the one alone would wait for
// the other to be cleared, and all requests with the content would be refused until the crashes expire.
func (l *eventLoop) takePartTrial(st *state, now time.Time, c *clientRequest, verdict *suspect.Verdict, contentRejected bool) bool {
	if !st.ownsTrials("part", verdict.Parts[0], l.options.Settings.Name) ||
		!st.fleet.HasTarget(now, placement.FleetQuery{Service: c.service}) ||
		contentRejected && !st.suspects.RequestTrialDue(c.identity, c.parts, now) ||
		!st.suspects.TakeTrial(verdict, c.parts, now) {
		return false
	}
	if contentRejected {
		c.requestTrial = st.suspects.TakeRequestTrial(c.identity, c.parts, now)
		l.metrics.requestTrials.Inc()
	}
	c.trial.Store(true)
	c.onTrial.Store(true)
	c.trialVerdict = verdict
	l.metrics.partTrials.Inc()
	c.log.Warn().Strs("parts", formatParts(verdict.Parts)).Int("crashes", verdict.Crashes).Dur("age", now.Sub(verdict.Since)).
		Bool("content_rejected", contentRejected).Msg("request with a prompt part that crashed targets is sent, to find out whether it still does")
	return true
}

// returnTrials gives back the trials of a request that has reached no target, so that another request makes them.
func (l *eventLoop) returnTrials(st *state, c *clientRequest) {
	if c.trialVerdict != nil {
		st.suspects.ReturnTrial(c.trialVerdict)
	}
	if c.requestTrial {
		st.suspects.ReturnRequestTrial(c.identity)
	}
}

// takeRequestTrial reports whether a rejected request is sent to find out whether it still crashes targets.
func (l *eventLoop) takeRequestTrial(st *state, now time.Time, c *clientRequest) bool {
	if !st.ownsTrials("request", c.identity.Content, l.options.Settings.Name) ||
		!st.fleet.HasTarget(now, placement.FleetQuery{Service: c.service}) || !st.suspects.TakeRequestTrial(c.identity, c.parts, now) {
		return false
	}
	c.requestTrial = true
	c.onTrial.Store(true)
	l.metrics.requestTrials.Inc()
	c.log.Warn().Str("content", formatPart(c.identity.Content)).Strs("parts", formatParts(c.parts)).Int("crashes", st.suspects.Crashes(c.identity.Content, now)).
		Array("of_content", st.loggedCrashes(c.identity.Content, now)).
		Msg("request that crashed targets is sent, to find out whether it still does")
	return true
}

// ownsTrials reports whether a gateway makes the trials of a condemned part or of a rejected request. The owner is
// chosen by rendezvous hashing.
func (st *state) ownsTrials(of string, id uint64, self string) bool {
	key := of + "\x00" + formatPart(id) + "\x00"
	hash := xxhash.Sum64String(key + self)
	for _, name := range st.liveGateways {
		if name != self && xxhash.Sum64String(key+name) > hash {
			return false
		}
	}
	return true
}

// logRejection logs why a request is rejected.
func (c *clientRequest) logRejection(arrived bool) {
	event := c.log.Warn().Bool("arrived", arrived)
	if c.verdict != nil {
		event = event.Strs("parts", formatParts(c.verdict.Parts)).Strs("prompt_parts", c.head.PromptParts).
			Int("crashes", c.verdict.Crashes).Int("requests", c.verdict.Requests).Dur("age", time.Since(c.verdict.Since))
	}
	event.Msg("request rejected because it crashed too many targets, or others with a part of its prompt did")
}

// responseFlowed records that the response to a request has gone on for some time since its first event.
func (l *eventLoop) responseFlowed(st *state, now time.Time, c *clientRequest, flowed time.Duration) {
	st.suspects.Flowed(c.identity, flowed)
	st.suspects.PartsBegun(c.parts, now)
	l.suspectsChanged(st, now, "response")
}

// requestCompleted records that a request has completed.
func (l *eventLoop) requestCompleted(st *state, now time.Time, c *clientRequest, took time.Duration) {
	st.suspects.Completed(c.identity, took)
	st.suspects.PartsBegun(c.parts, now)
	l.suspectsChanged(st, now, "completion")
}

// suspectsChanged puts the verdicts into force that follow from changed crashes, which source brought, and logs what has
// changed.
func (l *eventLoop) suspectsChanged(st *state, now time.Time, source string) {
	l.partsChanged(st, now, source)
	l.logRejections(st, now, source)
}

// partsChanged puts the verdicts on prompt parts into force that follow from changed crashes, which source
// brought. It interrupts the attempts that a verdict rejects and whose response has not begun.
func (l *eventLoop) partsChanged(st *state, now time.Time, source string) {
	version := st.suspects.PartVersion()
	if version == st.partVersion {
		return
	}
	st.partVersion, st.partsChangedAt = version, st.suspects.Version()
	st.announcePartNews()
	before, after := st.verdicts, st.suspects.Verdicts()
	st.verdicts = after
	l.verdicts.Store(&after)
	l.metrics.condemnedParts.Set(float64(len(after)))
	changed := false
	for part, verdict := range after {
		if before[part] == nil {
			changed = true
			l.log.Warn().Str("part", formatPart(part)).Strs("together", formatParts(verdict.Parts)).Int("crashes", verdict.Crashes).
				Int("requests", verdict.Requests).Bool("known", verdict.Known).Dur("age", now.Sub(verdict.Since)).Str("source", source).
				Int("interrupted", st.interruptRejected(part, now)).Msg("prompt part crashes targets; requests with it are rejected")
		}
	}
	for part := range before {
		if after[part] == nil {
			changed = true
			l.log.Info().Str("part", formatPart(part)).Str("source", source).Msg("prompt part is no longer held to crash targets")
		}
	}
	if changed {
		st.activeRunsChanged = true
	}
}

// interruptRejected interrupts the attempts whose prompt has a condemned part before their response
// begins, and returns their number.
func (st *state) interruptRejected(part uint64, now time.Time) (interrupted int) {
	for _, handles := range st.attempts {
		for handle := range handles {
			if handle.begun.Load() != 0 || handle.phase(now) == phaseUnsent || handle.trial || !slices.Contains(handle.parts, part) || st.verdicts.Rejects(handle.parts) == nil {
				continue
			}
			handle.rejected.Store(true)
			handle.interrupt()
			interrupted++
		}
	}
	return interrupted
}

func encodeParts(records []suspect.PartRecord, now time.Time) []*wire.PartCrashes {
	var list []*wire.PartCrashes
	for _, r := range records {
		out := &wire.PartCrashes{Part: r.Part, Known: r.Known}
		for _, c := range r.Crashes {
			out.Crashes = append(out.Crashes, &wire.PartCrash{
				DeathId: c.Death, AgeMs: uint64(max(0, now.Sub(c.At).Milliseconds())), Requests: c.Requests, Cleared: c.Cleared,
				Proven: c.Proven, RunMs: uint64(max(0, c.Run.Milliseconds())),
			})
		}
		list = append(list, out)
	}
	return list
}

// decodeParts decodes the records that were encoded at a time of this process's clock.
func decodeParts(list []*wire.PartCrashes, encodedAt time.Time) []suspect.PartRecord {
	records := make([]suspect.PartRecord, 0, len(list))
	for _, p := range list {
		r := suspect.PartRecord{Part: p.Part, Known: p.Known}
		for _, c := range p.Crashes {
			r.Crashes = append(r.Crashes, suspect.PartCrash{
				Death: c.DeathId, At: encodedAt.Add(-decodeMS(c.AgeMs)), Run: decodeMS(c.RunMs), Requests: c.Requests, Cleared: c.Cleared, Proven: c.Proven,
			})
		}
		records = append(records, r)
	}
	return records
}

// decodeMS decodes a duration in milliseconds, at most maxAgeMs.
func decodeMS(ms uint64) time.Duration {
	return time.Duration(min(ms, uint64(maxAgeMs))) * time.Millisecond
}
