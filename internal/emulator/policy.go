package emulator

// Policy selects which of the product's mechanisms a gateway uses.
type Policy struct {
	Name string
	// Placement is the rule for choosing engines.
	Placement PlacementRule
	// Resume continues interrupted streams on other engines.
	Resume bool
	// CopyCaches keeps copies of the KV caches of runs and resumes from them.
	CopyCaches bool
	// LimitCopies adds no copies while memory is short.
	LimitCopies bool
	// Probe checks whether unresponsive engines are alive and, if not, probes their zones.
	Probe bool
	// FindRuns finds the run of a client that reconnects to another gateway.
	FindRuns bool
	// StoreRuns keeps the run records in the store, so that they survive the loss of all gateways.
	StoreRuns bool
	// KeepUntilAccepted leaves a live engine only for a successor that has accepted the stream.
	KeepUntilAccepted bool
	// ReadReports judges by the engines' reports whether they work on a stream.
	ReadReports bool
	// CountRequests rejects requests that crashed engines, and CountParts also those whose prompts share a
	// part with such requests.
	CountRequests, CountParts bool
	// RefuseUnservable refuses streams whose last event cannot come before their deadline.
	RefuseUnservable bool
	// MoveLateStarts moves streams whose first event is late on a live engine.
	MoveLateStarts bool
	// LearnSpeeds measures the lasting speeds of engines and chooses by them.
	LearnSpeeds bool
	// Rank lets streams of ranked services wait by rank for room.
	Rank bool
}

// PlacementRule determines how engines are chosen.
type PlacementRule int

// Placement rules.
const (
	// RoundRobin chooses the engines in turn.
	RoundRobin PlacementRule = iota
	// LeastLoaded chooses the engine whose last load report has the fewest requests.
	LeastLoaded
	// ByCost is the product's own placement by estimated cost.
	ByCost
)

// Policies returns the policies to compare: round robin, one that follows load reports, the
// product before its first changes for these patterns, the product that leaves a live engine before
// another one has accepted the stream, the product that does not read the engines' reports, the product that
// counts crashes by request only, the product that reads prompts of streams that cannot end in time, the product
// without ranks, the product without its setting engine_speeds, and the product with it.
func Policies() []Policy {
	return []Policy{
		{Name: "round robin"},
		{Name: "by reports", Placement: LeastLoaded, Resume: true, Probe: true},
		{Name: "before", Placement: ByCost, Resume: true, CopyCaches: true, Probe: true},
		{Name: "leaves first", Placement: ByCost, Resume: true, CopyCaches: true, Probe: true, FindRuns: true, StoreRuns: true, MoveLateStarts: true},
		{Name: "no reports", Placement: ByCost, Resume: true, CopyCaches: true, Probe: true, FindRuns: true, StoreRuns: true, MoveLateStarts: true, KeepUntilAccepted: true, LimitCopies: true},
		{Name: "by request", Placement: ByCost, Resume: true, CopyCaches: true, Probe: true, FindRuns: true, StoreRuns: true, MoveLateStarts: true, KeepUntilAccepted: true, LimitCopies: true, ReadReports: true, CountRequests: true},
		{Name: "reads all", Placement: ByCost, Resume: true, CopyCaches: true, Probe: true, FindRuns: true, StoreRuns: true, MoveLateStarts: true, KeepUntilAccepted: true, LimitCopies: true, ReadReports: true, CountRequests: true, CountParts: true},
		{Name: "no ranks", Placement: ByCost, Resume: true, CopyCaches: true, Probe: true, FindRuns: true, StoreRuns: true, MoveLateStarts: true, KeepUntilAccepted: true, LimitCopies: true, ReadReports: true, CountRequests: true, CountParts: true, RefuseUnservable: true},
		{Name: "product", Placement: ByCost, Resume: true, CopyCaches: true, Probe: true, FindRuns: true, StoreRuns: true, MoveLateStarts: true, KeepUntilAccepted: true, LimitCopies: true, ReadReports: true, CountRequests: true, CountParts: true, RefuseUnservable: true, Rank: true},
		{Name: "by speed", Placement: ByCost, Resume: true, CopyCaches: true, Probe: true, FindRuns: true, StoreRuns: true, MoveLateStarts: true, KeepUntilAccepted: true, LimitCopies: true, ReadReports: true, CountRequests: true, CountParts: true, RefuseUnservable: true, Rank: true, LearnSpeeds: true},
	}
}
