package engine

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	qt "github.com/frankban/quicktest"

	"bramleygap/internal/engineapi"
)

func start(c *qt.C, options Options) (*Engine, *engineapi.Client, string) {
	options.Model, options.Versions = "m", append(options.Versions, "v1")
	options.TokenInterval = 100 * time.Microsecond
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	e := New(options)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = e.Serve(ctx, listener) }()
	c.Cleanup(func() { cancel(); <-done })
	url := "http://" + listener.Addr().String()
	return e, engineapi.New(url), url
}

func request(id string) engineapi.GenerateRequest {
	return engineapi.GenerateRequest{RequestID: id, Model: "m", Version: "v1", Prompt: "batting " + strings.Repeat("fibre ", 40), MaxTokens: 64, Seed: 3}
}

// collect reads a stream to its end or its first error.
func collect(client *engineapi.Client, request engineapi.GenerateRequest) (ids []uint32, text []byte, reason string, err error) {
	stream, err := client.Generate(context.Background(), request)
	if err != nil {
		return nil, nil, "", err
	}
	defer stream.Close()
	for {
		event, err := stream.Next()
		if err != nil || event.FinishReason != "" {
			return ids, text, event.FinishReason, err
		}
		if event.Index != uint64(len(request.PrefixTokenIDs)+len(ids)) {
			return ids, text, "", errors.New("index is not the next one")
		}
		ids, text = append(ids, event.ID), append(text, event.Bytes...)
	}
}

// Guards against a difference between the tokens that tests expect and those generated,
// from the start, from each prefix, and with a stop text.
func TestGeneratesExpectedTokens(t *testing.T) {
	c := qt.New(t)
	_, client, _ := start(c, Options{})
	want, _ := ExpectedTokens(request("r"))
	for _, prefix := range []int{0, 1, 33, 64} {
		r := request("r")
		for _, token := range want[:prefix] {
			r.PrefixTokenIDs = append(r.PrefixTokenIDs, token.ID)
		}
		ids, _, reason, err := collect(client, r)
		c.Assert(err, qt.IsNil)
		c.Assert(reason, qt.Equals, engineapi.FinishLength)
		c.Assert(ids, qt.HasLen, 64-prefix)
		for i, id := range ids {
			c.Assert(id, qt.Equals, want[prefix+i].ID)
		}
	}
	r := request("s")
	r.Stop = []string{string(want[10].Bytes)}
	cut, reason := ExpectedTokens(r)
	ids, text, got, err := collect(client, r)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.Equals, engineapi.FinishStop)
	c.Assert(reason, qt.Equals, engineapi.FinishStop)
	c.Assert(ids, qt.HasLen, len(cut))
	c.Assert(string(text), qt.Equals, ExpectedText(r))
}

// Guards against a vocabulary that never splits a character or whose text is not valid UTF-8.
func TestTokensSplitCharacters(t *testing.T) {
	c := qt.New(t)
	r := request("r")
	r.MaxTokens = 400
	tokens, _ := ExpectedTokens(r)
	split := 0
	for _, token := range tokens {
		c.Assert(bytes.Equal(token.Bytes, TokenBytes(token.ID)), qt.IsTrue)
		if !utf8.Valid(token.Bytes) {
			split++
		}
	}
	c.Assert(split > 20, qt.IsTrue)
	c.Assert(utf8.ValidString(ExpectedText(r)), qt.IsTrue)
}

// Guards against injected faults that have no effect.
func TestFaults(t *testing.T) {
	c := qt.New(t)
	exits := make(chan struct{}, 2)
	e, client, url := start(c, Options{OnCrash: func() { exits <- struct{}{} }})
	control := func(body string) {
		response, err := http.Post(url+"/control", "application/json", strings.NewReader(body))
		c.Assert(err, qt.IsNil)
		_ = response.Body.Close()
	}
	control(`{"cut_after": 5}`)
	ids, _, _, err := collect(client, request("cut"))
	c.Assert(err, qt.ErrorIs, io.ErrUnexpectedEOF)
	c.Assert(ids, qt.HasLen, 5)
	control(`{"cut_after": 0, "fail_rate": {"v1": 1}}`)
	ids, _, _, err = collect(client, request("fail"))
	c.Assert(err, qt.ErrorIs, io.ErrUnexpectedEOF)
	c.Assert(ids, qt.HasLen, 1)
	control(`{"fail_rate": {"v1": 0}, "crash_marker": "fibre", "crash_token": 2}`)
	ids, _, _, err = collect(client, request("crash"))
	c.Assert(err, qt.IsNotNil)
	c.Assert(ids, qt.HasLen, 2)
	<-exits
	<-e.Crashed()
	_, err = client.Health(context.Background())
	c.Assert(engineapi.IsConnectionError(err), qt.IsTrue)
	e.SetFaults(Faults{Crash: true})
	c.Assert(exits, qt.HasLen, 0)
}

// Guards against an engine that accepts a stale fencing token, one that refuses it although
// it ignores fencing, and one that accepts orders from unknown senders.
func TestOrders(t *testing.T) {
	c := qt.New(t)
	for _, ignoresFencing := range []bool{false, true} {
		_, client, _ := start(c, Options{IgnoresFencing: ignoresFencing, AllowedSenders: []string{"e1"}})
		order := engineapi.Order{Fence: 5, Sender: "e1", Kind: engineapi.OrderLoad, Model: "m", Version: "v2"}
		c.Assert(client.Order(context.Background(), order), qt.IsNil)
		order.Fence = 4
		var status *engineapi.StatusError
		err := client.Order(context.Background(), order)
		c.Assert(errors.As(err, &status) && status.StatusCode == http.StatusConflict, qt.Equals, !ignoresFencing)
		order.Sender = "e2"
		c.Assert(errors.As(client.Order(context.Background(), order), &status), qt.IsTrue)
		c.Assert(status.StatusCode, qt.Equals, http.StatusForbidden)
	}
}

// Guards against a queue that ignores priority, and a cancelled request that stays in it.
func TestQueueHonoursPriority(t *testing.T) {
	c := qt.New(t)
	e := New(Options{Slots: 1})
	ctx := context.Background()
	c.Assert(e.acquire(ctx, 0), qt.IsNil)
	order := make(chan int32, 4)
	enqueue := func(ctx context.Context, priority int32, waiting int) {
		go func() {
			if e.acquire(ctx, priority) == nil {
				order <- priority
			}
		}()
		for {
			e.mu.Lock()
			count := len(e.waiters)
			e.mu.Unlock()
			if count == waiting {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}
	cancelled, cancel := context.WithCancel(ctx)
	enqueue(ctx, 1, 1)
	enqueue(cancelled, 9, 2)
	enqueue(ctx, 5, 3)
	cancel()
	enqueue(ctx, 3, 3)
	for _, want := range []int32{5, 3, 1} {
		e.release()
		c.Assert(<-order, qt.Equals, want)
	}
}

// Guards against a cache that exceeds its bound, cache events without the configured gaps,
// and prefill time for cached blocks.
func TestPrefixCache(t *testing.T) {
	c := qt.New(t)
	e := New(Options{CacheBlocks: 4, CacheGapEvery: 3, PrefillPerToken: time.Millisecond})
	r := engineapi.GenerateRequest{Prompt: strings.Repeat("q", 256)}
	c.Assert(e.prefillTime(r), qt.Equals, 64*time.Millisecond)
	c.Assert(e.prefillTime(r), qt.Equals, time.Duration(0))
	r.Version = "other"
	c.Assert(e.prefillTime(r), qt.Equals, 64*time.Millisecond)
	c.Assert(e.cache, qt.HasLen, 4)
	published := e.publishedSince(1, time.Now())
	seqs := []uint64{}
	for _, event := range published.Events {
		seqs = append(seqs, event.Seq)
	}
	c.Assert(seqs, qt.DeepEquals, []uint64{2, 4, 5, 7, 8, 10, 11})
}
