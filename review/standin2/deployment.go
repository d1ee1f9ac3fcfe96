package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	gatewayBinary  = "target/bramleygap"
	templatePath   = "deploy/gateway.toml.tmpl"
	readinessPath  = "/bramleygap/readiness"
	contactTime    = 3000 * time.Millisecond
	startupTimeout = 10 * time.Second
)

var zones = []string{"otaru-port", "otaru-hill", "yoichi-backup"}

// errCannotRun means that a case could not run, which says nothing about the rule.
var errCannotRun = errors.New("the case could not run")

// deployment is a small deployment on loopback: the store in this process, engines and gateways in processes of
// their own. Each run has a loopback network of its own, so that all ports are free.
type deployment struct {
	network  string
	folder   string
	store    *store
	record   *record
	gateways []*gateway
	engines  []*engineProcess
	tasks    sync.WaitGroup
	mu       sync.Mutex
	events   []engineEvent
	// processes holds the processes that were started and have not been waited for.
	processes map[*exec.Cmd]bool
}

type gateway struct {
	name, client, ready string
	command             *exec.Cmd
}

// engineProcess is an engine and what it is started with.
type engineProcess struct {
	id, address, zone, service, model string
	slots                             int
	arguments                         []string
	command                           *exec.Cmd
	exited                            chan struct{}
}

// record is the record of a play.
type record struct {
	mu   sync.Mutex
	file *os.File
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%s %s\n", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

func newDeployment(r *record) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	d := &deployment{
		network: fmt.Sprintf("127.%d.%d.", 64+pid>>8&0x7f, pid&0xff), folder: folder, store: newStore(), record: r, processes: map[*exec.Cmd]bool{},
	}
	listener, err := net.Listen("tcp", d.storeAddress())
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(listener, d.store) }()
	r.printf("store started")
	return d, nil
}

func (d *deployment) storeAddress() string { return d.network + "2:8742" }

// start starts a process and notes it until it has ended.
func (d *deployment) start(command *exec.Cmd) (exited chan struct{}, err error) {
	if err := command.Start(); err != nil {
		return nil, err
	}
	d.mu.Lock()
	d.processes[command] = true
	d.mu.Unlock()
	exited = make(chan struct{})
	go func() {
		_ = command.Wait()
		d.mu.Lock()
		delete(d.processes, command)
		d.mu.Unlock()
		close(exited)
	}()
	return exited, nil
}

// close ends all processes that were started.
func (d *deployment) close() {
	d.mu.Lock()
	for command := range d.processes {
		_ = command.Process.Kill()
	}
	d.mu.Unlock()
	for {
		d.mu.Lock()
		left := len(d.processes)
		d.mu.Unlock()
		if left == 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	d.tasks.Wait()
	_ = os.RemoveAll(d.folder)
}

// startEngine starts an engine, or starts it again, and registers it.
func (d *deployment) startEngine(e *engineProcess) error {
	born := time.Now().UnixMilli()
	arguments := append([]string{
		"engine", "--id", e.id, "--address", e.address, "--slots", fmt.Sprint(e.slots), "--model", e.model, "--born", fmt.Sprint(born),
	}, e.arguments...)
	e.command = exec.Command(os.Args[0], arguments...)
	output, err := e.command.StdoutPipe()
	if err != nil {
		return err
	}
	e.command.Stderr = os.Stderr
	if e.exited, err = d.start(e.command); err != nil {
		return err
	}
	d.tasks.Go(func() { d.readEvents(output) })
	deadline := time.Now().Add(startupTimeout)
	for {
		conn, err := net.Dial("tcp", e.address)
		if err == nil {
			_ = conn.Close()
			break
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("engine %s does not listen: %w", e.id, err)
		}
		time.Sleep(5 * time.Millisecond)
	}
	models := []any{}
	if e.model != "" {
		models = append(models, map[string]any{"name": e.model, "version": 1, "adapters": []any{}})
	}
	d.store.put("servers", e.id, map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots, "state": "ready",
		"coldRemainingMs": 0, "stage": "both", "models": models, "seq": 1, "born": born,
	})
	d.record.printf("engine %s started at %s", e.id, e.address)
	return nil
}

func (d *deployment) readEvents(output io.Reader) {
	lines := bufio.NewScanner(output)
	for lines.Scan() {
		var event engineEvent
		if json.Unmarshal(lines.Bytes(), &event) != nil {
			continue
		}
		d.mu.Lock()
		d.events = append(d.events, event)
		d.mu.Unlock()
	}
}

// engineEvents returns what the engines have written so far.
func (d *deployment) engineEvents() []engineEvent {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]engineEvent(nil), d.events...)
}

// startGateways starts a gateway in each zone with the command of the deploy file, and waits until all are ready.
func (d *deployment) startGateways() error {
	template, err := os.ReadFile(templatePath)
	if err != nil {
		return err
	}
	var seeds []string
	for i := range zones {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s%d:8748", d.network, 50+i)))
	}
	for i, zone := range zones {
		ip := fmt.Sprintf("%s%d", d.network, 50+i)
		g := &gateway{name: fmt.Sprintf("edge-%s-%d", zone, i+1), client: ip + ":8740", ready: ip + ":8749"}
		settings := strings.NewReplacer(
			"{{node|json}}", fmt.Sprintf("%q", g.name), "{{zone|json}}", fmt.Sprintf("%q", zone), "{{listen.front|json}}", fmt.Sprintf("%q", g.client),
			"{{listen.ready|json}}", fmt.Sprintf("%q", g.ready), "{{listen.control|json}}", fmt.Sprintf("%q", ip+":8748"), "{{ip}}", ip,
			"{{internalPorts.0}}", "7200", "{{provider.address|json}}", fmt.Sprintf("%q", d.storeAddress()), "{{seeds|json}}", "["+strings.Join(seeds, ",")+"]",
			"{{limits.memoryMb}}", "284", "{{limits.cpuShare}}", "0.304", "{{limits.linkMbps}}", "1000.0", "{{bounds.graceS}}", "8",
			"{{bounds.retryBudgetRatio}}", "0.8", "{{bounds.budgetSlack}}", "150", "{{bounds.retryWindowS}}", "10", "{{bounds.drainTimeoutMs}}", "2000",
			"{{bounds.configApplyMs}}", "2000",
		).Replace(string(template))
		path := filepath.Join(d.folder, g.name+".toml")
		if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
			return err
		}
		command := exec.Command(gatewayBinary, "gateway", "--settings="+path)
		if err := keepLog(command, g.name); err != nil {
			return err
		}
		if _, err := d.start(command); err != nil {
			return err
		}
		g.command = command
		d.gateways = append(d.gateways, g)
	}
	deadline := time.Now().Add(startupTimeout)
	for _, g := range d.gateways {
		for !isReady(g) {
			if time.Now().After(deadline) {
				return fmt.Errorf("gateway %s is not ready", g.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
		d.record.printf("%s is ready", g.name)
	}
	// Machines are in touch contactMs after their start.
	time.Sleep(contactTime + time.Second)
	return nil
}

// keepLog appends what a gateway logs to a file in the folder GATEWAY_LOGS, if that is set.
func keepLog(command *exec.Cmd, name string) error {
	folder := os.Getenv("GATEWAY_LOGS")
	if folder == "" {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	command.Stdout, command.Stderr = log, log
	return err
}

func isReady(g *gateway) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.ready+readinessPath, nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// kill kills an engine's process.
func (d *deployment) kill(e *engineProcess) {
	d.record.printf("SIGKILL to engine %s", e.id)
	_ = e.command.Process.Signal(syscall.SIGKILL)
}

const (
	host     = "ficu95.example"
	key      = "xd9dnn2ctnfzs989anu6"
	letters  = "/lohu930/"
	issues   = "/pule252/"
	statuses = "/puxa403/"
	drafting = "huvo11a"
	desk     = "wuno96b"
	model    = "m"
)

// desiredState returns a desired state like that of a small deployment. Its letters may not be resumed.
func desiredState() map[string]any {
	route := func(name, prefix, kind, service string, timeout, latency, attempts int, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": host, "prefix": prefix, "kind": kind, "timeoutMs": timeout, "targetLatencyMs": latency, "priority": 1,
			"service": service, "maxAttempts": attempts, "allowAnonymous": false,
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	return map[string]any{
		"version": 7,
		"routes": []any{
			route("r-letters", letters, "streaming", drafting, 25000, 4500, 5, map[string]any{"sticky": true, "gapAimMs": 700}),
			route("r-issues", issues, "non_idempotent", desk, 1000, 100, 1, nil),
			route("r-statuses", statuses, "idempotent", desk, 1000, 100, 2, nil),
		},
		"services": []any{
			map[string]any{"name": drafting, "healthPath": "/health", "maxConnections": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kvCapacityTokens": 55000, "kvTokenBytes": 18432, "linkMbps": 180000.0, "migrations": false, "replicas": false,
				"stride": 6, "most": 12, "models": []any{map[string]any{"name": model}},
			}},
			map[string]any{"name": desk, "healthPath": "/health", "maxConnections": 96, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "huka270", "apiKeys": []any{key}, "priority": 1}},
	}
}
