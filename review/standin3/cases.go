package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	host         = "ficu95.example"
	letterPrefix = "/lohu930/"
	issuePrefix  = "/pule252/"
	statusPrefix = "/puxa403/"
	stockPrefix  = "/nyfi13/"
	// keptKey is a key of the first tenant that stays, and takenKey one that is taken away.
	keptKey  = "xd9dnn2ctnfzs989anu6"
	takenKey = "wsjnbanfqasnmgkcuyj8"
)

var zones = []string{"port", "hill", "backup"}

type playedCase struct {
	log      *record
	folder   string
	trouble  bool
	store    *store
	gateways []*gatewayProcess
	engines  []*engine
	requests atomic.Uint64
}

// desired returns a desired state: the service of the status route, the tenant's keys, and whether the stock route has been
// added, which goes to the new service.
func desired(version int, statusService string, stock bool, keys ...string) map[string]any {
	route := func(name, prefix, kind, service string, timeout, target, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "prefix": prefix, "kind": kind, "timeoutMs": timeout, "targetLatencyMs": target, "priority": 1, "service": service,
			"maxAttempts": attempts, "allowAnonymous": false, "sticky": false, "streamResume": false,
		}
	}
	letter := route("letter", letterPrefix, "streaming", "drafting", 25000, 4500, 5)
	letter["sticky"], letter["streamResume"], letter["gapAimMs"] = true, true, 700
	routes := []any{
		letter, route("issue", issuePrefix, "non_idempotent", "desk", 1000, 100, 1), route("status", statusPrefix, "idempotent", statusService, 1000, 100, 2),
	}
	if stock {
		routes = append(routes, route("stock", stockPrefix, "idempotent", "desk-new", 1000, 100, 2))
	}
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "healthPath": "/health", "maxConnections": 96, "protocol": "h1", "tls": false}
	}
	drafting := service("drafting")
	drafting["maxConnections"] = 360
	drafting["engine"] = map[string]any{
		"slots": 64, "kvCapacityTokens": 55000, "kvTokenBytes": 18432, "linkMbps": 180000.0, "migrations": false, "replicas": false, "stride": 6, "most": 12,
		"pinMs": 4000.0, "holdMs": 2000.0, "handleS": 4.0, "models": []any{map[string]any{"name": "m"}},
	}
	return map[string]any{
		"version":  version,
		"routes":   routes,
		"services": []any{drafting, service("desk"), service("desk-new")},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "huka270", "apiKeys": keys, "priority": 1}},
	}
}

// begin starts the store, the engines and the gateways with a first desired state.
func (c *playedCase) begin() {
	c.store = newStore()
	c.store.put("op", "config", desired(1, "desk", false, keptKey, takenKey))
	for i, zone := range zones {
		c.engines = append(c.engines,
			startEngine(c.store, c.log, fmt.Sprintf("i-model-%d", i+1), zone, "drafting", true),
			startEngine(c.store, c.log, fmt.Sprintf("i-desk-%d", i+1), zone, "desk", false),
			startEngine(c.store, c.log, fmt.Sprintf("i-desk-new-%d", i+1), zone, "desk-new", false))
	}
	for _, e := range c.engines {
		c.log.add("engine %s of %s at %s, born %d", e.id, e.service, e.address, e.born)
	}
}

// send sends one client attempt, records it and returns the answer.
func (c *playedCase) send(g *gatewayProcess, method, prefix, key string, deadline time.Duration) reply {
	m := &message{method: method, path: prefix + "2f", key: key, deadline: deadline, body: strings.Repeat("x", 600)}
	if prefix == letterPrefix {
		m.prompt = fmt.Sprintf("5c1e07a2:200,%x:300", c.requests.Load()+1)
	}
	return c.sendMessage(g, "client", m)
}

// sendMessage sends one client attempt, records it and returns the answer.
func (c *playedCase) sendMessage(g *gatewayProcess, sender string, m *message) reply {
	id := fmt.Sprintf("%016x", 0x9c41000000000000+c.requests.Add(1))
	c.log.add("%s sends %s %s, id %s, key %s, prompt %q, to %s", sender, m.method, m.path, id, m.key, m.prompt, g.name)
	r := g.request(id, m)
	text := r.body
	if len(text) > 100 {
		text = fmt.Sprintf("%d bytes", len(text))
	}
	c.log.add("%s gets for %s: status %d, proof %q, %s, error %v", sender, id, r.status, r.signature, text, r.err)
	return r
}

// olderStore: the platform's store is away for a moment and comes back from an older copy. Shortly after, the operator
// sends a new version of the desired state, which the store confirms: the status route moves to another service, and a
// key is taken away. Requests that are sent long after that must be handled as the new version says.
func olderStore(c *playedCase) bool {
	const (
		calm  = 9 * time.Second        // the gateways run undisturbed for so long before the drill
		away  = 1 * time.Second        // the store is away for a moment
		age   = 5 * time.Second        // and comes back from a copy that is some seconds old
		pause = 1 * time.Second        // the operator's next change comes so long after
		judge = 15 * time.Second       // requests are judged for so long
		gap   = 100 * time.Millisecond // between the requests to each gateway
	)
	c.begin()
	c.gateways = startGateways(c.store, c.log, c.folder, zones)
	time.Sleep(calm - age)
	c.store.keepCopy()
	c.log.add("the store's copy has version %d", c.store.now())
	time.Sleep(age)
	if c.trouble {
		c.store.goAway()
		c.log.add("the store is away")
		time.Sleep(away)
		before, after := c.store.comeBack()
		c.log.say("the store is back from its copy: version %d, before %d", after, before)
		// What the engines wrote since is written again. The operator had written nothing since.
		for _, e := range c.engines {
			e.register()
		}
	} else {
		time.Sleep(away)
	}
	back := time.Now()
	time.Sleep(pause)
	version := c.store.put("op", "config", desired(2, "desk-new", false, keptKey))
	confirmed := time.Now()
	c.log.say("the store confirms version 2 of the desired state at its version %d, %.1f s after its return", version, confirmed.Sub(back).Seconds())
	// The core is stable, machines are in touch, and the bound holds even if it were stretched by outerMs.
	time.Sleep(max(contact, configApply+outer) + 500*time.Millisecond)
	c.log.add("requests are judged from now on; the store has version %d", c.store.now())
	var wrongService, wrongKey, judged atomic.Int64
	var tasks sync.WaitGroup
	for _, g := range c.gateways {
		tasks.Go(func() {
			for end := time.Now().Add(judge); time.Now().Before(end); time.Sleep(gap) {
				judged.Add(2)
				if r := c.send(g, http.MethodGet, statusPrefix, keptKey, time.Second); r.status == http.StatusOK && len(r.body) > 18 && r.body[:18] == "answer of desk to " {
					wrongService.Add(1)
				}
				if r := c.send(g, http.MethodPost, issuePrefix, takenKey, time.Second); r.status == http.StatusOK {
					wrongKey.Add(1)
				}
			}
		})
	}
	tasks.Wait()
	c.log.say("of %d requests sent over %.0f s after the confirmation, %d were run by the old service and %d with a key that was taken away",
		judged.Load(), (configApply + outer).Seconds(), wrongService.Load(), wrongKey.Load())
	for _, g := range c.gateways {
		for _, line := range g.logLines(c.folder, "desired state applied", "compacted the history", "not confirmed by the store") {
			c.log.add("log of %s: %s", g.name, line)
		}
	}
	return wrongService.Load()+wrongKey.Load() > 0
}

// otherWriter: another writer has left entries among those of the engines. They name a service that the desired state
// does not have, and so no engine to use; the engines' own entries hold. Then a route is added whose engines have such
// entries beside them.
func otherWriter(c *playedCase) bool {
	const (
		calm   = 3 * time.Second
		length = 15 * time.Second
		gap    = 100 * time.Millisecond
	)
	c.begin()
	if c.trouble {
		for _, e := range c.engines {
			if e.service != "desk-new" {
				continue
			}
			entry := e.entry()
			entry["service"], entry["slots"], entry["version"], entry["seq"], entry["born"] = "host-metrics", 1, "3.2", 1, e.born+1500
			c.store.put("servers", "metrics-"+e.id, entry)
			c.log.add("another writer's entry servers/metrics-%s: %s", e.id, c.store.value("servers", "metrics-"+e.id))
		}
	}
	c.gateways = startGateways(c.store, c.log, c.folder, zones)
	time.Sleep(calm)
	c.store.put("op", "config", desired(2, "desk", true, keptKey, takenKey))
	c.log.say("the store confirms version 2 of the desired state, which adds a route")
	time.Sleep(configApply + contact)
	c.log.add("requests are judged from now on")
	type counts struct{ sent, served atomic.Int64 }
	var first, added counts
	var tasks sync.WaitGroup
	for _, g := range c.gateways {
		tasks.Go(func() {
			for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(gap) {
				for _, k := range []struct {
					counts         *counts
					method, prefix string
				}{{&first, http.MethodGet, statusPrefix}, {&first, http.MethodPost, issuePrefix}, {&first, http.MethodPost, letterPrefix}, {&added, http.MethodGet, stockPrefix}} {
					k.counts.sent.Add(1)
					if r := c.send(g, k.method, k.prefix, keptKey, 10*time.Second); r.status == http.StatusOK && r.err == nil {
						k.counts.served.Add(1)
					}
				}
			}
		})
	}
	tasks.Wait()
	c.log.say("first routes: %d of %d requests served; added route: %d of %d", first.served.Load(), first.sent.Load(), added.served.Load(), added.sent.Load())
	share := func(k *counts) float64 { return float64(k.served.Load()) / float64(k.sent.Load()) }
	return added.sent.Load() >= 20 && share(&added) < share(&first)/4
}
