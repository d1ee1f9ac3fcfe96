package calls

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"bramleygap/internal/core/oncecall"
	"bramleygap/internal/core/storelimit"
	"bramleygap/internal/entry/router"
	"bramleygap/internal/platform"
	"bramleygap/internal/result"
)

// onceTask performs the effects of one oncecall.Machine. It may outlive the caller's request,
// until the outcome is stored or the claim is withdrawn.
type onceTask struct {
	handler *Handler
	call    *call
	machine *oncecall.Machine
	rowKey  string
	// callerCtx ends when the caller disconnects or has received its response.
	callerCtx context.Context
	// targetCtx is bounded by the call's deadline but not by the caller.
	targetCtx  context.Context
	assignment *router.Assignment
	exclude    []string
	lastCode   result.Code
	responses  chan response
	responded  bool
}

// runOnce runs a call of a route that is marked once and returns the response to the caller.
func (h *Handler) runOnce(r *http.Request, c *call) response {
	key := r.Header.Get(IdempotencyKeyHeader)
	rowKey := oncecall.RowKey(c.service.Name, c.identity.Account.Name, key)
	targetCtx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), c.deadline)
	task := &onceTask{
		handler: h, call: c, rowKey: rowKey, callerCtx: r.Context(), targetCtx: targetCtx, responses: make(chan response, 1),
		machine: oncecall.New(oncecall.Params{
			CallID: c.id, Key: key, RequestHash: oncecall.RequestHash(c.method, c.path, c.body),
			Owner: h.options.EntryName, Incarnation: h.options.Incarnation,
			Deadline:      c.deadline.Add(-c.reserve()),
			TakeoverAfter: h.timing.takeoverAfter, FollowTimeout: h.timing.followTimeout, PollInterval: h.timing.pollInterval,
			StoreTimeout: h.timing.storeTimeout, SettleTimeout: h.timing.settleTimeout, KeyDispatched: h.dispatchedKeys.has(rowKey),
		}),
	}
	if !h.gate.EnterNested() {
		cancel()
		return response{outcome: oncecall.Outcome{Code: result.ClaimUnavailable, Message: "the entry is shutting down; " + oncecall.NotSentMessage}}
	}
	go func() {
		defer h.gate.Leave()
		defer cancel()
		task.run()
	}()
	return <-task.responses
}

func (t *onceTask) run() {
	defer t.release()
	// The caller gets a response even if the machine ends without one.
	defer t.respond(response{outcome: oncecall.Outcome{Code: result.OutcomeUnknown, Message: "the call ended without a response"}})
	effects := t.machine.Begin(time.Now())
	for {
		var event oncecall.Event
		for _, effect := range effects {
			switch effect.Kind {
			case oncecall.EffectRespond:
				t.respond(response{outcome: effect.Response.Outcome, repeated: effect.Response.Repeated})
			case oncecall.EffectFinish:
				return
			default:
				event = t.perform(effect)
			}
		}
		if event == nil {
			return
		}
		if !t.responded && t.callerCtx.Err() != nil {
			t.machine.Cancel()
		}
		effects = t.machine.Step(time.Now(), event)
	}
}

func (t *onceTask) respond(resp response) {
	if !t.responded {
		t.responded = true
		t.responses <- resp
	}
}

// release ends the assignment if it was not used.
func (t *onceTask) release() {
	if t.assignment != nil {
		t.assignment.Done(cancelledOutcome)
		t.assignment = nil
	}
}

// perform executes one effect and returns its event, nil to end the task.
func (t *onceTask) perform(effect oncecall.Effect) oncecall.Event {
	switch effect.Kind {
	case oncecall.EffectPut:
		return t.commit(effect, platform.Txn{Puts: []platform.Put{{Key: t.rowKey, Value: effect.Value}}})
	case oncecall.EffectDelete:
		return t.commit(effect, platform.Txn{Deletes: []string{t.rowKey}})
	case oncecall.EffectRead:
		return t.read(effect)
	case oncecall.EffectWait:
		return t.wait(effect)
	case oncecall.EffectPlace:
		return t.place(effect.Attempt)
	case oncecall.EffectSend:
		return t.send(effect.Attempt)
	}
	return nil
}

func (t *onceTask) commit(effect oncecall.Effect, txn platform.Txn) oncecall.Event {
	if status := t.admit(effect); status != oncecall.StoreOK {
		return oncecall.StoreEvent{Status: status}
	}
	txn.Checks = []platform.Check{{Key: t.rowKey, Revision: effect.Revision}}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(t.targetCtx), t.handler.timing.storeRequestTimeout)
	defer cancel()
	txnResult, err := t.handler.options.Table.Commit(ctx, txn)
	t.handler.pacer.report(errors.Is(err, platform.ErrRefused))
	event := oncecall.StoreEvent{Revision: txnResult.Revision}
	switch {
	case errors.Is(err, platform.ErrRefused):
		event.Status = oncecall.StoreRefused
	case err != nil:
		event.Status = oncecall.StoreNoResponse
	case txnResult.Committed:
		event.Status = oncecall.StoreOK
	default:
		event.Status = oncecall.StoreConflict
	}
	t.recordStoreRequest(effect.Reason, event.Status, err)
	return event
}

// admit waits until the rate limit permits a write. A status other than StoreOK means that the
// write was not sent.
func (t *onceTask) admit(effect oncecall.Effect) oncecall.StoreStatus {
	class, maxWait := storelimit.ClassOutcome, t.handler.timing.storeRequestTimeout
	switch effect.Reason {
	case "claim", "takeover":
		class, maxWait = storelimit.ClassClaim, min(t.handler.timing.maxClaimWait, time.Until(t.call.deadline))
	case "dispatch":
		class = storelimit.ClassDispatch
	}
	reason := t.handler.pacer.acquire(class, maxWait)
	if reason == "" {
		return oncecall.StoreOK
	}
	t.handler.metrics.notSent.WithLabelValues(effect.Reason, reason).Inc()
	if effect.Reason == "claim" {
		return oncecall.StoreOverloaded
	}
	return oncecall.StoreRefused
}

func (t *onceTask) read(effect oncecall.Effect) oncecall.Event {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(t.targetCtx), t.handler.timing.storeRequestTimeout)
	defer cancel()
	row, err := t.handler.options.Table.Get(ctx, t.rowKey)
	event := oncecall.StoreEvent{Status: oncecall.StoreOK, Revision: row.Revision, Value: row.Value}
	if err != nil {
		event = oncecall.StoreEvent{Status: oncecall.StoreNoResponse}
	}
	t.recordStoreRequest("read: "+effect.Reason, event.Status, err)
	return event
}

func (t *onceTask) recordStoreRequest(purpose string, status oncecall.StoreStatus, err error) {
	outcome := map[oncecall.StoreStatus]string{
		oncecall.StoreOK: "ok", oncecall.StoreConflict: "conflict", oncecall.StoreRefused: "refused", oncecall.StoreNoResponse: "lost",
	}[status]
	t.handler.metrics.store.WithLabelValues(purpose, outcome).Inc()
	if err != nil {
		t.handler.options.Logger.Warn().Err(err).Str("call", t.call.id).Str("purpose", purpose).Str("fate", outcome).Msg("store request for a claim failed")
	}
}

func (t *onceTask) wait(effect oncecall.Effect) oncecall.Event {
	delay := effect.Delay
	if effect.Reason != "follow" {
		t.handler.metrics.storeRetries.WithLabelValues(effect.Reason).Inc()
		// Calls that failed together must not retry together.
		delay = delay/2 + rand.N(delay+1)
	}
	time.Sleep(delay)
	return oncecall.TickEvent{}
}

func (t *onceTask) place(attempt int) oncecall.Event {
	// A call whose dispatch write failed is placed again and still has its assignment.
	t.release()
	if attempt > 1 {
		t.handler.recordRetry(t.call, t.lastCode)
	}
	ctx, cancel := context.WithCancel(t.targetCtx)
	defer cancel()
	if !t.responded {
		stop := context.AfterFunc(t.callerCtx, cancel)
		defer stop()
	}
	assignment, err := t.handler.place(ctx, t.call, attempt, t.exclude)
	if err != nil {
		return oncecall.PlaceEvent{Code: err.Code, Message: err.Message}
	}
	t.assignment = assignment
	return oncecall.PlaceEvent{}
}

func (t *onceTask) send(attempt int) oncecall.Event {
	assignment := t.assignment
	t.assignment = nil
	if hook := t.handler.beforeSend; hook != nil {
		if err := hook(t.call.id); err != nil {
			assignment.Done(cancelledOutcome)
			return nil
		}
	}
	t.handler.dispatchedKeys.add(t.rowKey)
	res := t.handler.send(t.targetCtx, t.call, attempt, assignment)
	if res.notSent {
		t.exclude = append(t.exclude, assignment.Target.Name)
		t.lastCode = res.outcome.Code
	}
	return oncecall.SendEvent{NotSent: res.notSent, Outcome: res.outcome}
}
