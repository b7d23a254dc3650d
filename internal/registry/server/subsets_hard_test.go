package server

import (
	"context"
	"encoding/json"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"wrenspread/internal/lab/link"
	"wrenspread/internal/registry"
	"wrenspread/internal/registry/client"
)

// crowd is clients that follow parts as proxies do, in a fleet where each server counts for a hundred.
type crowd struct {
	clients []*client.Client
	wants   func(self, total int) registry.Subset
	whole   *client.Client // of a program that knows no parts
}

const eachCounts = 100

func newCrowd(t *testing.T, ctx context.Context, n int, wants func(self, total int) registry.Subset, addresses func(i int) []string) *crowd {
	c := &crowd{wants: wants}
	var tasks sync.WaitGroup
	t.Cleanup(tasks.Wait)
	for i := range n + 1 {
		conf := client.Config{Addresses: addresses(i), File: filepath.Join(t.TempDir(), "list"), Hold: time.Second, HoldBack: time.Second}
		if i < n {
			conf.ChooseSubset = func(_ registry.Subset, total int, _ []registry.Endpoint) registry.Subset { return c.wants(i, total) }
		}
		k, err := client.New(conf)
		if err != nil {
			t.Fatal(err)
		}
		if c.clients = append(c.clients, k); i == n {
			c.clients, c.whole = c.clients[:n], k
		}
		tasks.Go(func() { k.Follow(ctx) })
	}
	return c
}

// sure calls until a leader has answered.
func sure(t *testing.T, method, url, body string) string {
	t.Helper()
	for until := time.Now().Add(enough); ; time.Sleep(5 * time.Millisecond) {
		if status, answer := call(t, method, url, body); status == 200 {
			return answer
		} else if time.Now().After(until) {
			t.Fatalf("%s %s: %d %s", method, url, status, answer)
		}
	}
}

func current(t *testing.T, url string) (a registry.ListResponse) {
	t.Helper()
	if err := json.Unmarshal([]byte(sure(t, "GET", url+"/registry/instances?current=1", "")), &a); err != nil {
		t.Fatal(err)
	}
	return a
}

// settle waits until all have what is there now, each of its part.
func (c *crowd) settle(t *testing.T, when, url string) {
	t.Helper()
	a := current(t, url)
	for i, k := range append(slices.Clone(c.clients), c.whole) {
		part := registry.Subset{}
		if k != c.whole {
			part = c.wants(i, len(a.Endpoints))
		}
		want := slices.DeleteFunc(slices.Clone(a.Endpoints), func(e registry.Endpoint) bool { return !part.Contains(registry.Position(e.Name)) })
		late := time.After(enough)
		for {
			changed := k.Changed()
			v, _ := k.List()
			if v.Epoch == a.Epoch && v.Subset == part && slices.Equal(v.Endpoints, want) {
				break
			}
			select {
			case <-changed:
			case <-late:
				t.Fatalf("%s: client %d has %d of part %v at %s %d, want %d of %v at %s %d", when, i, len(v.Endpoints), v.Subset, v.Epoch, v.Version, len(want), part, a.Epoch, a.Index)
			}
		}
	}
}

func believed(nodes int) func(self, total int) registry.Subset {
	return func(self, total int) registry.Subset { return registry.SubsetOf(self, nodes, eachCounts*total) }
}

// TestPartsOverFailures: three replicas, each behind a link of its own. Clients of parts reach what is there after a
// replica that half of them watch is cut off without a word, after another ends, after a fleet that grows tenfold, after
// a restore, and where some believe in a fleet of another size. One of a program that knows no parts has all of it.
func TestPartsOverFailures(t *testing.T) {
	at, raft := map[string]string{}, map[string]string{}
	names := []string{"r0", "r1", "r2"}
	for _, name := range names {
		for _, m := range []map[string]string{at, raft} {
			address, free, err := link.Reserve()
			if err != nil {
				t.Fatal(err)
			}
			defer free()
			m[name] = address
		}
	}
	net := link.NewNet(1)
	defer net.Close()
	var doors []string
	stops := map[string]func(){}
	for _, name := range names {
		_, stop := begin(t, t.TempDir(), func(c *Config) {
			c.Name, c.Listen, c.Raft, c.Begin, c.MaxWrites = name, at[name], raft[name], name == "r0", 1e6
			for _, other := range names {
				c.Replicas = append(c.Replicas, Replica{other, raft[other], at[other]})
			}
		})
		stops[name] = stop
		door, err := net.Connect(link.Ends{From: "clients", To: name}, at[name])
		if err != nil {
			t.Fatal(err)
		}
		doors = append(doors, door)
	}
	defer func() {
		for _, stop := range stops {
			stop()
		}
	}()
	writer, err := client.New(client.Config{Addresses: []string{at["r0"], at["r2"]}})
	if err != nil {
		t.Fatal(err)
	}
	defer writer.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	grow := func(from, to int) {
		t.Helper()
		var tasks sync.WaitGroup
		for k := range 16 {
			tasks.Go(func() {
				for i := from + k; i < to; i += 16 {
					if _, err := writer.Register(ctx, *entry(fmt.Sprint("s", i), 1), 0, nil); err != nil {
						t.Error(err)
					}
				}
			})
		}
		tasks.Wait()
	}
	grow(0, 60)
	c := newCrowd(t, ctx, 24, believed(4300), func(i int) []string { return append(slices.Clone(doors[i%3:]), doors[:i%3]...) })
	t.Cleanup(cancel)
	url := "http://" + at["r0"]
	c.settle(t, "at first", url)
	grow(60, 600)
	c.settle(t, "ten times as large", url)
	if parts := map[registry.Subset]bool{c.wants(0, 600): true, c.wants(0, 60): true}; len(parts) != 2 {
		t.Fatal("the fleet is too small to move a part")
	}
	net.Lay("silent", link.Shape{Hold: link.Both}, func(e link.Ends) bool { return e.To == "r1" })
	grow(600, 620)
	c.settle(t, "with a silent replica", url)
	net.Lift("silent")
	stops["r1"]()
	delete(stops, "r1")
	grow(620, 640)
	c.settle(t, "with two replicas", url)
	kept := sure(t, "GET", url+"/registry/backup", "")
	grow(640, 700)
	sure(t, "POST", url+"/registry/restore?id=x&epoch="+current(t, url).Epoch, kept)
	c.settle(t, "after a restore", url)
	if a := current(t, url); len(a.Endpoints) != 640 {
		t.Fatalf("%d are restored", len(a.Endpoints))
	}
	if _, err := writer.Drain(ctx, "s7", nil); err != nil {
		t.Fatal(err)
	}
	if _, err := writer.Remove(ctx, "s8", nil); err != nil {
		t.Fatal(err)
	}
	c.settle(t, "after a drain and a removal", url)
}

// TestBeliefsDiffer: proxies that believe in fleets of other sizes follow parts of other widths of one list, each whole.
func TestBeliefsDiffer(t *testing.T) {
	url, stop := serve(t, t.TempDir(), func(c *Config) { c.MaxWrites = 1e6 })
	defer stop()
	for i := range 300 {
		put(t, url, fmt.Sprint("s", i), "")
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := newCrowd(t, ctx, 12, func(self, total int) registry.Subset { return believed(4300/(1+self%3*8))(self, total) },
		func(int) []string { return []string{strings.TrimPrefix(url, "http://")} })
	t.Cleanup(cancel)
	c.settle(t, "at first", url)
	widths := map[uint16]bool{}
	for _, k := range c.clients {
		v, _ := k.List()
		widths[v.Subset.Width] = true
	}
	if len(widths) < 2 {
		t.Errorf("they follow parts of widths %v", widths)
	}
	put(t, url, "another", "")
	c.settle(t, "with another server", url)
	if status, body := call(t, "GET", url+"/metrics", ""); status != 200 || !strings.Contains(body, "indigolist_parts ") {
		t.Errorf("%d %s", status, body)
	}
}
