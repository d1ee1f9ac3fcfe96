// Package e2e tests the system as separate processes on loopback and injects failures.
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

	// The tests run a binary that is built separately, so go test does not track its code.
	// Importing the packages that contain it invalidates cached results when it changes.
	_ "bramleygap/internal/demo"
	_ "bramleygap/internal/operator"
	_ "bramleygap/internal/standin"
)

// hangTimeout ends a test that makes no progress. It does not otherwise affect the result.
const hangTimeout = 60 * time.Second

var (
	binary string
	// installations counts the installations created by this test process.
	installations atomic.Uint32
)

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "bramleygap-e2e")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "bramleygap")
	build := exec.Command("go", "build", "-o", binary, "bramleygap/cmd/bramleygap")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	// Each test starts a dozen processes; more parallel tests would slow each other down.
	// A -parallel flag on the command line takes precedence.
	if err := flag.Set("test.parallel", "4"); err != nil {
		panic(err)
	}
	exitCode := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(exitCode)
}

// trackSources calls os.Stat on each source file. The go command records the files that a
// test accesses and reuses a cached result only while they are unchanged. It sees neither
// the build in TestMain nor any file access before M.Run.
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

// process is a started process and its output.
type process struct {
	name    string
	command *exec.Cmd
	mu      sync.Mutex
	log     bytes.Buffer
	exited  chan struct{}
}

func (p *process) Write(data []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(data)
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
	// host is a loopback address used by this installation only. On a shared address, an
	// outgoing connection or another test can take the port of a process while it restarts.
	host      string
	dir       string
	processes map[string]*process
	address   map[string]string
}

func newInstallation(t *testing.T) *installation {
	trackSources()
	number := uint32(os.Getpid())<<8 + installations.Add(1)
	in := &installation{
		t:         t,
		host:      fmt.Sprintf("127.%d.%d.%d", 1+number>>16%250, number>>8%256, 1+number%250),
		dir:       t.TempDir(),
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

// Processes listen on ports below the usual ephemeral range, because a free port in that
// range can become the local port of a connection before the process listens on it.
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
	path := filepath.Join(in.dir, name)
	qt.Assert(in.t, os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	return path
}

func (in *installation) startPlatform() {
	in.start("platform", "standin", "platform", "--listen", in.freeAddress("platform"))
	in.waitFor("platform", "http://"+in.address["platform"]+"/v1/vms")
}

// engineOptions are the flags of an engine stand-in that differ between tests.
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

// startAgent starts an agent for a target that is already running.
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
	content, _ := io.ReadAll(response.Body)
	qt.Assert(in.t, response.StatusCode < 300, qt.IsTrue, qt.Commentf("%s: %s", url, content))
}

// waitFor polls a URL until it returns status 200.
func (in *installation) waitFor(name, url string) {
	in.t.Helper()
	in.eventually(name+" responds at "+url, func() bool {
		response, err := http.Get(url)
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// eventually polls a condition until it holds, and fails the test after hangTimeout.
func (in *installation) eventually(what string, condition func() bool) {
	in.t.Helper()
	for deadline := time.Now().Add(hangTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	in.t.Fatalf("condition did not hold within %s: %s", hangTimeout, what)
}

// context returns a context that expires after hangTimeout.
func (in *installation) context() context.Context {
	ctx, cancel := context.WithTimeout(in.t.Context(), hangTimeout)
	in.t.Cleanup(cancel)
	return ctx
}

// run runs an operator command and returns its combined output.
func (in *installation) run(arguments ...string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), hangTimeout)
	defer cancel()
	output, err := exec.CommandContext(ctx, binary, arguments...).CombinedOutput()
	return string(output), err
}
