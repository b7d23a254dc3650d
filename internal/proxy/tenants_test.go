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

// tenantSpec returns a spec of tenant "k" with the given drain time and routes.
func tenantSpec(drainTime time.Duration, routes ...tenant.Route) *tenant.Spec {
	return &tenant.Spec{Names: []string{"k"}, Classes: []string{"saldo", "pagar"}, Quotas: []tenant.QuotaRef{{Limit: "book/k"}}, Routes: routes, DrainMS: drainTime.Milliseconds()}
}

// withTenants enables tenants in a proxy. The proxy reads no registry; the test applies the data instead.
func withTenants(t *testing.T, srv *Server) {
	srv.config.Tenants.Enabled, srv.config.Registry = true, []string{"127.0.0.1:1"}
	var err error
	if srv.tenants, err = newTenantService(srv.config); err != nil {
		t.Fatal(err)
	}
	srv.config.Registry = nil
}

// applySnapshot applies the catalogue of the given number, with tenant "k" in the given phase.
func (srv *Server) applySnapshot(number uint64, phase tenant.Phase, spec *tenant.Spec) {
	snapshot := tenant.NewSnapshot(number, &tenant.Entry{Name: "k", Phase: phase, Current: spec, Since: number})
	srv.applyCatalogue(tenant.CatalogueRead{StartedAt: srv.tenantClock(), Enrolled: true, Snapshot: snapshot})
}

// TestOpenRequestsEndWhenTheirTenantIsDrained: when a tenant's drain time has passed, a request that may have
// been executed is answered 502, and a response that has begun is cut off. The proxy's report counts neither
// request as open.
func TestOpenRequestsEndWhenTheirTenantIsDrained(t *testing.T) {
	arrived := make(chan bool, 2)
	srv := startProxyWith(t, func(srv *Server) {
		withTenants(t, srv)
		srv.setTenantPolicy(&ratelimit.Table{Limits: []ratelimit.Limit{{Name: "book/k", Scope: -1}}})
		srv.applySnapshot(1, tenant.PhaseServe, tenantSpec(0, tenant.Route{Zones: []string{"a"}}))
	}, backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for req := readRequest(r); req != nil; req = readRequest(r) {
			if req.Header.Get("X-Request-Id") == "long" {
				besteffort.Output(fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 2*maxBufferedBody))
				besteffort.Output(c.Write(make([]byte, maxBufferedBody+1)))
			}
			arrived <- true
		}
	}))
	send := func(id string) clientConn {
		c := srv.dial(t)
		besteffort.Output(fmt.Fprintf(c, "GET /api/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\nX-Class: saldo\r\nX-Tenant: k\r\nX-Deadline: 20\r\n\r\n", id))
		return c
	}
	open, long := send("open"), send("long")
	for range 2 {
		wait(t, arrived, "the backend")
	}
	resp, err := http.ReadResponse(long.reader, nil)
	if err != nil || resp.StatusCode != 200 {
		t.Fatal(resp, err)
	}
	srv.do(func() { srv.applySnapshot(2, tenant.PhaseDrain, tenantSpec(0, tenant.Route{})) })
	if status := open.readStatus(t); status != http.StatusBadGateway {
		t.Errorf("a request that may have been executed is answered %d, want 502", status)
	}
	besteffort.SocketOption(long.SetReadDeadline(time.Now().Add(progressTimeout / 2))) // before progressTimeout would end the stalled response
	if _, err := io.ReadAll(resp.Body); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the long response is not cut off: %v", err)
	}
	for until := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		var r tenant.Report
		srv.do(func() { r = srv.tenants.cache.Report(srv.tenantClock()) })
		if len(r.Tenants) == 1 && r.Tenants[0].OpenRequests == 0 {
			break
		}
		if time.Now().After(until) {
			t.Fatalf("the tenant still has open requests: %+v", r)
		}
	}
	// The proxy has no session with the registry, so the name may belong to another tenant by now. The status is
	// therefore not 403.
	if status := send("late").readStatus(t); status != http.StatusServiceUnavailable {
		t.Errorf("a request after the drain is answered %d, want 503", status)
	}
}

// TestNotReadyWithoutCatalogueAndMemberRecord: the proxy is not ready before it has the catalogue and is
// in the member record.
func TestNotReadyWithoutCatalogueAndMemberRecord(t *testing.T) {
	srv := New(testConfig("127.0.0.1:1"), discardLog)
	withTenants(t, srv)
	srv.listedEndpoints["s"] = 1
	for i, event := range []any{tenant.PolicyChanged{}, tenant.CatalogueRead{Enrolled: true}, tenant.CatalogueRead{Snapshot: tenant.NewSnapshot(1)}, tenant.CatalogueRead{Enrolled: true, Snapshot: tenant.NewSnapshot(1)}} {
		srv.handleTenantEvent(event)
		if srv.updateReady(); srv.frontend.ready.Load() != (i == 3) {
			t.Errorf("ready is wrong after %d events: want true only after the last one", i+1)
		}
	}
}

// TestRouteVariantsOfClasses: the variant of a class for a route allows the zones and machine types that both
// the class and the route allow. Equal routes share a variant. A route that names cells has no variant. At most
// maxVariants variants exist.
func TestRouteVariantsOfClasses(t *testing.T) {
	classes := []balancer.Class{{Name: "saldo", AllowedZones: []string{"a", "b"}, PriorityWeight: 3}, {Name: "pagar", AllowedMachineTypes: []string{}}}
	variants := newRouteVariants()
	spec := tenantSpec(0, tenant.Route{Zones: []string{"b", "c", "b"}, MachineTypes: []string{"m"}})
	equalSpec := tenantSpec(0, tenant.Route{Zones: []string{"c", "b"}, MachineTypes: []string{"m"}})
	cellSpec := tenantSpec(0, tenant.Route{Cells: []int{1}})
	entries := []*tenant.Entry{{Name: "x", Current: spec, Next: equalSpec}, {Name: "y", Current: cellSpec}}
	variants.planAll(tenant.NewSnapshot(1, entries...), classes)
	variants.current = variants.wanted
	variantName := variants.classFor(&spec.Routes[0], "saldo", false)
	if v := variants.current[variantName]; v.VariantOf != "saldo" || v.PriorityWeight != 3 || !slices.Equal(v.AllowedZones, []string{"b"}) || !slices.Equal(v.AllowedMachineTypes, []string{"m"}) {
		t.Errorf("%q: %+v", variantName, v)
	}
	if v := variants.current[variants.classFor(&spec.Routes[0], "pagar", false)]; v.AllowedMachineTypes == nil || len(v.AllowedMachineTypes) != 0 || !slices.Equal(v.AllowedZones, []string{"b", "c"}) {
		t.Errorf("variant of pagar: %+v, want no machine type and zones b and c", v)
	}
	if name := variants.classFor(&spec.Routes[0], "saldo", true); name != "" { // the previous settings had no variants
		t.Errorf("variant %q in the previous settings, which had no variants", name)
	}
	if other := variants.classFor(&equalSpec.Routes[0], "saldo", false); other != variantName || len(variants.current) != 2 {
		t.Errorf("equal routes have variants %q and %q of %d, want one of 2", variantName, other, len(variants.current))
	}
	if name := variants.classFor(&cellSpec.Routes[0], "saldo", false); name != "" {
		t.Errorf("a route that names cells has variant %q", name)
	}
	if name := variants.classFor(&tenant.Route{MinEndpoints: 2}, "saldo", false); name != "saldo" {
		t.Errorf("a route without restrictions has variant %q", name)
	}
	for i := range maxVariants {
		entries = append(entries, &tenant.Entry{Name: fmt.Sprint(i), Current: tenantSpec(0, tenant.Route{Zones: []string{fmt.Sprint(i)}})})
	}
	if variants.planAll(tenant.NewSnapshot(2, entries...), classes); len(variants.wanted) != maxVariants {
		t.Errorf("%d variants, want maxVariants", len(variants.wanted))
	}
	// The last two entries exceeded the limit above.
	last := entries[len(entries)-2:]
	if variants.planChanges(tenant.NewSnapshot(3, last...), classes); len(variants.wanted) != 3 || len(variants.variantOf) != 4 || variants.overLimit { // class saldo allows neither zone
		t.Errorf("after the other tenants have been removed: %d variants of %d routes", len(variants.wanted), len(variants.variantOf))
	}
	changed := []*tenant.Entry{last[0], {Name: "new", Current: tenantSpec(0, tenant.Route{Zones: []string{last[1].Current.Routes[0].Zones[0]}})}}
	if variants.planChanges(tenant.NewSnapshot(4, changed...), classes); len(variants.wanted) != 3 || len(variants.variantOf) != 4 {
		t.Errorf("after a tenant has been replaced: %d variants of %d routes", len(variants.wanted), len(variants.variantOf))
	}
}
