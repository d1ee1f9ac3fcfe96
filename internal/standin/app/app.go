// Package app is a stand-in for an application engine: it runs orders and serves status
// queries over HTTP, counts each run, and injects faults on request.
package app

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

const (
	// CallIDHeader names the call in requests; runs are counted by it.
	CallIDHeader = "Bramleygap-Call-Id"

	maxRequestBytes = 16 << 20
)

// Options configures an App.
type Options struct {
	// Name is returned in responses.
	Name string
}

// Control is a change of the injected faults; absent fields keep their current value. Counts apply
// to the next N orders or, for Redirect, to the next N orders and status queries.
type Control struct {
	DelayMS *int `json:"delay_ms,omitempty"`
	// HangAfterRun sends no response after the order was run.
	HangAfterRun *int `json:"hang_after_run,omitempty"`
	// CloseAfterRun closes the connection after the order was run.
	CloseAfterRun *int `json:"close_after_run,omitempty"`
	// CloseBeforeRun closes the connection before the order is run.
	CloseBeforeRun *int `json:"close_before_run,omitempty"`
	// Redirect runs the order and responds 307 with a Location on the same server.
	Redirect *int `json:"redirect,omitempty"`
	// Freeze blocks every request, before it is run, until it is cleared.
	Freeze *bool `json:"freeze,omitempty"`
	// ResponseBytes pads the response to an order to this size.
	ResponseBytes *int `json:"response_bytes,omitempty"`
}

// Runs is the content of GET /runs.
type Runs struct {
	Total int `json:"total"`
	// ByCall counts runs by the value of the call id header.
	ByCall map[string]int `json:"by_call"`
	// ByBody counts runs by the hexadecimal SHA-256 of the request body.
	ByBody map[string]int `json:"by_body"`
	// ByKey counts runs by the Idempotency-Key header.
	ByKey   map[string]int `json:"by_key"`
	Queries int            `json:"queries"`
	// Waiting is the number of orders that Freeze or DelayMS currently delays.
	Waiting int `json:"waiting"`
}

// App is one application engine; it is safe for concurrent use.
type App struct {
	name string

	mu     sync.Mutex
	faults faults
	runs   Runs
	thawed chan struct{}
}

type faults struct {
	delay                                                  time.Duration
	hangAfterRun, closeAfterRun, closeBeforeRun, redirects int
	responseBytes                                          int
}

// New returns an application engine without faults.
func New(options Options) *App {
	thawed := make(chan struct{})
	close(thawed)
	return &App{
		name:   options.Name,
		runs:   Runs{ByCall: map[string]int{}, ByBody: map[string]int{}, ByKey: map[string]int{}},
		thawed: thawed,
	}
}

// Handler serves POST /permits, POST /orders and their sub-paths (counted runs),
// GET /status and its sub-paths, GET /runs, GET /health and POST /control.
func (a *App) Handler() http.Handler {
	router := chi.NewRouter()
	for _, path := range []string{"/permits", "/permits/*", "/orders", "/orders/*"} {
		router.Post(path, a.serveOrder)
	}
	router.Get("/status", a.serveStatus)
	router.Get("/status/*", a.serveStatus)
	router.Get("/runs", func(w http.ResponseWriter, _ *http.Request) { sendJSON(w, a.Runs()) })
	router.Get("/health", func(w http.ResponseWriter, r *http.Request) {
		if a.wait(r) {
			_, _ = io.WriteString(w, "ok\n")
		}
	})
	router.Post("/control", a.serveControl)
	return router
}

// Runs returns a copy of the counters.
func (a *App) Runs() Runs {
	a.mu.Lock()
	defer a.mu.Unlock()
	runs := a.runs
	runs.ByCall = maps.Clone(a.runs.ByCall)
	runs.ByBody = maps.Clone(a.runs.ByBody)
	runs.ByKey = maps.Clone(a.runs.ByKey)
	return runs
}

// Control changes the injected faults.
func (a *App) Control(control Control) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if control.DelayMS != nil {
		a.faults.delay = time.Duration(*control.DelayMS) * time.Millisecond
	}
	setIfPresent(&a.faults.hangAfterRun, control.HangAfterRun)
	setIfPresent(&a.faults.closeAfterRun, control.CloseAfterRun)
	setIfPresent(&a.faults.closeBeforeRun, control.CloseBeforeRun)
	setIfPresent(&a.faults.redirects, control.Redirect)
	setIfPresent(&a.faults.responseBytes, control.ResponseBytes)
	if control.Freeze != nil {
		a.setFrozen(*control.Freeze)
	}
}

func setIfPresent(field, value *int) {
	if value != nil {
		*field = *value
	}
}

func (a *App) setFrozen(freeze bool) {
	frozen := true
	select {
	case <-a.thawed:
		frozen = false
	default:
	}
	switch {
	case freeze && !frozen:
		a.thawed = make(chan struct{})
	case !freeze && frozen:
		close(a.thawed)
	}
}

// wait blocks the request while the engine is frozen and for the configured delay. It returns
// false if the client disconnected.
func (a *App) wait(r *http.Request) bool {
	a.mu.Lock()
	thawed, delay := a.thawed, a.faults.delay
	a.mu.Unlock()
	select {
	case <-thawed:
	case <-r.Context().Done():
		return false
	}
	if delay == 0 {
		return true
	}
	select {
	case <-time.After(delay):
		return true
	case <-r.Context().Done():
		return false
	}
}

// waitOrder calls wait and counts the order in Runs.Waiting meanwhile.
func (a *App) waitOrder(r *http.Request) bool {
	a.addWaiting(1)
	defer a.addWaiting(-1)
	return a.wait(r)
}

func (a *App) addWaiting(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.runs.Waiting += n
}

// consume decrements a fault counter; it returns false if the counter is 0.
func (a *App) consume(counter *int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if *counter == 0 {
		return false
	}
	*counter--
	return true
}

func (a *App) serveOrder(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err != nil || !a.waitOrder(r) {
		return
	}
	if a.consume(&a.faults.closeBeforeRun) {
		panic(http.ErrAbortHandler)
	}
	number := a.recordRun(r, body)
	switch {
	case a.consume(&a.faults.closeAfterRun):
		panic(http.ErrAbortHandler)
	case a.consume(&a.faults.hangAfterRun):
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case a.consume(&a.faults.redirects):
		w.Header().Set("Location", r.URL.Path)
		w.WriteHeader(http.StatusTemporaryRedirect)
	default:
		a.writeOrderResponse(w, number)
	}
}

// recordRun counts one run and returns its number.
func (a *App) recordRun(r *http.Request, body []byte) int {
	sum := sha256.Sum256(body)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.runs.Total++
	a.runs.ByCall[r.Header.Get(CallIDHeader)]++
	a.runs.ByBody[hex.EncodeToString(sum[:])]++
	a.runs.ByKey[r.Header.Get("Idempotency-Key")]++
	return a.runs.Total
}

func (a *App) writeOrderResponse(w http.ResponseWriter, number int) {
	a.mu.Lock()
	padding := a.faults.responseBytes
	a.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Location", "/status/"+strconv.Itoa(number))
	w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(w).Encode(map[string]any{"engine": a.name, "number": number, "padding": make([]byte, padding*3/4)})
}

func (a *App) serveStatus(w http.ResponseWriter, r *http.Request) {
	if !a.wait(r) {
		return
	}
	if a.consume(&a.faults.redirects) {
		http.Redirect(w, r, "/status", http.StatusTemporaryRedirect)
		return
	}
	a.mu.Lock()
	a.runs.Queries++
	a.mu.Unlock()
	sendJSON(w, map[string]any{"engine": a.name, "path": r.URL.Path})
}

func (a *App) serveControl(w http.ResponseWriter, r *http.Request) {
	var control Control
	if err := json.NewDecoder(io.LimitReader(r.Body, maxRequestBytes)).Decode(&control); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a.Control(control)
	w.WriteHeader(http.StatusNoContent)
}

func sendJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
