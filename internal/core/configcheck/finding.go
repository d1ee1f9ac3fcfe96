package configcheck

import (
	"cmp"
	"fmt"
	"slices"
)

// Severity says what a finding means for sending the configuration.
type Severity string

// Severities.
const (
	// Error marks what is refused, or cannot be served at all.
	Error Severity = "error"
	// Warning marks what is accepted and probably not meant.
	Warning Severity = "warning"
	// Change marks a difference from the version in force.
	Change Severity = "change"
	// Info marks what is reported only for completeness.
	Info Severity = "info"
)

// Code identifies a kind of finding. Numbers are never reused; docs/configuration-check.md has a row for each.
type Code string

// Codes of errors.
const (
	NotValidText   Code = "C101"
	TooLarge       Code = "C102"
	WrongType      Code = "C103"
	UnknownKey     Code = "C104"
	NotAllowed     Code = "C105"
	DuplicateName  Code = "C106"
	UnknownService Code = "C107"
	BadPrefix      Code = "C108"
	Unreadable     Code = "C109"
)

// Codes of entries that can never match.
const (
	HiddenRoute      Code = "C201"
	ImpossibleHost   Code = "C202"
	UnreachedService Code = "C203"
	KeylessAccount   Code = "C204"
	SharedKey        Code = "C205"
	ZeroWeight       Code = "C206"
	ClosedRoute      Code = "C207"
	IdleVersion      Code = "C208"
	UnusedMember     Code = "C209"
	UnusedClass      Code = "C210"
	WithoutEffect    Code = "C211"
	RepeatedJSONKey  Code = "C212"
)

// Codes of limits that contradict each other.
const (
	TimeoutBelowObjective Code = "C301"
	TimeoutBelowIdle      Code = "C302"
	GapBeyondTimeout      Code = "C303"
	AttemptsBeyondBudget  Code = "C304"
	AttemptsBeyondBound   Code = "C305"
	ServiceTwiceInRoute   Code = "C306"
	PriorityOutOfRange    Code = "C307"
	TooManyRanks          Code = "C308"
	MemoryBelowSlots      Code = "C309"
	ConnectionsBelowSlots Code = "C310"
	HeaderLimit           Code = "C311"
	BodyBeyondMemory      Code = "C312"
	TimeoutBeyondGrace    Code = "C313"
	KeptTooShort          Code = "C314"
	CalleeOutlivesCaller  Code = "C315"
	DeadlinePassed        Code = "C316"
	NoTimeout             Code = "C317"
)

// Codes of differences.
const (
	RouteRemoved   Code = "C401"
	RouteAdded     Code = "C402"
	RouteMoved     Code = "C403"
	WeightsMoved   Code = "C404"
	RouteTreatment Code = "C405"
	RouteAims      Code = "C406"
	ServiceRemoved Code = "C411"
	ServiceAdded   Code = "C412"
	ServiceChanged Code = "C413"
	VersionsMoved  Code = "C414"
	VersionChanged Code = "C415"
	AccountRemoved Code = "C421"
	AccountAdded   Code = "C422"
	AccountKeys    Code = "C423"
	AccountChanged Code = "C424"
	LimitChanged   Code = "C431"
	MemberChanged  Code = "C441"
	OtherChanged   Code = "C442"
)

// Codes of information.
const (
	ExtraKey          Code = "C501"
	IdlePriorities    Code = "C502"
	BodyBeyondKVCache Code = "C503"
)

// severity returns the severity that all findings of the code have.
func (c Code) severity() Severity {
	switch c[1] {
	case '1':
		return Error
	case '4':
		return Change
	case '5':
		return Info
	}
	return Warning
}

// Finding is one result of the check.
type Finding struct {
	Code     Code     `json:"code"`
	Severity Severity `json:"severity"`
	// Line is 1-based; 0 only if there is no text.
	Line int    `json:"line"`
	Key  string `json:"key,omitempty"`
	// Text says what is wrong and what to write instead, or what changes.
	Text string `json:"text"`
}

// New returns a finding at a place.
func New(code Code, at Place, format string, args ...any) Finding {
	return Finding{Code: code, Severity: code.severity(), Line: at.Line, Key: at.Key, Text: fmt.Sprintf(format, args...)}
}

// maxOfCode bounds the findings of one code in a report, so that a file of another kind gives a short one.
const maxOfCode = 50

// Report orders findings for output: errors, warnings and information by line, differences before information in
// the order given. Of each code at most 50 are kept; the last one then states how many are left out.
func Report(findings []Finding) []Finding {
	order := map[Severity]int{Error: 0, Warning: 1, Change: 2, Info: 3}
	sorted := slices.Clone(findings)
	slices.SortStableFunc(sorted, func(a, b Finding) int {
		if c := cmp.Compare(order[a.Severity], order[b.Severity]); c != 0 || a.Severity == Change {
			return c
		}
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Key, b.Key))
	})
	counts := make(map[Code]int)
	last := make(map[Code]int)
	kept := sorted[:0]
	for _, f := range sorted {
		if counts[f.Code]++; counts[f.Code] > maxOfCode {
			continue
		}
		last[f.Code] = len(kept)
		kept = append(kept, f)
	}
	for code, n := range counts {
		if n > maxOfCode {
			kept[last[code]].Text += fmt.Sprintf(" (%d more findings of this code are not shown)", n-maxOfCode)
		}
	}
	return kept
}

// Has reports whether a finding has the severity.
func Has(findings []Finding, severity Severity) bool {
	return slices.ContainsFunc(findings, func(f Finding) bool { return f.Severity == severity })
}

// ExitCode returns the exit status of a check: 2 with errors, 1 with warnings if strict is set, else 0.
func ExitCode(findings []Finding, strict bool) int {
	switch {
	case Has(findings, Error):
		return 2
	case strict && Has(findings, Warning):
		return 1
	}
	return 0
}
