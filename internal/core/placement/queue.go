package placement

import (
	"container/heap"
	"time"
)

// QueuedAttempt is one attempt that waits for a target.
type QueuedAttempt struct {
	ID    uint64
	Class Class
	// Started orders resumes: the generation that began first goes first.
	Started time.Time
	// EnqueuedAt is the arrival in the queue.
	EnqueuedAt time.Time
	// NotBefore holds a retry back until its backoff has passed.
	NotBefore time.Time

	position int
}

// Queue orders waiting attempts: resumes by start of their generation, then in-share
// work, then over-share work, both by arrival.
type Queue struct {
	byID  map[uint64]*QueuedAttempt
	order waitingHeap
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{byID: map[uint64]*QueuedAttempt{}} }

// Push adds an attempt. Its ID must not be in the queue.
func (q *Queue) Push(w *QueuedAttempt) {
	q.byID[w.ID] = w
	heap.Push(&q.order, w)
}

// Remove takes an attempt out and reports whether it was there.
func (q *Queue) Remove(id uint64) bool {
	w, ok := q.byID[id]
	if !ok {
		return false
	}
	delete(q.byID, id)
	heap.Remove(&q.order, w.position)
	return true
}

// Len returns the number of waiting attempts.
func (q *Queue) Len() int { return len(q.order) }

// Dispatch offers the attempts in order until the pass is over; offer returns whether the
// attempt was settled and whether to go on. Attempts not settled keep their place.
func (q *Queue) Dispatch(now time.Time, offer func(id uint64) (settled, more bool)) {
	var kept []*QueuedAttempt
	for len(q.order) > 0 {
		w := heap.Pop(&q.order).(*QueuedAttempt)
		if w.NotBefore.After(now) {
			kept = append(kept, w)
			continue
		}
		settled, more := offer(w.ID)
		if settled {
			delete(q.byID, w.ID)
		} else {
			kept = append(kept, w)
		}
		if !more {
			break
		}
	}
	for _, w := range kept {
		heap.Push(&q.order, w)
	}
}

// Newest returns the attempt of the class that arrived last. It is the one to shed:
// older ones are closer to being served.
func (q *Queue) Newest(class Class) (uint64, bool) {
	var newest *QueuedAttempt
	for _, w := range q.order {
		if w.Class == class && (newest == nil || w.ID > newest.ID) {
			newest = w
		}
	}
	if newest == nil {
		return 0, false
	}
	return newest.ID, true
}

type waitingHeap []*QueuedAttempt

func (h waitingHeap) Len() int { return len(h) }

func (h waitingHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.Class != b.Class {
		return a.Class < b.Class
	}
	if a.Class == ClassResume && !a.Started.Equal(b.Started) {
		return a.Started.Before(b.Started)
	}
	return a.ID < b.ID
}

func (h waitingHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position, h[j].position = i, j
}

func (h *waitingHeap) Push(x any) {
	w := x.(*QueuedAttempt)
	w.position = len(*h)
	*h = append(*h, w)
}

func (h *waitingHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	*h = old[:len(old)-1]
	return w
}
