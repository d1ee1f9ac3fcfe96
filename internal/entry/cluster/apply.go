package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"bramleygap/internal/core/adoption"
	"bramleygap/internal/opconfig"
	"bramleygap/internal/platform"
	"bramleygap/internal/result"
	"bramleygap/internal/wire"
)

const (
	// applyAttempts bounds the compare-and-sets of one change whose answers are lost.
	applyAttempts = 5
	// applyRetryDelay is the pause after a lost answer.
	applyRetryDelay = 200 * time.Millisecond
)

// apply validates a change and writes it with a compare-and-set on its base revision.
func (m *Manager) apply(ctx context.Context, request *wire.ApplyRequest) *wire.ApplyResponse {
	response, err := m.tryApply(ctx, request)
	if err != nil {
		coded := codedError(err)
		response.Code, response.Message = uint32(coded.Code), coded.Message
	}
	return response
}

// codedError returns err as a *result.Error; any other error becomes Internal.
func codedError(err error) *result.Error {
	var coded *result.Error
	if errors.As(err, &coded) {
		return coded
	}
	return &result.Error{Code: result.Internal, Message: err.Error(), Cause: err}
}

// tryApply returns a response even with an error; it then holds what is known so far.
func (m *Manager) tryApply(ctx context.Context, request *wire.ApplyRequest) (*wire.ApplyResponse, error) {
	response := &wire.ApplyResponse{}
	if request.GetChangeId() == "" && !request.GetDryRun() {
		return response, result.New(result.MalformedRequest, "change_id is missing")
	}
	current, err := m.currentConfig(ctx, request.GetDryRun())
	if err != nil {
		return response, err
	}
	response.Revision = current.revision
	if revision, ok := current.find(request.GetChangeId()); ok {
		// The operator repeats a change whose answer was lost.
		response.Revision = revision
		return response, nil
	}
	// A text in the table that does not parse may be replaced; it is then as if there were none.
	previous, _ := opconfig.Parse(current.row.Text)
	config, err := opconfig.ParseSubmitted(request.GetText(), time.Now(), previous)
	if err != nil {
		return response, &result.Error{Code: result.InvalidText, Message: err.Error(), Cause: err}
	}
	response.Difference = opconfig.Difference(previous, config)
	if request.GetDryRun() {
		return response, nil
	}
	// A table that lost newer revisions, for example by a restore, would accept a
	// change that no node adopts.
	if newest := inForce(m.Config()); current.revision < newest.revision {
		return response, result.New(result.StoreUnavailable,
			"the table has revision %d, but the newer revision %d is in force on this entry; nothing was changed, repeat the command or restore the table",
			current.revision, newest.revision)
	}
	if request.GetBaseRevision() != current.revision {
		return response, conflict(response, current, request.GetBaseRevision())
	}
	return response, m.commitChange(ctx, request, current, response)
}

// stored is config/current as read from the table.
type stored struct {
	row      configRow
	revision uint64
}

// find returns the revision of a change if it is the current one or a recent one.
func (s stored) find(changeID string) (uint64, bool) {
	if changeID == "" || s.revision == 0 {
		return 0, false
	}
	if s.row.ChangeID == changeID {
		return s.revision, true
	}
	for _, earlier := range s.row.Recent {
		if earlier.ChangeID == changeID {
			return earlier.Revision, true
		}
	}
	return 0, false
}

// currentConfig reads config/current. A dry run falls back to the configuration in
// force on this entry, since it writes nothing.
func (m *Manager) currentConfig(ctx context.Context, dryRun bool) (stored, error) {
	err := error(result.New(result.StoreUnavailable, "this entry has no table service"))
	if m.options.Table != nil {
		var s stored
		s.row, s.revision, err = m.readConfig(ctx)
		if err == nil || s.revision > 0 {
			// An unreadable row has a revision and can be replaced.
			return s, nil
		}
		err = &result.Error{Code: result.StoreUnavailable, Message: "the table service cannot be read, nothing was changed: " + err.Error(), Cause: err}
	}
	if config := m.Config(); dryRun && config != nil {
		return inForce(config), nil
	}
	return stored{}, err
}

// inForce returns an adopted configuration, which may be nil, as a stored one.
func inForce(config *adoption.Adopted) stored {
	if config == nil {
		return stored{}
	}
	row := configRow{change: change{ChangeID: config.ChangeID, Operator: config.Operator}, Text: config.Text}
	return stored{row: row, revision: config.Revision}
}

// conflict fills in the winner and returns the error.
func conflict(response *wire.ApplyResponse, current stored, base uint64) error {
	response.Revision = current.revision
	response.Winner = current.row.Operator + " (change " + current.row.ChangeID + ")"
	if current.revision == 0 {
		response.Winner = ""
		return result.New(result.Conflict, "the change is based on revision %d, but the table has no operator configuration; use base revision 0", base)
	}
	return result.New(result.Conflict, "the change is based on revision %d, but %s made revision %d; start again from it",
		base, response.Winner, current.revision)
}

// commitChange writes the change. While answers are lost it reads back and repeats
// the compare-and-set: the revision check lets at most one of them take effect.
func (m *Manager) commitChange(ctx context.Context, request *wire.ApplyRequest, base stored, response *wire.ApplyResponse) error {
	row := nextRow(request, base)
	value, err := json.Marshal(row)
	if err != nil {
		return err
	}
	txn := platform.Txn{
		Checks: []platform.Check{{Key: configKey, Revision: base.revision}},
		Puts:   []platform.Put{{Key: configKey, Value: value}, {Key: noticeKey, Value: []byte(row.ChangeID)}},
	}
	uncertain := false
	for attempt := 0; attempt < applyAttempts; attempt++ {
		if attempt > 0 && !sleep(ctx, jittered(applyRetryDelay)) {
			break
		}
		written, err := m.commit(ctx, txn, "put_config")
		if err == nil && written.Committed {
			return m.accepted(ctx, row, written.Revision, response)
		}
		if err != nil && errors.Is(err, platform.ErrRefused) && !uncertain {
			return &result.Error{Code: result.StoreUnavailable, Message: "the table service refused the write, nothing was changed: " + err.Error(), Cause: err}
		}
		uncertain = uncertain || (err != nil && !errors.Is(err, platform.ErrRefused))
		if done, err := m.readBack(ctx, row, base, response); done {
			return err
		}
	}
	if !uncertain {
		// Every write conflicted, but the table could not be read for the winner's name.
		return result.New(result.Conflict, "revision %d was replaced by another change; start again from the new revision", base.revision)
	}
	return result.New(result.OutcomeUnknown,
		"the table service did not confirm change %s; repeat the command with the same change id, or check `bramleygap status`", row.ChangeID)
}

// readBack decides by change id whether the change took effect. It reports false
// if the table cannot be read or still has the base revision.
func (m *Manager) readBack(ctx context.Context, row configRow, base stored, response *wire.ApplyResponse) (bool, error) {
	current, revision, err := m.readConfig(ctx)
	if err != nil {
		return false, nil
	}
	now := stored{row: current, revision: revision}
	if own, ok := now.find(row.ChangeID); ok {
		if own == revision {
			return true, m.accepted(ctx, row, own, response)
		}
		response.Revision = own
		return true, nil
	}
	if revision == base.revision {
		return false, nil
	}
	return true, conflict(response, now, base.revision)
}

// nextRow moves the base's change to the head of the recent ones.
func nextRow(request *wire.ApplyRequest, base stored) configRow {
	row := configRow{
		change: change{ChangeID: request.GetChangeId(), Operator: request.GetOperator()},
		Text:   request.GetText(),
	}
	if base.revision > 0 {
		earlier := base.row.change
		earlier.Revision = base.revision
		row.Recent = append([]change{earlier}, base.row.Recent...)
		row.Recent = row.Recent[:min(len(row.Recent), recentChanges)]
	}
	return row
}

// accepted puts a written change in force here; the other nodes learn it from this
// entry or from the table.
func (m *Manager) accepted(ctx context.Context, row configRow, revision uint64, response *wire.ApplyResponse) error {
	response.Revision = revision
	m.options.Logger.Info().Uint64("revision", revision).Str("operator", row.Operator).Str("change", row.ChangeID).Msg("operator configuration accepted")
	// The change is accepted even if this process stops before it adopts it.
	_ = m.do(context.WithoutCancel(ctx), func(s *state) { s.adopt(row.candidate(revision)) })
	signal(m.pushAll)
	return nil
}

func (m *Manager) commit(ctx context.Context, txn platform.Txn, operation string) (platform.TxnResult, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	written, err := m.options.Table.Commit(ctx, txn)
	m.metrics.countStore(operation, err)
	return written, err
}

// startVersion sets the deadline of a version, which starts its rollout. A conflict
// with another change is resolved by editing the newer text.
func (m *Manager) startVersion(ctx context.Context, request *wire.VersionStartRequest, changeID string) error {
	var last *wire.ApplyResponse
	for attempt := 0; attempt < applyAttempts; attempt++ {
		current, err := m.currentConfig(ctx, false)
		if err != nil {
			return err
		}
		text, err := m.editForStart(current, request)
		if err != nil {
			return err
		}
		if text == current.row.Text {
			return nil
		}
		last = m.apply(ctx, &wire.ApplyRequest{
			ChangeId:     changeID,
			Operator:     request.GetOperator(),
			Text:         text,
			BaseRevision: current.revision,
		})
		if result.Code(last.GetCode()) != result.Conflict {
			break
		}
	}
	if code := result.Code(last.GetCode()); code != result.OK {
		return result.New(code, "%s", last.GetMessage())
	}
	return nil
}

func (m *Manager) editForStart(current stored, request *wire.VersionStartRequest) (string, error) {
	config, err := opconfig.Parse(current.row.Text)
	if err != nil {
		return "", result.New(result.NotReady, "there is no valid operator configuration; apply one first")
	}
	if err := checkVersion(config, request.GetService(), request.GetVersion()); err != nil {
		return "", err
	}
	if m.Withdrawn(request.GetService(), request.GetVersion()) {
		return "", result.New(result.VersionUnavailable, "version %q of service %q is withdrawn for good; start it under another name",
			request.GetVersion(), request.GetService())
	}
	deadline := time.UnixMilli(request.GetDeadlineUnixMs())
	text, err := opconfig.SetDeadline(current.row.Text, request.GetService(), request.GetVersion(), deadline)
	if err != nil {
		return "", &result.Error{Code: result.InvalidText, Message: err.Error(), Cause: err}
	}
	return text, nil
}

// checkVersion returns UnknownService or UnknownVersion if the configuration lacks the version.
func checkVersion(config *opconfig.Config, service, version string) error {
	s := config.Service(service)
	if s == nil {
		return result.New(result.UnknownService, "the operator configuration has no service %q", service)
	}
	if s.Version(version) == nil {
		return result.New(result.UnknownVersion, "service %q has no version %q", service, version)
	}
	return nil
}
