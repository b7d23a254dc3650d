// Command late-answer plays backends that sometimes send their answer a second time, some milliseconds
// late. Each client must get the body that a backend made for its own request, or a refusal or a failure.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"review/kit"
)

const (
	seed     = 1
	length   = 20 * time.Second
	clients  = 3
	backends = 3
	work     = 15 * time.Millisecond
	spoilt   = 0.1 // share of the answers that come a second time
	// The second answer comes this long after the first one.
	earliest = 6 * time.Millisecond
	latest   = 9 * time.Millisecond
)

func main() {
	c := kit.Begin()
	random := rand.New(rand.NewPCG(seed, 0))
	var mu sync.Mutex
	second := 0
	draw := func() (time.Duration, bool) {
		mu.Lock()
		defer mu.Unlock()
		if random.Float64() >= spoilt || !c.Trouble {
			return 0, false
		}
		second++
		return earliest + time.Duration(random.Int64N(int64(latest-earliest))), true
	}
	serve := func(b *kit.Backend, conn net.Conn, r *kit.Received) bool {
		time.Sleep(work)
		body := fmt.Sprintf("answer for %s by %s", r.ID, b.Name)
		if !kit.Answer(conn, body) {
			return false
		}
		c.Log("%s: answered %s", b.Name, r.ID)
		if late, ok := draw(); ok {
			time.AfterFunc(late, func() {
				if kit.Answer(conn, body) {
					c.Log("%s: answered %s a second time, %v late", b.Name, r.ID, late)
				}
			})
		}
		return true
	}
	var entries []kit.Entry
	for i := range backends {
		entries = append(entries, c.NewBackend(fmt.Sprintf("s-%d", i+1), serve).Entry("ready"))
	}
	d := c.NewDiscovery(entries)
	listen := c.FreePort()
	p := c.StartProxy("n0", c.WriteConfig("n0", listen, d.Address, d.List(), kit.Settings), c.FreePort(), c.Dir, nil)
	if !p.AwaitReady(10 * time.Second) {
		c.Fail("the proxy is not ready")
	}
	var served, refused, failed, foreign int
	var wait sync.WaitGroup
	end := time.Now().Add(length)
	for i := range clients {
		wait.Go(func() {
			client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprintf("c%d-%06d", i, n)
				status, body, err := kit.Ask(client, "GET", "http://"+listen+"/api", id, "ledger-view", "", 1200*time.Millisecond, nil)
				c.Log("client %d: %s got %d %q %v", i, id, status, body, err)
				mu.Lock()
				switch {
				case status == 200 && strings.HasPrefix(string(body), "answer for "+id+" by "):
					served++
				case status == 200:
					foreign++
					c.Log("BROKEN: %s was served with %q, which no backend made for it", id, body)
				case status == 429 || status == 503:
					refused++
				default:
					failed++
				}
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	c.Say("%d served, %d refused, %d failed, %d second answers, %d served with another request's answer",
		served, refused, failed, second, foreign)
	switch {
	case foreign > 0:
		c.End(kit.Broken)
	case served < 100:
		c.Fail("hardly anything was served")
	}
	c.End(kit.Held)
}
