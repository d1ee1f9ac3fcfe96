package calls

import (
	"context"
	"math/rand/v2"
	"time"

	"bramleygap/internal/core/oncecall"
	"bramleygap/internal/core/placement"
	"bramleygap/internal/opconfig"
	"bramleygap/internal/platform"
)

const (
	// sweepLimit bounds the rows that one step of the sweep reads and deletes.
	sweepLimit = 200
	// sweepBusyInterval is the pause between the steps of a round, sweepIdleInterval the pause
	// after a round and after an error.
	sweepBusyInterval = time.Second
	sweepIdleInterval = time.Minute
)

var cancelledOutcome = placement.Outcome{Cancelled: true}

// RunSweeper deletes expired claims until ctx ends. Each step costs one list request and at
// most one transaction.
func (h *Handler) RunSweeper(ctx context.Context) {
	var sweeper oncecall.Sweeper
	for {
		pause := sweepIdleInterval
		if _, err := h.sweepStep(ctx, &sweeper, time.Now()); err != nil {
			h.options.Logger.Warn().Err(err).Msg("sweep of expired claims failed")
		} else if !sweeper.Idle() {
			pause = sweepBusyInterval
		}
		// Entries may start at the same time; without jitter they would list the same prefixes together.
		timer := time.NewTimer(pause/2 + rand.N(pause))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// sweepStep lists one prefix and deletes the expired claims under it.
func (h *Handler) sweepStep(ctx context.Context, sweeper *oncecall.Sweeper, now time.Time) (int, error) {
	if sweeper.Idle() {
		sweeper.Start(h.claimPrefixes())
	}
	prefix, ok := sweeper.Next()
	if !ok {
		return 0, nil
	}
	listed, err := h.options.Table.List(ctx, prefix, sweepLimit)
	if err != nil {
		return 0, err
	}
	rows := make([]oncecall.Row, len(listed))
	for i, row := range listed {
		rows[i] = oncecall.Row{Key: row.Key, Value: row.Value, Revision: row.Revision}
	}
	return h.deleteRows(ctx, sweeper.Expired(prefix, rows, sweepLimit, now))
}

// deleteRows deletes rows unless one has changed since it was listed. A lost response needs
// no handling, since the next round lists the remaining rows again.
func (h *Handler) deleteRows(ctx context.Context, rows []oncecall.Row) (int, error) {
	if len(rows) == 0 {
		return 0, nil
	}
	var txn platform.Txn
	for _, row := range rows {
		txn.Checks = append(txn.Checks, platform.Check{Key: row.Key, Revision: row.Revision})
		txn.Deletes = append(txn.Deletes, row.Key)
	}
	txnResult, err := h.options.Table.Commit(ctx, txn)
	if err != nil || !txnResult.Committed {
		return 0, err
	}
	h.metrics.swept.Add(float64(len(rows)))
	return len(rows), nil
}

// claimPrefixes returns the row prefixes for each configured application service and account.
// Claims of a removed service or account stay until it is configured again.
func (h *Handler) claimPrefixes() []string {
	adopted := h.options.Config()
	if adopted == nil || adopted.Config == nil {
		return nil
	}
	var prefixes []string
	for _, service := range adopted.Config.Services {
		if service.Kind != opconfig.KindApplication {
			continue
		}
		for _, account := range adopted.Config.Accounts {
			prefixes = append(prefixes, oncecall.RowPrefix(service.Name, account.Name))
		}
	}
	return prefixes
}
