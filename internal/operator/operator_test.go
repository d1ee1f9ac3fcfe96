package operator

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/alecthomas/kong"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"bramleygap/internal/entry/cluster"
	"bramleygap/internal/platform"
	"bramleygap/internal/platform/platformtest"
	"bramleygap/internal/result"
	"bramleygap/internal/rpc"
	"bramleygap/internal/settings"
)

const configText = `
[[member]]
name = "m"
share = 50
[[service]]
name = "chat"
kind = "model"
model = "large"
[[service.version]]
name = "v1"
share = 100
`

// startEntry starts an entry on loopback and returns its address.
func startEntry(t *testing.T, table platform.Table, vms platform.VMList) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.New(t).Assert(err, qt.IsNil)
	manager := cluster.New(cluster.Options{
		Settings: settings.Entry{Name: "e1", Zone: "a", PeerListen: listener.Addr().String()},
		Table:    table, VMs: vms, Incarnation: 1, Logger: zerolog.New(io.Discard),
	})
	ctx, cancel := context.WithCancel(context.Background())
	server := rpc.NewServer()
	manager.RegisterServers(server)
	done := make(chan struct{})
	go func() { _ = server.Serve(listener) }()
	go func() { defer close(done); _ = manager.Run(ctx) }()
	t.Cleanup(func() { cancel(); server.Stop(); <-done })
	return listener.Addr().String()
}

func writeConfig(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "operators.toml")
	qt.New(t).Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	return path
}

// Guards against a change whose difference is not shown, a conflict that does not name
// the winning change, and a command that fails at the first unreachable entry.
func TestApplyShowsDifferenceAndWinner(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	unreachable, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Assert(unreachable.Close(), qt.IsNil)
	address := startEntry(t, platformtest.NewTable(), nil)
	ann := Options{Entries: []string{unreachable.Addr().String(), address}, Operator: "ann", Timeout: time.Hour}
	var out bytes.Buffer
	c.Assert(Apply(ctx, ann, Change{File: writeConfig(t, configText), DryRun: true}, &out), qt.IsNil)
	c.Assert(out.String(), qt.Matches, `(?s)difference to revision 0:\n.*  member m share: \+ 50\n.*`)
	out.Reset()
	c.Assert(Apply(ctx, ann, Change{File: writeConfig(t, configText), ID: "one"}, &out), qt.IsNil)
	c.Assert(out.String(), qt.Matches, `(?s)difference to revision 0:\n.*change one based on revision 0\naccepted as revision 1\nin force on all live nodes \(1\)\n`)

	bob := ann
	bob.Operator = "bob"
	base := uint64(0)
	err = Apply(ctx, bob, Change{File: writeConfig(t, "note = \"bob\"\n"+configText), Base: &base}, &out)
	var coded *result.Error
	c.Assert(errors.As(err, &coded), qt.IsTrue)
	c.Assert(coded.Code, qt.Equals, result.Conflict)
	c.Assert(coded.Message, qt.Matches, `.*ann \(change one\).*`)

	bad := writeConfig(t, "colour = 1\n"+configText)
	c.Assert(Apply(ctx, ann, Change{File: bad}, &out), qt.ErrorMatches, `.*operators.toml:1: colour: unknown key.*`)
}

// Guards against reporting "in force" while a live VM has not acknowledged the revision.
func TestApplyNamesNodesWithoutAcknowledgement(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	vms := &platformtest.VMs{}
	vms.Set(platform.VM{ID: "vm-9", Address: "127.0.0.1:1", Role: "agent", State: platform.VMLive})
	options := Options{Entries: []string{startEntry(t, platformtest.NewTable(), vms)}, Operator: "ann"}
	for {
		status, err := getStatus(ctx, options)
		c.Assert(err, qt.IsNil)
		if len(status.Missing) == 1 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	err := Apply(ctx, options, Change{File: writeConfig(t, configText)}, io.Discard)
	var missing *NotAcknowledgedError
	c.Assert(errors.As(err, &missing), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(missing.Missing, qt.DeepEquals, []string{"vm/vm-9"})
	c.Assert(Drain(ctx, options, "vm-9", false, io.Discard), qt.IsNil)
	var out bytes.Buffer
	c.Assert(Status(ctx, options, &out), qt.IsNil)
	c.Assert(out.String(), qt.Matches, `(?s).*\nleaving VMs \(no new work\): vm-9 \(drained\)\n.*`)
	c.Assert(out.String(), qt.Matches, `(?s)table service: reachable\noperator configuration: revision 1 by ann .*not yet in force on: vm/vm-9\n.*NODE +ADDRESS +REVISION\nentry/e1 .*MEMBER +SHARE +USE\nm +50% +0.0%\n`)
	out.Reset()
	options.JSON = true
	c.Assert(Status(ctx, options, &out), qt.IsNil)
	c.Assert(out.String(), qt.Matches, `(?s)\{.*"config_operator": *"ann".*`)
	c.Assert(out.String(), qt.Matches, `(?s).*"suspected": *\[\].*`)
}

// Guards against an error message that does not name the unreachable entry, the cause and
// the setting that holds the right address.
func TestUnreachableEntryIsNamed(t *testing.T) {
	err := Status(context.Background(), Options{Entries: []string{"127.0.0.1:1"}}, io.Discard)
	qt.Assert(t, err, qt.ErrorMatches, `entry 127.0.0.1:1 cannot be reached: dial tcp 127.0.0.1:1: connect: connection refused; .*peer_listen`)
}

// Guards against commands that lose the result code of a rejected request.
func TestDrainAndVersionCommandsReportCodes(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	options := Options{Entries: []string{startEntry(t, platformtest.NewTable(), nil)}, Operator: "ann", Timeout: time.Hour}
	c.Assert(Drain(ctx, options, "vm-1", false, io.Discard), qt.ErrorMatches, `UNKNOWN_VM .*`)
	c.Assert(Apply(ctx, options, Change{File: writeConfig(t, configText)}, io.Discard), qt.IsNil)
	c.Assert(VersionStart(ctx, options, "chat", "v1", time.Now().Add(-time.Hour), io.Discard), qt.ErrorMatches, `(?s)INVALID_TEXT .*deadline.*has passed.*`)
	c.Assert(VersionStart(ctx, options, "chat", "v1", time.Now().Add(time.Hour), io.Discard), qt.IsNil)
	c.Assert(VersionWithdraw(ctx, options, "chat", "v9", "", io.Discard), qt.ErrorMatches, `UNKNOWN_VERSION .*`)
	c.Assert(VersionWithdraw(ctx, options, "chat", "v1", "slow", io.Discard), qt.IsNil)
	var out bytes.Buffer
	c.Assert(VersionStatus(ctx, options, "other", &out), qt.IsNil)
	c.Assert(out.String(), qt.Equals, "no version to report\n")
	out.Reset()
	c.Assert(VersionStatus(ctx, options, "chat", &out), qt.IsNil)
	c.Assert(out.String(), qt.Matches, `(?s).*chat +v1 +withdrawn +0% +- +0 +0 +0 +- +withdrawn by operator ann: slow\n`)
	c.Assert(Follow(ctx, options, "chat", "v1", time.Now().Add(time.Hour), io.Discard), qt.ErrorMatches, `chat v1 is taken back: .*ann: slow`)
}

// Guards against a check that passes although one of the files has a problem.
func TestCheckRecognisesFileTypes(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	examples := []string{"../../examples/entry.toml", "../../examples/agent.toml", "../../examples/operators.toml"}
	c.Assert(Check(context.Background(), CheckOptions{Files: examples}, &out), qt.IsNil)
	c.Assert(out.String(), qt.Matches, `(?s).*valid entry settings\n.*valid agent settings\n.*valid operator configuration\n`)
	out.Reset()
	bad := writeConfig(t, "peer_listen = 1\n")
	c.Assert(Check(context.Background(), CheckOptions{Files: append(examples, bad)}, &out), qt.Equals, ErrInvalid)
	c.Assert(out.String(), qt.Matches, `(?s).*operators.toml:1: peer_listen: has the wrong type; write text in quotes \(error C103\)\n.*`)
}

// Guards against command structs that kong rejects and flags without help.
func TestCommandLine(t *testing.T) {
	c := qt.New(t)
	parser := newParser(c)
	err := kong.Visit(parser.Model, func(node kong.Visitable, next kong.Next) error {
		if flag, ok := node.(*kong.Flag); ok {
			c.Check(flag.Help, qt.Not(qt.Equals), "", qt.Commentf("%s", flag.Name))
		}
		return next(nil)
	})
	c.Assert(err, qt.IsNil)
	for _, line := range [][]string{
		{"check", "a.toml", "b.toml"},
		{"apply", "a.toml", "--entry", "127.0.0.1:1", "--base", "0"},
		{"status", "--entry=127.0.0.1:1", "--json"},
		{"drain", "vm-1", "--undo", "--entry=127.0.0.1:1"},
		{"version", "start", "chat", "v2", "--deadline", "2027-01-31T18:00:00Z", "--entry=127.0.0.1:1"},
		{"version", "withdraw", "chat", "v2", "--reason", "slow", "--entry=127.0.0.1:1"},
		{"version", "status", "--entry=127.0.0.1:1"},
	} {
		_, err := newParser(c).Parse(line)
		c.Check(err, qt.IsNil, qt.Commentf("%v", line))
	}
	_, err = newParser(c).Parse([]string{"status"})
	c.Assert(err, qt.ErrorMatches, `.*--entry.*`)
}

func newParser(c *qt.C) *kong.Kong {
	c.Unsetenv("BRAMLEYGAP_ENTRY")
	var root struct {
		Check   CheckCommand   `cmd:"" help:"Check."`
		Apply   ApplyCommand   `cmd:"" help:"Apply."`
		Status  StatusCommand  `cmd:"" help:"Status."`
		Drain   DrainCommand   `cmd:"" help:"Drain."`
		Version VersionCommand `cmd:"" help:"Version."`
	}
	parser, err := kong.New(&root)
	c.Assert(err, qt.IsNil)
	return parser
}
