// Command fence-upgrade: during an upgrade, a later holder of a lease calls the old process, and then an
// earlier holder calls the new one.
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

const fence = "X-Indigo-Fence"

func main() {
	c := kit.Begin()
	serve := func(b *kit.Backend, conn net.Conn, r *kit.Received) bool {
		time.Sleep(10 * time.Millisecond)
		return kit.Answer(conn, fmt.Sprintf("answer for %s by %s", r.ID, b.Name))
	}
	var all []*kit.Backend
	var entries []kit.Entry
	for i := range 4 {
		b := c.NewBackend(fmt.Sprintf("s-%d", i+1), serve)
		all, entries = append(all, b), append(entries, b.Entry("ready"))
	}
	d := c.NewDiscovery(entries)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Must(err, "clients' socket")
	clientSocket, err := ln.(*net.TCPListener).File()
	c.Must(err, "clients' socket")
	listen := ln.Addr().String()
	c.Must(ln.Close(), "clients' socket")
	tmp := c.Dir + "/tmp"
	c.Must(os.Mkdir(tmp, 0o700), "TMPDIR")
	config := c.WriteConfig("n0", listen, d.Address, d.List(), kit.Settings, "fence_folder", tmp+"/fences")
	before := c.StartProxy("old", config, c.FreePort(), tmp, clientSocket)
	if !before.AwaitReady(10 * time.Second) {
		c.Fail("the proxy is not ready")
	}
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for i := range 3 {
		wait.Go(func() {
			client := &http.Client{Timeout: 3 * time.Second}
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				id := fmt.Sprintf("c%d-%06d", i, n)
				status, _, err := kit.Ask(client, "GET", "http://"+listen+"/api", id, "ledger-view", "", 1200*time.Millisecond, nil)
				c.Log("client %d: %s got %d %v", i, id, status, err)
			}
		})
	}
	time.Sleep(2 * time.Second)
	after := before
	if c.Trouble {
		after = c.StartProxy("new", config, c.FreePort(), tmp, clientSocket)
		if !after.AwaitReady(6 * time.Second) {
			c.Fail("the new process did not say yes within 6 s")
		}
	}
	status := before.Call("POST", "/backends/s-1/maint", fence, "release/x 5")
	c.Log("operator: the holder with fence 5 calls %s: maint s-1: %d", before.Name, status)
	if status != 200 {
		c.Fail("the maintenance call got %d", status)
	}
	banned := time.Now()
	if c.Trouble {
		before.Signal(syscall.SIGTERM)
		<-before.Ended
	} else {
		time.Sleep(4 * time.Second)
	}
	stale := after.Call("POST", "/backends/s-1/ready", fence, "release/x 4")
	c.Log("operator: an earlier holder with fence 4 calls %s: ready s-1: %d", after.Name, stale)
	time.Sleep(5 * time.Second)
	close(stop)
	wait.Wait()
	late := 0
	for _, r := range all[0].Got() {
		if r.First.After(banned.Add(2050 * time.Millisecond)) {
			late++
		}
	}
	c.Say("the earlier holder's call got %d; s-1 got %d requests after the grace of its maintenance", stale, late)
	if stale == 200 || late > 0 {
		c.End(kit.Broken)
	}
	c.End(kit.Held)
}
