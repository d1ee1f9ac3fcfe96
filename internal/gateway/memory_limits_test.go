package gateway

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against limits that together exceed the memory of a VM or leave nothing to the tables and the runtime, and
// against a gateway without a stated limit that refuses requests as the smallest VM does.
func TestMemoryLimits(t *testing.T) {
	c := qt.New(t)
	for _, memoryMB := range []int64{40, 112, 284, 4096} {
		limits := limitsFor(memoryMB)
		sum := limits.responses + limits.bodies + limits.requests*bytesPerRequest
		c.Check(sum <= memoryMB<<20*6/10, qt.IsTrue, qt.Commentf("%d of %d MB", sum>>20, memoryMB))
		c.Check(limits.requests >= 100, qt.IsTrue, qt.Commentf("%d requests with %d MB", limits.requests, memoryMB))
	}
	c.Check(limitsFor(0).requests > limitsFor(284).requests, qt.IsTrue)
}
