package calls

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"bramleygap/internal/platform"
	"bramleygap/internal/result"
)

const (
	benchSeconds = 5
	writeLimit   = 400
	// groupWindow is how long groupedTable collects writes.
	groupWindow = 5 * time.Millisecond
)

// groupedTable is an experiment that commits the claim writes of several calls in one
// transaction. After a conflict it commits them one by one.
type groupedTable struct {
	platform.Table
	mu      sync.Mutex
	waiting []*groupedWrite
}

type groupedWrite struct {
	txn    platform.Txn
	result platform.TxnResult
	err    error
	done   chan struct{}
}

func (g *groupedTable) Commit(_ context.Context, txn platform.Txn) (platform.TxnResult, error) {
	write := &groupedWrite{txn: txn, done: make(chan struct{})}
	g.mu.Lock()
	g.waiting = append(g.waiting, write)
	if len(g.waiting) == 1 {
		time.AfterFunc(groupWindow, g.flush)
	}
	g.mu.Unlock()
	<-write.done
	return write.result, write.err
}

func (g *groupedTable) flush() {
	g.mu.Lock()
	group := g.waiting
	g.waiting = nil
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), storeRequestTimeout)
	defer cancel()
	var all platform.Txn
	for _, write := range group {
		all.Checks = append(all.Checks, write.txn.Checks...)
		all.Puts = append(all.Puts, write.txn.Puts...)
		all.Deletes = append(all.Deletes, write.txn.Deletes...)
	}
	result, err := g.Table.Commit(ctx, all)
	conflict := err == nil && !result.Committed && len(group) > 1
	for _, write := range group {
		write.result, write.err = result, err
		if conflict {
			write.result, write.err = g.Table.Commit(ctx, write.txn)
		}
		close(write.done)
	}
}

// BenchmarkCalls sends calls at a fixed rate to one entry, or alternately to two, whose table
// accepts 400 writes/s and 2,000 reads/s. It reports the rate and latency of the calls to
// which the application responded. The baseline is an idempotent route, which makes no claims.
func BenchmarkCalls(b *testing.B) {
	for _, rate := range []int{50, 125, 150, 300} {
		for _, kind := range []string{"unclaimed", "claimed", "two-entries", "grouped"} {
			b.Run(fmt.Sprintf("%s/%d", kind, rate), func(b *testing.B) {
				for range b.N {
					runLoad(b, kind, rate)
				}
			})
		}
	}
}

func runLoad(b *testing.B, kind string, rate int) {
	in, address := newInstallation(b)
	handler := in.newEntry(&fakeRouter{addresses: []string{address}})
	handler.timing = defaultTiming
	if kind == "grouped" {
		handler.options.Table = &groupedTable{Table: handler.options.Table}
	}
	route := map[bool]string{true: "orders", false: "permits"}[kind == "unclaimed"]
	entry := httptest.NewServer(handler)
	defer entry.Close()
	urls := []string{entry.URL}
	if kind == "two-entries" {
		second := in.newEntry(&fakeRouter{addresses: []string{address}})
		second.timing = defaultTiming
		server := httptest.NewServer(second)
		defer server.Close()
		urls = append(urls, server.URL)
	}
	responses := make([]int, len(urls))
	in.spendBurst()
	before := in.platform.Counters()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
	histogram := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var mu sync.Mutex
	var failed, unknown atomic.Int64
	var group sync.WaitGroup
	startTime := time.Now()
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for i := range rate * benchSeconds {
		<-ticker.C
		group.Go(func() {
			sentAt := time.Now()
			r, _ := http.NewRequest("POST", urls[i%len(urls)]+"/permits/"+route, strings.NewReader("family"))
			r.Header.Set("Authorization", "Bearer secret")
			r.Header.Set(IdempotencyKeyHeader, uuid.NewString())
			response, err := client.Do(r)
			if err != nil || response.StatusCode != http.StatusCreated {
				failed.Add(1)
				if err != nil || codeOf(response).Class() != result.ClassNotRun {
					unknown.Add(1)
				}
				return
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			mu.Lock()
			defer mu.Unlock()
			responses[i%len(urls)]++
			_ = histogram.RecordValue(time.Since(sentAt).Microseconds())
		})
	}
	group.Wait()
	after := in.platform.Counters()
	seconds := time.Since(startTime).Seconds()
	for _, quantile := range []float64{50, 95, 99} {
		b.ReportMetric(float64(histogram.ValueAtQuantile(quantile))/1000, fmt.Sprintf("ms-p%.0f", quantile))
	}
	b.ReportMetric(float64(histogram.TotalCount())/seconds, "calls/s")
	b.ReportMetric(float64(failed.Load())/float64(rate*benchSeconds)*100, "%failed")
	b.ReportMetric(float64(unknown.Load())/float64(rate*benchSeconds)*100, "%unknown")
	b.ReportMetric(float64(after.Writes-before.Writes)/seconds, "writes/s")
	b.ReportMetric(float64(after.RateLimited-before.RateLimited)/seconds, "limited/s")
	if len(urls) > 1 {
		b.ReportMetric(float64(responses[0])/float64(responses[0]+responses[1])*100, "%first-entry")
	}
	b.ReportMetric(0, "ns/op")
}

func codeOf(response *http.Response) result.Code {
	code, _ := strconv.Atoi(response.Header.Get(result.Header))
	return result.Code(code)
}

// spendBurst uses up the stand-in's write burst, which is one second's worth of writes.
func (in *installation) spendBurst() {
	table := platform.NewClient(platform.ClientOptions{BaseURL: in.url})
	for range writeLimit {
		_, _ = table.Commit(in.t.Context(), platform.Txn{})
	}
}
