package router

import (
	"time"

	"bramleygap/internal/core/placement"
	"bramleygap/internal/core/suspect"
)

// suspicionOf isolates a request whose next crash leads to rejection.
func suspicionOf(crashes int) placement.Suspicion {
	switch {
	case crashes >= suspect.CrashLimit-1:
		return placement.Isolated
	case crashes > 0:
		return placement.Suspected
	}
	return placement.NotSuspected
}

func (s *state) clearSuspect(fingerprint uint64, run time.Duration, completed bool) {
	if s.tracker.ClearIfSafe(fingerprint, run, completed) {
		s.manager.metrics.cleared.Inc()
		s.export(time.Now())
	}
}

func (s *state) death(d suspect.Death, now time.Time) {
	if !s.tracker.Report(d, now) {
		return
	}
	s.manager.metrics.deaths.Inc()
	s.options.Logger.Info().Str("death", d.ID).Str("target", d.Target).Int("running", len(d.Fingerprints)).Msg("target crashed")
	s.export(now)
}

func (s *state) progress(now time.Time, fingerprint uint64, completed bool) {
	longest := time.Duration(0)
	for _, id := range s.byPrint[fingerprint] {
		longest = max(longest, now.Sub(s.running[id].since))
	}
	s.clearSuspect(fingerprint, longest, completed)
}

func (s *state) mergeSuspects(records []suspect.Record, now time.Time) {
	s.tracker.Merge(records, now)
	s.export(now)
}

// export publishes the suspects for Contribute if they changed.
func (s *state) export(now time.Time) {
	if s.tracker.Version() == s.exported {
		return
	}
	s.exported = s.tracker.Version()
	out := toWire(s.tracker.Export(now))
	s.manager.exported.Store(&out)
}
