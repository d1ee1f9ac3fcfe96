package membership

import "time"

// Registration is the record that a target without an agent writes about itself to the
// platform's store.
type Registration struct {
	// ID identifies one instance of the target, that is one start of its process, or
	// several instances if the target keeps its ID across restarts.
	ID      string
	Address string
	Zone    string
	Service string
	Version string
	Slots   int
	// Leaving is set once the target has announced that it will stop.
	Leaving bool
	// StartUnixMS is the start time of the instance in Unix milliseconds, 0 if not reported.
	StartUnixMS uint64
	// StartEstimated is set if StartUnixMS is not from the instance's own registration.
	StartEstimated bool
	// Model is set for targets that run a model.
	Model bool
	// Heartbeat rises with each registration that the instance writes.
	Heartbeat uint64
}

// SameInstance reports whether both registrations belong to the same instance of a target.
func (r *Registration) SameInstance(other *Registration) bool {
	return r.ID == other.ID && r.StartUnixMS == other.StartUnixMS && r.Address == other.Address
}

// Registry is a gateway's view of registered targets. It is not safe for concurrent use.
type Registry struct {
	targets map[string]Registration
	// replacements holds the instances that were found at the address of a registered one
	// while the store was unavailable, by ID.
	replacements map[string]replacement
	// missingSince holds when the registration of a target was first found missing after a
	// store outage, by ID.
	missingSince map[string]time.Time
	// listed is the list of registrations that was installed last, and removed holds those that have left it, by ID.
	listed  []Registration
	removed map[string]removal
	// restoredUntil is the end of restoredGrace after the store has come back from an older copy.
	restoredUntil time.Time
}

// removal is a registration that the store has removed.
type removal struct {
	reg Registration
	at  time.Time
}

// replacement is an instance found at the address of the registered instance replaces.
type replacement struct {
	reg      Registration
	replaces string
}

// missingGrace is how long a registration that expired during a store outage is kept after
// the store has recovered: live targets register again within 2 s of the recovery.
const missingGrace = 2 * time.Second

const (
	// restoredGrace is how long after the store has come back from an older copy a registration in it may be that of
	// the copy. Live targets write theirs again within 2 s, and those of others expire.
	restoredGrace = 10 * time.Second
	// removedMemory is how long a removed registration is remembered. Copies are some seconds old.
	removedMemory = 30 * time.Second
)

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{targets: map[string]Registration{}, replacements: map[string]replacement{}, missingSince: map[string]time.Time{}, removed: map[string]removal{}}
}

// StoreRestored records that the store has come back from an older copy. For restoredGrace, a registration that is not
// newer than what is known of its instance does not bring back one that was leaving or removed.
func (r *Registry) StoreRestored(now time.Time) { r.restoredUntil = now.Add(restoredGrace) }

// withoutRestored returns the registrations without what an older copy of the store has brought back: those of removed
// instances, and the earlier ones of present instances.
func (r *Registry) withoutRestored(now time.Time, list []Registration) []Registration {
	if !now.Before(r.restoredUntil) {
		return list
	}
	current := make([]Registration, 0, len(list))
	for _, reg := range list {
		if gone, ok := r.removed[reg.ID]; ok && gone.reg.includes(&reg) {
			continue
		}
		if known, ok := r.targets[reg.ID]; ok && known.includes(&reg) {
			reg = known
		}
		current = append(current, reg)
	}
	return current
}

// includes reports whether an instance wrote a registration not later than this one.
func (r *Registration) includes(other *Registration) bool {
	return r.SameInstance(other) && other.Heartbeat <= r.Heartbeat
}

// remove drops the registration of a target and remembers it.
func (r *Registry) remove(now time.Time, id string) {
	r.removed[id] = removal{r.targets[id], now}
	delete(r.targets, id)
	delete(r.missingSince, id)
}

// Replace installs the complete list of current registrations. With afterOutage set, the
// store has just recovered from an outage, and missing targets are kept for missingGrace
// unless they were leaving.
func (r *Registry) Replace(now time.Time, list []Registration, afterOutage bool) {
	r.listed = list
	list = r.withoutRestored(now, list)
	present := make(map[string]bool, len(list))
	for _, reg := range list {
		present[reg.ID] = true
		r.targets[reg.ID] = reg
		r.dropSuperseded(reg)
		delete(r.missingSince, reg.ID)
	}
	for id, reg := range r.targets {
		if present[id] {
			continue
		}
		since, missing := r.missingSince[id]
		switch {
		case reg.Leaving, !missing && !afterOutage, missing && now.Sub(since) >= missingGrace:
			r.remove(now, id)
		case !missing:
			r.missingSince[id] = now
		}
	}
}

// dropSuperseded drops the replacements at the address of reg if reg is not the instance that
// they replace: the store then lists the replacement itself or a newer instance.
func (r *Registry) dropSuperseded(reg Registration) {
	for id, rep := range r.replacements {
		if rep.reg.Address == reg.Address && rep.replaces != reg.ID {
			delete(r.replacements, id)
		}
	}
}

// AddReplacement records that the instance id was found at the address of the registered
// instance replaces, and reports whether that is new. Registrations listed by the store
// take precedence, and an instance that is leaving is not replaced.
func (r *Registry) AddReplacement(id, replaces string) bool {
	old, known := r.targets[replaces]
	if _, listed := r.targets[id]; listed || !known || old.Leaving {
		return false
	}
	if _, exists := r.replacements[id]; exists {
		return false
	}
	for other, rep := range r.replacements {
		if rep.replaces == replaces {
			delete(r.replacements, other)
		}
	}
	old.ID, old.Leaving, old.StartUnixMS, old.StartEstimated = id, false, old.StartUnixMS+1, true
	r.replacements[id] = replacement{reg: old, replaces: replaces}
	return true
}

// Replacements returns the IDs of the replacements, mapped to the IDs they replace.
func (r *Registry) Replacements() map[string]string {
	replaces := make(map[string]string, len(r.replacements))
	for id, rep := range r.replacements {
		replaces[id] = rep.replaces
	}
	return replaces
}

// DropReplacements drops all replacements and reports whether there were any.
func (r *Registry) DropReplacements() bool {
	had := len(r.replacements) > 0
	clear(r.replacements)
	return had
}

// Expire drops targets whose grace period after a store outage is over, and believes the list of registrations again
// once restoredGrace is over. It reports whether any target may have changed.
func (r *Registry) Expire(now time.Time) bool {
	changed := false
	for id, since := range r.missingSince {
		if now.Sub(since) >= missingGrace {
			r.remove(now, id)
			changed = true
		}
	}
	if !r.restoredUntil.IsZero() && !now.Before(r.restoredUntil) {
		r.restoredUntil = time.Time{}
		r.Replace(now, r.listed, false)
		changed = true
	}
	for id, removal := range r.removed {
		if now.Sub(removal.at) >= removedMemory {
			delete(r.removed, id)
		}
	}
	return changed
}

// Targets returns the current registrations and replacements in no particular order.
func (r *Registry) Targets() []Registration {
	list := make([]Registration, 0, len(r.targets))
	for _, reg := range r.targets {
		list = append(list, reg)
	}
	for _, rep := range r.replacements {
		list = append(list, rep.reg)
	}
	return list
}
