// Package opconfig parses and validates the operator configuration: the TOML document that
// lists services, members, client accounts, target classes and versions.
package opconfig

import "time"

// Service kinds.
const (
	KindModel       = "model"
	KindApplication = "application"
)

// Config is one validated operator configuration. It is immutable after parsing.
type Config struct {
	// Note is a free-text remark by the operator.
	Note          string        `toml:"note"`
	Members       []Member      `toml:"member"`
	Accounts      []Account     `toml:"account"`
	TargetClasses []TargetClass `toml:"target_class"`
	Services      []Service     `toml:"service"`
	// RetireVMs lists the ids of VMs that must receive no new work.
	RetireVMs []string `toml:"retire_vms"`
}

// Member is one organisation that shares the pool of engines.
type Member struct {
	Name string `toml:"name"`
	// Share is the member's part of the pool in percent, above 0 and at most 100.
	Share float64 `toml:"share"`
}

// Account is one client account.
type Account struct {
	Name   string `toml:"name"`
	Member string `toml:"member"`
	// KeySHA256 is the hexadecimal SHA-256 of the account's bearer key.
	KeySHA256 string `toml:"key_sha256"`
	// Services lists the services that the account may use; empty means all.
	Services []string `toml:"services"`
}

// TargetClass describes how the targets of one deployment treat orders.
type TargetClass struct {
	Name string `toml:"name"`
	// ChecksSender reports whether the target verifies who sends an order.
	ChecksSender bool `toml:"checks_sender"`
	// HonoursFencing reports whether the target rejects orders with a stale fencing token.
	HonoursFencing bool `toml:"honours_fencing"`
}

// Service is a model or a plain application that callers name in requests.
type Service struct {
	Name        string   `toml:"name"`
	Kind        string   `toml:"kind"`
	Model       string   `toml:"model"`
	TargetClass string   `toml:"target_class"`
	DependsOn   []string `toml:"depends_on"`
	// Timeout bounds one request; 0 means the entry's default.
	Timeout  Duration  `toml:"timeout"`
	Versions []Version `toml:"version"`
	Routes   []Route   `toml:"route"`
}

// Version is one version of a model service.
type Version struct {
	Name    string `toml:"name"`
	Adapter string `toml:"adapter"`
	// Share is the version's percentage of new requests while no rollout changes it.
	Share float64 `toml:"share"`
	// Deadline is the time by which a rollout to this version is complete or rolled back.
	Deadline time.Time `toml:"deadline"`
	// OnTooLittleTraffic is "withdraw" (default) or "finish".
	OnTooLittleTraffic string `toml:"on_too_little_traffic"`
	// KeepPrevious is how long the previous version stays available for a rollback.
	KeepPrevious Duration `toml:"keep_previous"`
}

// Route is one route of an application service.
type Route struct {
	Method string `toml:"method"`
	// Path is a path that may end in "*" to match any suffix.
	Path string `toml:"path"`
	// Once marks calls that must not be repeated.
	Once bool `toml:"once"`
}

// Duration is a time.Duration written as text, for example "90s".
type Duration struct{ time.Duration }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	d.Duration = v
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// Service returns the service with the given name, or nil.
func (c *Config) Service(name string) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

// Member returns the member with the given name, or nil.
func (c *Config) Member(name string) *Member {
	for i := range c.Members {
		if c.Members[i].Name == name {
			return &c.Members[i]
		}
	}
	return nil
}
