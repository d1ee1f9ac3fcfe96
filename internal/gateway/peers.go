package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"bramleygap/internal/core/placement"
	"bramleygap/internal/core/replica"
	"bramleygap/internal/core/suspect"
	"bramleygap/internal/rpc"
	"bramleygap/internal/wire"
)

const (
	// exchangeInterval is the pause between two exchange rounds.
	exchangeInterval = 200 * time.Millisecond
	// exchangeFanout is the number of gateways contacted per round. An exchange carries state
	// in both directions, so one round covers a small installation.
	exchangeFanout = 3
	// minReaderInterval is the minimum time between two exchanges of a gateway with a reader.
	minReaderInterval = 400 * time.Millisecond
	// maxReaderRate is the maximum number of such exchanges per second with one reader. In a large
	// installation, the tables also spread through the exchanges with random gateways.
	maxReaderRate = 40
	// exchangeTimeout limits a call to another gateway.
	exchangeTimeout = 400 * time.Millisecond
	// unreachableBackoff is the delay before a gateway is contacted again after a failure.
	unreachableBackoff = 1500 * time.Millisecond
	// peerExpiry is the time since the last successful exchange after which a gateway no longer
	// counts as live, for example when the retry budget is divided.
	peerExpiry = 10 * time.Second
	// maxAgeMs is the maximum age of a confirmation sent in a message, in milliseconds.
	maxAgeMs = int64(time.Hour / time.Millisecond)
	// announceRetryInterval is the pause between attempts to register in the store.
	announceRetryInterval = 500 * time.Millisecond
)

// peers exchanges state with the other gateways.
type peers struct {
	wire.UnimplementedGatewayServer
	g           *Gateway
	conns       *rpc.Pool
	incarnation uint64
	byAddress   map[string]*peer
	// lastReaderExchange is the time of the last exchange with a reader.
	lastReaderExchange time.Time
	// fetchWanted wakes fetchTables.
	fetchWanted   chan struct{}
	servedFetches atomic.Int32
}

// peer is the connection state of another gateway. It is owned by the goroutine of peers.run.
type peer struct {
	address     string
	name        string
	lastSuccess time.Time
	lastFailure time.Time
}

func newPeers(g *Gateway) *peers {
	conns := rpc.NewPool(grpc.WithStatsHandler(rpcCounter{g.metrics.peerBytes}), grpc.WithContextDialer(countingDialer(&g.loop.traffic.peers)))
	return &peers{g: g, conns: conns, incarnation: rand.Uint64(), byAddress: map[string]*peer{}, fetchWanted: make(chan struct{}, 1)}
}

// run serves other gateways and exchanges state with them until ctx is canceled.
func (p *peers) run(ctx context.Context) error {
	address := p.g.options.Settings.PeerListen
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := rpc.NewServer(grpc.StatsHandler(rpcCounter{p.g.metrics.peerBytes}))
	wire.RegisterGatewayServer(server, p)
	p.g.background(func() {
		if err := server.Serve(&countingListener{listener, &p.g.loop.traffic.peers}); err != nil && ctx.Err() == nil {
			p.g.log.Error().Err(err).Msg("peer server failed; other gateways cannot reach this one")
		}
	})
	p.g.background(func() { p.announce(ctx) })
	p.g.background(func() { p.sendRunRecords(ctx) })
	p.g.background(func() { p.fetchTables(ctx) })
	defer p.conns.Close()
	defer server.Stop()
	for ctx.Err() == nil {
		p.refreshPeers(ctx)
		p.exchangeRound(ctx)
		sleep(ctx, exchangeInterval)
	}
	return nil
}

// announce registers the address of this gateway in the store, retrying until it succeeds.
func (p *peers) announce(ctx context.Context) {
	s := p.g.options.Settings
	value, err := proto.Marshal(&wire.GatewayState{Name: s.Name, Incarnation: p.incarnation, Address: s.PeerListen, Zone: s.Zone})
	if err != nil {
		p.g.log.Error().Err(err).Msg("gateway address cannot be encoded; gateway not registered in the store")
		return
	}
	write := Write{Table: TableGateways, Key: s.Name, Value: value, Unconditional: true}
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
		err := p.g.options.Store.Commit(callCtx, []Write{write})
		cancel()
		p.g.metrics.storeCalls.WithLabelValues(TableGateways.String(), storeOutcome(err)).Inc()
		if err == nil {
			return
		}
		p.g.log.Warn().Err(err).Msg("gateway address not written to the store; retrying")
		sleep(ctx, announceRetryInterval)
	}
}

// refreshPeers updates the set of peers from the store and the configured seeds.
func (p *peers) refreshPeers(ctx context.Context) {
	listed := query(ctx, p.g.loop, func(st *state) map[string]bool {
		listed := map[string]bool{}
		for _, address := range st.listedGateways() {
			listed[address] = true
		}
		for _, seed := range st.settings.Seeds {
			listed[seed] = true
		}
		return listed
	})
	if ctx.Err() != nil {
		return
	}
	delete(listed, p.g.options.Settings.PeerListen)
	for address := range listed {
		if p.byAddress[address] == nil {
			p.byAddress[address] = &peer{address: address}
		}
	}
	for address := range p.byAddress {
		if !listed[address] {
			p.conns.Remove(address)
			delete(p.byAddress, address)
			p.g.loop.post(ctx, func(st *state) { delete(st.suspectExchange.merged, address) })
		}
	}
}

// listedGateways returns the addresses of the gateways in the store by name. The caller must not
// change the map.
func (st *state) listedGateways() map[string]string {
	revision := st.tables[TableGateways].Revision()
	if st.listed != nil && st.listedRevision == revision {
		return st.listed
	}
	listed := map[string]string{}
	for _, row := range st.tables[TableGateways].Rows() {
		var state wire.GatewayState
		if err := proto.Unmarshal(row.Value, &state); err != nil || state.Address == "" {
			// Rows of other programs may not decode or have no address.
			continue
		}
		listed[state.Name] = state.Address
	}
	st.listed, st.listedRevision = listed, revision
	return listed
}

// exchangeRound updates the set of live gateways and exchanges state with up to exchangeFanout
// peers in parallel.
func (p *peers) exchangeRound(ctx context.Context) {
	now := time.Now()
	var due []*peer
	names := []string{p.g.options.Settings.Name}
	addresses := map[string]string{}
	for _, other := range p.byAddress {
		if now.Sub(other.lastSuccess) < peerExpiry {
			names = append(names, other.name)
			addresses[other.name] = other.address
		}
		if now.Sub(other.lastFailure) >= unreachableBackoff {
			due = append(due, other)
		}
	}
	slices.Sort(names)
	known := len(p.byAddress) + 1
	p.g.loop.post(ctx, func(st *state) {
		st.beginSuspectRound()
		st.peerAddresses = addresses
		if !slices.Equal(st.liveGateways, names) {
			st.setLiveGateways(names)
			st.fleet.SetGateways(names)
		}
		st.setGatewayCount(now, len(names), known)
	})
	due = p.choosePeers(ctx, now, due)
	type reply struct {
		peer *peer
		name string
		err  error
	}
	replies := make(chan reply, len(due))
	for _, other := range due {
		go func() {
			name, err := p.exchange(ctx, other.address)
			replies <- reply{other, name, err}
		}()
	}
	for range due {
		r := <-replies
		if r.err == nil {
			if r.peer.lastSuccess.IsZero() || r.peer.lastFailure.After(r.peer.lastSuccess) {
				p.g.log.Info().Str("peer", r.peer.address).Msg("peer is reachable")
			}
			r.peer.name = r.name
			r.peer.lastSuccess, r.peer.lastFailure = time.Now(), time.Time{}
			p.g.metrics.peerExchanges.WithLabelValues("ok").Inc()
			p.g.loop.traffic.exchanges.Add(1)
			continue
		}
		if r.peer.lastFailure.IsZero() && ctx.Err() == nil {
			p.g.log.Info().Str("peer", r.peer.address).Err(r.err).Msg("exchange with peer failed; retrying after a back-off")
		}
		r.peer.lastFailure = time.Now()
		p.g.loop.traffic.exchangeTimeouts.Add(1)
		if status.Code(r.err) == codes.DeadlineExceeded {
			// A connection with unacknowledged data recovers only at the next TCP retransmission,
			// which can be seconds after the network has recovered. A new one works at once.
			p.conns.Remove(r.peer.address)
		}
		p.g.metrics.peerExchanges.WithLabelValues("failed").Inc()
	}
}

// choosePeers returns the peers to contact in a round. They are random, except that one is
// regularly a reader, which has the newest tables.
func (p *peers) choosePeers(ctx context.Context, now time.Time, due []*peer) []*peer {
	rand.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	if len(due) <= exchangeFanout {
		return due
	}
	if now.Sub(p.lastReaderExchange) >= readerExchangeInterval(len(p.byAddress)+1) {
		readers := query(ctx, p.g.loop, func(st *state) []string { return st.readers })
		for i, other := range due {
			if slices.Contains(readers, other.name) {
				due[0], due[i] = due[i], due[0]
				p.lastReaderExchange = now
				break
			}
		}
	}
	return due[:exchangeFanout]
}

// readerExchangeInterval returns the time between two exchanges of a gateway with a reader in
// an installation of n gateways.
func readerExchangeInterval(n int) time.Duration {
	return max(minReaderInterval, time.Duration(n)*time.Second/(readerCount*maxReaderRate))
}

func (p *peers) exchange(ctx context.Context, address string) (name string, err error) {
	conn, err := p.conns.Conn(address)
	if err != nil {
		return "", err
	}
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	local := query(ctx, p.g.loop, func(st *state) *wire.GatewayState { return p.request(st, address) })
	if local == nil {
		return "", ctx.Err()
	}
	p.g.metrics.countExchange(local)
	start := time.Now()
	remote, err := wire.NewGatewayClient(conn).Exchange(callCtx, local, grpc.WaitForReady(false))
	p.g.metrics.peerSeconds.WithLabelValues("exchange").Observe(time.Since(start).Seconds())
	if err != nil {
		return "", err
	}
	p.g.loop.post(ctx, func(st *state) { p.mergeAnswer(st, remote, address, start) })
	return remote.Name, nil
}

// request returns the state to send to the gateway at an address.
func (p *peers) request(st *state, address string) *wire.GatewayState {
	msg := p.exportState(st, nil)
	st.addRecentSuspects(msg, address, time.Now())
	return msg
}

// answer merges the request of another gateway and returns the state to answer with.
func (p *peers) answer(st *state, remote *wire.GatewayState) *wire.GatewayState {
	// The request may have been delayed, so the ages of its confirmations are not usable.
	p.mergeState(st, remote, time.Time{})
	msg := p.exportState(st, remote)
	st.addMissingSuspects(msg, remote, time.Now())
	return msg
}

// mergeAnswer merges the answer of the gateway at an address to a request made at requestedAt.
func (p *peers) mergeAnswer(st *state, remote *wire.GatewayState, address string, requestedAt time.Time) {
	p.mergeState(st, remote, requestedAt)
	p.wantOmittedTables(st, remote, address)
	st.recordMergedSuspects(remote, address)
}

// Exchange implements wire.GatewayServer.
func (p *peers) Exchange(ctx context.Context, remote *wire.GatewayState) (*wire.GatewayState, error) {
	local := query(ctx, p.g.loop, func(st *state) *wire.GatewayState { return p.answer(st, remote) })
	if local == nil {
		return nil, ctx.Err()
	}
	p.g.metrics.countExchange(local)
	return local, nil
}

// exportState returns the state to send to another gateway, without suspects. requester is the state received in
// that gateway's request, nil if the state to send is itself a request.
func (p *peers) exportState(st *state, requester *wire.GatewayState) *wire.GatewayState {
	now := time.Now()
	self := p.g.options.Settings
	msg := &wire.GatewayState{
		Name: self.Name, Incarnation: p.incarnation, Address: self.PeerListen, Zone: self.Zone,
	}
	if end := p.g.stopDeadline.Load(); end != nil {
		msg.StopsInMs = uint32(max(1, end.Sub(now).Milliseconds()))
	}
	msg.PackedLoads = packLoads(st.fleet.LocalLoads(now))
	msg.Unreachable = st.outages.Targets()
	msg.LeavingTargets = st.fleet.ReportedLeaving(now)
	for id, replaces := range st.registry.Replacements() {
		msg.Met = append(msg.Met, &wire.MetTarget{Id: id, Replaces: replaces})
	}
	for _, instance := range st.fleet.GoneInstances(now) {
		msg.Gone = append(msg.Gone, &wire.GoneInstance{Id: instance.ID, StartUnixMs: instance.StartUnixMS})
	}
	st.exportRollouts(msg)
	for i := range st.tables {
		msg.Tables = append(msg.Tables, p.exportTable(st, now, i, requester))
	}
	return msg
}

// describeTable returns the revision and age of a table without rows.
func (st *state) describeTable(now time.Time, i int) *wire.TableCopy {
	out := &wire.TableCopy{Table: uint32(i), Revision: st.tables[i].Revision(), Wanted: true, Confirmed: !st.confirmedAt[i].IsZero()}
	if out.Confirmed {
		out.AgeMs = uint32(min(now.Sub(st.confirmedAt[i]).Milliseconds(), maxAgeMs))
	}
	return out
}

// addRows adds the rows that a copy at revision after lacks: all rows if after is 0 or older than
// the known changes.
func (st *state) addRows(out *wire.TableCopy, after uint64) {
	table := st.tables[out.Table]
	out.After = after
	rows, ok := table.Since(after)
	if !ok || after == 0 {
		out.Complete, rows = true, table.Rows()
	}
	for _, row := range rows {
		out.Rows = append(out.Rows, &wire.TableRow{Key: row.Key, Value: row.Value, Revision: row.Revision, Deleted: row.Deleted})
	}
}

// exportTable returns the revision and age of a table, with the rows that the requester lacks if
// they are small.
func (p *peers) exportTable(st *state, now time.Time, i int, requester *wire.GatewayState) *wire.TableCopy {
	out := st.describeTable(now, i)
	if requester == nil || !st.tables[i].Loaded() {
		return out
	}
	k := slices.IndexFunc(requester.Tables, func(c *wire.TableCopy) bool { return c.Table == uint32(i) && c.Wanted })
	if k < 0 || requester.Tables[k].Revision >= out.Revision {
		return out
	}
	st.addRows(out, requester.Tables[k].Revision)
	size := 0
	for _, row := range out.Rows {
		size += len(row.Key) + len(row.Value)
	}
	if size > maxInlineTableBytes {
		out.Rows, out.After, out.Complete, out.Omitted = nil, 0, false, true
	}
	return out
}

// mergeTable merges another gateway's copy of a table. Its confirmation also applies to the
// local copy if that is at least as new.
func (p *peers) mergeTable(st *state, now, requestedAt time.Time, source string, t *wire.TableCopy) {
	if int(t.Table) >= numReplicatedTables {
		return
	}
	table := Table(t.Table)
	rows := make([]replica.Row, 0, len(t.Rows))
	for _, row := range t.Rows {
		rows = append(rows, replica.Row{Key: row.Key, Value: row.Value, Revision: row.Revision, Deleted: row.Deleted})
	}
	local := st.tables[table]
	switch {
	case t.Complete && (!local.Loaded() || t.Revision > local.Revision()):
		p.g.loop.installSnapshot(st, now, table, rows, t.Revision, source)
	case !t.Complete && t.After > 0 && t.After == local.Revision():
		p.g.loop.applyChanges(st, now, table, rows, t.After, t.Revision)
	}
	if t.Confirmed && !requestedAt.IsZero() && local.Loaded() && local.Revision() >= t.Revision {
		p.g.loop.confirm(st, requestedAt.Add(-time.Duration(t.AgeMs)*time.Millisecond), table, source)
	}
}

// mergeState merges the state of another gateway. The ages of its confirmations are relative to
// requestedAt, when the state was requested. If requestedAt is zero, they are ignored.
func (p *peers) mergeState(st *state, remote *wire.GatewayState, requestedAt time.Time) {
	now := time.Now()
	st.fleet.SetPeerLoads(remote.Name, now, unpackLoads(remote))
	st.stopTimes[remote.Name] = time.Time{}
	if remote.StopsInMs > 0 {
		st.stopTimes[remote.Name] = now.Add(time.Duration(remote.StopsInMs) * time.Millisecond)
	}
	records := make([]suspect.Record, 0, len(remote.Suspects))
	for _, s := range remote.Suspects {
		r := suspect.Record{Fingerprint: s.Fingerprint, Expires: now.Add(time.Duration(s.ExpiresUnixMs) * time.Millisecond)}
		if s.Cleared {
			r.Cleared = s.DeathIds
		} else {
			r.Deaths = s.DeathIds
		}
		records = append(records, r)
	}
	st.suspects.Merge(records, now)
	p.mergeUnreachable(st, remote.Unreachable)
	for _, gone := range remote.Gone {
		st.fleet.ReportGone(now, placement.Instance{ID: gone.Id, StartUnixMS: gone.StartUnixMs})
	}
	for _, id := range remote.LeavingTargets {
		st.fleet.ReportLeaving(now, id)
	}
	for _, restarted := range remote.Met {
		p.g.loop.addRestartedTarget(st, restarted.Id, restarted.Replaces)
	}
	for _, t := range remote.Tables {
		p.mergeTable(st, now, requestedAt, remote.Name, t)
	}
	p.g.loop.mergeRollouts(st, remote)
}

// mergeUnreachable probes the targets that another gateway could not reach, if this gateway has
// open attempts on them. They may still be reachable from here.
func (p *peers) mergeUnreachable(st *state, ids []string) {
	for _, id := range ids {
		if st.outages.RecentlyDown(id) || len(st.attempts[id]) == 0 {
			continue
		}
		if reg, ok := st.fleet.Target(id); ok {
			p.g.loop.probe(reg)
		}
	}
}
