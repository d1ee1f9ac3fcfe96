package gateway

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"bramleygap/internal/core/membership"
	"bramleygap/internal/core/placement"
	"bramleygap/internal/core/replica"
	"bramleygap/internal/core/suspect"
	"bramleygap/internal/settings"
	"bramleygap/internal/wire"
)

// controlSize is an installation whose control cost for one gateway is measured.
type controlSize struct {
	gateways, targets int
	// streams is the number of streams that each gateway relays, each with a KV cache copy.
	streams int
	// suspects is the number of requests that all gateways know as suspects, of which
	// newSuspects change each second.
	suspects, newSuspects int
}

// controlSizes are the grown sites of today, an intermediate step, and the target of
// docs/design.md. A grown site had about 100 suspects after ten seconds with crashes.
var controlSizes = []controlSize{
	{gateways: 3, targets: 21, streams: 16, suspects: 30, newSuspects: 1},
	{gateways: 23, targets: 86, streams: 12, suspects: 100, newSuspects: 5},
	{gateways: 100, targets: 400, streams: 16, suspects: 400, newSuspects: 5},
	{gateways: 370, targets: 1100, streams: 400, suspects: 408, newSuspects: 5},
}

func (s controlSize) run(b *testing.B, benchmark func(*testing.B, controlSize)) {
	b.Run(fmt.Sprintf("%dx%d", s.gateways, s.targets), func(b *testing.B) { benchmark(b, s) })
}

// registrationProtocol decodes registrations that have only a service and an address.
type registrationProtocol struct{ Protocol }

// DecodeRegistration implements Protocol.
func (registrationProtocol) DecodeRegistration(row replica.Row) (membership.Registration, error) {
	if len(row.Value) == 0 {
		return membership.Registration{}, errors.New("empty row")
	}
	return membership.Registration{
		ID: row.Key, Address: string(row.Value), Zone: "zone-" + row.Key[len(row.Key)-1:], Service: "s", Slots: 64, StartUnixMS: 1, Model: true,
	}, nil
}

// controlGateway is a gateway without sockets whose event loop is run by the benchmark.
type controlGateway struct {
	peers *peers
	st    *state
}

func controlGatewayName(i int) string { return fmt.Sprintf("edge-zone-%d-%d", i%3, i) }

func controlTargetID(i int) string { return fmt.Sprintf("i-%08x%d", uint32(i)*2654435761, i%3) }

func newControlGateway(size controlSize, index int) *controlGateway {
	options := &Options{Registerer: prometheus.NewRegistry(), Protocol: registrationProtocol{}}
	options.Settings = settings.Gateway{Name: controlGatewayName(index), Zone: "zone-0", PeerListen: fmt.Sprintf("10.%d.0.%d:7200", index/250, index%250)}
	g := &Gateway{options: options, metrics: newMetrics(options.Registerer)}
	g.loop = newEventLoop(options, g.metrics)
	now := time.Now()
	c := &controlGateway{newPeers(g), g.loop.newState(now)}
	rows := make([]replica.Row, 0, size.targets)
	for i := range size.targets {
		rows = append(rows, replica.Row{Key: controlTargetID(i), Value: fmt.Appendf(nil, "10.9.%d.%d:80", i/250, i%250), Revision: 1})
	}
	for table := range c.st.tables {
		if Table(table) == TableTargets {
			g.loop.installSnapshot(c.st, now, TableTargets, rows, replica.Version{Revision: 1}, "store")
		}
		g.loop.confirm(c.st, now, Table(table), "store")
	}
	rng := rand.New(rand.NewPCG(uint64(index), 1))
	names := make([]string, size.gateways)
	for i := range names {
		names[i] = controlGatewayName(i)
	}
	c.st.setLiveGateways(names)
	c.st.fleet.SetGateways(names)
	prompt := placement.GenerationSize{PromptTokens: 5200, OutputTokens: 800}
	for i := range size.streams {
		id, holder := controlTargetID(rng.IntN(size.targets)), controlTargetID(rng.IntN(size.targets))
		if !placement.SharesAll(size.gateways) {
			placed, _ := c.st.fleet.Place(now, placement.FleetQuery{Service: "s"}, "", prompt, true)
			id, holder = placed.Target.ID, placed.Copy
		}
		stream := c.st.fleet.BeginStream(now, id, holder, prompt)
		if i%10 > 0 {
			// Reading the prompt takes about a tenth of a stream's time.
			c.st.fleet.RecordFirstEvent(now, id, stream)
		}
	}
	return c
}

// addSuspects makes requests suspects on this gateway, by crashes of targets in a zone. Crashes of
// several targets of one zone do not count; with an empty zone, all count.
func (c *controlGateway) addSuspects(zone string, first, n int) {
	now := time.Now()
	for i := range n {
		c.st.suspects.Report(suspect.Death{
			ID: controlTargetID(first+i) + "@10.9.0.1:8080", Target: controlTargetID(first + i), Zone: zone, At: now,
			Fingerprints: []uint64{uint64(first+i) * 0x9e3779b97f4a7c15},
		}, now)
	}
}

// controlCost sums what the measured gateway spends.
type controlCost struct {
	bytes int
	// parts holds the bytes in the order of exchangeParts.
	parts [5]int
	busy  time.Duration
}

// receive decodes a message. The sender's name varies, so that few gateways stand for many.
func receive(encoded []byte, name string) *wire.GatewayState {
	msg := &wire.GatewayState{}
	if err := proto.Unmarshal(encoded, msg); err != nil {
		panic(err)
	}
	msg.Name = name
	return msg
}

func encode(msg *wire.GatewayState) []byte {
	encoded, err := proto.Marshal(msg)
	if err != nil {
		panic(err)
	}
	return encoded
}

// exchange makes one exchange that from starts, and adds the bytes of both messages to cost. cost is
// charged with the work of the gateway measured.
func exchange(from, to *controlGateway, fromName, toName string, kind exchangeKind, measured *controlGateway, cost *controlCost) {
	charge := func(on *controlGateway, work func()) {
		start := time.Now()
		work()
		if on == measured {
			cost.busy += time.Since(start)
		}
	}
	var request, answer []byte
	requestedAt := time.Now()
	var sent [2]*wire.GatewayState
	charge(from, func() {
		sent[0] = from.peers.request(from.st, toName, kind)
		request = encode(sent[0])
	})
	charge(to, func() {
		remote := receive(request, fromName)
		to.peers.mergeState(to.st, remote, time.Time{})
		sent[1] = to.peers.answer(to.st, remote, time.Now(), kind)
		answer = encode(sent[1])
	})
	charge(from, func() {
		from.peers.mergeAnswer(from.st, receive(answer, toName), toName, requestedAt)
		if kind.held {
			from.st.recordSentSuspects(toName)
		}
	})
	cost.bytes += len(request) + len(answer)
	for _, msg := range sent {
		for i, size := range partSizes(msg) {
			cost.parts[i] += size
		}
	}
}

// controlOthers is the number of gateways that stand for all others in the benchmark.
const controlOthers = 6

// scheduledExchange is one of the exchanges that a gateway takes part in.
type scheduledExchange struct {
	kind exchangeKind
	// served is set if the other gateway starts it, fixed if that is always the same one.
	served, fixed bool
	perSecond     float64
}

// exchangeSchedule is what exchanges a gateway takes part in.
type exchangeSchedule struct {
	rounds    int
	exchanges []scheduledExchange
}

// controlSchedule returns the exchanges of a gateway: in a large installation, of one that others
// follow, which takes part in most.
func controlSchedule(size controlSize) exchangeSchedule {
	var s exchangeSchedule
	add := func(n int, e scheduledExchange) {
		for range n {
			s.exchanges = append(s.exchanges, e)
		}
		s.rounds = max(s.rounds, int(math.Ceil(e.perSecond)))
	}
	if placement.SharesAll(size.gateways) {
		perSecond := float64(time.Second / exchangeInterval)
		add(min(exchangeFanout, size.gateways-1), scheduledExchange{kind: exchangeKind{loads: true}, perSecond: perSecond})
		add(min(exchangeFanout, size.gateways-1), scheduledExchange{kind: exchangeKind{loads: true}, served: true, perSecond: perSecond})
		return s
	}
	// With two urgent tables, each confirmed twice a second, there is news for each exchange after its pause.
	follow := float64(time.Second / followPause)
	add(1, scheduledExchange{kind: exchangeKind{held: true}, fixed: true, perSecond: follow})
	add(replica.Followers, scheduledExchange{kind: exchangeKind{held: true}, fixed: true, served: true, perSecond: follow})
	for _, served := range []bool{false, true} {
		add(1, scheduledExchange{kind: exchangeKind{loads: true}, served: served, perSecond: float64(time.Second) / float64(neighborInterval)})
		add(1, scheduledExchange{served: served, perSecond: float64(time.Second / randomInterval)})
	}
	return s
}

// BenchmarkControl measures what exchanges cost one gateway in a second: bytes of messages in both
// directions (without framing) and processor time.
func BenchmarkControl(b *testing.B) {
	for _, size := range controlSizes {
		size.run(b, benchmarkControl)
	}
}

func benchmarkControl(b *testing.B, size controlSize) {
	self := newControlGateway(size, 0)
	others := make([]*controlGateway, min(controlOthers, size.gateways-1))
	for i := range others {
		others[i] = newControlGateway(size, i+1)
	}
	for _, g := range append([]*controlGateway{self}, others...) {
		g.addSuspects("zone-0", 0, size.suspects)
	}
	rng := rand.New(rand.NewPCG(1, 2))
	var cost, unused controlCost
	added := size.suspects
	seconds := 0
	schedule := controlSchedule(size)
	second := func(cost *controlCost) {
		for range size.newSuspects {
			others[rng.IntN(len(others))].addSuspects("zone-0", added, 1)
			added++
		}
		for round := range schedule.rounds {
			for _, g := range append(others, self) {
				g.st.beginSuspectRound()
			}
			for i, e := range schedule.exchanges {
				if float64(round) >= e.perSecond {
					continue
				}
				peer := i
				if !e.fixed {
					peer = rng.IntN(size.gateways - 1)
				}
				other, name := others[peer%len(others)], fmt.Sprintf("edge-%d", peer+1)
				if e.served {
					exchange(other, self, name, "edge-0", e.kind, self, cost)
				} else {
					exchange(self, other, "edge-0", name, e.kind, self, cost)
				}
			}
			for i := range others {
				exchange(others[i], others[(i+1)%len(others)], "a", "b", exchangeKind{loads: true}, nil, &unused)
			}
		}
	}
	second(&unused)
	for b.Loop() {
		second(&cost)
		seconds++
	}
	b.ReportMetric(float64(cost.bytes)/float64(seconds), "B/s")
	for i, size := range cost.parts {
		b.ReportMetric(float64(size)/float64(seconds), exchangeParts[i]+"-B/s")
	}
	b.ReportMetric(cost.busy.Seconds()*1000/float64(seconds), "ms/s")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkRegistrationChange measures what a change of one registration costs a gateway.
func BenchmarkRegistrationChange(b *testing.B) {
	for _, size := range controlSizes {
		size.run(b, func(b *testing.B, size controlSize) {
			c := newControlGateway(size, 0)
			now, revision := time.Now(), uint64(1)
			b.ReportAllocs()
			for b.Loop() {
				row := replica.Row{Key: controlTargetID(int(revision) % size.targets), Value: fmt.Appendf(nil, "10.8.0.1:%d", revision), Revision: revision + 1}
				c.peers.g.loop.applyChanges(c.st, now, TableTargets, []replica.Row{row}, replica.Version{Revision: revision}, replica.Version{Revision: revision + 1})
				revision++
			}
		})
	}
}

// BenchmarkPeerList measures the part of an exchange round that grows with the number of gateways:
// the list of gateways and the choice of a reader.
func BenchmarkPeerList(b *testing.B) {
	for _, size := range controlSizes {
		size.run(b, func(b *testing.B, size controlSize) {
			c := newControlGateway(controlSize{gateways: size.gateways, targets: 3}, 0)
			var rows []replica.Row
			var names []string
			for i := range size.gateways {
				name := fmt.Sprintf("edge-zone-%d-%d", i%3, i)
				names = append(names, name)
				rows = append(rows, replica.Row{Key: name, Value: encode(&wire.GatewayState{Name: name, Address: fmt.Sprintf("10.%d.0.%d:7200", i/250, i%250), Zone: "zone-0"}), Revision: 1})
			}
			c.peers.g.loop.installSnapshot(c.st, time.Now(), TableGateways, rows, replica.Version{Revision: 1}, "store")
			c.st.setLiveGateways(names)
			b.ReportAllocs()
			for b.Loop() {
				if len(c.st.listedGateways()) != size.gateways {
					b.Fatal("gateways are missing")
				}
				for _, name := range c.st.liveGateways {
					_ = c.st.isReader(name)
				}
			}
		})
	}
}
