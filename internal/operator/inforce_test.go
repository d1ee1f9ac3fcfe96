package operator

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"bramleygap/internal/core/replica"
	"bramleygap/internal/gateway"
	"bramleygap/internal/obs"
	"bramleygap/internal/platform/platformtest"
	"bramleygap/internal/rpc"
	"bramleygap/internal/settings"
	"bramleygap/internal/wire"
	"bramleygap/platform"
)

// configStore is a store with a desired state and nothing else.
type configStore struct{ text string }

func (s configStore) Snapshot(_ context.Context, table gateway.Table) (gateway.Snapshot, error) {
	if table != gateway.TableConfig {
		return gateway.Snapshot{Version: replica.Version{Revision: 1}}, nil
	}
	return gateway.Snapshot{Rows: []replica.Row{{Key: "config", Value: []byte(s.text), Revision: 1}}, Version: replica.Version{Revision: 1}}, nil
}

func (configStore) Changes(ctx context.Context, _ gateway.Table, after replica.Version, wait time.Duration) ([]replica.Change, replica.Version, error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return nil, after, ctx.Err()
}

func (configStore) Commit(context.Context, []gateway.Write) (gateway.Committed, error) {
	return gateway.Committed{}, nil
}

// startGateway starts a gateway with a desired state and returns the address of its administration listener. Its port is
// outside the range of ephemeral ones, which an outgoing connection could take before the gateway listens.
func startGateway(t *testing.T, desiredState string) string {
	address := ""
	for i := 0; address == ""; i++ {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 9000+(os.Getpid()*7+i)%1000))
		if err == nil {
			address = listener.Addr().String()
			qt.Assert(t, listener.Close(), qt.IsNil)
		}
	}
	const anyPort = "127.0.0.1:0"
	ctx, cancel := context.WithCancel(context.Background())
	var ended error
	done := make(chan struct{})
	go func() {
		defer close(done)
		ended = gateway.Run(ctx, gateway.Options{
			Settings: settings.Gateway{Name: "g1", Zone: "a", ClientListen: anyPort, ReadinessListen: anyPort, PeerListen: anyPort, AdminListen: address},
			Protocol: platform.Protocol{}, Store: configStore{desiredState}, Logger: zerolog.Nop(), Registerer: obs.NewRegistry(),
		})
	}()
	t.Cleanup(func() { cancel(); <-done })
	for {
		response, err := http.Get("http://" + address + "/readyz")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return address
			}
		}
		select {
		case <-done:
			t.Fatalf("gateway ended: %v", ended)
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func writeFile(t *testing.T, name, text string) string {
	path := filepath.Join(t.TempDir(), name)
	qt.Assert(t, os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	return path
}

// Guards against differences from a live gateway that are not those from a file, against keys that count as changed
// because one side has digests, against keys that are sent or shown, and against a report without the version.
func TestAgainstLiveGateway(t *testing.T) {
	c := qt.New(t)
	const text = `{"version":7,"routes":[{"name":"r","host":"h","prefix":"/","kind":"idempotent","timeoutMs":2000,"service":"s"}],
"services":[{"name":"s"}],"tenants":[{"name":"t","apiKeys":["first-secret","second-secret"]}]}`
	address := startGateway(t, text)
	response, err := http.Get("http://" + address + gateway.DesiredStatePath)
	c.Assert(err, qt.IsNil)
	body, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	c.Check(response.Body.Close(), qt.IsNil)
	c.Check(string(body), qt.Not(qt.Contains), "secret")

	same := writeFile(t, "same.json", text)
	out, err := check(CheckOptions{Files: []string{same}, Against: address})
	c.Check(err, qt.IsNil)
	c.Check(out, qt.Matches, `127.*: compared with version 7 of the desired state, in use at gateway "g1" and confirmed by the store \d\.\d s ago\n.*: no difference from the version in force\n.*\n`)

	changed := writeFile(t, "changed.json", strings.NewReplacer("second-secret", "third-secret", "2000", "3000").Replace(text))
	live, err := check(CheckOptions{Files: []string{changed}, Against: address})
	c.Check(err, qt.IsNil)
	file, _ := check(CheckOptions{Files: []string{changed}, Against: same})
	c.Check(live[strings.Index(live, "\n")+1:], qt.Equals, file)
	c.Check(live, qt.Matches, `(?s).*account "t" loses 1 keys, .* and gets 1 .*timeout 2s -> 3s.*`)
	asJSON, _ := check(CheckOptions{Files: []string{changed}, Against: address, JSON: true})
	c.Check(asJSON, qt.Matches, `(?s).*"against": \[.*"address": "127.*"version": 7,\s+"gateway": "g1",\s+"confirmed": true,\s+"confirmed_age_ms": .*`)
	c.Check(live+asJSON, qt.Not(qt.Contains), "secret")

	out, err = check(CheckOptions{Files: []string{"testdata/check/valid.toml"}, Against: address})
	c.Check(err, qt.Equals, ErrInvalid)
	c.Check(out, qt.Matches, `.*cannot be compared with 127.*: no entry answers .*\n`)
}

// Guards against differences from a live entry that are not those from a file, and against a report without the
// revision or without the store's outage.
func TestAgainstLiveEntry(t *testing.T) {
	c := qt.New(t)
	table := platformtest.NewTable()
	address := startEntry(t, table, nil)
	file := writeConfig(t, configText)
	out, err := check(CheckOptions{Files: []string{file}, Against: address})
	c.Check(err, qt.Equals, ErrInvalid)
	c.Check(out, qt.Contains, "cannot be compared with "+address+": the entry has no operator configuration (error C109)")

	ann := Options{Entries: []string{address}, Operator: "ann", Timeout: time.Hour}
	c.Assert(Apply(context.Background(), ann, Change{File: file, ID: "one"}, io.Discard), qt.IsNil)
	out, err = check(CheckOptions{Files: []string{file}, Against: address})
	c.Check(err, qt.IsNil)
	c.Check(out, qt.Matches, `(?s)127[^\n]*: compared with revision 1 by "ann" \(change "one"\) of the operator configuration\n.*: no difference .*`)
	table.SetDown(true)
	for !strings.Contains(out, "the entry does NOT reach the table service") {
		out, err = check(CheckOptions{Files: []string{writeConfig(t, strings.Replace(configText, "50", "60", 1))}, Against: address})
		c.Assert(err, qt.IsNil)
	}
	c.Check(out, qt.Contains, `member "m" in the pool changes from 50% to 60%`)
}

// endless writes until the client closes the connection.
func endless(w http.ResponseWriter, part string, pause time.Duration) {
	for {
		if _, err := io.WriteString(w, part); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		time.Sleep(pause)
	}
}

// Guards, for desired states, against a check that does not end, takes unbounded memory, passes, or shows what it
// should not, because of a server that answers nothing, endlessly, in part, or something else.
func TestAgainstWrongGateway(t *testing.T) {
	const text = `{"version":1}`
	// The answer to any other path is that of a gateway.
	asGateway := func(w http.ResponseWriter, status int, body string) {
		w.Header().Set(gateway.GatewayHeader, "g")
		w.Header().Set(gateway.VersionHeader, "1")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
	for name, test := range map[string]struct {
		answer http.HandlerFunc
		want   string
	}{
		"no answer": {func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, "no complete answer within 500ms"},
		"slow":      {func(w http.ResponseWriter, _ *http.Request) { endless(w, " ", 10*time.Millisecond) }, "no complete answer within 500ms"},
		"endless":   {func(w http.ResponseWriter, _ *http.Request) { endless(w, strings.Repeat(" ", 1<<20), 0) }, "the answer is larger than 10 MB"},
		"endless header": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Long", strings.Repeat("x", 1<<20))
		}, "no gateway answers: .*exceeded.*"},
		"truncated": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			asGateway(w, http.StatusOK, text)
		}, "the answer is truncated after 13 bytes"},
		"cut JSON":   {func(w http.ResponseWriter, _ *http.Request) { asGateway(w, http.StatusOK, text[:5]) }, "not valid JSON: the text ends within a value.*"},
		"other JSON": {func(w http.ResponseWriter, _ *http.Request) { asGateway(w, http.StatusOK, "[1]") }, "has the wrong type; write an object.*"},
		"with errors": {func(w http.ResponseWriter, _ *http.Request) {
			asGateway(w, http.StatusOK, `{"routes":[{"name":"r","prefix":"/","kind":"streaming","service":"s"}]}`)
		}, `routes\[0\].service: route "r" leads to service "s".*`},
		"many keys": {func(w http.ResponseWriter, _ *http.Request) {
			asGateway(w, http.StatusOK, "{"+strings.Repeat(`"a":1,`, 1<<20)+`"a":1}`)
		}, "the objects have more than 200000 keys.*"},
		"web page":  {func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "<html>secret") }, `the server is no gateway .*\(status 200, content type "text/html; .*`},
		"redirect":  {func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, "/other", http.StatusFound) }, `the server is no gateway .*\(status 302.*`},
		"not ready": {func(w http.ResponseWriter, _ *http.Request) { asGateway(w, http.StatusServiceUnavailable, "\x1b[2J") }, `the gateway answers with status 503: "\\x1b\[2J"`},
		"busy":      {func(w http.ResponseWriter, _ *http.Request) { asGateway(w, http.StatusTooManyRequests, "") }, "the gateway answers other requests.*"},
		"no version": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(gateway.GatewayHeader, "g")
			_, _ = io.WriteString(w, text)
		}, "the answer states no version"},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(test.answer)
			defer server.Close()
			address := server.Listener.Addr().String()
			checkWrongServer(t, writeFile(t, "a.json", text), address, test.want)
		})
	}
	t.Run("HTTP/2", func(t *testing.T) {
		checkWrongServer(t, writeFile(t, "a.json", text), startEntry(t, platformtest.NewTable(), nil), "no gateway answers: .*")
	})
}

// checkWrongServer checks a file against a server that does not answer as it should.
func checkWrongServer(t *testing.T, file, address, want string) {
	start := time.Now()
	out, err := check(CheckOptions{Files: []string{file}, Against: address, answerTimeout: 500 * time.Millisecond})
	// A limit that does not hold makes the test run until its own.
	qt.Check(t, time.Since(start) < time.Minute, qt.IsTrue)
	qt.Check(t, err, qt.Equals, ErrInvalid)
	qt.Check(t, out, qt.Matches, `[^\n]*: cannot be compared with `+address+`: `+want+` \(error C109\)\n`)
	qt.Check(t, out, qt.Not(qt.Contains), "secret")
}

// operatorStub answers Status with a given response.
type operatorStub struct {
	wire.UnimplementedOperatorServer
	status func(context.Context) *wire.StatusResponse
}

func (s operatorStub) Status(ctx context.Context, _ *wire.StatusRequest) (*wire.StatusResponse, error) {
	return s.status(ctx), ctx.Err()
}

// Guards the same for operator configurations.
func TestAgainstWrongEntry(t *testing.T) {
	text := func(text string) func(context.Context) *wire.StatusResponse {
		return func(context.Context) *wire.StatusResponse {
			return &wire.StatusResponse{ConfigRevision: 1, ConfigText: text}
		}
	}
	for name, test := range map[string]struct {
		status func(context.Context) *wire.StatusResponse
		want   string
	}{
		"no answer":     {func(ctx context.Context) *wire.StatusResponse { <-ctx.Done(); return nil }, "no complete answer within 500ms"},
		"large":         {text(strings.Repeat("#", 11<<20)), "the answer is too large: .*"},
		"large text":    {text(strings.Repeat("#", 2<<20)), ".* bytes.*"},
		"desired state": {text(`{"version":1}`), ".*not valid TOML.*"},
		"other service": {nil, "no entry answers .Unimplemented.*"},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			server := rpc.NewServer()
			if test.status != nil {
				wire.RegisterOperatorServer(server, operatorStub{status: test.status})
			}
			go func() { _ = server.Serve(listener) }()
			defer server.Stop()
			checkWrongServer(t, "testdata/check/valid.toml", listener.Addr().String(), test.want)
		})
	}
	for name, answer := range map[string]func(net.Conn){
		"silent":  func(net.Conn) {},
		"endless": func(conn net.Conn) { _, _ = io.Copy(conn, strings.NewReader(strings.Repeat("x", 64<<20))) },
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			defer func() { _ = listener.Close() }()
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					defer func() { _ = conn.Close() }()
					go answer(conn)
				}
			}()
			checkWrongServer(t, "testdata/check/valid.toml", listener.Addr().String(), "no .*")
		})
	}
}

// Guards against a copy that may be old and is reported as confirmed, and against control characters of another process
// that reach the terminal.
func TestReportOfVersion(t *testing.T) {
	c := qt.New(t)
	for age, want := range map[string]string{
		"": "the store has NOT confirmed it yet, .*", "5000": "confirmed by the store 5.0 s ago", "5001": "the store has NOT confirmed it for 5.0 s, .*",
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(gateway.GatewayHeader, "g")
			w.Header().Set(gateway.VersionHeader, "3")
			if age != "" {
				w.Header().Set(gateway.ConfirmedAgeHeader, age)
			}
			_, _ = io.WriteString(w, `{"services":[{"name":"s","healthPath":"\u001b[2J"}]}`)
		}))
		out, err := check(CheckOptions{Files: []string{writeFile(t, "a.json", `{"services":[{"name":"s"}]}`)}, Against: server.Listener.Addr().String()})
		server.Close()
		c.Check(err, qt.IsNil)
		c.Check(out, qt.Matches, `(?s)127.*compared with version 3 .*`+want+`\n.*health path \\x1b\[2J -> none.*`)
	}
}

// Guards against a file that is taken for an address, and the reverse.
func TestIsAddress(t *testing.T) {
	for text, want := range map[string]bool{
		"127.0.0.1:80": true, "[::1]:80": true, "gateway.example:9100": true,
		"in-force.json": false, "./a:1": false, "/tmp/a:1": false, `c:\a`: false, ":80": false, "a:0": false, "a:70000": false, "a:b": false, "a:+1": false,
	} {
		qt.Check(t, isAddress(text), qt.Equals, want, qt.Commentf(text))
	}
}
