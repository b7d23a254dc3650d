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

// specOf returns the spec of tenant "k" with its drain time and routes.
func specOf(drainTime time.Duration, routes ...tenant.Route) *tenant.Spec {
	return &tenant.Spec{Names: []string{"k"}, Classes: []string{"saldo", "pagar"}, Quotas: []tenant.QuotaRef{{Limit: "book/k"}}, Routes: routes, DrainMS: drainTime.Milliseconds()}
}

// withTenants enables tenants in a proxy without a registry: the test applies what would be read there.
func withTenants(t *testing.T, n *Server) {
	n.config.Tenants.Enabled, n.config.Registry = true, []string{"127.0.0.1:1"}
	var err error
	if n.tenants, err = newTenantService(n.config); err != nil {
		t.Fatal(err)
	}
	n.config.Registry = nil
}

// applySnapshot applies a catalogue of that number with tenant "k" in a phase.
func (n *Server) applySnapshot(number uint64, phase tenant.Phase, f *tenant.Spec) {
	i := tenant.NewSnapshot(number, &tenant.Entry{Name: "k", Phase: phase, Current: f, Since: number})
	n.applyCatalogue(tenant.CatalogueRead{StartedAt: n.tenantClock(), Enrolled: true, Snapshot: i})
}

// TestOpenRequestsOfADrainedTenantAreCutOff: when a tenant's drain time is over, a request that may have run
// gets 502, a response that has begun is cut off, and the proxy's status counts neither as open.
func TestOpenRequestsOfADrainedTenantAreCutOff(t *testing.T) {
	arrived := make(chan bool, 2)
	n := startNodeWith(t, func(n *Server) {
		withTenants(t, n)
		n.setTenantPolicy(&ratelimit.Table{Limits: []ratelimit.Limit{{Name: "book/k", Scope: -1}}})
		n.applySnapshot(1, tenant.PhaseServe, specOf(0, tenant.Route{Zones: []string{"a"}}))
	}, backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for req := readRequest(r); req != nil; req = readRequest(r) {
			if req.Header.Get("X-Request-Id") == "long" {
				besteffort.Output(fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 2*maxBufferedBody))
				besteffort.Output(c.Write(make([]byte, maxBufferedBody+1)))
			}
			arrived <- true
		}
	}))
	send := func(id string) raw {
		c := n.dial(t)
		besteffort.Output(fmt.Fprintf(c, "GET /api/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\nX-Class: saldo\r\nX-Tenant: k\r\nX-Deadline: 20\r\n\r\n", id))
		return c
	}
	open, long := send("open"), send("long")
	for range 2 {
		wait(t, arrived, "the backend")
	}
	resp, err := http.ReadResponse(long.read, nil)
	if err != nil || resp.StatusCode != 200 {
		t.Fatal(resp, err)
	}
	n.do(func() { n.applySnapshot(2, tenant.PhaseDrain, specOf(0, tenant.Route{})) })
	if status := open.status(t); status != http.StatusBadGateway {
		t.Errorf("a request that may have run is answered with %d, want 502", status)
	}
	besteffort.SocketOption(long.SetReadDeadline(time.Now().Add(progressTimeout / 2))) // before the timeout for stalled responses would end it
	if _, err := io.ReadAll(resp.Body); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the long response is not cut off: %v", err)
	}
	for until := time.Now().Add(enough); ; time.Sleep(time.Millisecond) {
		var r tenant.Report
		n.do(func() { r = n.tenants.cache.Report(n.tenantClock()) })
		if len(r.Tenants) == 1 && r.Tenants[0].OpenRequests == 0 {
			break
		}
		if time.Now().After(until) {
			t.Fatalf("the tenant's requests are not ended: %+v", r)
		}
	}
	// Without a session with the registry, the name may belong to another tenant by now: the answer is not 403.
	if status := send("late").status(t); status != http.StatusServiceUnavailable {
		t.Errorf("a request after the drain is answered with %d, want 503", status)
	}
}

// TestNotReadyWithoutCatalogueAndMemberRecord: the proxy is not ready until it has the catalogue and is in
// the member record.
func TestNotReadyWithoutCatalogueAndMemberRecord(t *testing.T) {
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

// TestRouteVariantsOfClasses: a class's variant allows the zones and machine types that both the class and
// the route allow. Equal routes share a variant. A route that names cells has none, and no more than
// maxVariants are made.
func TestRouteVariantsOfClasses(t *testing.T) {
	classes := []balancer.Class{{Name: "saldo", AllowedZones: []string{"a", "b"}, PriorityWeight: 3}, {Name: "pagar", AllowedMachineTypes: []string{}}}
	l := newRouteVariants()
	f := specOf(0, tenant.Route{Zones: []string{"b", "c", "b"}, MachineTypes: []string{"m"}})
	same := specOf(0, tenant.Route{Zones: []string{"c", "b"}, MachineTypes: []string{"m"}})
	pods := specOf(0, tenant.Route{Cells: []int{1}})
	entries := []*tenant.Entry{{Name: "x", Current: f, Next: same}, {Name: "y", Current: pods}}
	l.planAll(tenant.NewSnapshot(1, entries...), classes)
	l.current = l.wanted
	variantName := l.classFor(&f.Routes[0], "saldo", false)
	if v := l.current[variantName]; v.VariantOf != "saldo" || v.PriorityWeight != 3 || !slices.Equal(v.AllowedZones, []string{"b"}) || !slices.Equal(v.AllowedMachineTypes, []string{"m"}) {
		t.Errorf("%q: %+v", variantName, v)
	}
	if v := l.current[l.classFor(&f.Routes[0], "pagar", false)]; v.AllowedMachineTypes == nil || len(v.AllowedMachineTypes) != 0 || !slices.Equal(v.AllowedZones, []string{"b", "c"}) {
		t.Errorf("%+v", v)
	}
	if name := l.classFor(&f.Routes[0], "saldo", true); name != "" { // the previous settings had no variants
		t.Errorf("a variant that the previous settings did not have: %q", name)
	}
	if other := l.classFor(&same.Routes[0], "saldo", false); other != variantName || len(l.current) != 2 {
		t.Errorf("equal routes have %q and %q of %d", variantName, other, len(l.current))
	}
	if name := l.classFor(&pods.Routes[0], "saldo", false); name != "" {
		t.Errorf("a route of cells has variant %q", name)
	}
	if name := l.classFor(&tenant.Route{MinEndpoints: 2}, "saldo", false); name != "saldo" {
		t.Errorf("a route without restrictions has variant %q", name)
	}
	for i := range maxVariants {
		entries = append(entries, &tenant.Entry{Name: fmt.Sprint(i), Current: specOf(0, tenant.Route{Zones: []string{fmt.Sprint(i)}})})
	}
	if l.planAll(tenant.NewSnapshot(2, entries...), classes); len(l.wanted) != maxVariants {
		t.Errorf("%d variants", len(l.wanted))
	}
	last := entries[len(entries)-2:]                                                                                        // these were left out above
	if l.planChanges(tenant.NewSnapshot(3, last...), classes); len(l.wanted) != 3 || len(l.variantOf) != 4 || l.overLimit { // class saldo allows neither zone
		t.Errorf("after the others have gone: %d variants of %d routes", len(l.wanted), len(l.variantOf))
	}
	changed := []*tenant.Entry{last[0], {Name: "new", Current: specOf(0, tenant.Route{Zones: []string{last[1].Current.Routes[0].Zones[0]}})}}
	if l.planChanges(tenant.NewSnapshot(4, changed...), classes); len(l.wanted) != 3 || len(l.variantOf) != 4 {
		t.Errorf("after one has changed: %d variants of %d routes", len(l.wanted), len(l.variantOf))
	}
}
