package rpc

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc/metadata"
)

// Guards against a server that holds calls of those that do not wait, or for an invalid time.
func TestHold(t *testing.T) {
	c := qt.New(t)
	received := func(ctx context.Context) time.Duration {
		sent, _ := metadata.FromOutgoingContext(ctx)
		return Hold(metadata.NewIncomingContext(context.Background(), sent))
	}
	ctx := context.Background()
	c.Check(received(WithHold(ctx, 500*time.Millisecond)), qt.Equals, 500*time.Millisecond)
	c.Check(received(ctx), qt.Equals, time.Duration(0))
	for _, invalid := range []string{"-1", "x", "99999999"} {
		c.Check(received(metadata.AppendToOutgoingContext(ctx, holdKey, invalid)), qt.Equals, time.Duration(0))
	}
}
