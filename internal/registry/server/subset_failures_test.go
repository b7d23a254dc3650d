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

// clientFleet is a fleet of clients that follow subsets as proxies do. For the choice of a subset, each entry
// of the list counts as endpointsPerEntry endpoints.
type clientFleet struct {
	clients        []*client.Client
	wantedSubset   func(self, total int) registry.Subset
	withoutSubsets *client.Client // a client that knows no subsets
}

// endpointsPerEntry is the number of endpoints that an entry counts as, so that a small list has subsets.
const endpointsPerEntry = 100

// newClientFleet starts n clients that follow subsets, and one that follows the complete list.
func newClientFleet(t *testing.T, ctx context.Context, n int, wantedSubset func(self, total int) registry.Subset, addresses func(i int) []string) *clientFleet {
	c := &clientFleet{wantedSubset: wantedSubset}
	var tasks sync.WaitGroup
	t.Cleanup(tasks.Wait)
	for i := range n + 1 {
		conf := client.Config{Addresses: addresses(i), CacheFile: filepath.Join(t.TempDir(), "list"), Hold: time.Second, DeferralDelay: time.Second}
		if i < n {
			conf.ChooseSubset = func(_ registry.Subset, total int, _ []registry.Endpoint) registry.Subset {
				return c.wantedSubset(i, total)
			}
		}
		k, err := client.New(conf)
		if err != nil {
			t.Fatal(err)
		}
		if c.clients = append(c.clients, k); i == n {
			c.clients, c.withoutSubsets = c.clients[:n], k
		}
		tasks.Go(func() { k.Follow(ctx) })
	}
	return c
}

// callUntilOK repeats a call until its status is 200, which needs a leader.
func callUntilOK(t *testing.T, method, url, body string) string {
	t.Helper()
	for until := time.Now().Add(enough); ; time.Sleep(5 * time.Millisecond) {
		if status, response := call(t, method, url, body); status == 200 {
			return response
		} else if time.Now().After(until) {
			t.Fatalf("%s %s: %d %s", method, url, status, response)
		}
	}
}

// readCurrentList reads the current list from the leader.
func readCurrentList(t *testing.T, url string) (a registry.ListResponse) {
	t.Helper()
	if err := json.Unmarshal([]byte(callUntilOK(t, "GET", url+"/registry/instances?current=1", "")), &a); err != nil {
		t.Fatal(err)
	}
	return a
}

// settle waits until every client has the current entries of its subset.
func (c *clientFleet) settle(t *testing.T, when, url string) {
	t.Helper()
	a := readCurrentList(t, url)
	for i, k := range append(slices.Clone(c.clients), c.withoutSubsets) {
		subset := registry.Subset{}
		if k != c.withoutSubsets {
			subset = c.wantedSubset(i, len(a.Endpoints))
		}
		want := slices.DeleteFunc(slices.Clone(a.Endpoints), func(e registry.Endpoint) bool { return !subset.Contains(registry.Position(e.Name)) })
		timeout := time.After(enough)
		for {
			changed := k.Changed()
			v, _ := k.List()
			if v.Epoch == a.Epoch && v.Subset == subset && slices.Equal(v.Endpoints, want) {
				break
			}
			select {
			case <-changed:
			case <-timeout:
				t.Fatalf("%s: client %d has %d entries of subset %v at %s %d, want %d of %v at %s %d", when, i, len(v.Endpoints), v.Subset, v.Epoch, v.Version, len(want), subset, a.Epoch, a.Index)
			}
		}
	}
}

// subsetInFleet returns a choice of subsets for a fleet of a number of proxies.
func subsetInFleet(size int) func(self, total int) registry.Subset {
	return func(self, total int) registry.Subset { return registry.SubsetOf(self, size, endpointsPerEntry*total) }
}

// TestSubsetsConvergeOverFailures runs three replicas, each behind a link of its own. The clients get the
// current entries of their subsets after the list grows tenfold, after a replica that some clients watch
// falls silent, after that replica stops, and after a restore. A client that knows no subsets gets the
// complete list.
func TestSubsetsConvergeOverFailures(t *testing.T) {
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
	var linkAddresses []string
	stops := map[string]func(){}
	for _, name := range names {
		_, stop := startReplica(t, t.TempDir(), func(c *Config) {
			c.Name, c.Listen, c.Raft, c.Bootstrap, c.MaxWrites = name, at[name], raft[name], name == "r0", 1e6
			for _, other := range names {
				c.Replicas = append(c.Replicas, Replica{other, raft[other], at[other]})
			}
		})
		stops[name] = stop
		address, err := net.Connect(link.Ends{From: "clients", To: name}, at[name])
		if err != nil {
			t.Fatal(err)
		}
		linkAddresses = append(linkAddresses, address)
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
	c := newClientFleet(t, ctx, 24, subsetInFleet(4300), func(i int) []string { return append(slices.Clone(linkAddresses[i%3:]), linkAddresses[:i%3]...) })
	t.Cleanup(cancel)
	url := "http://" + at["r0"]
	c.settle(t, "at first", url)
	grow(60, 600)
	c.settle(t, "ten times as large", url)
	if subsets := map[registry.Subset]bool{c.wantedSubset(0, 600): true, c.wantedSubset(0, 60): true}; len(subsets) != 2 {
		t.Fatal("the list is too small to move a subset")
	}
	net.ApplyShape("silent", link.Shape{Hold: link.Both}, func(e link.Ends) bool { return e.To == "r1" })
	grow(600, 620)
	c.settle(t, "with a silent replica", url)
	net.RemoveShape("silent")
	stops["r1"]()
	delete(stops, "r1")
	grow(620, 640)
	c.settle(t, "with two replicas", url)
	backup := callUntilOK(t, "GET", url+"/registry/backup", "")
	grow(640, 700)
	callUntilOK(t, "POST", url+"/registry/restore?id=x&epoch="+readCurrentList(t, url).Epoch, backup)
	c.settle(t, "after a restore", url)
	if a := readCurrentList(t, url); len(a.Endpoints) != 640 {
		t.Fatalf("%d entries after the restore, want 640", len(a.Endpoints))
	}
	if _, err := writer.Drain(ctx, "s7", nil); err != nil {
		t.Fatal(err)
	}
	if _, err := writer.Remove(ctx, "s8", nil); err != nil {
		t.Fatal(err)
	}
	c.settle(t, "after a drain and a removal", url)
}

// TestProxiesWithDifferentFleetSizesConverge lets proxies assume fleets of different sizes: they follow
// subsets of different widths, each of them completely.
func TestProxiesWithDifferentFleetSizesConverge(t *testing.T) {
	url, stop := serve(t, t.TempDir(), func(c *Config) { c.MaxWrites = 1e6 })
	defer stop()
	for i := range 300 {
		register(t, url, fmt.Sprint("s", i), "")
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := newClientFleet(t, ctx, 12, func(self, total int) registry.Subset { return subsetInFleet(4300/(1+self%3*8))(self, total) },
		func(int) []string { return []string{strings.TrimPrefix(url, "http://")} })
	t.Cleanup(cancel)
	c.settle(t, "at first", url)
	widths := map[uint16]bool{}
	for _, k := range c.clients {
		v, _ := k.List()
		widths[v.Subset.Width] = true
	}
	if len(widths) < 2 {
		t.Errorf("the clients follow subsets of widths %v, want several", widths)
	}
	register(t, url, "another", "")
	c.settle(t, "with another server", url)
	if status, body := call(t, "GET", url+"/metrics", ""); status != 200 || !strings.Contains(body, "indigolist_parts ") {
		t.Errorf("%d %s", status, body)
	}
}
