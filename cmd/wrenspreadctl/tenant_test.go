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

// cache is a proxy as far as tenants go: the real Desk and Reader over the real service.
type desk struct {
	mu    sync.Mutex
	core  *tenant.Cache
	now   *tenant.Catalogue
	start time.Time
}

func (d *desk) clock() time.Duration { return time.Since(d.start) }

// runDesk has a proxy with a session, until the test ends; it reads and renews each 100 ms.
func runDesk(t *testing.T, k *client.Client, name string) *desk {
	d := &desk{core: tenant.NewCache(uint64(time.Now().UnixMilli()), 0, false), start: time.Now()}
	r := &tenant.Reader{Source: k, Member: d.core.Member(name)}
	s := registry.Session{ID: "session-" + name, Process: name, TTL: 2 * time.Second, Info: registry.ProcessInfo{Note: d.core.Status().Encode()}}
	t.Cleanup(labtest.Run(t, func(ctx context.Context) error {
		sent := d.clock()
		if err := k.OpenSession(ctx, s); err != nil {
			return err
		}
		d.handle(ctx, k, &s, tenant.SessionOpened{Sent: sent, TTL: s.TTL})
		d.handle(ctx, k, &s, tenant.PolicyChanged{PolicyTable: tenant.PolicyTable{Version: 1 << 40, HasLimit: func(string) bool { return true }}})
		for backoff.Sleep(ctx, 100*time.Millisecond) {
			sent := d.clock()
			if known, err := k.RenewSession(ctx, s.ID); err == nil {
				d.handle(ctx, k, &s, tenant.SessionRenewed{Sent: sent, Known: known})
			}
			if read, err := r.Read(ctx, d.clock, d.core.Wanted()); err == nil {
				d.handle(ctx, k, &s, read)
			}
		}
		return nil
	}))
	return d
}

func (d *desk) handle(ctx context.Context, k *client.Client, s *registry.Session, event any) {
	for _, a := range d.core.Handle(d.clock(), event) {
		switch a := a.(type) {
		case tenant.SwapCatalogue:
			d.mu.Lock()
			d.now = a.Catalogue
			d.mu.Unlock()
		case tenant.TellStatus:
			s.Info.Note = a.Status.Encode()
			_ = k.OpenSession(ctx, *s) // the cache repeats a word while something moves
		}
	}
}

func (d *desk) says(name, class string) tenant.DecisionKind {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.now == nil {
		return tenant.Unavailable
	}
	return d.now.Decide(d.clock(), name, class, "").Kind
}

// TestTenants: operators bring tenants in, change and remove them on two proxies, over a
// controller that transfers in between.
func TestTenants(t *testing.T) {
	address, k := labtest.List(t)
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
	conduct := func(name string) (stop func()) {
		return labtest.Run(t, func(ctx context.Context) error {
			p, err := lease.Open(lease.Config{Client: k, Process: name, TTL: time.Second})
			if err != nil {
				return err
			}
			_ = p.Run(ctx, tenant.LeaseName, func(ctx context.Context, f lease.Token) error {
				c := tenant.Controller{Store: &tenant.Records{Registry: k, Token: f}, Environment: tenant.RegistryEnvironment{Registry: k}, Interval: 50 * time.Millisecond, Times: tenant.DefaultTimes(), Log: slog.New(slog.DiscardHandler)}
				return c.Run(ctx)
			})
			return p.Close(time.Second)
		})
	}
	stop := conduct("ops-1")
	t.Cleanup(conduct("ops-2"))
	nodes := []*desk{runDesk(t, k, "n0"), runDesk(t, k, "n1")}
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
	await := func(verdict tenant.DecisionKind) {
		t.Helper()
		for _, n := range nodes {
			labtest.Await(t, verdict.String(), func() bool { return n.says("k", "c") == verdict })
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
