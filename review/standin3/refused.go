package main

import (
	"fmt"
	"maps"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	firstPart    = "5c1e07a2:200"
	crashingPart = "91bd3f06:150"
	engineAway   = 2 * time.Second
)

// refusedText: clients of one route, key and first prompt part begin to send a new text. Some of their requests have a
// prompt part that crashes engines, and once, a few seconds later, all engines crash for another reason. Sound requests
// must go on to begin.
func refusedText(c *playedCase) bool {
	const (
		calm        = 10 * time.Second       // the time before the disruption
		length      = 36 * time.Second       // the time for which crashing requests come
		soundGap    = 200 * time.Millisecond // between two sound requests
		crashingGap = 700 * time.Millisecond // between two crashing ones
		otherCrash  = 6 * time.Second        // the time until all engines crash for another reason
	)
	c.store = newStore()
	c.store.put("op", "config", desired(1, "desk", false, keptKey, takenKey))
	var mu sync.Mutex
	var crashes []time.Time
	starts := 0
	running := map[*engine]bool{}
	var back func(e *engine)
	begin := func(e *engine) *engine {
		e.events, e.gap = 100, 50*time.Millisecond
		mu.Lock()
		defer mu.Unlock()
		running[e] = true
		e.crashing = func(r *http.Request) bool {
			if !strings.Contains(r.Header.Get("Bramleygap-Prompt-Prefix"), crashingPart) {
				return false
			}
			mu.Lock()
			defer mu.Unlock()
			if !running[e] {
				return false
			}
			crashes = append(crashes, time.Now())
			back(e)
			return true
		}
		return e
	}
	back = func(e *engine) {
		delete(running, e)
		starts++
		id := fmt.Sprintf("i-again-%d", starts)
		time.AfterFunc(engineAway, func() { begin(e.next(id)) })
	}
	for i, zone := range zones {
		begin(startEngine(c.store, c.log, fmt.Sprintf("i-model-%d", i+1), zone, "drafting", true))
	}
	c.gateways = startGateways(c.store, c.log, c.folder, zones)
	time.Sleep(time.Second)

	letter := func(body, middle string) *message {
		prompt := firstPart
		if middle != "" {
			prompt += "," + middle
		}
		return &message{
			method: http.MethodPost, path: letterPrefix + "2f", key: keptKey, deadline: 20 * time.Second, body: body,
			prompt: fmt.Sprintf("%s,%x:300", prompt, 0xe4402b7d+c.requests.Load()),
		}
	}
	type result struct {
		sent  time.Time
		begun bool
	}
	var results []result
	var tasks sync.WaitGroup
	sound := func(body string, until time.Time) {
		for i := 0; time.Now().Before(until); i++ {
			g := c.gateways[i%len(c.gateways)]
			tasks.Go(func() {
				sent := time.Now()
				r := c.sendMessage(g, "client", letter(body, ""))
				mu.Lock()
				defer mu.Unlock()
				results = append(results, result{sent, r.status == http.StatusOK})
			})
			time.Sleep(soundGap)
		}
	}
	sound("the first text", time.Now().Add(calm))
	changed := time.Now()
	c.log.add("clients send the new text from now on")
	end := changed.Add(length)
	// WITHOUT=part or WITHOUT=other leaves one of the two disruptions out.
	without := os.Getenv("WITHOUT")
	if c.trouble && without != "part" {
		go func() {
			for i := 0; time.Now().Before(end); i++ {
				g := c.gateways[i%len(c.gateways)]
				go c.sendMessage(g, "client with the crashing part", letter("the second text", crashingPart))
				time.Sleep(crashingGap)
			}
		}()
	}
	var other time.Time
	if c.trouble && without != "other" {
		time.AfterFunc(otherCrash, func() {
			mu.Lock()
			defer mu.Unlock()
			other = time.Now()
			for e := range running {
				back(e)
				e.crash("for a reason of its own")
			}
		})
	}
	sound("the second text", end)
	tasks.Wait()
	mu.Lock()
	defer mu.Unlock()
	since := changed
	if n := min(5, len(crashes)); n > 0 {
		since = crashes[n-1]
	}
	if other.After(since) {
		// The rule does not ask for that.
		since = other
	}
	from := since.Add(2 * contact)
	var before, beforeBegun, after, afterBegun int
	for _, r := range results {
		switch {
		case r.sent.Before(changed):
			before++
			if r.begun {
				beforeBegun++
			}
		case r.sent.After(from) && r.sent.Before(end):
			after++
			if r.begun {
				afterBegun++
			}
		}
	}
	for i, at := range crashes {
		c.log.say("crash %d by the part %.2f s after the change of the text", i+1, at.Sub(changed).Seconds())
	}
	c.log.say("sound requests that began: %d of %d before, %d of %d from %.1f s after the change on", beforeBegun, before, afterBegun, after, from.Sub(changed).Seconds())
	for _, g := range c.gateways {
		for _, line := range g.logLines(c.folder, "prompt part", "request that crashed targets", "target crashed") {
			c.log.add("log of %s: %s", g.name, line)
		}
	}
	return before >= 20 && after >= 20 && 2*afterBegun*before < beforeBegun*after
}

// addedText: a route is added whose requests share a text. Twice, some seconds apart, all engines crash and are back.
// Afterwards, its requests must be served like those of the first route.
func addedText(c *playedCase) bool {
	const (
		addedPrefix = "/pufi791/"
		calm        = 8 * time.Second
		soundGap    = 300 * time.Millisecond // between two requests on each route
		judgeAfter  = 15 * time.Second       // the time from the first request on the added route until requests are judged
		length      = 18 * time.Second
	)
	crashAfter := []time.Duration{2 * time.Second, 9 * time.Second}
	c.store = newStore()
	state := desired(1, "desk", false, keptKey, takenKey)
	c.store.put("op", "config", state)
	var mu sync.Mutex
	var engines []*engine
	for i, zone := range zones {
		e := startEngine(c.store, c.log, fmt.Sprintf("i-model-%d", i+1), zone, "drafting", true)
		e.events, e.gap = 100, 50*time.Millisecond
		engines = append(engines, e)
	}
	c.gateways = startGateways(c.store, c.log, c.folder, zones)
	time.Sleep(time.Second)

	type counts struct{ sent, served int }
	var first, added counts
	judging := false
	var tasks sync.WaitGroup
	sound := func(k *counts, prefix, body string, until time.Time) {
		for i := 0; time.Now().Before(until); i++ {
			g := c.gateways[i%len(c.gateways)]
			tasks.Go(func() {
				mu.Lock()
				judged := judging
				mu.Unlock()
				r := c.sendMessage(g, "client", &message{
					method: http.MethodPost, path: prefix + "2f", key: keptKey, deadline: 20 * time.Second, body: body,
					prompt: fmt.Sprintf("%s,%x:300", firstPart, 0xe4402b7d+c.requests.Load()),
				})
				mu.Lock()
				defer mu.Unlock()
				if !judged {
					return
				}
				k.sent++
				if r.status == http.StatusOK && r.err == nil {
					k.served++
				}
			})
			time.Sleep(soundGap)
		}
	}
	begin := time.Now().Add(calm + configApply + time.Second)
	end := begin.Add(judgeAfter + length)
	tasks.Go(func() { sound(&first, letterPrefix, "the first text", end) })
	time.Sleep(calm)
	route := maps.Clone(state["routes"].([]any)[0].(map[string]any))
	route["name"], route["prefix"] = "letter-new", addedPrefix
	state["version"], state["routes"] = 2, append(state["routes"].([]any), route)
	c.store.put("op", "config", state)
	c.log.say("the store confirms version 2 of the desired state, which adds a route")
	time.Sleep(time.Until(begin))
	c.log.add("clients use the added route from now on")
	tasks.Go(func() { sound(&added, addedPrefix, "the text of the added route", end) })
	if c.trouble {
		for n, after := range crashAfter {
			time.AfterFunc(after, func() {
				mu.Lock()
				defer mu.Unlock()
				for i, e := range engines {
					e.crash("as all engines do at this moment")
					id := fmt.Sprintf("i-model-%d-again-%d", i+1, n+1)
					time.AfterFunc(engineAway, func() {
						started := e.next(id)
						mu.Lock()
						defer mu.Unlock()
						engines[i] = started
					})
				}
			})
		}
	}
	time.Sleep(time.Until(begin.Add(judgeAfter)))
	mu.Lock()
	judging = true
	mu.Unlock()
	c.log.add("requests are judged from now on")
	tasks.Wait()
	mu.Lock()
	defer mu.Unlock()
	c.log.say("requests served from %.0f s after the first one on the added route on: first route %d of %d, added route %d of %d",
		judgeAfter.Seconds(), first.served, first.sent, added.served, added.sent)
	for _, g := range c.gateways {
		for _, line := range g.logLines(c.folder, "request that crashed targets", "target crashed") {
			c.log.add("log of %s: %s", g.name, line)
		}
	}
	share := func(k *counts) float64 { return float64(k.served) / float64(max(1, k.sent)) }
	return added.sent >= 20 && share(&added) < share(&first)/4
}
