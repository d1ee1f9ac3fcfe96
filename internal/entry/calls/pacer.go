package calls

import (
	"math/rand/v2"
	"sync"
	"time"

	"bramleygap/internal/core/storelimit"
)

// Reasons why a write was not sent.
const (
	notSentQueue    = "queue"    // the estimated wait exceeds the patience
	notSentPatience = "patience" // the write waited as long as its patience
)

// pacer lets claim writes wait for their turn.
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

// acquire waits until a write of the class may be sent, at most for patience. It
// returns "" or the reason why the write must not be sent.
func (p *pacer) acquire(class storelimit.Class, patience time.Duration) string {
	id, turn := p.enqueue(class, patience)
	if turn == nil {
		return notSentQueue
	}
	select {
	case <-turn:
		return ""
	default:
	}
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-turn:
		return ""
	case <-timer.C:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.limiter.Remove(id, class) {
		return "" // granted meanwhile
	}
	delete(p.waiting, id)
	return notSentPatience
}

// enqueue returns a channel that is closed at the write's turn, or nil.
func (p *pacer) enqueue(class storelimit.Class, patience time.Duration) (uint64, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastID++
	id := p.lastID
	if !p.limiter.Enqueue(time.Now(), id, class, patience) {
		return 0, nil
	}
	turn := make(chan struct{})
	p.waiting[id] = turn
	p.grant()
	return id, turn
}

// grant wakes the writes whose turn it is and sets the timer for the next; p.mu is held.
func (p *pacer) grant() {
	granted, delay := p.limiter.Grant(time.Now())
	for _, id := range granted {
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

// report tells whether the table refused a write.
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
