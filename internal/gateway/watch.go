package gateway

import (
	"context"
	"errors"
	"time"
)

const (
	// pollWait is how long the store holds a call for changes. A call confirms the table as of
	// its start, and leaving targets must be known everywhere within 2 s.
	longPollWait = 500 * time.Millisecond
	// rarePollWait is the same for tables whose changes are not urgent.
	slowLongPollWait = 5 * time.Second
	// pollSlack is added to pollWait for the answer itself. The store may be slow.
	pollTimeoutMargin = 700 * time.Millisecond
	// snapshotTimeout bounds one read of a table.
	storeCallTimeout = 900 * time.Millisecond
	// pollPause is the least time between two calls for changes of one table: registrations
	// change with every heartbeat, and calls are paid for.
	minPollInterval = 250 * time.Millisecond
	// failurePause is the pause of a reader after a failed call.
	failureBackoff = 200 * time.Millisecond
	// sparePause is the same for gateways that read only because the readers do not pass
	// the table on. Refused calls are paid for too.
	fallbackFailureBackoff = 800 * time.Millisecond
	// failureQuiet is the pause without failures after which the next one is logged.
	failureLogReset = 2 * time.Second
	// idleCheck is the interval at which a gateway that does not read looks whether it must.
	readerCheckInterval = 200 * time.Millisecond
)

// fallbackShare is the part of the time in which a leaving target must be known after which
// a gateway reads a table itself; its own call takes a few ms of the rest.
const fallbackFraction = 0.62

// fallbackAfter is the age of a confirmation from which a gateway reads the table itself.
func (s *state) fallbackReadAge(table Table) time.Duration {
	if table == TableGateways {
		// The last confirmation is as old as the call before the one that is held.
		return 2*slowLongPollWait + 3*time.Second
	}
	bound := time.Duration(fallbackFraction * float64(s.settings.Bounds.DrainTimeout.Duration))
	return max(bound, longPollWait+minPollInterval+300*time.Millisecond)
}

// follower keeps the copy of one table up to date.
type tableWatcher struct {
	loop  *eventLoop
	store Store
	table Table
	// lastFailure is when a call failed last.
	lastFailure time.Time
}

// position is where a follower continues.
type watchPosition struct {
	loaded, readsStore, isReader bool
	// silent is set while nobody has confirmed the table for too long.
	unconfirmed bool
	revision    uint64
}

// silentAfter is the age of a confirmation from which a table may be out of date: a call of
// a gateway that reads it itself takes up to pollWait and pollSlack.
func (s *state) unconfirmedAge(table Table) time.Duration {
	return s.fallbackReadAge(table) + longPollWait + pollTimeoutMargin/2
}

func (f *tableWatcher) run(ctx context.Context) error {
	self := f.loop.options.Settings.Name
	for ctx.Err() == nil {
		pos := query(ctx, f.loop, func(s *state) watchPosition {
			t := s.tables[f.table]
			return watchPosition{t.Loaded(), f.loop.readsStore(s, time.Now(), f.table), s.isReader(f.table, self), s.unconfirmed[f.table], t.Revision()}
		})
		if !pos.readsStore {
			sleep(ctx, readerCheckInterval)
			continue
		}
		start := time.Now()
		err := f.poll(ctx, pos)
		if ctx.Err() != nil {
			return nil
		}
		pause := minPollInterval - time.Since(start)
		if err != nil {
			f.logFailure(err)
			pause = failureBackoff
			if pos.loaded && !pos.isReader {
				pause = fallbackFailureBackoff
			}
		}
		sleep(ctx, pause)
	}
	return nil
}

// step makes one call. A copy that cannot be continued is read again as a whole.
func (f *tableWatcher) poll(ctx context.Context, pos watchPosition) error {
	if !pos.loaded {
		return f.readSnapshot(ctx)
	}
	wait := longPollWait
	if f.table == TableGateways {
		wait = slowLongPollWait
	}
	if pos.unconfirmed {
		// What is known is too old to wait for news.
		wait = 0
	}
	start := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, wait+pollTimeoutMargin)
	changes, upTo, err := f.store.Changes(callCtx, f.table, pos.revision, wait)
	cancel()
	f.loop.metrics.storeCalls.WithLabelValues(f.table.String(), storeOutcome(err)).Inc()
	if errors.Is(err, ErrCompacted) {
		f.loop.log.Info().Stringer("table", f.table).Uint64("revision", pos.revision).Msg("history is gone; table is read again")
		return f.readSnapshot(ctx)
	}
	if err != nil {
		return err
	}
	contiguous := query(ctx, f.loop, func(s *state) bool {
		ok := f.loop.applyChanges(s, time.Now(), f.table, changes, pos.revision, max(upTo, pos.revision))
		// Changes that do not start at the copy's revision were ignored.
		if ok && s.tables[f.table].Revision() >= upTo {
			f.loop.confirm(s, start, f.table, "store")
		}
		return ok
	})
	if !contiguous && ctx.Err() == nil {
		return f.readSnapshot(ctx)
	}
	return nil
}

func (f *tableWatcher) readSnapshot(ctx context.Context) error {
	start := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	rows, revision, err := f.store.Snapshot(callCtx, f.table)
	f.loop.metrics.storeCalls.WithLabelValues(f.table.String(), storeOutcome(err)).Inc()
	if err != nil {
		return err
	}
	f.loop.post(ctx, func(s *state) {
		f.loop.installSnapshot(s, time.Now(), f.table, rows, revision, "store")
		if s.tables[f.table].Revision() >= revision {
			f.loop.confirm(s, start, f.table, "store")
		}
	})
	return nil
}

// failed logs the first of several failures.
func (f *tableWatcher) logFailure(err error) {
	if time.Since(f.lastFailure) > failureLogReset {
		f.loop.log.Warn().Stringer("table", f.table).Err(err).Msg("store does not answer")
	}
	f.lastFailure = time.Now()
}

func storeOutcome(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, ErrCompacted):
		return "history_gone"
	case errors.Is(err, ErrNotPerformed):
		return "refused"
	}
	return "failed"
}

// sleep waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
