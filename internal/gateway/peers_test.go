package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against readers that answer all gateways of a large installation so often that
// they do nothing else (300 gateways: 374 questions a second to each).
func TestReaderPause(t *testing.T) {
	c := qt.New(t)
	for _, n := range []int{3, 23, 100, 373} {
		perReader := float64(n) / readersPerTable / readerExchangeInterval(n).Seconds()
		c.Check(perReader <= maxReaderRate+1e-6, qt.IsTrue, qt.Commentf("%d gateways: %.0f/s", n, perReader))
	}
	c.Check(readerExchangeInterval(3), qt.Equals, 400*time.Millisecond)
}
