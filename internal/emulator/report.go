package emulator

import (
	"cmp"
	"slices"
	"time"
)

// Measures are the figures of one policy under one pattern.
type Measures struct {
	Policy string
	// Requests that were counted, by how they ended.
	Requests, OnTime, Late, Lost, Refused, Left int
	// OnTimeShares are the shares of requests on time of each seed, without clients that
	// left of their own will.
	OnTimeShares []float64
	// FirstEvent and LongestPause are sorted; the pauses are those of whole streams.
	FirstEvent, LongestPause []time.Duration
	// TokensAgain is the number of prompt tokens read beyond once for each request.
	TokensAgain int
	// BySecond is the share on time of the requests that arrived in each second, 1 where
	// none did.
	BySecond []float64
}

// Quantile returns a quantile of a sorted list, 0 for an empty one.
func Quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	return list[min(len(list)-1, int(q*float64(len(list))))]
}

// Share returns a part of the requests that did not leave of their own will.
func (m *Measures) Share(n int) float64 { return float64(n) / float64(max(1, m.Requests-m.Left)) }

// TokensAgainPerRequest returns the prompt tokens read again for each request.
func (m *Measures) TokensAgainPerRequest() float64 {
	return float64(m.TokensAgain) / float64(max(1, m.Requests))
}

// Play plays a pattern under a policy with the seeds 1 to n.
func Play(p *Pattern, policy Policy, n int) Measures {
	m := Measures{Policy: policy.Name}
	seconds := int(loadTime / time.Second)
	asked, served := make([]float64, seconds), make([]float64, seconds)
	for seed := range n {
		w := newWorld(policy, uint64(seed+1))
		w.play(p)
		before := m
		for _, c := range w.clients {
			m.add(c)
			if second := int(c.arrived.Sub(w.start) / time.Second); !c.extra && c.result != resultLeft && second < seconds {
				asked[second]++
				if c.result == resultOnTime {
					served[second]++
				}
			}
		}
		m.OnTimeShares = append(m.OnTimeShares, float64(m.OnTime-before.OnTime)/
			float64(max(1, m.Requests-before.Requests-m.Left+before.Left)))
	}
	slices.SortFunc(m.FirstEvent, cmp.Compare)
	slices.SortFunc(m.LongestPause, cmp.Compare)
	for second := range seconds {
		share := 1.0
		if asked[second] > 0 {
			share = served[second] / asked[second]
		}
		m.BySecond = append(m.BySecond, share)
	}
	return m
}

func (m *Measures) add(c *client) {
	if c.has > 0 {
		m.TokensAgain += max(0, c.read-c.prompt)
	} else {
		m.TokensAgain += c.read
	}
	if c.extra {
		return
	}
	m.Requests++
	switch c.result {
	case resultOnTime:
		m.OnTime++
	case resultLate:
		m.Late++
	case resultRefused:
		m.Refused++
	case resultLeft:
		m.Left++
	default:
		m.Lost++
	}
	if c.has > 0 {
		m.FirstEvent = append(m.FirstEvent, c.first)
	}
	if c.result == resultOnTime || c.result == resultLate {
		m.LongestPause = append(m.LongestPause, c.longest)
	}
}
