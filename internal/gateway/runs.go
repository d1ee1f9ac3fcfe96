package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"bramleygap/internal/core/runindex"
	"bramleygap/internal/settings"
	"bramleygap/internal/wire"
)

const (
	// runSendInterval is the pause between two batches of new run records sent to other
	// gateways. It is short compared with the 700 ms allowed between two events of a stream.
	runSendInterval = 50 * time.Millisecond
	// findRunTimeout limits the lookup of a run. An unreachable gateway must not use up the time
	// allowed between two events.
	findRunTimeout = 120 * time.Millisecond
	// startupPeriod is how long after its start a gateway may not know the live gateways yet: it
	// needs an exchange round with its seeds and one with the gateways listed in the store.
	startupPeriod = 2 * time.Second
	// saveInterval is the minimum pause between two writes of the active runs to the store, and
	// saveIntervalPerGateway the minimum per live gateway: all gateways together make at most
	// 10 of the 400 writes per second that the store allows.
	saveInterval           = time.Second
	saveIntervalPerGateway = 100 * time.Millisecond
	// maxStoredRuns limits the records in a row: at about 100 bytes each, a row has up to 50 KB.
	maxStoredRuns = 500
	// maxStoredRejections limits the bytes of the rejected prompt parts and of the rejected requests in a
	// row, each. The users' rows hold 64 KiB.
	maxStoredRejections = 6 << 10
	// maxSeedsQueried limits the seeds that a gateway queries for a run during startupPeriod.
	maxSeedsQueried = 4
)

// recordRun records which target runs a generation and where the copy of its KV cache is. The
// record is kept locally, sent to the gateways that replicate it, and saved to the store.
func (g *Gateway) recordRun(c *clientRequest, source string, cacheCopy *CacheCopy) {
	r := runindex.Record{Fingerprint: c.fingerprint, Source: source}
	if cacheCopy != nil {
		r.Holder, r.Address, r.Handle = cacheCopy.Holder, cacheCopy.Address, cacheCopy.Handle
	}
	g.loop.post(g.ctx, func(st *state) {
		st.runIndex.Put(time.Now(), r)
		st.pendingRuns = append(st.pendingRuns, r)
		if len(st.activeRuns) < maxStoredRuns {
			st.activeRuns[r.Fingerprint], st.activeRunsChanged = r, true
		}
	})
}

// endRun removes a stream that has ended from the active runs. Its record stays in the index,
// because the client of a broken stream may resume it, and in the store until the next save,
// which only a new run triggers. A completed request is no longer suspected of crashing targets.
func (g *Gateway) endRun(c *clientRequest, completed bool) {
	g.loop.post(g.ctx, func(st *state) {
		delete(st.activeRuns, c.fingerprint)
		if completed {
			st.suspects.ClearIfSafe(c.fingerprint, time.Since(c.arrived), true)
			g.loop.responseBegan(st, time.Now(), c.parts)
		}
	})
}

// persistRuns loads the stored run records of all gateways at startup and then saves those of
// this gateway when they change, until ctx is canceled. Stored records survive the loss of all
// gateways at the same time.
func (g *Gateway) persistRuns(ctx context.Context) error {
	for time.Since(g.startedAt) < startupPeriod && ctx.Err() == nil {
		if err := g.loadRuns(ctx); err == nil {
			break
		}
		sleep(ctx, failureBackoff)
	}
	for ctx.Err() == nil {
		type pendingSave struct {
			records  *wire.RunRecords
			gateways int
		}
		next := query(ctx, g.loop, func(st *state) pendingSave {
			return pendingSave{st.runsToSave(time.Now()), len(st.liveGateways)}
		})
		if next.records != nil {
			g.saveRuns(ctx, next.records)
		}
		sleep(ctx, max(saveInterval, time.Duration(next.gateways)*saveIntervalPerGateway))
	}
	return nil
}

// runsToSave returns the records to save, nil if there are no new ones or if there is nothing to save: the
// store rejects an empty row.
func (st *state) runsToSave(now time.Time) *wire.RunRecords {
	if !st.activeRunsChanged {
		return nil
	}
	records := &wire.RunRecords{}
	st.addRejections(records, now)
	if len(st.activeRuns)+len(records.Parts)+len(records.Suspects) == 0 {
		return nil
	}
	st.activeRunsChanged = false
	for _, r := range st.activeRuns {
		records.Records = append(records.Records, encodeRun(r))
	}
	return records
}

// addRejections adds to the records to save what must be rejected also after the loss of all gateways, up to
// maxStoredRejections bytes of prompt parts and of requests.
func (st *state) addRejections(records *wire.RunRecords, now time.Time) {
	parts, requests := st.suspects.CondemnedRecords(now)
	for _, p := range encodeParts(parts, now) {
		records.Parts = append(records.Parts, p)
		if proto.Size(&wire.RunRecords{Parts: records.Parts}) > maxStoredRejections {
			records.Parts = records.Parts[:len(records.Parts)-1]
		}
	}
	for _, s := range encodeSuspects(requests, now) {
		records.Suspects = append(records.Suspects, s)
		if proto.Size(&wire.RunRecords{Suspects: records.Suspects}) > maxStoredRejections {
			records.Suspects = records.Suspects[:len(records.Suspects)-1]
		}
	}
	records.SavedUnixMs = now.UnixMilli()
}

// mergeRejections merges the rejections that a gateway saved.
func (l *eventLoop) mergeRejections(st *state, now time.Time, stored *wire.RunRecords) {
	// The clock may have been set back since.
	savedAt := now.Add(-time.Duration(min(max(0, now.UnixMilli()-stored.SavedUnixMs), maxAgeMs)) * time.Millisecond)
	st.suspects.Merge(decodeSuspects(stored.Suspects, savedAt), now)
	st.suspects.MergeParts(decodeParts(stored.Parts, savedAt), now)
	l.partsChanged(st, now, "store")
}

func (g *Gateway) loadRuns(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	rows, _, err := g.options.Store.Snapshot(callCtx, TableRuns)
	cancel()
	g.metrics.storeCalls.WithLabelValues(TableRuns.String(), storeOutcome(err)).Inc()
	if err != nil {
		g.log.Debug().Err(err).Msg("stored run records not loaded")
		return err
	}
	g.loop.post(ctx, func(st *state) {
		now := time.Now()
		loaded := 0
		for _, row := range rows {
			var stored wire.RunRecords
			if err := proto.Unmarshal(row.Value, &stored); err != nil {
				g.log.Debug().Str("key", row.Key).Err(err).Msg("row with run records cannot be decoded; ignoring it")
				continue
			}
			g.loop.mergeRejections(st, now, &stored)
			for _, r := range stored.Records {
				// A record received from a gateway since the start is newer.
				if _, _, known := st.runIndex.Get(now, r.Fingerprint); !known {
					st.runIndex.Put(now, decodeRun(r))
					loaded++
				}
			}
		}
		g.log.Info().Int("gateways", len(rows)).Int("runs", loaded).Msg("stored run records loaded")
	})
	return nil
}

func (g *Gateway) saveRuns(ctx context.Context, records *wire.RunRecords) {
	value, err := proto.Marshal(records)
	if err != nil {
		g.log.Error().Err(err).Msg("run records cannot be encoded; not saved")
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	write := Write{Table: TableRuns, Key: g.options.Settings.Name, Value: value, Unconditional: true}
	err = g.options.Store.Commit(callCtx, []Write{write})
	g.metrics.storeCalls.WithLabelValues(TableRuns.String(), storeOutcome(err)).Inc()
	if err != nil {
		g.log.Debug().Err(err).Msg("run records not saved; retrying")
		g.loop.post(ctx, func(st *state) { st.activeRunsChanged = true })
	}
}

func encodeRun(r runindex.Record) *wire.RunRecord {
	return &wire.RunRecord{Fingerprint: r.Fingerprint, Source: r.Source, Holder: r.Holder, Address: r.Address, Handle: r.Handle}
}

func decodeRun(r *wire.RunRecord) runindex.Record {
	return runindex.Record{Fingerprint: r.Fingerprint, Source: r.Source, Holder: r.Holder, Address: r.Address, Handle: r.Handle}
}

// sendRunRecords sends new run records to their replicas until ctx is canceled.
func (p *peers) sendRunRecords(ctx context.Context) {
	self := p.g.options.Settings.Name
	for sleep(ctx, runSendInterval); ctx.Err() == nil; sleep(ctx, runSendInterval) {
		batches := query(ctx, p.g.loop, func(st *state) map[string]*wire.RunRecords {
			if len(st.pendingRuns) == 0 {
				return nil
			}
			batches := map[string]*wire.RunRecords{}
			for _, r := range st.pendingRuns {
				for _, replica := range runindex.ReplicasFor(r.Fingerprint, st.liveGateways, self) {
					address, ok := st.peerAddresses[replica]
					if !ok {
						continue
					}
					if batches[address] == nil {
						batches[address] = &wire.RunRecords{}
					}
					batches[address].Records = append(batches[address].Records, encodeRun(r))
				}
			}
			st.pendingRuns = nil
			return batches
		})
		for address, batch := range batches {
			p.g.background(func() { p.sendRunBatch(ctx, address, batch) })
		}
	}
}

func (p *peers) sendRunBatch(ctx context.Context, address string, batch *wire.RunRecords) {
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	conn, err := p.conns.Conn(address)
	if err == nil {
		_, err = wire.NewGatewayClient(conn).KeepRuns(callCtx, batch, grpc.WaitForReady(false))
		p.recordContact(address, err)
	}
	if err != nil && ctx.Err() == nil {
		// The records are still on this gateway and the other replica.
		p.g.log.Debug().Str("peer", address).Int("runs", len(batch.Records)).Err(err).Msg("run records not sent to a replica; not retrying")
	}
}

// KeepRuns implements wire.GatewayServer.
func (p *peers) KeepRuns(ctx context.Context, batch *wire.RunRecords) (*wire.RunsKept, error) {
	p.g.loop.post(ctx, func(st *state) {
		now := time.Now()
		for _, r := range batch.Records {
			st.runIndex.Put(now, decodeRun(r))
		}
	})
	return &wire.RunsKept{}, ctx.Err()
}

// FindRun implements wire.GatewayServer.
func (p *peers) FindRun(ctx context.Context, request *wire.RunQuery) (*wire.RunRecords, error) {
	reply := query(ctx, p.g.loop, func(st *state) *wire.RunRecords { return st.localRun(request.Fingerprint) })
	return reply, ctx.Err()
}

// localRun returns the local record of a run, or an empty list if there is none.
func (st *state) localRun(fingerprint uint64) *wire.RunRecords {
	r, age, ok := st.runIndex.Get(time.Now(), fingerprint)
	if !ok {
		return &wire.RunRecords{}
	}
	found := encodeRun(r)
	found.AgeMs = uint32(age.Milliseconds())
	return &wire.RunRecords{Records: []*wire.RunRecord{found}}
}

// findRun looks up the earlier run of a resumed stream. It returns the target of the run and the
// copy of its KV cache, as far as they are known.
func (g *Gateway) findRun(c *clientRequest) (source string, cacheCopy *CacheCopy) {
	type runLookup struct {
		local     *wire.RunRecords
		addresses []string
	}
	found := query(c.ctx, g.loop, func(st *state) runLookup {
		starting := time.Since(g.startedAt) < startupPeriod
		return runLookup{st.localRun(c.fingerprint), st.runLookupAddresses(c.fingerprint, g.options.Settings, starting)}
	})
	local := newerRecord(found.local, nil)
	record, from := newerRecord(found.local, g.peers.queryPeersForRun(c.ctx, found.addresses, c.fingerprint)), "peer"
	if record == local {
		from = "own"
	}
	if record == nil {
		g.metrics.runLookups.WithLabelValues("unknown").Inc()
		c.log.Info().Uint64("after", c.head.LastEventID).Int("asked", len(found.addresses)).Msg("no record of the earlier run found; resuming without a KV cache copy")
		return "", nil
	}
	g.metrics.runLookups.WithLabelValues(from).Inc()
	c.log.Info().Uint64("after", c.head.LastEventID).Str("source", record.Source).Str("copy", record.Holder).
		Str("from", from).Uint32("age_ms", record.AgeMs).Msg("earlier run found")
	if record.Holder != "" {
		cacheCopy = &CacheCopy{Holder: record.Holder, Address: record.Address, Handle: record.Handle}
	}
	return record.Source, cacheCopy
}

// runLookupAddresses returns the addresses of the gateways to query for a run. A starting gateway
// may not know the live gateways yet, so it queries those listed in the store and its seeds.
func (st *state) runLookupAddresses(fingerprint uint64, self settings.Gateway, starting bool) []string {
	names, addresses := st.liveGateways, st.peerAddresses
	targets := map[string]bool{}
	if starting {
		addresses = st.listedGateways()
		names = slices.Collect(maps.Keys(addresses))
		for _, seed := range self.Seeds[:min(maxSeedsQueried, len(self.Seeds))] {
			targets[seed] = true
		}
	}
	for _, name := range runindex.Candidates(fingerprint, names, self.Name) {
		if address, ok := addresses[name]; ok {
			targets[address] = true
		}
	}
	delete(targets, self.PeerListen)
	return slices.Collect(maps.Keys(targets))
}

// newerRecord returns the newer of the record in a reply and another one, nil if both are missing.
func newerRecord(reply *wire.RunRecords, record *wire.RunRecord) *wire.RunRecord {
	if reply == nil || len(reply.Records) == 0 {
		return record
	}
	if r := reply.Records[0]; record == nil || r.AgeMs < record.AgeMs {
		return r
	}
	return record
}

// queryPeersForRun queries other gateways for a run and returns its newest record, nil for none.
func (p *peers) queryPeersForRun(ctx context.Context, addresses []string, fingerprint uint64) *wire.RunRecord {
	callCtx, cancel := context.WithTimeout(ctx, findRunTimeout)
	defer cancel()
	replies := make(chan *wire.RunRecords, len(addresses))
	for _, address := range addresses {
		p.g.background(func() {
			conn, err := p.conns.Conn(address)
			if err != nil {
				replies <- nil
				return
			}
			reply, err := wire.NewGatewayClient(conn).FindRun(callCtx, &wire.RunQuery{Fingerprint: fingerprint}, grpc.WaitForReady(false))
			if err != nil {
				p.g.log.Debug().Str("peer", address).Err(err).Msg("run lookup at peer failed")
			}
			replies <- reply
		})
	}
	var record *wire.RunRecord
	for range addresses {
		record = newerRecord(<-replies, record)
	}
	return record
}
