// Package catalog holds the desired state of a gateway: routes, services, client
// accounts and limits, as one immutable value per version.
package catalog

import (
	"slices"
	"sort"
	"strings"
	"time"
)

// Kind says how requests of a route may be executed.
type Kind int

// Kinds of routes.
const (
	// Idempotent marks requests that may run any number of times.
	Idempotent Kind = iota
	// Once marks requests that may run at most once per client attempt.
	Once
	// Stream marks responses that are a series of numbered events.
	Stream
)

// String returns the kind as a metric label.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Once:
		return "once"
	}
	return "stream"
}

// Share is the weight of one service in a split route.
type Share struct {
	Service string
	Weight  int
}

// Route selects the requests of one host and path prefix and says how to serve them.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the maximum time that a request may wait for its response.
	Timeout time.Duration
	// TargetLatency is the latency objective; later responses are worth less to the client.
	TargetLatency time.Duration
	// MaxEventGap is the longest acceptable time between two events of a stream.
	MaxEventGap time.Duration
	// Priority 0 is the highest.
	Priority int
	// Shares has more than one element for a split route.
	Shares []Share
	// MaxAttempts bounds the number of targets that one request may be sent to.
	MaxAttempts int
	// Anonymous is set if requests need no API key.
	Anonymous bool
	// Resumable is set if a stream may continue on another target.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Allows reports whether the route may send requests to a service.
func (r *Route) Allows(service string) bool {
	for _, s := range r.Shares {
		if s.Service == service && s.Weight > 0 {
			return true
		}
	}
	return false
}

// Pick returns the service for a random draw in [0, 1), or "" if no share has a weight.
func (r *Route) Pick(draw float64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	offset := draw * float64(total)
	for _, s := range r.Shares {
		if offset < float64(s.Weight) {
			return s.Service
		}
		offset -= float64(s.Weight)
	}
	return ""
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots int
	// MemoryTokens is the capacity of the KV cache in tokens, for prompts, output and copies.
	MemoryTokens int
	Models       []string
	// KeepsCopies is set if engines keep copies of the KV caches of running requests.
	KeepsCopies bool
	// CopyLifetime is how long an unused copy is kept after its last update.
	CopyLifetime time.Duration
}

// Service is one group of targets.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// Engine is nil for services without a model.
	Engine *Engine
}

// Account is a client account with its API keys.
type Account struct {
	Name     string
	Keys     []string
	Priority int
}

// Limits bound what a client may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one version of the desired state. It does not change after New.
type Config struct {
	Version  uint64
	Limits   Limits
	services map[string]Service
	// routes holds the routes of each host, longest prefix first.
	routes      map[string][]Route
	accounts    map[string]*Account
	requireKeys bool
	// rankings holds the ranks of the streams of each service, and callRankings those of its calls.
	rankings          map[string]*ranking
	callRankings      map[string]*ranking
	accountPriorities priorities
	invalidPriorities []string
}

// New returns the desired state of a version, indexed for lookup.
func New(version uint64, routes []Route, services []Service, accounts []Account, limits Limits) *Config {
	c := &Config{
		Version:     version,
		Limits:      limits,
		services:    make(map[string]Service, len(services)),
		routes:      make(map[string][]Route),
		accounts:    make(map[string]*Account),
		requireKeys: len(accounts) > 0,
	}
	for _, s := range services {
		c.services[s.Name] = s
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.routes[host] = append(c.routes[host], r)
	}
	for _, list := range c.routes {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	for i := range accounts {
		for _, key := range accounts[i].Keys {
			c.accounts[key] = &accounts[i]
		}
	}
	c.rankServices(routes, accounts)
	return c
}

// Service returns the service with the given name.
func (c *Config) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// HasService reports whether a service is in the configuration or has a route.
func (c *Config) HasService(name string) bool {
	if _, ok := c.services[name]; ok {
		return true
	}
	for _, list := range c.routes {
		for i := range list {
			if slices.ContainsFunc(list[i].Shares, func(s Share) bool { return s.Service == name }) {
				return true
			}
		}
	}
	return false
}

// ModelService returns the only service whose engines serve exactly the given models, or
// false if there is none or more than one.
func (c *Config) ModelService(models []string) (string, bool) {
	found := ""
	for name, s := range c.services {
		if s.Engine == nil || !slices.Equal(s.Engine.Models, models) {
			continue
		}
		if found != "" {
			return "", false
		}
		found = name
	}
	return found, found != ""
}

// Services returns the number of services.
func (c *Config) Services() int { return len(c.services) }

// Route returns the host's route with the longest matching path prefix, or nil. A port in
// host is ignored.
func (c *Config) Route(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	list := c.routes[strings.ToLower(host)]
	for i := range list {
		if strings.HasPrefix(path, list[i].Prefix) {
			return &list[i]
		}
	}
	return nil
}

// Account returns the account that an API key belongs to, or nil.
func (c *Config) Account(key string) *Account { return c.accounts[key] }

// RequiresKey reports whether requests of the route must carry a known API key.
func (c *Config) RequiresKey(r *Route) bool { return c.requireKeys && !r.Anonymous }
