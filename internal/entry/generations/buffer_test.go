package generations

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// blockedWriter blocks writes until release is closed, like a caller that does not read.
type blockedWriter struct {
	*httptest.ResponseRecorder
	release chan struct{}
}

func (w blockedWriter) Write(data []byte) (int, error) {
	<-w.release
	return w.ResponseRecorder.Write(data)
}

func (f *fakeCluster) generatedTokens() (tokens int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, log := range f.logs {
		tokens = len(log.Ids)
	}
	return tokens
}

// Guards against an entry that buffers a whole generation for a caller that does not
// read. The entry must not read more from the agent than the output buffer and the flow
// control windows hold.
func TestBufferOfBlockedCallerIsBounded(t *testing.T) {
	const tokens, bound = 10_000, 7_000 // the flow control windows hold about 5,000 events
	c := qt.New(t)
	cluster := newCluster(t)
	_, h, _ := cluster.startEntry(t, false)
	writer := blockedWriter{httptest.NewRecorder(), make(chan struct{})}
	request := httptest.NewRequest(http.MethodPost, "/v1/completions",
		strings.NewReader(fmt.Sprintf(`{"model":"letters","prompt":"draft","max_tokens":%d,"stream":true}`, tokens)))
	request.Header.Set("Authorization", "Bearer "+testKey)
	served := make(chan struct{})
	go func() {
		defer close(served)
		h.generate(writer, request, false)
	}()
	for read := -1; read < 64 || read != cluster.generatedTokens(); time.Sleep(300 * time.Millisecond) {
		read = cluster.generatedTokens()
		c.Assert(read < bound, qt.IsTrue, qt.Commentf("%d tokens read for a blocked caller", read))
	}
	close(writer.release)
	<-served
	got := collect(c, writer.Result(), 0)
	_, text := expectedOutput(tokens)
	c.Assert(got.text == text, qt.IsTrue)
	c.Assert(got.done, qt.IsTrue)
}
