// Package emulator simulates loads of generations on model engines in virtual time. It models
// engines, clients and the network, and uses the product's core packages for all decisions,
// next to simpler policies for comparison. It needs no network, and the same seed gives the
// same result.
package emulator

import (
	"container/heap"
	"time"
)

// clock is a discrete-event scheduler that runs functions in the order of virtual time.
type clock struct {
	now      time.Time
	queue    timerQueue
	sequence int
}

type timer struct {
	at       time.Time
	sequence int
	run      func()
}

func newClock() *clock { return &clock{now: time.Unix(1_000_000_000, 0)} }

// after schedules f to run in d from now.
func (c *clock) after(d time.Duration, f func()) {
	c.sequence++
	heap.Push(&c.queue, timer{c.now.Add(max(0, d)), c.sequence, f})
}

// every runs f at intervals of d until end.
func (c *clock) every(d time.Duration, end time.Time, f func()) {
	c.after(d, func() {
		f()
		if c.now.Before(end) {
			c.every(d, end, f)
		}
	})
}

// run executes the scheduled functions until none is left.
func (c *clock) run() {
	for len(c.queue) > 0 {
		t := heap.Pop(&c.queue).(timer)
		c.now = t.at
		t.run()
	}
}

type timerQueue []timer

func (q timerQueue) Len() int { return len(q) }
func (q timerQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].sequence < q[j].sequence
	}
	return q[i].at.Before(q[j].at)
}
func (q timerQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *timerQueue) Push(x any)   { *q = append(*q, x.(timer)) }
func (q *timerQueue) Pop() any {
	old := *q
	t := old[len(old)-1]
	*q = old[:len(old)-1]
	return t
}
