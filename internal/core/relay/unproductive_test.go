package relay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a target that sends comments or old events at full speed until the deadline, and against one
// that is left although its few comments keep the connection open for a minute.
func TestUnproductiveEventsAreLimited(t *testing.T) {
	start := time.Unix(0, 0)
	for _, tc := range []struct {
		name     string
		size     int
		interval time.Duration
		after    time.Duration
		permits  bool
	}{
		{"full speed, tiny", 3, time.Microsecond, time.Second, false},
		{"full speed, large", 16 << 10, time.Millisecond, time.Second, false},
		{"keep-alive", 3, 100 * time.Millisecond, time.Minute, true},
		{"repeated events after a resumption", 200, time.Microsecond, 500 * time.Microsecond, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var u Unproductive
			permits := true
			for at := time.Duration(0); at < tc.after && permits; at += tc.interval {
				permits = u.Permits(start.Add(at), tc.size)
			}
			qt.Check(t, permits, qt.Equals, tc.permits)
			u.Reset(start)
			qt.Check(t, u.Permits(start, tc.size), qt.IsTrue)
		})
	}
}
