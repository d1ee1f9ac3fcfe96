package membership

import "time"

// Registration is what a target without an agent says of itself in the platform's store.
type Registration struct {
	// ID names one start of the target, or several if it keeps its id.
	ID      string
	Address string
	Zone    string
	Service string
	Version string
	Slots   int
	// Leaving is set once the target announced that it will stop.
	Leaving bool
	// Born is the Unix time in ms of the target's start, 0 if it did not say.
	Born uint64
	// Model is set for targets that run a model.
	Model bool
}

// Same reports whether two registrations are of the same start of a target.
func (r *Registration) Same(other *Registration) bool {
	return r.ID == other.ID && r.Born == other.Born && r.Address == other.Address
}

// Registry is a gateway's view of registered targets. It is not safe for concurrent use.
type Registry struct {
	targets map[string]Registration
	// missingSince holds targets whose registration vanished while the store was failing.
	missingSince map[string]time.Time
}

// lapseGrace is how long a registration that lapsed while the store was failing is kept
// after the store's return: live targets register again within 2 s of it.
const lapseGrace = 2 * time.Second

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{targets: map[string]Registration{}, missingSince: map[string]time.Time{}}
}

// Replace takes in all current registrations. With lapsed set, the store has just come
// back from an outage, and vanished targets are kept for lapseGrace unless they were
// leaving.
func (r *Registry) Replace(now time.Time, list []Registration, lapsed bool) {
	present := make(map[string]bool, len(list))
	for _, reg := range list {
		present[reg.ID] = true
		r.targets[reg.ID] = reg
		delete(r.missingSince, reg.ID)
	}
	for id, reg := range r.targets {
		if present[id] {
			continue
		}
		since, missing := r.missingSince[id]
		switch {
		case reg.Leaving, !missing && !lapsed, missing && now.Sub(since) >= lapseGrace:
			delete(r.targets, id)
			delete(r.missingSince, id)
		case !missing:
			r.missingSince[id] = now
		}
	}
}

// Expire drops targets whose grace after a store outage is over and reports whether any
// was dropped.
func (r *Registry) Expire(now time.Time) bool {
	dropped := false
	for id, since := range r.missingSince {
		if now.Sub(since) >= lapseGrace {
			delete(r.targets, id)
			delete(r.missingSince, id)
			dropped = true
		}
	}
	return dropped
}

// Targets returns the current registrations in no particular order.
func (r *Registry) Targets() []Registration {
	list := make([]Registration, 0, len(r.targets))
	for _, reg := range r.targets {
		list = append(list, reg)
	}
	return list
}
