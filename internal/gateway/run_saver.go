package gateway

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"bramleygap/internal/core/replica"
	"bramleygap/internal/core/runindex"
	"bramleygap/internal/wire"
)

const (
	// maxLeasedGateways is the number of gateways up to which their rows have leases. In a larger installation, the loss
	// of a gateway interrupts few of all streams, whose prompts are read again, and the store allows all gateways
	// together only some 400 writes per second.
	maxLeasedGateways = 8
	// saveInterval is the time between two writes of a row with a lease, shorter than most prompts take to be read, and
	// minSaveInterval the minimum if a first event waits for its run to be saved.
	saveInterval    = 600 * time.Millisecond
	minSaveInterval = 50 * time.Millisecond
	// saveLease is the lease of a row. What it has beyond saveInterval covers the restart of a process. While the store
	// is unavailable, first events are held back until the lease ends.
	saveLease = runindex.MaxLease
	// slowSaveInterval and slowSaveIntervalPerGateway take their places in a larger installation, where rows only say
	// where prompts may be cached.
	slowSaveInterval           = time.Second
	slowSaveIntervalPerGateway = 100 * time.Millisecond
	// saveTimeout limits a save. A save without an answer takes a read and another save to be resolved, so that a slow
	// answer is better than none as long as it comes well within saveLease.
	saveTimeout = time.Second
	// finalSaveTimeout limits the last write of a gateway that stops.
	finalSaveTimeout = 120 * time.Millisecond
)

// runSaver keeps the row of this gateway in TableRuns. In a small installation, the row has a lease: until it ends, the
// first event of each run that the row lacks is held back, and for WitnessTime more that of each run that no other
// gateway has, either. A gateway to which a client returns thus knows from the rows whether another client could be
// meant, also after the loss of all processes. See runindex.Ledger.
type runSaver struct {
	g *Gateway
	// wanted has a value while a first event waits for its run to be saved.
	wanted chan struct{}
	// finish is closed when this gateway relays nothing more, and finished when its last row has been saved.
	finish, finished chan struct{}
	// leaseEnd is when the lease of the row ends, as far as it may have been saved, and failing is set while the store
	// does not confirm saves.
	leaseEnd atomic.Pointer[time.Time]
	failing  atomic.Bool

	// The other fields belong to the task of run.
	clock storeClock
	// version is that of the row, and gap the time of which earlier processes of this gateway may have lost runs.
	version replica.Version
	gap     runindex.Gap
	// stamp and lease are the time and the lease that the last write stated, and confirmed is set if that write was.
	stamp     runindex.StoreTime
	lease     time.Duration
	confirmed bool
	lastWrite time.Time
}

// storeClock is the store's clock as of its last answer.
type storeClock struct {
	time     runindex.StoreTime
	received time.Time
}

// at returns a time that the store's clock has reached at the given local time.
func (c *storeClock) at(now time.Time) runindex.StoreTime {
	if !c.time.Known() {
		return c.time
	}
	return runindex.StoreTime{Era: c.time.Era, At: c.time.At + max(0, now.Sub(c.received))}
}

func newRunSaver(g *Gateway) *runSaver {
	s := &runSaver{g: g, wanted: make(chan struct{}, 1), finish: make(chan struct{}), finished: make(chan struct{})}
	// The row of an earlier process may have been saved right before this one started.
	s.holdUntil(time.Now().Add(runindex.MaxLease))
	return s
}

// wake lets the saver save the row without waiting for saveInterval.
func (s *runSaver) wake() {
	select {
	case s.wanted <- struct{}{}:
	default:
	}
}

func (s *runSaver) holdUntil(at time.Time) { s.leaseEnd.Store(&at) }

// left returns the rest of the lease of the row.
func (s *runSaver) left() time.Duration { return time.Until(*s.leaseEnd.Load()) }

// run loads the stored run records of all gateways and then saves those of this gateway until ctx is canceled.
func (s *runSaver) run(ctx context.Context) error {
	defer close(s.finished)
	for ctx.Err() == nil && s.load(ctx) != nil {
		sleep(ctx, failureBackoff)
	}
	for ctx.Err() == nil {
		gateways, pause := s.saveDue(ctx)
		sleep(ctx, pause)
		if !s.leased(gateways) {
			continue
		}
		timer := time.NewTimer(time.Until(s.lastWrite.Add(saveInterval)))
		select {
		case <-s.wanted:
		case <-timer.C:
		case <-s.finish:
			s.saveFinal(ctx)
			return nil
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return nil
}

// leased reports whether the row has a lease in an installation of a number of gateways.
func (s *runSaver) leased(gateways int) bool {
	return gateways <= maxLeasedGateways && s.clock.time.Known()
}

// runRow is what the event loop has to save.
type runRow struct {
	records *wire.RunRecords
	// runs holds the active runs in it, and whole is set if no run is missing. witnessed holds the channels to be closed
	// when the row, with runs of other gateways, has been saved.
	runs      []*activeRun
	witnessed []chan struct{}
	whole     bool
	// gateways is the number of live gateways.
	gateways int
}

// rowToSave returns the row to save, without records if nothing has changed since the last one, unless the row is to be
// renewed.
func (st *state) rowToSave(now time.Time, renew bool) runRow {
	st.activeRunsChanged = st.activeRunsChanged || renew
	row := runRow{records: st.runsToSave(now), gateways: len(st.liveGateways)}
	row.whole = len(st.activeRuns)+len(st.endedRuns) <= maxStoredRuns && now.Sub(st.runDroppedAt) > runindex.Lifetime
	if row.records == nil && renew {
		// A row without runs states that there are none.
		row.records = &wire.RunRecords{}
	}
	if row.records != nil {
		row.runs = slices.Collect(maps.Values(st.activeRuns))
		row.witnessed, st.witnessWaits = st.witnessWaits, nil
	}
	return row
}

// saveDue saves the row if it has changed or is to be renewed. It returns the number of live gateways and the pause
// until the next save.
func (s *runSaver) saveDue(ctx context.Context) (gateways int, pause time.Duration) {
	row := query(ctx, s.g.loop, func(st *state) runRow {
		now := time.Now()
		return st.rowToSave(now, s.leased(len(st.liveGateways)) && now.Sub(s.lastWrite) >= saveInterval)
	})
	leased := s.leased(row.gateways)
	pause = max(slowSaveInterval, time.Duration(row.gateways)*slowSaveIntervalPerGateway)
	if leased {
		pause = minSaveInterval
	}
	if row.records == nil {
		if leased {
			pause = 0
		}
		return row.gateways, pause
	}
	s.save(ctx, &row, leased && row.whole)
	return row.gateways, pause
}

// saveFinal saves the row for the last time.
func (s *runSaver) saveFinal(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, finalSaveTimeout)
	defer cancel()
	row := query(ctx, s.g.loop, func(st *state) runRow { return st.rowToSave(time.Now(), true) })
	if row.records == nil {
		return
	}
	row.records.Final = true
	s.save(ctx, &row, row.whole)
}

// save writes the row. A write without an answer may still be performed, so that a later one states the same time: the
// lease of the row then never ends later than this gateway holds events back. All writes are conditional, so that none is
// performed after a later one.
func (s *runSaver) save(ctx context.Context, row *runRow, leased bool) {
	now := time.Now()
	switch {
	case !leased, !s.confirmed && !s.lastWrite.IsZero() && s.left() <= 0:
		s.stamp, s.lease = runindex.StoreTime{}, 0
	case s.confirmed || s.lastWrite.IsZero():
		s.stamp, s.lease = s.clock.at(now), saveLease
		s.holdUntil(now.Add(s.lease))
	}
	row.records.SavedStoreMs, row.records.StoreEra, row.records.LeaseMs = milliseconds(s.stamp.At), encodeEra(s.stamp.Era), uint32(s.lease.Milliseconds())
	row.records.GapFromMs, row.records.GapUntilMs, row.records.GapWitnessed = milliseconds(s.gap.From), milliseconds(s.gap.Until), s.gap.Witnessed
	s.lastWrite, s.confirmed = now, false
	value, err := proto.Marshal(row.records)
	if err != nil {
		s.g.log.Error().Err(err).Msg("run records cannot be encoded; not saved")
		return
	}
	if len(value) == 0 {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	write := Write{Table: TableRuns, Key: s.g.options.Settings.Name, Value: value, Expected: s.version}
	committed, err := s.g.options.Store.Commit(callCtx, []Write{write})
	s.g.metrics.storeCalls.WithLabelValues(TableRuns.String(), storeOutcome(err)).Inc()
	s.failing.Store(err != nil)
	if err != nil {
		s.g.log.Debug().Err(err).Msg("run records not saved; retrying")
		s.g.loop.post(ctx, func(st *state) {
			st.activeRunsChanged = true
			st.witnessWaits = append(st.witnessWaits, row.witnessed...)
		})
		if errors.Is(err, ErrConflict) {
			s.readVersion(ctx)
		}
		return
	}
	s.confirmed, s.version, s.clock = true, committed.Version, storeClock{committed.Time, time.Now()}
	s.g.loop.post(ctx, func(*state) {
		for _, run := range row.runs {
			run.markSaved()
		}
		for _, wait := range row.witnessed {
			close(wait)
		}
	})
}

// milliseconds returns a duration in whole milliseconds.
func milliseconds(d time.Duration) uint64 { return uint64(d.Milliseconds()) }

// readVersion reads the version of the row after a write that was performed without an answer, or after the store has
// come back from an older copy.
func (s *runSaver) readVersion(ctx context.Context) {
	snapshot, err := s.g.readRunRows(ctx)
	if err != nil {
		return
	}
	s.clock = storeClock{snapshot.Time, time.Now()}
	s.version = snapshot.rowVersion(s.g.options.Settings.Name)
}
