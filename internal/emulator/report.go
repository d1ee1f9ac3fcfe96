package emulator

import (
	"cmp"
	"slices"
	"time"
)

// Summary holds the results of one policy under one pattern.
type Summary struct {
	Policy string
	// Numbers of requests, in total and by result; duplicates are not counted.
	Requests, OnTime, Late, Lost, Refused, Cancelled int
	// OnTimeFractions holds the fraction of requests on time for each seed, without
	// cancelled requests.
	OnTimeFractions []float64
	// FirstEvent and LongestPause are sorted; LongestPause covers complete streams only.
	FirstEvent, LongestPause []time.Duration
	// WastedPrefillTokens counts the tokens prefilled beyond the prompt of a request, and all
	// prefilled tokens of a request that received no event.
	WastedPrefillTokens int
	// Rejections counts the requests that arrived at engines that reject everything.
	Rejections int
	// OnTimeBySecond is the fraction on time of the requests that arrived in each second, 1
	// if none did.
	OnTimeBySecond []float64
	// Crashes counts the engines that ended by prompt parts, and LateArrivals the requests with such a part
	// that reached engines although it had to be known. MostLateArrivals is the highest number of one part.
	Crashes, LateArrivals, MostLateArrivals int
	// Sound counts the other streams that were sent while the part was known, and Begun those of them that
	// began at their first attempt.
	Sound, Begun int
	// Rejected counts the sound requests that were rejected like those that crash engines.
	Rejected int
	// Urgent and UrgentOnTime count the requests of the highest rank in patterns of ranked services.
	Urgent, UrgentOnTime int
}

// Quantile returns a quantile of a sorted list, 0 for an empty one.
func Quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	return list[min(len(list)-1, int(q*float64(len(list))))]
}

// Ratio returns n as a fraction of the requests that were not cancelled.
func (s *Summary) Ratio(n int) float64 { return float64(n) / float64(max(1, s.Requests-s.Cancelled)) }

// WastedPrefillTokensPerRequest returns the average of WastedPrefillTokens over the requests.
func (s *Summary) WastedPrefillTokensPerRequest() float64 {
	return float64(s.WastedPrefillTokens) / float64(max(1, s.Requests))
}

// Simulate simulates a pattern under a policy with the seeds 1 to n.
func Simulate(p *Pattern, policy Policy, n int) Summary {
	s := Summary{Policy: policy.Name}
	seconds := int(loadDuration / time.Second)
	arrived, onTime := make([]float64, seconds), make([]float64, seconds)
	for seed := range n {
		sim := newSimulation(policy, uint64(seed+1))
		sim.run(p)
		for _, e := range sim.engines {
			s.Rejections += e.rejections
		}
		s.Crashes += sim.crashing.crashes
		for _, n := range sim.crashing.lateArrivals {
			s.LateArrivals += n
			s.MostLateArrivals = max(s.MostLateArrivals, n)
		}
		before := s
		for _, c := range sim.clients {
			if c.crashing {
				continue
			}
			s.add(c)
			if sim.ranked && c.rank == urgent {
				s.Urgent++
				if c.result == resultOnTime {
					s.UrgentOnTime++
				}
			}
			sim.crashing.observeSound(c)
			if second := int(c.arrived.Sub(sim.start) / time.Second); !c.duplicate && c.result != resultCancelled && second < seconds {
				arrived[second]++
				if c.result == resultOnTime {
					onTime[second]++
				}
			}
		}
		s.Sound += sim.crashing.sound
		s.Begun += sim.crashing.begun
		s.OnTimeFractions = append(s.OnTimeFractions, float64(s.OnTime-before.OnTime)/
			float64(max(1, s.Requests-before.Requests-s.Cancelled+before.Cancelled)))
	}
	slices.SortFunc(s.FirstEvent, cmp.Compare)
	slices.SortFunc(s.LongestPause, cmp.Compare)
	for second := range seconds {
		fraction := 1.0
		if arrived[second] > 0 {
			fraction = onTime[second] / arrived[second]
		}
		s.OnTimeBySecond = append(s.OnTimeBySecond, fraction)
	}
	return s
}

func (s *Summary) add(c *client) {
	if c.received > 0 {
		s.WastedPrefillTokens += max(0, c.prefillTokens-c.prompt)
	} else {
		s.WastedPrefillTokens += c.prefillTokens
	}
	if c.duplicate {
		return
	}
	s.Requests++
	if c.rejected {
		s.Rejected++
	}
	switch c.result {
	case resultOnTime:
		s.OnTime++
	case resultLate:
		s.Late++
	case resultRefused:
		s.Refused++
	case resultCancelled:
		s.Cancelled++
	default:
		s.Lost++
	}
	if c.received > 0 {
		s.FirstEvent = append(s.FirstEvent, c.firstEvent)
	}
	if c.result == resultOnTime || c.result == resultLate {
		s.LongestPause = append(s.LongestPause, c.longestPause)
	}
}
