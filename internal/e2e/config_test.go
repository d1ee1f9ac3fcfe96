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

// startThreeEntries starts three entries, and three model engines and one application
// engine with their agents. entryExtra is added to the settings of each entry.
func startThreeEntries(t *testing.T, entryExtra string) *installation {
	return startInstallation(t, 3, entryExtra, threeEntries...)
}

// agentSeeds returns entry settings that list the agents of the installation as seeds.
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

// configWithNote returns the operator configuration with the given note.
func (in *installation) configWithNote(note string) string {
	return strings.Replace(in.operatorConfiguration(), "end-to-end test", note, 1)
}

// submit runs apply once, without waiting for acknowledgements.
func (in *installation) submit(entry, note string, arguments ...string) (string, error) {
	in.t.Helper()
	path := in.writeFile(note+".toml", in.configWithNote(note))
	return in.run(append([]string{"apply", "--entry", in.address[entry+"-peer"], "--operator", note, "--timeout", "1ms", path}, arguments...)...)
}

// mustSubmit submits the configuration with the given note and returns its revision.
func (in *installation) mustSubmit(entry, note string) uint64 {
	in.t.Helper()
	output, _ := in.submit(entry, note)
	qt.Assert(in.t, strings.Contains(output, "accepted as revision"), qt.IsTrue, qt.Commentf("%s", output))
	var revision uint64
	_, err := fmt.Sscanf(output[strings.Index(output, "accepted as"):], "accepted as revision %d", &revision)
	qt.Assert(in.t, err, qt.IsNil)
	return revision
}

// status returns the status reported by an entry, or nil if the entry does not respond.
func (in *installation) status(entry string) *wire.StatusResponse {
	output, err := in.run("status", "--entry", in.address[entry+"-peer"], "--json")
	var status wire.StatusResponse
	if err != nil || protojson.Unmarshal([]byte(output), &status) != nil {
		return nil
	}
	return &status
}

// waitInForce waits until an entry reports the revision as acknowledged by every node.
func (in *installation) waitInForce(entry string, revision uint64) {
	in.t.Helper()
	in.eventually(fmt.Sprintf("revision %d is in force as seen by %s", revision, entry), func() bool {
		status := in.status(entry)
		return status.GetConfigRevision() == revision && len(status.GetMissing()) == 0
	})
}

var adoptedRevision = regexp.MustCompile(`"revision":(\d+).*"operator configuration adopted"`)

// assertNoRevert checks in the logs that every process adopted revisions in increasing order.
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

// Guards against an entry that returns to an older revision after it was paused during a
// change (invariant I9), and against an apply command that does not name this entry.
func TestPausedEntryIsReportedAndCatchesUp(t *testing.T) {
	t.Parallel()
	in := startThreeEntries(t, "")
	in.processes["entry2"].signal(syscall.SIGSTOP)
	path := in.writeFile("paused.toml", in.configWithNote("paused"))
	output, err := in.run("apply", "--entry", in.address["entry0-peer"], "--timeout", "1s", path)
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, output, qt.Matches, `(?s).*accepted as revision \d+.*not yet in force on: entry/entry2\n.*`)
	revision := in.status("entry0").GetConfigRevision()
	in.processes["entry2"].signal(syscall.SIGCONT)
	seen := uint64(0)
	in.eventually("entry2 has the newer revision", func() bool {
		current := in.status("entry2").GetConfigRevision()
		qt.Assert(t, current == 0 || current >= seen, qt.IsTrue, qt.Commentf("revision %d after %d", current, seen))
		seen = max(seen, current)
		return current == revision
	})
	for _, entry := range threeEntries {
		in.waitInForce(entry, revision)
	}
	in.assertNoRevert()
}

// Guards against an accepted change that is reported as failed because the response was
// lost, and against two operators whose concurrent changes are both accepted.
func TestLostResponseAndRacingOperators(t *testing.T) {
	t.Parallel()
	in := startThreeEntries(t, "")
	in.control("platform", map[string]any{"drop_answers": 1})
	base := in.mustSubmit("entry0", "lost-answer")
	in.waitInForce("entry1", base)
	// The delay lets both entries read the base revision before either writes.
	in.control("platform", map[string]any{"delay_ms": 400})
	outputs := make([]string, 2)
	var group sync.WaitGroup
	for i, name := range []string{"ann", "bob"} {
		group.Go(func() { outputs[i], _ = in.submit(threeEntries[i], name, "--base", fmt.Sprint(base)) })
	}
	group.Wait()
	in.control("platform", map[string]any{"delay_ms": 0})
	combined := strings.Join(outputs, "\n")
	c := qt.New(t)
	c.Assert(strings.Count(combined, "accepted as revision"), qt.Equals, 1, qt.Commentf("%s", combined))
	winner := map[bool]string{true: "ann", false: "bob"}[strings.Contains(outputs[0], "accepted")]
	c.Assert(combined, qt.Matches, `(?s).*CONFLICT.*`+winner+` \(change .*made revision \d+.*`)
	for _, entry := range threeEntries {
		in.eventually("the accepted configuration is in force", func() bool {
			status := in.status(entry)
			return status.GetConfigOperator() == winner && strings.Contains(status.GetConfigText(), winner)
		})
	}
	in.assertNoRevert()
}

// Guards against a change that is accepted during a store outage, against nodes that
// cannot start during one although others have the configuration, and against an entry
// that reports itself ready without a configuration.
func TestNodesStartDuringStoreOutage(t *testing.T) {
	t.Parallel()
	in := startThreeEntries(t, "")
	c := qt.New(t)
	revision := in.mustSubmit("entry0", "before-outage")
	in.waitInForce("entry0", revision)
	in.control("platform", map[string]any{"outage": true})
	output, err := in.submit("entry0", "during-outage")
	c.Assert(err, qt.IsNotNil)
	c.Assert(output, qt.Matches, `(?s).*STORE_UNAVAILABLE.*nothing was changed.*`)

	in.startEntry("fresh", "zone0", peerSeed(in.address["entry0-peer"]))
	in.waitFor("fresh", "http://"+in.address["fresh-admin"]+"/readyz")
	c.Assert(in.status("fresh").GetConfigRevision(), qt.Equals, revision)

	in.processes["agent-engine0"].kill()
	in.startAgent("agent-engine0", "engine0", "zone0", "model", "letters", "v1")
	in.eventually("the restarted agent has the configuration", func() bool {
		return strings.Contains(in.metrics("agent-engine0"), fmt.Sprintf("config_revision{agent=\"agent-engine0\"} %d\n", revision))
	})

	in.startEntry("alone", "zone0", "")
	in.eventually("the entry without store and peer reports why it is not ready", func() bool {
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

// Guards against an installation that is left without configuration, although the agents
// have it, when all entries are replaced during a store outage.
func TestReplacedEntriesGetConfigurationFromAgents(t *testing.T) {
	t.Parallel()
	in := startThreeEntries(t, "")
	c := qt.New(t)
	revision := in.mustSubmit("entry0", "held-by-agents")
	in.waitInForce("entry0", revision)
	output, err := in.run("drain", "vm-agent-engine0", "--entry", in.address["entry0-peer"])
	c.Assert(err, qt.IsNil, qt.Commentf("%s", output))
	in.waitLeaving("entry0", "agent-engine0", true)
	in.control("platform", map[string]any{"outage": true})
	for _, entry := range threeEntries {
		in.processes[entry].kill()
	}
	for _, entry := range threeEntries {
		in.startEntry(entry, "zone0", in.agentSeeds())
	}
	for _, entry := range threeEntries {
		in.waitFor(entry, "http://"+in.address[entry+"-admin"]+"/readyz")
		in.waitInForce(entry, revision)
		status := in.status(entry)
		c.Assert(status.GetConfigOperator(), qt.Equals, "held-by-agents")
		c.Assert(status.GetConfigChangeId(), qt.Not(qt.Equals), "")
		in.waitLeaving(entry, "agent-engine0", true)
	}
	in.checkStatusCall("entry0")
	in.assertNoRevert()
}

// waitLeaving waits until an entry reports the given leaving state for a target.
func (in *installation) waitLeaving(entry, target string, leaving bool) {
	in.t.Helper()
	in.eventually(fmt.Sprintf("%s reports leaving=%v for %s", entry, leaving, target), func() bool {
		return slices.ContainsFunc(in.status(entry).GetTargets(), func(s *wire.AgentState) bool {
			return s.GetTarget() == target && s.GetLeaving() == leaving
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

// Guards against a node that adopts an older configuration after the store has lost rows,
// including a node that starts after the loss (invariant I9).
func TestRestoredStoreDoesNotRevertNodes(t *testing.T) {
	t.Parallel()
	in := startThreeEntries(t, "")
	c := qt.New(t)
	in.mustSubmit("entry0", "older")
	saved := in.tableRow("config/current")
	newest := in.mustSubmit("entry0", "newest")
	in.waitInForce("entry0", newest)
	in.processes["platform"].kill()
	in.startPlatform()
	for _, name := range threeEntries {
		in.registerVM(name, "zone0", in.address[name+"-peer"], "entry", "live")
	}
	in.postJSON("http://"+in.address["platform"]+"/v1/txn", map[string]any{"puts": []any{map[string]any{"key": "config/current", "value": saved}}})
	in.startEntry("fresh", "zone0", peerSeed(in.address["entry0-peer"]))
	for _, entry := range append([]string{"fresh"}, threeEntries...) {
		in.waitInForce(entry, newest)
	}
	output, err := in.submit("entry1", "after-restore")
	c.Assert(err, qt.IsNotNil)
	c.Assert(output, qt.Matches, `(?s).*STORE_UNAVAILABLE.*newer revision \d+ is in force.*`)
	in.eventually("all entries have read the older row", func() bool {
		return !slices.ContainsFunc(threeEntries, func(name string) bool {
			return !strings.Contains(in.processes[name].output(), `"table_revision":1,`)
		})
	})
	in.processes["agent-engine1"].kill()
	in.startAgent("agent-engine1", "engine1", "zone1", "model", "letters", "v1")
	in.waitInForce("entry1", newest)
	for _, name := range threeEntries {
		c.Assert(strings.Contains(in.status(name).GetConfigText(), "newest"), qt.IsTrue)
	}
	in.assertNoRevert()
}

// Guards against a node that reverts to an older revision when a partition ends (invariant I9).
// During the partition, entries that reach neither each other nor the store must adopt a
// change through the agents, and the unreachable entries must be reported by name.
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
	in.apply("entry0", in.operatorConfiguration())
	in.waitInForce("entry0", in.status("entry0").GetConfigRevision())
	in.eventually("entry0 reports all nodes", func() bool { return len(in.status("entry0").GetNodes()) == 7 })
	for _, f := range links {
		f.setCut(true)
	}
	output, _ := in.submit("entry0", "partitioned")
	qt.Assert(t, output, qt.Matches, `(?s).*accepted as revision.*not yet in force on: .*entry/entry1, entry/entry2.*`)
	revision := in.status("entry0").GetConfigRevision()
	for _, name := range threeEntries {
		in.eventually(name+" adopts the change", func() bool { return in.status(name).GetConfigRevision() == revision })
	}
	qt.Assert(t, in.status("entry0").GetMissing(), qt.DeepEquals, []string{"entry/entry1", "entry/entry2"})
	for _, f := range links {
		f.setCut(false)
	}
	for _, name := range threeEntries {
		in.waitInForce(name, revision)
	}
	in.assertNoRevert()
}

// Guards against an invalid configuration that has an effect, and against an error message
// that does not state the position and key of the fault.
func TestInvalidConfigurationChangesNothing(t *testing.T) {
	t.Parallel()
	in := startInstallation(t, 1, "", "entry0")
	revision := in.status("entry0").GetConfigRevision()
	for _, test := range []struct{ old, new, message string }{
		{"share = 60", "share = 90", `(?s).*bad.toml:10: member\[1\].share: .*`},
		{"kind = \"application\"", "kind = \"plain\"", `(?s).*bad.toml:39: service\[1\].kind: .*`},
		{"[[member]]", "[[member]", `(?s).*bad.toml:5: not valid TOML.*`},
		{"note =", "remark =", `(?s).*bad.toml:2: remark: unknown key.*`},
	} {
		path := in.writeFile("bad.toml", strings.Replace(in.operatorConfiguration(), test.old, test.new, 1))
		output, err := in.run("apply", "--entry", in.address["entry0-peer"], path)
		qt.Check(t, err, qt.IsNotNil)
		qt.Check(t, output, qt.Matches, test.message)
	}
	qt.Assert(t, in.status("entry0").GetConfigRevision(), qt.Equals, revision)
}

// forwarder forwards TCP connections until it is cut.
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
	t.Cleanup(func() { _ = listener.Close(); f.setCut(true) })
	go func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			f.forward(from, target)
		}
	}()
	return f
}

func (f *forwarder) forward(from net.Conn, target string) {
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

// setCut closes all connections and refuses new ones, or accepts connections again.
func (f *forwarder) setCut(cut bool) {
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

// tableRow returns the value of a table row as encoded by the platform stand-in.
func (in *installation) tableRow(key string) json.RawMessage {
	in.t.Helper()
	response, err := http.Get("http://" + in.address["platform"] + "/v1/get?key=" + key)
	qt.Assert(in.t, err, qt.IsNil)
	defer response.Body.Close()
	var row struct{ Value json.RawMessage }
	qt.Assert(in.t, json.NewDecoder(response.Body).Decode(&row), qt.IsNil)
	return row.Value
}
