// Command termlong restarts a node as planned (SIGTERM) while clients receive long answers that the backends
// write slowly. The platform sends SIGKILL 25 s later. It checks that the node does not end before it has passed
// on what it had taken.
package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"standin2/kit"
)

const (
	backends   = 4
	downloads  = 8
	length     = 640_000 // bytes: 10 s at 64 kB a second
	rate       = 64_000
	termAt     = 2 * time.Second
	termToKill = 25 * time.Second // the page: no sooner than 3.7 s
	deadline   = 3 * time.Second
)

func main() { kit.Main(os.Args[1], play) }

func play(c *kit.Case) ([]string, error) {
	var entries []kit.Entry
	for i := range backends {
		b, err := c.NewBackend(fmt.Sprintf("box-%d", i), func(r *kit.Request) bool {
			time.Sleep(30 * time.Millisecond)
			if _, err := fmt.Fprintf(r.Conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", length); err != nil {
				return false
			}
			for sent := 0; sent < length; sent += rate / 10 {
				if _, err := r.Conn.Write(bytes.Repeat([]byte("x"), rate/10)); err != nil {
					c.Log("%s: the connection ended after %d bytes of the answer to %s", r.Backend.Name, sent, r.ID)
					return false
				}
				time.Sleep(100 * time.Millisecond)
			}
			return true
		})
		if err != nil {
			return nil, err
		}
		entries = append(entries, kit.Entry{Name: b.Name, Address: b.Address, Zone: "southern-ind", Type: "std-single",
			Group: i / 2, Status: "ready", Weight: 1})
	}
	discovery, err := c.NewDiscovery(entries)
	if err != nil {
		return nil, err
	}
	address := kit.FreeAddress()
	config, err := c.WriteConfig(kit.NodeConfig{Name: "n0", Listen: address, Discovery: discovery.Address, Seed: "1f",
		Limits: kit.Limits(), Known: discovery.List(), Settings: kit.Settings(1, 0)})
	if err != nil {
		return nil, err
	}
	node, err := c.StartNode("n0", config, nil)
	if err != nil {
		return nil, err
	}
	if err := c.WaitReady(address, "/health/ready"); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var broken []string
	var wg sync.WaitGroup
	for n := range downloads {
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := fmt.Sprintf("%016x", 0x7000+n)
			a := kit.Ask(address, kit.Head(http.MethodGet, "/api", id, "aging-report", "", deadline, ""), 30*time.Second)
			c.Log("%s: status %d after %.3f s, %d bytes, whole %v, ended after %.3f s: %v", id, a.Status,
				a.FirstByte.Sub(a.Sent).Seconds(), len(a.Body), a.Whole, a.LastByte.Sub(a.Sent).Seconds(), a.Err)
			if !a.Whole {
				mu.Lock()
				broken = append(broken, fmt.Sprintf("request %s: the node ended after %d of %d bytes of the answer", id,
					len(a.Body), length))
				mu.Unlock()
			}
		}()
	}
	time.Sleep(termAt)
	term := time.Now()
	if kit.Trouble() {
		c.Log("platform: SIGTERM")
		node.Signal(syscall.SIGTERM)
		go func() { <-node.Ended(); c.Log("n0 ended %.2f s after SIGTERM", time.Since(term).Seconds()) }()
		time.AfterFunc(termToKill, func() { node.Signal(syscall.SIGKILL) })
	}
	wg.Wait()
	return broken, nil
}
