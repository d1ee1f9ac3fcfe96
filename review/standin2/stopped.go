package main

import (
	"fmt"
	"maps"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	urgent = "/wiju404/"
	// storyTokens is the size of a letter: ten of them fill an engine's memory of 55,000 tokens.
	storyTokens = "5000,600"
	// Letters come at a steady rate, one each letterGap: fillingLetters fill the engines, and waitingLetters come after that
	// to each gateway when it is stopping.
	fillingLetters = 36
	waitingLetters = 36
	letterGap      = 33 * time.Millisecond
	storyEvents    = 150
	storyInterval  = 100 * time.Millisecond
	graceTime      = 8 * time.Second
	// stopGap is the time between the stops of two gateways.
	stopGap = 1300 * time.Millisecond
)

// rankedState returns a desired state in which two kinds of letters compete for the engines, as on the sheet of Andina.
func rankedState() map[string]any {
	state := desiredState()
	routes := state["routes"].([]any)
	letter := maps.Clone(routes[0].(map[string]any))
	letter["targetLatencyMs"], letter["priority"], letter["streamResume"] = 10000, 2, true
	first := maps.Clone(letter)
	first["name"], first["prefix"], first["targetLatencyMs"], first["priority"] = "r-urgent", urgent, 4000, 0
	state["routes"] = append([]any{letter, first}, routes[1:]...)
	return state
}

// playStoppedWaiting stops the gateways in turn with SIGTERM while streams wait there for room at the engines.
func playStoppedWaiting(r *record, trouble bool) (bool, error) {
	d, err := newDeployment(r)
	if err != nil {
		return false, err
	}
	defer d.close()
	d.store.put("op", "config", rankedState())
	for i, zone := range zones {
		e := &engineProcess{
			id: fmt.Sprintf("i-draft-%d", i+1), address: fmt.Sprintf("%s%d:8080", d.network, 10+i), zone: zone, service: drafting, model: model,
			slots: 64, arguments: []string{"--events", fmt.Sprint(storyEvents), "--interval", storyInterval.String()},
		}
		if err := d.startEngine(e); err != nil {
			return false, err
		}
	}
	if err := d.startGateways(); err != nil {
		return false, err
	}
	type letter struct {
		attempt, gateway string
		sent             time.Time
		took             time.Duration
		answer           answer
	}
	var mu sync.Mutex
	var waited []letter
	var clients sync.WaitGroup
	write := func(g *gateway, observed bool) {
		l := letter{attempt: newAttempt(), gateway: g.name, sent: time.Now()}
		r.printf("letter %s sent to %s", l.attempt, g.name)
		clients.Go(func() {
			l.answer = send(newClient(), g, http.MethodPost, letters+"2f", l.attempt, map[string]string{
				"Bramleygap-Model": model, "Bramleygap-Token-Usage": storyTokens, "Bramleygap-Prompt-Prefix": "5c1e07a2:200," + l.attempt[8:] + ":4800",
				"Bramleygap-Deadline-Ms": "25000",
			})
			l.took = time.Since(l.sent)
			r.printf("letter %s: status %d, %d events after %d ms (%v)", l.attempt, l.answer.status, countEvents(l.answer.body), l.took.Milliseconds(), l.answer.err)
			mu.Lock()
			defer mu.Unlock()
			if observed {
				waited = append(waited, l)
			}
		})
	}
	for i := range fillingLetters {
		write(d.gateways[i%len(d.gateways)], false)
		time.Sleep(letterGap)
	}
	stopped := map[string]time.Time{}
	for _, g := range d.gateways {
		stopped[g.name] = time.Now()
		if trouble {
			r.printf("SIGTERM to %s", g.name)
			if err := g.command.Process.Signal(syscall.SIGTERM); err != nil {
				return false, err
			}
		}
		for range waitingLetters {
			time.Sleep(letterGap)
			write(g, true)
		}
		time.Sleep(time.Until(stopped[g.name].Add(stopGap)))
	}
	clients.Wait()
	ran := map[string]bool{}
	for _, event := range d.engineEvents() {
		if event.Kind == "run" {
			ran[event.Attempt] = true
		}
	}
	r.printf("%d letters were run by engines", len(ran))
	lost, answered := 0, 0
	for _, l := range waited {
		sent := l.sent.Sub(stopped[l.gateway])
		switch {
		case l.answer.status != 0 && l.answer.err == nil:
			answered++
		case !ran[l.attempt] && sent+l.took < graceTime+time.Second:
			lost++
			r.printf("LOST: letter %s was sent %d ms after the SIGTERM, was not run, and its channel ended without an answer after %d ms (%v)",
				l.attempt, sent.Milliseconds(), l.took.Milliseconds(), l.answer.err)
		}
	}
	r.printf("of %d letters that came while the engines were full, %d got an answer, %d were lost", len(waited), answered, lost)
	if len(ran) == 0 {
		return false, fmt.Errorf("%w: no letter was run", errCannotRun)
	}
	return lost > 0, nil
}
