package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/grpc"

	"bramleygap/internal/core/runindex"
	"bramleygap/internal/wire"
)

const (
	// ownSavePatience is how long a first event waits for its run to be saved before other gateways are asked, too: the
	// answer of the store may be lost.
	ownSavePatience = 60 * time.Millisecond
	// witnessTimeout limits the request that another gateway save a run, and witnessRetryInterval is the pause until the
	// next one. The answer takes at most a save of the other gateway.
	witnessTimeout       = 500 * time.Millisecond
	witnessRetryInterval = 100 * time.Millisecond
	// maxWitnesses limits the gateways that are asked to save a run.
	maxWitnesses = 3
)

// awaitSaved wakes the saver and returns when saved is closed, after a time limit, when the lease of the row ends, or when
// ctx ends. It reports whether saved is closed.
func (s *runSaver) awaitSaved(ctx context.Context, saved <-chan struct{}, limit time.Duration) bool {
	select {
	case <-saved:
		return true
	default:
		s.wake()
	}
	for end := time.Now().Add(limit); ctx.Err() == nil; {
		left := min(s.left(), time.Until(end))
		if left <= 0 {
			return false
		}
		timer := time.NewTimer(left)
		select {
		case <-saved:
			timer.Stop()
			return true
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
	return false
}

// recording is how the wait for a run to be recorded ended.
type recording int

const (
	// runSaved and runSavedElsewhere mean that the row, or that of another gateway, has the run.
	runSaved recording = iota
	runSavedElsewhere
	// runNotRecorded means that none has it, and that readers know of the gap.
	runNotRecorded
	// runClientLeft and runStopping mean that the client has left, or that this gateway stops, before one has it.
	runClientLeft
	runStopping
)

// String returns the outcome as it is logged.
func (r recording) String() string {
	return [...]string{"saved", "saved by another gateway", "not recorded", "client left", "stopping"}[r]
}

// awaitRecorded returns when the row or that of another gateway has a run, when readers do not take that for granted any
// more, or when ctx ends.
func (s *runSaver) awaitRecorded(ctx context.Context, run runindex.Record, saved <-chan struct{}) recording {
	if s.awaitSaved(ctx, saved, ownSavePatience) {
		return runSaved
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	elsewhere := make(chan struct{})
	s.g.background(func() {
		if s.saveElsewhere(ctx, run, saved) {
			close(elsewhere)
		}
	})
	for {
		left := s.left() + runindex.WitnessTime
		if left <= 0 {
			return runNotRecorded
		}
		timer := time.NewTimer(left)
		select {
		case <-saved:
			timer.Stop()
			return runSaved
		case <-elsewhere:
			timer.Stop()
			return runSavedElsewhere
		case <-ctx.Done():
			timer.Stop()
			return runClientLeft
		case <-s.g.answersEnd:
			timer.Stop()
			return runStopping
		case <-timer.C:
		}
	}
}

// saveElsewhere asks other gateways to save a run until one has done so, saved is closed, or ctx ends. It reports whether
// one has done so.
func (s *runSaver) saveElsewhere(ctx context.Context, run runindex.Record, saved <-chan struct{}) bool {
	for ctx.Err() == nil {
		if s.g.peers.requestSave(ctx, run, s.left() <= 0) {
			return true
		}
		select {
		case <-saved:
			return false
		default:
		}
		sleep(ctx, witnessRetryInterval)
	}
	return false
}

// requestSave asks other gateways to save a run that this one cannot save, and reports whether one has done so.
// With lapsed set, the lease of the row has ended, so that the memory of another gateway will do.
func (p *peers) requestSave(ctx context.Context, run runindex.Record, lapsed bool) bool {
	addresses := query(ctx, p.g.loop, func(st *state) []string { return slices.Collect(maps.Values(st.peerAddresses)) })
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	addresses = addresses[:min(maxWitnesses, len(addresses))]
	callCtx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	saved := make(chan bool, len(addresses))
	for _, address := range addresses {
		p.g.background(func() {
			conn, err := p.conns.Conn(address)
			if err == nil {
				request := &wire.RunRecords{Records: []*wire.RunRecord{encodeRun(run)}, Save: true, Keep: lapsed}
				_, err = wire.NewGatewayClient(conn).KeepRuns(callCtx, request, grpc.WaitForReady(false))
			}
			saved <- err == nil
		})
	}
	for range addresses {
		if <-saved {
			return true
		}
	}
	return false
}

// mayKeep reports whether the memory of this gateway will do for a run of another one whose lease has ended: its own row
// has a gap, which readers know, and this process goes on.
func (s *runSaver) mayKeep() bool {
	select {
	case <-s.finish:
		return false
	default:
		return s.left() <= 0
	}
}

// saveForOther saves runs of a gateway that cannot save them, and reports whether the row has them. If this gateway cannot
// save them either, they stay in memory until it can, and the row gets a gap if the process is lost before.
func (s *runSaver) saveForOther(ctx context.Context, runs []runindex.Record) bool {
	saved := make(chan struct{})
	s.g.loop.post(s.g.ctx, func(st *state) {
		now := time.Now()
		for _, run := range runs {
			st.keepEndedRun(now, run)
		}
		st.activeRunsChanged = true
		st.witnessWaits = append(st.witnessWaits, saved)
	})
	return s.awaitSaved(ctx, saved, witnessTimeout)
}
