// Package obs builds the logger and the admin HTTP server with metrics, health and readiness.
package obs

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"

	"bramleygap/internal/settings"
)

const adminReadTimeout = 5 * time.Second

// setTimeFormat sets the library's global format once.
var setTimeFormat = sync.OnceFunc(func() { zerolog.TimeFieldFormat = timeFormat })

// timeFormat includes milliseconds, so that the lines of several processes can be ordered.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// NewLogger returns a logger that writes JSON lines, or human-readable text if s.Console is set.
func NewLogger(s settings.Log, w io.Writer) zerolog.Logger {
	setTimeFormat()
	level, err := zerolog.ParseLevel(s.Level)
	if err != nil || s.Level == "" {
		level = zerolog.InfoLevel
	}
	if s.Console {
		w = zerolog.ConsoleWriter{Out: w}
	}
	return zerolog.New(w).Level(level).With().Timestamp().Logger()
}

// NewRegistry returns a metrics registry with the Go and process collectors.
func NewRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return registry
}

// Readiness holds the reason why a process is not ready; it is safe for concurrent use.
type Readiness struct{ reason atomic.Pointer[string] }

// NewReadiness returns a Readiness that is not ready for the given reason.
func NewReadiness(reason string) *Readiness {
	r := &Readiness{}
	r.SetNotReady(reason)
	return r
}

// SetReady marks the process ready.
func (r *Readiness) SetReady() { r.reason.Store(nil) }

// SetNotReady marks the process not ready for the given reason.
func (r *Readiness) SetNotReady(reason string) { r.reason.Store(&reason) }

// Reason returns why the process is not ready; empty means ready.
func (r *Readiness) Reason() string {
	if p := r.reason.Load(); p != nil {
		return *p
	}
	return ""
}

// AdminHandler serves /metrics, /healthz and /readyz; unready returns the reason why the
// process is not ready, empty if it is. A process may add paths of its own.
func AdminHandler(registry *prometheus.Registry, unready func() string) chi.Router {
	router := chi.NewRouter()
	router.Handle("/metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	router.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok\n")
	})
	router.Get("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if reason := unready(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ready\n")
	})
	return router
}

// ServeAdmin serves the handler on the address until ctx is done.
func ServeAdmin(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: adminReadTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
