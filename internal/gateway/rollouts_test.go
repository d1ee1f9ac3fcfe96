package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleygap/internal/core/evidence"
	"bramleygap/internal/core/membership"
	"bramleygap/internal/core/rollout"
)

// judge plays 30 s of a rollout in virtual time at 40 requests/s, a tenth of them on the new
// version, and returns the verdict. latency returns the latency of a request.
func judge(t *testing.T, seed uint64, latency func(rng *rand.Rand, elapsed time.Duration, isNew bool) time.Duration) evidence.Verdict {
	now := time.Unix(1000, 0)
	rng := rand.New(rand.NewPCG(seed, 1))
	st := startPeers(t, "g").g.loop.newState(now)
	o := &trackedOrder{RolloutOrder: RolloutOrder{Service: "s", Version: "v2"}, state: rollout.OrderRunning, firstSeen: now}
	o.evaluator = evidence.NewEvaluator("s", "v2", "v1")
	st.orders["s"], st.baselines["s"] = o, evidence.NewBaseline(now)
	var verdict evidence.Verdict
	for i := range 30 * 40 {
		now = now.Add(time.Second / 40)
		isNew := rng.Float64() < 0.1
		reg := membership.Registration{Service: "s", Version: "v1", Zone: "a"}
		if isNew {
			reg.Version = "v2"
		}
		st.observeAttempt(now, reg, "r", latency(rng, now.Sub(o.firstSeen), isNew), false)
		if i%10 == 0 && !verdict.Withdraw {
			verdict = o.evaluator.Evaluate(now, st.evidence)
		}
	}
	return verdict
}

// Load pattern: after 10 s, requests of both versions are slowed down, for example by a loaded
// VM. Guards against a good version that is rolled back because
// slow requests are counted for the new version only.
func TestCommonSlownessIsNoEvidenceAgainstVersion(t *testing.T) {
	c := qt.New(t)
	withdrawn := 0
	for seed := range uint64(100) {
		verdict := judge(t, seed, func(rng *rand.Rand, elapsed time.Duration, _ bool) time.Duration {
			latency := 20 * time.Millisecond
			if elapsed > 10*time.Second && rng.Float64() < 0.4 {
				latency += time.Duration(rng.Int64N(int64(300 * time.Millisecond)))
			}
			return latency
		})
		if verdict.Withdraw {
			withdrawn++
		}
	}
	// The accepted probability is 1% for each rollout.
	c.Check(withdrawn <= 1, qt.IsTrue, qt.Commentf("%d of 100 good versions withdrawn", withdrawn))
}

// Guards against a new version that answers several times slower and is kept.
func TestSlowVersionIsWithdrawn(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(20) {
		verdict := judge(t, seed, func(rng *rand.Rand, _ time.Duration, isNew bool) time.Duration {
			latency := 20*time.Millisecond + time.Duration(rng.Int64N(int64(10*time.Millisecond)))
			if isNew {
				latency *= 4
			}
			return latency
		})
		c.Check(verdict.Withdraw, qt.IsTrue, qt.Commentf("seed %d", seed))
		c.Check(verdict.Reason, qt.Matches, "slowness.*")
	}
}
