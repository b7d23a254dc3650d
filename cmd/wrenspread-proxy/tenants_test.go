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

func kalahari(classes, zone string) string {
	return fmt.Sprintf(`{"names":["k","kal"],"classes":[%s],"quotas":[{"limit":"book/k:repeats"}],"routes":[{"zones":[%q]}]}`, classes, zone)
}

// change has k changed from classes a and b in z1, with requests all the time.
func (f *bookFleet) change(t *testing.T) {
	next := false
	stop := f.watch(t, func(_ int32, node, class, said string) {
		former := class == "b" && said == "200 z1" || class == "c" && said == "403"
		latter := class == "b" && said == "403" || class == "c" && said == "200 z2"
		if !former && !latter && said != "503" || former && next {
			t.Errorf("%s says %s of %s, the next form was seen: %v", node, said, class, next)
		}
		next = next || latter
	}, "k", "b", "c")
	f.order(tenant.OrderChange, "k", kalahari(`"a","c"`, "z2"))
	labtest.Await(t, "the change everywhere", f.all("k", "c", "200 z2"))
	stop()
}

// knows are the tenants that a proxy tells its operator of.
func (f *bookFleet) knows(node string) (all []string) {
	var r tenant.Report
	_, body, _ := ask("GET", "http://"+f.nodes[node].control+"/tenants", nil)
	if err := json.Unmarshal([]byte(body), &r); err != nil || !r.Ready {
		f.t.Errorf("%v: %s", err, body)
	}
	for _, one := range r.Tenants {
		all = append(all, one.Name)
	}
	return all
}

// TestTenantsOnDemand: of a catalogue that is a hash tree one proxy reads what its requests name, another all of it.
func TestTenantsOnDemand(t *testing.T) {
	f := newBookFleet(t, true)
	f.demand["n0"] = true
	for _, name := range []string{"n0", "n1"} {
		f.lay(name)
		f.start(name).waitReady(t)
	}
	f.order(tenant.OrderAdd, "k", kalahari(`"a","b"`, "z1"))
	f.order(tenant.OrderAdd, "l", `{"names":["l"],"classes":["a"],"quotas":[{"limit":"book/l:repeats"}],"routes":[{}]}`)
	if n0, n1 := f.knows("n0"), f.knows("n1"); len(n0) != 0 || !slices.Equal(n1, []string{"k", "l"}) {
		t.Errorf("before the first request they know %v and %v", n0, n1)
	}
	for _, name := range []string{"k", "kal"} { // each has its own part
		if said := f.says("n0", name, "a"); said != "200 z1" {
			t.Errorf("the first request of %s is told %s", name, said)
		}
	}
	if said := f.says("n0", "nobody", "a"); said != "404" {
		t.Errorf("a name that nobody has is told %s", said)
	}
	if n0 := f.knows("n0"); !slices.Equal(n0, []string{"k"}) {
		t.Errorf("it has read %v", n0)
	}
	t.Run("a change is seen whole and never goes back", f.change)

	f.cut("n0")
	labtest.Await(t, "the end of its right", func() bool { return f.says("n0", "nobody", "a") == "503" })
	for name, want := range map[string]string{"k": "200 z2", "kal": "200 z2", "l": "503"} {
		if said := f.says("n0", name, "a"); said != want {
			t.Errorf("without the service %s is told %s, want %s", name, said, want)
		}
	}
	f.heal("n0")
	labtest.Await(t, "n0 to serve l", func() bool { return strings.HasPrefix(f.says("n0", "l", "a"), "200") })
	f.order(tenant.OrderRemove, "k", "")
	labtest.Await(t, "the end of k", f.all("k", "a", "404"))
}

// TestTenants: three real proxies bring tenants in, change and remove them, with requests all the time, one proxy cut off
// from the registry, one that leaves and one that begins without the service.
func TestTenants(t *testing.T) {
	f := newBookFleet(t, false)
	for _, name := range []string{"n0", "n1", "n2"} {
		f.lay(name)
	}
	for name := range f.places {
		f.start(name)
	}
	for _, c := range f.nodes {
		c.waitReady(t)
	}
	labtest.Await(t, "a definite no", f.all("k", "a", "404"))

	t.Run("nobody serves before it is active, and nobody denies it after", func(t *testing.T) {
		served := false
		stop := f.watch(t, func(_ int32, node, _, said string) {
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
		f.order(tenant.OrderAdd, "k", kalahari(`"a","b"`, "z1"))
		for range 5 {
			for node := range f.nodes {
				if said := f.says(node, "k", "a"); said == "404" || said == "403" {
					t.Errorf("%s says %s after add has returned", node, said)
				}
			}
		}
		labtest.Await(t, "k everywhere", f.all("k", "a", "200 z1"))
		stop()
	})

	t.Run("a change is seen whole and never goes back", f.change)

	t.Run("one that is cut off is not sure, and serves on", func(t *testing.T) {
		f.cut("n2")
		before := f.done.Load()
		stop := f.watch(t, func(done int32, node, _, said string) {
			if done > before && (said == "404" || said == "403") {
				t.Errorf("%s says %s of a tenant that is active", node, said)
			}
		}, "l", "a")
		stopKnown := f.watch(t, func(_ int32, node, _, said string) {
			if said != "200 z2" {
				t.Errorf("%s says %s of a tenant that it knows", node, said)
			}
		}, "k", "a")
		f.order(tenant.OrderAdd, "l", `{"names":["l"],"classes":["a"],"quotas":[{"limit":"book/l:repeats"}],"routes":[{}]}`)
		for node, want := range map[string]string{"n0": "200", "n1": "200", "n2": "503"} {
			labtest.Await(t, node+" to say "+want, func() bool { return strings.HasPrefix(f.says(node, "l", "a"), want) })
		}
		if status, _, _ := ask("GET", "http://"+f.nodes["n2"].control+"/healthcheck", nil); status != 200 {
			t.Errorf("the node that is cut off is not ready: %d", status)
		}
		f.heal("n2")
		labtest.Await(t, "n2 to serve l", func() bool { return strings.HasPrefix(f.says("n2", "l", "a"), "200") })
		stop()
		stopKnown()
	})

	t.Run("what is removed is gone", func(t *testing.T) {
		f.order(tenant.OrderRemove, "k", "")
		labtest.Await(t, "the end of k", f.all("k", "a", "404"))
	})

	t.Run("a node that begins without the service is not ready", func(t *testing.T) {
		f.lay("n3")
		f.cut("n3")
		late := f.start("n3")
		late.waitSaid(t, "no session with the registry")
		late.waitSaid(t, "no session with the registry")
		if status, _, _ := ask("GET", "http://"+late.control+"/healthcheck", nil); status != 503 {
			t.Errorf("it is ready: %d", status)
		}
		if said := f.says("n3", "nobody", "a"); said != "503" {
			t.Errorf("it says %s", said)
		}
		f.heal("n3")
		late.waitReady(t)
		if knows := f.knows("n3"); !slices.Equal(knows, []string{"l"}) {
			t.Errorf("it knows %v", knows)
		}
	})

	t.Run("nobody sees an upgrade", func(t *testing.T) {
		former := f.nodes["n1"]
		stop := f.watch(t, func(_ int32, node, _, said string) {
			if !strings.HasPrefix(said, "200") {
				t.Errorf("%s says %s", node, said)
			}
		}, "l", "a")
		f.start("n1").waitReady(t)
		former.waitSaid(t, "handing over")
		besteffort.Signal(former.Process.Signal(syscall.SIGTERM))
		former.waitEnd(t)
		stop()
		f.order(tenant.OrderSuspend, "l", "") // which waits for all on the member record
		labtest.Await(t, "the new process to refuse l", f.all("l", "a", "403"))
	})

	t.Run("one that ends is off the book", func(t *testing.T) {
		c := f.nodes["n0"]
		besteffort.Signal(c.Process.Signal(syscall.SIGTERM))
		c.waitEnd(t)
		s, err := tenant.ReadStored(t.Context(), f.k)
		if err != nil || slices.ContainsFunc(s.Members.Members, func(m tenant.Member) bool { return m.Name == "n0" }) {
			t.Errorf("%v: the book has %v", err, s.Members.Members)
		}
	})
}
