package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

const (
	clientHost = "ficu95.example"
	clientKey  = "xd9dnn2ctnfzs989anu6"
	// caseLimit ends a case that hangs.
	caseLimit = 110 * time.Second
	// startWait is how long clients wait after the gateways are ready.
	startWait = 4 * time.Second
	// configApply is the bound configApplyMs of the deployment.
	configApply = 2 * time.Second
)

// scenario plays a case and returns what it found. It plays the disruption only if trouble is set.
type scenario func(t *testbed, trouble bool) (broken bool, err error)

// cases holds the scenarios by name.
var cases = map[string]scenario{}

// testbed is a small deployment on loopback.
type testbed struct {
	folder   string
	self     string
	store    string
	gateways []*gateway
	engines  []*process
	mu       sync.Mutex
	children []*process
	lines    []string
	runs     []logged
	attempts int
}

// process is a process that the case has started.
type process struct {
	name    string
	address string
	service string
	cmd     *exec.Cmd
	exited  chan struct{}
}

// gateway is a gateway process with the addresses that it serves.
type gateway struct {
	*process
	ready, control string
}

func fatal(err error) {
	fmt.Fprintln(os.Stderr, err)
	os.Exit(exitNotRun)
}

func runCase(name string, play scenario, record string) int {
	trouble := os.Getenv("TROUBLE") != "0"
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fatal(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	self, err := os.Executable()
	if err != nil {
		fatal(err)
	}
	t := &testbed{folder: folder, self: self}
	t.note("case %s, disruption %v", name, trouble)
	type outcome struct {
		broken bool
		err    error
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan outcome, 1)
	go func() {
		broken, err := play(t, trouble)
		done <- outcome{broken, err}
	}()
	var result outcome
	select {
	case result = <-done:
	case <-time.After(caseLimit):
		result.err = errors.New("the case did not end in time")
	case s := <-ended:
		result.err = errors.New("ended by " + s.String())
	}
	if result.err != nil {
		t.noteProcesses()
	}
	t.stop()
	status, text := exitHeld, "the rule held"
	switch {
	case result.err != nil:
		status, text = exitNotRun, "the case could not run: "+result.err.Error()
	case result.broken:
		status, text = exitBroken, "the rule was broken"
	}
	t.note("%s", text)
	if err := os.WriteFile(record, []byte(strings.Join(t.lines, "\n")+"\n"), 0o644); err != nil {
		fatal(err)
	}
	fmt.Println(text)
	return status
}

// noteProcesses adds which processes have ended, and the last lines of the gateways' logs, for a case that could
// not run.
func (t *testbed) noteProcesses() {
	t.mu.Lock()
	children := t.children
	t.mu.Unlock()
	for _, p := range children {
		select {
		case <-p.exited:
			t.note("%s has ended", p.name)
		default:
		}
		log, err := os.ReadFile(filepath.Join(t.folder, p.name+".log"))
		if err != nil {
			continue
		}
		lines := strings.Split(strings.TrimSpace(string(log)), "\n")
		for _, line := range lines[max(0, len(lines)-lastLogLines):] {
			t.note("%s: %s", p.name, line)
		}
	}
}

// lastLogLines is how many lines of a gateway's log go into the record of a case that could not run.
const lastLogLines = 20

// note adds a line to the record.
func (t *testbed) note(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lines = append(t.lines, time.Now().UTC().Format("15:04:05.000")+" "+fmt.Sprintf(format, args...))
}

// The ports of the case are below those that Linux gives to outgoing connections, and those of cases that
// play beside each other differ: a port is free for a moment before its process listens there.
const (
	lowestPort   = 20000
	portsPerCase = 40
	portBlocks   = 300
)

// nextPort is the next port to try. It is used before the scenario starts tasks of its own.
var nextPort = lowestPort + os.Getpid()%portBlocks*portsPerCase

// freeAddress returns a loopback address with a free port that it has not returned before.
func freeAddress() string {
	for range portsPerCase {
		address := fmt.Sprint("127.0.0.1:", nextPort)
		nextPort++
		if listener, err := net.Listen("tcp", address); err == nil {
			_ = listener.Close()
			return address
		}
	}
	fatal(errors.New("no free port"))
	return ""
}

// start starts a process and passes the lines of its output to read, or into its log if read is nil.
func (t *testbed) start(name, address, service string, read func(line string), program string, args ...string) (*process, error) {
	p := &process{name: name, address: address, service: service, cmd: exec.Command(program, args...), exited: make(chan struct{})}
	log, err := os.OpenFile(filepath.Join(t.folder, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, err
	}
	p.cmd.Stderr = log
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	t.note("%s started at %s", name, address)
	t.mu.Lock()
	t.children = append(t.children, p)
	t.mu.Unlock()
	go func() {
		lines := bufio.NewScanner(out)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			if read != nil {
				read(lines.Text())
			} else {
				_, _ = fmt.Fprintln(log, lines.Text())
			}
		}
		_ = p.cmd.Wait()
		_ = log.Close()
		close(p.exited)
	}()
	return p, nil
}

// kill ends a process with SIGKILL and waits until it has ended.
func (t *testbed) kill(p *process) {
	t.note("SIGKILL to %s", p.name)
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.exited
}

// stop ends all processes that are left.
func (t *testbed) stop() {
	t.mu.Lock()
	children := t.children
	t.mu.Unlock()
	for _, p := range children {
		select {
		case <-p.exited:
		default:
			_ = p.cmd.Process.Signal(syscall.SIGKILL)
			<-p.exited
		}
	}
}

// startStore starts the store.
func (t *testbed) startStore() error {
	t.store = freeAddress()
	if _, err := t.start("store", t.store, "", nil, t.self, "store", "--listen="+t.store); err != nil {
		return err
	}
	return await("store", func() bool {
		response, err := http.Get("http://" + t.store + "/bramleygap/rows-get?table=op&part=")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

func await(what string, done func() bool) error {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if done() {
			return nil
		}
	}
	return errors.New(what + " did not start")
}

// desk is the application service; all others are model services.
const desk = "wuno96b"

// route is a route of the desired state.
type route struct {
	prefix, service, kind string
}

// configure writes a desired state and returns when the store confirmed it.
func (t *testbed) configure(version int, routes []route, services ...string) (time.Time, error) {
	routeRows, serviceRows := []any{}, []any{}
	for _, r := range routes {
		row := map[string]any{
			"name": "r-" + strings.Trim(r.prefix, "/"), "host": clientHost, "prefix": r.prefix, "kind": r.kind, "timeoutMs": 25000, "targetLatencyMs": 4500,
			"priority": 1, "service": r.service, "maxAttempts": 5, "allowAnonymous": false,
		}
		if r.kind == "streaming" {
			row["sticky"], row["streamResume"], row["gapAimMs"] = true, true, 700
		}
		routeRows = append(routeRows, row)
	}
	for _, name := range services {
		row := map[string]any{"name": name, "healthPath": "/health", "maxConnections": 360, "protocol": "h1", "tls": false}
		if name != desk {
			row["engine"] = map[string]any{
				"slots": 64, "kvCapacityTokens": 55000, "kvTokenBytes": 18432, "linkMbps": 180000.0, "migrations": true, "replicas": true, "stride": 6,
				"most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleS": 4.0, "models": []any{map[string]any{"name": "m"}},
			}
		}
		serviceRows = append(serviceRows, row)
	}
	value, err := json.Marshal(map[string]any{
		"version": version, "routes": routeRows, "services": serviceRows,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "huka270", "apiKeys": []string{clientKey}, "priority": 1}},
	})
	if err != nil {
		return time.Time{}, err
	}
	err = putRow(t.store, "op", "config", value)
	t.note("desired state %d confirmed: %v", version, routes)
	return time.Now(), err
}

// startEngine starts an engine. Its address may be that of one that has ended.
func (t *testbed) startEngine(id, address, zone, service string, flags ...string) error {
	if address == "" {
		address = freeAddress()
	}
	read := func(line string) {
		t.note("%s: %s", id, line)
		var l logged
		if json.Unmarshal([]byte(line), &l) == nil {
			t.mu.Lock()
			t.runs = append(t.runs, l)
			t.mu.Unlock()
		}
	}
	args := append([]string{"engine", "--id=" + id, "--listen=" + address, "--store=" + t.store, "--zone=" + zone, "--service=" + service}, flags...)
	p, err := t.start(id, address, service, read, t.self, args...)
	if err != nil {
		return err
	}
	t.mu.Lock()
	t.engines = append(t.engines, p)
	t.mu.Unlock()
	return nil
}

// settings is what deploy/gateway.toml.tmpl holds, with the figures of a small deployment.
const settings = `name = %q
zone = %q
client_listen = %q
readiness_listen = %q
peer_listen = %q
admin_listen = %q
store_address = %q
seeds = [%s]
memory_limit_mb = 284
grace = "8s"

[bounds]
retry_ratio = 0.8
retry_slack = 150
retry_window = "10s"
drain_timeout = "2000ms"
config_apply = "2000ms"

[log]
level = "info"
`

// startGateways starts gateways with the command of the deploy file and waits until they are ready.
func (t *testbed) startGateways(zones ...string) error {
	var seeds []string
	for range zones {
		g := &gateway{process: &process{address: freeAddress()}, ready: freeAddress(), control: freeAddress()}
		t.gateways = append(t.gateways, g)
		seeds = append(seeds, fmt.Sprintf("%q", g.control))
	}
	for i, g := range t.gateways {
		name := fmt.Sprintf("edge-%s-%d", zones[i], i+1)
		text := fmt.Sprintf(settings, name, zones[i], g.address, g.ready, g.control, freeAddress(), t.store, strings.Join(seeds, ","))
		file := filepath.Join(t.folder, name+".toml")
		if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
			return err
		}
		p, err := t.start(name, g.address, "", nil, "target/bramleygap", "gateway", "--settings="+file)
		if err != nil {
			return err
		}
		g.process = p
	}
	for _, g := range t.gateways {
		err := await(g.name, func() bool {
			response, err := http.Get("http://" + g.ready + "/bramleygap/readiness")
			if err != nil {
				return false
			}
			_ = response.Body.Close()
			return response.StatusCode == http.StatusOK
		})
		if err != nil {
			return err
		}
	}
	time.Sleep(startWait)
	return nil
}

// generation is a client's request for a generation, in one or more attempts.
type generation struct {
	name, path, prompt, body string
	tokens                   int
	// attempts holds the ids of the attempts and sentAt when each was sent.
	attempts []string
	sentAt   map[string]time.Time
	// events holds the data of the events received.
	events []string
	// begun is set if the first attempt got an event.
	begun bool
	// complete is set if the last response ended as a whole one.
	complete bool
	status   int
	started  chan struct{}
	done     chan struct{}
}

// generate sends a request for a generation to a gateway. After a broken channel, the client resumes
// at the next gateways. onEvent, if set, is called after each event.
func (t *testbed) generate(g *generation, gateways []*gateway, onEvent func(n int)) {
	g.sentAt, g.started, g.done = map[string]time.Time{}, make(chan struct{}), make(chan struct{})
	go func() {
		defer close(g.done)
		for _, at := range gateways {
			if retry := t.attempt(g, at, onEvent); !retry {
				return
			}
		}
	}()
}

// attempt makes one attempt and reports whether the client tries again.
func (t *testbed) attempt(g *generation, at *gateway, onEvent func(n int)) (retry bool) {
	t.mu.Lock()
	t.attempts++
	id := fmt.Sprintf("9c41d07be2a3%04x", t.attempts)
	t.mu.Unlock()
	request, err := http.NewRequest(http.MethodPost, "http://"+at.address+g.path, bytes.NewReader([]byte(g.body)))
	if err != nil {
		return false
	}
	request.Host = clientHost
	header := map[string]string{
		headerAttempt: id, headerModel: "m", headerUsage: fmt.Sprintf("%d,600", g.tokens), headerPrompt: g.prompt, headerDeadline: "25000",
		"Authorization": "Bearer " + clientKey,
	}
	if len(g.events) > 0 {
		header[headerLastEvent] = fmt.Sprint(len(g.events))
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	g.attempts, g.sentAt[id] = append(g.attempts, id), time.Now()
	t.note("client %s sends attempt %s to %s, prompt %s, after event %d", g.name, id, at.name, g.prompt, len(g.events))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		t.note("client %s: attempt %s got no answer: %v", g.name, id, err)
		return true
	}
	defer func() { _ = response.Body.Close() }()
	g.status = response.StatusCode
	if response.StatusCode != http.StatusOK {
		t.note("client %s: attempt %s got %d", g.name, id, response.StatusCode)
		return true
	}
	err = g.read(response.Body, onEvent)
	g.complete = err == nil
	t.note("client %s: attempt %s ended after event %d, complete %v, %v", g.name, id, len(g.events), g.complete, err)
	return err != nil
}

// read reads events to the end of a response. It returns nil if the response ended as a whole one.
func (g *generation) read(body io.Reader, onEvent func(n int)) error {
	reader := bufio.NewReader(body)
	for {
		line, err := reader.ReadString('\n')
		if errors.Is(err, io.EOF) && line == "" {
			return nil
		}
		if err != nil {
			return err
		}
		if data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: "); ok {
			g.events = append(g.events, data)
			if len(g.events) == 1 {
				g.begun = len(g.attempts) == 1
				close(g.started)
			}
			if onEvent != nil {
				onEvent(len(g.events))
			}
		}
	}
}

// wait waits until the client has ended.
func (g *generation) wait() error {
	select {
	case <-g.done:
		return nil
	case <-time.After(40 * time.Second):
		return errors.New("client " + g.name + " did not end")
	}
}

// removeRow removes a row as the platform does when an engine has lapsed.
func (t *testbed) removeRow(table, key string) error {
	body, err := json.Marshal(storeRow{Table: table, Key: key, Deleted: true})
	if err != nil {
		return err
	}
	response, err := http.Post("http://"+t.store+operatorPath, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// awaitStart waits for the first event.
func (g *generation) awaitStart() error {
	select {
	case <-g.started:
		return nil
	case <-time.After(10 * time.Second):
		return errors.New("client " + g.name + " got no event")
	}
}

// runsOf returns the lines of a kind that engines logged of an attempt.
func (t *testbed) runsOf(kind, attempt string) []logged {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []logged
	for _, l := range t.runs {
		if l.Kind == kind && l.Attempt == attempt {
			list = append(list, l)
		}
	}
	return list
}

// engineNamed returns a running engine.
func (t *testbed) engineNamed(id string) *process {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := len(t.engines) - 1; i >= 0; i-- {
		if t.engines[i].name == id {
			return t.engines[i]
		}
	}
	return nil
}
