package main

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"
)

// copyLifetime is how long the copy of a run's memory is kept after its last part (handleS).
const copyLifetime = 4 * time.Second

// copyPath is where engines send each other the memory of runs.
const copyPath = "/standin/copy"

// memory is what an engine keeps of the runs of others.
type memory struct {
	mu     sync.Mutex
	copies map[string]runCopy
}

// runCopy is the copy of a run's memory.
type runCopy struct {
	// origin is the attempt whose prompt the memory was read from.
	origin  string
	expires time.Time
}

// receive keeps a part of a run's memory that another engine sends, or drops the copy of a run that has ended.
func (m *memory) receive(r *http.Request) {
	query := r.URL.Query()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.copies == nil {
		m.copies = map[string]runCopy{}
	}
	if query.Get("ended") != "" {
		delete(m.copies, query.Get("id"))
		return
	}
	m.copies[query.Get("id")] = runCopy{query.Get("origin"), time.Now().Add(copyLifetime)}
}

// take returns the copy of a run, which can be used once.
func (m *memory) take(id string) (runCopy, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, found := m.copies[id]
	delete(m.copies, id)
	return c, found && time.Now().Before(c.expires)
}

// backup sends the memory of a run to another engine, "" for none.
type backup struct{ address, id, origin string }

var copyClient = &http.Client{Timeout: 200 * time.Millisecond}

// send sends a part of the memory, or word that the run has ended.
func (b backup) send(ended bool) {
	if b.address == "" {
		return
	}
	query := url.Values{"id": {b.id}, "origin": {b.origin}}
	if ended {
		query.Set("ended", "1")
	}
	response, err := copyClient.Post("http://"+b.address+copyPath+"?"+query.Encode(), "", nil)
	if err == nil {
		_ = response.Body.Close()
	}
}

// resume returns the attempt whose prompt a request goes on from, and false if it names a copy that is not here.
func (e *engine) resume(r *http.Request, attempt string) (origin string, ok bool) {
	from := r.Header.Get("Kv-From")
	if from == "" {
		return attempt, true
	}
	address, id, _ := strings.Cut(from, "/")
	c, found := e.memory.take(id)
	if !found || address != e.address {
		return "", false
	}
	e.log("resumed from "+id, attempt, r.URL.Path, 0)
	return c.origin, true
}

// eventsOf returns the origins of the events of a stream, and the number of the last event.
func eventsOf(body []byte) (origins map[string]int, last int) {
	origins = map[string]int{}
	for line := range strings.SplitSeq(string(body), "\n") {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			last, _ = strconv.Atoi(id)
		}
		var n int
		var origin string
		if _, err := fmt.Sscanf(line, "data: part %d of %s", &n, &origin); err == nil {
			origins[origin]++
		}
	}
	return origins, last
}
