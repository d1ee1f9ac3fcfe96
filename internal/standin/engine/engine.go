// Package engine is a stand-in for a model engine: continuous batching, prefix cache,
// load reports, orders and injected faults over HTTP. Its tokens are a deterministic
// function of the request, so that a test knows the exact text of each generation.
package engine

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"

	"bramleygap/internal/engineapi"
)

const (
	defaultMaxTokens     = 256
	defaultSlots         = 16
	defaultInterval      = 20 * time.Millisecond
	defaultBatchSlowdown = 0.03
	defaultCacheBlocks   = 4096
	defaultLoadInterval  = 100 * time.Millisecond
	maxKeptCacheEvents   = 4096
	maxRequestBytes      = 16 << 20
	readHeaderTimeout    = 5 * time.Second
)

// ErrCrashed is returned by Serve after an injected crash.
var ErrCrashed = errors.New("engine stand-in crashed by an injected fault")

// Options configures an engine. Zero values select the defaults.
type Options struct {
	Model string
	// Versions are loaded at the start.
	Versions []string
	// Slots is the largest batch size; default 16.
	Slots int
	// TokenInterval is the time between tokens of a sequence that runs alone; default 20 ms.
	TokenInterval time.Duration
	// BatchSlowdown is the fraction by which each further sequence lengthens TokenInterval; default 0.03.
	BatchSlowdown float64
	// PrefillPerToken is the time for each prompt token that is not in the cache.
	PrefillPerToken time.Duration
	// CacheBlocks bounds the prefix cache; default 4096.
	CacheBlocks int
	// CacheEventDelay is the delay until a cache event is published.
	CacheEventDelay time.Duration
	// CacheGapEvery drops each n-th cache event; 0 drops none.
	CacheGapEvery int
	// LoadInterval is the interval of load measurements; a report is up to two intervals old. Default 100 ms.
	LoadInterval time.Duration
	// LoadTime is the time to load a version.
	LoadTime time.Duration
	// IgnoresFencing makes the engine accept orders with stale fencing tokens.
	IgnoresFencing bool
	// AllowedSenders, if not empty, lists the only senders whose orders are accepted.
	AllowedSenders []string
	// Seed selects the requests that FailRate breaks.
	Seed uint64
	// Faults are injected from the start.
	Faults Faults
	// OnCrash is called once on an injected crash, for example os.Exit; nil does nothing.
	OnCrash func()
}

// Faults are the injected faults. POST /control replaces those that its body contains.
type Faults struct {
	// Crash ends the process at once.
	Crash bool `json:"crash"`
	// FailRate is the fraction of requests, per version, that break after their first token.
	FailRate map[string]float64 `json:"fail_rate"`
	// FailMarker limits FailRate to prompts that contain it.
	FailMarker string `json:"fail_marker"`
	// SlowFactor multiplies the token interval, per version.
	SlowFactor map[string]float64 `json:"slow_factor"`
	// SlowLoad limits SlowFactor to batches that fill at least this fraction of the slots.
	SlowLoad float64 `json:"slow_load"`
	// Freeze stops all responses and tokens until it is cleared.
	Freeze bool `json:"freeze"`
	// CrashMarker in a prompt crashes the process after CrashToken tokens of the request.
	CrashMarker string `json:"crash_marker"`
	CrashToken  int    `json:"crash_token"`
	// CutAfter breaks each stream after this many tokens; 0 means never.
	CutAfter int `json:"cut_after"`
}

type cacheRecord struct {
	event     engineapi.CacheEvent
	publishAt time.Time
}

type waiter struct {
	priority int32
	arrival  uint64
	granted  chan struct{}
}

// Engine is one model engine; it is safe for concurrent use.
type Engine struct {
	options  Options
	instance string
	router   chi.Router
	crashed  chan struct{}
	// generated counts the tokens of all requests.
	generated atomic.Uint64

	mu           sync.Mutex
	faults       Faults
	thawed       chan struct{} // closed unless frozen
	versions     map[string]bool
	running      int
	waiters      []*waiter
	arrivals     uint64
	active       map[string]context.CancelFunc
	received     map[string]int // requests per version since the start
	highestFence uint64
	load         engineapi.Load // reported
	nextLoad     engineapi.Load // measured, reported at the next measurement
	cache        map[uint64]uint64
	cacheTick    uint64
	events       []cacheRecord
	eventSeq     uint64
}

// New returns an engine. Run must be called for load reports.
func New(options Options) *Engine {
	if options.Slots == 0 {
		options.Slots = defaultSlots
	}
	if options.TokenInterval == 0 {
		options.TokenInterval = defaultInterval
	}
	if options.BatchSlowdown == 0 {
		options.BatchSlowdown = defaultBatchSlowdown
	}
	if options.CacheBlocks == 0 {
		options.CacheBlocks = defaultCacheBlocks
	}
	if options.LoadInterval == 0 {
		options.LoadInterval = defaultLoadInterval
	}
	e := &Engine{
		options:  options,
		instance: uuid.NewString(),
		crashed:  make(chan struct{}),
		faults:   options.Faults,
		thawed:   make(chan struct{}),
		versions: make(map[string]bool),
		active:   make(map[string]context.CancelFunc),
		received: make(map[string]int),
		cache:    make(map[uint64]uint64),
	}
	if !e.faults.Freeze {
		close(e.thawed)
	}
	for _, version := range options.Versions {
		e.versions[version] = true
	}
	e.load = e.measure(time.Now())
	e.nextLoad = e.load
	e.router = e.routes()
	return e
}

func (e *Engine) routes() chi.Router {
	router := chi.NewRouter()
	router.Post("/control", e.handleControl)
	router.Get("/generated", e.handleGenerated)
	router.Get("/received", e.handleReceived)
	router.Group(func(router chi.Router) {
		router.Use(e.requireAlive)
		router.Post("/generate", e.handleGenerate)
		router.Post("/cancel", e.handleCancel)
		router.Get("/load", e.handleLoad)
		router.Get("/cache_events", e.handleCacheEvents)
		router.Post("/orders", e.handleOrder)
		router.Get("/health", e.handleHealth)
	})
	return router
}

// Handler serves the engine's HTTP interface and POST /control.
func (e *Engine) Handler() http.Handler { return e.router }

// Crashed returns a channel that is closed after an injected crash.
func (e *Engine) Crashed() <-chan struct{} { return e.crashed }

// Run measures the load until ctx ends or the engine crashes.
func (e *Engine) Run(ctx context.Context) {
	ticker := time.NewTicker(e.options.LoadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.crashed:
			return
		case now := <-ticker.C:
			e.mu.Lock()
			e.load, e.nextLoad = e.nextLoad, e.measure(now)
			e.mu.Unlock()
		}
	}
}

// Serve serves the listener and runs the engine until ctx ends or the engine crashes;
// a crash closes all connections and returns ErrCrashed.
func (e *Engine) Serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{Handler: e.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	go e.Run(ctx)
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
		_ = server.Close()
		return nil
	case <-e.crashed:
		_ = server.Close()
		return ErrCrashed
	}
}

// SetFaults replaces all injected faults.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	wasFrozen := e.faults.Freeze
	e.faults = faults
	if faults.Freeze && !wasFrozen {
		e.thawed = make(chan struct{})
	}
	if !faults.Freeze && wasFrozen {
		close(e.thawed)
	}
	e.mu.Unlock()
	if faults.Crash {
		e.crash()
	}
}

func (e *Engine) crash() {
	e.mu.Lock()
	select {
	case <-e.crashed:
		e.mu.Unlock()
		return
	default:
	}
	close(e.crashed)
	e.mu.Unlock()
	if e.options.OnCrash != nil {
		e.options.OnCrash()
	}
}

// measure requires e.mu, except in New.
func (e *Engine) measure(now time.Time) engineapi.Load {
	return engineapi.Load{
		Running:        uint32(e.running),
		Waiting:        uint32(len(e.waiters)),
		Slots:          uint32(e.options.Slots),
		MeasuredUnixMS: now.UnixMilli(),
	}
}

// requireAlive breaks the connection after a crash and blocks requests while frozen.
func (e *Engine) requireAlive(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.waitWhileFrozen(r.Context()) != nil {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// waitWhileFrozen blocks while the engine is frozen; it fails if the engine crashed or ctx ended.
func (e *Engine) waitWhileFrozen(ctx context.Context) error {
	e.mu.Lock()
	thawed := e.thawed
	e.mu.Unlock()
	select {
	case <-e.crashed:
		return ErrCrashed
	default:
	}
	select {
	case <-thawed:
		return nil
	case <-e.crashed:
		return ErrCrashed
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (e *Engine) handleControl(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	faults := e.faults
	e.mu.Unlock()
	if !readJSON(w, r, &faults) {
		return
	}
	if faults.Crash {
		defer panic(http.ErrAbortHandler)
	}
	e.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

// handleGenerated returns the number of tokens generated since the start, to measure tokens
// that no client received.
func (e *Engine) handleGenerated(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(e.generated.Load())
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	var request engineapi.CancelRequest
	if !readJSON(w, r, &request) {
		return
	}
	e.mu.Lock()
	cancel := e.active[request.RequestID]
	e.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	load := e.load
	e.mu.Unlock()
	writeJSON(w, load)
}

// handleReceived returns the number of requests received for each version since the start,
// including versions that are not loaded.
func (e *Engine) handleReceived(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, e.received)
}

func (e *Engine) handleHealth(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, engineapi.Health{Instance: e.instance, Versions: e.loadedVersions()})
}

func (e *Engine) loadedVersions() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	versions := make([]string, 0, len(e.versions))
	for version := range e.versions {
		versions = append(versions, version)
	}
	slices.Sort(versions)
	return versions
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order engineapi.Order
	if !readJSON(w, r, &order) {
		return
	}
	if len(e.options.AllowedSenders) > 0 && !slices.Contains(e.options.AllowedSenders, order.Sender) {
		http.Error(w, "unknown sender", http.StatusForbidden)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.Fence < e.highestFence && !e.options.IgnoresFencing {
		http.Error(w, "stale fencing token, highest is "+strconv.FormatUint(e.highestFence, 10), http.StatusConflict)
		return
	}
	e.highestFence = max(e.highestFence, order.Fence)
	switch order.Kind {
	case engineapi.OrderLoad:
		time.AfterFunc(e.options.LoadTime, func() { e.setLoaded(order.Version, true) })
	case engineapi.OrderUnload:
		delete(e.versions, order.Version)
	case engineapi.OrderRole:
	default:
		http.Error(w, "unknown order kind", http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

func (e *Engine) setLoaded(version string, loaded bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.versions[version] = loaded
}

func (e *Engine) hasVersion(version string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.versions[version]
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(into)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func hasMarker(prompt, marker string) bool {
	return marker != "" && strings.Contains(prompt, marker)
}
