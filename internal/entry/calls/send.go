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

// errResend prevents gRPC from sending a call again.
var errResend = status.Error(codes.Aborted, "the call was already started on a connection")

// streamGuard detects whether gRPC began to send a call. gRPC requests the credentials of a
// call after it has chosen a connection and before it writes the first frame; if it never
// did, nothing was sent. A second request for a once-call means that gRPC is resending the
// call, and is refused.
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
		return nil, errResend
	}
	g.started = true
	return nil, nil
}

// RequireTransportSecurity implements credentials.PerRPCCredentials.
func (g *streamGuard) RequireTransportSecurity() bool { return false }

// seal refuses any later stream and reports whether one was started.
func (g *streamGuard) seal() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sealed = true
	return g.started
}

type attemptResult struct {
	notSent bool
	outcome oncecall.Outcome
}

func notSentResult(code result.Code, message string) attemptResult {
	return attemptResult{notSent: true, outcome: oncecall.Outcome{Code: code, Message: message}}
}

// place assigns a target to an attempt of a call.
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
func (h *Handler) send(ctx context.Context, c *call, attempt int, assignment *router.Assignment) attemptResult {
	res := h.exchange(ctx, c, attempt, assignment.Target.Address)
	code := res.outcome.Code
	assignment.Done(placement.Outcome{
		Failed:    code != result.OK && code != result.ResponseTooLarge && ctx.Err() == nil,
		Cancelled: errors.Is(ctx.Err(), context.Canceled),
	})
	return res
}

func (h *Handler) exchange(ctx context.Context, c *call, attempt int, address string) attemptResult {
	client, err := h.options.Agent(address)
	if err != nil {
		return notSentResult(result.TargetUnreachable, err.Error())
	}
	deadline := c.deadline
	if ctxDeadline, ok := ctx.Deadline(); ok && ctxDeadline.Before(deadline) {
		deadline = ctxDeadline
	}
	targetDeadline := deadline.Add(-c.reserve())
	if !time.Now().Before(targetDeadline) {
		return notSentResult(result.DeadlineTooShort, "the deadline passed before the call was sent")
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

// failedRPC returns the result of an RPC to which the agent did not respond.
func failedRPC(started bool, err error) attemptResult {
	code := status.Code(err)
	expected := code == codes.Unavailable || code == codes.DeadlineExceeded || code == codes.Canceled
	if !started && expected {
		return notSentResult(result.TargetUnreachable, "agent: "+err.Error())
	}
	unknownCode := result.OutcomeUnknown
	if code == codes.DeadlineExceeded {
		unknownCode = result.TargetSilent
	}
	return attemptResult{outcome: oncecall.Outcome{Code: unknownCode, Message: "agent: " + err.Error()}}
}

func fromResponse(response *wire.CallResponse) attemptResult {
	code := result.Code(response.Code)
	if !response.Dispatched {
		if code == result.OK || code.Class() != result.ClassNotRun {
			code = result.TargetUnreachable
		}
		return notSentResult(code, response.Message)
	}
	if code != result.OK && code.Class() == result.ClassNotRun {
		code = result.OutcomeUnknown
	}
	outcome := oncecall.Outcome{Code: code, Message: response.Message, Status: int(response.Status), Body: response.Body}
	for _, header := range response.Headers {
		outcome.Headers = append(outcome.Headers, oncecall.Header{Name: header.Name, Value: header.Value})
	}
	if code == result.OK && !validStatus(outcome.Status) {
		return attemptResult{outcome: oncecall.Outcome{Code: result.ApplicationFailed, Message: "invalid status " + strconv.Itoa(outcome.Status)}}
	}
	return attemptResult{outcome: outcome}
}

// validStatus reports whether net/http can send the status as a final one.
func validStatus(status int) bool { return status >= 200 && status <= 999 }

// runIdempotent runs a call of a route that is not marked once. It retries at another target
// if nothing was sent or if the method is safe.
func (h *Handler) runIdempotent(ctx context.Context, c *call) response {
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	var exclude []string
	var last *oncecall.Outcome // outcome of an attempt that may have reached a target
	for attempt := 1; ; attempt++ {
		assignment, err := h.place(ctx, c, attempt, exclude)
		if err != nil {
			return finalResponse(last, oncecall.Outcome{Code: err.Code, Message: err.Message})
		}
		res := h.sendAttempt(ctx, c, attempt, assignment)
		if res.outcome.Code == result.OK {
			return response{outcome: res.outcome}
		}
		if !res.notSent {
			last = &res.outcome
		}
		retry := res.notSent || (c.safe() && res.outcome.Code != result.ResponseTooLarge)
		if !retry || attempt == maxAttempts || ctx.Err() != nil {
			return finalResponse(last, res.outcome)
		}
		exclude = append(exclude, assignment.Target.Name)
		h.recordRetry(c, res.outcome.Code)
	}
}

// sendAttempt makes one attempt. A safe call with attempts left gets at most
// safeAttemptTimeout if the deadline leaves enough time for another attempt.
func (h *Handler) sendAttempt(ctx context.Context, c *call, attempt int, assignment *router.Assignment) attemptResult {
	if c.safe() && attempt < maxAttempts && time.Until(c.deadline) > 2*safeAttemptTimeout {
		limited, cancel := context.WithTimeout(ctx, safeAttemptTimeout)
		defer cancel()
		return h.send(limited, c, attempt, assignment)
	}
	return h.send(ctx, c, attempt, assignment)
}

// finalResponse prefers the outcome of an earlier attempt that may have reached a target to a
// later refusal, since the call may have run.
func finalResponse(last *oncecall.Outcome, outcome oncecall.Outcome) response {
	if last != nil && outcome.Code.Class() == result.ClassNotRun {
		return response{outcome: *last}
	}
	return response{outcome: outcome}
}

func (h *Handler) recordRetry(c *call, reason result.Code) {
	h.metrics.retries.WithLabelValues(c.kind(), reason.String()).Inc()
	h.options.Logger.Info().Str("call", c.id).Str("service", c.service.Name).Str("reason", reason.String()).Msg("call retried at another target")
}
