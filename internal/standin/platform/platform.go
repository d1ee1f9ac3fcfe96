// Package platform is an in-memory stand-in for the platform's table service, object
// store and VM list, with faults that tests inject through POST /control.
package platform

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"golang.org/x/time/rate"

	api "bramleygap/internal/platform"
)

const (
	defaultWritesPerSecond = 400
	defaultReadsPerSecond  = 2000
	defaultListLimit       = 1000
	maxRequestBytes        = 64 << 20
)

// Options configures a Platform.
type Options struct {
	// WritesPerSecond limits transactions and object writes; 0 means 400, negative means no limit.
	WritesPerSecond float64
	// ReadsPerSecond limits gets, lists, object reads and VM lists; 0 means 2,000, negative means no limit.
	ReadsPerSecond float64
	// VMLag is the delay until a change of a VM appears in the VM list.
	VMLag time.Duration
	// Now is the clock of the VM list; nil means time.Now.
	Now func() time.Time
}

// Control is a change of the injected faults; absent fields keep their current value.
type Control struct {
	// Outage refuses every request with status 503 before it takes effect.
	Outage *bool `json:"outage,omitempty"`
	// DelayMS delays each request before it takes effect.
	DelayMS *int `json:"delay_ms,omitempty"`
	// DropResponses lets the next N writes take effect and closes their connections without a response.
	DropResponses *int `json:"drop_answers,omitempty"`
	// VMLagMS is the VM list delay of later changes.
	VMLagMS *int `json:"vm_lag_ms,omitempty"`
}

// Counters count the requests that the stand-in handled.
type Counters struct {
	Writes      int `json:"writes"`
	Reads       int `json:"reads"`
	RateLimited int `json:"rate_limited"`
	Refused     int `json:"refused"`
	Dropped     int `json:"dropped"`
	// WritesWaiting is the number of writes that DelayMS currently delays.
	WritesWaiting int `json:"writes_waiting"`
}

type vmChange struct {
	vm      api.VM
	removed bool
	visible time.Time
}

// Platform holds the state of the stand-in; it is safe for concurrent use.
type Platform struct {
	now    func() time.Time
	writes *rate.Limiter
	reads  *rate.Limiter

	mu       sync.Mutex
	rows     map[string]api.Row
	revision uint64
	objects  map[string][]byte
	vms      map[string]api.VM
	changes  []vmChange
	vmLag    time.Duration
	outage   bool
	delay    time.Duration
	drops    int
	counters Counters
}

// New returns an empty platform without faults.
func New(options Options) *Platform {
	now := options.Now
	if now == nil {
		now = time.Now
	}
	return &Platform{
		now:     now,
		writes:  limiter(options.WritesPerSecond, defaultWritesPerSecond),
		reads:   limiter(options.ReadsPerSecond, defaultReadsPerSecond),
		rows:    make(map[string]api.Row),
		objects: make(map[string][]byte),
		vms:     make(map[string]api.VM),
		vmLag:   options.VMLag,
	}
}

// limiter returns a rate limiter with bursts of one second.
func limiter(perSecond, fallback float64) *rate.Limiter {
	if perSecond < 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	if perSecond == 0 {
		perSecond = fallback
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Handler serves the platform's HTTP interface and POST /control, POST /v1/vms
// (register a VM or change its state), DELETE /v1/vms/{id} and GET /counters.
func (p *Platform) Handler() http.Handler {
	router := chi.NewRouter()
	router.Post("/v1/txn", p.write(p.serveTxn))
	router.Get("/v1/get", p.read(p.serveGet))
	router.Get("/v1/list", p.read(p.serveList))
	router.Put("/v1/objects/*", p.write(p.servePutObject))
	router.Get("/v1/objects/*", p.read(p.serveGetObject))
	router.Get("/v1/vms", p.read(p.serveVMs))
	router.Post("/v1/vms", p.serveSetVM)
	router.Delete("/v1/vms/{id}", p.serveRemoveVM)
	router.Post("/control", p.serveControl)
	router.Get("/counters", func(w http.ResponseWriter, _ *http.Request) { sendJSON(w, p.Counters()) })
	return router
}

// Control changes the injected faults.
func (p *Platform) Control(control Control) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if control.Outage != nil {
		p.outage = *control.Outage
	}
	if control.DelayMS != nil {
		p.delay = time.Duration(*control.DelayMS) * time.Millisecond
	}
	if control.DropResponses != nil {
		p.drops = *control.DropResponses
	}
	if control.VMLagMS != nil {
		p.vmLag = time.Duration(*control.VMLagMS) * time.Millisecond
	}
}

// Counters returns the requests counted so far.
func (p *Platform) Counters() Counters {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counters
}

// SetVM registers a VM or changes its state; the change appears in the VM list after the lag.
func (p *Platform) SetVM(vm api.VM) { p.changeVM(vmChange{vm: vm}) }

// RemoveVM removes a VM; the change appears in the VM list after the lag.
func (p *Platform) RemoveVM(id string) { p.changeVM(vmChange{vm: api.VM{ID: id}, removed: true}) }

func (p *Platform) changeVM(change vmChange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change.visible = p.now().Add(p.vmLag)
	p.changes = append(p.changes, change)
}

// VMs returns the VM list, with the changes whose lag has passed, sorted by id.
func (p *Platform) VMs() []api.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.changes = slices.DeleteFunc(p.changes, func(change vmChange) bool {
		if change.visible.After(now) {
			return false
		}
		if change.removed {
			delete(p.vms, change.vm.ID)
		} else {
			p.vms[change.vm.ID] = change.vm
		}
		return true
	})
	list := make([]api.VM, 0, len(p.vms))
	for _, id := range slices.Sorted(maps.Keys(p.vms)) {
		list = append(list, p.vms[id])
	}
	return list
}

// Commit applies a transaction, bypassing faults and rate limits.
func (p *Platform) Commit(txn api.Txn) api.TxnResult {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, check := range txn.Checks {
		if p.rows[check.Key].Revision != check.Revision {
			return api.TxnResult{ConflictKey: check.Key}
		}
	}
	p.revision++
	for _, key := range txn.Deletes {
		delete(p.rows, key)
	}
	for _, put := range txn.Puts {
		p.rows[put.Key] = api.Row{Key: put.Key, Value: put.Value, Revision: p.revision}
	}
	return api.TxnResult{Committed: true, Revision: p.revision}
}

// Row returns the row of a key, bypassing faults and rate limits.
func (p *Platform) Row(key string) api.Row {
	p.mu.Lock()
	defer p.mu.Unlock()
	row := p.rows[key]
	row.Key = key
	return row
}

// Rows returns up to limit rows with the prefix, sorted by key; limit 0 means 1,000.
func (p *Platform) Rows(prefix string, limit int) []api.Row {
	if limit <= 0 {
		limit = defaultListLimit
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	rows := []api.Row{}
	for key, row := range p.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b api.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows[:min(limit, len(rows))]
}

// read wraps a handler with the injected faults and the read limit.
func (p *Platform) read(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if p.admit(w, r, p.reads) {
			p.count(func(c *Counters) { c.Reads++ })
			next(w, r)
		}
	}
}

// write wraps a handler with the injected faults and the write limit, and drops its response if
// DropResponses is in effect.
func (p *Platform) write(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.count(func(c *Counters) { c.WritesWaiting++ })
		admitted := p.admit(w, r, p.writes)
		p.count(func(c *Counters) { c.WritesWaiting-- })
		if !admitted {
			return
		}
		p.count(func(c *Counters) { c.Writes++ })
		if !p.consumeDrop() {
			next(w, r)
			return
		}
		next(discardWriter{header: make(http.Header)}, r)
		// The server closes the connection without a response.
		panic(http.ErrAbortHandler)
	}
}

func (p *Platform) admit(w http.ResponseWriter, r *http.Request, limit *rate.Limiter) bool {
	p.mu.Lock()
	outage, delay := p.outage, p.delay
	p.mu.Unlock()
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
		}
	}
	if outage {
		p.count(func(c *Counters) { c.Refused++ })
		refuse(w, http.StatusServiceUnavailable, "injected outage")
		return false
	}
	if !limit.Allow() {
		p.count(func(c *Counters) { c.RateLimited++ })
		refuse(w, http.StatusTooManyRequests, "rate limit exceeded")
		return false
	}
	return true
}

func refuse(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(api.EffectHeader, api.EffectNone)
	http.Error(w, reason, status)
}

func (p *Platform) consumeDrop() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.drops == 0 {
		return false
	}
	p.drops--
	p.counters.Dropped++
	return true
}

func (p *Platform) count(update func(*Counters)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	update(&p.counters)
}

func (p *Platform) serveTxn(w http.ResponseWriter, r *http.Request) {
	var txn api.Txn
	if readJSON(w, r, &txn) {
		sendJSON(w, p.Commit(txn))
	}
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	sendJSON(w, p.Row(r.URL.Query().Get("key")))
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	limit, _ := strconv.Atoi(r.URL.Query().Get("limit"))
	sendJSON(w, p.Rows(r.URL.Query().Get("prefix"), limit))
}

func (p *Platform) servePutObject(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	p.mu.Lock()
	p.objects[chi.URLParam(r, "*")] = value
	p.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) serveGetObject(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	value, ok := p.objects[chi.URLParam(r, "*")]
	p.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(value)
}

func (p *Platform) serveVMs(w http.ResponseWriter, _ *http.Request) { sendJSON(w, p.VMs()) }

func (p *Platform) serveSetVM(w http.ResponseWriter, r *http.Request) {
	var vm api.VM
	if !readJSON(w, r, &vm) {
		return
	}
	if vm.State == "" {
		vm.State = api.VMLive
	}
	p.SetVM(vm)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) serveRemoveVM(w http.ResponseWriter, r *http.Request) {
	p.RemoveVM(chi.URLParam(r, "id"))
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) serveControl(w http.ResponseWriter, r *http.Request) {
	var control Control
	if readJSON(w, r, &control) {
		p.Control(control)
		w.WriteHeader(http.StatusNoContent)
	}
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(io.LimitReader(r.Body, maxRequestBytes)).Decode(into); err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

func sendJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// discardWriter is a response writer that discards its content.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d discardWriter) WriteHeader(int)             {}
