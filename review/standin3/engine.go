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

// engine stands in for an application engine or a model engine. It behaves like a sound one.
type engine struct {
	id, address, zone, service string
	model                      bool
	born                       int64
	store                      *store
	log                        *record
	mu                         sync.Mutex
	seq                        int
	running                    map[string]int
}

// startEngine starts an engine that registers itself and goes on to do so.
func startEngine(s *store, log *record, id, zone, service string, model bool) *engine {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	e := &engine{
		id: id, address: listener.Addr().String(), zone: zone, service: service, model: model, born: time.Now().UnixMilli(), store: s, log: log,
		running: map[string]int{},
	}
	go func() { _ = http.Serve(listener, e) }()
	e.register()
	go func() {
		for range time.Tick(heartbeat) {
			e.register()
		}
	}()
	return e
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

func (e *engine) register() { e.store.put("servers", e.id, e.entry()) }

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
	for n := after + 1; n <= streamEvents; n++ {
		select {
		case <-time.After(eventGap):
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
