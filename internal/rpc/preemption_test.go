package rpc

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc/metadata"
)

// Guards against an agent that does not learn of a preemption at another agent, and against
// taking a missing or invalid age for one.
func TestPreemptionAge(t *testing.T) {
	c := qt.New(t)
	received := func(ctx context.Context) (time.Duration, bool) {
		sent, _ := metadata.FromOutgoingContext(ctx)
		return PreemptionAge(metadata.NewIncomingContext(context.Background(), sent))
	}
	age, ok := received(WithPreemptionAge(context.Background(), 1500*time.Millisecond))
	c.Check(ok, qt.IsTrue)
	c.Check(age, qt.Equals, 1500*time.Millisecond)
	_, ok = received(context.Background())
	c.Check(ok, qt.IsFalse)
	_, ok = received(metadata.AppendToOutgoingContext(context.Background(), preemptionAgeKey, "-1"))
	c.Check(ok, qt.IsFalse)
}
