package engine

import (
	"net/http"
	"strconv"
	"time"

	"bramleygap/internal/engineapi"
)

func (e *Engine) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		http.Error(w, "query parameter since must be an unsigned integer", http.StatusBadRequest)
		return
	}
	writeJSON(w, e.publishedSince(since, time.Now()))
}

func (e *Engine) publishedSince(since uint64, now time.Time) engineapi.CacheEvents {
	e.mu.Lock()
	defer e.mu.Unlock()
	response := engineapi.CacheEvents{Events: []engineapi.CacheEvent{}}
	for _, record := range e.events {
		if record.publishAt.After(now) {
			break
		}
		if response.OldestSeq == 0 {
			response.OldestSeq = record.event.Seq
		}
		response.NewestSeq = record.event.Seq
		if record.event.Seq > since {
			response.Events = append(response.Events, record.event)
		}
	}
	return response
}
