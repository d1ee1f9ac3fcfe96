package cluster

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"bramleygap/internal/agent"
	"bramleygap/internal/core/adoption"
	"bramleygap/internal/obs"
	"bramleygap/internal/platform"
	"bramleygap/internal/platform/platformtest"
	"bramleygap/internal/rpc"
	"bramleygap/internal/settings"
	"bramleygap/internal/standin/engine"
)

// countingListener counts the bytes of accepted connections in both directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{conn, l.bytes}, nil
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func benchListener(b *testing.B, bytes *atomic.Int64) countingListener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	return countingListener{listener, bytes}
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// measureDuration is the duration of one measurement of an idle installation.
const measureDuration = 5 * time.Second

// BenchmarkControl runs entries and agents over loopback without requests and reports the
// bytes and the CPU time of their control messages. Run it with -benchtime 1x.
func BenchmarkControl(b *testing.B) {
	for _, n := range []struct{ entries, agents int }{{1, 8}, {3, 8}, {3, 20}, {3, 40}, {8, 20}, {16, 20}, {16, 40}} {
		b.Run(fmt.Sprintf("entries=%d/agents=%d", n.entries, n.agents), func(b *testing.B) {
			for b.Loop() {
				measureControl(b, n.entries, n.agents)
			}
		})
	}
}

func measureControl(b *testing.B, entries, agents int) {
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer cancel()
	engineListener := benchListener(b, new(atomic.Int64))
	target := engine.New(engine.Options{Model: "large", Versions: []string{"v1", "v2"}})
	tasks.Go(func() { _ = target.Serve(ctx, engineListener) })
	var watchBytes, peerBytes atomic.Int64
	vms := &platformtest.VMs{}
	var list []platform.VM
	for i := range agents {
		listener := benchListener(b, &watchBytes)
		name := fmt.Sprintf("engine-%04d", i)
		list = append(list, platform.VM{ID: name, Address: listener.Addr().String(), Role: roleAgent, State: platform.VMLive})
		options := agent.Options{
			Settings: settings.Agent{
				Name: name, VM: name, Zone: "zone" + fmt.Sprint(i%3), TargetURL: "http://" + engineListener.Addr().String(),
				TargetKind: "model", Service: "chat", Versions: []string{"v1", "v2"},
			},
			Logger: zerolog.New(io.Discard), Listener: listener, Timing: agent.Timing{LeaveDelay: time.Millisecond},
		}
		tasks.Go(func() { _ = agent.Run(ctx, options) })
	}
	managers := make([]*Manager, entries)
	for i := range managers {
		listener := benchListener(b, &peerBytes)
		name := fmt.Sprintf("entry-%03d", i)
		list = append(list, platform.VM{ID: name, Address: listener.Addr().String(), Role: roleEntry, State: platform.VMLive})
		managers[i] = New(Options{
			Settings:    settings.Entry{Name: name, Zone: "zone0", PeerListen: listener.Addr().String()},
			Incarnation: uint64(time.Now().UnixNano()), VMs: vms, Logger: zerolog.New(io.Discard), Registerer: obs.NewRegistry(),
		})
		server := rpc.NewServer()
		managers[i].RegisterServers(server)
		tasks.Go(func() { _ = server.Serve(listener) })
		tasks.Go(func() {
			_ = managers[i].Run(ctx)
			server.Stop()
		})
	}
	vms.Set(list...)
	_ = managers[0].do(ctx, func(s *state) { s.adopt(adoption.Candidate{Revision: 1, Text: configText}) })
	waitUntil(func() bool {
		for _, m := range managers {
			if adoption.RevisionOf(m.Config()) != 1 || len(m.Nodes()) != entries+agents {
				return false
			}
		}
		return true
	})
	time.Sleep(2 * heartbeatInterval)
	watched, exchanged, used, start := watchBytes.Load(), peerBytes.Load(), cpuTime(), time.Now()
	time.Sleep(measureDuration)
	seconds := time.Since(start).Seconds()
	b.ReportMetric(float64(watchBytes.Load()-watched)/seconds/float64(entries*agents), "watch-B/s/pair")
	b.ReportMetric(float64(watchBytes.Load()-watched)/seconds/float64(agents), "watch-B/s/agent")
	b.ReportMetric(float64(watchBytes.Load()-watched+2*(peerBytes.Load()-exchanged))/seconds/float64(entries), "control-B/s/entry")
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	b.ReportMetric(float64(memory.HeapInuse+memory.StackInuse)/1024, "memory-KiB/all")
	b.ReportMetric(1000*(cpuTime()-used).Seconds()/seconds, "cpu-ms/s/all")
}
