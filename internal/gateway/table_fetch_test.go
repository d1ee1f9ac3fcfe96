package gateway

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"bramleygap/internal/wire"
)

// sentChunks collects what a gateway sends of a table.
type sentChunks struct {
	grpc.ServerStreamingServer[wire.TableChunk]
	ctx    context.Context
	chunks int
}

// Context implements grpc.ServerStream.
func (s *sentChunks) Context() context.Context { return s.ctx }

// Send implements grpc.ServerStreamingServer.
func (s *sentChunks) Send(*wire.TableChunk) error {
	s.chunks++
	return nil
}

// Guards against an empty table from a gateway that has restarted since it offered the table: the
// receiver would take it for the state of the store.
func TestTableIsNotServedBeforeItIsLoaded(t *testing.T) {
	c := qt.New(t)
	options := &Options{Registerer: prometheus.NewRegistry()}
	g := &Gateway{options: options}
	g.loop = newEventLoop(options, newMetrics(options.Registerer))
	go func() { _ = g.loop.run(t.Context()) }()
	stream := &sentChunks{ctx: t.Context()}
	err := newPeers(g).FetchTable(&wire.TableQuery{Table: uint32(TableTargets)}, stream)
	c.Check(status.Code(err), qt.Equals, codes.Unavailable)
	c.Check(stream.chunks, qt.Equals, 0)
}
