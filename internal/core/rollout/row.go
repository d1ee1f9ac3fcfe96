// Package rollout makes the decisions in the rollout of a new version: lease and fencing,
// steps, completion, withdrawal, the split of traffic and the order of loads.
package rollout

import (
	"encoding/binary"
	"encoding/json"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleygap/internal/core/membership"
)

// State is the state of a rollout.
type State string

// States of a rollout. Done and Withdrawn are final, except that a version in Done may still
// be withdrawn.
const (
	Running   State = "running"
	Done      State = "done"
	Withdrawn State = "withdrawn"
)

// OnTooLittleTraffic is the action at the deadline if there was too little traffic for a
// verdict.
type OnTooLittleTraffic string

// Values of OnTooLittleTraffic; empty means WithdrawOnTooLittleTraffic.
const (
	WithdrawOnTooLittleTraffic OnTooLittleTraffic = "withdraw"
	FinishOnTooLittleTraffic   OnTooLittleTraffic = "finish"
)

// steps are the shares of new requests in percent. Step 0 loads the version on targets
// before it gets any request; after the last step the rollout is done.
var steps = []float64{0, 1, 5, 20, 50}

// Row is the table row of one rollout.
type Row struct {
	Service  string `json:"service"`
	Version  string `json:"version"`
	Previous string `json:"previous"`
	State    State  `json:"state"`
	Step     int    `json:"step"`
	// The times are in Unix milliseconds, KeepPrevious in milliseconds.
	Started            int64              `json:"started_unix_ms"`
	StepSince          int64              `json:"step_since_unix_ms"`
	Deadline           int64              `json:"deadline_unix_ms"`
	Ended              int64              `json:"ended_unix_ms,omitempty"`
	KeepPrevious       int64              `json:"keep_previous_ms,omitempty"`
	OnTooLittleTraffic OnTooLittleTraffic `json:"on_too_little_traffic,omitempty"`
	Owner              string             `json:"owner,omitempty"`
	Incarnation        uint64             `json:"incarnation,omitempty"`
	// Fence is the fencing token that orders carry. It is drawn from the service's row
	// for each new lease.
	Fence      uint64 `json:"fence"`
	LeaseUntil int64  `json:"lease_until_unix_ms,omitempty"`
	// Retired is set once the previous version has been unloaded from all targets.
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

// Share returns the version's share of new requests in percent.
func (r *Row) Share() float64 {
	switch r.State {
	case Running:
		return steps[max(0, min(r.Step, len(steps)-1))]
	case Done:
		return 100
	}
	return 0
}

// Sort sorts rows of one service by start time. Only the first running one is worked on.
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
// first completed one whose previous version is to be unloaded, else the last completed one if
// a target lacks its version, or nil.
func Current(rows []Row, withdrawn func(version string) bool, targets []membership.Target, now time.Time) *Row {
	if active := Active(rows, withdrawn); active != nil {
		return active
	}
	for i := range rows {
		if Retiring(&rows[i], now) && !withdrawn(rows[i].Version) {
			return &rows[i]
		}
	}
	for i := len(rows) - 1; i >= 0; i-- {
		if r := &rows[i]; r.State == Done && !withdrawn(r.Version) {
			if Missing(r, targets) {
				return r
			}
			return nil
		}
	}
	return nil
}

// splitSlots is the number of slots over which requests are distributed.
const splitSlots = 10000

// Split chooses the version for a request from the sorted rows of its service. Entries
// with the same rows and the same withdrawn versions make the same choice. An empty result
// leaves the choice to the configured shares.
func Split(rows []Row, withdrawn func(version string) bool, seed uint64) string {
	base := ""
	for i := range rows {
		r := &rows[i]
		switch {
		case r.State == Done && !withdrawn(r.Version):
			base = r.Version
		case (r.State == Done || base == "") && !withdrawn(r.Previous):
			// The version was withdrawn or does not have all traffic yet.
			base = r.Previous
		}
	}
	active := Active(rows, withdrawn)
	if active == nil {
		return base
	}
	if float64(slot(active, seed)) < active.Share()*splitSlots/100 {
		return active.Version
	}
	if base == active.Version {
		return active.Previous
	}
	return base
}

// slot returns the slot of a request. It depends on the version, so that new versions are
// not always tried on the same requests.
func slot(r *Row, seed uint64) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], seed)
	h := xxhash.New()
	_, _ = h.Write(b[:])
	_, _ = h.WriteString(r.Service + "\x00" + r.Version)
	return h.Sum64() % splitSlots
}

func at(ms int64) time.Time { return time.UnixMilli(ms) }
