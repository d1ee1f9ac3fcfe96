package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeRow is a row of the platform's store.
type storeRow struct {
	Table    string `json:"table"`
	Part     string `json:"part"`
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"rowVersion"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's store: tables with one counter of revisions.
type store struct {
	started  time.Time
	mu       sync.Mutex
	changed  chan struct{}
	rows     map[string]map[string]storeRow
	history  []storeRow
	revision uint64
}

// operatorPath is where the operator and the engines write: their way to the store is not described.
const operatorPath = "/standin/put"

func runStore(address string) {
	s := &store{started: time.Now(), changed: make(chan struct{}), rows: map[string]map[string]storeRow{}}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		fatal(err)
	}
	fatal(http.Serve(listener, s))
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/bramleygap/rows-get":
		s.get(w, r)
	case "/bramleygap/rows-feed":
		s.feed(w, r)
	case "/bramleygap/rows-tx":
		s.transaction(w, r)
	case operatorPath:
		var row storeRow
		if err := json.NewDecoder(r.Body).Decode(&row); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.mu.Lock()
		s.apply([]storeRow{row})
		s.mu.Unlock()
		s.respond(w, nil, false)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) respond(w http.ResponseWriter, rows []storeRow, more bool) {
	s.mu.Lock()
	body := map[string]any{"rowVersion": s.revision, "serverTimeMs": time.Since(s.started).Milliseconds()}
	s.mu.Unlock()
	if rows != nil {
		body["rows"], body["hasMore"] = rows, more
	}
	writeJSON(w, http.StatusOK, body)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	rows := []storeRow{}
	for _, row := range s.rows[q.Get("table")] {
		if row.Part == q.Get("part") && row.Key >= q.Get("from") && (q.Get("to") == "" || row.Key < q.Get("to")) {
			rows = append(rows, row)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b storeRow) int { return strings.Compare(a.Key, b.Key) })
	s.respond(w, rows[:min(limit, len(rows))], len(rows) > limit)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("afterRev"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("maxWaitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		rows := []storeRow{}
		for _, row := range s.history {
			if row.Table == q.Get("table") && row.Revision > after {
				rows = append(rows, row)
			}
		}
		changed, revision := s.changed, s.revision
		s.mu.Unlock()
		body := map[string]any{"rows": rows, "rowVersion": revision, "serverTimeMs": time.Since(s.started).Milliseconds()}
		if len(rows) > 0 {
			writeJSON(w, http.StatusOK, body)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, http.StatusOK, body)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transaction(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []storeRow `json:"expectedRev"`
		Puts     []storeRow `json:"puts"`
		Remove   []storeRow `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for i := range body.Remove {
		body.Remove[i].Deleted = true
	}
	changes := append(body.Puts, body.Remove...)
	if slices.ContainsFunc(changes, func(row storeRow) bool { return row.Table == "op" || row.Table == "servers" }) {
		http.Error(w, "table is read-only", http.StatusForbidden)
		return
	}
	s.mu.Lock()
	for _, e := range body.Expected {
		if s.rows[e.Table][e.Key].Revision != e.Revision {
			current := s.rows[e.Table][e.Key]
			s.mu.Unlock()
			writeJSON(w, http.StatusPreconditionFailed, map[string]any{"rows": []storeRow{current}})
			return
		}
	}
	s.apply(changes)
	s.mu.Unlock()
	s.respond(w, nil, false)
}

// apply applies the changes of one transaction.
func (s *store) apply(changes []storeRow) {
	s.revision++
	for _, row := range changes {
		row.Revision = s.revision
		if s.rows[row.Table] == nil {
			s.rows[row.Table] = map[string]storeRow{}
		}
		if row.Deleted {
			delete(s.rows[row.Table], row.Key)
		} else {
			s.rows[row.Table][row.Key] = row
		}
		s.history = append(s.history, row)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
