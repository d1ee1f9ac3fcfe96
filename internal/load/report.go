package load

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bramleygap/internal/core/stream"
	"bramleygap/internal/trace"
)

const (
	// Histogram range: 1 microsecond to 1 hour with 3 significant digits.
	lowestMicros      = 1
	highestMicros     = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// Quantiles summarises the distribution of a latency in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Report is the result of a replay.
type Report struct {
	Requests int `json:"requests"`
	Complete int `json:"complete"`
	// Failures counts final failures by code or error text.
	Failures map[string]int `json:"failures"`
	// Reconnects counts continuations at another entry.
	Reconnects int `json:"reconnects"`
	// FirstToken and Total include the time by which the load tool sent a request late.
	FirstToken Quantiles `json:"first_token"`
	Total      Quantiles `json:"total"`
	Calls      Quantiles `json:"calls"`
	// LongestGap is the longest pause within each generation; after a loss, it is the resume latency.
	LongestGap Quantiles `json:"longest_gap"`
	Tokens     int       `json:"tokens"`
	// EntryMetrics is nil if the entries' metrics were not read.
	EntryMetrics *EntryMetrics `json:"resources,omitempty"`
	Breaches     []string      `json:"breaches"`
}

type recorder struct{ histogram *hdrhistogram.Histogram }

func newRecorder() recorder {
	return recorder{hdrhistogram.New(lowestMicros, highestMicros, significantDigits)}
}

func (r recorder) record(d time.Duration) {
	// Values outside the range are clamped: an hour is far beyond every stated bound.
	_ = r.histogram.RecordValue(min(max(d.Microseconds(), lowestMicros), highestMicros))
}

func (r recorder) quantiles() Quantiles {
	milliseconds := func(q float64) float64 { return float64(r.histogram.ValueAtQuantile(q)) / 1000 }
	return Quantiles{
		Count: r.histogram.TotalCount(),
		P50:   milliseconds(50),
		P95:   milliseconds(95),
		P99:   milliseconds(99),
		Max:   float64(r.histogram.Max()) / 1000,
	}
}

// NewReport summarises results and lists each breach of a stated outcome. runs maps
// idempotency keys to the number of runs of their call; nil leaves runs unchecked.
func NewReport(results []*Result, outcomes map[string]trace.Outcome, runs map[string]int) *Report {
	report := &Report{Requests: len(results), Failures: make(map[string]int)}
	first, total, calls, gap := newRecorder(), newRecorder(), newRecorder(), newRecorder()
	for _, result := range results {
		report.Reconnects += result.Reconnects
		if result.Complete() {
			report.Complete++
		} else {
			report.Failures[failureName(result)]++
		}
		if result.Event.Kind == trace.KindGeneration {
			first.record(result.FirstToken)
			total.record(result.Latency)
			gap.record(result.Completion.LongestGap)
			report.Tokens += result.Completion.Tokens()
		} else {
			calls.record(result.Latency)
		}
		report.Breaches = append(report.Breaches, breaches(result, outcomes, runs)...)
	}
	report.FirstToken, report.Total, report.Calls, report.LongestGap = first.quantiles(), total.quantiles(), calls.quantiles(), gap.quantiles()
	return report
}

func failureName(result *Result) string {
	if result.Err == nil {
		return fmt.Sprintf("status %d", result.Status)
	}
	if code := result.Code(); code != 0 {
		return fmt.Sprintf("code %d", code)
	}
	return result.Err.Error()
}

// breaches compares one result with its stated outcome. A request without one is only
// checked for an inconsistent token count and for more than one run.
func breaches(result *Result, outcomes map[string]trace.Outcome, runs map[string]int) []string {
	var found []string
	breach := func(format string, arguments ...any) {
		found = append(found, result.Event.ID+": "+fmt.Sprintf(format, arguments...))
	}
	if result.Event.Kind == trace.KindGeneration && result.Complete() && result.Completion.Tokens() != result.Completion.Summary.Tokens {
		breach("received %d tokens, the terminal event says %d", result.Completion.Tokens(), result.Completion.Summary.Tokens)
	}
	outcome, stated := outcomes[result.Event.ID]
	if key := result.Event.Key; key != "" && runs != nil && runs[key] > 1 {
		breach("ran %d times", runs[key])
	}
	if !stated {
		return found
	}
	if outcome.Complete && !result.Complete() {
		breach("not complete: %s", failureName(result))
	}
	if !outcome.Complete && !result.Complete() && !slices.Contains(outcome.Codes, result.Code()) {
		breach("%s, allowed codes %v", failureName(result), outcome.Codes)
	}
	if outcome.Tokens > 0 && result.Complete() && result.Completion.Summary.Tokens != outcome.Tokens {
		breach("%d tokens, stated %d", result.Completion.Summary.Tokens, outcome.Tokens)
	}
	if outcome.Runs != nil && runs != nil && runs[result.Event.Key] != *outcome.Runs {
		breach("ran %d times, stated %d", runs[result.Event.Key], *outcome.Runs)
	}
	return found
}

// Write prints the report as text.
func (r *Report) Write(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "requests\t%d\ncomplete\t%d\nreconnects\t%d\ntokens\t%d\n", r.Requests, r.Complete, r.Reconnects, r.Tokens)
	for name, count := range r.Failures {
		fmt.Fprintf(table, "failed: %s\t%d\n", name, count)
	}
	fmt.Fprintf(table, "\nmilliseconds\tcount\tp50\tp95\tp99\tmax\n")
	for _, row := range []struct {
		name string
		q    Quantiles
	}{{"first token", r.FirstToken}, {"whole generation", r.Total}, {"longest gap", r.LongestGap}, {"calls", r.Calls}} {
		fmt.Fprintf(table, "%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\n", row.name, row.q.Count, row.q.P50, row.q.P95, row.q.P99, row.q.Max)
	}
	if r.EntryMetrics != nil {
		fmt.Fprintf(table, "\nresumes\t%d\nresume latency mean\t%.0f ms\nresume latency p95 at most\t%.0f ms\nextra tokens per token\t%.4f\nspeculative attempts\t%.0f\n",
			r.EntryMetrics.Resumes, r.EntryMetrics.ResumeMean, r.EntryMetrics.ResumeP95, r.EntryMetrics.ExtraPerToken, r.EntryMetrics.SpeculativeAttempts)
	}
	for _, breach := range r.Breaches {
		fmt.Fprintf(table, "BREACH\t%s\n", breach)
	}
	return table.Flush()
}

// ServingAgent returns the agent address in an event id, or an empty string if the id is
// malformed.
func ServingAgent(eventID string) string {
	id, err := stream.ParseEventID(eventID)
	if err != nil {
		return ""
	}
	return id.Agent
}
