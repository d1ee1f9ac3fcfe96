package router

import (
	"time"

	"bramleygap/internal/core/placement"
	"bramleygap/internal/core/suspect"
)

// suspicionOf returns Isolated for a request whose next crash leads to its rejection.
func suspicionOf(crashes, left int) placement.Suspicion {
	switch {
	case left <= 1:
		return placement.Isolated
	case crashes > 0:
		return placement.Suspected
	}
	return placement.NotSuspected
}

// clearSuspect clears the suspect if it completed or has run long enough without a crash.
func (s *state) clearSuspect(fingerprint uint64, elapsed time.Duration, completed bool) {
	if s.tracker.ClearIfSafe(fingerprint, elapsed, completed) {
		s.manager.metrics.cleared.Inc()
		s.export(time.Now())
	}
}

func (s *state) recordDeath(death suspect.Death, now time.Time) {
	if !s.tracker.Report(death, now) {
		return
	}
	s.manager.metrics.deaths.Inc()
	s.options.Logger.Info().Str("death", death.ID).Str("target", death.Target).Int("running", len(death.Fingerprints)).Msg("target crashed")
	s.export(now)
}

func (s *state) recordProgress(now time.Time, fingerprint uint64, completed bool) {
	longestRun := time.Duration(0)
	for _, id := range s.byFingerprint[fingerprint] {
		longestRun = max(longestRun, now.Sub(s.running[id].startedAt))
	}
	s.clearSuspect(fingerprint, longestRun, completed)
}

func (s *state) mergeSuspects(records []suspect.Record, now time.Time) {
	s.tracker.Merge(records, now)
	s.export(now)
}

// export publishes the suspects for Contribute if they changed.
func (s *state) export(now time.Time) {
	if s.tracker.Version() == s.exportedVersion {
		return
	}
	s.exportedVersion = s.tracker.Version()
	out := toWire(s.tracker.Export(now))
	s.manager.exportedSuspects.Store(&out)
}
