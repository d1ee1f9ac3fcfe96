package gateway

import (
	"context"
	"errors"
	"io"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/encoding/gzip"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"bramleygap/internal/core/replica"
	"bramleygap/internal/wire"
)

const (
	// maxInlineTableBytes is the size of the rows of one table up to which an exchange carries
	// them. An exchange has a fixed timeout and goes to several gateways at a time, so its size
	// must not depend on that of the tables.
	maxInlineTableBytes = 8 << 10
	// tableChunkBytes is the size of one part of a fetched table.
	tableChunkBytes = 16 << 10
	// fetchProgressTimeout is how long a fetch may go without receiving a part. The whole fetch
	// has no limit: on a slow link, a fetch that begins again from nothing might never complete.
	fetchProgressTimeout = exchangeTimeout
	// maxServedFetches limits the fetches that a gateway serves at a time.
	maxServedFetches = 4
)

// errNoProgress ends a fetch that has received nothing for fetchProgressTimeout.
var errNoProgress = errors.New("no data received in time")

// tableSource is a gateway that has rows which the local copy of a table lacks.
type tableSource struct {
	table   Table
	address string
	after   replica.Version
}

// wantOmittedTables records which tables to fetch from the gateway at an address.
func (p *peers) wantOmittedTables(st *state, remote *wire.GatewayState, address string) {
	for _, t := range remote.Tables {
		if !t.Omitted || int(t.Table) >= numReplicatedTables {
			continue
		}
		if !st.tables[t.Table].Version().Before(copyVersion(t)) && !st.lacksDesired(t) {
			continue
		}
		st.tableSources[t.Table] = address
		select {
		case p.fetchWanted <- struct{}{}:
		default:
		}
	}
}

// nextSource returns the table to fetch next. Tables are in the order of their importance.
func (st *state) nextSource() (tableSource, bool) {
	for i, address := range st.tableSources {
		if address != "" {
			return tableSource{Table(i), address, st.tables[i].Version()}, true
		}
	}
	return tableSource{}, false
}

// fetchTables fetches tables from other gateways until ctx is canceled, one at a time, so that
// the same rows do not compete for the link.
func (p *peers) fetchTables(ctx context.Context) {
	type next struct {
		source tableSource
		ok     bool
	}
	for ctx.Err() == nil {
		n := query(ctx, p.g.loop, func(st *state) next {
			source, ok := st.nextSource()
			return next{source, ok}
		})
		if !n.ok {
			select {
			case <-p.fetchWanted:
			case <-ctx.Done():
			}
			continue
		}
		p.fetchTable(ctx, n.source)
	}
}

func (p *peers) fetchTable(ctx context.Context, source tableSource) {
	start := time.Now()
	copied, size, err := p.receiveTable(ctx, source)
	p.g.metrics.peerSeconds.WithLabelValues("fetch").Observe(time.Since(start).Seconds())
	if err != nil {
		p.g.metrics.tableFetches.WithLabelValues(source.table.String(), "failed").Inc()
		p.g.log.Info().Stringer("table", source.table).Str("peer", source.address).Int("bytes", size).Dur("took", time.Since(start)).Err(err).
			Msg("table not fetched from peer; waiting for another offer")
	} else {
		p.g.metrics.tableFetches.WithLabelValues(source.table.String(), "ok").Inc()
		p.g.log.Info().Stringer("table", source.table).Str("peer", source.address).Int("bytes", size).Dur("took", time.Since(start)).
			Uint64("after", source.after.Revision).Uint64("era", copied.Era).Uint64("revision", copied.Revision).Msg("table fetched from peer")
	}
	query(ctx, p.g.loop, func(st *state) bool {
		st.tableSources[source.table] = ""
		if err == nil {
			p.mergeTable(st, time.Now(), start, source.address, copied)
		}
		return true
	})
}

// receiveTable returns another gateway's copy of a table and its encoded size in bytes.
func (p *peers) receiveTable(ctx context.Context, source tableSource) (*wire.TableCopy, int, error) {
	conn, err := p.conns.Conn(source.address)
	if err != nil {
		return nil, 0, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(fetchProgressTimeout, func() { cancel(errNoProgress) })
	defer timer.Stop()
	request := &wire.TableQuery{Table: uint32(source.table), After: source.after.Revision, AfterEra: source.after.Era}
	stream, err := wire.NewGatewayClient(conn).FetchTable(ctx, request, grpc.UseCompressor(gzip.Name))
	if err != nil {
		return nil, 0, errors.Join(err, context.Cause(ctx))
	}
	var encoded []byte
	for {
		chunk, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, len(encoded), errors.Join(err, context.Cause(ctx))
		}
		timer.Reset(fetchProgressTimeout)
		encoded = append(encoded, chunk.Data...)
	}
	copied := &wire.TableCopy{}
	if err := proto.Unmarshal(encoded, copied); err != nil {
		return nil, len(encoded), err
	}
	return copied, len(encoded), nil
}

// FetchTable implements wire.GatewayServer.
func (p *peers) FetchTable(request *wire.TableQuery, stream grpc.ServerStreamingServer[wire.TableChunk]) error {
	if request.Table >= uint32(numReplicatedTables) {
		return status.Error(codes.InvalidArgument, "unknown table")
	}
	if p.servedFetches.Add(1) > maxServedFetches {
		p.servedFetches.Add(-1)
		return status.Error(codes.ResourceExhausted, "too many fetches at a time")
	}
	defer p.servedFetches.Add(-1)
	local := query(stream.Context(), p.g.loop, func(st *state) *wire.TableCopy {
		if !st.tables[request.Table].Loaded() {
			return nil
		}
		copied := st.describeTable(time.Now(), int(request.Table))
		st.addRows(copied, replica.Version{Era: request.AfterEra, Revision: request.After})
		st.addLostDesired(copied, 0)
		return copied
	})
	if local == nil {
		// This process has started since its predecessor offered the table.
		return status.Error(codes.Unavailable, "table not loaded")
	}
	encoded, err := proto.Marshal(local)
	if err != nil {
		return err
	}
	for len(encoded) > 0 {
		n := min(len(encoded), tableChunkBytes)
		if err := stream.Send(&wire.TableChunk{Data: encoded[:n]}); err != nil {
			return err
		}
		encoded = encoded[n:]
	}
	return nil
}
