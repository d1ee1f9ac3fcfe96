// Package e2e starts the system as separate processes on loopback and causes failures.
package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	// The started binary is not an import, so that go test would report cached results
	// of an earlier one. These packages import all of its code.
	_ "bramleygap/internal/demo"
	_ "bramleygap/internal/operator"
	_ "bramleygap/internal/standin"
)

// hangLimit ends a test that makes no progress; it decides no verdict otherwise.
const hangLimit = 60 * time.Second

var (
	binary string
	// installations counts the installations of this test process.
	installations atomic.Uint32
)

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "bramleygap-e2e")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(folder, "bramleygap")
	build := exec.Command("go", "build", "-o", binary, "bramleygap/cmd/bramleygap")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	// Each test starts a dozen processes; more tests at once would slow each other down.
	// A -parallel flag on the command line overrides the number.
	if err := flag.Set("test.parallel", "4"); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// trackSources reads the state of each source file. The go command records which files
// a test looks at and reuses a cached result only while they are unchanged; the build
// in TestMain is invisible to it, as is anything that happens before M.Run.
var trackSources = sync.OnceFunc(func() {
	err := filepath.WalkDir("../..", func(path string, entry fs.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(path, ".go") {
			_, err = os.Stat(path)
		}
		return err
	})
	if err != nil {
		panic(err)
	}
})

// process is one started process with its log.
type process struct {
	name    string
	command *exec.Cmd
	mu      sync.Mutex
	log     bytes.Buffer
	exited  chan struct{}
}

func (p *process) Write(line []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(line)
}

func (p *process) output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

func (p *process) signal(signal syscall.Signal) { _ = p.command.Process.Signal(signal) }

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// installation is a set of processes with the addresses they listen on.
type installation struct {
	t *testing.T
	// host is a loopback address of this installation only. On a shared one, an outgoing
	// connection or another test can take the port of a process that is being restarted.
	host      string
	folder    string
	processes map[string]*process
	address   map[string]string
}

func newInstallation(t *testing.T) *installation {
	trackSources()
	number := uint32(os.Getpid())<<8 + installations.Add(1)
	in := &installation{
		t:         t,
		host:      fmt.Sprintf("127.%d.%d.%d", 1+number>>16%250, number>>8%256, 1+number%250),
		folder:    t.TempDir(),
		processes: map[string]*process{},
		address:   map[string]string{},
	}
	t.Cleanup(in.stop)
	return in
}

func (in *installation) stop() {
	for _, p := range in.processes {
		p.signal(syscall.SIGCONT)
		p.kill()
	}
	if in.t.Failed() {
		for name, p := range in.processes {
			in.t.Logf("log of %s:\n%s", name, tail(p.output(), 6000))
		}
	}
}

func tail(text string, n int) string {
	if len(text) > n {
		return "..." + text[len(text)-n:]
	}
	return text
}

// Processes listen on ports below the usual ephemeral range: a free port of that range
// can become the local port of some connection before the process listens on it.
const (
	firstPort = 10_000
	lastPort  = 32_000
)

func (in *installation) freeAddress(name string) string {
	in.t.Helper()
	for range lastPort - firstPort {
		if address, ok := in.address[name]; ok {
			return address
		}
		address := fmt.Sprintf("%s:%d", in.host, firstPort+rand.IntN(lastPort-firstPort))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		if !slices.Contains(slices.Collect(maps.Values(in.address)), address) {
			in.address[name] = address
		}
	}
	in.t.Fatalf("no free port for %s", name)
	return ""
}

func (in *installation) start(name string, arguments ...string) *process {
	in.t.Helper()
	p := &process{name: name, command: exec.Command(binary, arguments...), exited: make(chan struct{})}
	p.command.Stdout, p.command.Stderr = p, p
	qt.Assert(in.t, p.command.Start(), qt.IsNil)
	go func() { _ = p.command.Wait(); close(p.exited) }()
	in.processes[name] = p
	return p
}

func (in *installation) writeFile(name, text string) string {
	path := filepath.Join(in.folder, name)
	qt.Assert(in.t, os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	return path
}

func (in *installation) startPlatform() {
	in.start("platform", "standin", "platform", "--listen", in.freeAddress("platform"))
	in.waitFor("platform", "http://"+in.address["platform"]+"/v1/vms")
}

// engineOptions are the flags of an engine stand-in that tests vary.
type engineOptions struct {
	version   string
	tokenRate int
	extra     []string
}

func (in *installation) startEngine(name string, options engineOptions) {
	if options.tokenRate == 0 {
		options.tokenRate = 100
	}
	arguments := append([]string{"standin", "engine", "--listen", in.freeAddress(name), "--model", "letters",
		"--versions", options.version, "--token-rate", fmt.Sprint(options.tokenRate)}, options.extra...)
	in.start(name, arguments...)
	in.waitFor(name, "http://"+in.address[name]+"/health")
}

func (in *installation) startApp(name string) {
	in.start(name, "standin", "app", "--listen", in.freeAddress(name))
	in.waitFor(name, "http://"+in.address[name]+"/runs")
}

// startAgent starts an agent beside a target that is already started.
func (in *installation) startAgent(name, target, zone, kind, service string, versions ...string) {
	quoted := make([]string, len(versions))
	for i, version := range versions {
		quoted[i] = fmt.Sprintf("%q", version)
	}
	text := fmt.Sprintf("name = %q\nvm = %q\nzone = %q\nlisten = %q\nadmin_listen = %q\ntarget_url = %q\ntarget_kind = %q\nservice = %q\nversions = [%s]\nplatform_url = %q\n[log]\nlevel = \"debug\"\n",
		name, "vm-"+name, zone, in.freeAddress(name), in.freeAddress(name+"-admin"), "http://"+in.address[target],
		kind, service, strings.Join(quoted, ", "), "http://"+in.address["platform"])
	in.start(name, "agent", "--settings", in.writeFile(name+".toml", text))
	in.registerVM("vm-"+name, zone, in.address[name], "agent", "live")
	in.waitFor(name, "http://"+in.address[name+"-admin"]+"/healthz")
}

func (in *installation) startEntry(name, zone, extra string) {
	text := fmt.Sprintf("name = %q\nzone = %q\ncaller_listen = %q\npeer_listen = %q\nadmin_listen = %q\nplatform_url = %q\n%s\n[log]\nlevel = \"debug\"\n",
		name, zone, in.freeAddress(name), in.freeAddress(name+"-peer"), in.freeAddress(name+"-admin"), "http://"+in.address["platform"], extra)
	in.start(name, "entry", "--settings", in.writeFile(name+".toml", text))
	in.registerVM(name, zone, in.address[name+"-peer"], "entry", "live")
}

func (in *installation) registerVM(id, zone, address, role, state string) {
	in.postJSON("http://"+in.address["platform"]+"/v1/vms",
		map[string]string{"id": id, "zone": zone, "address": address, "role": role, "state": state})
}

func (in *installation) postJSON(url string, body any) {
	in.t.Helper()
	raw, err := json.Marshal(body)
	qt.Assert(in.t, err, qt.IsNil)
	response, err := http.Post(url, "application/json", bytes.NewReader(raw))
	qt.Assert(in.t, err, qt.IsNil)
	defer response.Body.Close()
	answer, _ := io.ReadAll(response.Body)
	qt.Assert(in.t, response.StatusCode < 300, qt.IsTrue, qt.Commentf("%s: %s", url, answer))
}

// waitFor polls a URL until it answers 200.
func (in *installation) waitFor(name, url string) {
	in.t.Helper()
	in.eventually(name+" answers at "+url, func() bool {
		response, err := http.Get(url)
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// eventually polls a condition until it holds or the hang limit passes.
func (in *installation) eventually(what string, condition func() bool) {
	in.t.Helper()
	for deadline := time.Now().Add(hangLimit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	in.t.Fatalf("condition did not hold within %s: %s", hangLimit, what)
}

// context ends a call of the test after the hang limit.
func (in *installation) context() context.Context {
	ctx, cancel := context.WithTimeout(in.t.Context(), hangLimit)
	in.t.Cleanup(cancel)
	return ctx
}

// run executes an operator command and returns its output.
func (in *installation) run(arguments ...string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), hangLimit)
	defer cancel()
	output, err := exec.CommandContext(ctx, binary, arguments...).CombinedOutput()
	return string(output), err
}
