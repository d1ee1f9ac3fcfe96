package gateway

import "time"

// invalidReportLogInterval is the least time between two log lines about impossible values of one kind.
const invalidReportLogInterval = time.Second

// ignoreInvalid counts and logs impossible values in a message of another gateway, by the kind of report that they
// belong to. The rest of the message counts.
func (l *eventLoop) ignoreInvalid(st *state, now time.Time, peer, report string, values int) {
	if values == 0 {
		return
	}
	l.metrics.invalidReports.WithLabelValues(report).Add(float64(values))
	if now.Sub(st.invalidReportsLogged[report]) < invalidReportLogInterval {
		return
	}
	st.invalidReportsLogged[report] = now
	l.log.Warn().Str("peer", peer).Str("report", report).Int("values", values).Msg("report of another gateway has impossible values; ignoring them")
}
