// Package settings reads the static TOML settings of one process. A gateway applies
// changed seeds and bounds at run time; all other changes take effect at the next
// restart. The operator configuration holds what operators change at run time.
package settings

// DefaultMaxBodyBytes is the default of Entry.MaxBodyBytes.
const DefaultMaxBodyBytes = 4 << 20

// Entry holds the settings of an entry.
type Entry struct {
	// Name identifies the VM; unique in the installation.
	Name string `toml:"name"`
	// Zone is the availability zone of the VM.
	Zone string `toml:"zone"`
	// CallerListen is host:port for callers' HTTP.
	CallerListen string `toml:"caller_listen"`
	// PeerListen is host:port for gRPC from entries and operators; peers dial it.
	PeerListen string `toml:"peer_listen"`
	// PeerAddress is the host:port at which others reach PeerListen; empty means PeerListen.
	PeerAddress string `toml:"peer_address"`
	// AdminListen is host:port for metrics, health and readiness.
	AdminListen string `toml:"admin_listen"`
	// PlatformURL is the base URL of the table service, object store and VM list.
	PlatformURL string `toml:"platform_url"`
	// Seeds are processes to contact while the VM list is unreachable.
	Seeds []Seed `toml:"seed"`
	// MaxBodyBytes bounds a caller's request body; 0 means 4 MiB.
	MaxBodyBytes int64   `toml:"max_body_bytes"`
	Log          Log     `toml:"log"`
	Rollout      Rollout `toml:"rollout"`
	// DisableResume turns off the resumption of generations; for measurements and tests only.
	DisableResume bool `toml:"disable_resume"`
}

// Seed is a statically configured peer.
type Seed struct {
	Address string `toml:"address"`
	// Role is "entry" or "agent".
	Role string `toml:"role"`
	Zone string `toml:"zone"`
}

// Agent holds the settings of an agent.
type Agent struct {
	Name        string `toml:"name"`
	VM          string `toml:"vm"`
	Zone        string `toml:"zone"`
	Listen      string `toml:"listen"`
	AdminListen string `toml:"admin_listen"`
	// TargetURL is the base URL of the target on the same VM.
	TargetURL string `toml:"target_url"`
	// TargetKind is "model" or "application".
	TargetKind string `toml:"target_kind"`
	// Service is the service of the operator configuration that the target belongs to.
	Service     string   `toml:"service"`
	Versions    []string `toml:"versions"`
	PlatformURL string   `toml:"platform_url"`
	Log         Log      `toml:"log"`
}

// Log holds the settings of the logger.
type Log struct {
	// Level is one of debug, info, warn, error; empty means info.
	Level string `toml:"level"`
	// Console selects human-readable text instead of JSON.
	Console bool `toml:"console"`
}
