package generations

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"bramleygap/internal/result"

	"bramleygap/internal/entry/caller"
)

// Guards against request bodies that crash the entry, are refused with a code outside the
// not-run class, or are accepted although they exceed limits.
func FuzzParseBody(f *testing.F) {
	f.Add(`{"model":"m","prompt":"p","max_tokens":3,"stream":true,"seed":-1,"stop":["x"]}`, false)
	f.Add(`{"model":"m","prompt":[1,2,3],"temperature":0.5,"top_p":1,"deadline_ms":100}`, false)
	f.Add(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"p"}]}]}`, true)
	f.Add(`{"model":`, false)
	f.Fuzz(func(t *testing.T, text string, chat bool) {
		request := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(text))
		parsed, err := parseRequest(httptest.NewRecorder(), request, 1<<16, chat)
		if err != nil {
			if class := caller.AsError(err).Code.Class(); class != result.ClassNotRun {
				t.Fatalf("refused with class %s: %v", class, err)
			}
			return
		}
		if parsed.service == "" || (parsed.prompt == "" && len(parsed.promptTokenIDs) == 0) {
			t.Fatal("accepted a request without service or prompt")
		}
		if n := parsed.sampling.GetMaxTokens(); n == 0 || n > maxTokensLimit {
			t.Fatalf("accepted max_tokens %d", n)
		}
	})
}
