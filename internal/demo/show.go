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
	var got client.Completion
	killed := ""
	var callError error
	err := caller.Complete(ctx, request, &got, func(received *client.Completion) bool {
		if killed == "" && received.Tokens() >= in.command.Tokens/2 {
			killed = load.ServingAgent(received.LastID)
			in.stopEngine[killed]()
			printf(w, "killed the serving engine (agent %s) after %d tokens\n", killed, received.Tokens())
			callError = statusCall(ctx, &caller)
		}
		return callError == nil
	})
	if err != nil {
		return eris.Wrap(err, "generation")
	}
	if callError != nil {
		return eris.Wrap(callError, "status call")
	}
	printf(w, "received:\n%s\n", got.Text.String())
	if err := in.verify(&got); err != nil {
		return err
	}
	printf(w, "whole: %d tokens, checksum %08x, finish reason %q, longest pause %s, status call answered meanwhile\n",
		got.Summary.Tokens, got.Summary.Checksum, got.FinishReason, got.LongestGap)
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

// verify compares the text with what the engine stand-in generates without any failure.
func (in *installation) verify(got *client.Completion) error {
	tokens, _ := engine.ExpectedTokens(engineapi.GenerateRequest{
		Model: modelService, Version: version, Prompt: prompt, Seed: demoSeed, MaxTokens: uint32(in.command.Tokens),
	})
	var expected strings.Builder
	for _, token := range tokens {
		expected.Write(token.Bytes)
	}
	if !got.Intact() || got.Text.String() != strings.ToValidUTF8(expected.String(), "\uFFFD") {
		return eris.New("the received generation is not whole")
	}
	return nil
}
