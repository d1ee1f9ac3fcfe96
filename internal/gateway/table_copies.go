package gateway

import (
	"slices"
	"time"

	"bramleygap/internal/core/replica"
	"bramleygap/internal/wire"
)

// copyVersion returns the version that another gateway's copy of a table reflects.
func copyVersion(t *wire.TableCopy) replica.Version {
	return replica.Version{Era: t.Era, Revision: t.Revision}
}

// describeTable returns the version of a table and its age at a given time, without rows.
func (st *state) describeTable(at time.Time, i int) *wire.TableCopy {
	version := st.tables[i].Version()
	out := &wire.TableCopy{Table: uint32(i), Era: version.Era, Revision: version.Revision, Wanted: true, Confirmed: !st.confirmedAt[i].IsZero()}
	if out.Confirmed {
		out.AgeMs = ageMS(at.Sub(st.confirmedAt[i]))
	}
	if Table(i) == TableConfig {
		out.DesiredVersion = st.desiredVersion()
	}
	return out
}

// addRows adds the rows that a copy at a version lacks: all rows if its revision is 0 or older than
// the known changes, or if it is of another era.
func (st *state) addRows(out *wire.TableCopy, after replica.Version) {
	table := st.tables[out.Table]
	out.After = after.Revision
	rows, ok := table.Since(after)
	if !ok || after.Revision == 0 {
		out.Complete, rows = true, table.Rows()
	}
	for _, row := range rows {
		out.Rows = append(out.Rows, encodeRow(row))
	}
}

func encodeRow(row replica.Row) *wire.TableRow {
	return &wire.TableRow{Key: row.Key, Value: row.Value, Revision: row.Revision, Deleted: row.Deleted}
}

func decodeRow(row *wire.TableRow) replica.Row {
	return replica.Row{Key: row.Key, Value: row.Value, Revision: row.Revision, Deleted: row.Deleted}
}

// exportTable returns the version and age of a table, with the rows that the requester lacks if
// they are small.
func (p *peers) exportTable(st *state, at time.Time, i int, requester *wire.GatewayState) *wire.TableCopy {
	out := st.describeTable(at, i)
	if requester == nil || !st.tables[i].Loaded() {
		return out
	}
	k := slices.IndexFunc(requester.Tables, func(c *wire.TableCopy) bool { return c.Table == uint32(i) && c.Wanted })
	if k < 0 {
		return out
	}
	asked := requester.Tables[k]
	if copyVersion(asked).Before(copyVersion(out)) {
		st.addRows(out, copyVersion(asked))
	}
	st.addLostDesired(out, asked.DesiredVersion)
	size := len(out.Lost.GetValue())
	for _, row := range out.Rows {
		size += len(row.Key) + len(row.Value)
	}
	if size > maxInlineTableBytes {
		out.Rows, out.Lost, out.After, out.Complete, out.Omitted = nil, nil, 0, false, true
	}
	return out
}

// mergeTable merges another gateway's copy of a table. Its confirmation also applies to the
// local copy if that is at least as new.
func (p *peers) mergeTable(st *state, now, requestedAt time.Time, source string, t *wire.TableCopy) {
	if int(t.Table) >= numReplicatedTables {
		return
	}
	table := Table(t.Table)
	rows := make([]replica.Row, 0, len(t.Rows))
	for _, row := range t.Rows {
		rows = append(rows, decodeRow(row))
	}
	local, version := st.tables[table], copyVersion(t)
	after := replica.Version{Era: t.Era, Revision: t.After}
	switch {
	case t.Complete && (!local.Loaded() || local.Version().Before(version)):
		p.g.loop.installSnapshot(st, now, table, rows, version, source)
	case !t.Complete && t.After > 0 && after == local.Version():
		p.g.loop.applyChanges(st, now, table, rows, after, version)
	}
	if t.Lost != nil && table == TableConfig {
		p.g.loop.applyLostDesiredState(st, now, decodeRow(t.Lost))
	}
	if t.Confirmed && !requestedAt.IsZero() && local.Loaded() && local.Version().Includes(version) {
		p.g.loop.confirm(st, requestedAt.Add(-time.Duration(t.AgeMs)*time.Millisecond), table, source)
	}
}

// The store can come back from a copy without the desired state in use. Until operators have written it again, gateways
// pass it to those that have started since.

// desiredVersion returns the version of the desired state in use, 0 if there is none.
func (st *state) desiredVersion() uint64 {
	if st.desired.Config == nil {
		return 0
	}
	return st.desired.Config.Version
}

// desiredLost reports whether the store has lost the desired state in use.
func (st *state) desiredLost() bool { return st.desiredVersion() > st.storedDesired }

// lacksDesired reports whether another gateway uses a newer desired state.
func (st *state) lacksDesired(t *wire.TableCopy) bool {
	return Table(t.Table) == TableConfig && st.desiredVersion() < t.DesiredVersion
}

// hasLostDesired reports whether this gateway has a desired state that the store has lost, and a gateway with a
// copy of the table does not have it.
func (st *state) hasLostDesired(t *wire.TableCopy, desiredVersion uint64) bool {
	return Table(t.Table) == TableConfig && st.desiredLost() && desiredVersion < st.desiredVersion()
}

// addLostDesired adds the desired state in use if the store has lost it and the receiver uses one of an older version.
func (st *state) addLostDesired(out *wire.TableCopy, desiredVersion uint64) {
	if st.hasLostDesired(out, desiredVersion) {
		out.Lost = encodeRow(st.desired.Row)
	}
}

// applyLostDesiredState applies the row of a desired state that the store has lost.
func (l *eventLoop) applyLostDesiredState(st *state, now time.Time, row replica.Row) {
	lost, decodeErrs := l.options.Protocol.DecodeDesiredState([]replica.Row{row})
	for _, err := range decodeErrs {
		l.log.Error().Err(err).Msg("desired state from another gateway cannot be decoded; ignoring it")
	}
	if lost.Config == nil || lost.Config.Version <= st.desiredVersion() {
		return
	}
	lost.Rollouts = st.desired.Rollouts
	l.applyDesiredState(st, now, lost)
}
