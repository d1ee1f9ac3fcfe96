package settings

import (
	"math"
	"time"

	"bramleygap/internal/opconfig"
	"bramleygap/internal/tomlcheck"
)

// Gateway holds the settings of a gateway.
type Gateway struct {
	// Name identifies the VM; unique in the installation.
	Name string `toml:"name"`
	// Zone is the availability zone of the VM.
	Zone string `toml:"zone"`
	// ClientListen is host:port for clients' HTTP.
	ClientListen string `toml:"client_listen"`
	// ReadinessListen is host:port for the load balancer's readiness checks.
	ReadinessListen string `toml:"readiness_listen"`
	// PeerListen is host:port for gRPC from other gateways; they dial it.
	PeerListen string `toml:"peer_listen"`
	// AdminListen is host:port for metrics and the desired state in use; empty means none.
	AdminListen string `toml:"admin_listen"`
	// StoreAddress is host:port of the platform's store.
	StoreAddress string `toml:"store_address"`
	// Bootstrap is "true" only when the whole system starts for the first time, so that no earlier process of this
	// gateway has served a client. Any other value, as of a platform that does not state it, means that one may have.
	Bootstrap string `toml:"bootstrap"`
	// Seeds are PeerListen addresses of some gateways. They may be stale.
	Seeds []string `toml:"seeds"`
	// MemoryLimitMB is the memory use at which the platform kills the process, in MB; 0 means none. What
	// requests and answers may occupy together follows from it; without it, that is planned for 1 GB.
	MemoryLimitMB int64 `toml:"memory_limit_mb"`
	// ProcessorShare is the processor time that the platform grants the process, in cores, and LinkMbps the rate of
	// the VM's link in Mbit/s; 0 means unknown. With one of them, a gateway refuses what it cannot carry and ends
	// responses whose clients accept nothing.
	ProcessorShare float64 `toml:"processor_share"`
	LinkMbps       float64 `toml:"link_mbps"`
	// Grace is the time between the request to stop and the forced termination of the process.
	Grace  opconfig.Duration `toml:"grace"`
	Bounds Bounds            `toml:"bounds"`
	Calls  Calls             `toml:"calls"`
	// Placement controls the choice of targets.
	Placement Placement `toml:"placement"`
	Rollouts  Rollouts  `toml:"rollouts"`
	Log       Log       `toml:"log"`
}

// FirstStart reports whether the whole system starts for the first time.
func (g *Gateway) FirstStart() bool { return g.Bootstrap == "true" }

// Rollouts holds the settings of rollout orders.
type Rollouts struct {
	// DrainPrevious lets the previous version end its streams before an order is completed.
	DrainPrevious bool `toml:"drain_previous"`
}

// Placement controls the choice of targets.
type Placement struct {
	// EngineSpeeds lets gateways measure the lasting speeds of targets and choose by them where they differ.
	EngineSpeeds bool `toml:"engine_speeds"`
	// ZoneTransferCost is the waiting that a choice accepts rather than send a stream or a call to another zone; 0
	// means none.
	ZoneTransferCost opconfig.Duration `toml:"zone_transfer_cost"`
}

// maxZoneTransferCost is the largest valid zone transfer cost. More would outweigh that a target is full.
const maxZoneTransferCost = 10 * time.Second

// Bounds are limits that all gateways together guarantee to the operators.
type Bounds struct {
	// RetryRatio is the fraction of a service's requests that may be retried.
	RetryRatio float64 `toml:"retry_ratio"`
	// RetrySlack is the number of additional retries permitted in each RetryWindow.
	RetrySlack float64 `toml:"retry_slack"`
	// RetryWindow is the period over which retries are counted; 0 means 10 s.
	RetryWindow opconfig.Duration `toml:"retry_window"`
	// ShareRetries lets gateways give each other retries that they do not need.
	ShareRetries bool `toml:"share_retries"`
	// DrainTimeout is the time after which a leaving target receives no more requests.
	DrainTimeout opconfig.Duration `toml:"drain_timeout"`
	// ConfigApply is the time after which a change of the desired state is in force at every
	// gateway; 0 means DrainTimeout.
	ConfigApply opconfig.Duration `toml:"config_apply"`
}

// Calls holds the settings of calls at plain services.
type Calls struct {
	// Pace lets calls wait at the gateway while the targets of their service reject calls for lack of room.
	Pace bool `toml:"pace"`
}

// minGrace is the shortest valid grace: the load balancer takes 2 s to detect a stop.
const minGrace = 3 * time.Second

// minMemoryLimitMB is the smallest valid memory limit in MB. A gateway that serves a few requests has
// about 35 MB resident.
const minMemoryLimitMB = 40

// LoadGateway reads and validates the settings file of a gateway. The error lists all
// problems with file, line and key.
func LoadGateway(path string) (Gateway, error) {
	text, err := readFile(path)
	if err != nil {
		return Gateway{}, err
	}
	return ParseGateway(path, text)
}

// ParseGateway validates the settings of a gateway; file is named in errors and may be empty.
func ParseGateway(file, text string) (Gateway, error) {
	var s Gateway
	d, ok := tomlcheck.Decode(file, text, maxFileBytes, &s)
	if !ok {
		return Gateway{}, d.Err()
	}
	d.Name("name", s.Name)
	d.Name("zone", s.Zone)
	d.Address("client_listen", s.ClientListen, true)
	d.Address("readiness_listen", s.ReadinessListen, true)
	d.Address("peer_listen", s.PeerListen, false)
	if s.AdminListen != "" {
		d.Address("admin_listen", s.AdminListen, true)
	}
	checkDistinct(d, []string{"client_listen", "readiness_listen", "peer_listen", "admin_listen"},
		[]string{s.ClientListen, s.ReadinessListen, s.PeerListen, s.AdminListen})
	d.Address("store_address", s.StoreAddress, false)
	if s.MemoryLimitMB != 0 && s.MemoryLimitMB < minMemoryLimitMB {
		d.Add("memory_limit_mb", "is below 40, which a gateway needs without any request; write a number of MB, or 0 for no limit")
	}
	checkAmount(d, "processor_share", s.ProcessorShare)
	checkAmount(d, "link_mbps", s.LinkMbps)
	if s.Grace.Duration < minGrace {
		d.Add("grace", "is shorter than 3 s; the load balancer would still send connections")
	}
	if s.Bounds.RetryRatio < 0 || s.Bounds.RetrySlack < 0 {
		d.Add("bounds.retry_ratio", "and bounds.retry_slack must not be negative")
	}
	if s.Bounds.RetryWindow.Duration < 0 {
		d.Add("bounds.retry_window", "must not be negative")
	}
	if s.Bounds.DrainTimeout.Duration < 0 || s.Bounds.ConfigApply.Duration < 0 {
		d.Add("bounds.drain_timeout", "and bounds.config_apply must not be negative")
	}
	if cost := s.Placement.ZoneTransferCost.Duration; cost < 0 || cost > maxZoneTransferCost {
		d.Add("placement.zone_transfer_cost", "is not within 0 s and 10 s; write the waiting that is accepted rather than send bytes to another zone")
	}
	checkLog(d, s.Log)
	if err := d.Err(); err != nil {
		return Gateway{}, err
	}
	return s, nil
}

// checkAmount reports a value that is no amount of anything, such as a negative one.
func checkAmount(d *tomlcheck.Document, key string, value float64) {
	if math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
		d.Add(key, "is not a number from 0 on; write 0 or leave it out if it is unknown")
	}
}
