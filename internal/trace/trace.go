// Package trace reads recorded traces and the outcomes stated for them.
//
// A trace is JSON Lines: one object per line. Empty lines and lines that begin with
// "#" are skipped. docs/traces.md describes the fields.
package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// MaxLineBytes bounds one line, so that a damaged file cannot exhaust memory.
	MaxLineBytes = 1 << 20
	// MaxEvents bounds the number of events of one trace.
	MaxEvents = 1_000_000
)

// Kind is the type of a trace event.
type Kind string

// Kinds of events.
const (
	KindGeneration Kind = "generation"
	KindCall       Kind = "call"
	KindFault      Kind = "fault"
)

// Action is a fault that the replay injects.
type Action string

// Actions of fault events.
const (
	ActionKillEngine        Action = "kill_engine"
	ActionFreezeEngine      Action = "freeze_engine"
	ActionKillAgent         Action = "kill_agent"
	ActionKillEntry         Action = "kill_entry"
	ActionStoreOutage       Action = "store_outage"
	ActionStoreRecovery     Action = "store_recovery"
	ActionDropStoreResponse Action = "drop_store_answer"
	ActionCutAppResponse    Action = "cut_application_answer"
)

var actions = map[Action]bool{
	ActionKillEngine: true, ActionFreezeEngine: true, ActionKillAgent: true, ActionKillEntry: true,
	ActionStoreOutage: true, ActionStoreRecovery: true, ActionDropStoreResponse: true, ActionCutAppResponse: true,
}

// Event is one line of a trace.
type Event struct {
	// AtMS is the time from the start of the trace in milliseconds.
	AtMS int64 `json:"at_ms"`
	Kind Kind  `json:"kind"`
	// ID names the request in the outcome file; unique for generations and calls.
	ID      string `json:"id,omitempty"`
	Account string `json:"account,omitempty"`
	Service string `json:"service,omitempty"`

	// Fields of generations.
	Prompt    string `json:"prompt,omitempty"`
	MaxTokens int    `json:"max_tokens,omitempty"`
	Seed      uint64 `json:"seed,omitempty"`
	Stream    bool   `json:"stream,omitempty"`

	// Fields of calls.
	Method string          `json:"method,omitempty"`
	Path   string          `json:"path,omitempty"`
	Body   json.RawMessage `json:"body,omitempty"`
	// Key is the idempotency key of a call that must not be repeated.
	Key string `json:"key,omitempty"`

	// Fields of faults. A fault with AfterID is injected when that generation has
	// delivered AfterTokens tokens, so that it occurs at the same point of each replay.
	Action      Action `json:"action,omitempty"`
	Target      string `json:"target,omitempty"`
	AfterID     string `json:"after_id,omitempty"`
	AfterTokens int    `json:"after_tokens,omitempty"`
}

// At returns the time from the start of the trace.
func (e *Event) At() time.Duration { return time.Duration(e.AtMS) * time.Millisecond }

// Decode reads and validates a trace. Errors name the line.
func Decode(r io.Reader) ([]Event, error) {
	var events []Event
	ids := make(map[string]bool)
	err := decodeLines(r, func(line int, raw []byte) error {
		if len(events) == MaxEvents {
			return eris.Errorf("line %d: more than %d events", line, MaxEvents)
		}
		var event Event
		if err := decodeStrict(raw, &event); err != nil {
			return eris.Wrapf(err, "line %d", line)
		}
		if err := event.validate(ids); err != nil {
			return eris.Wrapf(err, "line %d", line)
		}
		events = append(events, event)
		return nil
	})
	return events, err
}

func (e *Event) validate(ids map[string]bool) error {
	if e.AtMS < 0 {
		return eris.New("at_ms must not be negative")
	}
	switch e.Kind {
	case KindGeneration, KindCall:
		return e.validateRequest(ids)
	case KindFault:
		return e.validateFault(ids)
	}
	return eris.Errorf("unknown kind %q, use generation, call or fault", e.Kind)
}

func (e *Event) validateRequest(ids map[string]bool) error {
	if e.ID == "" || e.Service == "" || e.Account == "" {
		return eris.New("id, service and account are required")
	}
	if ids[e.ID] {
		return eris.Errorf("id %q occurs twice", e.ID)
	}
	ids[e.ID] = true
	if e.Kind == KindGeneration && (e.Prompt == "" || e.MaxTokens <= 0) {
		return eris.New("a generation needs prompt and max_tokens above 0")
	}
	if e.Kind == KindCall && (e.Method == "" || e.Path == "") {
		return eris.New("a call needs method and path")
	}
	return nil
}

func (e *Event) validateFault(ids map[string]bool) error {
	if !actions[e.Action] {
		return eris.Errorf("unknown action %q", e.Action)
	}
	if e.AfterID != "" && !ids[e.AfterID] {
		return eris.Errorf("after_id %q is not the id of an earlier line", e.AfterID)
	}
	return nil
}

// Outcome is the stated outcome of one request of a trace.
type Outcome struct {
	ID string `json:"id"`
	// Complete is set if the whole response must arrive.
	Complete bool `json:"complete"`
	// Codes lists the result codes allowed if the response is not complete.
	Codes []uint32 `json:"codes,omitempty"`
	// Tokens is the exact token count of a complete generation; 0 means any.
	Tokens int `json:"tokens,omitempty"`
	// Runs is the exact number of runs of a call; absent means not checked.
	Runs *int `json:"runs,omitempty"`
}

// DecodeOutcomes reads an outcome file, JSON Lines with one Outcome per line.
func DecodeOutcomes(r io.Reader) (map[string]Outcome, error) {
	outcomes := make(map[string]Outcome)
	err := decodeLines(r, func(line int, raw []byte) error {
		var outcome Outcome
		if err := decodeStrict(raw, &outcome); err != nil {
			return eris.Wrapf(err, "line %d", line)
		}
		if outcome.ID == "" {
			return eris.Errorf("line %d: id is required", line)
		}
		if _, ok := outcomes[outcome.ID]; ok {
			return eris.Errorf("line %d: id %q occurs twice", line, outcome.ID)
		}
		outcomes[outcome.ID] = outcome
		return nil
	})
	return outcomes, err
}

func decodeLines(r io.Reader, handle func(line int, raw []byte) error) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), MaxLineBytes)
	line := 0
	for scanner.Scan() {
		line++
		raw := bytes.TrimSpace(scanner.Bytes())
		if len(raw) == 0 || raw[0] == '#' {
			continue
		}
		if err := handle(line, raw); err != nil {
			return err
		}
	}
	if err := scanner.Err(); err != nil {
		return eris.Wrap(err, fmt.Sprintf("line %d", line+1))
	}
	return nil
}

func decodeStrict(raw []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if decoder.More() {
		return eris.New("more than one object on a line")
	}
	return nil
}
