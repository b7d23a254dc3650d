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

// TestTwoKeepers: one of two takes an orphan off the list, and nothing else; once it
// ends, the other goes on.
func TestTwoKeepers(t *testing.T) {
	quiet := slog.New(slog.DiscardHandler)
	service, k := labtest.List(t)
	ctx, cancel := context.WithTimeout(context.Background(), labtest.Enough)
	defer cancel()
	alive, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer besteffort.Close(alive)
	dead := labtest.Address(t)
	add := func(name, at, status string) {
		t.Helper()
		if _, err := k.Register(
			ctx,
			registry.Endpoint{Name: name, Address: at, Status: status},
			0,
			nil,
		); err != nil {
			t.Fatal(err)
		}
	}
	add("leaves", alive.Addr().String(), registry.Draining)
	add("silent", dead, registry.Ready)
	add("orphan", dead, registry.Draining)
	node := httptest.NewServer(
		http.HandlerFunc(
			func(w http.ResponseWriter, r *http.Request) { besteffort.Output(fmt.Fprint(w, "app.discovered:9|g\n")) },
		),
	)
	defer node.Close()
	begin := func(name string) func() {
		c := Default()
		c.Process, c.Registry, c.Listen, c.Every, c.Thresholds = name, []string{
			service,
		}, labtest.Address(
			t,
		), 100*time.Millisecond, Thresholds{
			300 * time.Millisecond,
			time.Second,
		}
		c.Proxies = []Proxy{{"n0", node.Listener.Addr().String()}}
		return labtest.Run(t, func(ctx context.Context) error { return Run(ctx, c, quiet) })
	}
	names := func() (all []string) {
		a, err := k.CurrentList(ctx)
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range a.Endpoints {
			all = append(all, e.Name)
		}
		return all
	}
	holder := func() string {
		a, err := k.Leases(ctx)
		if err != nil {
			t.Fatal(err)
		}
		for _, d := range a.Leases {
			return d.Process
		}
		return ""
	}
	stopFirst := begin("one")
	labtest.Await(t, "the first holder", func() bool { return holder() == "one" })
	stopSecond := begin("two")
	labtest.Await(t, "the orphan's end", func() bool { return fmt.Sprint(names()) == "[leaves silent]" })
	stopFirst()
	labtest.Await(t, "the second holder", func() bool { return holder() == "two" })
	add("orphan", dead, registry.Draining)
	labtest.Await(t, "the second orphan's end", func() bool { return fmt.Sprint(names()) == "[leaves silent]" })
	stopSecond()
}
