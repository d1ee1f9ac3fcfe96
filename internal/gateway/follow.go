package gateway

import (
	"context"
	"errors"
	"time"

	"bramleygap/internal/core/replica"
)

const (
	// pollWait is how long the store holds a call for changes. It bounds how long a silent
	// connection goes unnoticed; leaving targets must be known within 2 s.
	pollWait = time.Second
	// rarePollWait is the same for tables whose changes are not urgent.
	rarePollWait = 5 * time.Second
	// pollSlack is added to pollWait for the answer itself. The store may be slow.
	pollSlack = 700 * time.Millisecond
	// snapshotTimeout bounds one read of a table.
	snapshotTimeout = 900 * time.Millisecond
	// pollPause is the least time between two calls for changes of one table: registrations
	// change with every heartbeat, and calls are paid for.
	pollPause = 250 * time.Millisecond
	// failurePause is the pause after a failed call.
	failurePause = 150 * time.Millisecond
)

// follower keeps the copy of one table up to date.
type follower struct {
	director *director
	store    Store
	table    Table
}

// position is where a follower continues.
type position struct {
	loaded   bool
	revision uint64
}

func (f *follower) run(ctx context.Context) error {
	for ctx.Err() == nil {
		at := ask(ctx, f.director, func(s *state) position {
			return position{s.tables[f.table].Loaded(), s.tables[f.table].Revision()}
		})
		started := time.Now()
		err := f.step(ctx, at)
		if ctx.Err() != nil {
			return nil
		}
		pause := pollPause - time.Since(started)
		if err != nil {
			f.failed(ctx, err)
			pause = failurePause
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
	callCtx, cancel := context.WithTimeout(ctx, wait+pollSlack)
	changes, to, err := f.store.Changes(callCtx, f.table, at.revision, wait)
	cancel()
	f.director.metrics.storeCalls.WithLabelValues(f.table.String(), outcome(err)).Inc()
	if errors.Is(err, ErrHistoryGone) {
		f.director.log.Info().Stringer("table", f.table).Uint64("revision", at.revision).Msg("history is gone; table is read again")
		return f.read(ctx)
	}
	if err != nil {
		return err
	}
	continued := ask(ctx, f.director, func(s *state) bool {
		now := time.Now()
		f.director.storeAnswered(s, now, f.table)
		return f.director.advance(s, now, f.table, changes, at.revision, max(to, at.revision))
	})
	if !continued && ctx.Err() == nil {
		return f.read(ctx)
	}
	return nil
}

func (f *follower) read(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	rows, revision, err := f.store.Snapshot(callCtx, f.table)
	f.director.metrics.storeCalls.WithLabelValues(f.table.String(), outcome(err)).Inc()
	if err != nil {
		return err
	}
	f.director.tell(ctx, func(s *state) {
		now := time.Now()
		f.director.storeAnswered(s, now, f.table)
		f.director.snapshot(s, now, f.table, rows, revision, "store")
	})
	return nil
}

func (f *follower) failed(ctx context.Context, err error) {
	f.director.tell(ctx, func(s *state) {
		now := time.Now()
		if !s.storeFailing(f.table) {
			f.director.log.Warn().Stringer("table", f.table).Err(err).
				Dur("last_answer_age", now.Sub(s.storeWorked[f.table])).Msg("store does not answer")
		}
		s.storeFailed[f.table] = now
	})
}

func outcome(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, ErrHistoryGone):
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

// rowsOf copies rows for a message to another gateway.
func rowsOf(t *replica.Table) []replica.Row { return t.Rows() }
