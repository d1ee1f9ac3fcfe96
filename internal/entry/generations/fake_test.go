package generations

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"bramleygap/internal/core/adoption"
	"bramleygap/internal/core/membership"
	"bramleygap/internal/core/placement"
	"bramleygap/internal/core/stream"
	"bramleygap/internal/entry/caller"
	"bramleygap/internal/entry/router"
	"bramleygap/internal/opconfig"
	"bramleygap/internal/result"
	"bramleygap/internal/rpc"
	"bramleygap/internal/wire"
)

const testKey = "clerk"

// tokenAt is the token that every target generates at an index: its id depends on
// all ids before it, so that a missing or foreign token changes all later ones.
func tokenAt(before []uint32) (uint32, []byte) {
	return stream.Checksum(7, before), fmt.Appendf(nil, "%d é", len(before))
}

func expected(n int) (ids []uint32, text string) {
	for range n {
		id, b := tokenAt(ids)
		ids, text = append(ids, id), text+string(b)
	}
	return ids, text
}

// fault says what an agent does once it has sent tokens up to index at.
type fault struct {
	at   int
	kind string // break, silent, duplicate, gap, died, hold
}

// fakeCluster has agents on loopback that share a script: call n of Generate suffers fault n.
type fakeCluster struct {
	wire.UnimplementedAgentServer
	mu       sync.Mutex
	script   []fault
	requests []*wire.GenerateRequest
	logs     map[string]*wire.FetchLogResponse
	epoch    uint64
	attached bool // Attach answers; otherwise only copies are left
	release  chan struct{}
	targets  []membership.Target
	pool     *rpc.Pool
	outcomes []placement.Outcome
	deaths   []string
	open     int
	placed   int
	dialed   []string
	version  string
}

func newCluster(t *testing.T, script ...fault) *fakeCluster {
	f := &fakeCluster{script: script, logs: make(map[string]*wire.FetchLogResponse), release: make(chan struct{}), pool: rpc.NewPool(), version: "v1"}
	for i := range 3 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := rpc.NewServer()
		wire.RegisterAgentServer(server, f)
		go func() { _ = server.Serve(listener) }()
		t.Cleanup(server.Stop)
		f.targets = append(f.targets, membership.Target{
			Name: fmt.Sprintf("engine-%d", i), Zone: fmt.Sprintf("zone-%d", i), Address: listener.Addr().String(),
			Incarnation: 1, Kind: membership.KindModel, Service: "letters", Versions: []string{"v1"}, Ready: true,
		})
	}
	t.Cleanup(f.pool.Close)
	return f
}

func (f *fakeCluster) Generate(r *wire.GenerateRequest, s wire.Agent_GenerateServer) error {
	f.mu.Lock()
	var bad fault
	if n := len(f.requests); n < len(f.script) {
		bad = f.script[n]
	}
	f.requests = append(f.requests, r)
	f.epoch = max(f.epoch, r.GetAttachEpoch())
	log := &wire.FetchLogResponse{Found: true, Spec: r.GetSpec(), Attempt: r.GetAttempt(), AttachEpoch: f.epoch,
		Ids: slices.Clone(r.GetPrefixTokenIds()), Bytes: slices.Clone(r.GetPrefixBytes())}
	f.logs[r.GetSpec().GetGeneration()] = log
	f.mu.Unlock()
	if err := s.Send(acceptedEvent(&wire.Accepted{Attempt: r.GetAttempt(), AttachEpoch: 1, Incarnation: 1})); err != nil {
		return err
	}
	return f.produce(log, len(log.Ids), bad, s)
}

func (f *fakeCluster) produce(log *wire.FetchLogResponse, from int, bad fault, s wire.Agent_GenerateServer) error {
	total := int(log.GetSpec().GetSampling().GetMaxTokens())
	for n := from; n < total; n++ {
		if bad.kind != "" && n == bad.at {
			switch bad.kind {
			case "break":
				return status.Error(codes.Unavailable, "killed")
			case "died":
				return s.Send(&wire.GenerateEvent{Event: &wire.GenerateEvent_Failed{Failed: &wire.Failed{
					Code: uint32(result.TargetDied), TargetDied: true, DeathId: "death-1", RunningFingerprints: []uint64{5}}}})
			case "silent":
				<-s.Context().Done()
				return nil
			case "hold":
				select {
				case <-f.release:
				case <-s.Context().Done():
					return nil
				}
			case "gap":
				n++
			case "duplicate":
				n -= 2
			}
			bad.kind = ""
		}
		f.mu.Lock()
		if n >= len(log.Ids) {
			for len(log.Ids) <= n {
				id, b := tokenAt(log.Ids)
				log.Ids, log.Bytes = append(log.Ids, id), append(log.Bytes, b)
			}
		}
		id, b := log.Ids[n], log.Bytes[n]
		f.mu.Unlock()
		tokens := &wire.Tokens{FirstIndex: uint64(n), Ids: []uint32{id}, Bytes: [][]byte{b}}
		if err := s.Send(&wire.GenerateEvent{Event: &wire.GenerateEvent_Tokens{Tokens: tokens}}); err != nil {
			return err
		}
	}
	return s.Send(&wire.GenerateEvent{Event: &wire.GenerateEvent_Finished{Finished: &wire.Finished{
		Reason: "length", Tokens: uint64(total), Checksum: stream.Checksum(0, log.Ids)}}})
}

func acceptedEvent(a *wire.Accepted) *wire.GenerateEvent {
	return &wire.GenerateEvent{Event: &wire.GenerateEvent_Accepted{Accepted: a}}
}

func (f *fakeCluster) Attach(r *wire.AttachRequest, s wire.Agent_AttachServer) error {
	f.mu.Lock()
	log := f.logs[r.GetGeneration()]
	f.epoch++
	epoch, answers := f.epoch, f.attached
	f.mu.Unlock()
	if log == nil || !answers {
		return status.Error(codes.Unavailable, "gone")
	}
	f.mu.Lock()
	from := min(int(r.GetFromIndex()), len(log.Ids))
	a := &wire.Accepted{Attempt: log.GetAttempt(), AttachEpoch: epoch, Incarnation: 1, Spec: log.GetSpec(),
		PrefixTokenIds: slices.Clone(log.Ids[:from]), PrefixBytes: slices.Clone(log.Bytes[:from])}
	f.mu.Unlock()
	if err := s.Send(acceptedEvent(a)); err != nil {
		return err
	}
	return f.produce(log, from, fault{}, s)
}

func (f *fakeCluster) FetchLog(_ context.Context, r *wire.FetchLogRequest) (*wire.FetchLogResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	log := f.logs[r.GetGeneration()]
	if log == nil {
		return &wire.FetchLogResponse{}, nil
	}
	return &wire.FetchLogResponse{Found: true, Spec: log.Spec, Attempt: log.Attempt, AttachEpoch: log.AttachEpoch,
		Ids: slices.Clone(log.Ids), Bytes: slices.Clone(log.Bytes)}, nil
}

func (f *fakeCluster) Cancel(context.Context, *wire.CancelRequest) (*wire.CancelResponse, error) {
	return &wire.CancelResponse{Cancelled: true}, nil
}

// Place implements router.Router; it prefers targets in order and waits for none.
func (f *fakeCluster) Place(_ context.Context, r placement.Request) (*router.Assignment, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, target := range f.targets {
		if slices.Contains(r.Exclude, target.Name) || (r.Version != "" && r.Version != f.version) {
			continue
		}
		f.open++
		f.placed++
		return &router.Assignment{Decision: placement.Decision{Target: target, Version: f.version}, Done: f.done}, nil
	}
	return nil, result.New(result.NoTarget, "no target")
}

func (f *fakeCluster) done(o placement.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open--
	f.outcomes = append(f.outcomes, o)
}

func (f *fakeCluster) ReportDeath(id string, _ []uint64, _ string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.deaths = append(f.deaths, id)
}

func (f *fakeCluster) ReportProgress(uint64, bool) {}

// entry starts one handler behind a real HTTP server.
func (f *fakeCluster) entry(t *testing.T, disableResume bool) (string, *Handler, *prometheus.Registry) {
	sum := sha256.Sum256([]byte(testKey))
	config := &opconfig.Config{
		Members:  []opconfig.Member{{Name: "office", Share: 100}},
		Accounts: []opconfig.Account{{Name: "counter", Member: "office", KeySHA256: hex.EncodeToString(sum[:])}},
		Services: []opconfig.Service{{Name: "letters", Kind: opconfig.KindModel, Model: "m", Versions: []opconfig.Version{{Name: "v1", Share: 100}}}},
	}
	registry := prometheus.NewRegistry()
	h := New(Options{
		MaxBodyBytes:  1 << 20,
		DisableResume: disableResume,
		Config:        func() *adoption.Adopted { return &adoption.Adopted{Revision: 1, Config: config} },
		Snapshot:      func() *membership.Snapshot { return &membership.Snapshot{Targets: f.targets} },
		Router:        f,
		Agent: func(address string) (wire.AgentClient, error) {
			f.mu.Lock()
			f.dialed = append(f.dialed, address)
			f.mu.Unlock()
			conn, err := f.pool.Conn(address)
			return wire.NewAgentClient(conn), err
		},
		EntryName:  "entry-1",
		Refusals:   caller.NewRefusals(registry),
		Registerer: registry,
		Logger:     zerolog.New(zerolog.NewTestWriter(t)).Level(zerolog.WarnLevel),
	})
	mux := chi.NewRouter()
	h.Routes(mux)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.URL, h, registry
}
