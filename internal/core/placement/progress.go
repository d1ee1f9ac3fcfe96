package placement

import "time"

const (
	// reportLag is how much older than its arrival the content of an engine's report may be. A
	// stream that began within it may be missing in the report of a working engine.
	reportLag = 500 * time.Millisecond
	// missingTime is how long all reports must account for too few requests until one counts as
	// missing. It is longer than the delay with which gateways learn that others' streams ended.
	missingTime = 800 * time.Millisecond
	// maxMissingGap is the longest pause between two such reports. Targets are probed more often after
	// one; a longer pause means that this gateway was suspended, and that what it knows of the
	// streams is older than the report.
	maxMissingGap = 700 * time.Millisecond
	// stoppedTime is how long the reports of an engine that has requests may stay the same without
	// an event, beyond the time to read the tokens in its memory: while an engine reads one long
	// prompt, nothing changes, as the memory for it was reserved before.
	stoppedTime = 1500 * time.Millisecond
	// stoppedSlowness is the slowness that is allowed for in that time. Slow engines take 4 to 5 times
	// as long.
	stoppedSlowness = 5.0
	// hungBacklog is the backlog of a target that does not work on all of its streams: about the time
	// until a stream that is sent there and hangs has found another target and has its first event.
	hungBacklog = 4 * time.Second
	// maxReportGap is the longest pause between two reports that may be compared.
	maxReportGap = 3 * time.Second
)

// WorkReport is what an engine reports about its work: the requests that wait and run there, and the
// tokens in its memory.
type WorkReport struct{ Queued, Running, Memory int }

// Progress tells whether a target works on the streams that were sent to it.
type Progress int

// Values of Progress.
const (
	// ProgressUnknown means that no recent report is known.
	ProgressUnknown Progress = iota
	// Working means that the target works and that it accounts for all streams.
	Working
	// Suspect means that the target's last report accounts for fewer requests than it has accepted,
	// which another report may correct.
	Suspect
	// Missing means that all reports did so for missingTime.
	Missing
	// Stopped means that the target has requests and has neither produced an event nor changed its
	// report for longer than a working one would.
	Stopped
)

// String returns the progress as it appears in logs.
func (p Progress) String() string {
	switch p {
	case Working:
		return "working"
	case Suspect:
		return "suspect"
	case Missing:
		return "missing"
	case Stopped:
		return "stopped"
	}
	return "unknown"
}

// workEvidence is what the reports of one instance have shown about its work.
type workEvidence struct {
	report WorkReport
	// at is when the last report arrived, zero if there was none.
	at time.Time
	// changedAt is when a report last differed from the one before or an event arrived.
	changedAt time.Time
	// missingSince is when the first of the last reports arrived that account for too few requests,
	// zero if the last one accounts for all.
	missingSince time.Time
}

// observe records a report. lastEvent is when the target last sent an event, and known the number of
// requests that must be in the report.
func (e *workEvidence) observe(now time.Time, report WorkReport, lastEvent time.Time, known int) {
	gap := now.Sub(e.at)
	switch {
	case e.at.IsZero(), gap > maxReportGap:
		*e = workEvidence{changedAt: now}
	case report != e.report:
		e.changedAt = now
	case lastEvent.After(e.changedAt):
		e.changedAt = lastEvent
	}
	e.at, e.report = now, report
	switch {
	case report.Queued+report.Running >= known:
		e.missingSince = time.Time{}
	case e.missingSince.IsZero(), gap > maxMissingGap:
		e.missingSince = now
	}
}

// progress judges by the reports. slowness is the factor by which the target is known to be slower than
// nominal.
func (e *workEvidence) progress(now time.Time, slowness float64) Progress {
	stopped := stoppedTime + prefillTime(e.report.Memory, max(slowness, stoppedSlowness))
	switch {
	case e.at.IsZero(), now.Sub(e.at) > maxReportGap:
		return ProgressUnknown
	case !e.missingSince.IsZero() && e.at.Sub(e.missingSince) >= missingTime:
		return Missing
	case e.report.Queued+e.report.Running > 0 && e.at.Sub(e.changedAt) >= stopped:
		return Stopped
	case !e.missingSince.IsZero():
		return Suspect
	}
	return Working
}

// ObserveWork records an engine's report about its work. lastEvent is when any stream of this gateway
// last received an event from the target, zero for never.
func (f *Fleet) ObserveWork(now time.Time, id string, report WorkReport, lastEvent time.Time) {
	if t := f.targets[id]; t != nil {
		t.work.observe(now, report, lastEvent, f.knownStreams(now, t))
	}
}

// Progress returns whether a target works on the streams that were sent to it.
func (f *Fleet) Progress(now time.Time, id string) Progress {
	t := f.targets[id]
	if t == nil {
		return ProgressUnknown
	}
	return t.work.progress(now, t.slowdown(now))
}

// hangs reports whether a target does not work on all streams that were sent to it.
func (t *targetState) hangs(now time.Time) bool {
	p := t.work.progress(now, t.slowdown(now))
	return p == Missing || p == Stopped
}

// knownStreams returns the number of streams at a target, from all gateways, that a report of the
// target must contain.
func (f *Fleet) knownStreams(now time.Time, t *targetState) int {
	f.expireReports(now)
	known := t.reported.streams
	for _, s := range t.streams {
		if now.Sub(s.started) >= reportLag {
			known++
		}
	}
	return known
}
