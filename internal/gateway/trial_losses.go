package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"bramleygap/internal/core/membership"
)

const (
	// maxComparedTargets is the number of targets that are asked after the loss of a trial.
	maxComparedTargets = 8
	// sameMoment is the time between two crashes that may have one cause.
	sameMoment = 500 * time.Millisecond
	// maxLoggedCrashes bounds the crashes in one log line.
	maxLoggedCrashes = 12
)

// trialLost finds out what the end of a target says about the request that made a trial there. If half of the other
// targets that are asked ended at the same moment, without the request, they have a common cause.
func (l *eventLoop) trialLost(st *state, now time.Time, lost membership.Registration, deathID string, trial *attemptHandle) {
	compared := st.comparableTargets(now, lost, trial)
	log := l.log.With().Str("request", trial.requestID).Str("content", formatPart(trial.identity.Content)).Str("target", lost.ID).
		Dur("run", now.Sub(trial.startedAt)).Dur("flowed", trial.flowed()).Int("compared", len(compared)).Logger()
	l.probeAll(compared, func(st *state) {
		ended := 0
		for _, reg := range compared {
			if at := st.fleet.GoneAt(reg.ID); !at.IsZero() && at.Sub(now).Abs() <= sameMoment {
				ended++
			}
		}
		explained := ended > 0 && 2*ended >= len(compared)
		if explained {
			st.suspects.Explain(deathID)
		}
		log.Warn().Int("ended", ended).Bool("explained", explained).Msg("target ended under a request that was sent to find out whether it crashes targets")
	})
}

// comparableTargets returns targets of the service of a lost target that had not ended before it and did not run the
// content of its trial.
func (st *state) comparableTargets(now time.Time, lost membership.Registration, trial *attemptHandle) []membership.Registration {
	ran := map[string]bool{lost.ID: true}
	for _, crash := range st.suspects.CrashesOf(trial.identity.Content) {
		ran[crash.Death] = true
	}
	var list []membership.Registration
	for _, reg := range st.registry.Targets() {
		goneBefore := st.fleet.GoneAt(reg.ID)
		if reg.Service != lost.Service || ran[reg.ID] || ran[deathID(reg)] || reg.Leaving || st.runsContent(reg.ID, trial.identity.Content) ||
			!goneBefore.IsZero() && now.Sub(goneBefore) > sameMoment {
			continue
		}
		list = append(list, reg)
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), maxComparedTargets)]
}

// runsContent reports whether this gateway has a request with a content at a target.
func (st *state) runsContent(id string, content uint64) bool {
	for handle := range st.attempts[id] {
		if handle.identity.Content == content {
			return true
		}
	}
	return false
}

// logRejections logs the requests whose rejection has changed, with the crashes that decide it.
func (l *eventLoop) logRejections(st *state, now time.Time, source string) {
	rejected, lifted := st.suspects.TakeRejections()
	for _, id := range rejected {
		l.log.Warn().Str("content", formatPart(id)).Str("source", source).Array("crashes", st.loggedCrashes(id, now)).
			Msg("requests are rejected: targets crashed that ran them")
	}
	for _, id := range lifted {
		l.log.Info().Str("content", formatPart(id)).Str("source", source).Msg("requests are no longer rejected")
	}
}

// loggedCrashes returns what is logged of the crashes of a request.
func (st *state) loggedCrashes(id uint64, now time.Time) *zerolog.Array {
	list := zerolog.Arr()
	crashes := st.suspects.CrashesOf(id)
	for _, c := range crashes[max(0, len(crashes)-maxLoggedCrashes):] {
		list.Dict(zerolog.Dict().Str("target", c.Death).Dur("age", now.Sub(c.At)).Dur("run", c.Run).Dur("flowed", c.Flow).Bool("counts", c.Counts).
			Bool("late", c.Late).Bool("explained", c.Explained).Strs("parts", formatParts(c.Parts)))
	}
	return list
}
