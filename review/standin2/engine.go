package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engineEvent is a line that an engine writes about a client's request.
type engineEvent struct {
	UnixMS  int64  `json:"unix_ms"`
	Engine  string `json:"engine"`
	Kind    string `json:"kind"`
	Attempt string `json:"attempt"`
	Path    string `json:"path,omitempty"`
	Events  int    `json:"events,omitempty"`
}

// engine is a stand-in of a model engine or an application engine. It runs as a process of its own, so that a kill
// ends its connections as the kernel does.
type engine struct {
	id, model, address string
	memory             memory
	// slots is the number of requests that it runs at once; it turns others away.
	slots int
	// retryAfter is the Retry-After in seconds with which it does, 0 for none.
	retryAfter int
	// events and interval describe its streams. unframed answers have neither a length nor chunks.
	events   int
	interval time.Duration
	unframed bool
	// work is how long a call takes.
	work time.Duration
	// crashPath is the path of the request that ends the process when it begins to run.
	crashPath string
	// born is when the process was started, in Unix milliseconds.
	born int64

	mu      sync.Mutex
	running int
	out     *json.Encoder
}

func runEngine(args []string) int {
	e := &engine{out: json.NewEncoder(os.Stdout)}
	flags := flag.NewFlagSet("engine", flag.ContinueOnError)
	flags.StringVar(&e.address, "address", "", "address to listen at")
	flags.StringVar(&e.id, "id", "", "id of the instance")
	flags.StringVar(&e.model, "model", "", "model, none for an application engine")
	flags.IntVar(&e.slots, "slots", 64, "requests at once")
	flags.IntVar(&e.retryAfter, "retry-after", 0, "Retry-After of rejections in seconds")
	flags.IntVar(&e.events, "events", 0, "events of a stream")
	flags.DurationVar(&e.interval, "interval", 0, "time between events")
	flags.BoolVar(&e.unframed, "unframed", false, "answers have neither a length nor chunks")
	flags.DurationVar(&e.work, "work", 0, "time of a call")
	flags.StringVar(&e.crashPath, "crash-path", "", "path of the request that crashes the engine")
	flags.Int64Var(&e.born, "born", 0, "start of the process in Unix milliseconds")
	if flags.Parse(args) != nil {
		return 2
	}
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	fmt.Fprintln(os.Stderr, http.Serve(listener, e))
	return 2
}

func (e *engine) log(kind, attempt, path string, events int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.out.Encode(engineEvent{time.Now().UnixMilli(), e.id, kind, attempt, path, events})
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/health":
		w.Header().Set("Bramleygap-Instance-Id", e.id)
		return
	case "/bramleygap/report":
		e.report(w)
		return
	case copyPath:
		e.memory.receive(r)
		return
	case "/bramleygap/kv-move":
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	attempt := r.Header.Get("Bramleygap-Attempt-Id")
	w.Header().Set("Bramleygap-Attempt-Id", attempt)
	if expected := r.Header.Get("Bramleygap-Expect-Instance"); expected != "" && expected != e.id {
		w.Header().Set("Bramleygap-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.log("arrived", attempt, r.URL.Path, 0)
	origin, ok := e.resume(r, attempt)
	if !ok {
		w.Header().Set("Bramleygap-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !e.begin() {
		w.Header().Set("Bramleygap-Not-Executed", "1")
		if e.retryAfter > 0 {
			w.Header().Set("Retry-After", strconv.Itoa(e.retryAfter))
		}
		e.log("rejected", attempt, r.URL.Path, 0)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.end()
	e.log("run", attempt, r.URL.Path, 0)
	if e.crashPath != "" && r.URL.Path == e.crashPath {
		e.log("crash", attempt, r.URL.Path, 0)
		os.Exit(3)
	}
	if e.events > 0 {
		e.stream(w, r, attempt, origin)
		return
	}
	e.call(w, r, attempt)
}

func (e *engine) begin() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running >= e.slots {
		return false
	}
	e.running++
	return true
}

func (e *engine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	running := e.running
	e.mu.Unlock()
	models := []any{}
	if e.model != "" {
		models = append(models, map[string]any{"name": e.model, "version": 1, "adapters": []any{}})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "both", "models": models, "busy": false, "seq": 1, "queued": 0, "running": running, "kvUsed": 1000 * running, "kvTotal": 55000,
		"handles": 0, "runs": []any{}, "born": e.born,
	})
}

// signature is the proof of an answer.
func (e *engine) signature(attempt string) string { return "standin." + e.id + "." + attempt }

func (e *engine) call(w http.ResponseWriter, r *http.Request, attempt string) {
	select {
	case <-time.After(e.work):
	case <-r.Context().Done():
		e.log("left", attempt, r.URL.Path, 0)
		return
	}
	w.Header().Set("Bramleygap-Response-Signature", e.signature(attempt))
	w.Header().Set("Content-Type", "text/plain")
	fmt.Fprintf(w, "%s by %s\n", r.URL.Path, e.id)
	e.log("end", attempt, r.URL.Path, 0)
}

// stream answers with events that are numbered from 1, or from the one after Last-Event-Id. Each names the attempt whose
// prompt it was made from.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, attempt, origin string) {
	backup := backup{r.Header.Get("Bramleygap-Kv-Backup"), attempt, origin}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	send := func(event string) error {
		if _, err := w.Write([]byte(event)); err != nil {
			return err
		}
		return http.NewResponseController(w).Flush()
	}
	w.Header().Set("Bramleygap-Response-Signature", e.signature(attempt))
	w.Header().Set("Content-Type", "text/event-stream")
	left := r.Context().Done()
	if e.unframed {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer func() { _ = conn.Close() }()
		var head strings.Builder
		head.WriteString("HTTP/1.1 200 OK\r\n")
		_ = w.Header().Write(&head)
		head.WriteString("\r\n")
		if _, err := conn.Write([]byte(head.String())); err != nil {
			return
		}
		send = func(event string) error {
			_, err := conn.Write([]byte(event))
			return err
		}
		left = nil
	}
	for n := after + 1; n <= e.events; n++ {
		select {
		case <-time.After(e.interval):
		case <-left:
			e.log("left", attempt, r.URL.Path, n)
			return
		}
		if send(fmt.Sprintf("id: %d\ndata: part %d of %s\n\n", n, n, origin)) != nil {
			e.log("left", attempt, r.URL.Path, n)
			return
		}
		backup.send(false)
	}
	backup.send(true)
	e.log("end", attempt, r.URL.Path, e.events)
}
