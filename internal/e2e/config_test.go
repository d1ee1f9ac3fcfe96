package e2e

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/encoding/protojson"

	"bramleygap/internal/wire"
)

var threeEntries = []string{"entry0", "entry1", "entry2"}

// startMembers starts three entries and the agents of three model engines and one
// application engine. extra is added to the settings of each entry.
func startMembers(t *testing.T, extra string) *installation {
	return startSmall(t, 3, extra, threeEntries...)
}

// agentSeeds are entry settings that name the agents of the installation.
func (in *installation) agentSeeds() string {
	text := ""
	for name, address := range in.address {
		if strings.HasPrefix(name, "agent-") && !strings.HasSuffix(name, "-admin") {
			text += fmt.Sprintf("[[seed]]\naddress = %q\nrole = \"agent\"\n", address)
		}
	}
	return text
}

func peerSeed(address string) string {
	return fmt.Sprintf("[[seed]]\naddress = %q\nrole = \"entry\"\n", address)
}

// noted returns the operator configuration with another note.
func (in *installation) noted(note string) string {
	return strings.Replace(in.operatorsText(), "end-to-end test", note, 1)
}

// submit runs apply once, without waiting for acknowledgements.
func (in *installation) submit(entry, note string, arguments ...string) (string, error) {
	in.t.Helper()
	path := in.writeFile(note+".toml", in.noted(note))
	return in.run(append([]string{"apply", "--entry", in.address[entry+"-peer"], "--operator", note, "--timeout", "1ms", path}, arguments...)...)
}

// accept applies a note and returns its revision.
func (in *installation) accept(entry, note string) uint64 {
	in.t.Helper()
	output, _ := in.submit(entry, note)
	qt.Assert(in.t, strings.Contains(output, "accepted as revision"), qt.IsTrue, qt.Commentf("%s", output))
	var revision uint64
	_, err := fmt.Sscanf(output[strings.Index(output, "accepted as"):], "accepted as revision %d", &revision)
	qt.Assert(in.t, err, qt.IsNil)
	return revision
}

// status asks an entry; it is nil while the entry does not answer.
func (in *installation) status(entry string) *wire.StatusResponse {
	output, err := in.run("status", "--entry", in.address[entry+"-peer"], "--json")
	var status wire.StatusResponse
	if err != nil || protojson.Unmarshal([]byte(output), &status) != nil {
		return nil
	}
	return &status
}

// inForce waits until an entry has the revision and sees it acknowledged by every node.
func (in *installation) inForce(entry string, revision uint64) {
	in.t.Helper()
	in.eventually(fmt.Sprintf("revision %d is in force as seen by %s", revision, entry), func() bool {
		status := in.status(entry)
		return status.GetConfigRevision() == revision && len(status.GetMissing()) == 0
	})
}

var adoptedRevision = regexp.MustCompile(`"revision":(\d+).*"operator configuration adopted"`)

// assertNoRevert checks in the logs that every process adopted only growing revisions.
func (in *installation) assertNoRevert() {
	in.t.Helper()
	for name, p := range in.processes {
		last := 0
		for _, match := range adoptedRevision.FindAllStringSubmatch(p.output(), -1) {
			var revision int
			_, _ = fmt.Sscan(match[1], &revision)
			qt.Check(in.t, revision > last, qt.IsTrue, qt.Commentf("%s adopted revision %d after %d", name, revision, last))
			last = revision
		}
	}
}

// Guards I9: an entry that was paused during a change serves no older revision after
// its first newer one, and an operator is told by name that it is missing.
func TestPausedEntryIsNamedAndCatchesUp(t *testing.T) {
	t.Parallel()
	in := startMembers(t, "")
	in.processes["entry2"].signal(syscall.SIGSTOP)
	path := in.writeFile("paused.toml", in.noted("paused"))
	output, err := in.run("apply", "--entry", in.address["entry0-peer"], "--timeout", "1s", path)
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, output, qt.Matches, `(?s).*accepted as revision \d+.*not yet in force on: entry/entry2\n.*`)
	revision := in.status("entry0").GetConfigRevision()
	in.processes["entry2"].signal(syscall.SIGCONT)
	seen := uint64(0)
	in.eventually("entry2 has the newer revision", func() bool {
		now := in.status("entry2").GetConfigRevision()
		qt.Assert(t, now == 0 || now >= seen, qt.IsTrue, qt.Commentf("revision %d after %d", now, seen))
		seen = max(seen, now)
		return now == revision
	})
	for _, entry := range threeEntries {
		in.inForce(entry, revision)
	}
	in.assertNoRevert()
}

// Guards against an accepted change that is reported as failed since its answer was
// lost, and against two operators who both win.
func TestLostAnswerAndRacingOperators(t *testing.T) {
	t.Parallel()
	in := startMembers(t, "")
	in.control("platform", map[string]any{"drop_answers": 1})
	base := in.accept("entry0", "lost-answer")
	in.inForce("entry1", base)
	// Slow requests let both entries read the base before either writes.
	in.control("platform", map[string]any{"delay_ms": 400})
	outputs := make([]string, 2)
	var racers sync.WaitGroup
	for i, name := range []string{"ann", "bob"} {
		racers.Go(func() { outputs[i], _ = in.submit(threeEntries[i], name, "--base", fmt.Sprint(base)) })
	}
	racers.Wait()
	in.control("platform", map[string]any{"delay_ms": 0})
	both := strings.Join(outputs, "\n")
	c := qt.New(t)
	c.Assert(strings.Count(both, "accepted as revision"), qt.Equals, 1, qt.Commentf("%s", both))
	winner := map[bool]string{true: "ann", false: "bob"}[strings.Contains(outputs[0], "accepted")]
	c.Assert(both, qt.Matches, `(?s).*CONFLICT.*`+winner+` \(change .*made revision \d+.*`)
	for _, entry := range threeEntries {
		in.eventually("the winner's text is in force", func() bool {
			status := in.status(entry)
			return status.GetConfigOperator() == winner && strings.Contains(status.GetConfigText(), winner)
		})
	}
	in.assertNoRevert()
}

// Guards against a change accepted during an outage, against nodes that cannot start
// then although others have the configuration, and against an entry that claims to be
// ready without one.
func TestNodesStartDuringStoreOutage(t *testing.T) {
	t.Parallel()
	in := startMembers(t, "")
	c := qt.New(t)
	revision := in.accept("entry0", "before-outage")
	in.inForce("entry0", revision)
	in.control("platform", map[string]any{"outage": true})
	output, err := in.submit("entry0", "during-outage")
	c.Assert(err, qt.IsNotNil)
	c.Assert(output, qt.Matches, `(?s).*STORE_UNAVAILABLE.*nothing was changed.*`)

	in.startEntry("fresh", "zone0", peerSeed(in.address["entry0-peer"]))
	in.waitFor("fresh", "http://"+in.address["fresh-admin"]+"/readyz")
	c.Assert(in.status("fresh").GetConfigRevision(), qt.Equals, revision)

	in.processes["agent-engine0"].kill()
	in.startAgent("agent-engine0", "engine0", "zone0", "model", "letters", "v1")
	in.eventually("the fresh agent has the configuration", func() bool {
		return strings.Contains(in.metrics("agent-engine0"), fmt.Sprintf("config_revision{agent=\"agent-engine0\"} %d\n", revision))
	})

	in.startEntry("alone", "zone0", "")
	in.eventually("the entry without store and peer names the reason", func() bool {
		response, err := http.Get("http://" + in.address["alone-admin"] + "/readyz")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		body, _ := io.ReadAll(response.Body)
		return response.StatusCode == http.StatusServiceUnavailable &&
			strings.Contains(string(body), "neither the table service nor a peer")
	})
	in.control("platform", map[string]any{"outage": false})
	in.waitFor("alone", "http://"+in.address["alone-admin"]+"/readyz")
	in.assertNoRevert()
}

// Guards against an installation without configuration when all entries are replaced
// during a store outage, although the agents hold it.
func TestAgentsHandConfigurationToFreshEntries(t *testing.T) {
	t.Parallel()
	in := startMembers(t, "")
	c := qt.New(t)
	revision := in.accept("entry0", "held-by-agents")
	in.inForce("entry0", revision)
	output, err := in.run("drain", "vm-agent-engine0", "--entry", in.address["entry0-peer"])
	c.Assert(err, qt.IsNil, qt.Commentf("%s", output))
	in.drained("entry0", "agent-engine0", true)
	in.control("platform", map[string]any{"outage": true})
	for _, entry := range threeEntries {
		in.processes[entry].kill()
	}
	for _, entry := range threeEntries {
		in.startEntry(entry, "zone0", in.agentSeeds())
	}
	for _, entry := range threeEntries {
		in.waitFor(entry, "http://"+in.address[entry+"-admin"]+"/readyz")
		in.inForce(entry, revision)
		status := in.status(entry)
		c.Assert(status.GetConfigOperator(), qt.Equals, "held-by-agents")
		c.Assert(status.GetConfigChangeId(), qt.Not(qt.Equals), "")
		in.drained(entry, "agent-engine0", true)
	}
	in.checkStatusCall("entry0")
	in.assertNoRevert()
}

// drained waits until an entry sees a target as leaving, or as not leaving.
func (in *installation) drained(entry, target string, want bool) {
	in.t.Helper()
	in.eventually(fmt.Sprintf("%s sees leaving=%v for %s", entry, want, target), func() bool {
		return slices.ContainsFunc(in.status(entry).GetTargets(), func(s *wire.AgentState) bool {
			return s.GetTarget() == target && s.GetLeaving() == want
		})
	})
}

// metrics returns the metrics page of a process.
func (in *installation) metrics(name string) string {
	response, err := http.Get("http://" + in.address[name+"-admin"] + "/metrics")
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	return string(body)
}

// Guards I9 when the store lost rows: no node takes an older text, also not one that
// starts afterwards beside the others.
func TestRestoredStoreRevertsNoNode(t *testing.T) {
	t.Parallel()
	in := startMembers(t, "")
	c := qt.New(t)
	in.accept("entry0", "older")
	saved := in.row("config/current")
	newest := in.accept("entry0", "newest")
	in.inForce("entry0", newest)
	in.processes["platform"].kill()
	in.startPlatform()
	for _, name := range threeEntries {
		in.registerVM(name, "zone0", in.address[name+"-peer"], "entry", "live")
	}
	in.postJSON("http://"+in.address["platform"]+"/v1/txn", map[string]any{"puts": []any{map[string]any{"key": "config/current", "value": saved}}})
	in.startEntry("fresh", "zone0", peerSeed(in.address["entry0-peer"]))
	for _, entry := range append([]string{"fresh"}, threeEntries...) {
		in.inForce(entry, newest)
	}
	output, err := in.submit("entry1", "after-restore")
	c.Assert(err, qt.IsNotNil)
	c.Assert(output, qt.Matches, `(?s).*STORE_UNAVAILABLE.*newer revision \d+ is in force.*`)
	in.eventually("each entry has read the older row", func() bool {
		return !slices.ContainsFunc(threeEntries, func(name string) bool {
			return !strings.Contains(in.processes[name].output(), `"table_revision":1,`)
		})
	})
	in.processes["agent-engine1"].kill()
	in.startAgent("agent-engine1", "engine1", "zone1", "model", "letters", "v1")
	in.inForce("entry1", newest)
	for _, name := range threeEntries {
		c.Assert(strings.Contains(in.status(name).GetConfigText(), "newest"), qt.IsTrue)
	}
	in.assertNoRevert()
}

// Guards I9 in a partition: entries that reach neither each other nor the store adopt a
// change through the agents, the unreachable ones are named, and the end of the
// partition takes no node back.
func TestPartitionBetweenEntries(t *testing.T) {
	t.Parallel()
	in := newInstallation(t)
	in.startPlatform()
	platform := in.address["platform"]
	links := map[string]*forwarder{}
	link := func(name, target string) string {
		links[name] = startForwarder(t, target)
		return links[name].listener.Addr().String()
	}
	for i := range 4 {
		name := fmt.Sprintf("engine%d", i)
		in.startEngine(name, engineOptions{version: "v1"})
		in.startAgent("agent-"+name, name, fmt.Sprintf("zone%d", i%3), "model", "letters", "v1")
	}
	seeds := in.agentSeeds()
	for _, name := range threeEntries {
		address := link(name, in.freeAddress(name+"-peer"))
		if name == "entry2" {
			in.address["platform"] = link("platform", platform)
		}
		in.startEntry(name, "zone0", fmt.Sprintf("peer_address = %q\n%s", address, seeds))
		in.address["platform"] = platform
		in.registerVM(name, "zone0", address, "entry", "live")
	}
	in.apply("entry0", in.operatorsText())
	in.inForce("entry0", in.status("entry0").GetConfigRevision())
	in.eventually("the entries know each other", func() bool { return len(in.status("entry0").GetNodes()) == 7 })
	for _, f := range links {
		f.set(true)
	}
	output, _ := in.submit("entry0", "partitioned")
	qt.Assert(t, output, qt.Matches, `(?s).*accepted as revision.*not yet in force on: .*entry/entry1, entry/entry2.*`)
	revision := in.status("entry0").GetConfigRevision()
	for _, name := range threeEntries {
		in.eventually(name+" adopts the change", func() bool { return in.status(name).GetConfigRevision() == revision })
	}
	qt.Assert(t, in.status("entry0").GetMissing(), qt.DeepEquals, []string{"entry/entry1", "entry/entry2"})
	for _, f := range links {
		f.set(false)
	}
	for _, name := range threeEntries {
		in.inForce(name, revision)
	}
	in.assertNoRevert()
}

// Guards against an invalid configuration that changes anything and against a message
// that does not lead to the fault.
func TestInvalidConfigurationChangesNothing(t *testing.T) {
	t.Parallel()
	in := startSmall(t, 1, "", "entry0")
	revision := in.status("entry0").GetConfigRevision()
	for _, step := range []struct{ old, new, message string }{
		{"share = 60", "share = 90", `(?s).*bad.toml:10: member\[1\].share: .*`},
		{"kind = \"application\"", "kind = \"plain\"", `(?s).*bad.toml:39: service\[1\].kind: .*`},
		{"[[member]]", "[[member]", `(?s).*bad.toml:5: not valid TOML.*`},
		{"note =", "remark =", `(?s).*bad.toml:2: remark: unknown key.*`},
	} {
		path := in.writeFile("bad.toml", strings.Replace(in.operatorsText(), step.old, step.new, 1))
		output, err := in.run("apply", "--entry", in.address["entry0-peer"], path)
		qt.Check(t, err, qt.IsNotNil)
		qt.Check(t, output, qt.Matches, step.message)
	}
	qt.Assert(t, in.status("entry0").GetConfigRevision(), qt.Equals, revision)
}

// forwarder passes TCP connections on until it is cut.
type forwarder struct {
	listener net.Listener
	mu       sync.Mutex
	cut      bool
	conns    []net.Conn
}

func startForwarder(t *testing.T, target string) *forwarder {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	f := &forwarder{listener: listener}
	t.Cleanup(func() { _ = listener.Close(); f.set(true) })
	go func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			f.join(from, target)
		}
	}()
	return f
}

func (f *forwarder) join(from net.Conn, target string) {
	to, err := net.Dial("tcp", target)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil || f.cut {
		_ = from.Close()
		if to != nil {
			_ = to.Close()
		}
		return
	}
	f.conns = append(f.conns, from, to)
	go func() { _, _ = io.Copy(to, from); _ = to.Close() }()
	go func() { _, _ = io.Copy(from, to); _ = from.Close() }()
}

// set cuts all connections and refuses new ones, or lets them through again.
func (f *forwarder) set(cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = cut
	if cut {
		for _, conn := range f.conns {
			_ = conn.Close()
		}
		f.conns = nil
	}
}

// row returns the value of a table row as the platform encodes it.
func (in *installation) row(key string) json.RawMessage {
	in.t.Helper()
	response, err := http.Get("http://" + in.address["platform"] + "/v1/get?key=" + key)
	qt.Assert(in.t, err, qt.IsNil)
	defer response.Body.Close()
	var row struct{ Value json.RawMessage }
	qt.Assert(in.t, json.NewDecoder(response.Body).Decode(&row), qt.IsNil)
	return row.Value
}
