package gateway

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"bramleygap/internal/core/placement"
	"bramleygap/internal/core/replica"
	"bramleygap/internal/rpc"
	"bramleygap/internal/wire"
)

const (
	// followHold is how long a gateway holds an exchange of a follower until it has news of the tables.
	// It is as long as the store holds the readers' calls.
	followHold = longPollWait
	// followPause is the minimum time between an answer and a follower's next exchange, as
	// minPollInterval is for the store.
	followPause = 250 * time.Millisecond
	// noSourcePause is the pause after which a gateway without a source looks for one again.
	noSourcePause = time.Second
	// minConfirmationGain is how much newer than the follower's the confirmation of a table must be to be
	// news.
	minConfirmationGain = 300 * time.Millisecond
)

// followTables keeps the tables of a gateway in a large installation up to date until ctx is canceled:
// it exchanges state with its source, which holds the exchange until it has news. Random exchanges
// would have to be frequent to bring the store's confirmations in time.
func (p *peers) followTables(ctx context.Context) {
	failedAt := map[string]time.Time{}
	var lastInterrupt time.Time
	for ctx.Err() == nil {
		sources := query(ctx, p.g.loop, func(st *state) []string { return st.tableSourceAddresses(p.g.options.Settings.Name) })
		i := slices.IndexFunc(sources, func(address string) bool { return time.Since(failedAt[address]) >= unreachableBackoff })
		if i < 0 {
			sleep(ctx, noSourcePause)
			continue
		}
		address := sources[i]
		interrupted, err := p.follow(ctx, address)
		if interrupted {
			sleep(ctx, time.Until(lastInterrupt.Add(followPause)))
			lastInterrupt = time.Now()
			continue
		}
		p.recordContact(address, err)
		if err != nil {
			if ctx.Err() == nil {
				p.g.log.Info().Str("peer", address).Err(err).Msg("tables not received from the gateway that this one follows; following another one")
			}
			failedAt[address] = time.Now()
			if status.Code(err) == codes.DeadlineExceeded {
				// As after a failed exchange of a round: a new connection works at once.
				p.conns.Remove(address)
			}
			p.g.metrics.peerExchanges.WithLabelValues("failed").Inc()
			p.g.loop.traffic.exchangeTimeouts.Add(1)
			continue
		}
		p.g.metrics.peerExchanges.WithLabelValues("ok").Inc()
		p.g.loop.traffic.exchanges.Add(1)
		sleep(ctx, followPause)
	}
}

// follow makes one exchange with the gateway at an address, which holds it until it has news. The exchange is
// interrupted when this gateway has news of crashes itself, at most once in followPause: the next one carries
// them.
func (p *peers) follow(ctx context.Context, address string) (interrupted bool, err error) {
	news := query(ctx, p.g.loop, func(st *state) <-chan struct{} { return st.partNews })
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var own atomic.Bool
	p.g.background(func() {
		select {
		case <-news:
			own.Store(true)
			cancel()
		case <-callCtx.Done():
		}
	})
	_, err = p.exchange(callCtx, address, exchangeKind{held: true})
	return err != nil && own.Load(), err
}

// tableSourceAddresses returns the addresses of the gateways that this one may follow, the best one
// first: none if it is the first reader or if there are so few gateways that random exchanges suffice.
func (st *state) tableSourceAddresses(self string) []string {
	if placement.SharesAll(len(st.liveGateways)) {
		return nil
	}
	var addresses []string
	for _, name := range replica.Sources(st.rankedGateways, readerCount, self) {
		if address, ok := st.peerAddresses[name]; ok {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// holdExchange waits until this gateway has news of the tables for the sender of a request that arrived
// at the given time, or until the hold is over.
func (p *peers) holdExchange(ctx context.Context, remote *wire.GatewayState, arrived time.Time, hold time.Duration) {
	timer := time.NewTimer(min(hold, followHold))
	defer timer.Stop()
	for ctx.Err() == nil {
		news := query(ctx, p.g.loop, func(st *state) <-chan struct{} {
			if st.hasNews(remote, arrived) || st.hasPartNews(remote.SuspectSummary, p.incarnation) {
				return nil
			}
			return st.tableNews
		})
		if news == nil {
			return
		}
		select {
		case <-news:
		case <-timer.C:
			return
		case <-ctx.Done():
		}
	}
}

// hasNews reports whether this gateway has rows that the sender of a request that arrived at the given
// time lacks, or a much newer confirmation of a table whose confirmations are urgent.
func (st *state) hasNews(remote *wire.GatewayState, arrived time.Time) bool {
	for _, t := range remote.Tables {
		if int(t.Table) >= numReplicatedTables || !st.tables[t.Table].Loaded() {
			continue
		}
		if copyVersion(t).Before(st.tables[t.Table].Version()) || st.hasLostDesired(t, t.DesiredVersion) {
			return true
		}
		confirmed := arrived.Add(-time.Duration(t.AgeMs) * time.Millisecond)
		urgent := Table(t.Table) != TableGateways && !st.confirmedAt[t.Table].IsZero()
		if urgent && (!t.Confirmed || st.confirmedAt[t.Table].Sub(confirmed) >= minConfirmationGain) {
			return true
		}
	}
	return false
}

// hasPartNews reports whether crashes of prompt parts have changed that the sender of a request with the summary
// lacks.
func (st *state) hasPartNews(summary *wire.SuspectSummary, incarnation uint64) bool {
	if summary == nil || summary.Digest == st.suspects.Digest() {
		return false
	}
	return summary.KnownIncarnation != incarnation && st.partsChangedAt > 0 || st.partsChangedAt > summary.KnownVersion
}

// announcePartNews wakes the exchanges that are held until there is news, and interrupts the one in which this
// gateway waits for news itself.
func (st *state) announcePartNews() {
	st.announceTableNews()
	close(st.partNews)
	st.partNews = make(chan struct{})
}

// announceTableNews wakes the exchanges that are held until there is news of the tables.
func (st *state) announceTableNews() {
	close(st.tableNews)
	st.tableNews = make(chan struct{})
}

// exchangeKind says what an exchange is for.
type exchangeKind struct {
	// loads is set if both gateways send their loads.
	loads bool
	// held is set if the other gateway may hold the exchange until it has news of the tables.
	held bool
}

// callContext returns the context of an exchange.
func (k exchangeKind) callContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if k.held {
		return context.WithTimeout(rpc.WithHold(ctx, followHold), followHold+exchangeTimeout)
	}
	return context.WithTimeout(ctx, exchangeTimeout)
}

// name returns the name of a call of this kind in metrics.
func (k exchangeKind) name() string {
	if k.held {
		return "follow"
	}
	return "exchange"
}
