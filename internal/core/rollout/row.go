// Package rollout decides the steps of the rollout of a new version: lease and fencing,
// advance, completion, withdrawal, the split of traffic and the order of loads.
package rollout

import (
	"encoding/binary"
	"encoding/json"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State of a rollout.
type State string

// States. Done and Withdrawn are final but for a withdrawal of a version that is done.
const (
	Running   State = "running"
	Done      State = "done"
	Withdrawn State = "withdrawn"
)

// OnTooLittleTraffic is the decision at the deadline when too little traffic came to judge.
type OnTooLittleTraffic string

// Decisions for too little traffic; empty means WithdrawOnTooLittleTraffic.
const (
	WithdrawOnTooLittleTraffic OnTooLittleTraffic = "withdraw"
	FinishOnTooLittleTraffic   OnTooLittleTraffic = "finish"
)

// steps are the shares of new requests in percent. The first one loads the version on
// targets before any request goes there; after the last one the rollout is done.
var steps = []float64{0, 1, 5, 20, 50}

// Row is the table row of one rollout.
type Row struct {
	Service  string `json:"service"`
	Version  string `json:"version"`
	Previous string `json:"previous"`
	State    State  `json:"state"`
	Step     int    `json:"step"`
	// Times in Unix milliseconds.
	Started            int64              `json:"started_unix_ms"`
	StepSince          int64              `json:"step_since_unix_ms"`
	Deadline           int64              `json:"deadline_unix_ms"`
	Ended              int64              `json:"ended_unix_ms,omitempty"`
	KeepPrevious       int64              `json:"keep_previous_ms,omitempty"`
	OnTooLittleTraffic OnTooLittleTraffic `json:"on_too_little_traffic,omitempty"`
	Owner              string             `json:"owner,omitempty"`
	Incarnation        uint64             `json:"incarnation,omitempty"`
	// Fence is drawn from the service's row at each new lease; orders carry it.
	Fence      uint64 `json:"fence"`
	LeaseUntil int64  `json:"lease_until_unix_ms,omitempty"`
	// Retired is set once the previous version was unloaded from all targets.
	Retired  bool   `json:"retired,omitempty"`
	Operator string `json:"operator,omitempty"`
	Reason   string `json:"reason,omitempty"`
}

// Key returns the table key of a rollout.
func Key(service, version string) string { return Prefix + service + "/" + version }

// Prefix is the common prefix of the table keys of rollouts.
const Prefix = "rollout/"

// Parse decodes a row's value.
func Parse(value []byte) (Row, error) {
	var r Row
	err := json.Unmarshal(value, &r)
	return r, err
}

// Encode returns the row's value.
func (r Row) Encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return value
}

// Share returns the version's part of new requests in percent.
func (r *Row) Share() float64 {
	switch r.State {
	case Running:
		return steps[max(0, min(r.Step, len(steps)-1))]
	case Done:
		return 100
	}
	return 0
}

// Sort orders rows of one service by start. Only the first running one is worked on.
func Sort(rows []Row) {
	sort.Slice(rows, func(i, j int) bool {
		if rows[i].Started != rows[j].Started {
			return rows[i].Started < rows[j].Started
		}
		return rows[i].Version < rows[j].Version
	})
}

// Active returns the first running row of sorted rows that is not withdrawn, or nil.
func Active(rows []Row, withdrawn func(version string) bool) *Row {
	for i := range rows {
		if rows[i].State == Running && !withdrawn(rows[i].Version) {
			return &rows[i]
		}
	}
	return nil
}

// Current returns the row of sorted rows that is worked on: the first running one, else the
// first completed one whose previous version is to be unloaded, or nil.
func Current(rows []Row, withdrawn func(version string) bool, now time.Time) *Row {
	if active := Active(rows, withdrawn); active != nil {
		return active
	}
	for i := range rows {
		if Retiring(&rows[i], now) && !withdrawn(rows[i].Version) {
			return &rows[i]
		}
	}
	return nil
}

// splitParts is the resolution of the split.
const splitParts = 10000

// Split chooses the version of a request from the sorted rows of its service. Entries
// with the same rows and the same withdrawn versions choose alike. Empty means that the
// rows leave the choice to the configured shares.
func Split(rows []Row, withdrawn func(version string) bool, seed uint64) string {
	base := ""
	for i := range rows {
		r := &rows[i]
		switch {
		case r.State == Done && !withdrawn(r.Version):
			base = r.Version
		case (r.State == Done || base == "") && !withdrawn(r.Previous):
			// The version was taken back or has not taken over yet.
			base = r.Previous
		}
	}
	active := Active(rows, withdrawn)
	if active == nil {
		return base
	}
	if float64(point(active, seed)) < active.Share()*splitParts/100 {
		return active.Version
	}
	if base == active.Version {
		return active.Previous
	}
	return base
}

// point maps a request to a place in the split. It depends on the version, so that it is
// not always the same requests that try new versions.
func point(r *Row, seed uint64) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], seed)
	h := xxhash.New()
	_, _ = h.Write(b[:])
	_, _ = h.WriteString(r.Service + "\x00" + r.Version)
	return h.Sum64() % splitParts
}

func at(ms int64) time.Time { return time.UnixMilli(ms) }
