package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the store as it appears in calls.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"rowVersion"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's store. It keeps all of its history.
type store struct {
	mu      sync.Mutex
	rows    map[string]map[string]row
	history []row
	version uint64
	changed chan struct{}
	silent  bool
	started time.Time
}

func newStore() *store {
	return &store{rows: map[string]map[string]row{}, changed: make(chan struct{}), started: time.Now()}
}

// put writes a row as the operator or an engine.
func (s *store) put(table, key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{Table: table, Key: key, Value: encoded, Version: s.version})
	s.announce()
}

// remove removes a row as an engine that leaves.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{Table: table, Key: key, Version: s.version, Deleted: true})
	s.announce()
}

func (s *store) apply(r row) {
	if s.rows[r.Table] == nil {
		s.rows[r.Table] = map[string]row{}
	}
	if r.Deleted {
		delete(s.rows[r.Table], r.Key)
	} else {
		s.rows[r.Table][r.Key] = r
	}
	s.history = append(s.history, r)
}

func (s *store) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// setSilent makes the store answer nothing, or end that. Calls that were made meanwhile are never answered.
func (s *store) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	s.announce()
}

func (s *store) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

func (s *store) respond(w http.ResponseWriter, r *http.Request, status int, answer map[string]any) {
	if s.isSilent() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	answer["serverTimeMs"] = time.Since(s.started).Milliseconds()
	body, err := json.Marshal(answer)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isSilent() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	switch r.URL.Path {
	case "/bramleygap/rows-get":
		s.get(w, r)
	case "/bramleygap/rows-feed":
		s.feed(w, r)
	case "/bramleygap/rows-tx":
		s.transact(w, r)
	default:
		http.NotFound(w, r)
	}
}

const maxRows = 500

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	rows := []row{}
	for key, found := range s.rows[query.Get("table")] {
		if key >= query.Get("from") && (query.Get("to") == "" || key < query.Get("to")) {
			rows = append(rows, found)
		}
	}
	version := s.version
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	limit := maxRows
	if n, err := strconv.Atoi(query.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	more := len(rows) > limit
	rows = rows[:min(limit, len(rows))]
	s.respond(w, r, http.StatusOK, map[string]any{"rows": rows, "hasMore": more, "rowVersion": version})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("afterRev"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("maxWaitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		rows, version, changed := []row{}, s.version, s.changed
		for _, change := range s.history {
			if change.Table == query.Get("table") && change.Version > after {
				rows = append(rows, change)
			}
		}
		s.mu.Unlock()
		if len(rows) > 0 || expired || wait == 0 {
			s.respond(w, r, http.StatusOK, map[string]any{"rows": rows, "rowVersion": version})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Expected []row `json:"expectedRev"`
		Puts     []row `json:"puts"`
		Remove   []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		s.respond(w, r, http.StatusBadRequest, map[string]any{})
		return
	}
	status, current := s.perform(call.Expected, call.Puts, call.Remove)
	s.mu.Lock()
	version := s.version
	s.mu.Unlock()
	s.respond(w, r, status, map[string]any{"rows": current, "rowVersion": version})
}

// perform performs a transaction of the system. It returns the current rows if a condition does not hold.
func (s *store) perform(expected, puts, remove []row) (status int, current []row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, change := range slices.Concat(puts, remove) {
		if change.Table == "op" || change.Table == "servers" {
			return http.StatusForbidden, nil
		}
	}
	failed := false
	for _, e := range expected {
		have := s.rows[e.Table][e.Key]
		failed = failed || have.Version != e.Version
		if have.Key != "" {
			current = append(current, have)
		}
	}
	if failed {
		return http.StatusPreconditionFailed, current
	}
	s.version++
	for _, p := range puts {
		p.Version = s.version
		s.apply(p)
	}
	for _, d := range remove {
		d.Version, d.Deleted = s.version, true
		s.apply(d)
	}
	s.announce()
	return http.StatusOK, nil
}
