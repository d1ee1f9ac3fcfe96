package precedence

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against records of freed memory that are kept for ever while no work is refused.
func TestFreedMemoryIsForgotten(t *testing.T) {
	c := qt.New(t)
	q, at := NewQueue(rand.New(rand.NewPCG(1, 2))), time.Unix(1_800_000_000, 0)
	for range 1000 {
		at = at.Add(100 * time.Millisecond)
		q.Freed(at, 1000)
	}
	c.Check(len(q.freed.entries) <= 50, qt.IsTrue)
	c.Check(q.freed.total, qt.Equals, 50_000)
}
