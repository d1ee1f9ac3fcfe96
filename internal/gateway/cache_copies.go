package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"bramleygap/internal/core/placement"
	"bramleygap/internal/core/runindex"
	"bramleygap/internal/gateway/target"
)

const (
	// copyCheckInterval is how often a stream checks that the holder of its copy is usable.
	copyCheckInterval = 200 * time.Millisecond
	// copyRequestTimeout limits a request to make or release a copy. A KV cache of a few hundred
	// MB takes well below 1 s on the links between engines.
	copyRequestTimeout = 1500 * time.Millisecond
	// copyRefreshFraction is the fraction of its lifetime after which a requested copy is
	// refreshed, so that it does not expire.
	copyRefreshFraction = 0.4
	// defaultCopyLifetime applies if the desired state does not set a lifetime.
	defaultCopyLifetime = 4 * time.Second
)

// copyManager maintains the KV cache copy of an attempt. If the holder of the copy is lost, it
// requests a new copy on another engine: without a copy, the loss of the run's engine would
// require processing the whole prompt again.
type copyManager struct {
	a         *attempt
	s         *stream
	ctx       context.Context
	cancel    context.CancelFunc
	tasks     sync.WaitGroup
	started   chan struct{}
	startOnce sync.Once
	// current is the current copy, nil for none. Only run and markUsed change it.
	current atomic.Pointer[CacheCopy]
	// requested is set if the gateway requested the current copy. It is owned by run; stop reads
	// it after run has returned.
	requested bool
	// recordedCopy is the copy in the last run record, and recordedAt is when that was made, zero for never.
	recordedCopy *CacheCopy
	recordedAt   time.Time
}

// manageCopy starts maintaining the copy of an attempt.
func (a *attempt) manageCopy() *copyManager {
	m := &copyManager{a: a, s: a.s, started: make(chan struct{})}
	if holder := a.start.Placement.CopyTarget; holder != "" {
		m.current.Store(&CacheCopy{Run: a.s.req.head.ID, Holder: holder, Address: a.copyTarget, Handle: a.s.req.head.ID})
	}
	m.ctx, m.cancel = context.WithCancel(a.s.req.ctx)
	if a.s.req.route.Resumable {
		m.tasks.Go(m.run)
	}
	return m
}

// markUsed records that the current copy was used, so that another one is made.
func (m *copyManager) markUsed() { m.current.Store(nil) }

// restore takes back markUsed after the copy was not used, unless there is another one by now.
func (m *copyManager) restore(unused *CacheCopy) { m.current.CompareAndSwap(nil, unused) }

// markStarted signals that the run has produced its first event. Before, there is no KV cache to
// copy.
func (m *copyManager) markStarted() { m.startOnce.Do(func() { close(m.started) }) }

// stop ends the maintenance and returns the copy. If the stream has ended, it releases a requested
// copy.
func (m *copyManager) stop() *CacheCopy {
	m.cancel()
	m.tasks.Wait()
	left := m.current.Load()
	if m.requested && left != nil && m.s.machine.Done() {
		m.s.g.background(func() { m.release(left) })
	}
	return left
}

// release frees a requested copy, which would otherwise occupy memory until it expires.
func (m *copyManager) release(left *CacheCopy) {
	request := m.s.g.options.Protocol.EncodeCopyRelease(left.Handle)
	request.Permit = m.s.g.pausePermit(m.a.reg)
	response, err := m.s.g.pool.Do(m.s.g.ctx, left.Address, &request, copyRequestTimeout)
	if err != nil {
		m.s.req.log.Debug().Str("target", left.Holder).Err(err).Msg("KV cache copy not released; it occupies memory until it expires")
		return
	}
	m.s.g.metrics.copyOrders.WithLabelValues("released").Inc()
	if response.Status >= http.StatusMultipleChoices {
		m.s.req.log.Debug().Str("target", left.Holder).Int("status", response.Status).Msg("engine refused to release the KV cache copy; it may have expired")
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

// recordLocation records the locations of the run and its copy when the run has started, after each change,
// and before the record expires.
func (m *copyManager) recordLocation() {
	current := m.current.Load()
	unchanged := current == m.recordedCopy && time.Since(m.recordedAt) < runindex.Lifetime/2
	if !m.recordedAt.IsZero() && unchanged || m.ctx.Err() != nil {
		return
	}
	m.recordedAt, m.recordedCopy = time.Now(), current
	m.s.recordRun(m.a.reg.ID, current)
}

func (m *copyManager) lifetime() time.Duration {
	p := m.s.g.loop.published.Load()
	if svc, ok := p.desired.Config.Service(m.s.req.service); ok && svc.Engine != nil && svc.Engine.CopyLifetime > 0 {
		return svc.Engine.CopyLifetime
	}
	return defaultCopyLifetime
}

// ensureCopy requests a copy if there is none on a usable engine, and refreshes a requested copy.
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
		if !st.mayCopy(now, m.s.req.service) {
			return holder{}
		}
		source, _ := st.fleet.Target(m.a.reg.ID)
		q := placement.FleetQuery{Service: m.s.req.service, Version: source.Version, Exclude: []string{m.a.reg.ID}, AvoidZone: source.Zone}
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

// requestCopy makes or refreshes a copy on a target.
func (m *copyManager) requestCopy(id, address string) {
	source := m.a.reg.Address
	request := m.s.g.options.Protocol.EncodeCopyRequest(m.s.req.head.ID, address)
	request.Permit = m.s.g.pausePermit(m.a.reg)
	response, err := m.s.g.pool.Do(m.ctx, source, &request, copyRequestTimeout)
	if m.ctx.Err() != nil {
		return
	}
	if errors.Is(err, target.ErrNotPermitted) {
		m.s.g.metrics.copyOrders.WithLabelValues("held").Inc()
		return
	}
	if err == nil {
		// The stream of the run is open, so that its instance still has the address.
		header := m.s.g.options.Protocol.DecodeResponse(response.Status, response.Header)
		if header.InstanceID == "" || header.InstanceID == m.a.reg.ID {
			m.s.g.observe(m.a.reg, &header, placement.FromCopyOrder)
		}
	}
	handle := ""
	if err == nil && response.Status == http.StatusOK {
		handle, err = m.s.g.options.Protocol.DecodeCopyResponse(response.Body)
	}
	m.s.g.metrics.copyOrders.WithLabelValues(copyOutcome(response, err)).Inc()
	if handle == "" {
		m.s.req.log.Info().Str("target", id).Int("status", response.Status).AnErr("error", err).Msg("KV cache copy not made; retrying")
		m.current.Store(nil)
		m.requested = false
		return
	}
	if previous := m.current.Load(); previous == nil || previous.Handle != handle {
		m.s.req.log.Info().Str("target", id).Str("source", m.a.reg.ID).Msg("KV cache copied to another engine")
	}
	m.current.Store(&CacheCopy{Run: m.s.req.head.ID, Holder: id, Address: source, Handle: handle})
	m.requested = true
	m.countCopy(id)
}

// countCopy lets the fleet count the copy at its new holder.
func (m *copyManager) countCopy(holder string) {
	previous, source, size := m.a.copyHolder, m.a.reg.ID, m.a.size
	if previous == holder {
		return
	}
	m.a.copyHolder = holder
	m.s.g.loop.post(m.s.g.ctx, func(st *state) { st.fleet.MoveCopy(source, previous, holder, size) })
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
