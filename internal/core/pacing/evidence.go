package pacing

import "time"

const (
	// evidenceWindow is the time over which rejections are compared with arrivals, in evidenceSteps parts.
	evidenceWindow = 5 * time.Second
	evidenceSteps  = 10
	// rejectedShare is the share of arrivals rejected for lack of room above which a service is paced.
	rejectedShare = 0.02
	// calmTime is the time without a rejection after which a service may be paced no more.
	calmTime = 10 * time.Second
)

// window counts events over the last parts of a period.
type window struct {
	counts [evidenceSteps]int
	// last is the number of the part that was counted last.
	last int64
}

func (w *window) advance(now time.Time, period time.Duration) int64 {
	part := now.UnixNano() / int64(period/evidenceSteps)
	for i := max(w.last+1, part-evidenceSteps+1); i <= part; i++ {
		w.counts[i%evidenceSteps] = 0
	}
	w.last = max(w.last, part)
	return w.last % evidenceSteps
}

func (w *window) add(now time.Time, period time.Duration) { w.counts[w.advance(now, period)]++ }

func (w *window) sum(now time.Time, period time.Duration) int {
	w.advance(now, period)
	total := 0
	for _, n := range w.counts {
		total += n
	}
	return total
}

// evidence decides from the answers of a service's targets whether the service is paced.
type evidence struct {
	arrivals, rejections window
	paced                bool
	lastRejection        time.Time
}

// observe counts an arrival at a target.
func (e *evidence) observe(now time.Time, rejected bool) {
	e.arrivals.add(now, evidenceWindow)
	if !rejected {
		return
	}
	e.rejections.add(now, evidenceWindow)
	e.lastRejection = now
	if float64(e.rejections.sum(now, evidenceWindow)) > rejectedShare*float64(e.arrivals.sum(now, evidenceWindow)) {
		e.paced = true
	}
}

// calm reports whether no target has rejected a call for calmTime.
func (e *evidence) calm(now time.Time) bool { return now.Sub(e.lastRejection) >= calmTime }
