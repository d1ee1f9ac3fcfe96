package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// cases holds the scripted cases by name. A case reports whether the rule was broken, or an error if it could not run.
var cases = map[string]func(*record, bool) (bool, error){
	"ended-early":       playEndedEarly,
	"crashes-uncounted": playCrashesUncounted,
	"stopped-waiting":   playStoppedWaiting,
	"frozen-crash":      playFrozenCrash,
	"lost-gateways":     playLostGateways,
}

var lastAttempt atomic.Uint64

// newAttempt returns the id of a client attempt.
func newAttempt() string { return fmt.Sprintf("9c41d07be2a4%04x", lastAttempt.Add(1)) }

// answer is what a client gets.
type answer struct {
	status int
	body   []byte
	signed bool
	// err is why the body is incomplete, nil if it is whole.
	err error
}

// send sends a client's request and reads the answer to its end.
func send(client *http.Client, gateway *gateway, method, path, attempt string, header map[string]string) answer {
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("{}")
	}
	request, err := http.NewRequest(method, "http://"+gateway.client+path, body)
	if err != nil {
		return answer{err: err}
	}
	request.Host = host
	request.Header.Set("Bramleygap-Attempt-Id", attempt)
	request.Header.Set("Authorization", "Bearer "+key)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	a := answer{status: response.StatusCode, signed: response.Header.Get("Bramleygap-Response-Signature") != ""}
	a.body, a.err = io.ReadAll(response.Body)
	return a
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 100}}
}

const (
	letterEvents   = 60
	letterInterval = 100 * time.Millisecond
	engineSlots    = 8
	// lettersPerGateway fill the engines, and those beyond them are turned away.
	lettersPerGateway, lettersBeyond = 8, 3
	pauseSeconds                     = 3
)

// playEndedEarly kills an engine that has asked the gateways for a pause, in the middle of its streams.
func playEndedEarly(r *record, trouble bool) (bool, error) {
	d, err := newDeployment(r)
	if err != nil {
		return false, err
	}
	defer d.close()
	d.store.put("op", "config", desiredState())
	for i, zone := range zones {
		e := &engineProcess{
			id: fmt.Sprintf("i-draft-%d", i+1), address: fmt.Sprintf("%s%d:8080", d.network, 10+i), zone: zone, service: drafting, model: model,
			slots: engineSlots, arguments: []string{
				"--events", fmt.Sprint(letterEvents), "--interval", letterInterval.String(), "--unframed", "--retry-after", fmt.Sprint(pauseSeconds),
			},
		}
		if err := d.startEngine(e); err != nil {
			return false, err
		}
		d.engines = append(d.engines, e)
	}
	if err := d.startGateways(); err != nil {
		return false, err
	}
	type letter struct {
		gateway, attempt string
		answer           answer
	}
	var mu sync.Mutex
	var ended []letter
	var clients sync.WaitGroup
	write := func(g *gateway) {
		attempt := newAttempt()
		r.printf("letter %s sent to %s", attempt, g.name)
		clients.Go(func() {
			a := send(newClient(), g, http.MethodPost, letters+"2f", attempt, map[string]string{
				"Bramleygap-Model": model, "Bramleygap-Token-Usage": "1000,400", "Bramleygap-Prompt-Prefix": "5c1e07a2:200," + attempt[8:] + ":800",
				"Bramleygap-Deadline-Ms": "25000",
			})
			mu.Lock()
			defer mu.Unlock()
			r.printf("letter %s: status %d, %d of %d events, complete %v (%v)", attempt, a.status, countEvents(a.body), letterEvents, a.err == nil, a.err)
			ended = append(ended, letter{g.name, attempt, a})
		})
	}
	for range lettersPerGateway {
		for _, g := range d.gateways {
			write(g)
			time.Sleep(20 * time.Millisecond)
		}
	}
	time.Sleep(time.Second)
	for range lettersBeyond {
		for _, g := range d.gateways {
			write(g)
			time.Sleep(20 * time.Millisecond)
		}
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		d.kill(d.engines[0])
	}
	clients.Wait()
	turnedAway := 0
	for _, event := range d.engineEvents() {
		if event.Kind == "rejected" {
			turnedAway++
		}
		r.printf("engine %s: %s %s at %d", event.Engine, event.Kind, event.Attempt, event.UnixMS)
	}
	r.printf("the engines turned %d requests away for %d s", turnedAway, pauseSeconds)
	whole, early := 0, 0
	for _, l := range ended {
		switch events := countEvents(l.answer.body); {
		case l.answer.status != http.StatusOK || l.answer.err != nil:
		case events == letterEvents:
			whole++
		default:
			early++
			r.printf("ORDER: letter %s ended as complete after %d of %d events", l.attempt, events, letterEvents)
		}
	}
	r.printf("%d letters are whole, %d ended as complete before their last event", whole, early)
	if whole == 0 || turnedAway == 0 {
		return false, fmt.Errorf("%w: %d letters are whole, %d requests were turned away", errCannotRun, whole, turnedAway)
	}
	return early > 0, nil
}

func countEvents(body []byte) int { return bytes.Count(body, []byte("\n\n")) }

const (
	crashPath     = statuses + "9f"
	crashInterval = 700 * time.Millisecond
	crashPlay     = 45 * time.Second
	engineAway    = 2 * time.Second
	issueInterval = 25 * time.Millisecond
	issueWork     = 60 * time.Millisecond
	// allowedLate is the number of retries that may reach engines later than contactTime after the third crash.
	allowedLate = 3
)

// playCrashesUncounted sends a request that crashes each engine that runs it. Engines start again under the id that they had.
func playCrashesUncounted(r *record, trouble bool) (bool, error) {
	d, err := newDeployment(r)
	if err != nil {
		return false, err
	}
	defer d.close()
	d.store.put("op", "config", desiredState())
	stop := make(chan struct{})
	var tasks sync.WaitGroup
	for i, zone := range zones {
		e := &engineProcess{
			id: fmt.Sprintf("i-desk-%d", i+1), address: fmt.Sprintf("%s%d:8080", d.network, 10+i), zone: zone, service: desk, slots: 6,
			arguments: []string{"--work", issueWork.String(), "--crash-path", crashPath},
		}
		if err := d.startEngine(e); err != nil {
			return false, err
		}
		d.engines = append(d.engines, e)
		tasks.Go(func() { restartEngine(d, e, stop) })
	}
	defer func() {
		close(stop)
		tasks.Wait()
	}()
	if err := d.startGateways(); err != nil {
		return false, err
	}
	var issued, unknown, refused atomic.Int64
	var clients sync.WaitGroup
	client := newClient()
	end := time.Now().Add(crashPlay)
	clients.Go(func() {
		for i := 0; time.Now().Before(end); i++ {
			g := d.gateways[i%len(d.gateways)]
			clients.Go(func() {
				attempt := newAttempt()
				a := send(client, g, http.MethodPost, issues+fmt.Sprint(i), attempt, map[string]string{"Bramleygap-Deadline-Ms": "1000"})
				r.printf("permit %s at %s: status %d (%v)", attempt, g.name, a.status, a.err)
				switch {
				case a.status == http.StatusOK && a.err == nil:
					issued.Add(1)
				case a.status == http.StatusServiceUnavailable:
					refused.Add(1)
				default:
					unknown.Add(1)
				}
			})
			time.Sleep(issueInterval)
		}
	})
	for i := 0; trouble && time.Now().Before(end); i++ {
		g, attempt := d.gateways[i%len(d.gateways)], newAttempt()
		a := send(client, g, http.MethodGet, crashPath, attempt, map[string]string{"Bramleygap-Deadline-Ms": "1000"})
		r.printf("request %s for %s at %s: status %d", attempt, crashPath, g.name, a.status)
		time.Sleep(crashInterval)
	}
	clients.Wait()
	var crashes []int64
	for _, event := range d.engineEvents() {
		switch event.Kind {
		case "run":
			r.printf("engine %s: run %s at %d", event.Engine, event.Attempt, event.UnixMS)
		case "crash":
			crashes = append(crashes, event.UnixMS)
			r.printf("engine %s crashed by %s at %d", event.Engine, event.Attempt, event.UnixMS)
		}
	}
	slices.Sort(crashes)
	late := 0
	for i, at := range crashes {
		if i >= 3 && at > crashes[2]+contactTime.Milliseconds() {
			late++
			r.printf("crash %d came %d ms after the third", i+1, at-crashes[2])
		}
	}
	r.printf("permits: %d issued, %d refused as not run, %d of unknown outcome", issued.Load(), refused.Load(), unknown.Load())
	r.printf("%d crashes, %d of them later than %d ms after the third; %d are allowed", len(crashes), late, contactTime.Milliseconds(), allowedLate)
	if issued.Load() == 0 || trouble && len(crashes) < 3 {
		return false, fmt.Errorf("%w: %d permits issued, %d crashes", errCannotRun, issued.Load(), len(crashes))
	}
	return late > allowedLate, nil
}

// restartEngine starts an engine again, engineAway after it has ended, under the id that it had.
func restartEngine(d *deployment, e *engineProcess, stop <-chan struct{}) {
	for {
		select {
		case <-e.exited:
		case <-stop:
			return
		}
		select {
		case <-time.After(engineAway):
		case <-stop:
			return
		}
		if err := d.startEngine(e); err != nil {
			d.record.printf("engine %s did not start again: %v", e.id, err)
			return
		}
	}
}
