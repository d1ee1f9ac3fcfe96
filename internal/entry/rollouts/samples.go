package rollouts

import (
	"time"

	"github.com/rs/zerolog"

	"bramleygap/internal/core/evidence"
	"bramleygap/internal/core/placement"
)

// maxSlowRequests is the number of slow requests of a version that are kept for the log.
const maxSlowRequests = 12

// slowRequest is a request that counted as slow, with the percentiles that it was compared with.
type slowRequest struct {
	at                              time.Time
	route, zone                     string
	firstToken, tokenInterval       time.Duration
	firstTokenP95, tokenIntervalP95 time.Duration
}

// recordSlow keeps a slow request for the log of a withdrawal.
func (s *state) recordSlow(now time.Time, key evidence.Key, o placement.Outcome) {
	t := s.rollouts[versionKey{key.Service, key.Version}]
	if t == nil {
		return
	}
	if len(t.slowRequests) == maxSlowRequests {
		t.slowRequests = t.slowRequests[:copy(t.slowRequests, t.slowRequests[1:])]
	}
	r := slowRequest{at: now, route: key.Route, zone: key.Zone, firstToken: o.FirstToken, tokenInterval: o.TokenInterval}
	r.firstTokenP95, r.tokenIntervalP95 = s.baseline(now, key, s.referenceOf(key.Service, key.Version)).Percentiles()
	t.slowRequests = append(t.slowRequests, r)
}

// logWithdrawal logs a withdrawal with the slices of time that spoke against the version, and the
// last of its slow requests on this entry.
func (s *state) logWithdrawal(t *trackedRollout, reason string) {
	decisive, slow := zerolog.Arr(), zerolog.Arr()
	for _, slice := range t.evaluator.Decisive() {
		decisive.Dict(zerolog.Dict().Time("start", slice.Start).Str("signal", slice.Signal).Str("group", slice.Group).
			Int("hits", slice.Hits).Int("requests", slice.Trials).Int("previous_hits", slice.OldHits).Int("previous_requests", slice.OldTrials).
			Float64("ratio_moderate", slice.Moderate).Float64("ratio_severe", slice.Severe))
	}
	for _, r := range t.slowRequests {
		slow.Dict(zerolog.Dict().Time("at", r.at).Str("route", r.route).Str("zone", r.zone).
			Dur("first_token", r.firstToken).Dur("first_token_p95", r.firstTokenP95).
			Dur("token_interval", r.tokenInterval).Dur("token_interval_p95", r.tokenIntervalP95))
	}
	s.options.Logger.Warn().Str("service", t.row.Service).Str("version", t.row.Version).Str("reason", reason).
		Uint64("requests", t.verdict.Requests).Uint64("failures", t.verdict.Failures).Uint64("slow", t.verdict.Slow).
		Array("decisive", decisive).Array("slow_requests", slow).Msg("version withdrawn")
}
