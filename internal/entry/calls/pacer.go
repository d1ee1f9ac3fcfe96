package calls

import (
	"math/rand/v2"
	"sync"
	"time"

	"bramleygap/internal/core/storelimit"
)

// Reasons why a write was not sent.
const (
	notSentQueue   = "queue"    // the estimated wait exceeds the maximum
	notSentTimeout = "patience" // the maximum wait has passed
)

// pacer delays claim writes until the rate limit admits them.
type pacer struct {
	mu      sync.Mutex
	limiter *storelimit.Limiter
	rng     *rand.Rand
	waiting map[uint64]chan struct{}
	lastID  uint64
	timer   *time.Timer
}

func newPacer() *pacer {
	return &pacer{
		limiter: storelimit.New(time.Now()),
		rng:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		waiting: make(map[uint64]chan struct{}),
	}
}

// acquire waits until a write of the class may be sent, for at most maxWait. It returns ""
// or the reason why the write must not be sent.
func (p *pacer) acquire(class storelimit.Class, maxWait time.Duration) string {
	id, granted := p.enqueue(class, maxWait)
	if granted == nil {
		return notSentQueue
	}
	select {
	case <-granted:
		return ""
	default:
	}
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case <-granted:
		return ""
	case <-timer.C:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.limiter.Remove(id, class) {
		return "" // granted in the meantime
	}
	delete(p.waiting, id)
	return notSentTimeout
}

// enqueue adds a write and returns a channel that is closed when the write is granted, nil if
// it was not added.
func (p *pacer) enqueue(class storelimit.Class, maxWait time.Duration) (uint64, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastID++
	id := p.lastID
	if !p.limiter.Enqueue(time.Now(), id, class, maxWait) {
		return 0, nil
	}
	granted := make(chan struct{})
	p.waiting[id] = granted
	p.grant()
	return id, granted
}

// grant admits the writes that may be sent now and sets the timer for the next. p.mu must be
// held.
func (p *pacer) grant() {
	ids, delay := p.limiter.Grant(time.Now())
	for _, id := range ids {
		close(p.waiting[id])
		delete(p.waiting, id)
	}
	if p.timer != nil {
		p.timer.Stop()
	}
	if delay > 0 {
		p.timer = time.AfterFunc(delay, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.grant()
		})
	}
}

// report records whether the table refused a write.
func (p *pacer) report(refused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if refused {
		p.limiter.Refused(time.Now(), p.rng)
		return
	}
	p.limiter.Accepted()
}

func (p *pacer) rate() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limiter.Rate(time.Now())
}
