package e2e

import (
	"hash/crc32"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"bramleygap/internal/client"
	"bramleygap/internal/engineapi"
	"bramleygap/internal/standin/engine"
)

// operatorTemplate is the operator configuration of the tests. Its arguments are the hashes
// of the keys "clerk-key" and "planner-key".
const operatorTemplate = `
note = "end-to-end test"

[[member]]
name = "otaru"
share = 60

[[member]]
name = "guests"
share = 40

[[account]]
name = "clerks"
member = "otaru"
key_sha256 = "%s"

[[account]]
name = "planners"
member = "guests"
key_sha256 = "%s"

[[target_class]]
name = "engines"
honours_fencing = true

[[service]]
name = "letters"
kind = "model"
model = "letters"
target_class = "engines"
depends_on = ["counter"]

[[service.version]]
name = "v1"
share = 100

[[service]]
name = "counter"
kind = "application"

[[service.route]]
method = "POST"
path = "/permits"
once = true

[[service.route]]
method = "POST"
path = "/orders"
once = true

[[service.route]]
method = "GET"
path = "/status/*"
`

// caller returns a client for an entry, with the key of the account "clerks".
func (in *installation) caller(entry string) *client.Client {
	return &client.Client{BaseURL: "http://" + in.address[entry], Key: "clerk-key"}
}

func completion(prompt string) client.CompletionRequest {
	return client.CompletionRequest{Model: "letters", Prompt: prompt, MaxTokens: maxTokens, Seed: seed}
}

// assertIntact checks that the caller received exactly the tokens that an engine generates
// for the request, and the terminal event.
func (in *installation) assertIntact(got *client.Completion, version string, request client.CompletionRequest) {
	in.t.Helper()
	c := qt.New(in.t)
	c.Assert(got.Intact(), qt.IsTrue, qt.Commentf("no terminal event after %q", tail(got.Text.String(), 80)))
	tokens, finish := expectedTokens(version, request)
	c.Assert(got.FinishReason, qt.Equals, finish)
	var ids []byte
	for _, token := range tokens {
		ids = append(ids, byte(token.ID>>24), byte(token.ID>>16), byte(token.ID>>8), byte(token.ID))
	}
	c.Assert(got.Text.String(), qt.Equals, strings.ToValidUTF8(textOf(tokens), "\uFFFD"))
	c.Assert(got.Summary.Tokens, qt.Equals, len(tokens))
	c.Assert(got.Summary.Checksum, qt.Equals, crc32.Checksum(ids, crc32.MakeTable(crc32.Castagnoli)))
}

// expectedTokens returns the tokens and the finish reason that an engine generates for a request.
func expectedTokens(version string, request client.CompletionRequest) ([]engine.Token, string) {
	return engine.ExpectedTokens(engineapi.GenerateRequest{
		Model: "letters", Version: version, Prompt: request.Prompt, Seed: request.Seed, MaxTokens: uint32(request.MaxTokens),
	})
}

func textOf(tokens []engine.Token) string {
	var text strings.Builder
	for _, token := range tokens {
		text.Write(token.Bytes)
	}
	return text.String()
}

func readPrompt(t *testing.T) string {
	raw, err := os.ReadFile("testdata/prompt.txt")
	qt.Assert(t, err, qt.IsNil)
	return string(raw)
}
