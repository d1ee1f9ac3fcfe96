package gateway

import (
	"context"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"bramleygap/internal/core/runindex"
	"bramleygap/internal/wire"
)

func (g *Gateway) readRunRows(ctx context.Context) (Snapshot, error) {
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	snapshot, err := g.options.Store.Snapshot(callCtx, TableRuns)
	g.metrics.storeCalls.WithLabelValues(TableRuns.String(), storeOutcome(err)).Inc()
	return snapshot, err
}

// load loads the stored run records of all gateways. Those of an earlier process of this gateway are kept in its row.
func (s *runSaver) load(ctx context.Context) error {
	snapshot, err := s.g.readRunRows(ctx)
	if err != nil {
		s.g.log.Debug().Err(err).Msg("stored run records not loaded")
		return err
	}
	s.clock = storeClock{snapshot.Time, time.Now()}
	ledger := decodeLedger(&snapshot)
	self := s.g.options.Settings.Name
	// The row of the process before this one may still be within its lease; without a row there is none.
	s.holdUntil(time.Now())
	if own, ok := ledger.Rows[self]; ok {
		s.gap = own.InheritedGap(snapshot.Time)
		s.holdUntil(time.Now().Add(min(own.Lease, runindex.MaxLease)))
	} else if !s.g.options.Settings.FirstStart() {
		s.gap = runindex.Gap{Until: snapshot.Time.At}
	}
	s.version = snapshot.rowVersion(self)
	if !snapshot.Time.Known() {
		// Rows without a time have no lease.
		s.holdUntil(time.Now().Add(-runindex.WitnessTime))
	}
	s.g.loop.post(ctx, func(st *state) { s.install(st, &snapshot, ledger) })
	return nil
}

// install merges the stored rows into the state.
func (s *runSaver) install(st *state, snapshot *Snapshot, ledger *runindex.Ledger) {
	now := time.Now()
	loaded := 0
	for _, row := range snapshot.Rows {
		var stored wire.RunRecords
		if err := proto.Unmarshal(row.Value, &stored); err != nil {
			s.g.log.Debug().Str("key", row.Key).Err(err).Msg("row with run records cannot be decoded; ignoring it")
			continue
		}
		s.g.loop.mergeRejections(st, now, &stored)
	}
	for name, row := range ledger.Rows {
		for _, run := range row.Runs {
			// A record received from a gateway since the start is newer.
			if !st.runIndex.Has(now, run.Record) {
				st.runIndex.Put(now, run.Record)
				loaded++
			}
			if name == s.g.options.Settings.Name {
				st.keepEndedRun(now.Add(-run.Age), run.Record)
			}
		}
	}
	s.g.log.Info().Int("gateways", len(snapshot.Rows)).Int("runs", loaded).Uint64("store_era", snapshot.Time.Era).Bool("gap", s.gap.Exists()).Bool("gap_witnessed", s.gap.Witnessed).
		Msg("stored run records loaded")
}

// decodeLedger decodes the rows of all gateways.
func decodeLedger(snapshot *Snapshot) *runindex.Ledger {
	ledger := &runindex.Ledger{Read: snapshot.Time, Rows: map[string]runindex.Row{}}
	for _, row := range snapshot.Rows {
		var stored wire.RunRecords
		if err := proto.Unmarshal(row.Value, &stored); err != nil {
			// A row that can't be read proves nothing.
			ledger.Rows[row.Key] = runindex.Row{}
			continue
		}
		ledger.Rows[row.Key] = decodeRunRow(&stored, snapshot.Time)
	}
	return ledger
}

func decodeRunRow(stored *wire.RunRecords, read runindex.StoreTime) runindex.Row {
	era, ok := decodeEra(stored.StoreEra)
	if !ok {
		// Without its era, the row proves nothing.
		stored.SavedStoreMs = 0
	}
	row := runindex.Row{
		Saved: runindex.StoreTime{Era: era, At: time.Duration(stored.SavedStoreMs) * time.Millisecond},
		Lease: time.Duration(stored.LeaseMs) * time.Millisecond,
		Gap: runindex.Gap{
			From: time.Duration(stored.GapFromMs) * time.Millisecond, Until: time.Duration(stored.GapUntilMs) * time.Millisecond, Witnessed: stored.GapWitnessed,
		},
		Final: stored.Final,
	}
	var sinceSaved time.Duration
	if row.Saved.Era == read.Era {
		sinceSaved = max(0, read.At-row.Saved.At)
	}
	for _, r := range stored.Records {
		if run, ok := decodeRun(r); ok {
			row.Runs = append(row.Runs, runindex.Found{Record: run, Age: sinceSaved + time.Duration(r.AgeMs)*time.Millisecond})
		}
	}
	return row
}

// encodeEra encodes an era of the store for a row, as an empty text if the store states none.
func encodeEra(era uint64) string {
	if era == 0 {
		return ""
	}
	return strconv.FormatUint(era, 10)
}

func decodeEra(text string) (era uint64, ok bool) {
	if text == "" {
		return 0, true
	}
	era, err := strconv.ParseUint(text, 10, 64)
	return era, err == nil
}

// ledgerRead is the result of a read of all rows that several lookups share.
type ledgerRead struct {
	sentAt time.Time
	ledger *runindex.Ledger
}

// readLedger reads the rows of all gateways after the given time, at which the client of a request had returned. The
// ledger is empty if they can't be read in time, if they have no leases because the installation is larger, or if
// clients of the route may return after the records of their runs have expired.
func (g *Gateway) readLedger(c *clientRequest, since time.Time, gateways int) *runindex.Ledger {
	if gateways > maxLeasedGateways || c.deadline.Sub(c.arrived) > runindex.Lifetime {
		return &runindex.Ledger{}
	}
	ctx, cancel := context.WithTimeout(c.ctx, findRunTimeout)
	defer cancel()
	for ctx.Err() == nil {
		// The first read may be one in progress, which began before the client returned.
		result, err, _ := g.ledgerReads.Do("", func() (any, error) {
			read := ledgerRead{sentAt: time.Now()}
			readCtx, cancel := context.WithTimeout(g.ctx, findRunTimeout)
			defer cancel()
			snapshot, err := g.readRunRows(readCtx)
			if err == nil {
				read.ledger = decodeLedger(&snapshot)
			}
			return read, err
		})
		if err != nil {
			return &runindex.Ledger{}
		}
		if read := result.(ledgerRead); !read.sentAt.Before(since) {
			return read.ledger
		}
	}
	return &runindex.Ledger{}
}
