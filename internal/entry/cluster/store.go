package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"strings"
	"time"

	"bramleygap/internal/core/adoption"
	"bramleygap/internal/core/rollout"
	"bramleygap/internal/platform"
	"bramleygap/internal/wire"
)

const (
	configKey       = "config/current"
	drainPrefix     = "drain/"
	withdrawnPrefix = "withdrawn/"

	tableInterval = time.Second
	// drainPolls and withdrawnPolls are the numbers of table polls between two reads of
	// these rows. Drains must be known within a few seconds; withdrawals travel
	// between entries, so their rows only serve entries that start later.
	drainPolls     = 2
	withdrawnPolls = 10
	// maxRows bounds a list; both kinds of rows are written by operators or rollouts.
	maxRows = 10000
	// rowRetryDelay is the pause before a withdrawn row is written again after an error.
	rowRetryDelay = 2 * time.Second
	// recentChanges is how many earlier changes config/current names. It lets an
	// operator whose answer was lost recognise a change that others replaced since.
	recentChanges = 32
)

// change names one accepted change.
type change struct {
	ChangeID string `json:"change_id"`
	Operator string `json:"operator"`
	// Revision is 0 in the row's own change, since the table assigns it.
	Revision uint64 `json:"revision,omitempty"`
}

// configRow is the value of config/current; the revision is that of the table row.
type configRow struct {
	change
	Text string `json:"text"`
	// Recent lists the changes before this one, newest first.
	Recent []change `json:"recent,omitempty"`
}

func (r configRow) candidate(revision uint64) adoption.Candidate {
	return adoption.Candidate{Revision: revision, Text: r.Text, Operator: r.Operator, ChangeID: r.ChangeID}
}

// readConfig reads config/current; revision 0 means that there is none yet.
func (m *Manager) readConfig(ctx context.Context) (configRow, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	row, err := m.options.Table.Get(ctx, configKey)
	m.metrics.countStore("get_config", err)
	m.storeReachable.Store(err == nil)
	if err != nil || row.Revision == 0 {
		return configRow{}, 0, err
	}
	var value configRow
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return configRow{}, row.Revision, fmt.Errorf("decode table row %s at revision %d: %w", configKey, row.Revision, err)
	}
	return value, row.Revision, nil
}

func (m *Manager) pollTable(ctx context.Context) {
	if m.options.Table == nil {
		return
	}
	drainsRead, withdrawalsRead := false, false
	for round := 0; ; round++ {
		m.pollConfig(ctx)
		m.pollFences(ctx)
		if !drainsRead || round%drainPolls == 0 {
			drainsRead = m.pollDrains(ctx) == nil
		}
		if !withdrawalsRead || round%withdrawnPolls == 0 {
			withdrawalsRead = m.pollWithdrawn(ctx) == nil
		}
		if !sleep(ctx, jittered(tableInterval)) {
			return
		}
	}
}

func (m *Manager) pollConfig(ctx context.Context) {
	row, revision, err := m.readConfig(ctx)
	if err != nil {
		m.options.Logger.Debug().Err(err).Msg("operator configuration not read from the table")
		return
	}
	if own := adoption.RevisionOf(m.Config()); revision < own && revision != m.lostRevision {
		m.lostRevision = revision
		m.options.Logger.Error().Uint64("revision", own).Uint64("table_revision", revision).
			Msg("the table lost the revision in force, which stays in force")
	}
	if revision > adoption.RevisionOf(m.Config()) {
		_ = m.do(ctx, func(s *state) { s.adopt(row.candidate(revision)) })
	}
}

func (m *Manager) list(ctx context.Context, prefix string) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	rows, err := m.options.Table.List(ctx, prefix, maxRows)
	m.metrics.countStore("list_"+strings.TrimSuffix(prefix, "/"), err)
	return rows, err
}

func (m *Manager) pollDrains(ctx context.Context) error {
	var before uint64
	if err := m.do(ctx, func(s *state) { before = s.drainChanges }); err != nil {
		return err
	}
	rows, err := m.list(ctx, drainPrefix)
	if err != nil {
		return err
	}
	vms := make([]string, 0, len(rows))
	for _, row := range rows {
		vms = append(vms, strings.TrimPrefix(row.Key, drainPrefix))
	}
	return m.do(ctx, func(s *state) {
		if s.drainChanges == before {
			s.drainedKnown = true
			s.setDrained(union(vms, nil))
		}
	})
}

// pollFences reads the fencing numbers if an agent was heard of whose start is later than
// the last read. Without the table such agents are told no number and obey no order.
func (m *Manager) pollFences(ctx context.Context) {
	starts := make(map[string]uint64)
	if err := m.do(ctx, func(s *state) { s.addUnreadFences(starts) }); err != nil || len(starts) == 0 {
		return
	}
	rows, err := m.list(ctx, rollout.FencePrefix)
	if err != nil {
		return
	}
	_ = m.do(ctx, func(s *state) { s.setFences(starts, rows) })
}

// addUnreadFences adds the incarnation of each model target whose agent must not be told
// a fencing number yet.
func (s *state) addUnreadFences(starts map[string]uint64) {
	for _, agent := range s.view.States() {
		if agent.GetKind() == wire.TargetKind_TARGET_KIND_MODEL && s.fenceRead[agent.GetTarget()] != agent.GetIncarnation() {
			starts[agent.GetTarget()] = agent.GetIncarnation()
		}
	}
}

// setFences takes in rows that were read after the given starts of agents.
func (s *state) setFences(starts map[string]uint64, rows []platform.Row) {
	for _, row := range rows {
		highest, err := rollout.ParseFence(row.Value)
		if err != nil {
			s.manager.options.Logger.Error().Err(err).Str("key", row.Key).Msg("invalid fencing number; agents that started since obey no order")
			return
		}
		service := strings.TrimPrefix(row.Key, rollout.FencePrefix)
		s.fenceRows[service] = max(s.fenceRows[service], highest)
	}
	maps.Copy(s.fenceRead, starts)
	s.notifyWatchers()
}

func (m *Manager) pollWithdrawn(ctx context.Context) error {
	rows, err := m.list(ctx, withdrawnPrefix)
	if err != nil {
		return err
	}
	var marks []*wire.WithdrawnVersion
	for _, row := range rows {
		service, version, ok := strings.Cut(strings.TrimPrefix(row.Key, withdrawnPrefix), "/")
		if !ok {
			continue
		}
		mark := &wire.WithdrawnVersion{}
		// The key alone says what is withdrawn; an unreadable value only loses the reason.
		_ = json.Unmarshal(row.Value, mark)
		mark.Service, mark.Version = service, version
		marks = append(marks, mark)
	}
	m.mergeWithdrawn(marks)
	return nil
}

// writeWithdrawnRows writes a table row for each withdrawn version, when the store
// permits, so that entries that start later learn of it.
func (m *Manager) writeWithdrawnRows(ctx context.Context) {
	if m.options.Table == nil {
		return
	}
	written := make(map[versionKey]bool)
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.writeRows:
		}
		for _, mark := range m.withdrawn.list() {
			key := versionKey{mark.GetService(), mark.GetVersion()}
			if written[key] {
				continue
			}
			if err := m.writeWithdrawnRow(ctx, mark); err != nil {
				sleep(ctx, jittered(rowRetryDelay))
				signal(m.writeRows)
				break
			}
			written[key] = true
		}
	}
}

func (m *Manager) writeWithdrawnRow(ctx context.Context, mark *wire.WithdrawnVersion) error {
	value, err := json.Marshal(mark)
	if err != nil {
		return err
	}
	key := withdrawnPrefix + mark.GetService() + "/" + mark.GetVersion()
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	// A conflict means that another entry has written the row, which is as good.
	_, err = m.options.Table.Commit(ctx, platform.Txn{
		Checks: []platform.Check{{Key: key}},
		Puts:   []platform.Put{{Key: key, Value: value}},
	})
	m.metrics.countStore("put_withdrawn", err)
	return err
}
