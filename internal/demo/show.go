package demo

import (
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"

	"bramleygap/internal/client"
	"bramleygap/internal/engineapi"
	"bramleygap/internal/load"
	"bramleygap/internal/standin/engine"
)

const (
	demoSeed = 7
	prompt   = "Draft the safety conditions for a river lantern release by a shrine group."
)

// showGeneration streams a generation, kills its engine halfway and checks the result.
func (in *installation) showGeneration(ctx context.Context, w io.Writer) error {
	caller := client.Client{BaseURL: "http://" + in.entry.CallerListen, Key: accountKey}
	request := client.CompletionRequest{Model: modelService, Prompt: prompt, MaxTokens: in.command.Tokens, Seed: demoSeed}
	var completion client.Completion
	servingAgent := ""
	var callErr error
	err := caller.Complete(ctx, request, &completion, func(received *client.Completion) bool {
		if servingAgent == "" && received.Tokens() >= in.command.Tokens/2 {
			servingAgent = load.ServingAgent(received.LastID)
			in.stopEngine[servingAgent]()
			printf(w, "killed the serving engine (agent %s) after %d tokens\n", servingAgent, received.Tokens())
			callErr = statusCall(ctx, &caller)
		}
		return callErr == nil
	})
	if err != nil {
		return eris.Wrap(err, "stream generation")
	}
	if callErr != nil {
		return eris.Wrap(callErr, "status call")
	}
	printf(w, "received text:\n%s\n", completion.Text.String())
	if err := in.verify(&completion); err != nil {
		return err
	}
	printf(w, "generation is intact: %d tokens, checksum %08x, finish reason %q, longest gap %s; the status call succeeded after the kill\n",
		completion.Summary.Tokens, completion.Summary.Checksum, completion.FinishReason, completion.LongestGap)
	return nil
}

// statusCall reads a status from the application engine.
func statusCall(ctx context.Context, caller *client.Client) error {
	status, body, err := caller.Call(ctx, http.MethodGet, appService, "/status/17", nil, "")
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return eris.Errorf("status %d: %s", status, body)
	}
	return nil
}

// verify checks that the completion is intact and equals the output of an engine without failures.
func (in *installation) verify(completion *client.Completion) error {
	tokens, _ := engine.ExpectedTokens(engineapi.GenerateRequest{
		Model: modelService, Version: version, Prompt: prompt, Seed: demoSeed, MaxTokens: uint32(in.command.Tokens),
	})
	var expected strings.Builder
	for _, token := range tokens {
		expected.Write(token.Bytes)
	}
	if !completion.Intact() || completion.Text.String() != strings.ToValidUTF8(expected.String(), "\uFFFD") {
		return eris.New("the received generation is incomplete or differs from the expected text")
	}
	return nil
}
