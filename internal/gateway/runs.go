package gateway

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"bramleygap/internal/core/runindex"
	"bramleygap/internal/settings"
	"bramleygap/internal/wire"
)

const (
	// runSendInterval is the minimum pause between two batches of run records sent to other
	// gateways.
	runSendInterval = 10 * time.Millisecond
	// relayedRetryInterval is the pause after which a run is looked up again that seems to have its
	// client still. A gateway notices within a few ms that a client has closed its connection.
	relayedRetryInterval = 30 * time.Millisecond
	// findRunTimeout limits the lookup of a run. An unreachable gateway must not use up the time
	// allowed between two events.
	findRunTimeout = 120 * time.Millisecond
	// startupPeriod is how long after its start a gateway may not know the live gateways yet: it
	// needs an exchange round with its seeds and one with the gateways listed in the store.
	startupPeriod = 2 * time.Second
	// maxStoredRuns limits the records in a row: at about 100 bytes each, a row has up to 50 KB.
	maxStoredRuns = 500
	// maxStoredRejections limits the bytes of the rejected prompt parts and of the rejected requests in a
	// row, each. The users' rows hold 64 KiB.
	maxStoredRejections = 6 << 10
	// maxSeedsQueried limits the seeds that a gateway queries for a run during startupPeriod.
	maxSeedsQueried = 4
)

// activeRun is a run that this gateway relays.
type activeRun struct {
	record runindex.Record
	// saved is closed when the stored row, or that of another gateway, has the run.
	saved chan struct{}
	// confirmed holds the replicas that have the record, and failed is set if it could not be sent to one.
	confirmed map[string]bool
	failed    bool
}

// markSaved records that a stored row has the run.
func (r *activeRun) markSaved() {
	select {
	case <-r.saved:
	default:
		close(r.saved)
	}
}

// endedRun is a run whose client may return, also after the last event: it may not have received what was written to
// its connection. It stays in the stored row until it expires, since a client whose run were missing there could be taken
// for another one that asked for the same.
type endedRun struct {
	record runindex.Record
	until  time.Time
}

// beginRun adds the run of a resumable stream to those that are saved.
func (s *stream) beginRun() {
	if !s.req.route.Resumable || s.runBegun {
		return
	}
	s.runBegun = true
	run := &activeRun{record: s.runRecord(), saved: s.savedRun, confirmed: map[string]bool{}}
	s.g.loop.post(s.g.ctx, func(st *state) { st.activeRuns[run.record.Run], st.activeRunsChanged = run, true })
	if saver := s.g.runSaver; saver.failing.Load() {
		// The prompt is read meanwhile.
		s.g.background(func() {
			if saver.saveElsewhere(s.req.ctx, run.record, run.saved) {
				s.g.loop.post(s.g.ctx, func(*state) { run.markSaved() })
			}
		})
	}
}

// runRecord returns the record of the run without its location.
func (s *stream) runRecord() runindex.Record {
	return runindex.Record{Key: s.req.identity.Whole, Run: s.req.head.ID, Continues: s.req.continues}
}

// recordRun records which target runs a generation and where the copy of its KV cache is. The
// record is kept locally, sent to the gateways that replicate it, and saved to the store.
func (s *stream) recordRun(source string, cacheCopy *CacheCopy) {
	g, r := s.g, s.runRecord()
	r.Source = source
	if cacheCopy != nil {
		r.Holder, r.Address, r.Handle = cacheCopy.Holder, cacheCopy.Address, cacheCopy.Handle
	}
	g.loop.post(g.ctx, func(st *state) {
		run := st.activeRuns[r.Run]
		if run == nil {
			return
		}
		run.record, run.confirmed, st.activeRunsChanged = r, map[string]bool{}, true
		st.runIndex.Put(time.Now(), r)
		st.pendingRuns = append(st.pendingRuns, r)
	})
	g.loop.wakeRunSender()
}

// wakeRunSender lets sendRunRecords send the records that are pending.
func (l *eventLoop) wakeRunSender() {
	select {
	case l.runsPending <- struct{}{}:
	default:
	}
}

// endRun removes a stream that has ended from the active runs. Its record stays in the index and in the
// store, because its client may return. A completed request is no longer suspected of crashing targets.
func (g *Gateway) endRun(c *clientRequest, completed bool) {
	g.loop.post(g.ctx, func(st *state) {
		if run := st.activeRuns[c.head.ID]; run != nil {
			st.keepEndedRun(time.Now(), run.record)
		}
		delete(st.activeRuns, c.head.ID)
		if completed {
			g.loop.requestCompleted(st, time.Now(), c, time.Since(c.arrived))
		}
	})
}

// runsToSave returns the records to save, nil if there are no new ones or if there is nothing to save: the
// store rejects an empty row.
func (st *state) runsToSave(now time.Time) *wire.RunRecords {
	if !st.activeRunsChanged {
		return nil
	}
	records := &wire.RunRecords{}
	st.addRejections(records, now)
	maps.DeleteFunc(st.endedRuns, func(_ string, run endedRun) bool { return !now.Before(run.until) })
	if len(st.activeRuns)+len(st.endedRuns)+len(records.Parts)+len(records.Suspects) == 0 {
		return nil
	}
	st.activeRunsChanged = false
	for _, run := range st.activeRuns {
		if len(records.Records) == maxStoredRuns {
			break
		}
		records.Records = append(records.Records, encodeRun(run.record))
	}
	for _, run := range st.endedRuns {
		if len(records.Records) == maxStoredRuns {
			break
		}
		r := encodeRun(run.record)
		r.AgeMs = uint32(max(0, now.Sub(run.until.Add(-runindex.Lifetime)).Milliseconds()))
		records.Records = append(records.Records, r)
	}
	return records
}

// keepEndedRun keeps a run that has ended in the stored row. at is when it was last known to be active. If there are too
// many, the oldest is dropped.
func (st *state) keepEndedRun(at time.Time, record runindex.Record) {
	st.endedRuns[record.Run] = endedRun{record, at.Add(runindex.Lifetime)}
	if len(st.endedRuns) > maxStoredRuns {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(st.endedRuns)), func(a, b string) int {
			return st.endedRuns[a].until.Compare(st.endedRuns[b].until)
		})
		delete(st.endedRuns, oldest)
		st.runDroppedAt = time.Now()
	}
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
	l.suspectsChanged(st, now, "store")
}

func encodeRun(r runindex.Record) *wire.RunRecord {
	return &wire.RunRecord{
		Fingerprint: r.Key, Run: r.Run, Continues: r.Continues, Source: r.Source, Holder: r.Holder, Address: r.Address, Handle: r.Handle,
	}
}

// decodeRun decodes a record. It returns false for one of an earlier version, which does not say which run
// it belongs to.
func decodeRun(r *wire.RunRecord) (runindex.Record, bool) {
	return runindex.Record{
		Key: r.Fingerprint, Run: r.Run, Continues: r.Continues, Source: r.Source, Holder: r.Holder, Address: r.Address, Handle: r.Handle,
	}, r.Run != ""
}

// runBatch holds the run records for one gateway.
type runBatch struct {
	name    string
	records []*wire.RunRecord
}

// replicaGateways returns the names among which replicas are chosen, and their addresses. A starting gateway also uses
// those listed in the store: it would otherwise keep the records of its first runs to itself.
func (st *state) replicaGateways(starting bool) (names []string, addresses map[string]string) {
	if !starting {
		return st.liveGateways, st.peerAddresses
	}
	addresses = maps.Clone(st.listedGateways())
	maps.Copy(addresses, st.peerAddresses)
	return slices.Collect(maps.Keys(addresses)), addresses
}

// requeueRuns queues the records of the active runs that a replica has not confirmed: sending to it failed, or it has
// become one since, as a gateway that has come back. With all set, every active run is examined, otherwise those that
// were not sent. It reports whether there are any.
func (st *state) requeueRuns(all bool) bool {
	for _, run := range st.activeRuns {
		if !all && !run.failed {
			continue
		}
		replicas := runindex.ReplicasFor(run.record.Key, st.liveGateways, st.settings.Name)
		maps.DeleteFunc(run.confirmed, func(name string, _ bool) bool { return !slices.Contains(replicas, name) })
		if len(run.confirmed) < len(replicas) {
			st.pendingRuns = append(st.pendingRuns, run.record)
		}
		run.failed = false
	}
	return len(st.pendingRuns) > 0
}

// recordReplica records that a replica has got the records of a batch, or that sending them failed.
func (st *state) recordReplica(batch *runBatch, sent bool) {
	for _, r := range batch.records {
		run := st.activeRuns[r.Run]
		if current, _ := decodeRun(r); run == nil || run.record != current {
			// The run has ended, or its record has changed since and is sent again.
			continue
		}
		if sent {
			run.confirmed[batch.name] = true
		} else {
			run.failed = true
		}
	}
}

// sendRunRecords sends new run records to their replicas until ctx is canceled.
func (p *peers) sendRunRecords(ctx context.Context) {
	self := p.g.options.Settings.Name
	for ; ctx.Err() == nil; sleep(ctx, runSendInterval) {
		select {
		case <-p.g.loop.runsPending:
		case <-ctx.Done():
			return
		}
		batches := query(ctx, p.g.loop, func(st *state) map[string]*runBatch {
			batches := map[string]*runBatch{}
			names, addresses := st.replicaGateways(time.Since(p.g.startedAt) < startupPeriod)
			for _, r := range st.pendingRuns {
				for _, replica := range runindex.ReplicasFor(r.Key, names, self) {
					address, ok := addresses[replica]
					if !ok {
						continue
					}
					if batches[address] == nil {
						batches[address] = &runBatch{name: replica}
					}
					b := batches[address]
					b.records = append(b.records, encodeRun(r))
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

func (p *peers) sendRunBatch(ctx context.Context, address string, batch *runBatch) {
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	conn, err := p.conns.Conn(address)
	if err == nil {
		_, err = wire.NewGatewayClient(conn).KeepRuns(callCtx, &wire.RunRecords{Records: batch.records}, grpc.WaitForReady(false))
		p.recordContact(address, err)
	}
	p.g.loop.post(ctx, func(st *state) { st.recordReplica(batch, err == nil) })
	if err != nil && ctx.Err() == nil {
		// Until a retry succeeds, the records are on this gateway and the other replica.
		p.g.log.Debug().Str("peer", address).Int("runs", len(batch.records)).Err(err).Msg("run records not sent to a replica; retrying while the runs last")
	}
}

// KeepRuns implements wire.GatewayServer.
func (p *peers) KeepRuns(ctx context.Context, batch *wire.RunRecords) (*wire.RunsKept, error) {
	var runs []runindex.Record
	for _, r := range batch.Records {
		if run, ok := decodeRun(r); ok {
			runs = append(runs, run)
		}
	}
	// The sender may be lost meanwhile, which is when the records are needed.
	p.g.loop.post(p.g.ctx, func(st *state) {
		now := time.Now()
		for _, run := range runs {
			st.runIndex.Put(now, run)
		}
	})
	if batch.Save && !p.g.runSaver.saveForOther(ctx, runs) && !(batch.Keep && p.g.runSaver.mayKeep()) {
		return nil, status.Error(codes.Unavailable, "run records not saved")
	}
	return &wire.RunsKept{}, ctx.Err()
}

// FindRun implements wire.GatewayServer.
func (p *peers) FindRun(ctx context.Context, request *wire.RunQuery) (*wire.RunRecords, error) {
	reply := query(ctx, p.g.loop, func(st *state) *wire.RunRecords { return encodeRuns(st.localRuns(request.Fingerprint)) })
	return reply, ctx.Err()
}

func encodeRuns(runs []runindex.Found) *wire.RunRecords {
	reply := &wire.RunRecords{Incomplete: true}
	for _, f := range runs {
		r := encodeRun(f.Record)
		r.AgeMs, r.Relayed = uint32(f.Age.Milliseconds()), f.Relayed
		reply.Records = append(reply.Records, r)
	}
	return reply
}

func decodeRuns(reply *wire.RunRecords) []runindex.Found {
	var runs []runindex.Found
	for _, r := range reply.Records {
		if run, ok := decodeRun(r); ok {
			runs = append(runs, runindex.Found{Record: run, Age: time.Duration(r.AgeMs) * time.Millisecond, Relayed: r.Relayed})
		}
	}
	return runs
}

// localRuns returns what this gateway knows of the runs of a key.
func (st *state) localRuns(key uint64) []runindex.Found {
	runs := st.runIndex.Get(time.Now(), key)
	for i := range runs {
		_, runs[i].Relayed = st.activeRuns[runs[i].Run]
	}
	return runs
}

// foundRuns is the result of a lookup of the runs that a returning client may mean.
type foundRuns struct {
	// known holds the runs that any gateway knows, and complete is set if no other one can be meant.
	known    []runindex.Found
	complete bool
	// lacking holds the gateways of which runs may be missing.
	lacking []string
}

// sole returns the run that the client means, and the outcome of the lookup as a metric label.
func (f *foundRuns) sole() (runindex.Found, string) {
	run, ok := runindex.Sole(f.known)
	switch {
	case len(f.known) == 0:
		return run, "unknown"
	case !ok:
		return run, "ambiguous"
	case run.Relayed:
		return run, "relayed"
	case !f.complete:
		return run, "incomplete"
	}
	return run, "found"
}

// findRun looks up the earlier run of a resumed stream. It returns the target of the run and the
// copy of its KV cache, as far as they are known. The copy is returned only if the rows in the store prove that the run
// is that of this client: others may have asked for the same.
func (g *Gateway) findRun(c *clientRequest) (source string, cacheCopy *CacheCopy) {
	found := g.lookUpRuns(c)
	run, outcome := found.sole()
	if outcome == "relayed" {
		// The gateway of the earlier request may not have noticed yet that its client has left.
		sleep(c.ctx, relayedRetryInterval)
		found = g.lookUpRuns(c)
		run, outcome = found.sole()
	}
	g.metrics.runLookups.WithLabelValues(outcome).Inc()
	event := c.log.Info().Str("outcome", outcome).Uint64("after", c.head.LastEventID).Int("runs", len(found.known)).Bool("complete", found.complete).Strs("lacking", found.lacking)
	if outcome != "found" {
		if len(found.known) > 0 {
			// The prompt is the same, whoever asked: the target may have it cached.
			source = slices.MinFunc(found.known, func(a, b runindex.Found) int { return cmp.Compare(a.Age, b.Age) }).Source
		}
		event.Str("source", source).Msg("the earlier run is not certain; resuming without a KV cache copy")
		return source, nil
	}
	event.Str("run", run.Run).Str("source", run.Source).Str("copy", run.Holder).Dur("age", run.Age).Msg("earlier run found")
	c.continues = run.Run
	if run.Holder != "" && !g.ofAnotherService(c, run.Holder) {
		cacheCopy = &CacheCopy{Run: run.Run, Holder: run.Holder, Address: run.Address, Handle: run.Handle}
	}
	return run.Source, cacheCopy
}

// provenCopy returns the copy if it belongs to the request's own run or to the run that findRun has proven to be that of
// its client, otherwise nil. Every request that names a copy passes here.
func (c *clientRequest) provenCopy(cacheCopy *CacheCopy) *CacheCopy {
	if cacheCopy == nil || cacheCopy.Run == c.head.ID || c.continues != "" && cacheCopy.Run == c.continues {
		return cacheCopy
	}
	c.log.Error().Str("run", cacheCopy.Run).Str("copy", cacheCopy.Holder).Msg("KV cache copy is not proven to belong to the request; not used")
	return nil
}

// ofAnotherService reports whether a target belongs to another service than the request's route: the desired state may
// have changed since the earlier run.
func (g *Gateway) ofAnotherService(c *clientRequest, target string) bool {
	service := query(c.ctx, g.loop, func(st *state) string {
		reg, _ := st.fleet.Target(target)
		return reg.Service
	})
	if service == "" || service == c.service {
		return false
	}
	c.log.Info().Str("copy", target).Str("copy_service", service).Str("service", c.service).
		Msg("the route has changed to another service since the earlier run; resuming without its KV cache copy")
	return true
}

// lookUpRuns asks this gateway and others for the runs that a client may mean which resumes a stream, and reads the rows
// of all gateways from the store. The answers of the others say where the copies are now.
func (g *Gateway) lookUpRuns(c *clientRequest) foundRuns {
	type runLookup struct {
		local     []runindex.Found
		gateways  []string
		addresses map[string]string
	}
	lookup := query(c.ctx, g.loop, func(st *state) runLookup {
		starting := time.Since(g.startedAt) < startupPeriod
		return runLookup{st.localRuns(c.identity.Whole), st.gatewaysWithRuns(), st.runLookupAddresses(c.identity.Whole, g.options.Settings, starting)}
	})
	ledger := make(chan *runindex.Ledger, 1)
	g.background(func() { ledger <- g.readLedger(c, time.Now(), len(lookup.gateways)) })
	lists := [][]runindex.Found{lookup.local}
	for _, reply := range g.peers.queryPeersForRuns(c.ctx, lookup.addresses, c.identity.Whole) {
		lists = append(lists, reply)
	}
	rows := <-ledger
	lists = append(lists, rows.Get(c.identity.Whole))
	lacking := rows.Lacking(lookup.gateways)
	return foundRuns{known: runindex.Merge(lists...), complete: len(lacking) == 0, lacking: lacking}
}

// gatewaysWithRuns returns the gateways that may relay runs: those that the store lists, those that have exchanged state
// with this one, and this one.
func (st *state) gatewaysWithRuns() []string {
	names := append(st.knownGateways(), slices.Collect(maps.Keys(st.stopTimes))...)
	slices.Sort(names)
	return slices.Compact(names)
}

// runLookupAddresses returns the addresses of the gateways to query for the runs of a key. A starting gateway may not
// know the live gateways yet, so it queries those listed in the store and its seeds.
func (st *state) runLookupAddresses(key uint64, self settings.Gateway, starting bool) map[string]string {
	names, addresses := st.liveGateways, st.peerAddresses
	targets := map[string]string{}
	if starting {
		addresses = st.listedGateways()
		names = slices.Collect(maps.Keys(addresses))
		for _, seed := range self.Seeds[:min(maxSeedsQueried, len(self.Seeds))] {
			targets[seed] = ""
		}
	}
	for _, name := range runindex.Candidates(key, names, self.Name) {
		if address, ok := addresses[name]; ok {
			targets[address] = name
		}
	}
	delete(targets, self.PeerListen)
	return targets
}

// queryPeersForRuns queries other gateways for the runs of a key and returns the replies by address.
func (p *peers) queryPeersForRuns(ctx context.Context, addresses map[string]string, key uint64) map[string][]runindex.Found {
	callCtx, cancel := context.WithTimeout(ctx, findRunTimeout)
	defer cancel()
	type reply struct {
		address string
		records *wire.RunRecords
	}
	replies := make(chan reply, len(addresses))
	for address := range addresses {
		p.g.background(func() {
			conn, err := p.conns.Conn(address)
			if err != nil {
				replies <- reply{address, nil}
				return
			}
			records, err := wire.NewGatewayClient(conn).FindRun(callCtx, &wire.RunQuery{Fingerprint: key}, grpc.WaitForReady(false))
			if err != nil {
				p.g.log.Debug().Str("peer", address).Err(err).Msg("run lookup at peer failed")
				records = nil
			}
			replies <- reply{address, records}
		})
	}
	known := map[string][]runindex.Found{}
	for range addresses {
		if r := <-replies; r.records != nil {
			known[r.address] = decodeRuns(r.records)
		}
	}
	return known
}
