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

// startPeers returns the exchange task of a gateway whose event loop runs, without sockets.
func startPeers(t *testing.T, name string) *peers {
	options := &Options{Registerer: prometheus.NewRegistry()}
	options.Settings.Name = name
	g := &Gateway{options: options, metrics: newMetrics(options.Registerer)}
	g.loop = newEventLoop(options, g.metrics)
	go func() { _ = g.loop.run(t.Context()) }()
	return newPeers(g)
}

// Guards against an empty table from a gateway that has restarted since it offered the table: the
// receiver would take it for the state of the store.
func TestTableIsNotServedBeforeItIsLoaded(t *testing.T) {
	c := qt.New(t)
	stream := &sentChunks{ctx: t.Context()}
	err := startPeers(t, "g").FetchTable(&wire.TableQuery{Table: uint32(TableTargets)}, stream)
	c.Check(status.Code(err), qt.Equals, codes.Unavailable)
	c.Check(stream.chunks, qt.Equals, 0)
}
