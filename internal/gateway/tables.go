package gateway

import (
	"time"

	"bramleygap/internal/core/membership"
	"bramleygap/internal/core/replica"
)

// installSnapshot replaces a table by a snapshot from the store or another gateway, unless the
// local copy is newer.
func (l *eventLoop) installSnapshot(st *state, now time.Time, table Table, rows []replica.Row, version replica.Version, source string) {
	local := st.tables[table]
	if local.Loaded() && version.Before(local.Version()) {
		return
	}
	if local.Loaded() && local.Version().Era < version.Era {
		l.storeRestored(st, now, table, version, source)
	}
	changes := local.Replace(rows, version)
	l.metrics.storeEra.Set(float64(version.Era))
	l.log.Info().Stringer("table", table).Str("source", source).Uint64("era", version.Era).Uint64("revision", version.Revision).
		Int("rows", len(rows)).Int("changes", len(changes)).Msg("table snapshot installed")
	l.tableChanged(st, now, table, changes)
}

// storeRestored prepares for the first snapshot of a table after the store has come back from an older copy. Rows that
// the snapshot lacks, or has older, may be lost and not removed: what their writers know is written again.
func (l *eventLoop) storeRestored(st *state, now time.Time, table Table, version replica.Version, source string) {
	before := st.tables[table].Version()
	l.log.Warn().Stringer("table", table).Str("source", source).Uint64("era_before", before.Era).Uint64("era", version.Era).
		Uint64("revision_before", before.Revision).Uint64("revision", version.Revision).
		Msg("store has come back from an older copy; its latest rows are lost until they are written again")
	switch table {
	case TableConfig:
		st.storeStatusesAgain()
	case TableTargets:
		st.targetsRestoredAt = now
		st.registry.StoreRestored(now)
	}
}

// applyChanges applies changes to a table. It reports whether they follow on from the
// version of the local copy.
func (l *eventLoop) applyChanges(st *state, now time.Time, table Table, changes []replica.Change, after, to replica.Version) bool {
	applied, ok := st.tables[table].Advance(changes, after, to)
	if ok && len(applied) > 0 {
		l.tableChanged(st, now, table, applied)
	}
	return ok
}

func (l *eventLoop) tableChanged(st *state, now time.Time, table Table, changes []replica.Change) {
	st.announceTableNews()
	switch table {
	case TableConfig:
		l.applyStoredDesiredState(st, now)
	case TableTargets:
		l.applyRegistrations(st, now, changes)
	}
}

// applyStoredDesiredState applies the local copy of TableConfig.
func (l *eventLoop) applyStoredDesiredState(st *state, now time.Time) {
	table := st.tables[TableConfig]
	stored, decodeErrs := l.options.Protocol.DecodeDesiredState(table.Rows())
	for _, err := range decodeErrs {
		l.log.Error().Err(err).Msg("row of the desired state cannot be decoded; ignoring it")
	}
	for i := range stored.Rollouts {
		stored.Rollouts[i].Written.Era = table.Version().Era
	}
	st.storedDesired = 0
	if stored.Config != nil {
		st.storedDesired = stored.Config.Version
	}
	l.applyDesiredState(st, now, stored)
}

// applyDesiredState puts a desired state into force. An older configuration than the one in use is ignored: the store
// may have come back with it.
func (l *eventLoop) applyDesiredState(st *state, now time.Time, desired DesiredState) {
	current := st.desired.Config
	if current != nil && (desired.Config == nil || desired.Config.Version < current.Version) {
		if desired.Config != nil {
			l.log.Warn().Uint64("version", desired.Config.Version).Uint64("in_force", current.Version).Msg("desired state is older than the one in use; ignoring it")
		}
		desired.Config, desired.Row = current, st.desired.Row
	}
	st.desired = desired
	l.addOrders(st, now, desired.Rollouts)
	if desired.Config == nil {
		return
	}
	if current == nil || current.Version != desired.Config.Version {
		l.log.Info().Uint64("version", desired.Config.Version).Uint64("era", st.tables[TableConfig].Version().Era).Uint64("revision", st.tables[TableConfig].Version().Revision).
			Bool("lost_by_store", st.desiredLost()).Msg("desired state applied")
		l.reportPriorities(desired.Config)
		l.metrics.configVersion.Set(float64(desired.Config.Version))
	}
	if l.published.Swap(&publishedState{desired: desired, stale: st.desiredStateStale(now)}) == nil {
		close(l.desiredLoaded)
	}
	st.rerankQueues()
	l.installRegistrations(st, now)
}

func (l *eventLoop) applyRegistrations(st *state, now time.Time, changes []replica.Change) {
	for _, change := range changes {
		if change.Deleted {
			delete(st.registrations, change.Key)
			continue
		}
		reg, err := l.options.Protocol.DecodeRegistration(change)
		if err != nil {
			l.log.Debug().Str("key", change.Key).Err(err).Msg("row is not a target registration; ignoring it")
			delete(st.registrations, change.Key)
			continue
		}
		st.registrations[change.Key] = reg
	}
	l.installRegistrations(st, now)
}

// installRegistrations makes the registered targets known. A registration of a service that the desired state does not
// have names no target, and must not decide anything about others, such as which instance has an address. It is kept,
// since the service may be added later.
func (l *eventLoop) installRegistrations(st *state, now time.Time) {
	registrations := make([]membership.Registration, 0, len(st.registrations))
	ignored := map[string]bool{}
	for id, reg := range st.registrations {
		if st.desired.Config == nil || st.desired.Config.HasService(reg.Service) {
			registrations = append(registrations, reg)
			continue
		}
		if ignored[id] = true; !st.ignoredRegistrations[id] {
			l.log.Info().Str("target", id).Str("address", reg.Address).Str("service", reg.Service).Msg("registration of a service that the desired state does not have; not using it")
		}
	}
	st.ignoredRegistrations = ignored
	storeRecovering := now.Sub(st.lastUnconfirmed[TableTargets]) < storeOutageGrace || now.Sub(st.targetsRestoredAt) < storeOutageGrace
	before := st.registry.Targets()
	st.registry.Replace(now, registrations, storeRecovering)
	l.logTargets(before, st.registry.Targets())
	l.updateFleet(st)
}

// logTargets logs the targets that were added, removed or changed.
func (l *eventLoop) logTargets(before, after []membership.Registration) {
	old := make(map[string]membership.Registration, len(before))
	for _, reg := range before {
		old[reg.ID] = reg
	}
	for _, reg := range after {
		prev, known := old[reg.ID]
		delete(old, reg.ID)
		if known && prev.Leaving == reg.Leaving && prev.SameInstance(&reg) {
			continue
		}
		l.log.Info().Str("target", reg.ID).Str("address", reg.Address).Str("service", reg.Service).Str("zone", reg.Zone).
			Str("version", reg.Version).Bool("leaving", reg.Leaving).Bool("new", !known).Msg("target registered")
	}
	for id, reg := range old {
		l.log.Info().Str("target", id).Str("address", reg.Address).Msg("target removed")
	}
}
