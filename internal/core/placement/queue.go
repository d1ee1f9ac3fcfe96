package placement

import (
	"container/heap"
	"time"
)

// QueuedAttempt is an attempt that waits for a target.
type QueuedAttempt struct {
	ID    uint64
	Class Class
	// Started is when the generation began; the oldest generation resumes first.
	Started time.Time
	// EnqueuedAt is when the attempt entered the queue.
	EnqueuedAt time.Time
	// NotBefore is the end of a retry's backoff.
	NotBefore time.Time

	heapIndex int
}

// Queue is a priority queue of attempts: first resumes, ordered by the start of their
// generation, then in-share work, then over-share work, both by ID, which is the order of
// arrival.
type Queue struct {
	byID  map[uint64]*QueuedAttempt
	order attemptHeap
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{byID: map[uint64]*QueuedAttempt{}} }

// Push adds an attempt. Its ID must not be in the queue.
func (q *Queue) Push(attempt *QueuedAttempt) {
	q.byID[attempt.ID] = attempt
	heap.Push(&q.order, attempt)
}

// Remove removes an attempt and reports whether it was in the queue.
func (q *Queue) Remove(id uint64) bool {
	attempt, ok := q.byID[id]
	if !ok {
		return false
	}
	delete(q.byID, id)
	heap.Remove(&q.order, attempt.heapIndex)
	return true
}

// Len returns the number of waiting attempts.
func (q *Queue) Len() int { return len(q.order) }

// Dispatch calls offer for the attempts in order, skipping those in backoff, until offer
// returns more=false. Attempts for which it returns done=true are removed; the others keep
// their position.
func (q *Queue) Dispatch(now time.Time, offer func(id uint64) (done, more bool)) {
	var requeue []*QueuedAttempt
	for len(q.order) > 0 {
		attempt := heap.Pop(&q.order).(*QueuedAttempt)
		if attempt.NotBefore.After(now) {
			requeue = append(requeue, attempt)
			continue
		}
		done, more := offer(attempt.ID)
		if done {
			delete(q.byID, attempt.ID)
		} else {
			requeue = append(requeue, attempt)
		}
		if !more {
			break
		}
	}
	for _, attempt := range requeue {
		heap.Push(&q.order, attempt)
	}
}

// Newest returns the ID of the most recently added attempt of the class. It is the one to
// shed, since older attempts are closer to being served.
func (q *Queue) Newest(class Class) (uint64, bool) {
	var newest *QueuedAttempt
	for _, attempt := range q.order {
		if attempt.Class == class && (newest == nil || attempt.ID > newest.ID) {
			newest = attempt
		}
	}
	if newest == nil {
		return 0, false
	}
	return newest.ID, true
}

type attemptHeap []*QueuedAttempt

func (h attemptHeap) Len() int { return len(h) }

func (h attemptHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.Class != b.Class {
		return a.Class < b.Class
	}
	if a.Class == ClassResume && !a.Started.Equal(b.Started) {
		return a.Started.Before(b.Started)
	}
	return a.ID < b.ID
}

func (h attemptHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *attemptHeap) Push(x any) {
	attempt := x.(*QueuedAttempt)
	attempt.heapIndex = len(*h)
	*h = append(*h, attempt)
}

func (h *attemptHeap) Pop() any {
	old := *h
	attempt := old[len(old)-1]
	*h = old[:len(old)-1]
	return attempt
}
