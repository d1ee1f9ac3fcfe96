package calls

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"bramleygap/internal/core/oncecall"
	"bramleygap/internal/core/placement"
	"bramleygap/internal/entry/caller"
	"bramleygap/internal/entry/router"
	"bramleygap/internal/result"
	"bramleygap/internal/wire"
)

// errSecondStream stops a resend by gRPC.
var errSecondStream = status.Error(codes.Aborted, "the call was handed to a connection before")

// streamGuard notices whether gRPC began to write a call. gRPC asks for the
// credentials of a call after it has chosen a connection and before it writes the
// first frame; if it never asked, nothing was sent. The second question of a
// once-call is a resend by gRPC and is refused.
type streamGuard struct {
	once bool

	mu      sync.Mutex
	started bool
	sealed  bool
}

// GetRequestMetadata implements credentials.PerRPCCredentials.
func (g *streamGuard) GetRequestMetadata(context.Context, ...string) (map[string]string, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.sealed || (g.once && g.started) {
		return nil, errSecondStream
	}
	g.started = true
	return nil, nil
}

// RequireTransportSecurity implements credentials.PerRPCCredentials.
func (g *streamGuard) RequireTransportSecurity() bool { return false }

// seal refuses any later stream and reports whether one was begun.
func (g *streamGuard) seal() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sealed = true
	return g.started
}

// sent is the result of one attempt.
type sent struct {
	notSent bool
	outcome oncecall.Outcome
}

func notSent(code result.Code, message string) sent {
	return sent{notSent: true, outcome: oncecall.Outcome{Code: code, Message: message}}
}

// place reserves a target. Errors are *result.Error.
func (h *Handler) place(ctx context.Context, c *call, attempt int, exclude []string) (*router.Assignment, *result.Error) {
	assignment, err := h.options.Router.Place(ctx, placement.Request{
		Service: c.service.Name, Route: c.route.Path, Account: c.identity.Account.Name, Member: c.identity.Member.Name,
		Retry: attempt > 1, Exclude: exclude, Started: c.started, Deadline: c.deadline,
	})
	if err != nil {
		if ctx.Err() != nil {
			return nil, result.New(result.DeadlineTooShort, "no target became free in time")
		}
		return nil, caller.AsError(err)
	}
	return assignment, nil
}

// send runs one attempt at the assigned target and ends the assignment.
func (h *Handler) send(ctx context.Context, c *call, attempt int, assignment *router.Assignment) sent {
	outcome := h.exchange(ctx, c, attempt, assignment.Target.Address)
	code := outcome.outcome.Code
	assignment.Done(placement.Outcome{
		Failed:    code != result.OK && code != result.ResponseTooLarge && ctx.Err() == nil,
		Cancelled: errors.Is(ctx.Err(), context.Canceled),
	})
	return outcome
}

func (h *Handler) exchange(ctx context.Context, c *call, attempt int, address string) sent {
	client, err := h.options.Agent(address)
	if err != nil {
		return notSent(result.TargetUnreachable, err.Error())
	}
	deadline := c.deadline
	if own, ok := ctx.Deadline(); ok && own.Before(deadline) {
		deadline = own
	}
	targetDeadline := deadline.Add(-c.reserve())
	if !time.Now().Before(targetDeadline) {
		return notSent(result.DeadlineTooShort, "the deadline passed before the call was sent")
	}
	guard := &streamGuard{once: c.route.Once}
	response, err := client.Call(ctx, &wire.CallRequest{
		CallId: c.id + "/" + strconv.Itoa(attempt), Service: c.service.Name, Method: c.method, Path: c.path,
		Headers: c.headers, Body: c.body, Once: c.route.Once, Account: c.identity.Account.Name,
		Member: c.identity.Member.Name, DeadlineUnixMs: targetDeadline.UnixMilli(),
	}, grpc.PerRPCCredentials(guard))
	if err != nil {
		return failedRPC(guard.seal(), err)
	}
	return fromResponse(response)
}

// failedRPC classifies an exchange with the agent that gave no response.
func failedRPC(started bool, err error) sent {
	code := status.Code(err)
	expected := code == codes.Unavailable || code == codes.DeadlineExceeded || code == codes.Canceled
	if !started && expected {
		return notSent(result.TargetUnreachable, "agent: "+err.Error())
	}
	unknown := result.OutcomeUnknown
	if code == codes.DeadlineExceeded {
		unknown = result.TargetSilent
	}
	return sent{outcome: oncecall.Outcome{Code: unknown, Message: "agent: " + err.Error()}}
}

func fromResponse(response *wire.CallResponse) sent {
	code := result.Code(response.Code)
	if !response.Dispatched {
		if code == result.OK || code.Class() != result.ClassNotRun {
			code = result.TargetUnreachable
		}
		return notSent(code, response.Message)
	}
	if code != result.OK && code.Class() == result.ClassNotRun {
		code = result.OutcomeUnknown
	}
	outcome := oncecall.Outcome{Code: code, Message: response.Message, Status: int(response.Status), Body: response.Body}
	for _, header := range response.Headers {
		outcome.Headers = append(outcome.Headers, oncecall.Header{Name: header.Name, Value: header.Value})
	}
	if code == result.OK && !validStatus(outcome.Status) {
		return sent{outcome: oncecall.Outcome{Code: result.ApplicationFailed, Message: "invalid status " + strconv.Itoa(outcome.Status)}}
	}
	return sent{outcome: outcome}
}

// validStatus excludes what net/http cannot send as a final status.
func validStatus(status int) bool { return status >= 200 && status <= 999 }

// idempotent runs a call that may be repeated: at another target if nothing was sent,
// or in any case if the method is safe.
func (h *Handler) idempotent(ctx context.Context, c *call) answer {
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	var exclude []string
	var last *oncecall.Outcome // outcome of an attempt that may have reached a target
	for attempt := 1; ; attempt++ {
		assignment, err := h.place(ctx, c, attempt, exclude)
		if err != nil {
			return refusedAfter(last, oncecall.Outcome{Code: err.Code, Message: err.Message})
		}
		outcome := h.attempt(ctx, c, attempt, assignment)
		if outcome.outcome.Code == result.OK {
			return answer{outcome: outcome.outcome}
		}
		if !outcome.notSent {
			last = &outcome.outcome
		}
		retry := outcome.notSent || (c.safe() && outcome.outcome.Code != result.ResponseTooLarge)
		if !retry || attempt == maxAttempts || ctx.Err() != nil {
			return refusedAfter(last, outcome.outcome)
		}
		exclude = append(exclude, assignment.Target.Name)
		h.retried(c, outcome.outcome.Code)
	}
}

// attempt sends once; a safe call that has attempts left gets only a part of the time.
func (h *Handler) attempt(ctx context.Context, c *call, attempt int, assignment *router.Assignment) sent {
	if c.safe() && attempt < maxAttempts && time.Until(c.deadline) > 2*safeAttemptTimeout {
		limited, cancel := context.WithTimeout(ctx, safeAttemptTimeout)
		defer cancel()
		return h.send(limited, c, attempt, assignment)
	}
	return h.send(ctx, c, attempt, assignment)
}

// refusedAfter keeps the outcome of an earlier attempt that may have reached a target,
// since a later refusal does not make the call "not run".
func refusedAfter(last *oncecall.Outcome, outcome oncecall.Outcome) answer {
	if last != nil && outcome.Code.Class() == result.ClassNotRun {
		return answer{outcome: *last}
	}
	return answer{outcome: outcome}
}

func (h *Handler) retried(c *call, reason result.Code) {
	h.metrics.retries.WithLabelValues(c.kind(), reason.String()).Inc()
	h.options.Logger.Info().Str("call", c.id).Str("service", c.service.Name).Str("reason", reason.String()).Msg("call retried at another target")
}
