package platform_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	api "bramleygap/internal/platform"
	standin "bramleygap/internal/standin/platform"
)

func start(t *testing.T, options standin.Options) (*standin.Platform, *api.Client, *httptest.Server) {
	platform := standin.New(options)
	server := httptest.NewServer(platform.Handler())
	t.Cleanup(server.Close)
	client := api.NewClient(api.ClientOptions{BaseURL: server.URL, Timeout: time.Minute})
	t.Cleanup(client.Close)
	return platform, client, server
}

// Guards against a lost response or a broken connection reported as a refusal, which would
// let a caller repeat a write that took effect.
func TestErrorsDistinguishRefusedFromUnknown(t *testing.T) {
	c := qt.New(t)
	platform, client, server := start(t, standin.Options{})
	ctx := context.Background()
	insert := func(key string) (api.TxnResult, error) {
		return client.Commit(ctx, api.Txn{Checks: []api.Check{{Key: key}}, Puts: []api.Put{{Key: key, Value: []byte("v")}}})
	}

	platform.Control(standin.Control{Outage: new(true)})
	_, err := insert("a")
	c.Assert(errors.Is(err, api.ErrRefused), qt.IsTrue)
	c.Assert(platform.Row("a").Revision, qt.Equals, uint64(0))

	platform.Control(standin.Control{Outage: new(false), DropResponses: new(1)})
	_, err = insert("a")
	c.Assert(errors.Is(err, api.ErrUnavailable), qt.IsTrue)
	c.Assert(errors.Is(err, api.ErrRefused), qt.IsFalse)
	row, err := client.Get(ctx, "a")
	c.Assert(err, qt.IsNil)
	c.Assert(row.Revision, qt.Not(qt.Equals), uint64(0))

	result, err := insert("a")
	c.Assert(err, qt.IsNil)
	c.Assert(result, qt.Equals, api.TxnResult{ConflictKey: "a"})

	client.Close()
	server.Close()
	_, err = insert("b")
	c.Assert(errors.Is(err, api.ErrRefused), qt.IsTrue)
}

// Guards against a rate-limited write that takes effect, and against missing limits.
func TestRateLimitRefusesBeforeEffect(t *testing.T) {
	c := qt.New(t)
	platform, client, _ := start(t, standin.Options{WritesPerSecond: 0.001})
	ctx := context.Background()
	_, err := client.Commit(ctx, api.Txn{Puts: []api.Put{{Key: "a"}}})
	c.Assert(err, qt.IsNil)
	_, err = client.Commit(ctx, api.Txn{Puts: []api.Put{{Key: "b"}}})
	c.Assert(errors.Is(err, api.ErrRefused), qt.IsTrue)
	c.Assert(platform.Row("b").Revision, qt.Equals, uint64(0))
}

// Guards against a VM list without lag and against objects lost between requests.
func TestVMListLagAndObjects(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	platform, client, _ := start(t, standin.Options{VMLag: time.Second, Now: func() time.Time { return now }})
	ctx := context.Background()
	platform.SetVM(api.VM{ID: "vm1", State: api.VMLive})
	vms, err := client.VMs(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(vms, qt.HasLen, 0)
	now = now.Add(time.Second)
	vms, err = client.VMs(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(vms, qt.HasLen, 1)

	c.Assert(client.PutObject(ctx, "x/y", []byte("data")), qt.IsNil)
	data, err := client.GetObject(ctx, "x/y")
	c.Assert(err, qt.IsNil)
	c.Assert(string(data), qt.Equals, "data")
	_, err = client.GetObject(ctx, "absent")
	c.Assert(errors.Is(err, api.ErrNotFound), qt.IsTrue)
}
