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

// onceTask performs the effects of one machine. It outlives the caller's request until
// the outcome is stored or the claim is withdrawn.
type onceTask struct {
	handler *Handler
	call    *call
	machine *oncecall.Machine
	rowKey  string
	// callerGone ends when the caller leaves or when it was answered.
	callerGone context.Context
	// target is bounded by the call's deadline but not by the caller.
	target     context.Context
	assignment *router.Assignment
	exclude    []string
	lastCode   result.Code
	answers    chan answer
	answered   bool
}

// once runs a non-idempotent call and returns the caller's answer.
func (h *Handler) once(r *http.Request, c *call) answer {
	key := r.Header.Get(IdempotencyKeyHeader)
	rowKey := oncecall.RowKey(c.service.Name, c.identity.Account.Name, key)
	target, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), c.deadline)
	task := &onceTask{
		handler: h, call: c, rowKey: rowKey, callerGone: r.Context(), target: target, answers: make(chan answer, 1),
		machine: oncecall.New(oncecall.Params{
			CallID: c.id, Key: key, RequestHash: oncecall.RequestHash(c.method, c.path, c.body),
			Owner: h.options.EntryName, Incarnation: h.options.Incarnation,
			Deadline:      c.deadline.Add(-c.reserve()),
			TakeoverAfter: h.timing.lapse, FollowTimeout: h.timing.followFor, PollInterval: h.timing.poll,
			StoreTimeout: h.timing.storePatience, SettleTimeout: h.timing.settleFor, KeyDispatched: h.known.has(rowKey),
		}),
	}
	if !h.gate.EnterNested() {
		cancel()
		return answer{outcome: oncecall.Outcome{Code: result.ClaimUnavailable, Message: "the entry is shutting down; " + oncecall.NotSentMessage}}
	}
	go func() {
		defer h.gate.Leave()
		defer cancel()
		task.run()
	}()
	return <-task.answers
}

func (t *onceTask) run() {
	defer t.release()
	// An answer is always sent, also after a fault in this function.
	defer t.answer(answer{outcome: oncecall.Outcome{Code: result.OutcomeUnknown, Message: "the call ended without an answer"}})
	effects := t.machine.Begin(time.Now())
	for {
		var event oncecall.Event
		for _, effect := range effects {
			switch effect.Kind {
			case oncecall.EffectRespond:
				t.answer(answer{outcome: effect.Response.Outcome, repeated: effect.Response.Repeated})
			case oncecall.EffectFinish:
				return
			default:
				event = t.perform(effect)
			}
		}
		if event == nil {
			return
		}
		if !t.answered && t.callerGone.Err() != nil {
			t.machine.Cancel()
		}
		effects = t.machine.Step(time.Now(), event)
	}
}

func (t *onceTask) answer(a answer) {
	if !t.answered {
		t.answered = true
		t.answers <- a
	}
}

// release ends an assignment that was not used.
func (t *onceTask) release() {
	if t.assignment != nil {
		t.assignment.Done(cancelledOutcome)
		t.assignment = nil
	}
}

// perform carries out one effect; nil ends the task.
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
	ctx, cancel := context.WithTimeout(context.WithoutCancel(t.target), t.handler.timing.storeTimeout)
	defer cancel()
	done, err := t.handler.options.Table.Commit(ctx, txn)
	t.handler.pacer.report(errors.Is(err, platform.ErrRefused))
	event := oncecall.StoreEvent{Revision: done.Revision}
	switch {
	case errors.Is(err, platform.ErrRefused):
		event.Status = oncecall.StoreRefused
	case err != nil:
		event.Status = oncecall.StoreNoResponse
	case done.Committed:
		event.Status = oncecall.StoreOK
	default:
		event.Status = oncecall.StoreConflict
	}
	t.stored(effect.Reason, event.Status, err)
	return event
}

// admit waits for the turn of a write. A status other than StoreOK means that nothing was sent.
func (t *onceTask) admit(effect oncecall.Effect) oncecall.StoreStatus {
	class, patience := storelimit.ClassOutcome, t.handler.timing.storeTimeout
	switch effect.Reason {
	case "claim", "takeover":
		class, patience = storelimit.ClassClaim, min(t.handler.timing.claimPatience, time.Until(t.call.deadline))
	case "dispatch":
		class = storelimit.ClassDispatch
	}
	reason := t.handler.pacer.acquire(class, patience)
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
	ctx, cancel := context.WithTimeout(context.WithoutCancel(t.target), t.handler.timing.storeTimeout)
	defer cancel()
	row, err := t.handler.options.Table.Get(ctx, t.rowKey)
	event := oncecall.StoreEvent{Status: oncecall.StoreOK, Revision: row.Revision, Value: row.Value}
	if err != nil {
		event = oncecall.StoreEvent{Status: oncecall.StoreNoResponse}
	}
	t.stored("read: "+effect.Reason, event.Status, err)
	return event
}

func (t *onceTask) stored(purpose string, status oncecall.StoreStatus, err error) {
	fate := map[oncecall.StoreStatus]string{
		oncecall.StoreOK: "ok", oncecall.StoreConflict: "conflict", oncecall.StoreRefused: "refused", oncecall.StoreNoResponse: "lost",
	}[status]
	t.handler.metrics.store.WithLabelValues(purpose, fate).Inc()
	if err != nil {
		t.handler.options.Logger.Warn().Err(err).Str("call", t.call.id).Str("purpose", purpose).Str("fate", fate).Msg("store request for a claim failed")
	}
}

func (t *onceTask) wait(effect oncecall.Effect) oncecall.Event {
	delay := effect.Delay
	if effect.Reason != "follow" {
		t.handler.metrics.storeRetries.WithLabelValues(effect.Reason).Inc()
		// Calls that failed together must not return together.
		delay = delay/2 + rand.N(delay+1)
	}
	time.Sleep(delay)
	return oncecall.TickEvent{}
}

func (t *onceTask) place(attempt int) oncecall.Event {
	// A call whose dispatch write failed is placed again.
	t.release()
	if attempt > 1 {
		t.handler.retried(t.call, t.lastCode)
	}
	ctx, cancel := context.WithCancel(t.target)
	defer cancel()
	if !t.answered {
		stop := context.AfterFunc(t.callerGone, cancel)
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
	t.handler.known.add(t.rowKey)
	done := t.handler.send(t.target, t.call, attempt, assignment)
	if done.notSent {
		t.exclude = append(t.exclude, assignment.Target.Name)
		t.lastCode = done.outcome.Code
	}
	return oncecall.SendEvent{NotSent: done.notSent, Outcome: done.outcome}
}
