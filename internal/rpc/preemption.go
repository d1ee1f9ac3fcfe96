package rpc

import (
	"context"
	"strconv"
	"time"

	"google.golang.org/grpc/metadata"
)

// preemptionAgeKey is the metadata key of a call that starts an attempt of a preempted generation.
const preemptionAgeKey = "bramleygap-preempted-ms-ago"

// WithPreemptionAge adds to an outgoing call how long ago an agent preempted its generation. An
// age is sent in place of a time, since the clocks of VMs differ.
func WithPreemptionAge(ctx context.Context, age time.Duration) context.Context {
	return metadata.AppendToOutgoingContext(ctx, preemptionAgeKey, strconv.FormatInt(max(0, age.Milliseconds()), 10))
}

// PreemptionAge returns how long ago an agent preempted the generation of an incoming call, and
// false if the call does not state it.
func PreemptionAge(ctx context.Context) (time.Duration, bool) {
	values := metadata.ValueFromIncomingContext(ctx, preemptionAgeKey)
	if len(values) == 0 {
		return 0, false
	}
	ms, err := strconv.ParseUint(values[0], 10, 31)
	return time.Duration(ms) * time.Millisecond, err == nil
}
