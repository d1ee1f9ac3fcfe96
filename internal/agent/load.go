package agent

import (
	"context"
	"slices"
	"time"

	"bramleygap/internal/engineapi"
)

const (
	// maxCachedBlocks bounds the cache summary.
	maxCachedBlocks = 4096
	// maxReportedBlocks bounds the sample in AgentState to 1 KB, since it is sent to every
	// entry once per second.
	maxReportedBlocks = 128
	// sampleDivisor is the sampling interval of older blocks: 64 sampled ones reach back
	// about 512 blocks (32 KB of prompts).
	sampleDivisor = 8
)

// cacheSummary is the set of prefix blocks in the engine's cache, derived from cache events.
type cacheSummary struct {
	instance string
	lastSeq  uint64
	blocks   map[uint64]struct{}
	// recent lists the blocks in the order in which they were stored, oldest first.
	recent []uint64
}

func newCacheSummary() cacheSummary { return cacheSummary{blocks: make(map[uint64]struct{})} }

// applyEvents applies new events and reports whether their sequence has no gap.
func (c *cacheSummary) applyEvents(batch engineapi.CacheEvents) (complete bool) {
	complete = true
	for _, event := range batch.Events {
		if event.Seq <= c.lastSeq {
			continue
		}
		if event.Seq != c.lastSeq+1 {
			complete = false
		}
		c.lastSeq = event.Seq
		c.applyEvent(event)
	}
	return complete
}

func (c *cacheSummary) applyEvent(event engineapi.CacheEvent) {
	block := event.BlockHash
	if _, ok := c.blocks[block]; ok {
		delete(c.blocks, block)
		c.recent = slices.DeleteFunc(c.recent, func(other uint64) bool { return other == block })
	}
	if event.Kind != engineapi.CacheStored {
		return
	}
	c.blocks[block] = struct{}{}
	c.recent = append(c.recent, block)
	if len(c.recent) > maxCachedBlocks {
		delete(c.blocks, c.recent[0])
		c.recent = c.recent[1:]
	}
}

// sample returns the newest blocks and, of the older ones, those whose hash is a multiple of
// sampleDivisor, so that prompts before the last long one are covered too.
func (c *cacheSummary) sample() []uint64 {
	firstNewest := max(0, len(c.recent)-maxReportedBlocks/2)
	blocks := slices.Clone(c.recent[firstNewest:])
	for i := firstNewest - 1; i >= 0 && len(blocks) < maxReportedBlocks; i-- {
		if c.recent[i]%sampleDivisor == 0 {
			blocks = append(blocks, c.recent[i])
		}
	}
	return blocks
}

// pollLoad polls the engine's load and cache events.
func (a *Agent) pollLoad(ctx context.Context) {
	poll := func(time.Time) {
		a.readLoad(ctx)
		a.readCacheEvents(ctx)
	}
	poll(time.Now())
	runPeriodically(ctx, a.timing.LoadInterval, poll)
}

func (a *Agent) readLoad(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, a.timing.HealthTimeout)
	defer cancel()
	load, err := a.engine.Load(ctx)
	if err != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if load.Slots != a.target.load.Slots {
		a.notifyWatchers()
	}
	a.target.load = load
	if load.Slots > 0 {
		a.applyEffects(a.scheduler.SetSlots(time.Now(), int(load.Slots)))
	}
}

func (a *Agent) readCacheEvents(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, a.timing.HealthTimeout)
	defer cancel()
	a.mu.Lock()
	if a.cache.instance != a.target.instance {
		a.cache = newCacheSummary()
		a.cache.instance = a.target.instance
	}
	since := a.cache.lastSeq
	a.mu.Unlock()
	events, err := a.engine.CacheEvents(ctx, since)
	if err != nil {
		return
	}
	a.mu.Lock()
	complete := a.cache.applyEvents(events)
	a.mu.Unlock()
	if !complete {
		a.rebuildCacheSummary(ctx)
	}
}

// rebuildCacheSummary rebuilds the summary after a gap from the events that the engine
// retains. Other blocks are dropped: a missing hint costs less than a wrong one.
func (a *Agent) rebuildCacheSummary(ctx context.Context) {
	a.metrics.cacheGaps.Inc()
	events, err := a.engine.CacheEvents(ctx, 0)
	if err != nil {
		return
	}
	rebuilt := newCacheSummary()
	rebuilt.applyEvents(events)
	a.mu.Lock()
	defer a.mu.Unlock()
	rebuilt.instance = a.cache.instance
	a.cache = rebuilt
}
