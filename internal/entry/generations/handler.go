// Package generations serves the callers' requests for generations: completions,
// chat completions and their resumption after a lost connection.
package generations

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"bramleygap/internal/core/adoption"
	"bramleygap/internal/core/membership"
	"bramleygap/internal/core/stream"
	"bramleygap/internal/entry/caller"
	"bramleygap/internal/entry/drain"
	"bramleygap/internal/entry/router"
	"bramleygap/internal/opconfig"
	"bramleygap/internal/result"
	"bramleygap/internal/wire"
)

// Routes of the handler. GenerationSpec.route is routeCompletions or routeChat.
const (
	routeCompletions = "/v1/completions"
	routeChat        = "/v1/chat/completions"
	routeModels      = "/v1/models"
	routeResume      = "/v1/generations/resume"
)

// Options configures a Handler.
type Options struct {
	MaxBodyBytes int64
	// DisableResume ends a request with TARGET_DIED when its attempt is lost.
	DisableResume bool
	// Config returns the operator configuration in force, or nil before the first one.
	Config func() *adoption.Adopted
	// Snapshot returns the current view of the targets.
	Snapshot func() *membership.Snapshot
	Router   router.Router
	// Agent returns a client for the agent at a host:port address.
	Agent func(address string) (wire.AgentClient, error)
	// PromptBlocks returns the hashes of the prompt's leading cache blocks. If it is nil,
	// targets are chosen without regard to their caches.
	PromptBlocks func(model, version, adapter, prompt string) []uint64
	EntryName    string
	Refusals     *caller.Refusals
	Registerer   prometheus.Registerer
	Logger       zerolog.Logger
}

// Handler serves generations. It is safe for concurrent use.
type Handler struct {
	options Options
	metrics *metrics
	gate    *drain.Gate
}

// New returns a handler and registers its metrics.
func New(options Options) *Handler {
	return &Handler{options: options, metrics: newMetrics(options.Registerer), gate: drain.NewGate()}
}

// Routes adds the handler's routes.
func (h *Handler) Routes(r chi.Router) {
	r.Post(routeCompletions, h.track(func(w http.ResponseWriter, r *http.Request) { h.generate(w, r, false) }))
	r.Post(routeChat, h.track(func(w http.ResponseWriter, r *http.Request) { h.generate(w, r, true) }))
	r.Get(routeResume, h.track(h.resume))
	r.Post(routeResume, h.track(h.resume))
	r.Get(routeModels, h.models)
}

// Drain refuses new requests with LEAVING and waits for the running ones to end. If ctx
// ends first, it returns the error of ctx.
func (h *Handler) Drain(ctx context.Context) error { return h.gate.Drain(ctx) }

// track refuses requests while draining and makes Drain wait for admitted ones.
func (h *Handler) track(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !h.gate.Enter() {
			h.options.Refusals.Write(w, result.New(result.Leaving, "the entry is shutting down"))
			return
		}
		defer h.gate.Leave()
		h.metrics.running.Inc()
		defer h.metrics.running.Dec()
		next(w, r)
	}
}

func (h *Handler) config() *opconfig.Config {
	if adopted := h.options.Config(); adopted != nil {
		return adopted.Config
	}
	return nil
}

// authenticateKey checks only the bearer key. Its error is NotReady or Unauthenticated.
func (h *Handler) authenticateKey(r *http.Request) error {
	_, err := caller.Authenticate(r, h.config(), "")
	var coded *result.Error
	if errors.As(err, &coded) && (coded.Code == result.NotReady || coded.Code == result.Unauthenticated) {
		return err
	}
	return nil
}

// authenticate returns the caller and the named model service, if the caller may use it.
func (h *Handler) authenticate(r *http.Request, name string) (caller.Identity, *opconfig.Service, error) {
	config := h.config()
	identity, err := caller.Authenticate(r, config, name)
	if err != nil {
		return caller.Identity{}, nil, err
	}
	service := config.Service(name)
	if service.Kind != opconfig.KindModel {
		return caller.Identity{}, nil, result.New(result.UnknownService, "service %q is not a model service", name)
	}
	return identity, service, nil
}

func (h *Handler) generate(w http.ResponseWriter, r *http.Request, chat bool) {
	if r.Header.Get(lastEventIDHeader) != "" {
		h.resume(w, r)
		return
	}
	if err := h.authenticateKey(r); err != nil {
		h.options.Refusals.Write(w, err)
		return
	}
	request, err := parseRequest(w, r, h.options.MaxBodyBytes, chat)
	if err != nil {
		h.options.Refusals.Write(w, err)
		return
	}
	identity, service, err := h.authenticate(r, request.service)
	if err != nil {
		h.options.Refusals.Write(w, err)
		return
	}
	spec := newSpec(request, identity, service, chat)
	s := h.newSession(r, spec, request.stream)
	s.output = h.newOutput(w, spec, request.stream, 0)
	s.serve(stream.Start{}, nil)
}

func newSpec(request *parsedRequest, identity caller.Identity, service *opconfig.Service, chat bool) *wire.GenerationSpec {
	now := time.Now()
	timeout := service.Timeout.Duration
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if request.deadline > 0 {
		timeout = min(timeout, request.deadline)
	}
	route := routeCompletions
	if chat {
		route = routeChat
	}
	return &wire.GenerationSpec{
		Generation:     uuid.NewString(),
		Service:        service.Name,
		Model:          service.Model,
		Prompt:         request.prompt,
		PromptTokenIds: request.promptTokenIDs,
		Sampling:       request.sampling,
		Account:        identity.Account.Name,
		Member:         identity.Member.Name,
		Fingerprint:    request.fingerprint(),
		StartedUnixMs:  now.UnixMilli(),
		DeadlineUnixMs: now.Add(timeout).UnixMilli(),
		Route:          route,
	}
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (h *Handler) models(w http.ResponseWriter, r *http.Request) {
	if err := h.authenticateKey(r); err != nil {
		h.options.Refusals.Write(w, err)
		return
	}
	list := []model{}
	for _, service := range h.config().Services {
		if _, _, err := h.authenticate(r, service.Name); err == nil {
			list = append(list, model{ID: service.Name, Object: "model", OwnedBy: "bramleygap"})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"object": "list", "data": list})
}
