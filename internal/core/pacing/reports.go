package pacing

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// reportMaxAge is the age beyond which another gateway's report does not count.
	reportMaxAge = 2 * time.Second
	// maxReportedCalls is the largest number of calls of a service that a report may state. A gateway of 64 GB admits
	// fewer requests.
	maxReportedCalls = 1 << 20
	// MaxReportedServices is the largest number of services in a report.
	MaxReportedServices = 256
)

// ServiceKey stands for the name of a service in reports.
type ServiceKey uint32

// KeyOf returns the key of a service.
func KeyOf(service string) ServiceKey { return ServiceKey(xxhash.Sum64String(service)) }

// Load is the average number of calls of one service at one gateway.
type Load struct {
	// Active calls are at targets, Waiting ones at the gateway.
	Active, Waiting int
}

// Reports holds the loads that other gateways reported.
type Reports struct{ byGateway map[string]*report }

type report struct {
	at       time.Time
	services map[ServiceKey]Load
}

// NewReports returns reports without any gateway.
func NewReports() *Reports { return &Reports{byGateway: map[string]*report{}} }

// Set records a message of another gateway, which has no entry for a service without calls or that the gateway does
// not pace. It returns false and records that the gateway has no calls if a value is out of range.
func (r *Reports) Set(now time.Time, gateway string, loads map[ServiceKey]Load) bool {
	next := &report{at: now, services: map[ServiceKey]Load{}}
	r.byGateway[gateway] = next
	if len(loads) > MaxReportedServices {
		return false
	}
	valid := true
	for key, load := range loads {
		if load.Active < 0 || load.Waiting < 0 || load.Active > maxReportedCalls || load.Waiting > maxReportedCalls {
			valid = false
			continue
		}
		next.services[key] = load
	}
	return valid
}

// Expire drops reports that are older than reportMaxAge.
func (r *Reports) Expire(now time.Time) {
	for gateway, report := range r.byGateway {
		if now.Sub(report.at) > reportMaxAge {
			delete(r.byGateway, gateway)
		}
	}
}

// calls returns the number of a gateway's calls, and false if it was not heard from for reportMaxAge.
func (r *Reports) calls(now time.Time, gateway string, service ServiceKey) (int, bool) {
	report := r.byGateway[gateway]
	if report == nil || now.Sub(report.at) > reportMaxAge {
		return 0, false
	}
	load := report.services[service]
	return load.Active + load.Waiting, true
}
