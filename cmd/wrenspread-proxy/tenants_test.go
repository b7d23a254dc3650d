package main

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"syscall"
	"testing"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/lab/labtest"
	"wrenspread/internal/tenant"
)

// specOfK returns the spec of the tenant k, whose second name is kal.
func specOfK(classes, zone string) string {
	return fmt.Sprintf(`{"names":["k","kal"],"classes":[%s],"quotas":[{"limit":"book/k:repeats"}],"routes":[{"zones":[%q]}]}`, classes, zone)
}

// testChange changes k under load, from the classes a and b in z1 to a and c in z2. Each proxy must answer by
// the previous spec or by the new one. Once any proxy has answered by the new spec, no proxy may answer by
// the previous one.
func (f *tenantFleet) testChange(t *testing.T) {
	changeSeen := false
	stop := f.requestAll(t, func(_ int32, node, class, answer string) {
		previous := class == "b" && answer == "200 z1" || class == "c" && answer == "403"
		changed := class == "b" && answer == "403" || class == "c" && answer == "200 z2"
		if !previous && !changed && answer != "503" || previous && changeSeen {
			t.Errorf("%s answers %s for class %s, new spec seen before: %v", node, answer, class, changeSeen)
		}
		changeSeen = changeSeen || changed
	}, "k", "b", "c")
	f.order(tenant.OrderChange, "k", specOfK(`"a","c"`, "z2"))
	labtest.Await(t, "all proxies to use the new spec", f.allAnswer("k", "c", "200 z2"))
	stop()
}

// knownTenants returns the names of the tenants in a proxy's report.
func (f *tenantFleet) knownTenants(node string) (names []string) {
	var r tenant.Report
	_, body, _ := sendRequest("GET", "http://"+f.processes[node].control+"/tenants", nil)
	if err := json.Unmarshal([]byte(body), &r); err != nil || !r.Ready {
		f.t.Errorf("%v: %s", err, body)
	}
	for _, known := range r.Tenants {
		names = append(names, known.Name)
	}
	return names
}

// TestProxyReadsTenantsOnDemand: the catalogue is a hash tree. The proxy n0 reads only the tenants that
// requests name, and n1 reads the complete catalogue. Without the registry, n0 serves the tenants that it has
// read.
func TestProxyReadsTenantsOnDemand(t *testing.T) {
	f := newTenantFleet(t, true)
	f.onDemand["n0"] = true
	for _, name := range []string{"n0", "n1"} {
		f.connect(name)
		f.start(name).waitReady(t)
	}
	f.order(tenant.OrderAdd, "k", specOfK(`"a","b"`, "z1"))
	f.order(tenant.OrderAdd, "l", `{"names":["l"],"classes":["a"],"quotas":[{"limit":"book/l:repeats"}],"routes":[{}]}`)
	if n0, n1 := f.knownTenants("n0"), f.knownTenants("n1"); len(n0) != 0 || !slices.Equal(n1, []string{"k", "l"}) {
		t.Errorf("before the first request the proxies know %v and %v", n0, n1)
	}
	for _, name := range []string{"k", "kal"} { // each name has a leaf of its own
		if answer := f.request("n0", name, "a"); answer != "200 z1" {
			t.Errorf("the first request of %s is answered with %s", name, answer)
		}
	}
	if answer := f.request("n0", "nobody", "a"); answer != "404" {
		t.Errorf("a name without a tenant is answered with %s, want 404", answer)
	}
	if n0 := f.knownTenants("n0"); !slices.Equal(n0, []string{"k"}) {
		t.Errorf("n0 has read %v, want k only", n0)
	}
	t.Run("no proxy uses the previous spec after the new one was seen", f.testChange)

	f.cut("n0")
	labtest.Await(t, "a 503 for an unknown name without the registry", func() bool { return f.request("n0", "nobody", "a") == "503" })
	for name, want := range map[string]string{"k": "200 z2", "kal": "200 z2", "l": "503"} {
		if answer := f.request("n0", name, "a"); answer != want {
			t.Errorf("without the registry %s is answered with %s, want %s", name, answer, want)
		}
	}
	f.heal("n0")
	labtest.Await(t, "n0 to serve l", func() bool { return strings.HasPrefix(f.request("n0", "l", "a"), "200") })
	f.order(tenant.OrderRemove, "k", "")
	labtest.Await(t, "a 404 for k from all proxies", f.allAnswer("k", "a", "404"))
}

// TestTenantOrdersUnderLoad: tenants are added, changed and removed on three real proxies under load. One
// proxy is cut off from the registry meanwhile, one is started without the registry, one is upgraded and one
// ends.
func TestTenantOrdersUnderLoad(t *testing.T) {
	f := newTenantFleet(t, false)
	for _, name := range []string{"n0", "n1", "n2"} {
		f.connect(name)
	}
	for name := range f.platforms {
		f.start(name)
	}
	for _, c := range f.processes {
		c.waitReady(t)
	}
	labtest.Await(t, "a 404 from all proxies", f.allAnswer("k", "a", "404"))

	t.Run("no proxy serves a tenant before it is active or denies it afterwards", func(t *testing.T) {
		served := false
		stop := f.requestAll(t, func(_ int32, node, _, answer string) {
			switch {
			case strings.HasPrefix(answer, "200"):
				if !served && f.state("k") != tenant.Active {
					t.Errorf("%s serves a tenant in state %s", node, f.state("k"))
				}
				if served = true; answer != "200 z1" {
					t.Errorf("%s answers by another route: %s", node, answer)
				}
			case answer != "503" && (served || answer != "404"):
				t.Errorf("%s answers %s, served before: %v", node, answer, served)
			}
		}, "kal", "a")
		f.order(tenant.OrderAdd, "k", specOfK(`"a","b"`, "z1"))
		for range 5 {
			for node := range f.processes {
				if answer := f.request(node, "k", "a"); answer == "404" || answer == "403" {
					t.Errorf("%s answers %s after the order add has ended", node, answer)
				}
			}
		}
		labtest.Await(t, "all proxies to serve k", f.allAnswer("k", "a", "200 z1"))
		stop()
	})

	t.Run("no proxy uses the previous spec after the new one was seen", f.testChange)

	t.Run("a proxy without the registry serves known tenants and answers 503 for others", func(t *testing.T) {
		f.cut("n2")
		before := f.ordersDone.Load()
		stop := f.requestAll(t, func(ordersDone int32, node, _, answer string) {
			if ordersDone > before && (answer == "404" || answer == "403") {
				t.Errorf("%s answers %s for a tenant that is active", node, answer)
			}
		}, "l", "a")
		stopKnown := f.requestAll(t, func(_ int32, node, _, answer string) {
			if answer != "200 z2" {
				t.Errorf("%s answers %s for a tenant that it knows", node, answer)
			}
		}, "k", "a")
		f.order(tenant.OrderAdd, "l", `{"names":["l"],"classes":["a"],"quotas":[{"limit":"book/l:repeats"}],"routes":[{}]}`)
		for node, want := range map[string]string{"n0": "200", "n1": "200", "n2": "503"} {
			labtest.Await(t, node+" to answer "+want, func() bool { return strings.HasPrefix(f.request(node, "l", "a"), want) })
		}
		if status, _, _ := sendRequest("GET", "http://"+f.processes["n2"].control+"/healthcheck", nil); status != 200 {
			t.Errorf("the proxy that is cut off is not ready: status %d", status)
		}
		f.heal("n2")
		labtest.Await(t, "n2 to serve l", func() bool { return strings.HasPrefix(f.request("n2", "l", "a"), "200") })
		stop()
		stopKnown()
	})

	t.Run("a removed tenant gets 404", func(t *testing.T) {
		f.order(tenant.OrderRemove, "k", "")
		labtest.Await(t, "a 404 for the removed k", f.allAnswer("k", "a", "404"))
	})

	t.Run("a proxy that starts without the registry is not ready", func(t *testing.T) {
		f.connect("n3")
		f.cut("n3")
		isolated := f.start("n3")
		isolated.waitLogged(t, "no session with the registry")
		isolated.waitLogged(t, "no session with the registry")
		if status, _, _ := sendRequest("GET", "http://"+isolated.control+"/healthcheck", nil); status != 503 {
			t.Errorf("health check without the registry: status %d, want 503", status)
		}
		if answer := f.request("n3", "nobody", "a"); answer != "503" {
			t.Errorf("request without the registry: %s, want 503", answer)
		}
		f.heal("n3")
		isolated.waitReady(t)
		if known := f.knownTenants("n3"); !slices.Equal(known, []string{"l"}) {
			t.Errorf("n3 knows %v, want l", known)
		}
	})

	t.Run("an upgrade fails no request", func(t *testing.T) {
		previous := f.processes["n1"]
		stop := f.requestAll(t, func(_ int32, node, _, answer string) {
			if !strings.HasPrefix(answer, "200") {
				t.Errorf("%s answers %s during an upgrade", node, answer)
			}
		}, "l", "a")
		f.start("n1").waitReady(t)
		previous.waitLogged(t, "handing over")
		besteffort.Signal(previous.Process.Signal(syscall.SIGTERM))
		previous.waitEnd(t)
		stop()
		f.order(tenant.OrderSuspend, "l", "") // ends once all proxies in the member record have it
		labtest.Await(t, "a 403 for l from the new process", f.allAnswer("l", "a", "403"))
	})

	t.Run("a proxy that ends is removed from the member record", func(t *testing.T) {
		c := f.processes["n0"]
		besteffort.Signal(c.Process.Signal(syscall.SIGTERM))
		c.waitEnd(t)
		s, err := tenant.ReadStored(t.Context(), f.client)
		if err != nil || slices.ContainsFunc(s.Members.Members, func(m tenant.Member) bool { return m.Name == "n0" }) {
			t.Errorf("%v: the member record has %v after the end of n0", err, s.Members.Members)
		}
	})
}
