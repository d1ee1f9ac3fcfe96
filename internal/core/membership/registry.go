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
	// StartUnixMS is the Unix time in ms of the target's start, 0 if it did not say.
	StartUnixMS uint64
	// Model is set for targets that run a model.
	Model bool
}

// SameInstance reports whether two registrations are of the same start of a target.
func (r *Registration) SameInstance(other *Registration) bool {
	return r.ID == other.ID && r.StartUnixMS == other.StartUnixMS && r.Address == other.Address
}

// Registry is a gateway's view of registered targets. It is not safe for concurrent use.
type Registry struct {
	targets map[string]Registration
	// met are starts of targets that were met at the address of a registered one while the
	// store could not tell of them, by id.
	met map[string]metTarget
	// missingSince holds targets whose registration vanished while the store was failing.
	missingSince map[string]time.Time
}

// metTarget is a start that was met directly.
type metTarget struct {
	reg      Registration
	replaces string
}

// lapseGrace is how long a registration that lapsed while the store was failing is kept
// after the store's return: live targets register again within 2 s of it.
const lapseGrace = 2 * time.Second

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{targets: map[string]Registration{}, met: map[string]metTarget{}, missingSince: map[string]time.Time{}}
}

// Replace takes in all current registrations. With lapsed set, the store has just come
// back from an outage, and vanished targets are kept for lapseGrace unless they were
// leaving.
func (r *Registry) Replace(now time.Time, list []Registration, lapsed bool) {
	present := make(map[string]bool, len(list))
	for _, reg := range list {
		present[reg.ID] = true
		r.targets[reg.ID] = reg
		r.forgetMet(reg)
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

// forgetMet drops what was met at the address of a registration that the store lists, if
// the store tells of that start or of a younger one than the one it replaced.
func (r *Registry) forgetMet(reg Registration) {
	for id, m := range r.met {
		if m.reg.Address == reg.Address && m.replaces != reg.ID {
			delete(r.met, id)
		}
	}
}

// AddReplacement takes in a start of a target that was met at the address of a registered one, which
// it replaces, and reports whether it is new. The store's word goes first.
func (r *Registry) AddReplacement(id, replaces string) bool {
	old, known := r.targets[replaces]
	if _, listed := r.targets[id]; listed || !known || old.Leaving {
		return false
	}
	if _, met := r.met[id]; met {
		return false
	}
	for other, m := range r.met {
		if m.replaces == replaces {
			delete(r.met, other)
		}
	}
	old.ID, old.Leaving, old.StartUnixMS = id, false, old.StartUnixMS+1
	r.met[id] = metTarget{reg: old, replaces: replaces}
	return true
}

// Replacements returns the ids of the starts that were met directly, with the ones they replace.
func (r *Registry) Replacements() map[string]string {
	met := make(map[string]string, len(r.met))
	for id, m := range r.met {
		met[id] = m.replaces
	}
	return met
}

// DropReplacements drops all starts that were met directly and reports whether there were any.
func (r *Registry) DropReplacements() bool {
	had := len(r.met) > 0
	clear(r.met)
	return had
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
	for _, m := range r.met {
		list = append(list, m.reg)
	}
	return list
}
