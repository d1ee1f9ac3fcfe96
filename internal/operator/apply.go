package operator

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/google/uuid"

	"bramleygap/internal/opconfig"
	"bramleygap/internal/result"
	"bramleygap/internal/tomlcheck"
	"bramleygap/internal/wire"
)

// statusInterval is the interval at which the status is polled.
const statusInterval = 200 * time.Millisecond

// Change is the input of Apply.
type Change struct {
	File string
	// Base is the revision that the file was edited from; nil means the revision that
	// is current when the command starts.
	Base *uint64
	// ID repeats an earlier change whose outcome is unknown; empty means a new change.
	ID string
	// DryRun only validates and shows the difference.
	DryRun bool
}

// NotAcknowledgedError names the live nodes on which an accepted change is not yet in force.
type NotAcknowledgedError struct {
	Revision uint64
	Missing  []string
	// Cause is the last failure to read the status, or nil.
	Cause error
}

// Error implements error.
func (e *NotAcknowledgedError) Error() string {
	text := fmt.Sprintf("revision %d is accepted but not yet in force on: %s", e.Revision, strings.Join(e.Missing, ", "))
	if len(e.Missing) == 0 {
		text = fmt.Sprintf("revision %d is accepted, but no entry confirmed that it is in force", e.Revision)
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *NotAcknowledgedError) Unwrap() error { return e.Cause }

// Apply shows the difference, submits the change, and waits until it is in force on
// all live nodes. Errors are *result.Error for a rejected change (for result.Conflict
// the message names the winning change) and *NotAcknowledgedError if the wait timed out.
func Apply(ctx context.Context, options Options, change Change, w io.Writer) error {
	text, err := readFile(change.File)
	if err != nil {
		return err
	}
	if _, err := opconfig.Parse(text); err != nil {
		return tomlcheck.WithFile(change.File, err)
	}
	preview, err := submit(ctx, options, &wire.ApplyRequest{Text: text, DryRun: true})
	if err != nil {
		return err
	}
	printDifference(w, preview)
	if change.DryRun {
		return nil
	}
	request := &wire.ApplyRequest{ChangeId: change.ID, Operator: options.Operator, Text: text, BaseRevision: preview.GetRevision()}
	if request.ChangeId == "" {
		request.ChangeId = uuid.NewString()
	}
	if change.Base != nil {
		request.BaseRevision = *change.Base
	}
	_, _ = fmt.Fprintf(w, "change %s based on revision %d\n", request.ChangeId, request.BaseRevision)
	accepted, err := submit(ctx, options, request)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(w, "accepted as revision %d\n", accepted.GetRevision())
	return waitInForce(ctx, options, accepted.GetRevision(), w)
}

// submit repeats the request at other entries if one does not respond; the change id
// makes the repetition safe.
func submit(ctx context.Context, options Options, request *wire.ApplyRequest) (*wire.ApplyResponse, error) {
	response, err := callEntries(ctx, options, func(ctx context.Context, client wire.OperatorClient) (*wire.ApplyResponse, error) {
		return client.Apply(ctx, request)
	})
	if err != nil {
		if request.DryRun {
			return nil, err
		}
		return nil, &result.Error{
			Code:    result.OutcomeUnknown,
			Message: fmt.Sprintf("no entry responded; repeat with --change-id %s --base %d", request.ChangeId, request.BaseRevision),
			Cause:   err,
		}
	}
	return response, resultError(response)
}

func printDifference(w io.Writer, preview *wire.ApplyResponse) {
	_, _ = fmt.Fprintf(w, "difference to revision %d:\n", preview.GetRevision())
	if preview.GetDifference() == "" {
		_, _ = fmt.Fprintln(w, "  none")
		return
	}
	for line := range strings.SplitSeq(preview.GetDifference(), "\n") {
		_, _ = fmt.Fprintln(w, "  "+line)
	}
}

// waitInForce waits until each live node has acknowledged the revision or a later one.
func waitInForce(ctx context.Context, options Options, revision uint64, w io.Writer) error {
	deadline := time.Now().Add(options.Timeout)
	for {
		status, err := getStatus(ctx, options)
		missing := unacknowledged(status, revision)
		if err == nil && status.GetConfigRevision() >= revision && len(missing) == 0 {
			_, _ = fmt.Fprintf(w, "in force on all live nodes (%d)\n", len(status.GetNodes()))
			return nil
		}
		if !time.Now().Before(deadline) || ctx.Err() != nil {
			return &NotAcknowledgedError{Revision: revision, Missing: missing, Cause: err}
		}
		select {
		case <-time.After(statusInterval):
		case <-ctx.Done():
		}
	}
}

// unacknowledged returns the nodes that have acknowledged only an older revision and the
// VMs that have never reported.
func unacknowledged(status *wire.StatusResponse, revision uint64) []string {
	var missing []string
	for _, node := range status.GetNodes() {
		if node.GetConfigRevision() < revision {
			missing = append(missing, node.GetNode())
		}
	}
	for _, name := range status.GetMissing() {
		if strings.HasPrefix(name, "vm/") {
			missing = append(missing, name)
		}
	}
	return missing
}
