// Package catalog holds the desired state of a gateway: routes, services, client
// accounts and limits, as one immutable value for each version.
package catalog

import (
	"slices"
	"sort"
	"strings"
	"time"
)

// Kind says how often requests of a route may run.
type Kind int

// Kinds of routes.
const (
	// Idempotent requests may run any number of times.
	Idempotent Kind = iota
	// Once marks requests that may run at most once for each client attempt.
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
	// Timeout is the longest time that a request may stay unanswered.
	Timeout time.Duration
	// TargetLatency is the time within which an answer has its full value.
	TargetLatency time.Duration
	// MaxEventGap is the longest pause between events that is still on time; streams only.
	MaxEventGap time.Duration
	// Priority is the urgency, 0 first.
	Priority int
	// Shares are the services of the route; one entry unless the route is split.
	Shares []Share
	// MaxAttempts bounds the targets that one request may be sent to.
	MaxAttempts int
	// Anonymous routes need no API key.
	Anonymous bool
	// Resumable streams may continue on another target.
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

// Pick returns the service for a draw in [0, 1), or "" if no share has a weight.
func (r *Route) Pick(draw float64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	point := draw * float64(total)
	for _, s := range r.Shares {
		if point < float64(s.Weight) {
			return s.Service
		}
		point -= float64(s.Weight)
	}
	return ""
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots int
	// MemoryTokens is the capacity for prompts, output and copies, in tokens.
	MemoryTokens int
	// Models are the names of the models that the engines serve.
	Models []string
	// KeepsCopies is set if engines take second copies of the memory of running requests.
	KeepsCopies bool
	// CopyLifetime is how long an unused copy lasts after its last update.
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
	// routes of a host, the longest prefix first.
	routes   map[string][]Route
	accounts map[string]*Account
	closed   bool
}

// New builds the lookup tables of a version.
func New(version uint64, routes []Route, services []Service, accounts []Account, limits Limits) *Config {
	c := &Config{
		Version:  version,
		Limits:   limits,
		services: make(map[string]Service, len(services)),
		routes:   make(map[string][]Route),
		accounts: make(map[string]*Account),
		closed:   len(accounts) > 0,
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
	return c
}

// Service returns the service with a name.
func (c *Config) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// ModelService returns the only service whose engines serve all the models, or false if
// there is none or more than one.
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

// Route returns the route of the host with the longest prefix of the path, or nil.
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

// Account returns the account that holds a key, or nil.
func (c *Config) Account(key string) *Account { return c.accounts[key] }

// RequiresKey reports whether requests of the route must carry a known key.
func (c *Config) RequiresKey(r *Route) bool { return c.closed && !r.Anonymous }
