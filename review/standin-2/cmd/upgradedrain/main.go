// Command upgradedrain upgrades a node while discovery is down. Before the outage the node was told that a
// backend drains. It checks that the backend gets nothing new later than the page allows.
package main

import (
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"standin2/kit"
)

const (
	backends   = 5
	perSecond  = 40
	drainAt    = 2 * time.Second
	outageAt   = 7 * time.Second
	upgradeAt  = 8 * time.Second
	outageFor  = 8 * time.Second // the page: 8 s
	playFor    = 20 * time.Second
	newsAfter  = 2 * time.Second // discovery's news counts as told 2 s after the new process has said yes
	drainGrace = 2*time.Second + 50*time.Millisecond
	termToKill = 3700 * time.Millisecond // longest deadline, 3 s at most, and 0.7 s
	drained    = "box-2"
)

func main() { kit.Main(os.Args[1], play) }

func play(c *kit.Case) ([]string, error) {
	random := rand.New(rand.NewSource(1))
	var mu sync.Mutex
	var arrivals []time.Time // at the drained backend
	var arrivalIDs []string
	var entries []kit.Entry
	for i := range backends {
		b, err := c.NewBackend(fmt.Sprintf("box-%d", i), func(r *kit.Request) bool {
			c.Log("%s got %s", r.Backend.Name, r.ID)
			if r.Backend.Name == drained {
				mu.Lock()
				arrivals, arrivalIDs = append(arrivals, r.At), append(arrivalIDs, r.ID)
				mu.Unlock()
			}
			time.Sleep(30 * time.Millisecond)
			return r.Answer(http.StatusOK, "", []byte("answer to "+r.ID+"\n"))
		})
		if err != nil {
			return nil, err
		}
		entries = append(entries, kit.Entry{Name: b.Name, Address: b.Address, Zone: "southern-ind", Type: "std-single",
			Group: i / 3, Status: "ready", Weight: 1})
	}
	discovery, err := c.NewDiscovery(entries)
	if err != nil {
		return nil, err
	}
	// The platform holds the clients' listening socket.
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	file, err := ln.(*net.TCPListener).File()
	if err != nil {
		return nil, err
	}
	address := ln.Addr().String()
	_ = ln.Close() // the platform itself accepts nothing
	config, err := c.WriteConfig(kit.NodeConfig{Name: "n0", Listen: address, Discovery: discovery.Address, Seed: "1f",
		Limits: kit.Limits(), Known: discovery.List(), Settings: kit.Settings(1, 0)})
	if err != nil {
		return nil, err
	}
	control := kit.FreeAddress()
	old, err := c.StartNode("old", config, []string{"GW_ACCEPT_FD=3", "GW_CONTROL=" + control}, file)
	if err != nil {
		return nil, err
	}
	if err := c.WaitReady(control, "/healthcheck"); err != nil {
		return nil, err
	}

	start := time.Now()
	var wg sync.WaitGroup
	client := &kit.Client{Address: address}
	served, total := 0, 0
	wg.Add(1)
	go func() {
		defer wg.Done()
		for time.Since(start) < playFor {
			total++
			id := fmt.Sprintf("%016x", 0x3000+total)
			wg.Add(1)
			go func() {
				defer wg.Done()
				a := client.Do(kit.Head(http.MethodGet, "/api", id, "ledger-view", "", 1200*time.Millisecond, ""), 2*time.Second)
				c.Log("%s status %d after %.3f s %v", id, a.Status, a.LastByte.Sub(a.Sent).Seconds(), a.Err)
				if a.Status == http.StatusOK {
					mu.Lock()
					served++
					mu.Unlock()
				}
			}()
			time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / perSecond))
		}
	}()

	time.Sleep(time.Until(start.Add(drainAt)))
	draining := entries[2]
	draining.Status = "draining"
	discovery.Set(draining)
	toldAt := time.Now()
	if kit.Trouble() {
		time.Sleep(time.Until(start.Add(outageAt)))
		discovery.Silence(true)
		time.AfterFunc(outageFor, func() { discovery.Silence(false) })
	}
	time.Sleep(time.Until(start.Add(upgradeAt)))
	newControl := kit.FreeAddress()
	if _, err := c.StartNode("new", config, []string{"GW_ACCEPT_FD=3", "GW_CONTROL=" + newControl}, file); err != nil {
		return nil, err
	}
	if err := c.WaitReady(newControl, "/healthcheck"); err != nil {
		return nil, err
	}
	yes := time.Now()
	c.Log("platform: the new process has said yes")
	if took := yes.Sub(start.Add(upgradeAt)); took > 6*time.Second {
		return nil, fmt.Errorf("the new process said yes after %.1f s", took.Seconds())
	}
	old.Signal(syscall.SIGTERM)
	time.AfterFunc(termToKill, func() { old.Signal(syscall.SIGKILL) })
	wg.Wait()

	var broken []string
	mu.Lock()
	defer mu.Unlock()
	for i, at := range arrivals {
		switch {
		case at.After(toldAt.Add(drainGrace)) && at.Before(start.Add(upgradeAt)):
			broken = append(broken, fmt.Sprintf("request %s reached %s %.2f s after the node was told of its drain, before the upgrade",
				arrivalIDs[i], drained, at.Sub(toldAt).Seconds()))
		case at.After(yes.Add(newsAfter + drainGrace)):
			broken = append(broken, fmt.Sprintf(
				"request %s reached %s %.2f s after the node was told of its drain, %.2f s after the new process's yes",
				arrivalIDs[i], drained, at.Sub(toldAt).Seconds(), at.Sub(yes).Seconds()))
		}
	}
	late := 0
	for _, at := range arrivals {
		if at.After(toldAt.Add(drainGrace)) {
			late++
		}
	}
	c.Log("%d requests, %d served; %d reached %s later than %.2f s after the first process was told", total, served, late,
		drained, drainGrace.Seconds())
	if served < total*8/10 {
		return nil, fmt.Errorf("only %d of %d requests were served", served, total)
	}
	return broken, nil
}
