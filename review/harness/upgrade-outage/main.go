// Command upgrade-outage plays a new version is started under load while discovery is down. A backend
// of whose drain the node was told before must get nothing new from either process.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"review/kit"
)

const (
	clients  = 3
	backends = 4
	work     = 10 * time.Millisecond
	grace    = 2 * time.Second         // drain_grace_ns of the settings
	slack    = 50 * time.Millisecond   // of each time limit on sockets
	newsTold = 2 * time.Second         // discovery's news counts as told so long after the new process's yes
	killWait = 3700 * time.Millisecond // from SIGTERM to SIGKILL
)

func main() {
	c := kit.Begin()
	serve := func(b *kit.Backend, conn net.Conn, r *kit.Received) bool {
		time.Sleep(work)
		return kit.Answer(conn, fmt.Sprintf("answer for %s by %s", r.ID, b.Name))
	}
	var all []*kit.Backend
	var entries []kit.Entry
	for i := range backends {
		b := c.NewBackend(fmt.Sprintf("s-%d", i+1), serve)
		all, entries = append(all, b), append(entries, b.Entry("ready"))
	}
	drained := all[0]
	d := c.NewDiscovery(entries)
	// The platform holds the clients' listening socket.
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Must(err, "clients' socket")
	clientSocket, err := ln.(*net.TCPListener).File()
	c.Must(err, "clients' socket")
	listen := ln.Addr().String()
	c.Must(ln.Close(), "clients' socket") // the file still holds it
	tmp := c.Dir + "/tmp"
	c.Must(os.Mkdir(tmp, 0o700), "TMPDIR")
	config := c.WriteConfig("n0", listen, d.Address, d.List(), kit.Settings)
	before := c.StartProxy("old", config, c.FreePort(), tmp, clientSocket)
	if !before.AwaitReady(10 * time.Second) {
		c.Fail("the proxy is not ready")
	}

	stop := make(chan struct{})
	var mu sync.Mutex
	served, other := 0, 0
	var wait sync.WaitGroup
	for i := range clients {
		wait.Go(func() {
			client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				id := fmt.Sprintf("c%d-%06d", i, n)
				status, body, err := kit.Ask(client, "GET", "http://"+listen+"/api", id, "ledger-view", "", 1200*time.Millisecond, nil)
				c.Log("client %d: %s got %d %q %v", i, id, status, body, err)
				mu.Lock()
				if status == 200 {
					served++
				} else {
					other++
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(2 * time.Second)
	d.Set(drained.Entry("draining"))
	time.Sleep(grace + time.Second)
	told := d.Told(drained.Name, "draining")
	if told.IsZero() {
		c.Fail("the node did not hear of the drain")
	}
	if c.Trouble {
		d.Silence(true)
	}
	time.Sleep(500 * time.Millisecond)
	after := c.StartProxy("new", config, c.FreePort(), tmp, clientSocket)
	if !after.AwaitReady(6 * time.Second) {
		c.Fail("the new process did not say yes within 6 s")
	}
	yes := time.Now()
	before.Signal(syscall.SIGTERM)
	select {
	case <-before.Ended:
	case <-time.After(killWait):
		before.Signal(syscall.SIGKILL)
	}
	time.Sleep(time.Until(yes.Add(8 * time.Second)))
	close(stop)
	wait.Wait()

	late, lateAfterNews := 0, 0
	for _, r := range drained.Got() {
		if r.First.After(told.Add(grace + slack)) {
			late++
			if r.First.After(yes.Add(newsTold + grace + slack)) {
				lateAfterNews++
			}
		}
	}
	c.Say("%d served, %d not; %s drains since it was told %.1f s before the yes: it got %d new requests after the grace, "+
		"%d of them more than %v after the yes", served, other, drained.Name, yes.Sub(told).Seconds(), late, lateAfterNews,
		newsTold+grace+slack)
	switch {
	case lateAfterNews > 0: // even if the drain counted as told only 2 s after the yes
		c.Say("BROKEN: %s got new work after the grace of its drain", drained.Name)
		c.End(kit.Broken)
	case served < 100:
		c.Fail("hardly anything was served")
	}
	c.End(kit.Held)
}
