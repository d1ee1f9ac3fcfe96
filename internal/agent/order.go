package agent

import (
	"context"
	"errors"
	"time"

	"bramleygap/internal/engineapi"
	"bramleygap/internal/result"
	"bramleygap/internal/wire"
)

// orderTimeout bounds one order. Engines accept a load order and load in the background.
const orderTimeout = 10 * time.Second

var orderKinds = map[wire.OrderKind]string{
	wire.OrderKind_ORDER_KIND_LOAD:   engineapi.OrderLoad,
	wire.OrderKind_ORDER_KIND_UNLOAD: engineapi.OrderUnload,
	wire.OrderKind_ORDER_KIND_ROLE:   engineapi.OrderRole,
}

// Order implements wire.AgentServer. Orders are serialized, and the fencing token is
// recorded before the order is sent, so that an older order never follows a newer one.
func (a *Agent) Order(ctx context.Context, request *wire.OrderRequest) (*wire.OrderResponse, error) {
	a.orderMu.Lock()
	defer a.orderMu.Unlock()
	refusal := a.admitOrder(request)
	if refusal == nil {
		refusal = a.sendOrder(ctx, request)
	}
	a.mu.Lock()
	response := &wire.OrderResponse{HighestFence: a.highestFence}
	a.mu.Unlock()
	if refusal != nil {
		response.Code, response.Message = uint32(refusal.Code), refusal.Message
	}
	a.metrics.orders.WithLabelValues(result.Code(response.Code).String()).Inc()
	a.logger.Info().Uint64("fence", request.GetFence()).Str("owner", request.GetOwner()).Stringer("kind", request.GetKind()).
		Str("version", request.GetVersion()).Uint32("code", response.GetCode()).Msg("order")
	return response, nil
}

func (a *Agent) admitOrder(request *wire.OrderRequest) *result.Error {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case orderKinds[request.GetKind()] == "" || request.GetFence() == 0:
		return result.New(result.MalformedRequest, "kind and fencing token are required")
	case a.options.Settings.TargetKind != kindModel:
		return result.New(result.UnknownService, "the target does not accept orders")
	case !a.fenceKnown:
		return result.New(result.NotReady, "the agent has not received the highest fencing token since its start; entries send it after reading it from the table service")
	case request.GetFence() < a.highestFence:
		return result.New(result.FenceTooOld, "fencing token %d is lower than the highest known one, %d", request.GetFence(), a.highestFence)
	}
	if request.GetFence() > a.highestFence {
		a.highestFence = request.GetFence()
		a.notifyWatchers()
	}
	return nil
}

func (a *Agent) sendOrder(ctx context.Context, request *wire.OrderRequest) *result.Error {
	// A caller that cancels must not interrupt the order while it is being sent.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), orderTimeout)
	defer cancel()
	err := a.engine.Order(ctx, engineapi.Order{
		Fence: request.GetFence(), Sender: request.GetOwner(), Kind: orderKinds[request.GetKind()],
		Model: request.GetModel(), Version: request.GetVersion(), Role: request.GetRole(),
	})
	var status *engineapi.StatusError
	switch {
	case err == nil:
		a.probeHealth(ctx)
		return nil
	case errors.As(err, &status) && status.StatusCode == 409:
		return result.New(result.FenceTooOld, "%v", err)
	case errors.As(err, &status):
		return result.New(result.TargetRefusedOrder, "%v", err)
	case engineapi.IsDialError(err):
		return result.New(result.TargetUnreachable, "%v", err)
	}
	return result.New(result.OutcomeUnknown, "%v", err)
}
