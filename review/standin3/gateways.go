package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// gatewayProcess is one gateway of the project, started with the command of the deploy file.
type gatewayProcess struct {
	name, zone, client, ready, peer, admin string
	settings                               string
	command                                *exec.Cmd
}

var placeholder = regexp.MustCompile(`\{\{([a-zA-Z0-9_.]+)(\|json)?\}\}`)

// render fills in the template of the settings as the platform does. It knows plain values only.
func render(template string, values map[string]any) string {
	return placeholder.ReplaceAllStringFunc(template, func(found string) string {
		parts := placeholder.FindStringSubmatch(found)
		value, ok := values[parts[1]]
		if !ok {
			return ""
		}
		if parts[2] == "" {
			return fmt.Sprint(value)
		}
		text, err := json.Marshal(value)
		check(err)
		return string(text)
	})
}

// playHost is a loopback address of this play's own, so that plays beside each other and the ports of outgoing connections
// do not take its ports.
var playHost = fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()>>14%64, os.Getpid()>>7%128, 1+os.Getpid()%128)

func listen(port string) net.Listener {
	listener, err := net.Listen("tcp", net.JoinHostPort(playHost, port))
	check(err)
	return listener
}

func freeAddresses(n int) []string {
	var addresses []string
	var listeners []net.Listener
	for range n {
		l := listen("0")
		listeners, addresses = append(listeners, l), append(addresses, l.Addr().String())
	}
	for _, l := range listeners {
		check(l.Close())
	}
	return addresses
}

// startGateways starts a gateway in each zone and waits until all are ready.
func startGateways(s *store, log *record, folder string, zones []string) []*gatewayProcess {
	template, err := os.ReadFile("deploy/gateway.toml.tmpl")
	check(err)
	var gateways []*gatewayProcess
	for i, zone := range zones {
		a := freeAddresses(4)
		gateways = append(gateways, &gatewayProcess{
			name: fmt.Sprintf("edge-%d", i+1), zone: zone, client: a[0], ready: a[1], peer: a[2], admin: a[3], settings: filepath.Join(folder, fmt.Sprintf("settings-%d.conf", i+1)),
		})
	}
	var seeds []string
	for _, g := range gateways {
		seeds = append(seeds, g.peer)
	}
	for _, g := range gateways {
		host, port, err := net.SplitHostPort(g.admin)
		check(err)
		check(os.WriteFile(g.settings, []byte(render(string(template), map[string]any{
			"node": g.name, "zone": g.zone, "listen.front": g.client, "listen.ready": g.ready, "listen.control": g.peer, "ip": host, "internalPorts.0": port,
			"bootstrap": true, "provider.address": s.address, "seeds": seeds, "limits.memoryMb": 284, "limits.cpuShare": 0.304, "limits.linkMbps": 1000.0,
			"bounds.graceS": 8, "bounds.retryBudgetRatio": 0.8, "bounds.budgetSlack": 150, "bounds.retryWindowS": 10, "bounds.drainTimeoutMs": drainTimeout.Milliseconds(),
			"bounds.configApplyMs": configApply.Milliseconds(),
		})), 0o600))
		g.start(folder)
	}
	for _, g := range gateways {
		for end := time.Now().Add(10 * time.Second); !g.isReady(); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(end) {
				unable("gateway %s is not ready after 10 s", g.name)
			}
		}
		log.add("gateway %s is ready, clients at %s", g.name, g.client)
	}
	return gateways
}

func (g *gatewayProcess) start(folder string) {
	g.command = exec.Command("target/bramleygap", "gateway", "--settings="+g.settings)
	output, err := os.OpenFile(filepath.Join(folder, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	g.command.Stdout, g.command.Stderr = output, output
	// The gateway ends with this program, also if that is killed.
	g.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(g.command.Start())
	processes = append(processes, g.command)
}

func (g *gatewayProcess) isReady() bool {
	response, err := http.Get("http://" + g.ready + "/bramleygap/readiness")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

// logLines returns the lines of a gateway's log that contain one of the words.
func (g *gatewayProcess) logLines(folder string, words ...string) []string {
	text, err := os.ReadFile(filepath.Join(folder, g.name+".log"))
	check(err)
	var lines []string
	for line := range strings.SplitSeq(string(text), "\n") {
		for _, word := range words {
			if strings.Contains(line, word) {
				lines = append(lines, line)
				break
			}
		}
	}
	return lines
}

// reply is the answer to a client's request. Status 0 means that there was none.
type reply struct {
	status    int
	signature string
	body      string
	err       error
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true}}

// message is what a client sends besides its id.
type message struct {
	method, path, key string
	deadline          time.Duration
	// body is the text of a POST, and prompt the parts of a generation's prompt.
	body, prompt string
}

// request sends one client attempt to a gateway.
func (g *gatewayProcess) request(id string, m *message) reply {
	var body io.Reader
	if m.method == http.MethodPost {
		body = strings.NewReader(m.body)
	}
	r, err := http.NewRequest(m.method, "http://"+g.client+m.path, body)
	check(err)
	r.Host = host
	r.Header.Set("Bramleygap-Attempt-Id", id)
	r.Header.Set("Bramleygap-Deadline-Ms", fmt.Sprint(m.deadline.Milliseconds()))
	r.Header.Set("Authorization", "Bearer "+m.key)
	if m.prompt != "" {
		r.Header.Set("Bramleygap-Model", "m")
		r.Header.Set("Bramleygap-Token-Usage", "500,400")
		r.Header.Set("Bramleygap-Prompt-Prefix", m.prompt)
	}
	c := *client
	c.Timeout = m.deadline
	response, err := c.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return reply{response.StatusCode, response.Header.Get("Bramleygap-Response-Signature"), string(text), err}
}
