package agent

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"bramleygap/internal/engineapi"
)

// Guards against a sample that contains only the end of the last long prompt, so that
// entries cannot match earlier prompts.
func TestSampleCoversOlderBlocks(t *testing.T) {
	c := qt.New(t)
	summary := newCacheSummary()
	var events []engineapi.CacheEvent
	for i := range uint64(600) {
		events = append(events, engineapi.CacheEvent{Seq: i + 1, Kind: engineapi.CacheStored, BlockHash: 1000 + i})
	}
	c.Assert(summary.applyEvents(engineapi.CacheEvents{Events: events}), qt.IsTrue)
	sample := summary.sample()
	c.Assert(sample, qt.HasLen, maxReportedBlocks)
	newest, oldest := uint64(0), uint64(1<<63)
	for _, block := range sample {
		newest, oldest = max(newest, block), min(oldest, block)
	}
	c.Assert(newest, qt.Equals, uint64(1599))
	c.Assert(oldest <= 1599-500, qt.IsTrue, qt.Commentf("oldest %d", oldest))
}
