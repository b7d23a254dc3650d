package main

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"wrenspread/internal/backoff"
	"wrenspread/internal/lab/labtest"
	"wrenspread/internal/lease"
	"wrenspread/internal/registry"
	"wrenspread/internal/registry/client"
	"wrenspread/internal/tenant"
)

// tenantProxy is the part of a proxy that knows tenants: a real tenant.Cache and tenant.Reader with a real
// registry.
type tenantProxy struct {
	mu        sync.Mutex
	cache     *tenant.Cache
	catalogue *tenant.Catalogue
	start     time.Time
}

// clock returns the time since the start of the proxy.
func (d *tenantProxy) clock() time.Duration { return time.Since(d.start) }

// startTenantProxy runs a proxy with a session until the test ends. It renews the session and reads the
// catalogue every 100 ms.
func startTenantProxy(t *testing.T, k *client.Client, name string) *tenantProxy {
	proxy := &tenantProxy{cache: tenant.NewCache(uint64(time.Now().UnixMilli()), 0, false), start: time.Now()}
	reader := &tenant.Reader{Source: k, Member: proxy.cache.Member(name)}
	session := registry.Session{ID: "session-" + name, Process: name, TTL: 2 * time.Second, Info: registry.ProcessInfo{Note: proxy.cache.Status().Encode()}}
	t.Cleanup(labtest.Start(t, func(ctx context.Context) error {
		sent := proxy.clock()
		if err := k.OpenSession(ctx, session); err != nil {
			return err
		}
		proxy.handle(ctx, k, &session, tenant.SessionOpened{Sent: sent, TTL: session.TTL})
		proxy.handle(ctx, k, &session, tenant.PolicyChanged{PolicyTable: tenant.PolicyTable{Version: 1 << 40, HasLimit: func(string) bool { return true }}})
		for backoff.Sleep(ctx, 100*time.Millisecond) {
			sent := proxy.clock()
			if known, err := k.RenewSession(ctx, session.ID); err == nil {
				proxy.handle(ctx, k, &session, tenant.SessionRenewed{Sent: sent, Known: known})
			}
			if read, err := reader.Read(ctx, proxy.clock, proxy.cache.Wanted()); err == nil {
				proxy.handle(ctx, k, &session, read)
			}
		}
		return nil
	}))
	return proxy
}

// handle passes an event to the cache, and carries out the resulting actions.
func (d *tenantProxy) handle(ctx context.Context, k *client.Client, s *registry.Session, event any) {
	for _, a := range d.cache.Handle(d.clock(), event) {
		switch a := a.(type) {
		case tenant.SwapCatalogue:
			d.mu.Lock()
			d.catalogue = a.Catalogue
			d.mu.Unlock()
		case tenant.ReportStatus:
			s.Info.Note = a.Status.Encode()
			_ = k.OpenSession(ctx, *s) // on an error the cache reports its status again later
		}
	}
}

// decision returns how the proxy decides a request of a tenant and a class.
func (d *tenantProxy) decision(name, class string) tenant.DecisionKind {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.catalogue == nil {
		return tenant.Unavailable
	}
	return d.catalogue.Decide(d.clock(), name, class, "").Kind
}

// TestTenantOrdersReachAllProxies: operators add, change, suspend and remove tenants on two proxies.
// Meanwhile the first controller ends and the second one takes over. Orders whose quotas or routes are
// invalid are rejected.
func TestTenantOrdersReachAllProxies(t *testing.T) {
	address, k := labtest.StartRegistry(t)
	ctx := t.Context()
	for i, zone := range []string{"a", "b"} {
		e := registry.Endpoint{Name: fmt.Sprint("s", i), Address: "127.0.0.1:1", Zone: zone, Type: "m", Status: registry.Ready, Weight: 1}
		if _, err := k.Register(ctx, e, 0, nil); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := k.Put(ctx, tenant.PolicyKey, []byte(`{"limits":[{"name":"fleet","parent":-1,"rate":10},{"name":"book/k","floor":6},{"name":"book/l","floor":6}]}`), nil); err != nil {
		t.Fatal(err)
	}
	startController := func(name string) (stop func()) {
		return labtest.Start(t, func(ctx context.Context) error {
			p, err := lease.Open(lease.Config{Client: k, Process: name, TTL: time.Second})
			if err != nil {
				return err
			}
			_ = p.Run(ctx, tenant.LeaseName, func(ctx context.Context, f lease.Token) error {
				c := tenant.Controller{Store: &tenant.RecordStore{Registry: k, Token: f}, Environment: tenant.RegistryEnvironment{Registry: k}, Interval: 50 * time.Millisecond, Times: tenant.DefaultTimes(), Log: slog.New(slog.DiscardHandler)}
				return c.Run(ctx)
			})
			return p.Close(time.Second)
		})
	}
	stop := startController("ops-1")
	t.Cleanup(startController("ops-2"))
	proxies := []*tenantProxy{startTenantProxy(t, k, "n0"), startTenantProxy(t, k, "n1")}
	file := func(name, limit, zone string) string {
		path := filepath.Join(t.TempDir(), name)
		raw := fmt.Sprintf(`{"names":[%q],"classes":["c"],"quotas":[{"limit":%q}],"routes":[{"zones":[%q]}]}`, name, limit, zone)
		if err := os.WriteFile(path, []byte(raw), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	order := func(want string, args ...string) {
		t.Helper()
		var out bytes.Buffer
		c := root()
		c.SetArgs(append([]string{"tenant", "--list", address}, args...))
		c.SetOut(&out)
		c.SetErr(&out)
		err := c.ExecuteContext(ctx)
		if got := out.String() + fmt.Sprint(err); !strings.Contains(got, want) {
			t.Fatalf("%v: %s, want %q", args, got, want)
		}
	}
	await := func(decision tenant.DecisionKind) {
		t.Helper()
		for _, p := range proxies {
			labtest.Await(t, decision.String(), func() bool { return p.decision("k", "c") == decision })
		}
	}
	order("done", "add", "k", file("k", "book/k", "a"))
	await(tenant.Routed)
	order("come to 12, of 10", "add", "l", file("l", "book/l", "b"))
	order("has 0 boxes", "change", "k", file("k", "book/k", "z"))
	stop()
	order("done", "suspend", "k")
	await(tenant.Forbidden)
	order("suspended", "status", "k")
	order("done", "remove", "k")
	await(tenant.NotFound)
	order("tombstone", "add", "k", file("k", "book/k", "a"))
	order("done", "add", "l", file("l", "book/l", "b"))
}
