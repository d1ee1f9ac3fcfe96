// Package emulator plays loads of generations on model engines in virtual time. Engines,
// clients and the network are modelled; the decisions are those of the product's own core
// packages, beside simpler policies to compare with. It needs no network and gives the same
// result for the same seed.
package emulator

import (
	"container/heap"
	"time"
)

// clock runs functions in the order of virtual time.
type clock struct {
	now   time.Time
	queue events
	next  int
}

type event struct {
	at    time.Time
	order int
	run   func()
}

func newClock() *clock { return &clock{now: time.Unix(1_000_000_000, 0)} }

// after runs f in d from now.
func (c *clock) after(d time.Duration, f func()) {
	c.next++
	heap.Push(&c.queue, event{c.now.Add(max(0, d)), c.next, f})
}

// every runs f each d until end.
func (c *clock) every(d time.Duration, end time.Time, f func()) {
	c.after(d, func() {
		f()
		if c.now.Before(end) {
			c.every(d, end, f)
		}
	})
}

// run plays until no event is left.
func (c *clock) run() {
	for len(c.queue) > 0 {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.run()
	}
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].order < q[j].order
	}
	return q[i].at.Before(q[j].at)
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}
