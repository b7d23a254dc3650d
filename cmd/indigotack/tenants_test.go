package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"indigotack/decide"
	"indigotack/internal/duty"
	"indigotack/internal/lab/link"
	"indigotack/internal/lab/trial"
	"indigotack/internal/list"
	"indigotack/internal/list/client"
	"indigotack/internal/quota/record"
	"indigotack/internal/tenant"
)

// bookFleet is a fleet of real nodes that know tenants, each with a link of its own to a real list service.
type bookFleet struct {
	t       *testing.T
	k       *client.Client
	service string
	net     *link.Net
	nodes   map[string]*process
	places  map[string]*platform
	done    atomic.Int32 // orders that have returned
}

func newBookFleet(t *testing.T) *bookFleet {
	address, k := trial.List(t)
	f := &bookFleet{t: t, k: k, service: address, net: link.NewNet(1), nodes: map[string]*process{}, places: map[string]*platform{}}
	t.Cleanup(f.net.Close)
	for _, zone := range []string{"z1", "z2"} {
		back := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, zone) }))
		t.Cleanup(back.Close)
		e := list.Entry{Name: "s-" + zone, Address: back.Listener.Addr().String(), Zone: zone, Type: "m", Status: list.Ready, Weight: 1}
		if _, err := k.Register(t.Context(), e, 0, nil); err != nil {
			t.Fatal(err)
		}
	}
	// Limits of repeats alone: without a keeper the nodes have no tokens for others.
	limits := &decide.Table{Format: decide.TableFormat, Parts: []decide.Part{{Within: -1, Count: 1}}}
	limits.Limits = []decide.Limit{{Name: "fleet:repeats", Parent: -1, Unit: decide.UnitRepeats, Rate: 9, Burst: 1, Floor: 9, Weight: 1, Safe: 1, Status: 429}}
	for i, book := range []string{"k", "l"} {
		limits.Parts = append(limits.Parts, decide.Part{Within: 0, Axis: decide.OfBook, Word: book, First: i + 1, Count: 1})
		limits.Limits = append(limits.Limits, decide.Limit{Name: "book/" + book + ":repeats", Part: i + 1, Parent: 0, Axis: decide.OfBook, Unit: decide.UnitRepeats, Rate: 1, Burst: 1, Floor: 1, Weight: 1, Safe: 1, Status: 429})
	}
	if err := limits.Ready(); err != nil {
		t.Fatal(err)
	}
	raw, err := record.Value(limits)
	if err == nil {
		_, err = k.Put(t.Context(), record.Current, raw, nil)
	}
	if err != nil {
		t.Fatal(err)
	}
	p, err := duty.Open(duty.Config{Client: k, Process: "ops-1", TTL: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(trial.Run(t, func(ctx context.Context) error {
		p.Run(ctx, tenant.Duty, func(ctx context.Context, fence duty.Fence) error {
			c := tenant.Conductor{Store: &tenant.Records{List: k, Fence: fence}, Fleet: tenant.Listed{List: k}, Every: 50 * time.Millisecond, Times: tenant.DefaultTimes(), Log: slog.New(slog.DiscardHandler)}
			return c.Run(ctx)
		})
		return p.Close(time.Second)
	}))
	return f
}

// lay gives the address at which a node is to find the service.
func (f *bookFleet) lay(name string) (address string) {
	f.t.Helper()
	address, err := f.net.Connect(link.Ends{From: name, To: "list"}, f.service)
	if err != nil {
		f.t.Fatal(err)
	}
	return address
}

// start begins a node that finds the service there.
func (f *bookFleet) start(name, service string) *process {
	f.t.Helper()
	p := newPlatform(f.t)
	var classes []any
	for _, c := range []string{"a", "b", "c"} {
		classes = append(classes, map[string]any{"name": c, "effect": "retryable", "aim_ns": enough, "give_up_ns": 2 * enough, "worth": 1})
	}
	seeds := []string{}
	for _, other := range f.places {
		seeds = append(seeds, other.peerListen)
	}
	f.places[name] = p
	f.nodes[name] = p.startWith(f.t, map[string]any{"name": name, "discovery": nil, "list": []string{service}, "peers": nil,
		"fleet":  map[string]any{"name": "windhoek", "join": seeds, "period_ms": 100},
		"govern": map[string]any{"policy": true, "tenants": true},
		"settings": map[string]any{"balancers": 3, "caps": map[string]any{"peers": true, "max_attempts": 3, "connect_timeout_ns": enough},
			"invariants": map[string]any{"cold_from": 0.5, "overload_factor": 3}, "classes": classes}})
	return f.nodes[name]
}

func (f *bookFleet) cut(name string) {
	of := func(e link.Ends) bool { return e.From == name }
	f.net.Lay("cut-"+name, link.Shape{Refuse: true}, of)
	f.net.Reset(of)
}

func (f *bookFleet) heal(name string) { f.net.Lift("cut-" + name) }

// says asks a node for a tenant's class.
func (f *bookFleet) says(node, name, class string) string {
	status, body, _ := ask("GET", "http://"+f.places[node].address+"/api/x", map[string]string{"X-Request-Id": fmt.Sprint(time.Now().UnixNano()),
		"X-Class": class, "X-Tenant": name, "X-Deadline": "20"})
	if status == 200 {
		return "200 " + body
	}
	return fmt.Sprint(status)
}

func (f *bookFleet) all(name, class, want string) func() bool {
	return func() bool {
		for node := range f.nodes {
			if f.says(node, name, class) != want {
				return false
			}
		}
		return true
	}
}

// order has the conductor do something, and returns once it is done everywhere.
func (f *bookFleet) order(do, name, form string) {
	f.t.Helper()
	o := tenant.Order{ID: fmt.Sprint(time.Now().UnixNano()), Do: do, Who: "the test"}
	if form != "" {
		if err := json.Unmarshal([]byte(form), &o.Form); err != nil {
			f.t.Fatal(err)
		}
	}
	if placed, err := tenant.Place(f.t.Context(), f.k, name, o); !placed || err != nil {
		f.t.Fatal(placed, err)
	}
	trial.Await(f.t, do+" "+name, func() bool {
		s, err := tenant.ReadStored(f.t.Context(), f.k)
		if err != nil {
			return false
		}
		for _, one := range tenant.Standings(s, nil) {
			if out, done := one.Outcome(o.ID); one.Name == name && done {
				if out.Why != "" {
					f.t.Fatalf("%s %s: %s", do, name, out.Why)
				}
				return true
			}
		}
		return false
	})
	f.done.Add(1)
}

func (f *bookFleet) state(name string) tenant.State {
	s, _ := tenant.ReadStored(f.t.Context(), f.k)
	for _, one := range s.Tenants {
		if one.Name == name {
			return one.State
		}
	}
	return ""
}

// watch asks all nodes in turn all the time, and gives each answer to judge, until stop is called. done is how many
// orders had returned when it asked.
func (f *bookFleet) watch(judge func(done int32, node, class, said string), name string, classes ...string) (stop func()) {
	names := []string{}
	for node := range f.nodes {
		names = append(names, node)
	}
	slices.Sort(names)
	end, ended := make(chan struct{}), sync.WaitGroup{}
	ended.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-end:
				return
			case <-time.After(2 * time.Millisecond):
			}
			node, class := names[i%len(names)], classes[i/len(names)%len(classes)]
			done := f.done.Load()
			judge(done, node, class, f.says(node, name, class))
		}
	})
	return func() { close(end); ended.Wait() }
}

func kalahari(classes, zone string) string {
	return fmt.Sprintf(`{"names":["k","kal"],"classes":[%s],"quotas":[{"limit":"book/k:repeats"}],"routes":[{"zones":[%q]}]}`, classes, zone)
}

// TestTenants: three real nodes bring tenants in, change and remove them, with requests all the time, one node cut off
// from the list service, one that leaves and one that begins without the service.
func TestTenants(t *testing.T) {
	f := newBookFleet(t)
	for _, name := range []string{"n0", "n1", "n2"} {
		f.start(name, f.lay(name))
	}
	for _, c := range f.nodes {
		c.waitReady(t)
	}
	trial.Await(t, "a definite no", f.all("k", "a", "404"))

	t.Run("nobody serves before it is active, and nobody denies it after", func(t *testing.T) {
		served := false
		stop := f.watch(func(_ int32, node, _, said string) {
			switch {
			case strings.HasPrefix(said, "200"):
				if !served && f.state("k") != tenant.Active {
					t.Errorf("%s serves a tenant that is %s", node, f.state("k"))
				}
				if served = true; said != "200 z1" {
					t.Errorf("%s serves on another route: %s", node, said)
				}
			case said != "503" && (served || said != "404"):
				t.Errorf("%s says %s, served before: %v", node, said, served)
			}
		}, "kal", "a")
		f.order(tenant.Add, "k", kalahari(`"a","b"`, "z1"))
		for range 5 {
			for node := range f.nodes {
				if said := f.says(node, "k", "a"); said == "404" || said == "403" {
					t.Errorf("%s says %s after add has returned", node, said)
				}
			}
		}
		trial.Await(t, "k everywhere", f.all("k", "a", "200 z1"))
		stop()
	})

	t.Run("a change is seen whole and never goes back", func(t *testing.T) {
		next := false
		stop := f.watch(func(_ int32, node, class, said string) {
			former := class == "b" && said == "200 z1" || class == "c" && said == "403"
			latter := class == "b" && said == "403" || class == "c" && said == "200 z2"
			if !former && !latter && said != "503" || former && next {
				t.Errorf("%s says %s of %s, the next form was seen: %v", node, said, class, next)
			}
			next = next || latter
		}, "k", "b", "c")
		f.order(tenant.Change, "k", kalahari(`"a","c"`, "z2"))
		trial.Await(t, "the change everywhere", f.all("k", "c", "200 z2"))
		stop()
	})

	t.Run("one that is cut off is not sure, and serves on", func(t *testing.T) {
		f.cut("n2")
		before := f.done.Load()
		stop := f.watch(func(done int32, node, _, said string) {
			if done > before && (said == "404" || said == "403") {
				t.Errorf("%s says %s of a tenant that is active", node, said)
			}
		}, "l", "a")
		stopKnown := f.watch(func(_ int32, node, _, said string) {
			if said != "200 z2" {
				t.Errorf("%s says %s of a tenant that it knows", node, said)
			}
		}, "k", "a")
		f.order(tenant.Add, "l", `{"names":["l"],"classes":["a"],"quotas":[{"limit":"book/l:repeats"}],"routes":[{}]}`)
		for node, want := range map[string]string{"n0": "200", "n1": "200", "n2": "503"} {
			trial.Await(t, node+" to say "+want, func() bool { return strings.HasPrefix(f.says(node, "l", "a"), want) })
		}
		if status, _, _ := ask("GET", "http://"+f.nodes["n2"].control+"/healthcheck", nil); status != 200 {
			t.Errorf("the node that is cut off is not ready: %d", status)
		}
		f.heal("n2")
		trial.Await(t, "n2 to serve l", func() bool { return strings.HasPrefix(f.says("n2", "l", "a"), "200") })
		stop()
		stopKnown()
	})

	t.Run("what is removed is gone", func(t *testing.T) {
		f.order(tenant.Remove, "k", "")
		trial.Await(t, "the end of k", f.all("k", "a", "404"))
	})

	t.Run("a node that begins without the service is not ready", func(t *testing.T) {
		at := f.lay("n3")
		f.cut("n3")
		late := f.start("n3", at)
		late.waitSaid(t, "no session with the list service yet")
		late.waitSaid(t, "no session with the list service yet")
		if status, _, _ := ask("GET", "http://"+late.control+"/healthcheck", nil); status != 503 {
			t.Errorf("it is ready: %d", status)
		}
		if said := f.says("n3", "nobody", "a"); said != "503" {
			t.Errorf("it says %s", said)
		}
		f.heal("n3")
		late.waitReady(t)
		var r tenant.Report
		_, body, _ := ask("GET", "http://"+late.control+"/tenants", nil)
		if err := json.Unmarshal([]byte(body), &r); err != nil || !r.Ready || len(r.Tenants) != 1 || r.Tenants[0].Name != "l" {
			t.Errorf("%v: %s", err, body)
		}
	})

	t.Run("one that ends is off the book", func(t *testing.T) {
		c := f.nodes["n0"]
		c.Process.Signal(syscall.SIGTERM)
		c.waitEnd(t)
		s, err := tenant.ReadStored(t.Context(), f.k)
		if err != nil || slices.ContainsFunc(s.Book.Members, func(m tenant.Member) bool { return m.Name == "n0" }) {
			t.Errorf("%v: the book has %v", err, s.Book.Members)
		}
	})
}
