package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
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
	// exchangeInterval is the pause between two rounds of exchanges.
	exchangeInterval = 200 * time.Millisecond
	// exchangeFanout is the number of other gateways asked in a round. Each exchange goes
	// both ways, so that small installations are covered within a round.
	exchangeFanout = 3
	// readerInterval is the least pause between two questions to a reader of the targets'
	// table.
	minReaderInterval = 400 * time.Millisecond
	// readerLoad is the number of such questions that one reader answers in a second; in a
	// large installation the word of the others goes round by random exchanges.
	maxReaderRate = 40
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = 400 * time.Millisecond
	// unreachablePause is the pause before a gateway that did not answer is asked again.
	unreachableBackoff = 1500 * time.Millisecond
	// forgetAfter is how long a gateway may be silent before it no longer counts as one
	// that shares the retry budget.
	peerExpiry = 10 * time.Second
	// maxAgeMs bounds the age of a confirmation in a message.
	maxAgeMs = int64(time.Hour / time.Millisecond)
	// announceRetry is the pause before the own address is written to the store again.
	announceRetryInterval = 500 * time.Millisecond
)

// peers exchanges state with the other gateways.
type peers struct {
	wire.UnimplementedGatewayServer
	g           *Gateway
	conns       *rpc.Pool
	incarnation uint64
	byAddress   map[string]*peer
	// askedReader is when a reader of the targets' table was asked last.
	lastReaderExchange time.Time
}

// peer is another gateway as this one sees it. The peers task owns it.
type peer struct {
	address     string
	name        string
	lastSuccess time.Time
	lastFailure time.Time
}

func newPeers(g *Gateway) *peers {
	return &peers{g: g, conns: rpc.NewPool(), incarnation: rand.Uint64(), byAddress: map[string]*peer{}}
}

// run serves and makes exchanges until ctx ends.
func (p *peers) run(ctx context.Context) error {
	address := p.g.options.Settings.PeerListen
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := rpc.NewServer()
	wire.RegisterGatewayServer(server, p)
	p.g.background(func() {
		if err := server.Serve(listener); err != nil && ctx.Err() == nil {
			p.g.log.Error().Err(err).Msg("server for other gateways ended")
		}
	})
	p.g.background(func() { p.announce(ctx) })
	p.g.background(func() { p.sendRunRecords(ctx) })
	defer p.conns.Close()
	defer server.Stop()
	for ctx.Err() == nil {
		p.refreshPeers(ctx)
		p.exchangeRound(ctx)
		sleep(ctx, exchangeInterval)
	}
	return nil
}

// announce writes the own address to the store until it is there.
func (p *peers) announce(ctx context.Context) {
	s := p.g.options.Settings
	value, err := proto.Marshal(&wire.GatewayState{Name: s.Name, Incarnation: p.incarnation, Address: s.PeerListen, Zone: s.Zone})
	if err != nil {
		p.g.log.Error().Err(err).Msg("own address cannot be encoded")
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
		p.g.log.Warn().Err(err).Msg("own address not written yet")
		sleep(ctx, announceRetryInterval)
	}
}

// refresh takes in the gateways that the store lists and the seeds of the settings.
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
			p.conns.Forget(address)
			delete(p.byAddress, address)
		}
	}
}

// listedGateways returns the addresses of the gateways in the store by name.
func (st *state) listedGateways() map[string]string {
	listed := map[string]string{}
	for _, row := range st.tables[TableGateways].Rows() {
		var state wire.GatewayState
		if err := proto.Unmarshal(row.Value, &state); err != nil || state.Address == "" {
			// Another program's row names no gateway.
			continue
		}
		listed[state.Name] = state.Address
	}
	return listed
}

// round exchanges state with a few other gateways at once.
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
	p.g.loop.post(ctx, func(st *state) {
		st.peerAddresses = addresses
		if !slices.Equal(st.liveGateways, names) {
			st.liveGateways = names
			st.fleet.SetGateways(names)
			for _, b := range st.budgets {
				b.SetRates(p.g.loop.rates(st))
			}
		}
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
				p.g.log.Info().Str("peer", r.peer.address).Msg("other gateway answers")
			}
			r.peer.name = r.name
			r.peer.lastSuccess, r.peer.lastFailure = time.Now(), time.Time{}
			p.g.metrics.peerExchanges.WithLabelValues("ok").Inc()
			continue
		}
		if r.peer.lastFailure.IsZero() && ctx.Err() == nil {
			p.g.log.Info().Str("peer", r.peer.address).Err(r.err).Msg("other gateway does not answer")
		}
		r.peer.lastFailure = time.Now()
		if status.Code(r.err) == codes.DeadlineExceeded {
			// A connection with unanswered bytes recovers only at TCP's next retransmission,
			// seconds after the network does; a new one does so at once.
			p.conns.Forget(r.peer.address)
		}
		p.g.metrics.peerExchanges.WithLabelValues("failed").Inc()
	}
}

// choose picks the gateways to ask in a round: random ones, and now and then a reader of
// the targets' table, whose word is the newest.
func (p *peers) choosePeers(ctx context.Context, now time.Time, due []*peer) []*peer {
	rand.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	if len(due) <= exchangeFanout {
		return due
	}
	if now.Sub(p.lastReaderExchange) >= readerExchangeInterval(len(p.byAddress)+1) {
		readers := query(ctx, p.g.loop, func(st *state) []string {
			return slices.DeleteFunc(slices.Clone(st.liveGateways), func(name string) bool { return !st.isReader(TableTargets, name) })
		})
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

// readerPause is the pause between two questions of one of n gateways to a reader.
func readerExchangeInterval(n int) time.Duration {
	return max(minReaderInterval, time.Duration(n)*time.Second/(readersPerTable*maxReaderRate))
}

func (p *peers) exchange(ctx context.Context, address string) (name string, err error) {
	conn, err := p.conns.Conn(address)
	if err != nil {
		return "", err
	}
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	local := query(ctx, p.g.loop, func(st *state) *wire.GatewayState { return p.exportState(st, nil) })
	if local == nil {
		return "", ctx.Err()
	}
	start := time.Now()
	remote, err := wire.NewGatewayClient(conn).Exchange(callCtx, local, grpc.WaitForReady(false))
	if err != nil {
		return "", err
	}
	p.g.loop.post(ctx, func(st *state) { p.mergeState(st, remote, start) })
	return remote.Name, nil
}

// Exchange implements wire.GatewayServer.
func (p *peers) Exchange(ctx context.Context, remote *wire.GatewayState) (*wire.GatewayState, error) {
	local := query(ctx, p.g.loop, func(st *state) *wire.GatewayState {
		// A message may have been under way for long, so that it confirms nothing.
		p.mergeState(st, remote, time.Time{})
		return p.exportState(st, remote)
	})
	return local, ctx.Err()
}

// export returns the own state; asker is nil for a message that asks.
func (p *peers) exportState(st *state, requester *wire.GatewayState) *wire.GatewayState {
	now := time.Now()
	s := p.g.options.Settings
	m := &wire.GatewayState{
		Name: s.Name, Incarnation: p.incarnation, Address: s.PeerListen, Zone: s.Zone,
	}
	if end := p.g.stopDeadline.Load(); end != nil {
		m.StopsInMs = uint32(max(1, end.Sub(now).Milliseconds()))
	}
	for id, load := range st.fleet.LocalLoads(now) {
		m.Loads = append(m.Loads, &wire.TargetLoad{
			Target: id, BacklogMs: uint32(load.Backlog.Milliseconds()), MemoryTokens: uint32(load.Memory),
			Streams: uint32(load.Streams), Copies: uint32(load.Copies),
		})
	}
	for _, r := range st.suspects.Export(now) {
		m.Suspects = append(m.Suspects,
			&wire.SuspectCount{Fingerprint: r.Fingerprint, DeathIds: r.Deaths, ExpiresUnixMs: r.Expires.Sub(now).Milliseconds()})
		if len(r.Cleared) > 0 {
			m.Suspects = append(m.Suspects, &wire.SuspectCount{
				Fingerprint: r.Fingerprint, DeathIds: r.Cleared, ExpiresUnixMs: r.Expires.Sub(now).Milliseconds(), Cleared: true,
			})
		}
	}
	m.Unreachable = st.outages.Targets()
	m.LeavingTargets = st.fleet.ReportedLeaving(now)
	for id, replaces := range st.registry.Replacements() {
		m.Met = append(m.Met, &wire.MetTarget{Id: id, Replaces: replaces})
	}
	st.exportRollouts(m)
	for i := range st.tables {
		m.Tables = append(m.Tables, p.exportTable(st, now, i, requester))
	}
	return m
}

// exportTable tells what is held of a table, with the rows that the asking gateway lacks.
func (p *peers) exportTable(st *state, now time.Time, i int, requester *wire.GatewayState) *wire.TableCopy {
	table := st.tables[i]
	out := &wire.TableCopy{Table: uint32(i), Revision: table.Revision(), Wanted: true, Confirmed: !st.confirmedAt[i].IsZero()}
	if out.Confirmed {
		out.AgeMs = uint32(min(now.Sub(st.confirmedAt[i]).Milliseconds(), maxAgeMs))
	}
	if requester == nil || !table.Loaded() {
		return out
	}
	k := slices.IndexFunc(requester.Tables, func(c *wire.TableCopy) bool { return c.Table == uint32(i) && c.Wanted })
	if k < 0 || requester.Tables[k].Revision >= table.Revision() {
		return out
	}
	out.After = requester.Tables[k].Revision
	rows, ok := table.Since(out.After)
	if !ok || out.After == 0 {
		out.Complete, rows = true, table.Rows()
	}
	for _, row := range rows {
		out.Rows = append(out.Rows, &wire.TableRow{Key: row.Key, Value: row.Value, Revision: row.Revision, Deleted: row.Deleted})
	}
	return out
}

// mergeTable takes in another gateway's copy of a table. A confirmation holds for the own
// copy as well if that one is as new.
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

// merge takes in the state of another gateway. Asked is when it was asked for; the ages of
// its confirmations count from then, and zero leaves them out.
func (p *peers) mergeState(st *state, m *wire.GatewayState, requestedAt time.Time) {
	now := time.Now()
	loads := make(map[string]placement.PeerLoad, len(m.Loads))
	for _, l := range m.Loads {
		loads[l.Target] = placement.PeerLoad{
			Backlog: time.Duration(l.BacklogMs) * time.Millisecond, Memory: int(l.MemoryTokens),
			Streams: int(l.Streams), Copies: int(l.Copies),
		}
	}
	st.fleet.SetPeerLoads(m.Name, now, loads)
	st.stopTimes[m.Name] = time.Time{}
	if m.StopsInMs > 0 {
		st.stopTimes[m.Name] = now.Add(time.Duration(m.StopsInMs) * time.Millisecond)
	}
	records := make([]suspect.Record, 0, len(m.Suspects))
	for _, s := range m.Suspects {
		r := suspect.Record{Fingerprint: s.Fingerprint, Expires: now.Add(time.Duration(s.ExpiresUnixMs) * time.Millisecond)}
		if s.Cleared {
			r.Cleared = s.DeathIds
		} else {
			r.Deaths = s.DeathIds
		}
		records = append(records, r)
	}
	st.suspects.Merge(records, now)
	p.mergeUnreachable(st, m.Unreachable)
	for _, id := range m.LeavingTargets {
		if _, ok := st.fleet.Target(id); ok && !slices.Contains(st.fleet.ReportedLeaving(now), id) {
			st.fleet.MarkLeaving(now, id)
		}
	}
	for _, met := range m.Met {
		p.g.loop.addRestartedTarget(st, met.Id, met.Replaces)
	}
	for _, t := range m.Tables {
		p.mergeTable(st, now, requestedAt, m.Name, t)
	}
	p.g.loop.mergeRollouts(st, m)
}

// mergeDown probes targets that another gateway did not reach and that run streams of
// this one. They may be reachable from here.
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
