package gateway

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// panickingProtocol panics when it decodes a request.
type panickingProtocol struct {
	Protocol
	value any
}

func (p panickingProtocol) DecodeRequest(*http.Request) (Request, error) { panic(p.value) }

// counterValue returns the value of a counter without labels.
func counterValue(c *qt.C, registry *prometheus.Registry, name string) float64 {
	families, err := registry.Gather()
	c.Assert(err, qt.IsNil)
	for _, family := range families {
		if family.GetName() == name {
			return family.GetMetric()[0].GetCounter().GetValue()
		}
	}
	c.Fatalf("no counter %s", name)
	return 0
}

// Guards against handlers that panic unnoticed, against a response after a panic, and against
// counting the connections that handlers close on purpose.
func TestHandlerPanics(t *testing.T) {
	for _, test := range []struct {
		value any
		want  float64
	}{{"index out of range", 1}, {http.ErrAbortHandler, 0}} {
		c := qt.New(t)
		var output bytes.Buffer
		registry := prometheus.NewRegistry()
		g := &Gateway{log: zerolog.New(&output), metrics: newMetrics(registry), options: &Options{Protocol: panickingProtocol{value: test.value}}}
		server := httptest.NewUnstartedServer(g)
		server.Config.ErrorLog = g.httpErrorLog("clients")
		server.Start()
		_, err := http.Get(server.URL + "/x")
		server.Close()
		c.Check(err, qt.IsNotNil)
		c.Check(counterValue(c, registry, "bramleygap_gateway_handler_panics_total"), qt.Equals, test.want)
		c.Check(strings.Count(output.String(), "request handler panicked"), qt.Equals, int(test.want))
		c.Check(strings.Contains(output.String(), "serve_test.go"), qt.Equals, test.want > 0, qt.Commentf("the log has the stack: %s", &output))
		c.Check(g.activeRequests.Load(), qt.Equals, int64(0))
	}
}

// Guards against losing what net/http reports about connections, which goes to standard error by
// default.
func TestHTTPErrorLog(t *testing.T) {
	c := qt.New(t)
	var output bytes.Buffer
	g := &Gateway{log: zerolog.New(&output)}
	g.httpErrorLog("clients").Printf("http: Accept error: %v; retrying in %v", "too many open files", "5ms")
	c.Check(output.String(), qt.Equals, `{"level":"warn","server":"clients","error":"http: Accept error: too many open files; retrying in 5ms","message":"HTTP server reported an error"}`+"\n")
}
