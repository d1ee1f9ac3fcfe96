package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"bramleygap/internal/core/placement"
	"bramleygap/internal/core/relay"
	"bramleygap/internal/gateway/target"
)

const (
	// copyCheck is the interval at which a stream looks whether its copy is still there.
	copyCheck = 200 * time.Millisecond
	// copyOrderTimeout bounds one order to copy a run's memory: some hundred MB at the
	// engines' links take well below a second.
	copyOrderTimeout = 1500 * time.Millisecond
	// copyRefreshShare is the part of a copy's lifetime after which an ordered copy is
	// brought up to date, so that it does not expire.
	copyRefreshShare = 0.4
	// defaultCopyLifetime is used if the desired state does not state one.
	defaultCopyLifetime = 4 * time.Second
)

// copyKeeper watches the copy of one attempt. When the engine that keeps it is lost, it
// orders another one, since the next loss would cost reading the whole prompt again.
type copyKeeper struct {
	s      *stream
	place  relay.Placement
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
	begun  chan struct{}
	once   sync.Once
	// copy is where the run's memory is kept now, nil for none. Only run changes it.
	copy atomic.Pointer[CacheCopy]
	// ordered belongs to run; stop reads it after its end.
	ordered bool
	// told is the copy that the homes of the run were told of, and known is set once they
	// were told of the run.
	told  *CacheCopy
	known bool
}

// keepCopy starts watching the copy of an attempt at a place.
func (s *stream) keepCopy(place relay.Placement, copyAddress string) *copyKeeper {
	k := &copyKeeper{s: s, place: place, begun: make(chan struct{})}
	if place.CopyTarget != "" {
		k.copy.Store(&CacheCopy{Holder: place.CopyTarget, Address: copyAddress, Handle: s.call.request.ID})
	}
	k.ctx, k.cancel = context.WithCancel(s.call.ctx)
	s.keeper = k
	if s.call.route.Resumable {
		k.done.Go(k.run)
	}
	return k
}

// delivering tells that the run has begun: before, there is no memory to copy.
func (k *copyKeeper) delivering() { k.once.Do(func() { close(k.begun) }) }

// stop ends the watch and leaves the copy for the next attempt.
func (k *copyKeeper) stop() {
	k.cancel()
	k.done.Wait()
	k.s.copy = k.copy.Load()
	if k.ordered && k.s.machine.Done() {
		k.s.g.background(k.release)
	}
}

// release frees an ordered copy, which would occupy memory until it expires.
func (k *copyKeeper) release() {
	message := k.s.g.options.Protocol.EncodeCopyRelease(k.copy.Load().Handle)
	answer, err := k.s.g.pool.Do(k.s.g.ctx, k.copy.Load().Address, &message, copyOrderTimeout)
	if err != nil {
		k.s.call.log.Debug().Str("target", k.copy.Load().Holder).Err(err).Msg("copy not released; it expires")
		return
	}
	k.s.g.metrics.copyOrders.WithLabelValues("released").Inc()
	if answer.Status >= http.StatusMultipleChoices {
		k.s.call.log.Debug().Str("target", k.copy.Load().Holder).Int("status", answer.Status).Msg("copy was gone before its release")
	}
}

func (k *copyKeeper) run() {
	select {
	case <-k.begun:
	case <-k.ctx.Done():
		return
	}
	for {
		k.remember()
		k.check()
		k.remember()
		pause := copyCheck
		if k.ordered {
			pause = time.Duration(copyRefreshShare * float64(k.lifetime()))
		}
		sleep(k.ctx, pause)
		if k.ctx.Err() != nil {
			return
		}
	}
}

// remember tells where the run and its copy are, once and after each change.
func (k *copyKeeper) remember() {
	current := k.copy.Load()
	if k.known && current == k.told || k.ctx.Err() != nil {
		return
	}
	k.known, k.told = true, current
	k.s.g.rememberRun(k.s.call, k.place.Target, current)
}

func (k *copyKeeper) lifetime() time.Duration {
	p := k.s.g.director.published.Load()
	if svc, ok := p.desired.Config.Service(k.s.call.service); ok && svc.Engine != nil && svc.Engine.CopyLifetime > 0 {
		return svc.Engine.CopyLifetime
	}
	return defaultCopyLifetime
}

// check orders a copy if there is none, and refreshes one that was ordered.
func (k *copyKeeper) check() {
	type holder struct {
		id, address string
	}
	current := k.copy.Load()
	h := ask(k.ctx, k.s.g.director, func(st *state) holder {
		now := time.Now()
		if current != nil && st.fleet.CanHoldCopy(now, current.Holder) {
			reg, _ := st.fleet.Target(current.Holder)
			return holder{reg.ID, reg.Address}
		}
		if !st.keepsCopies(k.s.call.service) {
			return holder{}
		}
		source, _ := st.fleet.Target(k.place.Target)
		q := placement.FleetQuery{Service: k.s.call.service, Version: source.Version, Exclude: []string{k.place.Target}, AvoidZone: source.Zone}
		reg, ok := st.fleet.ChooseCopy(now, q, k.s.prompt)
		if !ok {
			return holder{}
		}
		return holder{reg.ID, reg.Address}
	})
	if h.id == "" || current != nil && h.id == current.Holder && !k.ordered {
		return
	}
	k.order(h.id, h.address)
}

// order makes or refreshes a copy at a target.
func (k *copyKeeper) order(id, address string) {
	source := k.s.reg.Address
	message := k.s.g.options.Protocol.EncodeCopyRequest(k.s.call.request.ID, address)
	answer, err := k.s.g.pool.Do(k.ctx, source, &message, copyOrderTimeout)
	if k.ctx.Err() != nil {
		return
	}
	handle := ""
	if err == nil && answer.Status == http.StatusOK {
		handle, err = k.s.g.options.Protocol.DecodeCopyResponse(answer.Body)
	}
	k.s.g.metrics.copyOrders.WithLabelValues(copyOutcome(answer, err)).Inc()
	if handle == "" {
		k.s.call.log.Info().Str("target", id).Int("status", answer.Status).AnErr("error", err).Msg("copy not made")
		k.copy.Store(nil)
		k.ordered = false
		return
	}
	if before := k.copy.Load(); before == nil || before.Handle != handle {
		k.s.call.log.Info().Str("target", id).Str("source", k.s.reg.ID).Msg("copy ordered in place of a lost one")
	}
	k.copy.Store(&CacheCopy{Holder: id, Address: source, Handle: handle})
	k.ordered = true
}

func copyOutcome(a target.Response, err error) string {
	switch {
	case err != nil:
		return "failed"
	case a.Status == http.StatusOK:
		return "made"
	}
	return "refused"
}
