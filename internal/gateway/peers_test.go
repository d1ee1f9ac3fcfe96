package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against overloading the readers of a table in a large installation: with 300 gateways,
// each reader received 374 exchanges per second.
func TestReaderExchangeInterval(t *testing.T) {
	c := qt.New(t)
	for _, n := range []int{3, 23, 100, 373} {
		perReader := float64(n) / readersPerTable / readerExchangeInterval(n).Seconds()
		c.Check(perReader <= maxReaderRate+1e-6, qt.IsTrue, qt.Commentf("%d gateways: %.0f exchanges/s per reader", n, perReader))
	}
	c.Check(readerExchangeInterval(3), qt.Equals, 400*time.Millisecond)
}
