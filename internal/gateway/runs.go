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
	// tellInterval is the pause between two rounds of telling other gateways where runs are.
	// It is short beside the 700 ms that users allow between two events.
	runSendInterval = 50 * time.Millisecond
	// findTimeout bounds the search for a run; a lost gateway must not use up the pause that
	// users allow between two events.
	findRunTimeout = 120 * time.Millisecond
	// youngFor is how long after its start a gateway may not have met the others: the first
	// round of exchanges, and a second one behind the store's list.
	startupPeriod = 2 * time.Second
	// saveInterval is the least pause between two writes of the own runs to the store;
	// saveSpread is added for each gateway, so that they together write ten times a second
	// of the 400 that the store allows.
	saveInterval           = time.Second
	saveIntervalPerGateway = 100 * time.Millisecond
	// maxSavedRuns bounds the records in one row: 100 bytes each, some 50 KB.
	maxStoredRuns = 500
	// maxSeedsAsked bounds the seeds that a young gateway asks for a run.
	maxSeedsQueried = 4
)

// rememberRun records where a run and its copy are, here and at the run's homes.
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

// endRun takes a stream that has ended out of those that this gateway relays. Its record
// stays in the index, since the client of a broken stream may return, and in the store until
// the next stream begins. A request that completed does not crash targets.
func (g *Gateway) endRun(c *clientRequest, completed bool) {
	g.loop.post(g.ctx, func(st *state) {
		delete(st.activeRuns, c.fingerprint)
		if completed {
			st.suspects.ClearIfSafe(c.fingerprint, time.Since(c.arrived), true)
		}
	})
}

// keepRuns takes in the stored records of all gateways and then stores those of this one as
// they change, until ctx ends. They outlive the loss of all gateways together.
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
			return pendingSave{st.runsToSave(), len(st.liveGateways)}
		})
		if next.records != nil {
			g.saveRuns(ctx, next.records)
		}
		sleep(ctx, max(saveInterval, time.Duration(next.gateways)*saveIntervalPerGateway))
	}
	return nil
}

// runsToStore returns the records to write, nil if none is new. A new one may have ended
// meanwhile: the store refuses an empty row.
func (st *state) runsToSave() *wire.RunRecords {
	if !st.activeRunsChanged || len(st.activeRuns) == 0 {
		return nil
	}
	st.activeRunsChanged = false
	records := &wire.RunRecords{}
	for _, r := range st.activeRuns {
		records.Records = append(records.Records, encodeRun(r))
	}
	return records
}

func (g *Gateway) loadRuns(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	rows, _, err := g.options.Store.Snapshot(callCtx, TableRuns)
	cancel()
	g.metrics.storeCalls.WithLabelValues(TableRuns.String(), storeOutcome(err)).Inc()
	if err != nil {
		g.log.Debug().Err(err).Msg("stored runs not read")
		return err
	}
	g.loop.post(ctx, func(st *state) {
		now := time.Now()
		loaded := 0
		for _, row := range rows {
			var stored wire.RunRecords
			if err := proto.Unmarshal(row.Value, &stored); err != nil {
				g.log.Debug().Str("key", row.Key).Err(err).Msg("stored runs cannot be read")
				continue
			}
			for _, r := range stored.Records {
				// What a gateway told since the start is newer.
				if _, _, known := st.runIndex.Get(now, r.Fingerprint); !known {
					st.runIndex.Put(now, decodeRun(r))
					loaded++
				}
			}
		}
		g.log.Info().Int("gateways", len(rows)).Int("runs", loaded).Msg("stored runs read")
	})
	return nil
}

func (g *Gateway) saveRuns(ctx context.Context, records *wire.RunRecords) {
	value, err := proto.Marshal(records)
	if err != nil {
		g.log.Error().Err(err).Msg("own runs cannot be encoded")
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	write := Write{Table: TableRuns, Key: g.options.Settings.Name, Value: value, Unconditional: true}
	err = g.options.Store.Commit(callCtx, []Write{write})
	g.metrics.storeCalls.WithLabelValues(TableRuns.String(), storeOutcome(err)).Inc()
	if err != nil {
		g.log.Debug().Err(err).Msg("own runs not stored; the next change stores them")
		g.loop.post(ctx, func(st *state) { st.activeRunsChanged = true })
	}
}

func encodeRun(r runindex.Record) *wire.RunRecord {
	return &wire.RunRecord{Fingerprint: r.Fingerprint, Source: r.Source, Holder: r.Holder, Address: r.Address, Handle: r.Handle}
}

func decodeRun(r *wire.RunRecord) runindex.Record {
	return runindex.Record{Fingerprint: r.Fingerprint, Source: r.Source, Holder: r.Holder, Address: r.Address, Handle: r.Handle}
}

// tellHomes sends new records to the homes of their runs until ctx ends.
func (p *peers) sendRunRecords(ctx context.Context) {
	self := p.g.options.Settings.Name
	for sleep(ctx, runSendInterval); ctx.Err() == nil; sleep(ctx, runSendInterval) {
		batches := query(ctx, p.g.loop, func(st *state) map[string]*wire.RunRecords {
			if len(st.pendingRuns) == 0 {
				return nil
			}
			batches := map[string]*wire.RunRecords{}
			for _, r := range st.pendingRuns {
				for _, home := range runindex.ReplicasFor(r.Fingerprint, st.liveGateways, self) {
					address, ok := st.peerAddresses[home]
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
	}
	if err != nil && ctx.Err() == nil {
		// The other home and this gateway still know the runs.
		p.g.log.Debug().Str("peer", address).Int("runs", len(batch.Records)).Err(err).Msg("home of runs not told")
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

// localRun returns the record that this gateway has of a run, or none.
func (st *state) localRun(fingerprint uint64) *wire.RunRecords {
	r, age, ok := st.runIndex.Get(time.Now(), fingerprint)
	if !ok {
		return &wire.RunRecords{}
	}
	found := encodeRun(r)
	found.AgeMs = uint32(age.Milliseconds())
	return &wire.RunRecords{Records: []*wire.RunRecord{found}}
}

// findRun looks for the run of an earlier attempt of a client that has some of its events.
// It returns the target that ran it and the copy of its memory, as far as they are known.
func (g *Gateway) findRun(c *clientRequest) (source string, cacheCopy *CacheCopy) {
	type lookup struct {
		own       *wire.RunRecords
		addresses []string
	}
	found := query(c.ctx, g.loop, func(st *state) lookup {
		starting := time.Since(g.startedAt) < startupPeriod
		return lookup{st.localRun(c.fingerprint), st.runLookupAddresses(c.fingerprint, g.options.Settings, starting)}
	})
	own := newerRecord(found.own, nil)
	record, from := newerRecord(found.own, g.peers.queryPeersForRun(c.ctx, found.addresses, c.fingerprint)), "peer"
	if record == own {
		from = "own"
	}
	if record == nil {
		g.metrics.runLookups.WithLabelValues("unknown").Inc()
		c.log.Info().Uint64("after", c.head.LastEventID).Int("asked", len(found.addresses)).Msg("earlier run not known")
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

// whoKnowsRun returns the addresses of the gateways to ask for a run. A gateway that has just
// started has not met the others: it asks those that the store lists and its seeds.
func (st *state) runLookupAddresses(fingerprint uint64, own settings.Gateway, starting bool) []string {
	names, addresses := st.liveGateways, st.peerAddresses
	targets := map[string]bool{}
	if starting {
		addresses = st.listedGateways()
		names = slices.Collect(maps.Keys(addresses))
		for _, seed := range own.Seeds[:min(maxSeedsQueried, len(own.Seeds))] {
			targets[seed] = true
		}
	}
	for _, name := range runindex.Candidates(fingerprint, names, own.Name) {
		if address, ok := addresses[name]; ok {
			targets[address] = true
		}
	}
	delete(targets, own.PeerListen)
	return slices.Collect(maps.Keys(targets))
}

// newest returns the younger of a record and the one of a reply, nil for none.
func newerRecord(reply *wire.RunRecords, record *wire.RunRecord) *wire.RunRecord {
	if reply == nil || len(reply.Records) == 0 {
		return record
	}
	if r := reply.Records[0]; record == nil || r.AgeMs < record.AgeMs {
		return r
	}
	return record
}

// searchRun asks other gateways for a run and returns the newest record, nil for none.
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
				p.g.log.Debug().Str("peer", address).Err(err).Msg("gateway not asked for a run")
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
