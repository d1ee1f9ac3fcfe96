package gateway

import (
	"bramleygap/internal/core/capacity"
	"bramleygap/internal/settings"
)

const (
	// defaultMemoryMB is the memory in MB that a gateway without a stated limit plans with.
	defaultMemoryMB = 1024
	// responsesFraction and bodiesFraction are the parts of the memory limit for responses in progress and
	// for the large bodies of client requests, and requestsFraction that for what each active request
	// occupies besides. The rest holds the tables, the store's answers and the runtime.
	responsesFraction = 0.16
	bodiesFraction    = 0.08
	requestsFraction  = 0.3
	// bytesPerRequest is what an active request occupies besides bodies: the tasks and buffers of two
	// connections.
	bytesPerRequest = 64 << 10
	// maxClientHeaderBytes limits the header of a client request.
	maxClientHeaderBytes = 32 << 10
)

// memoryLimits is how a gateway divides its memory.
type memoryLimits struct {
	// responses and bodies are in bytes, and requests is a number of active requests.
	responses, bodies, requests int64
}

// capacity returns what a gateway with some settings may use.
func (m memoryLimits) capacity(s *settings.Gateway) capacity.Limits {
	return capacity.Limits{Processor: s.ProcessorShare, Link: s.LinkMbps * bytesPerMbit, Held: float64(m.responses + m.bodies)}
}

// limitsFor returns the limits for a memory limit in MB, 0 if none is stated.
func limitsFor(memoryMB int64) memoryLimits {
	if memoryMB == 0 {
		memoryMB = defaultMemoryMB
	}
	part := func(fraction float64) int64 { return int64(fraction * float64(memoryMB<<20)) }
	return memoryLimits{responses: part(responsesFraction), bodies: part(bodiesFraction), requests: part(requestsFraction) / bytesPerRequest}
}
