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
	"bramleygap/internal/rpc"
	"bramleygap/internal/wire"
)

const (
	// exchangeInterval is the pause between two exchange rounds.
	exchangeInterval = 200 * time.Millisecond
	// neighborInterval is the pause between two rounds in a large installation, each with one of
	// ringReach neighbors, whose loads are thus known well within placement's maximum age.
	neighborInterval = 300 * time.Millisecond
	// randomInterval is the minimum time between two exchanges of a gateway in a large installation with
	// random others, which spread what neither a table nor a neighbor brings.
	randomInterval = time.Second
	// exchangeFanout is the number of gateways contacted per round. An exchange carries state
	// in both directions, so one round covers a small installation.
	exchangeFanout = 3
	// minReaderInterval is the minimum time between two exchanges of a gateway with a reader.
	minReaderInterval = 400 * time.Millisecond
	// maxReaderRate is the maximum number of such exchanges per second with one reader.
	maxReaderRate = 40
	// exchangeTimeout limits a call to another gateway.
	exchangeTimeout = 400 * time.Millisecond
	// unreachableBackoff is the delay before a gateway is contacted again after a failure.
	unreachableBackoff = 1500 * time.Millisecond
	// peerExpiry is the time since the last successful exchange after which a gateway no longer
	// counts as live, for example when the retry budget is divided.
	peerExpiry = 10 * time.Second
	// maxPendingContacts bounds the results of calls to peers that wait for the next round. Further ones
	// are dropped: the next call to the same peer brings another one.
	maxPendingContacts = 64
	// maxAgeMs is the maximum age of a confirmation sent in a message, in milliseconds.
	maxAgeMs = int64(time.Hour / time.Millisecond)
	// announceRetryInterval is the pause between attempts to register in the store.
	announceRetryInterval = 500 * time.Millisecond
	// announceCheckInterval is the average pause between checks of whether the store still lists this gateway.
	announceCheckInterval = time.Second
)

// peers exchanges state with the other gateways.
type peers struct {
	wire.UnimplementedGatewayServer
	g           *Gateway
	conns       *rpc.Pool
	incarnation uint64
	byAddress   map[string]*peer
	// names holds the sorted names of this gateway and the live others as of the last round, and
	// neighbors those that this gateway exchanges loads with, nil if it does so with all.
	names, neighbors []string
	nextNeighbor     int
	// lastReaderExchange is the time of the last exchange with a reader, lastRandomExchange that of the
	// last one with a random gateway in a large installation.
	lastReaderExchange, lastRandomExchange time.Time
	// contacts holds the results of calls that other goroutines made to peers.
	contacts chan contact
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
	return &peers{g: g, conns: conns, incarnation: rand.Uint64(), byAddress: map[string]*peer{}, contacts: make(chan contact, maxPendingContacts), fetchWanted: make(chan struct{}, 1)}
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
	p.g.background(func() { p.followTables(ctx) })
	defer p.conns.Close()
	defer server.Stop()
	for ctx.Err() == nil {
		p.refreshPeers(ctx)
		p.exchangeRound(ctx)
		sleep(ctx, roundInterval(len(p.names)))
	}
	return nil
}

// announce keeps the address of this gateway in the store until ctx is canceled. It writes the row again if the store
// has come back from a copy without it.
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
		committed, err := p.g.options.Store.Commit(callCtx, []Write{write})
		cancel()
		p.g.metrics.storeCalls.WithLabelValues(TableGateways.String(), storeOutcome(err)).Inc()
		if err != nil {
			p.g.log.Warn().Err(err).Msg("gateway address not written to the store; retrying")
			sleep(ctx, announceRetryInterval)
			continue
		}
		for ctx.Err() == nil && !query(ctx, p.g.loop, func(st *state) bool { return st.lostAddress(s.Name, committed.Version) }) {
			// Gateways that find their rows lost do not write them at the same moment.
			sleep(ctx, announceCheckInterval/2+rand.N(announceCheckInterval))
		}
	}
}

// lostAddress reports whether the store has lost the address of a gateway that was written at a version.
func (st *state) lostAddress(name string, written replica.Version) bool {
	table := st.tables[TableGateways]
	_, listed := st.listedGateways()[name]
	return table.Loaded() && !table.Version().Before(written) && !listed
}

// refreshPeers updates the set of peers from the store and the configured seeds.
func (p *peers) refreshPeers(ctx context.Context) {
	listed := query(ctx, p.g.loop, func(st *state) map[string]string {
		listed := map[string]string{}
		for _, seed := range st.settings.Seeds {
			listed[seed] = ""
		}
		for name, address := range st.listedGateways() {
			listed[address] = name
		}
		return listed
	})
	if ctx.Err() != nil {
		return
	}
	delete(listed, p.g.options.Settings.PeerListen)
	for address, name := range listed {
		if p.byAddress[address] == nil {
			p.byAddress[address] = &peer{address: address}
		}
		if other := p.byAddress[address]; other.name == "" {
			other.name = name
		}
	}
	for address := range p.byAddress {
		if _, ok := listed[address]; !ok {
			p.conns.Remove(address)
			delete(p.byAddress, address)
			p.g.loop.post(ctx, func(st *state) {
				delete(st.suspectExchange.merged, address)
				delete(st.suspectExchange.sent, address)
			})
		}
	}
}

// listedGateways returns the addresses of the gateways in the store by name. The caller must not
// change the map.
func (st *state) listedGateways() map[string]string {
	version := st.tables[TableGateways].Version()
	if st.listed != nil && st.listedVersion == version {
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
	st.listed, st.listedVersion = listed, version
	return listed
}

// exchangeRound updates the set of live gateways and exchanges state with up to exchangeFanout
// peers in parallel.
func (p *peers) exchangeRound(ctx context.Context) {
	now := time.Now()
	p.applyContacts(now)
	var due []*peer
	names := []string{p.g.options.Settings.Name}
	addresses := map[string]string{}
	known := len(p.byAddress) + 1
	for _, other := range p.byAddress {
		if other.live(now, known) {
			names = append(names, other.name)
			addresses[other.name] = other.address
		}
		if now.Sub(other.lastFailure) >= unreachableBackoff {
			due = append(due, other)
		}
	}
	slices.Sort(names)
	if !slices.Equal(p.names, names) {
		p.names, p.neighbors = names, nil
		if !placement.SharesAll(len(names)) {
			p.neighbors = placement.RingNeighbors(names, p.g.options.Settings.Name)
		}
	}
	p.g.loop.post(ctx, func(st *state) {
		st.beginSuspectRound()
		st.peerAddresses = addresses
		changed := !slices.Equal(st.liveGateways, names)
		if changed {
			st.setLiveGateways(names)
			st.fleet.SetGateways(names)
		}
		if st.requeueRuns(changed) {
			p.g.loop.wakeRunSender()
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
		kind := exchangeKind{loads: p.neighbors == nil || slices.Contains(p.neighbors, other.name)}
		go func() {
			name, err := p.exchange(ctx, other.address, kind)
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

// live reports whether a gateway counts as live in an installation of the given number. Few gateways
// contact each other within peerExpiry. Many do not: of 300, each contacts 40%. There, one that the
// store lists is live unless a contact failed.
func (p *peer) live(now time.Time, gateways int) bool {
	if now.Sub(p.lastSuccess) < peerExpiry {
		return true
	}
	return !placement.SharesAll(gateways) && p.name != "" && p.lastFailure.IsZero()
}

// contact is the result of a call to a peer.
type contact struct {
	address string
	failed  bool
}

// recordContact records the result of a call to a peer for the next round. In a large installation,
// rounds alone would find a lost gateway only after minutes.
func (p *peers) recordContact(address string, err error) {
	select {
	case p.contacts <- contact{address, err != nil}:
	default:
	}
}

// applyContacts applies the results of calls to peers since the last round. In a small installation,
// the rounds themselves meet all peers.
func (p *peers) applyContacts(now time.Time) {
	small := placement.SharesAll(len(p.byAddress) + 1)
	for {
		select {
		case c := <-p.contacts:
			switch other := p.byAddress[c.address]; {
			case other == nil || small:
			case c.failed:
				other.lastFailure = now
			case other.name != "":
				other.lastSuccess, other.lastFailure = now, time.Time{}
			}
		default:
			return
		}
	}
}

// roundInterval returns the pause between two rounds in an installation of n gateways.
func roundInterval(n int) time.Duration {
	if placement.SharesAll(n) {
		return exchangeInterval
	}
	return neighborInterval
}

// choosePeers returns the peers to contact in a round. They are random, except that one is
// regularly a reader, which has the newest tables. In a large installation, it returns the next
// neighbor, and a random peer once in randomInterval.
func (p *peers) choosePeers(ctx context.Context, now time.Time, due []*peer) []*peer {
	rand.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	if len(due) <= exchangeFanout {
		return due
	}
	if p.neighbors != nil {
		return p.chooseNeighbor(now, due)
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

// chooseNeighbor returns the next neighbor that is due, and a random peer if its time has come or if
// no neighbor is due.
func (p *peers) chooseNeighbor(now time.Time, due []*peer) []*peer {
	var chosen []*peer
	for range p.neighbors {
		p.nextNeighbor = (p.nextNeighbor + 1) % len(p.neighbors)
		name := p.neighbors[p.nextNeighbor]
		if i := slices.IndexFunc(due, func(other *peer) bool { return other.name == name }); i >= 0 {
			chosen = append(chosen, due[i])
			break
		}
	}
	if len(chosen) == 0 || now.Sub(p.lastRandomExchange) >= randomInterval {
		p.lastRandomExchange = now
		if i := slices.IndexFunc(due, func(other *peer) bool { return !slices.Contains(chosen, other) }); i >= 0 {
			chosen = append(chosen, due[i])
		}
	}
	return chosen
}

func (p *peers) exchange(ctx context.Context, address string, kind exchangeKind) (name string, err error) {
	conn, err := p.conns.Conn(address)
	if err != nil {
		return "", err
	}
	local := query(ctx, p.g.loop, func(st *state) *wire.GatewayState { return p.request(st, address, kind) })
	if local == nil {
		return "", ctx.Err()
	}
	p.g.metrics.countExchange(local)
	callCtx, cancel := kind.callContext(ctx)
	defer cancel()
	start := time.Now()
	remote, err := wire.NewGatewayClient(conn).Exchange(callCtx, local, grpc.WaitForReady(false))
	p.g.metrics.peerSeconds.WithLabelValues(kind.name()).Observe(time.Since(start).Seconds())
	if err != nil {
		return "", err
	}
	p.g.loop.post(ctx, func(st *state) {
		p.receiveRetryTokens(st, time.Now(), local, remote)
		p.mergeAnswer(st, remote, address, start)
		if kind.held {
			st.recordSentSuspects(address)
		}
	})
	return remote.Name, nil
}

// request returns the state to send to the gateway at an address.
func (p *peers) request(st *state, address string, kind exchangeKind) *wire.GatewayState {
	now := time.Now()
	msg := p.exportState(st, now, nil)
	if kind.loads {
		msg.PackedLoads = packLoads(st.fleet.LocalLoads(now))
		st.exportWaiting(msg, now)
		msg.CallLoads = st.exportCallLoads()
	}
	if st.settings.Bounds.ShareRetries {
		msg.RetryTokens = st.wantedRetryTokens(now)
	}
	switch {
	case kind.held:
		st.addUnsentSuspects(msg, address, now)
	case placement.SharesAll(len(st.liveGateways)):
		st.addRecentSuspects(msg, address, now)
	default:
		// In a large installation, only a gateway and its followers exchange suspects: they meet often, so
		// that few are sent twice. A gateway of an earlier version takes the summary as a request for some.
		msg.SuspectSummary = &wire.SuspectSummary{Digest: st.suspects.Digest()}
	}
	return msg
}

// answer returns the state to answer the request of another gateway with, after it has been merged.
// The ages of confirmations are those when the request arrived.
func (p *peers) answer(st *state, remote *wire.GatewayState, arrived time.Time, kind exchangeKind) *wire.GatewayState {
	now := time.Now()
	msg := p.exportState(st, arrived, remote)
	if kind.loads {
		msg.PackedLoads = packLoads(st.fleet.LocalLoads(now))
		st.exportWaiting(msg, now)
		msg.CallLoads = st.exportCallLoads()
	}
	msg.RetryTokens = p.giveRetryTokens(st, now, remote)
	if kind.held || remote.SuspectSummary == nil || placement.SharesAll(len(st.liveGateways)) {
		st.addMissingSuspects(msg, remote, now)
	} else {
		msg.SuspectSummary = &wire.SuspectSummary{}
	}
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
	arrived := time.Now()
	// A request has loads if its answer is to have them. A gateway of an earlier version always expects them.
	kind := exchangeKind{loads: remote.PackedLoads != nil || remote.SuspectSummary == nil, held: rpc.Hold(ctx) > 0}
	// The request may have been delayed, so the ages of its confirmations are not usable.
	p.g.loop.post(ctx, func(st *state) { p.mergeState(st, remote, time.Time{}) })
	if kind.held {
		p.holdExchange(ctx, remote, arrived, rpc.Hold(ctx))
	}
	local := query(ctx, p.g.loop, func(st *state) *wire.GatewayState { return p.answer(st, remote, arrived, kind) })
	if local == nil {
		return nil, ctx.Err()
	}
	p.g.metrics.countExchange(local)
	return local, nil
}

// exportState returns the state to send to another gateway, without loads and suspects. The
// ages of confirmations are those at the given time. requester is the state received in that
// gateway's request, nil if the state to send is itself a request.
func (p *peers) exportState(st *state, at time.Time, requester *wire.GatewayState) *wire.GatewayState {
	now := time.Now()
	self := p.g.options.Settings
	msg := &wire.GatewayState{Name: self.Name, Incarnation: p.incarnation}
	if end := p.g.stopDeadline.Load(); end != nil {
		msg.StopsInMs = uint32(max(1, end.Sub(now).Milliseconds()))
	}
	msg.Unreachable = st.outages.Targets()
	msg.LeavingTargets = st.fleet.ReportedLeaving(now)
	for id, replaces := range st.registry.Replacements() {
		msg.Met = append(msg.Met, &wire.MetTarget{Id: id, Replaces: replaces})
	}
	for _, instance := range st.fleet.GoneInstances(now) {
		msg.Gone = append(msg.Gone, &wire.GoneInstance{Id: instance.ID, StartUnixMs: instance.StartUnixMS})
	}
	msg.PackedSpeeds = packSpeeds(st.fleet.ExportSpeeds(now))
	st.exportRollouts(msg)
	for i := range st.tables {
		msg.Tables = append(msg.Tables, p.exportTable(st, at, i, requester))
	}
	return msg
}

// ageMS returns an age in milliseconds, rounded up: a confirmation must not seem newer than it is. One
// that came after the time in question counts as of that time.
func ageMS(age time.Duration) uint32 {
	return uint32(min(max(0, (age+time.Millisecond-1).Milliseconds()), maxAgeMs))
}

// mergeState merges the state of another gateway. The ages of its confirmations are relative to
// requestedAt, when the state was requested. If requestedAt is zero, they are ignored.
func (p *peers) mergeState(st *state, remote *wire.GatewayState, requestedAt time.Time) {
	now := time.Now()
	if remote.PackedLoads != nil || len(remote.Loads) > 0 {
		loads := unpackLoads(remote)
		p.g.loop.ignoreInvalid(st, now, remote.Name, "backlogs", placement.DropImpossible(loads))
		st.fleet.SetPeerLoads(remote.Name, now, loads)
		p.g.loop.mergeWaiting(st, now, remote)
	}
	p.g.loop.mergeCallLoads(st, now, remote)
	st.stopTimes[remote.Name] = time.Time{}
	if remote.StopsInMs > 0 {
		st.stopTimes[remote.Name] = now.Add(time.Duration(remote.StopsInMs) * time.Millisecond)
	}
	st.suspects.Merge(decodeSuspects(remote.Suspects, now), now)
	st.suspects.MergeParts(decodeParts(remote.Parts, now), now)
	p.g.loop.suspectsChanged(st, now, remote.Name)
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
	p.g.loop.mergeSpeeds(st, now, remote)
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
