// Package rendezvous chooses one of several candidates by highest random weight, so
// that processes with the same view choose the same one without a message.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Candidate is one process that may be chosen.
type Candidate struct {
	Address string
	Zone    string
}

// Choose returns the candidate with the highest score for the key among those outside
// excludeZone. The addresses decide ties. It reports false if no candidate is left.
func Choose(key string, candidates []Candidate, excludeZone string) (Candidate, bool) {
	var best Candidate
	var bestScore uint64
	found := false
	for _, candidate := range candidates {
		if candidate.Zone == excludeZone {
			continue
		}
		score := xxhash.Sum64String(key + "\x00" + candidate.Address)
		if !found || score > bestScore || (score == bestScore && candidate.Address > best.Address) {
			best, bestScore, found = candidate, score, true
		}
	}
	return best, found
}
