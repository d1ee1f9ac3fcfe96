package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// freezeTime is the time for which a gateway stands still, and crashAfter and crashedFor say when an engine is killed
	// meanwhile and for how long it is away.
	freezeTime = 4 * time.Second
	crashAfter = 500 * time.Millisecond
	crashedFor = 2 * time.Second
	// frozenLetters is the number of streams that run when the gateway freezes.
	frozenLetters = 9
)

// playFrozenCrash kills an engine, and starts it again, while a gateway that relays its streams stands still.
func playFrozenCrash(r *record, trouble bool) (bool, error) {
	d, err := newDeployment(r)
	if err != nil {
		return false, err
	}
	defer d.close()
	state := desiredState()
	state["routes"].([]any)[0].(map[string]any)["streamResume"] = true
	d.store.put("op", "config", state)
	for i, zone := range zones {
		e := &engineProcess{
			id: fmt.Sprintf("i-draft-%d", i+1), address: fmt.Sprintf("%s%d:8080", d.network, 10+i), zone: zone, service: drafting, model: model,
			slots: 64, arguments: []string{"--events", fmt.Sprint(storyEvents), "--interval", storyInterval.String(), "--unframed"},
		}
		if err := d.startEngine(e); err != nil {
			return false, err
		}
		d.engines = append(d.engines, e)
	}
	if err := d.startGateways(); err != nil {
		return false, err
	}
	g := d.gateways[0]
	var mu sync.Mutex
	whole, early := 0, 0
	var clients sync.WaitGroup
	for range frozenLetters {
		attempt := newAttempt()
		r.printf("letter %s sent to %s", attempt, g.name)
		clients.Go(func() {
			a := send(newClient(), g, http.MethodPost, letters+"2f", attempt, map[string]string{
				"Bramleygap-Model": model, "Bramleygap-Token-Usage": "1000,900", "Bramleygap-Prompt-Prefix": "5c1e07a2:200," + attempt[8:] + ":800",
				"Bramleygap-Deadline-Ms": "25000",
			})
			events := countEvents(a.body)
			r.printf("letter %s: status %d, %d of %d events, complete %v (%v)", attempt, a.status, events, storyEvents, a.err == nil, a.err)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.status != http.StatusOK || a.err != nil:
			case events == storyEvents:
				whole++
			default:
				early++
				r.printf("ORDER: letter %s ended as complete after %d of %d events", attempt, events, storyEvents)
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	if trouble {
		if err := d.freeze(g); err != nil {
			return false, err
		}
	}
	clients.Wait()
	for _, event := range d.engineEvents() {
		r.printf("engine %s: %s %s at %d", event.Engine, event.Kind, event.Attempt, event.UnixMS)
	}
	r.printf("%d letters are whole, %d ended as complete before their last event", whole, early)
	if whole+early == 0 {
		return false, fmt.Errorf("%w: no letter ended as complete", errCannotRun)
	}
	return early > 0, nil
}

// freeze stops a gateway for freezeTime, kills the first engine meanwhile and starts it again, under a new id.
func (d *deployment) freeze(g *gateway) error {
	d.record.printf("SIGSTOP to %s", g.name)
	if err := g.command.Process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	woken := time.Now().Add(freezeTime)
	time.Sleep(crashAfter)
	e := d.engines[0]
	d.kill(e)
	<-e.exited
	time.Sleep(crashedFor)
	d.store.remove("servers", e.id)
	e.id += "-b"
	if err := d.startEngine(e); err != nil {
		return err
	}
	time.Sleep(time.Until(woken))
	d.record.printf("SIGCONT to %s", g.name)
	return g.command.Process.Signal(syscall.SIGCONT)
}
