package gateway

import (
	"context"
	"errors"
	"time"
)

const (
	// pollWait is how long the store holds a call for changes. A call confirms the table as of
	// its start, and leaving targets must be known everywhere within 2 s.
	pollWait = 500 * time.Millisecond
	// rarePollWait is the same for tables whose changes are not urgent.
	rarePollWait = 5 * time.Second
	// pollSlack is added to pollWait for the answer itself. The store may be slow.
	pollSlack = 700 * time.Millisecond
	// snapshotTimeout bounds one read of a table.
	snapshotTimeout = 900 * time.Millisecond
	// pollPause is the least time between two calls for changes of one table: registrations
	// change with every heartbeat, and calls are paid for.
	pollPause = 250 * time.Millisecond
	// failurePause is the pause of a reader after a failed call.
	failurePause = 200 * time.Millisecond
	// sparePause is the same for gateways that read only because the readers do not pass
	// the table on. Refused calls are paid for too.
	sparePause = 800 * time.Millisecond
	// failureQuiet is the pause without failures after which the next one is logged.
	failureQuiet = 2 * time.Second
	// idleCheck is the interval at which a gateway that does not read looks whether it must.
	idleCheck = 200 * time.Millisecond
)

// fallbackShare is the part of the time in which a leaving target must be known after which
// a gateway reads a table itself; its own call takes a few ms of the rest.
const fallbackShare = 0.62

// fallbackAfter is the age of a confirmation from which a gateway reads the table itself.
func (s *state) fallbackAfter(table Table) time.Duration {
	if table == TableGateways {
		// The last confirmation is as old as the call before the one that is held.
		return 2*rarePollWait + 3*time.Second
	}
	bound := time.Duration(fallbackShare * float64(s.settings.Bounds.DrainTimeout.Duration))
	return max(bound, pollWait+pollPause+300*time.Millisecond)
}

// follower keeps the copy of one table up to date.
type follower struct {
	director *director
	store    Store
	table    Table
	// lastFailure is when a call failed last.
	lastFailure time.Time
}

// position is where a follower continues.
type position struct {
	loaded, reads, reader bool
	// silent is set while nobody has confirmed the table for too long.
	silent   bool
	revision uint64
}

// silentAfter is the age of a confirmation from which a table may be out of date: a call of
// a gateway that reads it itself takes up to pollWait and pollSlack.
func (s *state) silentAfter(table Table) time.Duration {
	return s.fallbackAfter(table) + pollWait + pollSlack/2
}

func (f *follower) run(ctx context.Context) error {
	self := f.director.options.Settings.Name
	for ctx.Err() == nil {
		at := ask(ctx, f.director, func(s *state) position {
			t := s.tables[f.table]
			return position{t.Loaded(), f.director.reads(s, time.Now(), f.table), s.isReader(f.table, self), s.silent[f.table], t.Revision()}
		})
		if !at.reads {
			sleep(ctx, idleCheck)
			continue
		}
		started := time.Now()
		err := f.step(ctx, at)
		if ctx.Err() != nil {
			return nil
		}
		pause := pollPause - time.Since(started)
		if err != nil {
			f.failed(err)
			pause = failurePause
			if at.loaded && !at.reader {
				pause = sparePause
			}
		}
		sleep(ctx, pause)
	}
	return nil
}

// step makes one call. A copy that cannot be continued is read again as a whole.
func (f *follower) step(ctx context.Context, at position) error {
	if !at.loaded {
		return f.read(ctx)
	}
	wait := pollWait
	if f.table == TableGateways {
		wait = rarePollWait
	}
	if at.silent {
		// What is known is too old to wait for news.
		wait = 0
	}
	begun := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, wait+pollSlack)
	changes, to, err := f.store.Changes(callCtx, f.table, at.revision, wait)
	cancel()
	f.director.metrics.storeCalls.WithLabelValues(f.table.String(), outcome(err)).Inc()
	if errors.Is(err, ErrCompacted) {
		f.director.log.Info().Stringer("table", f.table).Uint64("revision", at.revision).Msg("history is gone; table is read again")
		return f.read(ctx)
	}
	if err != nil {
		return err
	}
	continued := ask(ctx, f.director, func(s *state) bool {
		ok := f.director.advance(s, time.Now(), f.table, changes, at.revision, max(to, at.revision))
		// Changes that do not start at the copy's revision were ignored.
		if ok && s.tables[f.table].Revision() >= to {
			f.director.confirmed(s, begun, f.table, "store")
		}
		return ok
	})
	if !continued && ctx.Err() == nil {
		return f.read(ctx)
	}
	return nil
}

func (f *follower) read(ctx context.Context) error {
	begun := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	rows, revision, err := f.store.Snapshot(callCtx, f.table)
	f.director.metrics.storeCalls.WithLabelValues(f.table.String(), outcome(err)).Inc()
	if err != nil {
		return err
	}
	f.director.tell(ctx, func(s *state) {
		f.director.snapshot(s, time.Now(), f.table, rows, revision, "store")
		if s.tables[f.table].Revision() >= revision {
			f.director.confirmed(s, begun, f.table, "store")
		}
	})
	return nil
}

// failed logs the first of several failures.
func (f *follower) failed(err error) {
	if time.Since(f.lastFailure) > failureQuiet {
		f.director.log.Warn().Stringer("table", f.table).Err(err).Msg("store does not answer")
	}
	f.lastFailure = time.Now()
}

func outcome(err error) string {
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
