// Package configcheck checks a configuration before it is sent: entries that can never match, limits that
// contradict each other, and what differs from the version in force. It works on one model, into which the
// operator configuration and the platform's desired state are translated.
package configcheck

import (
	"time"

	"bramleygap/internal/core/catalog"
)

// Field names a value of the model independently of the format that states it.
type Field int

// Fields of the model.
const (
	// Whole is the element itself.
	Whole Field = iota
	Routes
	Services
	Accounts
	Name
	Host
	Prefix
	Kind
	Timeout
	Objective
	EventGap
	Priority
	Attempts
	Shares
	Weight
	Anonymous
	Resumable
	Slots
	MemoryTokens
	Connections
	Keys
	Members
	Deadline
	KeepPrevious
	HeaderBytes
	BodyBytes
	HeaderTimeout
	IdleTimeout
)

// Format says where a text states the fields of the model.
type Format struct {
	// Keys are the names of the fields in the text. A field without a name is reported at its element.
	Keys map[Field]string
	// Line returns the line of a key or of the nearest key that encloses it, or 0.
	Line func(key string) int
}

// Place is a position in a text.
type Place struct {
	Line int
	Key  string
}

// At returns the place of a field of the element with the given key; the empty key is the whole text.
func (f Format) At(element string, field Field) Place {
	key := element
	if name := f.Keys[field]; name != "" {
		if key != "" {
			key += "."
		}
		key += name
	}
	place := Place{Line: 1, Key: key}
	if f.Line != nil {
		place.Line = max(1, f.Line(key))
	}
	return place
}

// Configuration is a configuration of either format.
type Configuration struct {
	Format   Format
	Routes   []Route
	Services []Service
	Accounts []Account
	Members  []Member
	// Classes are classes of targets.
	Classes []Named
	Limits  Limits
	// PerRoute is set if routes state their own timeouts, objectives and attempts.
	PerRoute bool
	// Other holds further values by readable name; only their differences are reported.
	Other map[string]string
}

// Named is an element that has only a name.
type Named struct{ Key, Name string }

// Route is a route with the key of its element, such as routes[3].
type Route struct {
	Key string
	// Name identifies the route in messages and comparisons.
	Name string
	// Scope is what is selected before the path: a host, or a service that callers name.
	Scope string
	// Method is empty if the route serves all methods.
	Method string
	// Prefix is a path, or with Exact unset the beginning of paths.
	Prefix string
	Exact  bool
	Kind   catalog.Kind
	// Timeout, Objective and EventGap are 0 if they are not stated.
	Timeout, Objective, EventGap time.Duration
	Priority, Attempts           int
	Anonymous, Resumable         bool
	Shares                       []Share
}

// Share is the weight of one service in a route.
type Share struct {
	Key     string
	Service string
	Weight  int
}

// Service is a group of targets.
type Service struct {
	Key, Name string
	// Direct is set if callers name the service, so that it needs no route.
	Direct bool
	// Timeout is 0 if it is not stated.
	Timeout     time.Duration
	Class       string
	DependsOn   []string
	Versions    []Version
	HealthPath  string
	Connections int
	// Engine is set for services with a model; Slots, MemoryTokens and Models describe it.
	Engine              bool
	Slots, MemoryTokens int
	Models              []string
}

// Version is a version of a model service.
type Version struct {
	Key, Name string
	// Share is in percent.
	Share        float64
	Deadline     time.Time
	KeepPrevious time.Duration
	// Other describes the remaining values; only differences are reported.
	Other string
}

// Account is a client account. Keys may be hashes.
type Account struct {
	Key, Name, Member string
	Keys              []string
	Priority          int
	// Services are those that the account may use; none means all.
	Services []string
}

// Member has a share of the pool in percent.
type Member struct {
	Key, Name string
	Share     float64
}

// Limits bound what a client may send; 0 means not stated.
type Limits struct {
	Key                        string
	HeaderBytes                int
	BodyBytes                  int64
	HeaderTimeout, IdleTimeout time.Duration
}

// Gateway is what the check needs of a gateway's settings.
type Gateway struct {
	Name string
	// RetryRatio and RetrySlack bound the repeats of a service in a window: a fraction of its requests, and a number.
	RetryRatio, RetrySlack float64
	// Grace is the time from the request to stop until the process is ended.
	Grace time.Duration
	// BodyMemory is what all bodies of client requests may occupy, in bytes.
	BodyMemory int64
	// HeaderBytes is the largest header that a gateway reads.
	HeaderBytes int
}
