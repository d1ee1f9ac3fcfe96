package gateway

import (
	"context"
	"errors"
	"time"

	"bramleygap/internal/core/replica"
	"bramleygap/internal/settings"
)

const (
	// longPollWait is how long the store holds a call for changes. A call confirms the table as
	// of its start, and all gateways must learn of leaving targets within 2 s.
	longPollWait = 500 * time.Millisecond
	// slowLongPollWait is the same for TableGateways, whose changes are not urgent.
	slowLongPollWait = 5 * time.Second
	// pollTimeoutMargin is how much longer than its wait a call may take before a table counts
	// as unconfirmed: the store may be slow.
	pollTimeoutMargin = 700 * time.Millisecond
	// maxReadTime limits a read of a table that makes progress.
	maxReadTime = 10 * time.Second
	// storeCallTimeout limits a commit and the read of the run records.
	storeCallTimeout = 900 * time.Millisecond
	// minPollInterval is the minimum time between the starts of two calls for changes of a
	// table. Registrations change with every heartbeat, and each call is billed.
	minPollInterval = 250 * time.Millisecond
	// failureBackoff is the delay of a reader after a failed call.
	failureBackoff = 200 * time.Millisecond
	// fallbackFailureBackoff is the same for gateways that poll only because they do not receive
	// the table from its readers. It is longer because refused calls are billed too.
	fallbackFailureBackoff = 800 * time.Millisecond
	// failureLogReset is the time without failures after which the next failure is logged.
	failureLogReset = 2 * time.Second
	// readerCheckInterval is how often a gateway that does not poll checks whether it has to.
	readerCheckInterval = 200 * time.Millisecond
	// configReadTime allows for reading a desired state of some 300 KB over a link of 10 Mbit/s.
	configReadTime = 500 * time.Millisecond
	// changesReadTime allows for reading the changes of a table while the store is busy.
	changesReadTime = 100 * time.Millisecond
)

// fallbackFraction is the largest fraction of the drain timeout after which a gateway reads an
// unconfirmed table of targets from the store.
const fallbackFraction = 0.62

// fallbackReadAge returns the age of the last confirmation beyond which a gateway that is not a
// reader of the table polls the store for it. A change arrives within the bound that operators set
// for it, also if the first call for it is lost.
func fallbackReadAge(bounds *settings.Bounds, table Table) time.Duration {
	if table == TableGateways {
		// While the store holds a call, the last confirmation dates from the previous call.
		return 2*slowLongPollWait + 3*time.Second
	}
	const lostCall = readerCheckInterval + pollTimeoutMargin
	drain := bounds.DrainTimeout.Duration
	age := min(drain-lostCall-changesReadTime, time.Duration(fallbackFraction*float64(drain)))
	if table == TableConfig && bounds.ConfigApply.Duration > 0 {
		age = bounds.ConfigApply.Duration - lostCall - configReadTime
	}
	return max(age, longPollWait+minPollInterval+300*time.Millisecond)
}

// fallbackPause returns the delay of a gateway that is not a reader after a failed call that
// follows the given number of failed calls.
func fallbackPause(err error, failures int) time.Duration {
	if failures == 0 && !errors.Is(err, ErrNotPerformed) {
		// A lost call may be due to its connection, and a new one works at once.
		return 0
	}
	return fallbackFailureBackoff
}

// tableWatcher keeps the local copy of a table up to date.
type tableWatcher struct {
	loop        *eventLoop
	store       Store
	table       Table
	lastFailure time.Time
	// failures is the number of calls that failed in a row.
	failures int
}

// watchPosition is the state from which a tableWatcher makes its next call.
type watchPosition struct {
	loaded, readsStore, isReader bool
	// unconfirmed is set while the table has not been confirmed for unconfirmedAge.
	unconfirmed bool
	version     replica.Version
}

// unconfirmedAge returns the age of the last confirmation from which a table may be out of
// date. It allows for a call to the store that takes half of pollTimeoutMargin beyond its wait.
func (st *state) unconfirmedAge(table Table) time.Duration {
	return fallbackReadAge(&st.settings.Bounds, table) + longPollWait + pollTimeoutMargin/2
}

func (w *tableWatcher) run(ctx context.Context) error {
	self := w.loop.options.Settings.Name
	for ctx.Err() == nil {
		pos := query(ctx, w.loop, func(st *state) watchPosition {
			t := st.tables[w.table]
			return watchPosition{t.Loaded(), w.loop.readsStore(st, time.Now(), w.table), st.isReader(self), st.unconfirmed[w.table], t.Version()}
		})
		if !pos.readsStore {
			w.failures = 0
			sleep(ctx, readerCheckInterval)
			continue
		}
		start := time.Now()
		err := w.poll(ctx, pos)
		if ctx.Err() != nil {
			return nil
		}
		pause := minPollInterval - time.Since(start)
		if err != nil {
			w.logFailure(err, time.Since(start))
			w.loop.traffic.storeFailures.Add(1)
			pause = failureBackoff
			if pos.loaded && !pos.isReader {
				pause = fallbackPause(err, w.failures)
			}
			w.failures++
		} else {
			w.failures = 0
		}
		sleep(ctx, pause)
	}
	return nil
}

// poll makes one call to the store. It reads a snapshot if there is no local copy or if the
// changes do not follow on from it.
func (w *tableWatcher) poll(ctx context.Context, pos watchPosition) error {
	if !pos.loaded {
		return w.readSnapshot(ctx)
	}
	wait := longPollWait
	if w.table == TableGateways {
		wait = slowLongPollWait
	}
	if pos.unconfirmed || !pos.isReader {
		// The local copy may be out of date, so ask for an immediate response.
		wait = 0
	}
	start := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, wait+maxReadTime)
	changes, upTo, err := w.store.Changes(callCtx, w.table, pos.version, wait)
	cancel()
	w.loop.metrics.storeSeconds.WithLabelValues(w.table.String()).Observe(time.Since(start).Seconds())
	w.loop.metrics.storeCalls.WithLabelValues(w.table.String(), storeOutcome(err)).Inc()
	if errors.Is(err, ErrCompacted) || errors.Is(err, ErrEraChanged) {
		w.loop.log.Info().Stringer("table", w.table).Uint64("era", pos.version.Era).Uint64("revision", pos.version.Revision).Err(err).Msg("changes not available; reading a snapshot of the table")
		return w.readSnapshot(ctx)
	}
	if err != nil {
		return err
	}
	contiguous := query(ctx, w.loop, func(st *state) bool {
		ok := w.loop.applyChanges(st, time.Now(), w.table, changes, pos.version, upTo)
		// Changes that do not start at the version of the local copy were ignored.
		if ok && st.tables[w.table].Version().Includes(upTo) {
			w.loop.confirm(st, start, w.table, "store")
		}
		return ok
	})
	if !contiguous && ctx.Err() == nil {
		return w.readSnapshot(ctx)
	}
	return nil
}

func (w *tableWatcher) readSnapshot(ctx context.Context) error {
	start := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, maxReadTime)
	defer cancel()
	snapshot, err := w.store.Snapshot(callCtx, w.table)
	w.loop.metrics.storeSeconds.WithLabelValues(w.table.String()).Observe(time.Since(start).Seconds())
	w.loop.metrics.storeCalls.WithLabelValues(w.table.String(), storeOutcome(err)).Inc()
	if err != nil {
		return err
	}
	w.loop.post(ctx, func(st *state) {
		w.loop.installSnapshot(st, time.Now(), w.table, snapshot.Rows, snapshot.Version, "store")
		if st.tables[w.table].Version().Includes(snapshot.Version) {
			w.loop.confirm(st, start, w.table, "store")
		}
	})
	return nil
}

// logFailure logs the first of a series of failures.
func (w *tableWatcher) logFailure(err error, took time.Duration) {
	if time.Since(w.lastFailure) > failureLogReset {
		w.loop.log.Warn().Stringer("table", w.table).Err(err).Dur("took", took).Msg("call to the store failed; retrying")
	}
	w.lastFailure = time.Now()
}

func storeOutcome(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, ErrCompacted):
		return "history_gone"
	case errors.Is(err, ErrEraChanged):
		return "era_changed"
	case errors.Is(err, ErrNotPerformed):
		return "refused"
	}
	return "failed"
}

// sleep returns after d, or earlier if ctx ends.
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
