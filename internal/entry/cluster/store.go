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
	configKey = "config/current"
	// noticeKey is a small row that is written in the same transaction as configKey.
	// Entries poll it instead of the whole text, which has 426 KB with 3,100 accounts.
	noticeKey       = "config/notice"
	drainPrefix     = "drain/"
	withdrawnPrefix = "withdrawn/"

	tableInterval = time.Second
	// pollsPerDrainRead and pollsPerWithdrawnRead are the numbers of table polls per read of
	// these rows. Drains must be known within a few seconds; entries exchange withdrawals
	// with each other, so their rows only serve entries that start later.
	pollsPerDrainRead     = 2
	pollsPerWithdrawnRead = 10
	// pollsPerConfigRead is the number of polls after which config/current is read even if the
	// notice is unchanged, in case the rows of the table were restored one by one.
	pollsPerConfigRead = 30
	// maxRows limits one list request; the listed rows are written by operators or rollouts.
	maxRows = 10000
	// rowRetryDelay is the delay before a failed write of a withdrawn row is repeated.
	rowRetryDelay = 2 * time.Second
	// maxRecentChanges is the number of earlier changes listed in config/current. They let an
	// operator whose response was lost find a change that was replaced since.
	maxRecentChanges = 32
)

// change identifies an accepted change.
type change struct {
	ChangeID string `json:"change_id"`
	Operator string `json:"operator"`
	// Revision is 0 in the row's own change, since the table assigns it at the write.
	Revision uint64 `json:"revision,omitempty"`
}

// configRow is the value of config/current; its revision is that of the table row.
type configRow struct {
	change
	Text string `json:"text"`
	// Recent lists the changes before this one, newest first.
	Recent []change `json:"recent,omitempty"`
}

func (r configRow) candidate(revision uint64) adoption.Candidate {
	return adoption.Candidate{Revision: revision, Text: r.Text, Operator: r.Operator, ChangeID: r.ChangeID}
}

// readConfig reads config/current; revision 0 means that the row does not exist.
func (m *Manager) readConfig(ctx context.Context) (configRow, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	row, err := m.options.Table.Get(ctx, configKey)
	m.metrics.countPlatformRequest("get_config", err)
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
	var seen noticeRevision
	for round := 0; ; round++ {
		if notice, changed := m.noticeChanged(ctx, seen); changed || round%pollsPerConfigRead == 0 {
			if m.pollConfig(ctx) == nil {
				seen = notice
			}
		}
		m.pollFences(ctx)
		if !drainsRead || round%pollsPerDrainRead == 0 {
			drainsRead = m.pollDrains(ctx) == nil
		}
		if !withdrawalsRead || round%pollsPerWithdrawnRead == 0 {
			withdrawalsRead = m.pollWithdrawn(ctx) == nil
		}
		if !sleep(ctx, jittered(tableInterval)) {
			return
		}
	}
}

// noticeRevision is the revision of the notice row, if known.
type noticeRevision struct {
	known    bool
	revision uint64
}

// noticeChanged reads the notice row and reports whether it differs from seen. A row that
// is missing or cannot be read counts as changed.
func (m *Manager) noticeChanged(ctx context.Context, seen noticeRevision) (noticeRevision, bool) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	row, err := m.options.Table.Get(ctx, noticeKey)
	m.metrics.countPlatformRequest("get_notice", err)
	m.storeReachable.Store(err == nil)
	if err != nil || row.Revision == 0 {
		return noticeRevision{}, true
	}
	read := noticeRevision{known: true, revision: row.Revision}
	return read, read != seen
}

func (m *Manager) pollConfig(ctx context.Context) error {
	row, revision, err := m.readConfig(ctx)
	if err != nil {
		m.options.Logger.Debug().Err(err).Msg("cannot read the operator configuration from the table")
		return err
	}
	if adopted := adoption.RevisionOf(m.Config()); revision < adopted && revision != m.staleTableRevision {
		m.staleTableRevision = revision
		m.options.Logger.Error().Uint64("revision", adopted).Uint64("table_revision", revision).
			Msg("the table has a lower revision than the configuration in force, which stays in force")
	}
	if revision > adoption.RevisionOf(m.Config()) {
		return m.do(ctx, func(s *state) { s.adopt(row.candidate(revision)) })
	}
	return nil
}

func (m *Manager) list(ctx context.Context, prefix string) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	rows, err := m.options.Table.List(ctx, prefix, maxRows)
	m.metrics.countPlatformRequest("list_"+strings.TrimSuffix(prefix, "/"), err)
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

// pollFences reads the fencing tokens if an agent has reported a new incarnation since the
// last read. Until the read succeeds, such agents are sent no token and refuse all orders.
func (m *Manager) pollFences(ctx context.Context) {
	incarnations := make(map[string]uint64)
	if err := m.do(ctx, func(s *state) { s.addUnreadFences(incarnations) }); err != nil || len(incarnations) == 0 {
		return
	}
	rows, err := m.list(ctx, rollout.FencePrefix)
	if err != nil {
		return
	}
	_ = m.do(ctx, func(s *state) { s.setFences(incarnations, rows) })
}

// addUnreadFences adds the incarnation of each model target whose agent must not be sent a
// fencing token yet.
func (s *state) addUnreadFences(incarnations map[string]uint64) {
	for _, agent := range s.view.States() {
		if agent.GetKind() == wire.TargetKind_TARGET_KIND_MODEL && s.fencesReadFor[agent.GetTarget()] != agent.GetIncarnation() {
			incarnations[agent.GetTarget()] = agent.GetIncarnation()
		}
	}
}

// setFences stores the fencing tokens of rows that were read after the given incarnations
// of agents had reported.
func (s *state) setFences(incarnations map[string]uint64, rows []platform.Row) {
	for _, row := range rows {
		highest, err := rollout.ParseFence(row.Value)
		if err != nil {
			s.manager.options.Logger.Error().Err(err).Str("key", row.Key).Msg("invalid fencing token in the table; agents started since the last read refuse all orders")
			return
		}
		service := strings.TrimPrefix(row.Key, rollout.FencePrefix)
		s.storedFences[service] = max(s.storedFences[service], highest)
	}
	maps.Copy(s.fencesReadFor, incarnations)
	s.notifyWatchers()
}

func (m *Manager) pollWithdrawn(ctx context.Context) error {
	rows, err := m.list(ctx, withdrawnPrefix)
	if err != nil {
		return err
	}
	var withdrawals []*wire.WithdrawnVersion
	for _, row := range rows {
		service, version, ok := strings.Cut(strings.TrimPrefix(row.Key, withdrawnPrefix), "/")
		if !ok {
			continue
		}
		withdrawal := &wire.WithdrawnVersion{}
		// The key identifies the version; an invalid value loses only the time and the reason.
		_ = json.Unmarshal(row.Value, withdrawal)
		withdrawal.Service, withdrawal.Version = service, version
		withdrawals = append(withdrawals, withdrawal)
	}
	m.mergeWithdrawn(withdrawals)
	return nil
}

// writeWithdrawnRows writes a table row for each withdrawn version, with retries, so that
// entries that start later know of it.
func (m *Manager) writeWithdrawnRows(ctx context.Context) {
	if m.options.Table == nil {
		return
	}
	written := make(map[versionKey]bool)
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.withdrawnChanged:
		}
		for _, withdrawal := range m.withdrawn.list() {
			key := versionKey{withdrawal.GetService(), withdrawal.GetVersion()}
			if written[key] {
				continue
			}
			if err := m.writeWithdrawnRow(ctx, withdrawal); err != nil {
				sleep(ctx, jittered(rowRetryDelay))
				signal(m.withdrawnChanged)
				break
			}
			written[key] = true
		}
	}
}

func (m *Manager) writeWithdrawnRow(ctx context.Context, withdrawal *wire.WithdrawnVersion) error {
	value, err := json.Marshal(withdrawal)
	if err != nil {
		return err
	}
	key := withdrawnPrefix + withdrawal.GetService() + "/" + withdrawal.GetVersion()
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	// A conflict means that another entry has already written the row.
	_, err = m.options.Table.Commit(ctx, platform.Txn{
		Checks: []platform.Check{{Key: key}},
		Puts:   []platform.Put{{Key: key, Value: value}},
	})
	m.metrics.countPlatformRequest("put_withdrawn", err)
	return err
}
