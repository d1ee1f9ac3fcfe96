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
	tellInterval = 50 * time.Millisecond
	// findTimeout bounds the search for a run; a lost gateway must not use up the pause that
	// users allow between two events.
	findTimeout = 120 * time.Millisecond
	// youngFor is how long after its start a gateway may not have met the others: the first
	// round of exchanges, and a second one behind the store's list.
	youngFor = 2 * time.Second
	// saveInterval is the least pause between two writes of the own runs to the store;
	// saveSpread is added for each gateway, so that they together write ten times a second
	// of the 400 that the store allows.
	saveInterval = time.Second
	saveSpread   = 100 * time.Millisecond
	// maxSavedRuns bounds the records in one row: 100 bytes each, some 50 KB.
	maxSavedRuns = 500
	// maxSeedsAsked bounds the seeds that a young gateway asks for a run.
	maxSeedsAsked = 4
)

// rememberRun records where a run and its copy are, here and at the run's homes.
func (g *Gateway) rememberRun(c *call, source string, held *CacheCopy) {
	r := runindex.Record{Fingerprint: c.fingerprint, Source: source}
	if held != nil {
		r.Holder, r.Address, r.Handle = held.Holder, held.Address, held.Handle
	}
	g.director.tell(g.ctx, func(st *state) {
		st.runs.Put(time.Now(), r)
		st.untold = append(st.untold, r)
		if len(st.ownRuns) < maxSavedRuns {
			st.ownRuns[r.Fingerprint], st.ownChanged = r, true
		}
	})
}

// endRun takes a stream that has ended out of those that this gateway relays. Its record
// stays in the index, since the client of a broken stream may return, and in the store until
// the next stream begins. A request that completed does not crash targets.
func (g *Gateway) endRun(c *call, completed bool) {
	g.director.tell(g.ctx, func(st *state) {
		delete(st.ownRuns, c.fingerprint)
		if completed {
			st.suspects.ClearIfSafe(c.fingerprint, time.Since(c.arrived), true)
		}
	})
}

// keepRuns takes in the stored records of all gateways and then stores those of this one as
// they change, until ctx ends. They outlive the loss of all gateways together.
func (g *Gateway) keepRuns(ctx context.Context) error {
	for time.Since(g.started) < youngFor && ctx.Err() == nil {
		if err := g.loadRuns(ctx); err == nil {
			break
		}
		sleep(ctx, failurePause)
	}
	for ctx.Err() == nil {
		type saved struct {
			records  *wire.RunRecords
			gateways int
		}
		next := ask(ctx, g.director, func(st *state) saved {
			return saved{st.runsToStore(), len(st.gateways)}
		})
		if next.records != nil {
			g.saveRuns(ctx, next.records)
		}
		sleep(ctx, max(saveInterval, time.Duration(next.gateways)*saveSpread))
	}
	return nil
}

// runsToStore returns the records to write, nil if none is new. A new one may have ended
// meanwhile: the store refuses an empty row.
func (st *state) runsToStore() *wire.RunRecords {
	if !st.ownChanged || len(st.ownRuns) == 0 {
		return nil
	}
	st.ownChanged = false
	records := &wire.RunRecords{}
	for _, r := range st.ownRuns {
		records.Records = append(records.Records, encodeRun(r))
	}
	return records
}

func (g *Gateway) loadRuns(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	rows, _, err := g.options.Store.Snapshot(callCtx, TableRuns)
	cancel()
	g.metrics.storeCalls.WithLabelValues(TableRuns.String(), outcome(err)).Inc()
	if err != nil {
		g.log.Debug().Err(err).Msg("stored runs not read")
		return err
	}
	g.director.tell(ctx, func(st *state) {
		now := time.Now()
		taken := 0
		for _, row := range rows {
			var stored wire.RunRecords
			if err := proto.Unmarshal(row.Value, &stored); err != nil {
				g.log.Debug().Str("key", row.Key).Err(err).Msg("stored runs cannot be read")
				continue
			}
			for _, r := range stored.Records {
				// What a gateway told since the start is newer.
				if _, _, known := st.runs.Get(now, r.Fingerprint); !known {
					st.runs.Put(now, decodeRun(r))
					taken++
				}
			}
		}
		g.log.Info().Int("gateways", len(rows)).Int("runs", taken).Msg("stored runs read")
	})
	return nil
}

func (g *Gateway) saveRuns(ctx context.Context, records *wire.RunRecords) {
	value, err := proto.Marshal(records)
	if err != nil {
		g.log.Error().Err(err).Msg("own runs cannot be encoded")
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	write := Write{Table: TableRuns, Key: g.options.Settings.Name, Value: value, Unconditional: true}
	err = g.options.Store.Commit(callCtx, []Write{write})
	g.metrics.storeCalls.WithLabelValues(TableRuns.String(), outcome(err)).Inc()
	if err != nil {
		g.log.Debug().Err(err).Msg("own runs not stored; the next change stores them")
		g.director.tell(ctx, func(st *state) { st.ownChanged = true })
	}
}

func encodeRun(r runindex.Record) *wire.RunRecord {
	return &wire.RunRecord{Fingerprint: r.Fingerprint, Source: r.Source, Holder: r.Holder, Address: r.Address, Handle: r.Handle}
}

func decodeRun(r *wire.RunRecord) runindex.Record {
	return runindex.Record{Fingerprint: r.Fingerprint, Source: r.Source, Holder: r.Holder, Address: r.Address, Handle: r.Handle}
}

// tellHomes sends new records to the homes of their runs until ctx ends.
func (p *peers) tellHomes(ctx context.Context) {
	self := p.g.options.Settings.Name
	for sleep(ctx, tellInterval); ctx.Err() == nil; sleep(ctx, tellInterval) {
		batches := ask(ctx, p.g.director, func(st *state) map[string]*wire.RunRecords {
			if len(st.untold) == 0 {
				return nil
			}
			batches := map[string]*wire.RunRecords{}
			for _, r := range st.untold {
				for _, home := range runindex.ReplicasFor(r.Fingerprint, st.gateways, self) {
					address, ok := st.addresses[home]
					if !ok {
						continue
					}
					if batches[address] == nil {
						batches[address] = &wire.RunRecords{}
					}
					batches[address].Records = append(batches[address].Records, encodeRun(r))
				}
			}
			st.untold = nil
			return batches
		})
		for address, batch := range batches {
			p.g.background(func() { p.tellHome(ctx, address, batch) })
		}
	}
}

func (p *peers) tellHome(ctx context.Context, address string, batch *wire.RunRecords) {
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
	p.g.director.tell(ctx, func(st *state) {
		now := time.Now()
		for _, r := range batch.Records {
			st.runs.Put(now, decodeRun(r))
		}
	})
	return &wire.RunsKept{}, ctx.Err()
}

// FindRun implements wire.GatewayServer.
func (p *peers) FindRun(ctx context.Context, query *wire.RunQuery) (*wire.RunRecords, error) {
	reply := ask(ctx, p.g.director, func(st *state) *wire.RunRecords { return st.localRun(query.Fingerprint) })
	return reply, ctx.Err()
}

// localRun returns the record that this gateway has of a run, or none.
func (st *state) localRun(fingerprint uint64) *wire.RunRecords {
	r, age, ok := st.runs.Get(time.Now(), fingerprint)
	if !ok {
		return &wire.RunRecords{}
	}
	found := encodeRun(r)
	found.AgeMs = uint32(age.Milliseconds())
	return &wire.RunRecords{Records: []*wire.RunRecord{found}}
}

// findRun looks for the run of an earlier attempt of a client that has some of its events.
// It returns the target that ran it and the copy of its memory, as far as they are known.
func (g *Gateway) findRun(c *call) (source string, held *CacheCopy) {
	type known struct {
		own       *wire.RunRecords
		addresses []string
	}
	k := ask(c.ctx, g.director, func(st *state) known {
		young := time.Since(g.started) < youngFor
		return known{st.localRun(c.fingerprint), st.whoKnowsRun(c.fingerprint, g.options.Settings, young)}
	})
	own := newest(k.own, nil)
	record, from := newest(k.own, g.peers.searchRun(c.ctx, k.addresses, c.fingerprint)), "peer"
	if record == own {
		from = "own"
	}
	if record == nil {
		g.metrics.runsSought.WithLabelValues("unknown").Inc()
		c.log.Info().Uint64("after", c.request.LastEventID).Int("asked", len(k.addresses)).Msg("earlier run not known")
		return "", nil
	}
	g.metrics.runsSought.WithLabelValues(from).Inc()
	c.log.Info().Uint64("after", c.request.LastEventID).Str("source", record.Source).Str("copy", record.Holder).
		Str("from", from).Uint32("age_ms", record.AgeMs).Msg("earlier run found")
	if record.Holder != "" {
		held = &CacheCopy{Holder: record.Holder, Address: record.Address, Handle: record.Handle}
	}
	return record.Source, held
}

// whoKnowsRun returns the addresses of the gateways to ask for a run. A gateway that has just
// started has not met the others: it asks those that the store lists and its seeds.
func (st *state) whoKnowsRun(fingerprint uint64, own settings.Gateway, young bool) []string {
	names, addresses := st.gateways, st.addresses
	asked := map[string]bool{}
	if young {
		addresses = st.listedGateways()
		names = slices.Collect(maps.Keys(addresses))
		for _, seed := range own.Seeds[:min(maxSeedsAsked, len(own.Seeds))] {
			asked[seed] = true
		}
	}
	for _, name := range runindex.Candidates(fingerprint, names, own.Name) {
		if address, ok := addresses[name]; ok {
			asked[address] = true
		}
	}
	delete(asked, own.PeerListen)
	return slices.Collect(maps.Keys(asked))
}

// newest returns the younger of a record and the one of a reply, nil for none.
func newest(reply *wire.RunRecords, record *wire.RunRecord) *wire.RunRecord {
	if reply == nil || len(reply.Records) == 0 {
		return record
	}
	if r := reply.Records[0]; record == nil || r.AgeMs < record.AgeMs {
		return r
	}
	return record
}

// searchRun asks other gateways for a run and returns the newest record, nil for none.
func (p *peers) searchRun(ctx context.Context, addresses []string, fingerprint uint64) *wire.RunRecord {
	callCtx, cancel := context.WithTimeout(ctx, findTimeout)
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
		record = newest(<-replies, record)
	}
	return record
}
