package controller

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/lab/labtest"
	"wrenspread/internal/registry"
)

// TestSecondControllerTakesOverRemovingOrphans: the controller that holds the lease removes an orphaned
// endpoint and no other. Once it ends, the second controller gets the lease and removes the next orphan.
func TestSecondControllerTakesOverRemovingOrphans(t *testing.T) {
	quiet := slog.New(slog.DiscardHandler)
	registryAddress, registryClient := labtest.StartRegistry(t)
	ctx, cancel := context.WithTimeout(context.Background(), labtest.HangTimeout)
	defer cancel()
	listening, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer besteffort.Close(listening)
	unusedAddress := labtest.Address(t)
	register := func(name, address, status string) {
		t.Helper()
		if _, err := registryClient.Register(
			ctx,
			registry.Endpoint{Name: name, Address: address, Status: status},
			0,
			nil,
		); err != nil {
			t.Fatal(err)
		}
	}
	register("draining", listening.Addr().String(), registry.Draining)
	register("silent", unusedAddress, registry.Ready)
	register("orphan", unusedAddress, registry.Draining)
	proxy := httptest.NewServer(
		http.HandlerFunc(
			func(w http.ResponseWriter, r *http.Request) { besteffort.Output(fmt.Fprint(w, "app.discovered:9|g\n")) },
		),
	)
	defer proxy.Close()
	start := func(name string) func() {
		c := Default()
		c.Process, c.Registry, c.Listen, c.Interval, c.Thresholds = name, []string{
			registryAddress,
		}, labtest.Address(
			t,
		), 100*time.Millisecond, Thresholds{
			300 * time.Millisecond,
			time.Second,
		}
		c.Proxies = []Proxy{{"n0", proxy.Listener.Addr().String()}}
		return labtest.Start(t, func(ctx context.Context) error { return Run(ctx, c, quiet) })
	}
	registeredNames := func() (names []string) {
		list, err := registryClient.CurrentList(ctx)
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range list.Endpoints {
			names = append(names, e.Name)
		}
		return names
	}
	holder := func() string {
		leases, err := registryClient.Leases(ctx)
		if err != nil {
			t.Fatal(err)
		}
		for _, l := range leases.Leases {
			return l.Process
		}
		return ""
	}
	stopFirst := start("one")
	labtest.Await(t, "the first holder", func() bool { return holder() == "one" })
	stopSecond := start("two")
	labtest.Await(t, "the removal of the orphan", func() bool { return fmt.Sprint(registeredNames()) == "[draining silent]" })
	stopFirst()
	labtest.Await(t, "the second holder", func() bool { return holder() == "two" })
	register("orphan", unusedAddress, registry.Draining)
	labtest.Await(t, "the removal of the second orphan", func() bool { return fmt.Sprint(registeredNames()) == "[draining silent]" })
	stopSecond()
}
