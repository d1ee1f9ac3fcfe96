package replica

import "slices"

const (
	// Followers is how many gateways follow one gateway's copies of the tables. Each costs it two to
	// four small answers a second; with 6, 370 gateways are three steps from the store's readers.
	Followers = 6
	// sourceAlternatives is how many gateways a gateway may follow if its own source fails.
	sourceAlternatives = 3
)

// Sources returns the gateways that a gateway may follow for its copies of the tables, the best one
// first. ranked holds all gateways in an order that all agree on; the first ones, as many as readers,
// follow the store themselves and the very first one besides, so that state that no store holds also
// passes between them. The others form a tree below them, level by level. Sources returns nil for
// the first gateway and for one that is not in the list.
func Sources(ranked []string, readers int, self string) []string {
	at := slices.Index(ranked, self)
	if at < 1 || readers < 1 {
		return nil
	}
	if at < readers {
		return ranked[:1]
	}
	source := (at - readers) / Followers
	var sources []string
	for i := range min(sourceAlternatives, at) {
		// All alternatives rank before this gateway, so that sources never form a circle.
		sources = append(sources, ranked[((source-i)%at+at)%at])
	}
	return sources
}
