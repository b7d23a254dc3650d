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

// tenantFleet is a fleet of real proxies that know tenants. Each proxy reaches a real registry by its own
// link.
type tenantFleet struct {
	t                 *testing.T
	client            *client.Client
	service           string // address of the registry
	network           *link.Net
	processes         map[string]*process
	platforms         map[string]*platform
	registryAddresses map[string]string // by proxy: the address at which its link to the registry begins
	ordersDone        atomic.Int32      // number of orders that have ended
	onDemand          map[string]bool   // proxies that read only the tenants that requests name
}

// newTenantFleet starts the registry with two servers, a policy and a controller. hashTree selects the form
// of the catalogue.
func newTenantFleet(t *testing.T, hashTree bool) *tenantFleet {
	address, k := labtest.StartRegistry(t)
	f := &tenantFleet{t: t, client: k, service: address, network: link.NewNet(1), processes: map[string]*process{}, platforms: map[string]*platform{}, registryAddresses: map[string]string{}, onDemand: map[string]bool{}}
	t.Cleanup(f.network.Close)
	for _, zone := range []string{"z1", "z2"} {
		backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { besteffort.Output(io.WriteString(w, zone)) }))
		t.Cleanup(backend.Close)
		e := registry.Endpoint{Name: "s-" + zone, Address: backend.Listener.Addr().String(), Zone: zone, Type: "m", Status: registry.Ready, Weight: 1}
		if _, err := k.Register(t.Context(), e, 0, nil); err != nil {
			t.Fatal(err)
		}
	}
	// The policy limits retries only: without an allocator the proxies have no tokens for other limits.
	limits := &ratelimit.Table{Format: ratelimit.Format, Scopes: []ratelimit.Scope{{Parent: -1, LimitCount: 1}}}
	limits.Limits = []ratelimit.Limit{{Name: "fleet:repeats", Parent: -1, Unit: ratelimit.UnitRetries, Rate: 9, Burst: 1, Floor: 9, Weight: 1, FallbackShare: 1, Status: 429}}
	for i, name := range []string{"k", "l"} {
		limits.Scopes = append(limits.Scopes, ratelimit.Scope{Parent: 0, Attribute: ratelimit.AttributeTenant, Value: name, FirstLimit: i + 1, LimitCount: 1})
		limits.Limits = append(limits.Limits, ratelimit.Limit{Name: "book/" + name + ":repeats", Scope: i + 1, Parent: 0, Attribute: ratelimit.AttributeTenant, Unit: ratelimit.UnitRetries, Rate: 1, Burst: 1, Floor: 1, Weight: 1, FallbackShare: 1, Status: 429})
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
	t.Cleanup(labtest.Start(t, func(ctx context.Context) error {
		_ = p.Run(ctx, tenant.LeaseName, func(ctx context.Context, fence lease.Token) error {
			c := tenant.Controller{Store: &tenant.RecordStore{Registry: k, Token: fence}, Environment: tenant.RegistryEnvironment{Registry: k}, Interval: 50 * time.Millisecond, Times: tenant.DefaultTimes(), Log: slog.New(slog.DiscardHandler), HashTree: hashTree}
			return c.Run(ctx)
		})
		return p.Close(time.Second)
	}))
	return f
}

// connect creates the link of a proxy to the registry.
func (f *tenantFleet) connect(name string) {
	f.t.Helper()
	var err error
	if f.registryAddresses[name], err = f.network.Connect(link.Ends{From: name, To: "list"}, f.service); err != nil {
		f.t.Fatal(err)
	}
	f.platforms[name] = newPlatform(f.t)
}

// start starts a process of a proxy, which may have others already.
func (f *tenantFleet) start(name string) *process {
	f.t.Helper()
	p, seeds := f.platforms[name], []string{}
	for _, other := range f.platforms {
		seeds = append(seeds, other.peerListen)
	}
	var classes []any
	for _, c := range []string{"a", "b", "c"} {
		classes = append(classes, map[string]any{"name": c, "effect": "retryable", "aim_ns": hangTimeout, "give_up_ns": 2 * hangTimeout, "worth": 1})
	}
	f.processes[name] = p.startWith(f.t, map[string]any{"name": name, "discovery": nil, "list": []string{f.registryAddresses[name]}, "peers": nil,
		"fleet":  map[string]any{"name": "windhoek", "join": seeds, "period_ms": 100},
		"govern": map[string]any{"policy": true, "tenants": true, "tenants_on_demand": f.onDemand[name]},
		"settings": map[string]any{"balancers": 3, "caps": map[string]any{"peers": true, "max_attempts": 3, "connect_timeout_ns": hangTimeout},
			"invariants": map[string]any{"cold_from": 0.5, "overload_factor": 3}, "classes": classes}})
	return f.processes[name]
}

// cut cuts the link of a proxy to the registry.
func (f *tenantFleet) cut(name string) {
	fromProxy := func(e link.Ends) bool { return e.From == name }
	f.network.ApplyShape("cut-"+name, link.Shape{Refuse: true}, fromProxy)
	f.network.Reset(fromProxy)
}

// heal restores the link of a proxy to the registry.
func (f *tenantFleet) heal(name string) { f.network.RemoveShape("cut-" + name) }

// request sends a request of a tenant and a class to a proxy, and returns the response's status, with the
// body if the status is 200. It repeats a request that gets a 503 without Retry-After: the balancer has shed
// the request, independently of the tenant.
func (f *tenantFleet) request(node, name, class string) string {
	for until := time.Now().Add(hangTimeout); time.Now().Before(until); {
		req, err := http.NewRequest("GET", "http://"+f.platforms[node].address+"/api/x", nil)
		if err != nil {
			return err.Error()
		}
		for key, value := range map[string]string{"X-Request-Id": fmt.Sprint(time.Now().UnixNano()), "X-Class": class, "X-Tenant": name, "X-Deadline": "20"} {
			req.Header.Set(key, value)
		}
		resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: hangTimeout}).Do(req)
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

// allAnswer returns a function that sends a request to each proxy and reports whether all answers are want.
func (f *tenantFleet) allAnswer(name, class, want string) func() bool {
	return func() bool {
		for node := range f.processes {
			if f.request(node, name, class) != want {
				return false
			}
		}
		return true
	}
}

// order submits an order to the tenants' controller, and returns once the order has ended on all proxies.
func (f *tenantFleet) order(op, name, spec string) {
	f.t.Helper()
	o := tenant.Order{ID: fmt.Sprint(time.Now().UnixNano()), Op: op, Operator: "the test"}
	if spec != "" {
		if err := json.Unmarshal([]byte(spec), &o.Spec); err != nil {
			f.t.Fatal(err)
		}
	}
	if submitted, err := tenant.SubmitOrder(f.t.Context(), f.client, name, o); !submitted || err != nil {
		f.t.Fatal(submitted, err)
	}
	labtest.Await(f.t, op+" "+name, func() bool {
		s, err := tenant.ReadStored(f.t.Context(), f.client)
		if err != nil {
			return false
		}
		for _, progress := range tenant.AllProgress(s, nil) {
			if outcome, done := progress.Outcome(o.ID); progress.Name == name && done {
				if outcome.Reason != "" {
					f.t.Fatalf("%s %s: %s", op, name, outcome.Reason)
				}
				return true
			}
		}
		return false
	})
	f.ordersDone.Add(1)
}

// state returns the stored state of a tenant, or "" if the tenant does not exist.
func (f *tenantFleet) state(name string) tenant.State {
	s, _ := tenant.ReadStored(f.t.Context(), f.client)
	for _, stored := range s.Tenants {
		if stored.Name == name {
			return stored.State
		}
	}
	return ""
}

// requestAll sends requests to all proxies in turn and passes each response to check, until stop is called.
// The argument ordersDone of check is the number of orders that had ended when the request was sent.
func (f *tenantFleet) requestAll(t *testing.T, check func(ordersDone int32, node, class, answer string), name string, classes ...string) (stop func()) {
	names := []string{}
	for node := range f.processes {
		names = append(names, node)
	}
	slices.Sort(names)
	stopping, loops := make(chan struct{}), sync.WaitGroup{}
	loops.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stopping:
				return
			case <-time.After(2 * time.Millisecond):
			}
			node, class := names[i%len(names)], classes[i/len(names)%len(classes)]
			ordersDone := f.ordersDone.Load()
			check(ordersDone, node, class, f.request(node, name, class))
		}
	})
	stop = sync.OnceFunc(func() { close(stopping); loops.Wait() })
	t.Cleanup(stop)
	return stop
}
