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
	m := &copyManager{s: s, place: place, started: make(chan struct{})}
	if place.CopyTarget != "" {
		m.current.Store(&CacheCopy{Holder: place.CopyTarget, Address: copyAddress, Handle: s.req.head.ID})
	}
	m.ctx, m.cancel = context.WithCancel(s.req.ctx)
	s.copies = m
	if s.req.route.Resumable {
		m.tasks.Go(m.run)
	}
	return m
}

// delivering tells that the run has begun: before, there is no memory to copy.
func (m *copyManager) markStarted() { m.startOnce.Do(func() { close(m.started) }) }

// stop ends the watch and leaves the copy for the next attempt.
func (m *copyManager) stop() {
	m.cancel()
	m.tasks.Wait()
	m.s.cacheCopy = m.current.Load()
	if m.requested && m.s.machine.Done() {
		m.s.g.background(m.release)
	}
}

// release frees an ordered copy, which would occupy memory until it expires.
func (m *copyManager) release() {
	request := m.s.g.options.Protocol.EncodeCopyRelease(m.current.Load().Handle)
	response, err := m.s.g.pool.Do(m.s.g.ctx, m.current.Load().Address, &request, copyRequestTimeout)
	if err != nil {
		m.s.req.log.Debug().Str("target", m.current.Load().Holder).Err(err).Msg("copy not released; it expires")
		return
	}
	m.s.g.metrics.copyOrders.WithLabelValues("released").Inc()
	if response.Status >= http.StatusMultipleChoices {
		m.s.req.log.Debug().Str("target", m.current.Load().Holder).Int("status", response.Status).Msg("copy was gone before its release")
	}
}

func (m *copyManager) run() {
	select {
	case <-m.started:
	case <-m.ctx.Done():
		return
	}
	for {
		m.recordLocation()
		m.ensureCopy()
		m.recordLocation()
		pause := copyCheckInterval
		if m.requested {
			pause = time.Duration(copyRefreshFraction * float64(m.lifetime()))
		}
		sleep(m.ctx, pause)
		if m.ctx.Err() != nil {
			return
		}
	}
}

// remember tells where the run and its copy are, once and after each change.
func (m *copyManager) recordLocation() {
	current := m.current.Load()
	if m.recorded && current == m.recordedCopy || m.ctx.Err() != nil {
		return
	}
	m.recorded, m.recordedCopy = true, current
	m.s.g.recordRun(m.s.req, m.place.Target, current)
}

func (m *copyManager) lifetime() time.Duration {
	p := m.s.g.loop.published.Load()
	if svc, ok := p.desired.Config.Service(m.s.req.service); ok && svc.Engine != nil && svc.Engine.CopyLifetime > 0 {
		return svc.Engine.CopyLifetime
	}
	return defaultCopyLifetime
}

// check orders a copy if there is none, and refreshes one that was ordered.
func (m *copyManager) ensureCopy() {
	type holder struct {
		id, address string
	}
	current := m.current.Load()
	copyTarget := query(m.ctx, m.s.g.loop, func(st *state) holder {
		now := time.Now()
		if current != nil && st.fleet.CanHoldCopy(now, current.Holder) {
			reg, _ := st.fleet.Target(current.Holder)
			return holder{reg.ID, reg.Address}
		}
		if !st.supportsCopies(m.s.req.service) {
			return holder{}
		}
		source, _ := st.fleet.Target(m.place.Target)
		q := placement.FleetQuery{Service: m.s.req.service, Version: source.Version, Exclude: []string{m.place.Target}, AvoidZone: source.Zone}
		reg, ok := st.fleet.ChooseCopy(now, q, m.s.prompt)
		if !ok {
			return holder{}
		}
		return holder{reg.ID, reg.Address}
	})
	if copyTarget.id == "" || current != nil && copyTarget.id == current.Holder && !m.requested {
		return
	}
	m.requestCopy(copyTarget.id, copyTarget.address)
}

// order makes or refreshes a copy at a target.
func (m *copyManager) requestCopy(id, address string) {
	source := m.s.reg.Address
	request := m.s.g.options.Protocol.EncodeCopyRequest(m.s.req.head.ID, address)
	response, err := m.s.g.pool.Do(m.ctx, source, &request, copyRequestTimeout)
	if m.ctx.Err() != nil {
		return
	}
	handle := ""
	if err == nil && response.Status == http.StatusOK {
		handle, err = m.s.g.options.Protocol.DecodeCopyResponse(response.Body)
	}
	m.s.g.metrics.copyOrders.WithLabelValues(copyOutcome(response, err)).Inc()
	if handle == "" {
		m.s.req.log.Info().Str("target", id).Int("status", response.Status).AnErr("error", err).Msg("copy not made")
		m.current.Store(nil)
		m.requested = false
		return
	}
	if previous := m.current.Load(); previous == nil || previous.Handle != handle {
		m.s.req.log.Info().Str("target", id).Str("source", m.s.reg.ID).Msg("copy ordered in place of a lost one")
	}
	m.current.Store(&CacheCopy{Holder: id, Address: source, Handle: handle})
	m.requested = true
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
