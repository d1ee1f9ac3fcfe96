package storelimit

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	_ "bramleygap/internal/rapidseed"
)

// Guards against writes above the rate, against a write that overtakes one of a call with
// more progress, and against a rate that stays low after refusals stop.
func TestLimiter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		l := New(now)
		l.rate = rapid.Float64Range(MinRate, MaxRate).Draw(t, "rate")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var sent []time.Time
		var rates []float64
		queued := map[uint64]Class{}
		id := uint64(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				before, due := l.Rate(now), !now.Before(l.nextCut)
				l.Refused(now, rng)
				if due && l.rate > max(MinRate, cutFactor*before) {
					t.Fatalf("the rate was cut only from %f to %f", before, l.rate)
				}
			case 1:
				l.Accepted()
			case 2:
				now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			default:
				class := Class(rapid.IntRange(0, int(ClassClaim)).Draw(t, "class"))
				for range rapid.IntRange(1, 30).Draw(t, "writes") {
					id++
					if l.Enqueue(now, id, class, time.Second) {
						queued[id] = class
					} else if class != ClassClaim {
						t.Fatalf("a write of class %d was refused", class)
					}
				}
			}
			granted, _ := l.Grant(now)
			for _, id := range granted {
				class := queued[id]
				delete(queued, id)
				for other, ahead := range queued {
					if ahead < class || (ahead == class && other < id) {
						t.Fatalf("write %d of class %d overtook %d of class %d", id, class, other, ahead)
					}
				}
				sent = append(sent, now)
				rates = append(rates, l.Rate(now))
			}
		}
		for first := range sent {
			highest := 0.0
			for i := first; i < len(sent) && sent[i].Sub(sent[first]) <= time.Second; i++ {
				highest = max(highest, rates[i])
				if allowed := Burst + highest*sent[i].Sub(sent[first]).Seconds(); float64(i-first+1) > allowed+0.001 {
					t.Fatalf("%d writes granted, %f allowed", i-first+1, allowed)
				}
			}
		}
		now = now.Add(backoffMax + time.Minute)
		if l.Rate(now) != MaxRate {
			t.Fatalf("the rate is still %f after refusals stopped", l.Rate(now))
		}
	})
}

// Guards against entries that get unequal shares of a common limit for long, or that leave
// much of it unused. The table is a token bucket that is empty at the start.
func TestEntriesShareTheLimit(t *testing.T) {
	const limit, entries, seconds = 400.0, 2, 60
	now := time.Unix(1_000_000, 0)
	rng := rand.New(rand.NewPCG(1, 2))
	var limiters [entries]*Limiter
	var accepted [entries]float64
	for i := range limiters {
		limiters[i] = New(now)
	}
	limiters[1].rate = MinRate
	table, id := 0.0, uint64(0)
	for step := range seconds * 1000 {
		now = now.Add(time.Millisecond)
		table = min(Burst, table+limit/1000)
		for k := range limiters {
			i := (step + k) % entries
			id++
			limiters[i].Enqueue(now, id, ClassClaim, 100*time.Millisecond)
			granted, _ := limiters[i].Grant(now)
			for range granted {
				if table < 1 {
					limiters[i].Refused(now, rng)
					continue
				}
				table--
				accepted[i]++
				limiters[i].Accepted()
			}
		}
	}
	total := accepted[0] + accepted[1]
	qt.Check(t, total > 0.8*limit*seconds, qt.IsTrue, qt.Commentf("%v", accepted))
	qt.Check(t, min(accepted[0], accepted[1]) > 0.35*total, qt.IsTrue, qt.Commentf("%v", accepted))
}
