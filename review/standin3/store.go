package main

import (
	"encoding/base64"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storeLatency is how long the store takes for a call, historyRetention how long it keeps its history, and
	// maxRows the largest number of rows in an answer.
	storeLatency     = 3 * time.Millisecond
	historyRetention = 20 * time.Second
	maxRows          = 500
)

// row is a row of the platform's store. Its part is always empty: the stand-in has no others.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Version uint64 `json:"rowVersion,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
	at      time.Time
}

type rowsAnswer struct {
	Rows    []row  `json:"rows"`
	HasMore bool   `json:"hasMore"`
	Version uint64 `json:"rowVersion"`
	TimeMS  int64  `json:"serverTimeMs"`
}

// contents is what the store holds at one time.
type contents struct {
	tables  map[string]map[string]row
	history []row
	version uint64
	// dropped is the version up to which there is no history any more.
	dropped uint64
}

func (c *contents) clone() contents {
	copied := *c
	copied.tables = map[string]map[string]row{}
	for name, rows := range c.tables {
		copied.tables[name] = maps.Clone(rows)
	}
	copied.history = slices.Clone(c.history)
	return copied
}

// store stands in for the platform's store.
type store struct {
	address string
	started time.Time
	mu      sync.Mutex
	contents
	era     int
	down    bool
	changed chan struct{}
	// kept is the copy from which the store comes back, nil if there is none.
	kept *contents
}

func newStore() *store {
	s := &store{started: time.Now(), changed: make(chan struct{}), era: 1, contents: contents{tables: map[string]map[string]row{}}}
	listener := listen("0")
	s.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, s) }()
	return s
}

// put writes a row as the operator or an engine does, and returns its version, 0 if the store is away. A nil value
// removes the row.
func (s *store) put(table, key string, value any) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0
	}
	text, err := json.Marshal(value)
	check(err)
	s.apply([]row{{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(text), Deleted: value == nil}})
	return s.version
}

// apply makes changes as one transaction. The caller holds mu.
func (s *store) apply(changes []row) {
	s.version++
	for _, r := range changes {
		r.Version, r.at = s.version, time.Now()
		if s.tables[r.Table] == nil {
			s.tables[r.Table] = map[string]row{}
		}
		if r.Deleted {
			r.Value = ""
			delete(s.tables[r.Table], r.Key)
		} else {
			s.tables[r.Table][r.Key] = r
		}
		s.history = append(s.history, r)
	}
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyRetention {
		s.dropped = s.history[0].Version
		s.history = s.history[1:]
	}
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// keepCopy keeps a copy of what the store holds now.
func (s *store) keepCopy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := s.clone()
	s.kept = &copied
}

// goAway makes the store refuse all calls.
func (s *store) goAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = true
	s.wake()
}

// comeBack ends goAway. The store holds what its copy has, and counts on from the copy's version.
func (s *store) comeBack() (before, after uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before = s.version
	s.contents, s.down = *s.kept, false
	s.era++
	s.wake()
	return before, s.version
}

func (s *store) now() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	switch r.URL.Path {
	case "/bramleygap/rows-get":
		s.get(w, r)
	case "/bramleygap/rows-feed":
		s.feed(w, r)
	case "/bramleygap/rows-tx":
		s.transaction(w, r)
	default:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.answer(w, http.StatusNotFound, nil)
	}
}

// answer sends an answer. The caller holds mu.
func (s *store) answer(w http.ResponseWriter, status int, body *rowsAnswer) {
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	if body == nil {
		w.WriteHeader(status)
		return
	}
	body.Version, body.TimeMS = s.version, 1+time.Since(s.started).Milliseconds()
	if body.Rows == nil {
		body.Rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		s.answer(w, http.StatusServiceUnavailable, nil)
		return
	}
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > maxRows {
		limit = maxRows
	}
	body := &rowsAnswer{}
	for _, key := range slices.Sorted(maps.Keys(s.tables[q.Get("table")])) {
		if key < q.Get("from") || q.Get("to") != "" && key >= q.Get("to") || q.Get("part") != "" {
			continue
		}
		if body.HasMore = len(body.Rows) == limit; body.HasMore {
			break
		}
		body.Rows = append(body.Rows, s.tables[q.Get("table")][key])
	}
	s.answer(w, http.StatusOK, body)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("afterRev"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("maxWaitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for waited := false; ; {
		s.mu.Lock()
		body := &rowsAnswer{}
		for _, c := range s.history {
			if c.Table == q.Get("table") && c.Version > after {
				body.Rows = append(body.Rows, c)
			}
		}
		status := 0
		switch {
		case s.down:
			status = http.StatusServiceUnavailable
		case after > s.version || after < s.dropped:
			// The store has not the version, or not its history.
			status = http.StatusGone
		case len(body.Rows) > 0 || waited || wait == 0:
			status = http.StatusOK
		}
		if status != 0 {
			if status != http.StatusOK {
				body = nil
			}
			s.answer(w, status, body)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waited = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transaction(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []row `json:"expectedRev"`
		Puts     []row `json:"puts"`
		Remove   []row `json:"remove"`
	}
	err := json.NewDecoder(r.Body).Decode(&body)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		s.answer(w, http.StatusServiceUnavailable, nil)
		return
	}
	if err != nil {
		s.answer(w, http.StatusBadRequest, nil)
		return
	}
	for i := range body.Remove {
		body.Remove[i].Deleted = true
	}
	changes := append(body.Puts, body.Remove...)
	if slices.ContainsFunc(changes, func(r row) bool { return r.Table == "op" || r.Table == "servers" }) {
		s.answer(w, http.StatusForbidden, nil)
		return
	}
	conflict := &rowsAnswer{}
	for _, e := range body.Expected {
		if current := s.tables[e.Table][e.Key]; current.Version != e.Version {
			conflict.Rows = append(conflict.Rows, current)
		}
	}
	if len(conflict.Rows) > 0 {
		s.answer(w, http.StatusPreconditionFailed, conflict)
		return
	}
	s.apply(changes)
	s.answer(w, http.StatusOK, &rowsAnswer{})
}

// value returns the value of a row, "" if there is none.
func (s *store) value(table, key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	text, _ := base64.StdEncoding.DecodeString(s.tables[table][key].Value)
	return strings.TrimSpace(string(text))
}
