// Command slow-discovery plays a discovery that answers slowly, is silent for a minute, and returns with a
// drain that it learned of meanwhile. The drain counts as told 6 s after the return.
package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"review/kit"
)

const (
	proxies = 4
	outage  = 52 * time.Second
	told    = 6 * time.Second // after the return at the latest
	grace   = 2*time.Second + 50*time.Millisecond
	watched = 18 * time.Second // after the return
)

func main() {
	c := kit.Begin()
	settings := strings.NewReplacer(`"balancers": 1`, `"balancers": 40`, `"membership_mode": "pushed"`,
		`"membership_mode": "on_request"`).Replace(kit.Settings)
	var mu sync.Mutex
	late := 0
	var wait sync.WaitGroup
	for k := range proxies {
		wait.Go(func() {
			serve := func(b *kit.Backend, conn net.Conn, r *kit.Received) bool {
				time.Sleep(10 * time.Millisecond)
				return kit.Answer(conn, "answer for "+r.ID)
			}
			var all []*kit.Backend
			var entries []kit.Entry
			for i := range 3 {
				b := c.NewBackend(fmt.Sprintf("s-%d-%d", k, i+1), serve)
				all, entries = append(all, b), append(entries, b.Entry("ready"))
			}
			d := c.NewDiscovery(entries)
			d.Slow(100 * time.Millisecond)
			listen := c.FreePort()
			name := fmt.Sprintf("n%d", k)
			p := c.StartProxy(name, c.WriteConfig(name, listen, d.Address, d.List(), settings), c.FreePort(), c.Dir, nil)
			if !p.AwaitReady(10 * time.Second) {
				c.Fail("the proxy is not ready")
			}
			stop := make(chan struct{})
			go func() {
				client := &http.Client{Timeout: 3 * time.Second}
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					case <-time.After(40 * time.Millisecond):
					}
					id := fmt.Sprintf("%s-%06d", name, n)
					_, _, _ = kit.Ask(client, "GET", "http://"+listen+"/api", id, "ledger-view", "", 1200*time.Millisecond, nil)
				}
			}()
			time.Sleep(8 * time.Second) // the watch is open
			if c.Trouble {
				d.Silence(true)
				began := time.Now()
				time.Sleep(outage - 5*time.Second)
				d.Set(all[0].Entry("draining"))
				time.Sleep(5 * time.Second)
				for !d.Unasked(500*time.Millisecond) && time.Since(began) < outage+16*time.Second {
					time.Sleep(10 * time.Millisecond)
				}
				d.Silence(false)
			} else {
				d.Set(all[0].Entry("draining"))
			}
			returned := time.Now()
			time.Sleep(watched)
			close(stop)
			n := 0
			for _, r := range all[0].Got() {
				if r.First.After(returned.Add(told + grace)) {
					n++
				}
			}
			at := "never"
			if t := d.Told(all[0].Name, "draining"); !t.IsZero() {
				at = t.Sub(returned).Round(10 * time.Millisecond).String()
			}
			c.Say("%s: the drain was written to it %s after the return; %d requests came over %v after the return", name, at, n, told+grace)
			mu.Lock()
			late += n
			mu.Unlock()
		})
	}
	wait.Wait()
	if late > 0 {
		c.End(kit.Broken)
	}
	c.End(kit.Held)
}
