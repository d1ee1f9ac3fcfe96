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
	// maxReportedBlocks bounds the sample in AgentState to 1 KB, since it is sent each
	// second to each entry.
	maxReportedBlocks = 128
	// sparseBlocks is the spacing of older blocks in the sample: with 64 of them it
	// reaches back 512 blocks (32 KB of prompts).
	sparseBlocks = 8
)

// cacheSummary is the set of prefix blocks in the engine's cache as far as its events tell.
type cacheSummary struct {
	instance string
	lastSeq  uint64
	blocks   map[uint64]struct{}
	// recent lists blocks in the order in which they were stored, oldest first.
	recent []uint64
}

func newCacheSummary() cacheSummary { return cacheSummary{blocks: make(map[uint64]struct{})} }

// apply takes in events and reports whether none is missing before or between them.
func (c *cacheSummary) apply(answer engineapi.CacheEvents) (complete bool) {
	complete = true
	for _, event := range answer.Events {
		if event.Seq <= c.lastSeq {
			continue
		}
		if event.Seq != c.lastSeq+1 {
			complete = false
		}
		c.lastSeq = event.Seq
		c.applyOne(event)
	}
	return complete
}

func (c *cacheSummary) applyOne(event engineapi.CacheEvent) {
	block := event.BlockHash
	if _, known := c.blocks[block]; known {
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

// sample returns the newest blocks and, from older ones, those that sparseBlocks selects
// by their hash, so that it covers long prompts too.
func (c *cacheSummary) sample() []uint64 {
	split := max(0, len(c.recent)-maxReportedBlocks/2)
	blocks := slices.Clone(c.recent[split:])
	for i := split - 1; i >= 0 && len(blocks) < maxReportedBlocks; i-- {
		if c.recent[i]%sparseBlocks == 0 {
			blocks = append(blocks, c.recent[i])
		}
	}
	return blocks
}

// pollLoad reads the engine's load and cache events.
func (a *Agent) pollLoad(ctx context.Context) {
	poll := func(time.Time) {
		a.readLoad(ctx)
		a.readCache(ctx)
	}
	poll(time.Now())
	every(ctx, a.timing.LoadInterval, poll)
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
		a.notify()
	}
	a.target.load = load
	if load.Slots > 0 {
		a.apply(a.shares.SetSlots(time.Now(), int(load.Slots)))
	}
}

func (a *Agent) readCache(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, a.timing.HealthTimeout)
	defer cancel()
	a.mu.Lock()
	if a.cache.instance != a.target.instance {
		a.cache = newCacheSummary()
		a.cache.instance = a.target.instance
	}
	since := a.cache.lastSeq
	a.mu.Unlock()
	answer, err := a.engine.CacheEvents(ctx, since)
	if err != nil {
		return
	}
	a.mu.Lock()
	complete := a.cache.apply(answer)
	a.mu.Unlock()
	if !complete {
		a.rebuildCache(ctx)
	}
}

// rebuildCache reads all retained events again after a gap. Blocks whose events are
// gone for good are forgotten: a missing hint costs less than a wrong one.
func (a *Agent) rebuildCache(ctx context.Context) {
	a.metrics.cacheGaps.Inc()
	answer, err := a.engine.CacheEvents(ctx, 0)
	if err != nil {
		return
	}
	fresh := newCacheSummary()
	fresh.apply(answer)
	a.mu.Lock()
	defer a.mu.Unlock()
	fresh.instance = a.cache.instance
	a.cache = fresh
}
