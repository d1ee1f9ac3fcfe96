// Package operator implements the operator commands: check, apply, status, drain and version.
package operator

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"bramleygap/internal/result"
	"bramleygap/internal/rpc"
	"bramleygap/internal/wire"
)

const (
	// callTimeout bounds one request to one entry. An entry retries a write whose
	// response is lost, which takes up to 20 s when the table service drops requests.
	callTimeout = 25 * time.Second
	// maxFileBytes bounds a file that is read; longer files are reported by the parsers.
	maxFileBytes = 2 << 20
)

// Options selects the entries to query and how to print.
type Options struct {
	// Entries are host:port of entries; the next one is tried if one is unreachable.
	Entries []string
	// Operator is recorded with each change.
	Operator string
	// Timeout bounds the wait until a change is in force on all live nodes.
	Timeout time.Duration
	// JSON selects JSON in place of tables.
	JSON bool
}

// callEntries calls f with the entries in turn until one responds. Requests must be safe to
// repeat at another entry.
func callEntries[T any](ctx context.Context, options Options, f func(context.Context, wire.OperatorClient) (T, error)) (T, error) {
	var zero T
	var failures []error
	if len(options.Entries) == 0 {
		return zero, errors.New("no entry is given; use --entry IP:PORT")
	}
	for _, address := range options.Entries {
		response, err := callEntry(ctx, address, f)
		if err == nil {
			return response, nil
		}
		failures = append(failures, describeError(address, err))
		if code := status.Code(err); code != codes.Unavailable && code != codes.DeadlineExceeded {
			break
		}
	}
	return zero, errors.Join(failures...)
}

// describeError turns a gRPC error into a message for operators.
func describeError(address string, err error) error {
	reason := status.Convert(err).Message()
	if _, cause, ok := strings.Cut(reason, "Error while dialing: "); ok {
		reason = strings.TrimSuffix(cause, `"`)
	}
	switch status.Code(err) {
	case codes.Unavailable:
		return fmt.Errorf("entry %s cannot be reached: %s; --entry names the address of its peer_listen", address, reason)
	case codes.DeadlineExceeded:
		return fmt.Errorf("entry %s did not respond within %s", address, callTimeout)
	}
	return fmt.Errorf("entry %s: %s", address, reason)
}

func callEntry[T any](ctx context.Context, address string, f func(context.Context, wire.OperatorClient) (T, error)) (T, error) {
	conn, err := rpc.Dial(address)
	if err != nil {
		var zero T
		return zero, err
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return f(ctx, wire.NewOperatorClient(conn))
}

// codedResponse is a response that carries a result code.
type codedResponse interface {
	GetCode() uint32
	GetMessage() string
}

// resultError returns the response's code as an error, or nil for OK.
func resultError(response codedResponse) error {
	if code := result.Code(response.GetCode()); code != result.OK {
		return result.New(code, "%s", response.GetMessage())
	}
	return nil
}

func getStatus(ctx context.Context, options Options) (*wire.StatusResponse, error) {
	return callEntries(ctx, options, func(ctx context.Context, client wire.OperatorClient) (*wire.StatusResponse, error) {
		return client.Status(ctx, &wire.StatusRequest{})
	})
}
