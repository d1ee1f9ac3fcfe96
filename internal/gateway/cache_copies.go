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
	copyCheckInterval = 200 * time.Millisecond
	// copyOrderTimeout bounds one order to copy a run's memory: some hundred MB at the
	// engines' links take well below a second.
	copyRequestTimeout = 1500 * time.Millisecond
	// copyRefreshShare is the part of a copy's lifetime after which an ordered copy is
	// brought up to date, so that it does not expire.
	copyRefreshFraction = 0.4
	// defaultCopyLifetime is used if the desired state does not state one.
	defaultCopyLifetime = 4 * time.Second
)

// copyKeeper watches the copy of one attempt. When the engine that keeps it is lost, it
// orders another one, since the next loss would cost reading the whole prompt again.
type copyManager struct {
	s         *stream
	place     relay.Placement
	ctx       context.Context
	cancel    context.CancelFunc
	tasks     sync.WaitGroup
	started   chan struct{}
	startOnce sync.Once
	// copy is where the run's memory is kept now, nil for none. Only run changes it.
	current atomic.Pointer[CacheCopy]
	// ordered belongs to run; stop reads it after its end.
	requested bool
	// told is the copy that the homes of the run were told of, and known is set once they
	// were told of the run.
	recordedCopy *CacheCopy
	recorded     bool
}

// keepCopy starts watching the copy of an attempt at a place.
func (s *stream) manageCopy(place relay.Placement, copyAddress string) *copyManager {
	k := &copyManager{s: s, place: place, started: make(chan struct{})}
	if place.CopyTarget != "" {
		k.current.Store(&CacheCopy{Holder: place.CopyTarget, Address: copyAddress, Handle: s.req.head.ID})
	}
	k.ctx, k.cancel = context.WithCancel(s.req.ctx)
	s.copies = k
	if s.req.route.Resumable {
		k.tasks.Go(k.run)
	}
	return k
}

// delivering tells that the run has begun: before, there is no memory to copy.
func (k *copyManager) markStarted() { k.startOnce.Do(func() { close(k.started) }) }

// stop ends the watch and leaves the copy for the next attempt.
func (k *copyManager) stop() {
	k.cancel()
	k.tasks.Wait()
	k.s.cacheCopy = k.current.Load()
	if k.requested && k.s.machine.Done() {
		k.s.g.background(k.release)
	}
}

// release frees an ordered copy, which would occupy memory until it expires.
func (k *copyManager) release() {
	request := k.s.g.options.Protocol.EncodeCopyRelease(k.current.Load().Handle)
	response, err := k.s.g.pool.Do(k.s.g.ctx, k.current.Load().Address, &request, copyRequestTimeout)
	if err != nil {
		k.s.req.log.Debug().Str("target", k.current.Load().Holder).Err(err).Msg("copy not released; it expires")
		return
	}
	k.s.g.metrics.copyOrders.WithLabelValues("released").Inc()
	if response.Status >= http.StatusMultipleChoices {
		k.s.req.log.Debug().Str("target", k.current.Load().Holder).Int("status", response.Status).Msg("copy was gone before its release")
	}
}

func (k *copyManager) run() {
	select {
	case <-k.started:
	case <-k.ctx.Done():
		return
	}
	for {
		k.recordLocation()
		k.ensureCopy()
		k.recordLocation()
		pause := copyCheckInterval
		if k.requested {
			pause = time.Duration(copyRefreshFraction * float64(k.lifetime()))
		}
		sleep(k.ctx, pause)
		if k.ctx.Err() != nil {
			return
		}
	}
}

// remember tells where the run and its copy are, once and after each change.
func (k *copyManager) recordLocation() {
	current := k.current.Load()
	if k.recorded && current == k.recordedCopy || k.ctx.Err() != nil {
		return
	}
	k.recorded, k.recordedCopy = true, current
	k.s.g.recordRun(k.s.req, k.place.Target, current)
}

func (k *copyManager) lifetime() time.Duration {
	p := k.s.g.loop.published.Load()
	if svc, ok := p.desired.Config.Service(k.s.req.service); ok && svc.Engine != nil && svc.Engine.CopyLifetime > 0 {
		return svc.Engine.CopyLifetime
	}
	return defaultCopyLifetime
}

// check orders a copy if there is none, and refreshes one that was ordered.
func (k *copyManager) ensureCopy() {
	type holder struct {
		id, address string
	}
	current := k.current.Load()
	copyTarget := query(k.ctx, k.s.g.loop, func(st *state) holder {
		now := time.Now()
		if current != nil && st.fleet.CanHoldCopy(now, current.Holder) {
			reg, _ := st.fleet.Target(current.Holder)
			return holder{reg.ID, reg.Address}
		}
		if !st.supportsCopies(k.s.req.service) {
			return holder{}
		}
		source, _ := st.fleet.Target(k.place.Target)
		q := placement.FleetQuery{Service: k.s.req.service, Version: source.Version, Exclude: []string{k.place.Target}, AvoidZone: source.Zone}
		reg, ok := st.fleet.ChooseCopy(now, q, k.s.prompt)
		if !ok {
			return holder{}
		}
		return holder{reg.ID, reg.Address}
	})
	if copyTarget.id == "" || current != nil && copyTarget.id == current.Holder && !k.requested {
		return
	}
	k.requestCopy(copyTarget.id, copyTarget.address)
}

// order makes or refreshes a copy at a target.
func (k *copyManager) requestCopy(id, address string) {
	source := k.s.reg.Address
	request := k.s.g.options.Protocol.EncodeCopyRequest(k.s.req.head.ID, address)
	response, err := k.s.g.pool.Do(k.ctx, source, &request, copyRequestTimeout)
	if k.ctx.Err() != nil {
		return
	}
	handle := ""
	if err == nil && response.Status == http.StatusOK {
		handle, err = k.s.g.options.Protocol.DecodeCopyResponse(response.Body)
	}
	k.s.g.metrics.copyOrders.WithLabelValues(copyOutcome(response, err)).Inc()
	if handle == "" {
		k.s.req.log.Info().Str("target", id).Int("status", response.Status).AnErr("error", err).Msg("copy not made")
		k.current.Store(nil)
		k.requested = false
		return
	}
	if previous := k.current.Load(); previous == nil || previous.Handle != handle {
		k.s.req.log.Info().Str("target", id).Str("source", k.s.reg.ID).Msg("copy ordered in place of a lost one")
	}
	k.current.Store(&CacheCopy{Holder: id, Address: source, Handle: handle})
	k.requested = true
}

func copyOutcome(response target.Response, err error) string {
	switch {
	case err != nil:
		return "failed"
	case response.Status == http.StatusOK:
		return "made"
	}
	return "refused"
}
