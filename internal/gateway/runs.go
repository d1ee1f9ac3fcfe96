package gateway

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"bramleygap/internal/core/runindex"
	"bramleygap/internal/settings"
	"bramleygap/internal/wire"
)

const (
	// runSendInterval is the minimum pause between two batches of run records sent to other
	// gateways. The first event of a stream waits for its record.
	runSendInterval = 10 * time.Millisecond
	// registrationTimeout limits how long the first event of a stream waits for its run record to reach
	// another gateway. An event is late after 120 ms.
	registrationTimeout = 60 * time.Millisecond
	// relayedRetryInterval is the pause after which a run is looked up again that seems to have its
	// client still. A gateway notices within a few ms that a client has closed its connection.
	relayedRetryInterval = 30 * time.Millisecond
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

// activeRun is a run that this gateway relays.
type activeRun struct {
	record runindex.Record
	// delivered is the number of the last event that the client has been sent.
	delivered *atomic.Uint64
	// registered is called when a replica has the record, confirmed holds the replicas that have it, and failed is set
	// if it could not be sent to one.
	registered func()
	confirmed  map[string]bool
	failed     bool
}

// endedRun is a run whose client may return. It stays in the stored row, which is saved with the next new run, until it
// expires: otherwise a client whose
// gateway and replicas restart within seconds would find only the record of another client's equal request.
type endedRun struct {
	record runindex.Record
	until  time.Time
}

// pendingRun is a run record to be sent to its replicas.
type pendingRun struct {
	record runindex.Record
	// registered is called when a replica has the record.
	registered func()
}

// recordRun records which target runs a generation and where the copy of its KV cache is. The
// record is kept locally, sent to the gateways that replicate it, and saved to the store.
func (s *stream) recordRun(source string, cacheCopy *CacheCopy) {
	c, g := s.req, s.g
	r := runindex.Record{Key: c.identity.Whole, Run: c.head.ID, Continues: c.continues, Source: source}
	if cacheCopy != nil {
		r.Holder, r.Address, r.Handle = cacheCopy.Holder, cacheCopy.Address, cacheCopy.Handle
	}
	g.loop.post(g.ctx, func(st *state) {
		st.runIndex.Put(time.Now(), r)
		st.pendingRuns = append(st.pendingRuns, pendingRun{r, s.registration.complete})
		st.activeRuns[r.Run], st.activeRunsChanged = &activeRun{record: r, delivered: &s.delivered, registered: s.registration.complete, confirmed: map[string]bool{}}, true
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

// registration is completed when another gateway has the record of a run.
type registration struct {
	done chan struct{}
	once sync.Once
}

func newRegistration() *registration { return &registration{done: make(chan struct{})} }

func (r *registration) complete() { r.once.Do(func() { close(r.done) }) }

// awaitRegistration waits a limited time until another gateway has the record of the run. A client that has
// received an event may resume the stream: if its gateway alone knew the run, another gateway could take
// the run of a client that asked for the same for this one.
func (s *stream) awaitRegistration() {
	ctx, cancel := context.WithTimeout(s.req.ctx, registrationTimeout)
	defer cancel()
	select {
	case <-s.registration.done:
	case <-ctx.Done():
		s.req.log.Info().Msg("no other gateway has confirmed the run record; sending the first event without")
	}
}

// endRun removes a stream that has ended from the active runs. Its record stays in the index,
// because the client of a broken stream may resume it, and in the store until the next save,
// which only a new run triggers. A completed request is no longer suspected of crashing targets.
func (g *Gateway) endRun(c *clientRequest, completed bool) {
	g.loop.post(g.ctx, func(st *state) {
		if run := st.activeRuns[c.head.ID]; run != nil && !completed {
			record := run.record
			record.Delivered = run.delivered.Load()
			st.keepEndedRun(time.Now(), record)
		}
		delete(st.activeRuns, c.head.ID)
		if completed {
			st.suspects.Completed(c.identity, time.Since(c.arrived))
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
	maps.DeleteFunc(st.endedRuns, func(_ string, run endedRun) bool { return !now.Before(run.until) })
	if len(st.activeRuns)+len(st.endedRuns)+len(records.Parts)+len(records.Suspects) == 0 {
		return nil
	}
	st.activeRunsChanged = false
	for _, run := range st.activeRuns {
		if len(records.Records) == maxStoredRuns {
			break
		}
		r := encodeRun(run.record)
		r.Delivered = run.delivered.Load()
		records.Records = append(records.Records, r)
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

// keepEndedRun keeps a run that has ended without its client having the whole answer in the stored row.
// at is when it was last known to be active. If there are too many, the oldest is dropped.
func (st *state) keepEndedRun(at time.Time, record runindex.Record) {
	st.endedRuns[record.Run] = endedRun{record, at.Add(runindex.Lifetime)}
	if len(st.endedRuns) > maxStoredRuns {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(st.endedRuns)), func(a, b string) int {
			return st.endedRuns[a].until.Compare(st.endedRuns[b].until)
		})
		delete(st.endedRuns, oldest)
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
				if run, ok := decodeRun(r); ok && !st.runIndex.Has(now, run) {
					st.runIndex.Put(now, run)
					loaded++
				}
				if run, ok := decodeRun(r); ok && row.Key == g.options.Settings.Name {
					// The clock may have been set back since.
					age := min(max(0, now.UnixMilli()-stored.SavedUnixMs), maxAgeMs) + int64(r.AgeMs)
					st.keepEndedRun(now.Add(-time.Duration(age)*time.Millisecond), run)
				}
			}
		}
		st.runsLoaded = true
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
	return &wire.RunRecord{
		Fingerprint: r.Key, Run: r.Run, Continues: r.Continues, Source: r.Source, Holder: r.Holder, Address: r.Address, Handle: r.Handle,
		Delivered: r.Delivered,
	}
}

// decodeRun decodes a record. It returns false for one of an earlier version, which does not say which run
// it belongs to.
func decodeRun(r *wire.RunRecord) (runindex.Record, bool) {
	return runindex.Record{
		Key: r.Fingerprint, Run: r.Run, Continues: r.Continues, Source: r.Source, Holder: r.Holder, Address: r.Address, Handle: r.Handle,
		Delivered: r.Delivered,
	}, r.Run != ""
}

// runBatch holds the run records for one gateway.
type runBatch struct {
	name       string
	records    []*wire.RunRecord
	registered []func()
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
		if len(replicas) == 0 && run.failed {
			// Those to which a starting gateway has sent it are gone.
			run.registered()
		}
		if len(run.confirmed) < len(replicas) {
			st.pendingRuns = append(st.pendingRuns, pendingRun{run.record, run.registered})
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
				replicas := runindex.ReplicasFor(r.record.Key, names, self)
				if len(replicas) == 0 {
					r.registered()
				}
				for _, replica := range replicas {
					address, ok := addresses[replica]
					if !ok {
						continue
					}
					if batches[address] == nil {
						batches[address] = &runBatch{name: replica}
					}
					b := batches[address]
					b.records, b.registered = append(b.records, encodeRun(r.record)), append(b.registered, r.registered)
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
	if err == nil {
		for _, registered := range batch.registered {
			registered()
		}
	}
	p.g.loop.post(ctx, func(st *state) { st.recordReplica(batch, err == nil) })
	if err != nil && ctx.Err() == nil {
		// Until a retry succeeds, the records are on this gateway and the other replica.
		p.g.log.Debug().Str("peer", address).Int("runs", len(batch.records)).Err(err).Msg("run records not sent to a replica; retrying while the runs last")
	}
}

// KeepRuns implements wire.GatewayServer.
func (p *peers) KeepRuns(ctx context.Context, batch *wire.RunRecords) (*wire.RunsKept, error) {
	// The sender may be lost meanwhile, which is when the records are needed.
	p.g.loop.post(p.g.ctx, func(st *state) {
		now := time.Now()
		for _, r := range batch.Records {
			if run, ok := decodeRun(r); ok {
				st.runIndex.Put(now, run)
			}
		}
	})
	return &wire.RunsKept{}, ctx.Err()
}

// FindRun implements wire.GatewayServer.
func (p *peers) FindRun(ctx context.Context, request *wire.RunQuery) (*wire.RunRecords, error) {
	reply := query(ctx, p.g.loop, func(st *state) *wire.RunRecords { return encodeRuns(st.localRuns(request.Fingerprint)) })
	return reply, ctx.Err()
}

// knownRuns is what one or more gateways know of the runs of a key.
type knownRuns struct {
	runs []runindex.Found
	// complete is set if records of other runs of the key are not missing.
	complete bool
}

func encodeRuns(known knownRuns) *wire.RunRecords {
	reply := &wire.RunRecords{Incomplete: !known.complete}
	for _, f := range known.runs {
		r := encodeRun(f.Record)
		r.AgeMs, r.Relayed = uint32(f.Age.Milliseconds()), f.Relayed
		reply.Records = append(reply.Records, r)
	}
	return reply
}

func decodeRuns(reply *wire.RunRecords) knownRuns {
	known := knownRuns{complete: !reply.Incomplete}
	for _, r := range reply.Records {
		run, ok := decodeRun(r)
		if !ok {
			// A gateway of an earlier version has replicated the record of some run without its ID.
			known.complete = false
			continue
		}
		known.runs = append(known.runs, runindex.Found{Record: run, Age: time.Duration(r.AgeMs) * time.Millisecond, Relayed: r.Relayed})
	}
	return known
}

// localRuns returns what this gateway knows of the runs of a key. A gateway that has started lately lacks what
// it was sent before, unless it has loaded the stored records.
func (st *state) localRuns(key uint64) knownRuns {
	now := time.Now()
	known := knownRuns{runs: st.runIndex.Get(now, key), complete: st.runIndex.Complete(now) && (st.runsLoaded || now.Sub(st.startedAt) > runindex.Lifetime)}
	for i := range known.runs {
		_, known.runs[i].Relayed = st.activeRuns[known.runs[i].Run]
	}
	return known
}

// findRun looks up the earlier run of a resumed stream. It returns the target of the run and the
// copy of its KV cache, as far as they are known. The copy is returned only if it is certain that the run is
// that of this client: others may have asked for the same.
func (g *Gateway) findRun(c *clientRequest) (source string, cacheCopy *CacheCopy) {
	known, sole, found := g.lookUpRun(c)
	if found && sole.Relayed {
		// The gateway of the earlier request may not have noticed yet that its client has left.
		sleep(c.ctx, relayedRetryInterval)
		known, sole, found = g.lookUpRun(c)
	}
	outcome := "found"
	switch {
	case len(known.runs) == 0:
		outcome = "unknown"
	case !found:
		outcome = "ambiguous"
	case sole.Relayed:
		outcome = "relayed"
	case !known.complete:
		outcome = "incomplete"
	}
	g.metrics.runLookups.WithLabelValues(outcome).Inc()
	event := c.log.Info().Str("outcome", outcome).Uint64("after", c.head.LastEventID).Int("runs", len(known.runs)).Bool("complete", known.complete)
	if outcome != "found" {
		if len(known.runs) > 0 {
			// The prompt is the same, whoever asked: the target may have it cached.
			source = slices.MinFunc(known.runs, func(a, b runindex.Found) int { return cmp.Compare(a.Age, b.Age) }).Source
		}
		event.Str("source", source).Msg("the earlier run is not certain; resuming without a KV cache copy")
		return source, nil
	}
	event.Str("run", sole.Run).Str("source", sole.Source).Str("copy", sole.Holder).Dur("age", sole.Age).Msg("earlier run found")
	c.continues = sole.Run
	if sole.Holder != "" && !g.ofAnotherService(c, sole.Holder) {
		cacheCopy = &CacheCopy{Holder: sole.Holder, Address: sole.Address, Handle: sole.Handle}
	}
	return sole.Source, cacheCopy
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

// lookUpRun asks this gateway and others for the runs that a client may mean which resumes a stream, and
// returns the only one of them, if there is one.
func (g *Gateway) lookUpRun(c *clientRequest) (known knownRuns, sole runindex.Found, found bool) {
	type runLookup struct {
		local knownRuns
		runLookupTargets
	}
	lookup := query(c.ctx, g.loop, func(st *state) runLookup {
		starting := time.Since(g.startedAt) < startupPeriod
		return runLookup{st.localRuns(c.identity.Whole), st.runLookupTargets(c.identity.Whole, g.options.Settings, starting)}
	})
	answered := map[string]bool{g.options.Settings.Name: lookup.local.complete}
	lists := [][]runindex.Found{lookup.local.runs}
	for address, reply := range g.peers.queryPeersForRuns(c.ctx, lookup.addresses, c.identity.Whole) {
		lists = append(lists, reply.runs)
		if name := lookup.addresses[address]; name != "" {
			answered[name] = reply.complete
		}
	}
	known = knownRuns{runs: runindex.Merge(lists...), complete: runindex.Covers(c.identity.Whole, lookup.names, answered)}
	sole, found = runindex.Sole(known.runs, c.head.LastEventID)
	return known, sole, found
}

// runLookupTargets is where the runs of a key are looked up.
type runLookupTargets struct {
	// names holds the gateways that may replicate records, including this one.
	names []string
	// addresses maps the addresses of the gateways to ask to their names, empty if unknown.
	addresses map[string]string
}

// runLookupTargets returns the gateways to query for the runs of a key. A starting gateway may not know the
// live gateways yet, so it queries those listed in the store and its seeds.
func (st *state) runLookupTargets(key uint64, self settings.Gateway, starting bool) runLookupTargets {
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
	if !slices.Contains(names, self.Name) {
		names = append(slices.Clone(names), self.Name)
	}
	return runLookupTargets{names: names, addresses: targets}
}

// queryPeersForRuns queries other gateways for the runs of a key and returns the replies by address.
func (p *peers) queryPeersForRuns(ctx context.Context, addresses map[string]string, key uint64) map[string]knownRuns {
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
	known := map[string]knownRuns{}
	for range addresses {
		if r := <-replies; r.records != nil {
			known[r.address] = decodeRuns(r.records)
		}
	}
	return known
}
