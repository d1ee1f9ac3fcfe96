package precedence

import "time"

// TokensByGateway returns the tokens that wait at each gateway: this one under the given name, and others by their valid reports.
func (q *Queue) TokensByGateway(now time.Time, own string) map[string]int {
	tokens := make(map[string]int, len(q.peers)+1)
	for _, w := range q.waiting {
		if !w.blocked {
			tokens[own] += q.kept(1, w.Work.Tokens())
		}
	}
	for peer, report := range q.peers {
		if now.Sub(report.at) > reportMaxAge {
			continue
		}
		for _, load := range report.loads {
			tokens[peer] += q.kept(load.Streams, load.Tokens)
		}
	}
	return tokens
}
