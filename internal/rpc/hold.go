package rpc

import (
	"context"
	"strconv"
	"time"

	"google.golang.org/grpc/metadata"
)

// holdKey is the metadata key of a call that the server may hold until it has news.
const holdKey = "bramleygap-hold-ms"

// WithHold allows the server of an outgoing call to hold it for a time until it has news.
func WithHold(ctx context.Context, hold time.Duration) context.Context {
	return metadata.AppendToOutgoingContext(ctx, holdKey, strconv.FormatInt(hold.Milliseconds(), 10))
}

// Hold returns for how long an incoming call may be held, 0 if it may not.
func Hold(ctx context.Context) time.Duration {
	values := metadata.ValueFromIncomingContext(ctx, holdKey)
	if len(values) == 0 {
		return 0
	}
	ms, err := strconv.ParseUint(values[0], 10, 16)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}
