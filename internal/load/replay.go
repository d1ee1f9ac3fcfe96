// Package load replays recorded traces against running entries with open-loop
// arrivals and checks each answer against its stated outcome.
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
	// reconnectLimit bounds how often one request is continued at another entry.
	reconnectLimit = 8
	reconnectDelay = 100 * time.Millisecond
	// codeCallInProgress and codeNotReady are answered to repeats that come too early.
	codeCallInProgress = 1008
	codeNotReady       = 1014
	codeLeaving        = 1015
)

// Injector causes the faults of a trace.
type Injector interface {
	// Inject causes one fault. servingAgent is the agent address in the last event id of
	// the generation that the fault waits for, empty if it waits for none.
	Inject(ctx context.Context, fault trace.Event, servingAgent string) error
}

// Options configure a replay.
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
	// Injector causes faults; nil skips them.
	Injector Injector
	// Progress, if not nil, is called after each finished request.
	Progress func(finished, total int)
}

// Result is what one request of the trace received.
type Result struct {
	Event      trace.Event
	Completion client.Completion
	Status     int
	Body       []byte
	// Err is the final error; nil for a whole answer.
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
	var failure *client.APIError
	if errors.As(r.Err, &failure) {
		return failure.Code
	}
	return 0
}

// Complete reports whether the whole answer arrived.
func (r *Result) Complete() bool {
	if r.Err != nil {
		return false
	}
	if r.Event.Kind == trace.KindGeneration {
		return r.Completion.Intact()
	}
	return r.Status >= 200 && r.Status < 300
}

// replay is one run.
type replay struct {
	options  Options
	started  time.Time
	next     atomic.Uint64
	finished atomic.Int64
	// waiting holds the faults of each generation that have not happened yet.
	waitingMu sync.Mutex
	waiting   map[string][]trace.Event
	faultErr  chan error
}

// Replay sends all requests of the trace at their times, whatever the answers' delay,
// and returns the results in the order of the trace. It returns the first injector error.
func Replay(ctx context.Context, options Options) ([]*Result, error) {
	if options.Speed == 0 {
		options.Speed = 1
	}
	r := &replay{options: options, started: time.Now(), waiting: make(map[string][]trace.Event), faultErr: make(chan error, 1)}
	for _, event := range options.Events {
		if event.Kind == trace.KindFault && event.AfterID != "" {
			r.waiting[event.AfterID] = append(r.waiting[event.AfterID], event)
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
	case err := <-r.faultErr:
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
		case r.faultErr <- err:
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
			r.faultsAfter(ctx, event.ID, got)
			return true
		})
		if err == nil && result.Completion.Intact() {
			return
		}
		if !repeatable(err) || result.Reconnects == reconnectLimit || !pause(ctx) {
			result.Err = err
			if err == nil {
				result.Err = errors.New("stream ended without its terminal event")
			}
			return
		}
		result.Reconnects++
	}
}

func (r *replay) faultsAfter(ctx context.Context, id string, got *client.Completion) {
	r.waitingMu.Lock()
	var due []trace.Event
	var later []trace.Event
	for _, fault := range r.waiting[id] {
		if got.Tokens() >= fault.AfterTokens {
			due = append(due, fault)
		} else {
			later = append(later, fault)
		}
	}
	r.waiting[id] = later
	r.waitingMu.Unlock()
	for _, fault := range due {
		r.inject(ctx, fault, ServingAgent(got.LastID))
	}
}

// call sends a call and repeats it with the same key while its outcome is not known.
func (r *replay) call(ctx context.Context, result *Result) {
	event := result.Event
	for {
		status, body, err := r.client(event.Account).Call(ctx, event.Method, event.Service, event.Path, event.Body, event.Key)
		result.Status, result.Body, result.Err = status, body, err
		safe := event.Key != "" || event.Method == "GET"
		if err == nil || !safe || !repeatable(err) || result.Reconnects == reconnectLimit || !pause(ctx) {
			return
		}
		result.Reconnects++
	}
}

// repeatable reports whether a caller goes on after the error: the connection was lost,
// or the answer asks it to come back.
func repeatable(err error) bool {
	var failure *client.APIError
	if !errors.As(err, &failure) {
		return true
	}
	return failure.Code == codeCallInProgress || failure.Code == codeNotReady || failure.Code == codeLeaving
}

func pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(reconnectDelay):
		return true
	}
}
