package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	headerAttempt     = "Bramleygap-Attempt-Id"
	headerSignature   = "Bramleygap-Response-Signature"
	headerNotExecuted = "Bramleygap-Not-Executed"
	headerInstance    = "Bramleygap-Instance-Id"
	headerExpect      = "Bramleygap-Expect-Instance"
	headerPrompt      = "Bramleygap-Prompt-Prefix"
	headerUsage       = "Bramleygap-Token-Usage"
	headerModel       = "Bramleygap-Model"
	headerDeadline    = "Bramleygap-Deadline-Ms"
	headerBackup      = "Bramleygap-Kv-Backup"
	headerCopyFrom    = "Kv-From"
	headerLastEvent   = "Last-Event-Id"

	memoryPath = "/standin/memory"

	// heartbeat is how often an engine writes its registration.
	heartbeat = 1200 * time.Millisecond
	// backupInterval is how often an engine sends the memory of its runs to their backups.
	backupInterval = 100 * time.Millisecond
	// modelSlots and appSlots are the requests that an engine works on at once.
	modelSlots, appSlots = 64, 6
	// prefillRate is how many tokens of a prompt an engine reads in a millisecond.
	prefillRate = 5
)

type engineOptions struct {
	id, listen, store, zone, service string
	// events is the number of events of a generation, and interval the time between two.
	events   int
	interval time.Duration
	// unframed makes answers end with their channel: they have neither a length nor chunks. unframedResumed
	// does so for those that resume a stream.
	unframed, unframedResumed bool
	// work is how long a call takes at an application engine, 0 for a model engine.
	work time.Duration
	// room is whether the engine has room for the memory of others' runs.
	room bool
	// crashPart is the id of a prompt part on which the engine ends as it begins to write an answer.
	crashPart string
}

func parseEngineOptions(args []string) *engineOptions {
	o := &engineOptions{}
	flags := flag.NewFlagSet("engine", flag.ExitOnError)
	flags.StringVar(&o.id, "id", "", "id of the engine")
	flags.StringVar(&o.listen, "listen", "", "host:port")
	flags.StringVar(&o.store, "store", "", "host:port of the store")
	flags.StringVar(&o.zone, "zone", "", "zone")
	flags.StringVar(&o.service, "service", "", "service")
	flags.IntVar(&o.events, "events", 100, "events of a generation")
	flags.DurationVar(&o.interval, "interval", 40*time.Millisecond, "time between two events")
	flags.BoolVar(&o.unframed, "unframed", false, "answers end with their channel")
	flags.BoolVar(&o.unframedResumed, "unframed-resumed", false, "answers that resume a stream end with their channel")
	flags.DurationVar(&o.work, "work", 0, "time that a call takes; makes the engine an application engine")
	flags.BoolVar(&o.room, "room", true, "the engine has room for the memory of others' runs")
	flags.StringVar(&o.crashPart, "crash-part", "", "prompt part on which the engine ends")
	_ = flags.Parse(args)
	return o
}

// memory is what an engine holds of a run.
type memory struct {
	// Attempt is the id of the run's request, and Topic the last part of its prompt, which is what the
	// generated text is about.
	Attempt string `json:"attempt"`
	Topic   string `json:"topic"`
	Events  int    `json:"events"`
}

// engine is a stand-in of a model engine.
type engine struct {
	*engineOptions
	born   int64
	mu     sync.Mutex
	runs   map[string]*memory
	copies map[string]memory
	steps  int
}

// logged is one line of an engine's output.
type logged struct {
	AtMS    int64  `json:"at"`
	Engine  string `json:"engine"`
	Service string `json:"service"`
	Kind    string `json:"kind"`
	Attempt string `json:"attempt"`
	Topic   string `json:"topic,omitempty"`
	After   int    `json:"after,omitempty"`
	// From is the request from whose memory the run goes on.
	From string `json:"from,omitempty"`
}

var logMu sync.Mutex

func (e *engine) log(line logged) {
	line.AtMS, line.Engine, line.Service = time.Now().UnixMilli(), e.id, e.service
	text, _ := json.Marshal(line)
	logMu.Lock()
	defer logMu.Unlock()
	_, _ = os.Stdout.Write(append(text, '\n'))
}

func runEngine(o *engineOptions) {
	e := &engine{engineOptions: o, born: time.Now().UnixMilli(), runs: map[string]*memory{}, copies: map[string]memory{}}
	listener, err := net.Listen("tcp", o.listen)
	if err != nil {
		fatal(err)
	}
	go e.register()
	fatal(http.Serve(listener, e))
}

func (e *engine) register() {
	for seq := 0; ; seq++ {
		row := map[string]any{
			"service": e.service, "address": e.listen, "zone": e.zone, "version": "v1", "slots": appSlots, "state": "ready",
			"coldRemainingMs": 0, "seq": seq, "born": e.born,
		}
		if e.work == 0 {
			row["slots"], row["stage"], row["models"] = modelSlots, "both", e.models()
		}
		value, _ := json.Marshal(row)
		if err := putRow(e.store, "servers", e.id, value); err != nil {
			fmt.Fprintln(os.Stderr, "register:", err)
		}
		time.Sleep(heartbeat)
	}
}

func (e *engine) models() []any {
	return []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}
}

func putRow(storeAddress, table, key string, value []byte) error {
	body, _ := json.Marshal(storeRow{Table: table, Key: key, Value: value})
	response, err := http.Post("http://"+storeAddress+operatorPath, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("store answered %d", response.StatusCode)
	}
	return nil
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/health":
		w.Header().Set(headerInstance, e.id)
	case r.URL.Path == "/bramleygap/report":
		writeJSON(w, http.StatusOK, e.report())
	case r.URL.Path == memoryPath:
		e.keep(w, r)
	case strings.HasPrefix(r.URL.Path, "/bramleygap/"):
		// No room for moves.
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.Header.Get(headerExpect) != "" && r.Header.Get(headerExpect) != e.id:
		w.Header().Set(headerInstance, e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
	case e.work > 0:
		e.call(w, r)
	default:
		e.generate(w, r)
	}
}

func (e *engine) report() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.steps++
	runs := []any{}
	for id, run := range e.runs {
		if run.Events > 0 {
			runs = append(runs, []any{id, 1000 + run.Events, run.Events, 5})
		}
	}
	return map[string]any{
		"stage": "both", "models": e.models(), "busy": false, "seq": 1, "queued": 0, "running": len(e.runs), "kvUsed": 1000*len(e.runs) + e.steps%900,
		"kvTotal": 55000, "handles": len(e.copies), "state": "ready", "runs": runs, "born": e.born,
	}
}

// keep keeps the memory of a run at another engine.
func (e *engine) keep(w http.ResponseWriter, r *http.Request) {
	var m memory
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil || !e.room {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.mu.Lock()
	e.copies[m.Attempt] = m
	e.mu.Unlock()
}

// takeCopy returns the copy that a Kv-From header names. A copy can be used once.
func (e *engine) takeCopy(from string) (memory, bool) {
	address, attempt, _ := strings.Cut(from, "/")
	e.mu.Lock()
	defer e.mu.Unlock()
	m, ok := e.copies[attempt]
	if !ok || address != e.listen {
		return memory{}, false
	}
	delete(e.copies, attempt)
	return m, true
}

// call runs a short call.
func (e *engine) call(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil || !pause(r, e.work) {
		return
	}
	attempt := r.Header.Get(headerAttempt)
	w.Header().Set(headerAttempt, attempt)
	w.Header().Set(headerSignature, "proof."+e.id+"."+attempt)
	writeJSON(w, http.StatusOK, map[string]string{"engine": e.id, "path": r.URL.Path})
}

// generate runs a generation and writes its events from the one after Last-Event-Id.
func (e *engine) generate(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(headerAttempt)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	after, _ := strconv.Atoi(r.Header.Get(headerLastEvent))
	own := topicOf(r.Header.Get(headerPrompt))
	run := &memory{Attempt: attempt, Topic: own, Events: after}
	start := logged{Kind: "run", Attempt: attempt, Topic: own, After: after}
	w.Header().Set(headerAttempt, attempt)
	from := r.Header.Get(headerCopyFrom)
	if from != "" {
		m, ok := e.takeCopy(from)
		if !ok {
			e.log(logged{Kind: "no copy", Attempt: attempt, From: from})
			w.Header().Set(headerNotExecuted, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		start.From, run.Topic = m.Attempt, m.Topic
	}
	e.log(start)
	e.mu.Lock()
	e.runs[attempt] = run
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.runs, attempt)
	}()
	w.Header().Set(headerSignature, "proof."+e.id+"."+attempt)
	w.Header().Set("Content-Type", "text/event-stream")
	if e.unframed || e.unframedResumed && after > 0 {
		w.Header().Set("Transfer-Encoding", "identity")
	}
	out := http.NewResponseController(w)
	_ = out.Flush()
	if from == "" {
		// The prompt is read anew.
		if !pause(r, time.Duration(promptTokens(r)/prefillRate)*time.Millisecond) {
			return
		}
	}
	if e.crashPart != "" && strings.Contains(r.Header.Get(headerPrompt), e.crashPart+":") {
		e.log(logged{Kind: "crash", Attempt: attempt, Topic: own})
		os.Exit(1)
	}
	backup, backedUp := r.Header.Get(headerBackup), time.Now()
	for n := after + 1; n <= e.events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, run.Topic, n); err != nil || out.Flush() != nil {
			return
		}
		e.mu.Lock()
		run.Events = n
		sent := *run
		e.mu.Unlock()
		if backup != "" && time.Since(backedUp) >= backupInterval {
			backedUp = time.Now()
			go sendMemory(backup, sent)
		}
		if !pause(r, e.interval) {
			return
		}
	}
	e.log(logged{Kind: "end", Attempt: attempt, Topic: run.Topic})
}

func sendMemory(to string, m memory) {
	body, _ := json.Marshal(m)
	response, err := http.Post("http://"+to+memoryPath, "application/json", bytes.NewReader(body))
	if err == nil {
		_ = response.Body.Close()
	}
}

// pause returns false if the caller has left.
func pause(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

// topicOf returns the id of the last part of a prompt.
func topicOf(prefix string) string {
	parts := strings.Split(prefix, ",")
	id, _, _ := strings.Cut(parts[len(parts)-1], ":")
	return id
}

func promptTokens(r *http.Request) int {
	tokens, _, _ := strings.Cut(r.Header.Get(headerUsage), ",")
	n, _ := strconv.Atoi(tokens)
	return n
}
