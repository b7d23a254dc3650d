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
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/lab/labtest"
	"wrenspread/internal/lab/link"
	"wrenspread/internal/lease"
	"wrenspread/internal/quota/record"
	"wrenspread/internal/registry"
	"wrenspread/internal/registry/client"
	"wrenspread/internal/tenant"
	"wrenspread/ratelimit"
)

// bookFleet is a fleet of real proxies that know tenants, each with a link of its own to a real registry.
type bookFleet struct {
	t       *testing.T
	k       *client.Client
	service string
	net     *link.Net
	nodes   map[string]*process
	places  map[string]*platform
	lists   map[string]string // where each finds the service
	done    atomic.Int32      // orders that have returned
	demand  map[string]bool   // proxies that read what their requests name
}

func newBookFleet(t *testing.T, hashTree bool) *bookFleet {
	address, k := labtest.List(t)
	f := &bookFleet{t: t, k: k, service: address, net: link.NewNet(1), nodes: map[string]*process{}, places: map[string]*platform{}, lists: map[string]string{}, demand: map[string]bool{}}
	t.Cleanup(f.net.Close)
	for _, zone := range []string{"z1", "z2"} {
		back := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { besteffort.Output(io.WriteString(w, zone)) }))
		t.Cleanup(back.Close)
		e := registry.Endpoint{Name: "s-" + zone, Address: back.Listener.Addr().String(), Zone: zone, Type: "m", Status: registry.Ready, Weight: 1}
		if _, err := k.Register(t.Context(), e, 0, nil); err != nil {
			t.Fatal(err)
		}
	}
	// Limits of repeats alone: without a controller the proxies have no tokens for others.
	limits := &ratelimit.Table{Format: ratelimit.Format, Scopes: []ratelimit.Scope{{Parent: -1, LimitCount: 1}}}
	limits.Limits = []ratelimit.Limit{{Name: "fleet:repeats", Parent: -1, Unit: ratelimit.UnitRetries, Rate: 9, Burst: 1, Floor: 9, Weight: 1, FallbackShare: 1, Status: 429}}
	for i, book := range []string{"k", "l"} {
		limits.Scopes = append(limits.Scopes, ratelimit.Scope{Parent: 0, Attribute: ratelimit.AttributeTenant, Value: book, FirstLimit: i + 1, LimitCount: 1})
		limits.Limits = append(limits.Limits, ratelimit.Limit{Name: "book/" + book + ":repeats", Scope: i + 1, Parent: 0, Attribute: ratelimit.AttributeTenant, Unit: ratelimit.UnitRetries, Rate: 1, Burst: 1, Floor: 1, Weight: 1, FallbackShare: 1, Status: 429})
	}
	if err := limits.Finalize(); err != nil {
		t.Fatal(err)
	}
	raw, err := record.EncodeTable(limits)
	if err == nil {
		_, err = k.Put(t.Context(), record.CurrentKey, raw, nil)
	}
	if err != nil {
		t.Fatal(err)
	}
	p, err := lease.Open(lease.Config{Client: k, Process: "ops-1", TTL: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(labtest.Run(t, func(ctx context.Context) error {
		_ = p.Run(ctx, tenant.LeaseName, func(ctx context.Context, fence lease.Token) error {
			c := tenant.Controller{Store: &tenant.Records{Registry: k, Token: fence}, Environment: tenant.RegistryEnvironment{Registry: k}, Interval: 50 * time.Millisecond, Times: tenant.DefaultTimes(), Log: slog.New(slog.DiscardHandler), HashTree: hashTree}
			return c.Run(ctx)
		})
		return p.Close(time.Second)
	}))
	return f
}

// lay has a proxy find the service by a link of its own.
func (f *bookFleet) lay(name string) {
	f.t.Helper()
	var err error
	if f.lists[name], err = f.net.Connect(link.Ends{From: name, To: "list"}, f.service); err != nil {
		f.t.Fatal(err)
	}
	f.places[name] = newPlatform(f.t)
}

// start begins a process of a proxy, a first one or a further one.
func (f *bookFleet) start(name string) *process {
	f.t.Helper()
	p, seeds := f.places[name], []string{}
	for _, other := range f.places {
		seeds = append(seeds, other.peerListen)
	}
	var classes []any
	for _, c := range []string{"a", "b", "c"} {
		classes = append(classes, map[string]any{"name": c, "effect": "retryable", "aim_ns": enough, "give_up_ns": 2 * enough, "worth": 1})
	}
	f.nodes[name] = p.startWith(f.t, map[string]any{"name": name, "discovery": nil, "list": []string{f.lists[name]}, "peers": nil,
		"fleet":  map[string]any{"name": "windhoek", "join": seeds, "period_ms": 100},
		"govern": map[string]any{"policy": true, "tenants": true, "tenants_on_demand": f.demand[name]},
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

// says asks a proxy for a tenant's class. What the balancer sheds, with no Retry-After here, says nothing of tenants and is
// asked again.
func (f *bookFleet) says(node, name, class string) string {
	for until := time.Now().Add(enough); time.Now().Before(until); {
		req, err := http.NewRequest("GET", "http://"+f.places[node].address+"/api/x", nil)
		if err != nil {
			return err.Error()
		}
		for key, value := range map[string]string{"X-Request-Id": fmt.Sprint(time.Now().UnixNano()), "X-Class": class, "X-Tenant": name, "X-Deadline": "20"} {
			req.Header.Set(key, value)
		}
		resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: enough}).Do(req)
		if err != nil {
			return err.Error()
		}
		body, _ := io.ReadAll(resp.Body)
		besteffort.Close(resp.Body)
		switch {
		case resp.StatusCode == 200:
			return "200 " + string(body)
		case resp.StatusCode != 503 || resp.Header.Get("Retry-After") != "":
			return fmt.Sprint(resp.StatusCode)
		}
	}
	return "nothing but 503"
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

// order has the controller do something, and returns once it is done everywhere.
func (f *bookFleet) order(do, name, form string) {
	f.t.Helper()
	o := tenant.Order{ID: fmt.Sprint(time.Now().UnixNano()), Op: do, Operator: "the test"}
	if form != "" {
		if err := json.Unmarshal([]byte(form), &o.Spec); err != nil {
			f.t.Fatal(err)
		}
	}
	if placed, err := tenant.SubmitOrder(f.t.Context(), f.k, name, o); !placed || err != nil {
		f.t.Fatal(placed, err)
	}
	labtest.Await(f.t, do+" "+name, func() bool {
		s, err := tenant.ReadStored(f.t.Context(), f.k)
		if err != nil {
			return false
		}
		for _, one := range tenant.AllProgress(s, nil) {
			if out, done := one.Outcome(o.ID); one.Name == name && done {
				if out.Reason != "" {
					f.t.Fatalf("%s %s: %s", do, name, out.Reason)
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

// watch asks all proxies in turn all the time, and gives each answer to judge, until stop is called. done is how many
// orders had returned when it asked.
func (f *bookFleet) watch(t *testing.T, judge func(done int32, node, class, said string), name string, classes ...string) (stop func()) {
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
	stop = sync.OnceFunc(func() { close(end); ended.Wait() })
	t.Cleanup(stop)
	return stop
}
