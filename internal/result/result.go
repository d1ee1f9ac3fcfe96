// Package result defines the numbered result codes that callers, operators and
// other processes of the system receive. docs/result-codes.md lists them.
package result

import (
	"fmt"
	"net/http"
)

// Header carries the number of the result code in an error response.
const Header = "Bramleygap-Code"

// Class says what is known about the execution of a request on a target.
type Class int

const (
	// ClassNotRun means that the request provably did not run.
	ClassNotRun Class = iota + 1
	// ClassRan means that the request ran, completely or in part.
	ClassRan
	// ClassUnknown means that the request may have run.
	ClassUnknown
)

// String returns the name used in responses and in the documentation.
func (c Class) String() string {
	switch c {
	case ClassNotRun:
		return "not-run"
	case ClassRan:
		return "ran"
	case ClassUnknown:
		return "unknown"
	}
	return "invalid"
}

// Code is a numbered result. 0 means success; numbers are never reused.
type Code uint32

// Result codes. 1xxx: not run. 2xxx: ran. 3xxx: unknown.
const (
	OK Code = 0

	MalformedRequest   Code = 1001
	RequestTooLarge    Code = 1002
	Unauthenticated    Code = 1003
	UnknownService     Code = 1004
	NoShare            Code = 1005
	KeyRequired        Code = 1006
	KeyReused          Code = 1007
	CallInProgress     Code = 1008
	StoreUnavailable   Code = 1009
	Overloaded         Code = 1010
	NoTarget           Code = 1011
	CrashesTargets     Code = 1012
	DeadlineTooShort   Code = 1013
	NotReady           Code = 1014
	Leaving            Code = 1015
	TargetUnreachable  Code = 1016
	CallCancelled      Code = 1017
	UnknownRoute       Code = 1018
	VersionUnavailable Code = 1019
	FenceTooOld        Code = 1020
	InvalidText        Code = 1021
	Conflict           Code = 1022
	InvalidResumeID    Code = 1023
	RetryBudgetSpent   Code = 1024
	UnknownVersion     Code = 1025
	UnknownVM          Code = 1026

	GenerationFailed   Code = 2001
	ResumeLost         Code = 2002
	VersionGone        Code = 2003
	DeadlineExceeded   Code = 2004
	SlowCaller         Code = 2005
	Superseded         Code = 2006
	Preempted          Code = 2007
	TargetDied         Code = 2008
	ApplicationFailed  Code = 2009
	Cancelled          Code = 2010
	CrashedMidway      Code = 2011
	ResponseTooLarge   Code = 2012
	ResumeBudgetSpent  Code = 2013
	TargetRefusedOrder Code = 2014

	OutcomeUnknown   Code = 3001
	TargetSilent     Code = 3002
	Internal         Code = 3003
	ClaimUnavailable Code = 3004
)

type definition struct {
	name   string
	class  Class
	status int
}

var definitions = map[Code]definition{
	MalformedRequest:   {"MALFORMED_REQUEST", ClassNotRun, http.StatusBadRequest},
	RequestTooLarge:    {"REQUEST_TOO_LARGE", ClassNotRun, http.StatusRequestEntityTooLarge},
	Unauthenticated:    {"UNAUTHENTICATED", ClassNotRun, http.StatusUnauthorized},
	UnknownService:     {"UNKNOWN_SERVICE", ClassNotRun, http.StatusNotFound},
	NoShare:            {"NO_SHARE", ClassNotRun, http.StatusForbidden},
	KeyRequired:        {"KEY_REQUIRED", ClassNotRun, http.StatusBadRequest},
	KeyReused:          {"KEY_REUSED", ClassNotRun, http.StatusUnprocessableEntity},
	CallInProgress:     {"CALL_IN_PROGRESS", ClassUnknown, http.StatusConflict},
	StoreUnavailable:   {"STORE_UNAVAILABLE", ClassNotRun, http.StatusServiceUnavailable},
	Overloaded:         {"OVERLOADED", ClassNotRun, http.StatusTooManyRequests},
	NoTarget:           {"NO_TARGET", ClassNotRun, http.StatusServiceUnavailable},
	CrashesTargets:     {"CRASHES_TARGETS", ClassNotRun, http.StatusUnprocessableEntity},
	DeadlineTooShort:   {"DEADLINE_TOO_SHORT", ClassNotRun, http.StatusGatewayTimeout},
	NotReady:           {"NOT_READY", ClassNotRun, http.StatusServiceUnavailable},
	Leaving:            {"LEAVING", ClassNotRun, http.StatusServiceUnavailable},
	TargetUnreachable:  {"TARGET_UNREACHABLE", ClassNotRun, http.StatusBadGateway},
	CallCancelled:      {"CALL_CANCELLED", ClassNotRun, http.StatusConflict},
	UnknownRoute:       {"UNKNOWN_ROUTE", ClassNotRun, http.StatusNotFound},
	VersionUnavailable: {"VERSION_UNAVAILABLE", ClassNotRun, http.StatusServiceUnavailable},
	FenceTooOld:        {"FENCE_TOO_OLD", ClassNotRun, http.StatusConflict},
	InvalidText:        {"INVALID_TEXT", ClassNotRun, http.StatusUnprocessableEntity},
	Conflict:           {"CONFLICT", ClassNotRun, http.StatusConflict},
	InvalidResumeID:    {"INVALID_RESUME_ID", ClassNotRun, http.StatusBadRequest},
	RetryBudgetSpent:   {"RETRY_BUDGET_SPENT", ClassNotRun, http.StatusServiceUnavailable},
	UnknownVersion:     {"UNKNOWN_VERSION", ClassNotRun, http.StatusNotFound},
	UnknownVM:          {"UNKNOWN_VM", ClassNotRun, http.StatusNotFound},

	GenerationFailed:   {"GENERATION_FAILED", ClassRan, http.StatusBadGateway},
	ResumeLost:         {"RESUME_LOST", ClassRan, http.StatusGone},
	VersionGone:        {"VERSION_GONE", ClassRan, http.StatusGone},
	DeadlineExceeded:   {"DEADLINE_EXCEEDED", ClassRan, http.StatusGatewayTimeout},
	SlowCaller:         {"SLOW_CALLER", ClassRan, http.StatusRequestTimeout},
	Superseded:         {"SUPERSEDED", ClassRan, http.StatusConflict},
	Preempted:          {"PREEMPTED", ClassRan, http.StatusServiceUnavailable},
	TargetDied:         {"TARGET_DIED", ClassRan, http.StatusBadGateway},
	ApplicationFailed:  {"APPLICATION_FAILED", ClassRan, http.StatusBadGateway},
	Cancelled:          {"CANCELLED", ClassRan, 499},
	CrashedMidway:      {"CRASHED_MIDWAY", ClassRan, http.StatusUnprocessableEntity},
	ResponseTooLarge:   {"RESPONSE_TOO_LARGE", ClassRan, http.StatusBadGateway},
	ResumeBudgetSpent:  {"RESUME_BUDGET_SPENT", ClassRan, http.StatusServiceUnavailable},
	TargetRefusedOrder: {"TARGET_REFUSED_ORDER", ClassRan, http.StatusConflict},

	OutcomeUnknown:   {"OUTCOME_UNKNOWN", ClassUnknown, http.StatusBadGateway},
	TargetSilent:     {"TARGET_SILENT", ClassUnknown, http.StatusGatewayTimeout},
	Internal:         {"INTERNAL", ClassUnknown, http.StatusInternalServerError},
	ClaimUnavailable: {"CLAIM_UNAVAILABLE", ClassUnknown, http.StatusServiceUnavailable},
}

// String returns the upper-case name of the code, or its number if it is not defined.
func (c Code) String() string {
	if c == OK {
		return "OK"
	}
	if d, ok := definitions[c]; ok {
		return d.name
	}
	return fmt.Sprintf("CODE_%d", uint32(c))
}

// Class returns what the code says about execution; undefined codes are ClassUnknown.
func (c Code) Class() Class {
	if c == OK {
		return ClassRan
	}
	if d, ok := definitions[c]; ok {
		return d.class
	}
	return ClassUnknown
}

// HTTPStatus returns the status that accompanies the code in an HTTP response.
func (c Code) HTTPStatus() int {
	if c == OK {
		return http.StatusOK
	}
	if d, ok := definitions[c]; ok {
		return d.status
	}
	return http.StatusInternalServerError
}

// All returns every defined code except OK, in no particular order.
func All() []Code {
	codes := make([]Code, 0, len(definitions))
	for c := range definitions {
		codes = append(codes, c)
	}
	return codes
}

// Error is an error that carries a result code.
type Error struct {
	Code    Code
	Message string
	Cause   error
}

// New returns an Error with a formatted message.
func New(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

// Error implements error.
func (e *Error) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("%s (%d): %s: %v", e.Code, uint32(e.Code), e.Message, e.Cause)
	}
	return fmt.Sprintf("%s (%d): %s", e.Code, uint32(e.Code), e.Message)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }
