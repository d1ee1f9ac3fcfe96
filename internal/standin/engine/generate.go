package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleygap/internal/engineapi"
)

func (e *Engine) handleGenerate(w http.ResponseWriter, r *http.Request) {
	var request engineapi.GenerateRequest
	if !readJSON(w, r, &request) {
		return
	}
	e.mu.Lock()
	e.received[request.Version]++
	e.mu.Unlock()
	if request.Model != e.options.Model || !e.hasVersion(request.Version) {
		http.Error(w, "model or version is not loaded", http.StatusNotFound)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	e.setActive(request.RequestID, cancel)
	defer e.setActive(request.RequestID, nil)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	if e.acquire(ctx, request.Priority) != nil {
		panic(http.ErrAbortHandler)
	}
	defer e.release()
	if e.writeTokens(ctx, w, request) != nil {
		panic(http.ErrAbortHandler)
	}
}

func (e *Engine) setActive(id string, cancel context.CancelFunc) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if cancel == nil {
		delete(e.active, id)
		return
	}
	e.active[id] = cancel
}

// acquire waits for a slot; slots go to the highest priority first, then to the earliest arrival.
func (e *Engine) acquire(ctx context.Context, priority int32) error {
	e.mu.Lock()
	if e.running < e.options.Slots && len(e.waiters) == 0 {
		e.running++
		e.mu.Unlock()
		return nil
	}
	e.arrivals++
	w := &waiter{priority: priority, arrival: e.arrivals, granted: make(chan struct{})}
	e.waiters = append(e.waiters, w)
	slices.SortFunc(e.waiters, func(a, b *waiter) int {
		if a.priority != b.priority {
			return int(b.priority) - int(a.priority)
		}
		return int(a.arrival) - int(b.arrival)
	})
	e.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	case <-e.crashed:
		return ErrCrashed
	case <-ctx.Done():
		return e.abandon(ctx, w)
	}
}

func (e *Engine) abandon(ctx context.Context, w *waiter) error {
	e.mu.Lock()
	index := slices.Index(e.waiters, w)
	if index >= 0 {
		e.waiters = slices.Delete(e.waiters, index, index+1)
	}
	e.mu.Unlock()
	if index < 0 {
		// The slot was granted concurrently.
		e.release()
	}
	return ctx.Err()
}

func (e *Engine) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.waiters) == 0 {
		e.running--
		return
	}
	next := e.waiters[0]
	e.waiters = e.waiters[1:]
	close(next.granted)
}

func (e *Engine) writeTokens(ctx context.Context, w io.Writer, request engineapi.GenerateRequest) error {
	if err := e.pause(ctx, e.prefillTime(request)); err != nil {
		return err
	}
	key := sequenceKey(request.Model, request.Version, request.Adapter, request.Prompt, request.Seed)
	var text strings.Builder
	for index := range request.PrefixTokenIDs {
		text.Write(TokenBytes(request.PrefixTokenIDs[index]))
	}
	first := uint64(len(request.PrefixTokenIDs))
	reason := engineapi.FinishLength
	index := first
	for ; index < uint64(maxTokens(request)); index++ {
		if containsStop(text.String(), request.Stop) {
			reason = engineapi.FinishStop
			break
		}
		if err := e.injectFaults(request, int(index-first)); err != nil {
			return err
		}
		if err := e.pause(ctx, e.interval(request.Version)); err != nil {
			return err
		}
		token := tokenAt(key, index)
		e.generated.Add(1)
		text.Write(token.Bytes)
		event := tokenEvent{Index: index, ID: token.ID, Bytes: token.Bytes}
		if err := writeEvent(w, event); err != nil {
			return err
		}
	}
	if containsStop(text.String(), request.Stop) {
		reason = engineapi.FinishStop
	}
	return writeEvent(w, endEvent{FinishReason: reason, Tokens: index})
}

type tokenEvent struct {
	Index uint64 `json:"index"`
	ID    uint32 `json:"id"`
	Bytes []byte `json:"bytes"`
}

type endEvent struct {
	FinishReason string `json:"finish_reason"`
	Tokens       uint64 `json:"tokens"`
}

func writeEvent(w io.Writer, event any) error {
	data, err := json.Marshal(event)
	if err != nil {
		return err
	}
	if _, err := w.Write(append(append([]byte("data: "), data...), '\n', '\n')); err != nil {
		return err
	}
	if writer, ok := w.(http.ResponseWriter); ok {
		return http.NewResponseController(writer).Flush()
	}
	return nil
}

// injectFaults applies the faults that are due after n tokens, not counting the prefix.
func (e *Engine) injectFaults(request engineapi.GenerateRequest, n int) error {
	e.mu.Lock()
	faults := e.faults
	e.mu.Unlock()
	if n >= faults.CrashToken && hasMarker(request.Prompt, faults.CrashMarker) {
		e.crash()
		return ErrCrashed
	}
	if faults.CutAfter > 0 && n >= faults.CutAfter {
		return io.ErrClosedPipe
	}
	matches := faults.FailMarker == "" || hasMarker(request.Prompt, faults.FailMarker)
	if n >= 1 && matches && e.shouldFail(request.RequestID, faults.FailRate[request.Version]) {
		return io.ErrClosedPipe
	}
	return nil
}

func (e *Engine) shouldFail(requestID string, rate float64) bool {
	digest := xxhash.NewWithSeed(e.options.Seed)
	_, _ = digest.WriteString(requestID)
	// 53 bits fill the mantissa of a float64.
	return float64(digest.Sum64()>>11)/(1<<53) < rate
}

// minPause is the shortest pause that uses a timer. Timers fire about 1 ms late, which would
// limit the token rate of tests that need many tokens at once.
const minPause = 50 * time.Microsecond

// pause waits for d and then until the engine is not frozen.
func (e *Engine) pause(ctx context.Context, d time.Duration) error {
	if d < minPause && ctx.Err() == nil {
		return e.waitWhileFrozen(ctx)
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return e.waitWhileFrozen(ctx)
	case <-e.crashed:
		return ErrCrashed
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (e *Engine) interval(version string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	interval := float64(e.options.TokenInterval) * (1 + e.options.BatchSlowdown*float64(e.running-1))
	slow := e.faults.SlowFactor[version]
	if slow > 0 && float64(e.running) >= e.faults.SlowLoad*float64(e.options.Slots) {
		interval *= slow
	}
	return time.Duration(interval)
}

// prefillTime returns the prefill time for the uncached part of the prompt and for the prefix,
// and stores the prompt's blocks in the cache.
func (e *Engine) prefillTime(request engineapi.GenerateRequest) time.Duration {
	blocks := engineapi.PromptBlockHashes(request.Model, request.Version, request.Adapter, request.Prompt)
	e.mu.Lock()
	defer e.mu.Unlock()
	cached := 0
	for cached < len(blocks) && e.cache[blocks[cached]] != 0 {
		cached++
	}
	for _, block := range blocks {
		e.storeBlock(block)
	}
	tokens := engineapi.PromptTokenCount(request.Prompt, request.PromptTokenIDs)
	if len(blocks) > 0 {
		tokens -= tokens * cached / len(blocks)
	}
	return time.Duration(tokens+len(request.PrefixTokenIDs)) * e.options.PrefillPerToken
}

// storeBlock requires e.mu. It evicts the least recently used block of a full cache.
func (e *Engine) storeBlock(block uint64) {
	e.cacheTick++
	if e.cache[block] == 0 {
		e.publish(engineapi.CacheStored, block)
	}
	e.cache[block] = e.cacheTick
	if len(e.cache) <= e.options.CacheBlocks {
		return
	}
	oldest, oldestTick := uint64(0), uint64(0)
	for candidate, tick := range e.cache {
		if oldestTick == 0 || tick < oldestTick {
			oldest, oldestTick = candidate, tick
		}
	}
	delete(e.cache, oldest)
	e.publish(engineapi.CacheEvicted, oldest)
}

// publish requires e.mu. A dropped event still uses a sequence number, so that readers see a gap.
func (e *Engine) publish(kind string, block uint64) {
	e.eventSeq++
	if e.options.CacheGapEvery > 0 && e.eventSeq%uint64(e.options.CacheGapEvery) == 0 {
		return
	}
	event := engineapi.CacheEvent{Seq: e.eventSeq, Kind: kind, BlockHash: block}
	e.events = append(e.events, cacheRecord{event: event, publishAt: time.Now().Add(e.options.CacheEventDelay)})
	if len(e.events) > maxKeptCacheEvents {
		e.events = slices.Clone(e.events[len(e.events)-maxKeptCacheEvents:])
	}
}
