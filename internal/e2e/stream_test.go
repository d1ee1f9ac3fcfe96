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

// operators is the operator configuration of the tests: keys are "clerk-key" and "planner-key".
const operators = `
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

// caller returns a client of an entry with the key of the clerks' account.
func (in *installation) caller(entry string) *client.Client {
	return &client.Client{BaseURL: "http://" + in.address[entry], Key: "clerk-key"}
}

func completion(prompt string) client.CompletionRequest {
	return client.CompletionRequest{Model: "letters", Prompt: prompt, MaxTokens: maxTokens, Seed: seed}
}

// assertWhole checks that the caller received exactly the generation that the engine
// produces for these inputs, with its terminal event.
func (in *installation) assertWhole(got *client.Completion, version string, request client.CompletionRequest) {
	in.t.Helper()
	c := qt.New(in.t)
	c.Assert(got.Intact(), qt.IsTrue, qt.Commentf("no terminal event after %q", tail(got.Text.String(), 80)))
	tokens, finish := expected(version, request)
	c.Assert(got.FinishReason, qt.Equals, finish)
	var ids []byte
	for _, token := range tokens {
		ids = append(ids, byte(token.ID>>24), byte(token.ID>>16), byte(token.ID>>8), byte(token.ID))
	}
	c.Assert(got.Text.String(), qt.Equals, strings.ToValidUTF8(textOf(tokens), "\uFFFD"))
	c.Assert(got.Summary.Tokens, qt.Equals, len(tokens))
	c.Assert(got.Summary.Checksum, qt.Equals, crc32.Checksum(ids, crc32.MakeTable(crc32.Castagnoli)))
}

// expected returns the tokens that the engines generate for a request, and the finish reason.
func expected(version string, request client.CompletionRequest) ([]engine.Token, string) {
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
