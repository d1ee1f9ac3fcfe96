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

// nextToken returns the token that every target generates after the given ids. Its id
// depends on all of them, so that a missing or wrong token changes all later ones.
func nextToken(before []uint32) (uint32, []byte) {
	return stream.Checksum(7, before), fmt.Appendf(nil, "%d é", len(before))
}

func expectedOutput(n int) (ids []uint32, text string) {
	for range n {
		id, b := nextToken(ids)
		ids, text = append(ids, id), text+string(b)
	}
	return ids, text
}

// fault is injected by an agent when it is about to send the token at index at.
type fault struct {
	at   int
	kind string // break, stall, duplicate, gap, died, or hold until release is closed
}

// fakeCluster runs agents on loopback that share a list of faults: fault n occurs in call n
// of Generate.
type fakeCluster struct {
	wire.UnimplementedAgentServer
	mu              sync.Mutex
	faults          []fault
	requests        []*wire.GenerateRequest
	logs            map[string]*wire.FetchLogResponse
	attachEpoch     uint64
	attachable      bool // whether Attach succeeds; otherwise only copies are available
	release         chan struct{}
	targets         []membership.Target
	pool            *rpc.Pool
	outcomes        []placement.Outcome
	deaths          []string
	openAssignments int
	placed          int
	dialed          []string
	version         string
}

func newCluster(t *testing.T, faults ...fault) *fakeCluster {
	f := &fakeCluster{faults: faults, logs: make(map[string]*wire.FetchLogResponse), release: make(chan struct{}), pool: rpc.NewPool(), version: "v1"}
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
	var current fault
	if n := len(f.requests); n < len(f.faults) {
		current = f.faults[n]
	}
	f.requests = append(f.requests, r)
	f.attachEpoch = max(f.attachEpoch, r.GetAttachEpoch())
	log := &wire.FetchLogResponse{Found: true, Spec: r.GetSpec(), Attempt: r.GetAttempt(), AttachEpoch: f.attachEpoch,
		Ids: slices.Clone(r.GetPrefixTokenIds()), Bytes: slices.Clone(r.GetPrefixBytes())}
	f.logs[r.GetSpec().GetGeneration()] = log
	f.mu.Unlock()
	if err := s.Send(acceptedEvent(&wire.Accepted{Attempt: r.GetAttempt(), AttachEpoch: 1, Incarnation: 1})); err != nil {
		return err
	}
	return f.produce(log, len(log.Ids), current, s)
}

func (f *fakeCluster) produce(log *wire.FetchLogResponse, from int, current fault, s wire.Agent_GenerateServer) error {
	total := int(log.GetSpec().GetSampling().GetMaxTokens())
	for n := from; n < total; n++ {
		if current.kind != "" && n == current.at {
			switch current.kind {
			case "break":
				return status.Error(codes.Unavailable, "killed")
			case "died":
				return s.Send(&wire.GenerateEvent{Event: &wire.GenerateEvent_Failed{Failed: &wire.Failed{
					Code: uint32(result.TargetDied), TargetDied: true, DeathId: "death-1", RunningFingerprints: []uint64{5}}}})
			case "stall":
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
			current.kind = ""
		}
		f.mu.Lock()
		if n >= len(log.Ids) {
			for len(log.Ids) <= n {
				id, b := nextToken(log.Ids)
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
	f.attachEpoch++
	epoch, attachable := f.attachEpoch, f.attachable
	f.mu.Unlock()
	if log == nil || !attachable {
		return status.Error(codes.Unavailable, "no attachable log")
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

// Place implements router.Router. It returns the first suitable target and never waits.
func (f *fakeCluster) Place(_ context.Context, r placement.Request) (*router.Assignment, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, target := range f.targets {
		if slices.Contains(r.Exclude, target.Name) || (r.Version != "" && r.Version != f.version) {
			continue
		}
		f.openAssignments++
		f.placed++
		return &router.Assignment{Decision: placement.Decision{Target: target, Version: f.version}, Done: f.done}, nil
	}
	return nil, result.New(result.NoTarget, "no target")
}

func (f *fakeCluster) done(o placement.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.openAssignments--
	f.outcomes = append(f.outcomes, o)
}

func (f *fakeCluster) ReportDeath(id string, _ []uint64, _ string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.deaths = append(f.deaths, id)
}

func (f *fakeCluster) ReportProgress(uint64, bool) {}

// startEntry starts one handler behind a real HTTP server.
func (f *fakeCluster) startEntry(t *testing.T, disableResume bool) (string, *Handler, *prometheus.Registry) {
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
