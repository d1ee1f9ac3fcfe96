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
	// applyAttempts limits the compare-and-set attempts of one change when responses are lost.
	applyAttempts = 5
	// applyRetryDelay is the delay before another attempt.
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

// tryApply returns a non-nil response even with an error, with the fields that are known by then.
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
	if revision, ok := current.findChange(request.GetChangeId()); ok {
		// The operator repeats a change whose response was lost.
		response.Revision = revision
		return response, nil
	}
	// A change may replace an invalid text in the table, which counts as no text.
	previous, _ := opconfig.Parse(current.row.Text)
	config, err := opconfig.ParseSubmitted(request.GetText(), time.Now(), previous)
	if err != nil {
		return response, &result.Error{Code: result.InvalidText, Message: err.Error(), Cause: err}
	}
	response.Difference = opconfig.Difference(previous, config)
	if request.GetDryRun() {
		return response, nil
	}
	// A table that has lost newer revisions, for example in a restore, would accept a
	// change that no node adopts.
	if newest := storedFromAdopted(m.Config()); current.revision < newest.revision {
		return response, result.New(result.StoreUnavailable,
			"the table has revision %d, but the newer revision %d is in force on this entry; nothing was changed, repeat the command or restore the table",
			current.revision, newest.revision)
	}
	if request.GetBaseRevision() != current.revision {
		return response, conflict(response, current, request.GetBaseRevision())
	}
	return response, m.commitChange(ctx, request, current, response)
}

// storedConfig is the table row config/current and its revision.
type storedConfig struct {
	row      configRow
	revision uint64
}

// findChange returns the revision of a change if it is the current or a recent one.
func (s storedConfig) findChange(changeID string) (uint64, bool) {
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

// currentConfig reads config/current. A dry run writes nothing, so it falls back to the
// configuration in force on this entry.
func (m *Manager) currentConfig(ctx context.Context, dryRun bool) (storedConfig, error) {
	err := error(result.New(result.StoreUnavailable, "this entry has no table service"))
	if m.options.Table != nil {
		var s storedConfig
		s.row, s.revision, err = m.readConfig(ctx)
		if err == nil || s.revision > 0 {
			// A row that cannot be decoded has a revision, so it can be replaced.
			return s, nil
		}
		err = &result.Error{Code: result.StoreUnavailable, Message: "the table service cannot be read, nothing was changed: " + err.Error(), Cause: err}
	}
	if config := m.Config(); dryRun && config != nil {
		return storedFromAdopted(config), nil
	}
	return storedConfig{}, err
}

// storedFromAdopted converts an adopted configuration, which may be nil.
func storedFromAdopted(config *adoption.Adopted) storedConfig {
	if config == nil {
		return storedConfig{}
	}
	row := configRow{change: change{ChangeID: config.ChangeID, Operator: config.Operator}, Text: config.Text}
	return storedConfig{row: row, revision: config.Revision}
}

// conflict sets the revision and winner of the response and returns a Conflict error.
func conflict(response *wire.ApplyResponse, current storedConfig, base uint64) error {
	response.Revision = current.revision
	response.Winner = current.row.Operator + " (change " + current.row.ChangeID + ")"
	if current.revision == 0 {
		response.Winner = ""
		return result.New(result.Conflict, "the change is based on revision %d, but the table has no operator configuration; use base revision 0", base)
	}
	return result.New(result.Conflict, "the change is based on revision %d, but %s made revision %d; start again from it",
		base, response.Winner, current.revision)
}

// commitChange writes the change. After a lost response it reads the row back and repeats
// the compare-and-set; the revision check lets at most one attempt take effect.
func (m *Manager) commitChange(ctx context.Context, request *wire.ApplyRequest, base storedConfig, response *wire.ApplyResponse) error {
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
		res, err := m.commit(ctx, txn, "put_config")
		if err == nil && res.Committed {
			return m.adoptCommitted(ctx, row, res.Revision, response)
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
		// Every write conflicted, but the winning change could not be read.
		return result.New(result.Conflict, "revision %d was replaced by another change; base the change on the new revision", base.revision)
	}
	return result.New(result.OutcomeUnknown,
		"the table service did not confirm change %s; repeat the command with the same change id, or check `bramleygap status`", row.ChangeID)
}

// readBack determines by the change id whether the change took effect. It returns false
// if the table cannot be read or still has the base revision.
func (m *Manager) readBack(ctx context.Context, row configRow, base storedConfig, response *wire.ApplyResponse) (bool, error) {
	current, revision, err := m.readConfig(ctx)
	if err != nil {
		return false, nil
	}
	latest := storedConfig{row: current, revision: revision}
	if committed, ok := latest.findChange(row.ChangeID); ok {
		if committed == revision {
			return true, m.adoptCommitted(ctx, row, committed, response)
		}
		response.Revision = committed
		return true, nil
	}
	if revision == base.revision {
		return false, nil
	}
	return true, conflict(response, latest, base.revision)
}

// nextRow returns the row for a change, with the base's change as the first of the recent ones.
func nextRow(request *wire.ApplyRequest, base storedConfig) configRow {
	row := configRow{
		change: change{ChangeID: request.GetChangeId(), Operator: request.GetOperator()},
		Text:   request.GetText(),
	}
	if base.revision > 0 {
		earlier := base.row.change
		earlier.Revision = base.revision
		row.Recent = append([]change{earlier}, base.row.Recent...)
		row.Recent = row.Recent[:min(len(row.Recent), maxRecentChanges)]
	}
	return row
}

// adoptCommitted adopts a committed change on this entry; other nodes receive it from this
// entry or the table.
func (m *Manager) adoptCommitted(ctx context.Context, row configRow, revision uint64, response *wire.ApplyResponse) error {
	response.Revision = revision
	m.options.Logger.Info().Uint64("revision", revision).Str("operator", row.Operator).Str("change", row.ChangeID).Msg("operator configuration accepted")
	// The change is committed, so a stop of this entry before the adoption is not an error.
	_ = m.do(context.WithoutCancel(ctx), func(s *state) { s.adopt(row.candidate(revision)) })
	signal(m.pushAll)
	return nil
}

func (m *Manager) commit(ctx context.Context, txn platform.Txn, operation string) (platform.TxnResult, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	res, err := m.options.Table.Commit(ctx, txn)
	m.metrics.countPlatformRequest(operation, err)
	return res, err
}

// startVersion sets the deadline of a version, which starts its rollout. After a conflict
// with another change it edits the newer text.
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

func (m *Manager) editForStart(current storedConfig, request *wire.VersionStartRequest) (string, error) {
	config, err := opconfig.Parse(current.row.Text)
	if err != nil {
		return "", result.New(result.NotReady, "there is no valid operator configuration; apply one first")
	}
	if err := checkVersion(config, request.GetService(), request.GetVersion()); err != nil {
		return "", err
	}
	if m.Withdrawn(request.GetService(), request.GetVersion()) {
		return "", result.New(result.VersionUnavailable, "version %q of service %q is permanently withdrawn; start it under another name",
			request.GetVersion(), request.GetService())
	}
	deadline := time.UnixMilli(request.GetDeadlineUnixMs())
	text, err := opconfig.SetDeadline(current.row.Text, request.GetService(), request.GetVersion(), deadline)
	if err != nil {
		return "", &result.Error{Code: result.InvalidText, Message: err.Error(), Cause: err}
	}
	return text, nil
}

// checkVersion returns UnknownService or UnknownVersion if the version is not configured.
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
