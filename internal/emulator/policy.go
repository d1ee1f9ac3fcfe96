package emulator

// Policy says which of the product's decisions a gateway makes.
type Policy struct {
	Name string
	// Placement chooses engines.
	Placement PlacementRule
	// Resume continues streams at other engines.
	Resume bool
	// Copies keeps second copies of the runs' memory and continues from them.
	Copies bool
	// Probes asks silent engines whether they are alive, and with them their zones.
	Probes bool
	// Returns finds the run of a client that returns to another gateway.
	Returns bool
	// StoresRuns keeps the records of runs in the store, for the loss of all gateways.
	StoresRuns bool
	// LeavesUnread moves streams whose first event does not come from a live engine.
	LeavesUnread bool
}

// PlacementRule is how engines are chosen.
type PlacementRule int

// Placement rules.
const (
	// RoundRobin takes the engines in turn.
	RoundRobin PlacementRule = iota
	// LeastReported takes the engine whose last report told the fewest requests.
	LeastReported
	// ByCost is the product's own choice.
	ByCost
)

// Policies returns the policies that are compared: the plain one, one that follows reports,
// the product before its last change, and the product.
func Policies() []Policy {
	return []Policy{
		{Name: "round robin"},
		{Name: "by reports", Placement: LeastReported, Resume: true, Probes: true},
		{Name: "before", Placement: ByCost, Resume: true, Copies: true, Probes: true},
		{Name: "product", Placement: ByCost, Resume: true, Copies: true, Probes: true, Returns: true, StoresRuns: true, LeavesUnread: true},
	}
}
