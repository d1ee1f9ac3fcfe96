package membership

// Process identifies one process of a target. A target may start again under the ID that it had, and an address may
// pass to another target.
type Process struct {
	ID string
	// StartUnixMS is the start of the process in Unix milliseconds, 0 if unknown.
	StartUnixMS uint64
}

// Process returns the process that a registration describes. A start that was estimated is unknown.
func (r *Registration) Process() Process {
	if r.StartEstimated {
		return Process{ID: r.ID}
	}
	return Process{ID: r.ID, StartUnixMS: r.StartUnixMS}
}

// Identity says whether an answer comes from a given process.
type Identity int

const (
	// IdentityUnknown means that the answer does not say which process gave it.
	IdentityUnknown Identity = iota
	// SameID means that the process has the same ID. It may have started since.
	SameID
	// SameProcess means that the process has the same start, and no other ID.
	SameProcess
	// OtherProcess means that another process gave the answer.
	OtherProcess
)

// Identify compares the process with what an answer states of the process that gave it. Zero fields are not stated.
func (p Process) Identify(stated Process) Identity {
	switch {
	case stated.ID != "" && stated.ID != p.ID:
		return OtherProcess
	case stated.StartUnixMS != 0 && p.StartUnixMS != 0:
		if stated.StartUnixMS != p.StartUnixMS {
			return OtherProcess
		}
		return SameProcess
	case stated.ID != "":
		return SameID
	}
	return IdentityUnknown
}
