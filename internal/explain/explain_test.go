package explain

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const sampleLog = `  0.1 edge-1 {"level":"warn","gateway":"g1","target":"t1","reason":"no answer","time":"2026-01-01T00:00:01.100Z","message":"target is down"}
panic: not a log line
{"level":"info","gateway":"g1","request":"r1","target":"t1","time":"2026-01-01T00:00:00.900Z","message":"stream placed"}
{"level":"info","gateway":"g2","target":"t1","time":"2026-01-01T00:00:01.000Z","message":"belief of another process"}
{"level":"info","gateway":"g1","request":"r2","time":"2026-01-01T00:00:01.000Z","message":"another request"}
{"level":"info","gateway":"g1","request":"r1","outcome":"lost","time":"2026-01-01T00:00:01.200Z","message":"request ended"}
{"level":"warn","gateway":"g1","table":"targets","time":"2025-12-31T23:59:50.000Z","message":"long before"}
`

// Guards against a timeline that is out of order, lacks the cached state behind a decision, or
// contains lines of other requests and processes.
func TestTimeline(t *testing.T) {
	c := qt.New(t)
	lines, skipped, err := Read(strings.NewReader(sampleLog))
	c.Assert(err, qt.IsNil)
	c.Check(skipped, qt.Equals, 1)
	var out strings.Builder
	c.Assert(WriteTimeline(&out, "r1", lines, skipped), qt.IsNil)
	c.Check(out.String(), qt.Equals, `      0.000 s g1: stream placed target=t1
~     0.200 s g1: target is down reason=no answer target=t1
      0.300 s g1: request ended outcome=lost
1 lines could not be parsed
`)
	c.Check(WriteTimeline(&out, "r9", lines, 0), qt.ErrorIs, ErrNotFound)
}

// Guards against a timeline that ends without an explanation where the process was killed.
func TestTimelineWithoutEnd(t *testing.T) {
	c := qt.New(t)
	for name, test := range map[string]struct{ more, want string }{
		"not restarted": {"", "~ g1: the end of the request is not logged, and the process has not restarted\n"},
		"restarted": {
			`{"level":"info","gateway":"g1","time":"2026-01-01T00:00:03.000Z","message":"gateway started"}` + "\n",
			"~     2.000 s g1: the end of the request is not logged; the process restarted here\n",
		},
	} {
		lines, _, err := Read(strings.NewReader(sampleLog + test.more))
		c.Assert(err, qt.IsNil)
		var out strings.Builder
		c.Assert(WriteTimeline(&out, "r2", lines, 0), qt.IsNil)
		c.Check(strings.HasSuffix(out.String(), test.want), qt.IsTrue, qt.Commentf("%s: %s", name, out.String()))
	}
}

// Guards against panics on arbitrary lines.
func FuzzRead(f *testing.F) {
	f.Add(sampleLog)
	f.Fuzz(func(t *testing.T, text string) {
		lines, _, err := Read(strings.NewReader(text))
		if err == nil {
			_ = WriteTimeline(&strings.Builder{}, "r1", lines, 0)
		}
	})
}

// Guards against a refused or moved request whose timeline does not show which targets were leaving or
// paused: they may have said so long before, and the refusal names none of them.
func TestTimelineShowsNotices(t *testing.T) {
	c := qt.New(t)
	const log = `{"gateway":"g1","target":"t1","service":"s","source":"response","time":"2026-01-01T00:00:00.000Z","message":"target says that it leaves; sending it no new requests"}
{"gateway":"g1","target":"t2","service":"s","pause":5000,"time":"2026-01-01T00:00:01.000Z","message":"target asks for a pause; sending it no requests until it ends"}
{"gateway":"g1","target":"t3","service":"s","pause":20000,"time":"2026-01-01T00:00:02.000Z","message":"target asks for a pause; sending it no requests until it ends"}
{"gateway":"g2","target":"t4","service":"s","pause":20000,"time":"2026-01-01T00:00:02.000Z","message":"target asks for a pause; sending it no requests until it ends"}
{"gateway":"g1","target":"t5","service":"other","time":"2026-01-01T00:00:03.000Z","message":"target says that it leaves; sending it no new requests"}
{"gateway":"g1","request":"r1","service":"s","leaving":1,"paused":1,"time":"2026-01-01T00:00:10.000Z","message":"no target accepts the request: all leave or asked for a pause"}
{"gateway":"g1","request":"r1","time":"2026-01-01T00:00:10.100Z","message":"request refused"}
`
	lines, _, err := Read(strings.NewReader(log))
	c.Assert(err, qt.IsNil)
	var out strings.Builder
	c.Assert(WriteTimeline(&out, "r1", lines, 0), qt.IsNil)
	c.Check(out.String(), qt.Equals, `~   -10.000 s g1: target says that it leaves; sending it no new requests service=s source=response target=t1
~    -8.000 s g1: target asks for a pause; sending it no requests until it ends pause=20000 service=s target=t3
      0.000 s g1: no target accepts the request: all leave or asked for a pause leaving=1 paused=1 service=s
      0.100 s g1: request refused
`)
}
