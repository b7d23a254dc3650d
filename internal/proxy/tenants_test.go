package proxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"testing"
	"time"

	"wrenspread/balancer"
	"wrenspread/internal/besteffort"
	"wrenspread/internal/tenant"
	"wrenspread/ratelimit"
)

func formOf(drain time.Duration, routes ...tenant.Route) *tenant.Spec {
	return &tenant.Spec{Names: []string{"k"}, Classes: []string{"saldo", "pagar"}, Quotas: []tenant.QuotaRef{{Limit: "book/k"}}, Routes: routes, DrainMS: drain.Milliseconds()}
}

// withTenants has a proxy know tenants, with no registry: what that would tell comes by the test.
func withTenants(t *testing.T, n *Server) {
	n.config.Tenants.Enabled, n.config.Registry = true, []string{"127.0.0.1:1"}
	var err error
	if n.tenants, err = newTenantService(n.config); err != nil {
		t.Fatal(err)
	}
	n.config.Registry = nil
}

func (n *Server) read(number uint64, phase tenant.Phase, f *tenant.Spec) {
	i := tenant.NewSnapshot(number, &tenant.Entry{Name: "k", Phase: phase, Current: f, Since: number})
	n.applyCatalogue(tenant.CatalogueRead{StartedAt: n.tenantClock(), Enrolled: true, Snapshot: i})
}

// TestTenantIsCutOff: when a tenant drains, what may have run is no refusal, what has begun at its client breaks off, and
// both are over for the word that the proxy gives.
func TestTenantIsCutOff(t *testing.T) {
	came := make(chan bool, 2)
	n := startNodeWith(t, func(n *Server) {
		withTenants(t, n)
		n.setTenantPolicy(&ratelimit.Table{Limits: []ratelimit.Limit{{Name: "book/k", Scope: -1}}})
		n.read(1, tenant.PhaseServe, formOf(0, tenant.Route{Zones: []string{"a"}}))
	}, backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for req := readRequest(r); req != nil; req = readRequest(r) {
			if req.Header.Get("X-Request-Id") == "long" {
				besteffort.Output(fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 2*maxBody))
				besteffort.Output(c.Write(make([]byte, maxBody+1)))
			}
			came <- true
		}
	}))
	send := func(id string) raw {
		c := n.dial(t)
		besteffort.Output(fmt.Fprintf(c, "GET /api/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\nX-Class: saldo\r\nX-Tenant: k\r\nX-Deadline: 20\r\n\r\n", id))
		return c
	}
	open, long := send("open"), send("long")
	for range 2 {
		wait(t, came, "the backend")
	}
	resp, err := http.ReadResponse(long.read, nil)
	if err != nil || resp.StatusCode != 200 {
		t.Fatal(resp, err)
	}
	n.do(func() { n.read(2, tenant.PhaseDrain, formOf(0, tenant.Route{})) })
	if status := open.status(t); status != http.StatusBadGateway {
		t.Errorf("what may have run is answered with %d", status)
	}
	besteffort.SocketOption(long.SetReadDeadline(time.Now().Add(progressTimeout / 2))) // before its standstill would end it
	if _, err := io.ReadAll(resp.Body); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a long answer goes on: %v", err)
	}
	for until := time.Now().Add(enough); ; time.Sleep(time.Millisecond) {
		var r tenant.Report
		n.do(func() { r = n.tenants.cache.Report(n.tenantClock()) })
		if len(r.Tenants) == 1 && r.Tenants[0].OpenRequests == 0 {
			break
		}
		if time.Now().After(until) {
			t.Fatalf("not over: %+v", r)
		}
	}
	// The name may be another's by now, as the proxy has no right: no 403.
	if status := send("late").status(t); status != http.StatusServiceUnavailable {
		t.Errorf("after it: %d", status)
	}
}

// TestTenantsKeepAFrontShut: until the proxy has the catalogue and is on the member record.
func TestTenantsKeepAFrontShut(t *testing.T) {
	n := New(testConfig("127.0.0.1:1"), quiet)
	withTenants(t, n)
	n.listedEndpoints["s"] = 1
	for i, event := range []any{tenant.PolicyChanged{}, tenant.CatalogueRead{Enrolled: true}, tenant.CatalogueRead{Snapshot: tenant.NewSnapshot(1)}, tenant.CatalogueRead{Enrolled: true, Snapshot: tenant.NewSnapshot(1)}} {
		n.handleTenantEvent(event)
		if n.updateReady(); n.frontend.ready.Load() != (i == 3) {
			t.Errorf("ready is wrong after %d events", i+1)
		}
	}
}

// TestLanes: a class's variant has the zones and kinds that both it and the route have; equal routes share one; a route
// that names pods has none, nor has one beyond the bound.
func TestLanes(t *testing.T) {
	classes := []balancer.Class{{Name: "saldo", AllowedZones: []string{"a", "b"}, PriorityWeight: 3}, {Name: "pagar", AllowedMachineTypes: []string{}}}
	l := newRouteVariants()
	f := formOf(0, tenant.Route{Zones: []string{"b", "c", "b"}, MachineTypes: []string{"m"}})
	same := formOf(0, tenant.Route{Zones: []string{"c", "b"}, MachineTypes: []string{"m"}})
	pods := formOf(0, tenant.Route{Cells: []int{1}})
	entries := []*tenant.Entry{{Name: "x", Current: f, Next: same}, {Name: "y", Current: pods}}
	l.planAll(tenant.NewSnapshot(1, entries...), classes)
	l.current = l.wanted
	one := l.classFor(&f.Routes[0], "saldo", false)
	if v := l.current[one]; v.VariantOf != "saldo" || v.PriorityWeight != 3 || !slices.Equal(v.AllowedZones, []string{"b"}) || !slices.Equal(v.AllowedMachineTypes, []string{"m"}) {
		t.Errorf("%q: %+v", one, v)
	}
	if v := l.current[l.classFor(&f.Routes[0], "pagar", false)]; v.AllowedMachineTypes == nil || len(v.AllowedMachineTypes) != 0 || !slices.Equal(v.AllowedZones, []string{"b", "c"}) {
		t.Errorf("%+v", v)
	}
	if name := l.classFor(&f.Routes[0], "saldo", true); name != "" { // the balancer's previous class of that name may be none
		t.Errorf("a variant that the settings before had not: %q", name)
	}
	if other := l.classFor(&same.Routes[0], "saldo", false); other != one || len(l.current) != 2 {
		t.Errorf("equal routes have %q and %q of %d", one, other, len(l.current))
	}
	if name := l.classFor(&pods.Routes[0], "saldo", false); name != "" {
		t.Errorf("a route of pods has %q", name)
	}
	if name := l.classFor(&tenant.Route{MinEndpoints: 2}, "saldo", false); name != "saldo" {
		t.Errorf("a route of everything has %q", name)
	}
	for i := range maxVariants {
		entries = append(entries, &tenant.Entry{Name: fmt.Sprint(i), Current: formOf(0, tenant.Route{Zones: []string{fmt.Sprint(i)}})})
	}
	if l.planAll(tenant.NewSnapshot(2, entries...), classes); len(l.wanted) != maxVariants {
		t.Errorf("%d variants", len(l.wanted))
	}
	last := entries[len(entries)-2:]                                                                                        // which had no room
	if l.planChanges(tenant.NewSnapshot(3, last...), classes); len(l.wanted) != 3 || len(l.variantOf) != 4 || l.overLimit { // saldo has no zone of either
		t.Errorf("after the others have gone: %d variants of %d routes", len(l.wanted), len(l.variantOf))
	}
	again := []*tenant.Entry{last[0], {Name: "new", Current: formOf(0, tenant.Route{Zones: []string{last[1].Current.Routes[0].Zones[0]}})}}
	if l.planChanges(tenant.NewSnapshot(4, again...), classes); len(l.wanted) != 3 || len(l.variantOf) != 4 {
		t.Errorf("after one has changed: %d variants of %d routes", len(l.wanted), len(l.variantOf))
	}
}
