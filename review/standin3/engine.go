package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	// workTime is how long an engine works on a call, and eventGap the time between the events of a stream.
	workTime     = 15 * time.Millisecond
	eventGap     = 25 * time.Millisecond
	streamEvents = 20
)

// engine stands in for one process of an application engine or a model engine. It behaves like a sound one.
type engine struct {
	id, address, zone, service string
	model                      bool
	born                       int64
	store                      *store
	log                        *record
	mu                         sync.Mutex
	seq                        int
	running                    map[string]int
	server                     *http.Server
	// ended is closed when the process has ended.
	ended chan struct{}
	// events is the number of events of a stream, and gap the time between them.
	events int
	gap    time.Duration
	// crashing decides whether the engine crashes as it begins to answer a request. nil means that none crashes it.
	crashing func(*http.Request) bool
}

// startEngine starts an engine that registers itself and goes on to do so.
func startEngine(s *store, log *record, id, zone, service string, model bool) *engine {
	e := &engine{id: id, zone: zone, service: service, model: model, store: s, log: log, events: streamEvents, gap: eventGap}
	e.start()
	return e
}

// start starts the engine's process at its address.
func (e *engine) start() {
	port := "0"
	if e.address != "" {
		var err error
		_, port, err = net.SplitHostPort(e.address)
		check(err)
	}
	listener := listen(port)
	e.address, e.born, e.running, e.ended = listener.Addr().String(), time.Now().UnixMilli(), map[string]int{}, make(chan struct{})
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(listener) }()
	e.register()
	go func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				e.register()
			case <-e.ended:
				return
			}
		}
	}()
}

// crash ends the engine's process: its port is closed and its connections with it. Its entry lapses after three
// intervals without one. It reports whether the process had not ended before.
func (e *engine) crash(why string) bool {
	e.mu.Lock()
	select {
	case <-e.ended:
		e.mu.Unlock()
		return false
	default:
		close(e.ended)
	}
	e.mu.Unlock()
	e.log.add("engine %s crashes: %s", e.id, why)
	_ = e.server.Close()
	time.AfterFunc(3*heartbeat, func() { e.store.put("servers", e.id, nil) })
	return true
}

// next returns the next process of a crashed engine, which has a new id.
func (e *engine) next(id string) *engine {
	started := &engine{
		id: id, address: e.address, zone: e.zone, service: e.service, model: e.model, store: e.store, log: e.log, events: e.events, gap: e.gap, crashing: e.crashing,
	}
	started.start()
	started.log.add("engine %s is back as %s", e.id, id)
	return started
}

func (e *engine) models() []any {
	if !e.model {
		return []any{}
	}
	return []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
}

func (e *engine) entry() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seq++
	slots := 6
	if e.model {
		slots = 64
	}
	entry := map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": slots, "state": "ready", "coldRemainingMs": 0,
		"seq": e.seq, "born": e.born,
	}
	if e.model {
		entry["stage"], entry["models"] = "both", e.models()
	}
	return entry
}

func (e *engine) register() {
	select {
	case <-e.ended:
	default:
		e.store.put("servers", e.id, e.entry())
	}
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/health":
		w.Header().Set("Bramleygap-Instance-Id", e.id)
		return
	case "/bramleygap/report":
		e.report(w)
		return
	}
	id := r.Header.Get("Bramleygap-Attempt-Id")
	if expected := r.Header.Get("Bramleygap-Expect-Instance"); expected != "" && expected != e.id {
		w.Header().Set("Bramleygap-Instance-Id", e.id)
		w.Header().Set("Bramleygap-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	e.log.add("engine %s (%s) runs request %s, tenant %q, path %s", e.id, e.service, id, r.Header.Get("Bramleygap-Tenant"), r.URL.Path)
	e.mu.Lock()
	e.running[id] = 0
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		delete(e.running, id)
		e.mu.Unlock()
	}()
	w.Header().Set("Bramleygap-Attempt-Id", id)
	w.Header().Set("Bramleygap-Response-Signature", "proof."+e.id)
	if !e.model {
		time.Sleep(workTime)
		body := "answer of " + e.service + " to " + id
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(w, body)
		return
	}
	e.stream(w, r, id)
}

func (e *engine) stream(w http.ResponseWriter, r *http.Request, id string) {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	if e.crashing != nil && e.crashing(r) {
		_ = http.NewResponseController(w).Flush()
		e.crash("it begins to answer request " + id)
		return
	}
	for n := after + 1; n <= e.events; n++ {
		select {
		case <-time.After(e.gap):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", n, id, n); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		e.mu.Lock()
		e.running[id] = n
		e.mu.Unlock()
	}
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := []any{}
	for id, event := range e.running {
		runs = append(runs, []any{id, 500 + 6*event, event, 5})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "both", "models": e.models(), "busy": false, "seq": 0, "queued": 0, "running": len(runs), "kvUsed": 500 * len(runs), "kvTotal": 55000,
		"handles": 0, "runs": runs, "born": e.born,
	})
}
