// Package load replays recorded traces against running entries with open-loop
// arrivals and checks each response against its stated outcome.
package load

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"bramleygap/internal/client"
	"bramleygap/internal/trace"
)

const (
	// maxReconnects bounds how often one request is continued at another entry.
	maxReconnects  = 8
	reconnectDelay = 100 * time.Millisecond
	// codeCallInProgress and codeNotReady are returned to retries that arrive too early.
	codeCallInProgress = 1008
	codeNotReady       = 1014
	codeLeaving        = 1015
)

// Injector injects the faults of a trace.
type Injector interface {
	// Inject injects one fault. servingAgent is the agent address in the last event id of
	// the generation that the fault waits for, empty if it waits for none.
	Inject(ctx context.Context, fault trace.Event, servingAgent string) error
}

// Options configures a replay.
type Options struct {
	Events   []trace.Event
	Outcomes map[string]trace.Outcome
	// URLs are the base URLs of the entries; requests start at them in turn and
	// continue at the next one after a lost connection.
	URLs []string
	// Keys maps client accounts to their bearer keys.
	Keys map[string]string
	// Speed divides the arrival times; 0 means 1.
	Speed float64
	// Injector injects faults; nil skips them.
	Injector Injector
	// Progress, if not nil, is called after each finished request.
	Progress func(finished, total int)
}

// Result is the result of one request of the trace.
type Result struct {
	Event      trace.Event
	Completion client.Completion
	Status     int
	Body       []byte
	// Err is the final error; nil for a complete response.
	Err error
	// Latency is the time from the scheduled arrival to the end.
	Latency time.Duration
	// FirstToken is the time from the scheduled arrival to the first text.
	FirstToken time.Duration
	// Reconnects counts continuations at another entry.
	Reconnects int
}

// Code returns the result code of the failure; 0 for none or a transport error.
func (r *Result) Code() uint32 {
	var apiErr *client.APIError
	if errors.As(r.Err, &apiErr) {
		return apiErr.Code
	}
	return 0
}

// Complete reports whether the whole response arrived.
func (r *Result) Complete() bool {
	if r.Err != nil {
		return false
	}
	if r.Event.Kind == trace.KindGeneration {
		return r.Completion.Intact()
	}
	return r.Status >= 200 && r.Status < 300
}

// replay is the state of one call of Replay.
type replay struct {
	options  Options
	started  time.Time
	next     atomic.Uint64
	finished atomic.Int64
	// pendingMu guards pendingFaults, the faults to inject during each generation, by
	// request id.
	pendingMu     sync.Mutex
	pendingFaults map[string][]trace.Event
	injectErr     chan error
}

// Replay sends each request of the trace at its time without waiting for earlier responses,
// and returns the results in the order of the trace. It returns the first injector error.
func Replay(ctx context.Context, options Options) ([]*Result, error) {
	if options.Speed == 0 {
		options.Speed = 1
	}
	r := &replay{options: options, started: time.Now(), pendingFaults: make(map[string][]trace.Event), injectErr: make(chan error, 1)}
	for _, event := range options.Events {
		if event.Kind == trace.KindFault && event.AfterID != "" {
			r.pendingFaults[event.AfterID] = append(r.pendingFaults[event.AfterID], event)
		}
	}
	var results []*Result
	var running sync.WaitGroup
	for _, event := range options.Events {
		if !r.sleepUntil(ctx, event.At()) {
			break
		}
		if event.Kind == trace.KindFault {
			if event.AfterID == "" {
				r.inject(ctx, event, "")
			}
			continue
		}
		result := &Result{Event: event}
		results = append(results, result)
		running.Add(1)
		go func() {
			defer running.Done()
			r.send(ctx, result)
		}()
	}
	running.Wait()
	select {
	case err := <-r.injectErr:
		return results, err
	default:
		return results, ctx.Err()
	}
}

func (r *replay) sleepUntil(ctx context.Context, at time.Duration) bool {
	due := r.started.Add(time.Duration(float64(at) / r.options.Speed))
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(due)):
		return true
	}
}

func (r *replay) inject(ctx context.Context, fault trace.Event, servingAgent string) {
	if r.options.Injector == nil {
		return
	}
	if err := r.options.Injector.Inject(ctx, fault, servingAgent); err != nil {
		select {
		case r.injectErr <- err:
		default:
		}
	}
}

func (r *replay) send(ctx context.Context, result *Result) {
	due := r.started.Add(time.Duration(float64(result.Event.At()) / r.options.Speed))
	sent := time.Now()
	if result.Event.Kind == trace.KindGeneration {
		r.generate(ctx, result)
		result.FirstToken = result.Completion.FirstToken + sent.Sub(due)
	} else {
		r.call(ctx, result)
	}
	result.Latency = time.Since(due)
	finished := r.finished.Add(1)
	if r.options.Progress != nil {
		r.options.Progress(int(finished), r.requests())
	}
}

func (r *replay) requests() int {
	n := 0
	for _, event := range r.options.Events {
		if event.Kind != trace.KindFault {
			n++
		}
	}
	return n
}

func (r *replay) client(account string) *client.Client {
	url := r.options.URLs[r.next.Add(1)%uint64(len(r.options.URLs))]
	return &client.Client{BaseURL: url, Key: r.options.Keys[account]}
}

// generate streams a generation and continues it at another entry when the connection is lost.
func (r *replay) generate(ctx context.Context, result *Result) {
	event := result.Event
	request := client.CompletionRequest{Model: event.Service, Prompt: event.Prompt, MaxTokens: event.MaxTokens, Seed: event.Seed}
	for {
		err := r.client(event.Account).Complete(ctx, request, &result.Completion, func(got *client.Completion) bool {
			r.injectDueFaults(ctx, event.ID, got)
			return true
		})
		if err == nil && result.Completion.Intact() {
			return
		}
		if !retryable(err) || result.Reconnects == maxReconnects || !waitToReconnect(ctx) {
			result.Err = err
			if err == nil {
				result.Err = errors.New("stream ended without its terminal event")
			}
			return
		}
		result.Reconnects++
	}
}

func (r *replay) injectDueFaults(ctx context.Context, id string, got *client.Completion) {
	r.pendingMu.Lock()
	var due []trace.Event
	var later []trace.Event
	for _, fault := range r.pendingFaults[id] {
		if got.Tokens() >= fault.AfterTokens {
			due = append(due, fault)
		} else {
			later = append(later, fault)
		}
	}
	r.pendingFaults[id] = later
	r.pendingMu.Unlock()
	for _, fault := range due {
		r.inject(ctx, fault, ServingAgent(got.LastID))
	}
}

// call sends a call and retries it with the same key while its outcome is unknown.
func (r *replay) call(ctx context.Context, result *Result) {
	event := result.Event
	for {
		status, body, err := r.client(event.Account).Call(ctx, event.Method, event.Service, event.Path, event.Body, event.Key)
		result.Status, result.Body, result.Err = status, body, err
		idempotent := event.Key != "" || event.Method == "GET"
		if err == nil || !idempotent || !retryable(err) || result.Reconnects == maxReconnects || !waitToReconnect(ctx) {
			return
		}
		result.Reconnects++
	}
}

// retryable reports whether a request is retried after an error: the connection was lost,
// or the result code asks for a retry.
func retryable(err error) bool {
	var apiErr *client.APIError
	if !errors.As(err, &apiErr) {
		return true
	}
	return apiErr.Code == codeCallInProgress || apiErr.Code == codeNotReady || apiErr.Code == codeLeaving
}

func waitToReconnect(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(reconnectDelay):
		return true
	}
}
