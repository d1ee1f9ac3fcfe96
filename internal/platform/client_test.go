package platform

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a write that the transport resends after its reused connection broke or
// after a redirect: the first attempt may have taken effect, which only a read can show.
func TestWritesAreSentOnce(t *testing.T) {
	for name, fail := range map[string]http.HandlerFunc{
		"broken connection": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"redirect": func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, r.URL.Path, http.StatusTemporaryRedirect)
		},
	} {
		t.Run(name, func(t *testing.T) {
			var requests atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if requests.Add(1) > 1 {
					fail(w, r)
					return
				}
				_, _ = w.Write([]byte(`{"committed":true}`))
			}))
			defer server.Close()
			client := NewClient(ClientOptions{BaseURL: server.URL})
			defer client.Close()
			_, err := client.Commit(t.Context(), Txn{})
			qt.Assert(t, err, qt.IsNil)
			_, err = client.Commit(t.Context(), Txn{})
			qt.Assert(t, errors.Is(err, ErrUnavailable), qt.IsTrue, qt.Commentf("%v", err))
			qt.Assert(t, requests.Load(), qt.Equals, int64(2))
		})
	}
}
