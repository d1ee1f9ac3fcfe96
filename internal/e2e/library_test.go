package e2e

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"

	"bramleygap/internal/client"
)

// Guards against a stream that a standard client library, which does not use event ids,
// cannot read to its end when the engine crashes.
func TestOpenAIClientSurvivesEngineKill(t *testing.T) {
	t.Parallel()
	in := startInstallation(t, 2, "", "entry0")
	request := completion(readPrompt(t))
	library := openai.NewClient(option.WithBaseURL("http://"+in.address["entry0"]+"/v1"),
		option.WithAPIKey("clerk-key"), option.WithMaxRetries(0))
	stream := library.Completions.NewStreaming(in.context(), openai.CompletionNewParams{
		Model:     openai.CompletionNewParamsModel(request.Model),
		Prompt:    openai.CompletionNewParamsPromptUnion{OfString: openai.String(request.Prompt)},
		MaxTokens: openai.Int(int64(request.MaxTokens)),
		Seed:      openai.Int(int64(request.Seed)),
	})
	var got client.Completion
	chunks := 0
	for ; stream.Next(); chunks++ {
		if chunks == 20 {
			serving := in.waitAttempt("entry0", "1")
			in.processes[engineOf(serving)].kill()
		}
		choice := stream.Current().Choices[0]
		got.Text.WriteString(choice.Text)
		got.FinishReason = string(choice.FinishReason)
	}
	qt.Assert(t, stream.Err(), qt.IsNil)
	in.waitAttempt("entry0", "2")
	tokens, finish := expectedTokens("v1", request)
	qt.Assert(t, got.FinishReason, qt.Equals, finish)
	qt.Assert(t, got.Text.String(), qt.Equals, strings.ToValidUTF8(textOf(tokens), "\uFFFD"))
}
