package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"
)

func init() {
	cases["foreign-memory"] = foreignMemory
	cases["moved-route"] = movedRoute
	cases["cut-stream"] = cutStream
	cases["empty-resumption"] = emptyResumption
	cases["shared-text"] = sharedText
	cases["crashed-once"] = crashedOnce
}

var zones = []string{"otaru-port", "otaru-hill", "yoichi-backup"}

const letters = "/lohu930/"

// startLetters starts a store, three model engines and gateways, for one streaming route.
func (t *testbed) startLetters(gateways int, flags ...string) error {
	if err := t.startStore(); err != nil {
		return err
	}
	if _, err := t.configure(1, []route{{letters, "huvo11a", "streaming"}}, "huvo11a"); err != nil {
		return err
	}
	for _, zone := range zones {
		if err := t.startEngine("i-"+zone, "", zone, "huvo11a", flags...); err != nil {
			return err
		}
	}
	return t.startGateways(zones[:gateways]...)
}

// foreignMemory: two clients of a tenant send the same text in two sessions, whose prompts differ, at two
// gateways. That of the first one is killed, and the client resumes at the other.
func foreignMemory(t *testbed, trouble bool) (bool, error) {
	if err := t.startLetters(2); err != nil {
		return false, err
	}
	const shared = "5c1e07a2:200,"
	first := &generation{name: "first", path: letters + "2f", prompt: shared + "91bd3f06:800", tokens: 1000, body: "Please draft the letter."}
	second := &generation{name: "second", path: letters + "2f", prompt: shared + "e4402b7d:900", tokens: 1100, body: "Please draft the letter."}
	t.generate(first, t.gateways, nil)
	if err := first.awaitStart(); err != nil {
		return false, err
	}
	t.generate(second, t.gateways[1:], nil)
	if err := second.awaitStart(); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	if trouble {
		t.kill(t.gateways[0].process)
	}
	if err := errors.Join(first.wait(), second.wait()); err != nil {
		return false, err
	}
	broken := false
	for _, g := range []*generation{first, second} {
		for _, attempt := range g.attempts {
			for _, run := range t.runsOf("run", attempt) {
				if run.From != "" && !slices.Contains(g.attempts, run.From) {
					t.note("MIXED: attempt %s of client %s went on at %s from the memory of attempt %s, of another client", attempt, g.name, run.Engine, run.From)
					broken = true
				}
			}
		}
		foreign := 0
		for _, event := range g.events {
			if !strings.HasPrefix(event, topicOf(g.prompt)+" ") {
				foreign++
			}
		}
		t.note("client %s: %d events, %d of them about another prompt, complete %v", g.name, len(g.events), foreign, g.complete)
	}
	return broken, nil
}

// movedRoute: the desired state moves a route to another service while a generation runs. Its gateway is
// killed after the change is in force, and the client resumes at the other one.
func movedRoute(t *testbed, trouble bool) (bool, error) {
	if err := t.startStore(); err != nil {
		return false, err
	}
	if _, err := t.configure(1, []route{{letters, "huvo11a", "streaming"}}, "huvo11a", "zigo56b"); err != nil {
		return false, err
	}
	for _, service := range []string{"huvo11a", "zigo56b"} {
		for _, zone := range zones {
			if err := t.startEngine("i-"+service+"-"+zone, "", zone, service); err != nil {
				return false, err
			}
		}
	}
	if err := t.startGateways(zones[:2]...); err != nil {
		return false, err
	}
	letter := &generation{name: "letter", path: letters + "2f", prompt: "5c1e07a2:200,91bd3f06:800", tokens: 1000, body: "Please draft the letter."}
	t.generate(letter, t.gateways, nil)
	if err := letter.awaitStart(); err != nil {
		return false, err
	}
	confirmed, err := t.configure(2, []route{{letters, "zigo56b", "streaming"}}, "huvo11a", "zigo56b")
	if err != nil {
		return false, err
	}
	time.Sleep(configApply + 800*time.Millisecond)
	// A request that is sent now is handled by the new desired state.
	control := &generation{name: "control", path: letters + "3a", prompt: "5c1e07a2:200,e4402b7d:100", tokens: 300, body: "Please draft another letter."}
	t.generate(control, t.gateways[1:], nil)
	if err := control.awaitStart(); err != nil {
		return false, err
	}
	if trouble {
		t.kill(t.gateways[0].process)
	}
	if err := errors.Join(letter.wait(), control.wait()); err != nil {
		return false, err
	}
	broken := false
	for _, g := range []*generation{letter, control} {
		for _, attempt := range g.attempts {
			late := g.sentAt[attempt].Sub(confirmed)
			for _, run := range t.runsOf("run", attempt) {
				t.note("attempt %s of client %s, sent %v after the change was confirmed, was run by service %s", attempt, g.name, late.Round(time.Millisecond), run.Service)
				if late > configApply && run.Service == "huvo11a" {
					t.note("CONFIG: the old service ran it")
					broken = true
				}
			}
		}
	}
	return broken, nil
}

// generationEvents is the number of events of a whole generation.
const generationEvents = 100

// judgeOrder reports whether a response ended as complete before its last event.
func (t *testbed) judgeOrder(g *generation) bool {
	t.note("client %s: %d of %d events, complete %v", g.name, len(g.events), generationEvents, g.complete)
	if g.complete && len(g.events) < generationEvents {
		t.note("ORDER: the stream ended as complete before its last event")
		return true
	}
	return false
}

// cutStream: an engine whose answers end with their channel is killed in the middle of a generation.
func cutStream(t *testbed, trouble bool) (bool, error) {
	if err := t.startLetters(1, "--unframed"); err != nil {
		return false, err
	}
	letter := &generation{name: "letter", path: letters + "2f", prompt: "5c1e07a2:200,91bd3f06:800", tokens: 1000, body: "Please draft the letter."}
	reached := make(chan struct{})
	t.generate(letter, []*gateway{t.gateways[0], t.gateways[0]}, func(n int) {
		if n == 30 {
			close(reached)
		}
	})
	select {
	case <-reached:
	case <-time.After(20 * time.Second):
		return false, errors.New("the generation did not reach event 30")
	}
	if trouble {
		t.kill(t.engineNamed(t.lastRun(letter).Engine))
	}
	if err := letter.wait(); err != nil {
		return false, err
	}
	return t.judgeOrder(letter), nil
}

// emptyResumption: the engine of a generation is killed, and so is the one at which the generation is
// resumed, while it reads the prompt again.
func emptyResumption(t *testbed, trouble bool) (bool, error) {
	if err := t.startLetters(1, "--unframed-resumed", "--room=false"); err != nil {
		return false, err
	}
	letter := &generation{name: "letter", path: letters + "2f", prompt: "5c1e07a2:200,91bd3f06:4800", tokens: 5000, body: "Please draft the letter."}
	reached := make(chan struct{})
	t.generate(letter, []*gateway{t.gateways[0], t.gateways[0]}, func(n int) {
		if n == 30 {
			close(reached)
		}
	})
	select {
	case <-reached:
	case <-time.After(20 * time.Second):
		return false, errors.New("the generation did not reach event 30")
	}
	if trouble {
		t.kill(t.engineNamed(t.lastRun(letter).Engine))
		if err := await("resumption", func() bool { return t.lastRun(letter).After > 0 }); err != nil {
			return false, err
		}
		// The engine reads the prompt for a second before its first event.
		time.Sleep(400 * time.Millisecond)
		t.kill(t.engineNamed(t.lastRun(letter).Engine))
	}
	if err := letter.wait(); err != nil {
		return false, err
	}
	return t.judgeOrder(letter), nil
}

// lastRun returns the last run of a client's first attempt.
func (t *testbed) lastRun(g *generation) logged {
	runs := t.runsOf("run", g.attempts[0])
	return runs[len(runs)-1]
}

const (
	// contact is the bound contactMs of the deployment.
	contact = 3 * time.Second
	// calm is how long only sound requests come, and poisoned how long others come besides.
	calm     = 10 * time.Second
	poisoned = 30 * time.Second
	// soundEvery and poisonedEvery are the times between two requests.
	soundEvery    = 250 * time.Millisecond
	poisonedEvery = 700 * time.Millisecond
	// engineRestart is how long an engine that has crashed is away.
	engineRestart = 2 * time.Second
	// minCompared is the least number of sound requests of each period that the rule compares.
	minCompared = 20
	crashPart   = "bad0bad0"
	firstPart   = "5c1e07a2"
)

// sharedText: clients of a tenant send generations with the same text in many sessions. One part of some
// prompts crashes each engine that begins to write an answer on it.
func sharedText(t *testbed, trouble bool) (bool, error) {
	flags := []string{"--events=30", "--interval=20ms", "--crash-part=" + crashPart}
	if err := t.startLetters(2, flags...); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	defer close(stop)
	for _, zone := range zones {
		go t.keepRunning(t.engineNamed("i-"+zone), zone, stop, flags)
	}
	var sound, bad []*generation
	begun := time.Now()
	nextSound, nextBad := begun, begun.Add(calm)
	for time.Since(begun) < calm+poisoned {
		now := time.Now()
		if !now.Before(nextSound) {
			nextSound = nextSound.Add(soundEvery)
			g := &generation{name: fmt.Sprint("sound-", len(sound)), path: letters + "2f", prompt: fmt.Sprintf("%s:100,%08x:100", firstPart, 0x10000+len(sound)), tokens: 200, body: sharedBody(len(sound))}
			sound = append(sound, g)
			t.generate(g, t.from(len(sound)), nil)
		}
		if trouble && !now.Before(nextBad) {
			nextBad = nextBad.Add(poisonedEvery)
			g := &generation{name: fmt.Sprint("poisoned-", len(bad)), path: letters + "2f", prompt: fmt.Sprintf("%s:100,%s:50,%08x:50", firstPart, crashPart, 0x20000+len(bad)), tokens: 200, body: sharedBody(len(bad))}
			bad = append(bad, g)
			t.generate(g, t.from(len(bad))[:1], nil)
		}
		time.Sleep(10 * time.Millisecond)
	}
	for _, g := range append(sound, bad...) {
		if err := g.wait(); err != nil {
			return false, err
		}
	}
	return t.judgeLost(sound, bad, begun)
}

func sharedBody(int) string { return "Please draft the letter." }

// from returns the gateways in turn.
func (t *testbed) from(n int) []*gateway {
	i := n % len(t.gateways)
	return append(slices.Clone(t.gateways[i:]), t.gateways[:i]...)
}

// keepRunning starts an engine again whenever it has ended, with a new id.
func (t *testbed) keepRunning(p *process, zone string, stop <-chan struct{}, flags []string) {
	for n := 2; ; n++ {
		select {
		case <-stop:
			return
		case <-p.exited:
		}
		time.Sleep(engineRestart)
		select {
		case <-stop:
			return
		default:
		}
		if err := t.removeRow("servers", p.name); err != nil {
			t.note("registration of %s not removed: %v", p.name, err)
		}
		id := fmt.Sprintf("i-%s-%d", zone, n)
		if err := t.startEngine(id, p.address, zone, p.service, flags...); err != nil {
			t.note("%s not started: %v", id, err)
			return
		}
		p = t.engineNamed(id)
	}
}

// judgeLost applies the rule on sound requests beside ones that crash engines.
func (t *testbed) judgeLost(sound, bad []*generation, begun time.Time) (bool, error) {
	var crashes []time.Time
	t.mu.Lock()
	for _, l := range t.runs {
		if l.Kind == "crash" {
			crashes = append(crashes, time.UnixMilli(l.AtMS))
		}
	}
	t.mu.Unlock()
	calmEnd, from := begun.Add(calm), begun.Add(calm+2*contact)
	if len(crashes) > 0 {
		from = crashes[min(len(crashes), 5)-1].Add(2 * contact)
	}
	var before, after share
	for _, g := range sound {
		switch at := g.sentAt[g.attempts[0]]; {
		case at.Before(calmEnd.Add(-time.Second)):
			before.add(g.begun)
		case at.After(from):
			after.add(g.begun)
		}
	}
	t.note("%d requests with the part, %d crashes; sound requests that began at the first attempt: %d of %d before, %d of %d later than 2 x contactMs after the crashes",
		len(bad), len(crashes), before.hits, before.all, after.hits, after.all)
	if before.all < minCompared || after.all < minCompared {
		return false, errors.New("too few requests to compare")
	}
	if broken := 2*after.hits*before.all < before.hits*after.all; broken {
		t.note("LOST: less than half as often as before")
		return true, nil
	}
	return false, nil
}

type share struct{ hits, all int }

func (s *share) add(hit bool) {
	s.all++
	if hit {
		s.hits++
	}
}

const (
	lookups = "/puxa403/"
	board   = "/pule252/"
	// lookupEvery is the time between two requests of a route, and callTime that which one takes.
	lookupEvery = 17 * time.Millisecond
	callTime    = 90 * time.Millisecond
	// crashAfter is when the engines crash, and steadyAfter when that is over; both count from the first
	// request, as does lookupTime, the end.
	crashAfter  = 8 * time.Second
	steadyAfter = crashAfter + engineRestart + 2*contact
	lookupTime  = 30 * time.Second
)

// crashedOnce: a route that was added later shows one resource, which many clients of a tenant read. The
// engines of its service crash once, all at the same moment, and are back after two seconds.
func crashedOnce(t *testbed, trouble bool) (bool, error) {
	if err := t.startStore(); err != nil {
		return false, err
	}
	first := route{lookups, desk, "idempotent"}
	if _, err := t.configure(1, []route{first}, desk); err != nil {
		return false, err
	}
	flags := []string{"--work=" + callTime.String()}
	stop := make(chan struct{})
	defer close(stop)
	for _, zone := range zones {
		if err := t.startEngine("i-"+zone, "", zone, desk, flags...); err != nil {
			return false, err
		}
		go t.keepRunning(t.engineNamed("i-"+zone), zone, stop, flags)
	}
	if err := t.startGateways(zones...); err != nil {
		return false, err
	}
	if _, err := t.configure(2, []route{first, {board, desk, "idempotent"}}, desk); err != nil {
		return false, err
	}
	time.Sleep(configApply + time.Second)
	engines := []*process{t.engineNamed("i-" + zones[0]), t.engineNamed("i-" + zones[1]), t.engineNamed("i-" + zones[2])}
	results := make(chan call, 4*int(lookupTime/lookupEvery))
	sent, crashed := 0, false
	for begun := time.Now(); time.Since(begun) < lookupTime; time.Sleep(lookupEvery) {
		at := time.Since(begun)
		if trouble && !crashed && at >= crashAfter {
			crashed = true
			for _, p := range engines {
				go t.kill(p)
			}
		}
		for _, path := range []string{fmt.Sprint(lookups, sent), board + "2f"} {
			sent++
			go t.lookup(t.gateways[sent/2%len(t.gateways)], path, sent, at, results)
		}
	}
	var before, after [2]share
	for range sent {
		c := <-results
		i := 0
		if strings.HasPrefix(c.path, board) {
			i = 1
		}
		switch {
		case c.at < crashAfter-time.Second:
			before[i].add(c.status == http.StatusOK)
		case c.at >= steadyAfter:
			after[i].add(c.status == http.StatusOK)
		}
	}
	t.note("served before the crash: %d of %d on the first route, %d of %d on the later one", before[0].hits, before[0].all, before[1].hits, before[1].all)
	t.note("served in steady state after it: %d of %d on the first route, %d of %d on the later one", after[0].hits, after[0].all, after[1].hits, after[1].all)
	if after[1].all < minCompared {
		return false, errors.New("too few requests to compare")
	}
	if 4*after[1].hits*after[0].all < after[0].hits*after[1].all {
		t.note("CONFIG: requests on the later route are served less than a quarter as often")
		return true, nil
	}
	return false, nil
}

// call is a short request of a client and the status of its answer, 0 for none.
type call struct {
	path   string
	at     time.Duration
	status int
}

// lookup makes one call, without retries.
func (t *testbed) lookup(g *gateway, path string, number int, at time.Duration, results chan<- call) {
	c := call{path: path, at: at}
	defer func() { results <- c }()
	request, err := http.NewRequest(http.MethodGet, "http://"+g.address+path, nil)
	if err != nil {
		return
	}
	request.Host = clientHost
	request.Header.Set(headerAttempt, fmt.Sprintf("5c41d07b%08x", number))
	request.Header.Set(headerDeadline, "1000")
	request.Header.Set("Authorization", "Bearer "+clientKey)
	response, err := lookupClient.Do(request)
	if err != nil {
		t.note("%s at %s: %v", path, g.name, err)
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	c.status = response.StatusCode
	if c.status != http.StatusOK || number%200 < 2 {
		t.note("%s at %s: %d", path, g.name, c.status)
	}
}

var lookupClient = &http.Client{Timeout: 3 * time.Second}
