// Command upgradeban upgrades a node that has a backend in maintenance. The platform's $TMPDIR has a long path.
// It checks that the backend gets nothing new until the call back. SHORT=1 plays it with a short path.
package main

import (
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"standin2/kit"
)

const (
	backends   = 5
	perSecond  = 40
	banAt      = 2 * time.Second
	upgradeAt  = 6 * time.Second
	playFor    = 14 * time.Second
	grace      = 2*time.Second + 50*time.Millisecond
	termToKill = 3700 * time.Millisecond // longest deadline, 3 s at most, and 0.7 s
	banned     = "box-2"
	tempLength = 120 // characters of the path
)

func main() { kit.Main(os.Args[1], play) }

// tempFolder makes the folder for $TMPDIR.
func tempFolder(c *kit.Case) (string, error) {
	path := filepath.Join(c.Folder, "n0")
	for len(path) < tempLength && os.Getenv("SHORT") == "" {
		path = filepath.Join(path, strings.Repeat("x", min(30, max(1, tempLength-len(path)-1))))
	}
	return path, os.MkdirAll(path, 0o700)
}

func play(c *kit.Case) ([]string, error) {
	random := rand.New(rand.NewSource(1))
	var mu sync.Mutex
	var arrivals []time.Time // at the banned backend
	var entries []kit.Entry
	for i := range backends {
		b, err := c.NewBackend(fmt.Sprintf("box-%d", i), func(r *kit.Request) bool {
			c.Log("%s got %s", r.Backend.Name, r.ID)
			if r.Backend.Name == banned {
				mu.Lock()
				arrivals = append(arrivals, r.At)
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
	temp, err := tempFolder(c)
	if err != nil {
		return nil, err
	}
	c.Log("TMPDIR has %d characters", len(temp))
	config, err := c.WriteConfig(kit.NodeConfig{Name: "n0", Listen: address, Discovery: discovery.Address, Seed: "1f",
		Limits: kit.Limits(), Known: discovery.List(), Settings: kit.Settings(1, 0)})
	if err != nil {
		return nil, err
	}
	control := kit.FreeAddress()
	old, err := c.StartNode("old", config, []string{"GW_ACCEPT_FD=3", "GW_CONTROL=" + control, "TMPDIR=" + temp}, file)
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
				mu.Lock()
				defer mu.Unlock()
				if a.Status == http.StatusOK {
					served++
				}
			}()
			time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / perSecond))
		}
	}()

	time.Sleep(time.Until(start.Add(banAt)))
	a := kit.Ask(control, "POST /backends/"+banned+"/maint HTTP/1.1\r\nHost: n0\r\nContent-Length: 0\r\n\r\n", time.Second)
	if a.Status < 200 || a.Status > 299 {
		return nil, fmt.Errorf("the call to maint got %d %v", a.Status, a.Err)
	}
	yes := time.Now()
	c.Log("operator: the node has said yes: nothing more to %s", banned)
	time.Sleep(time.Until(start.Add(upgradeAt)))
	if kit.Trouble() {
		newControl := kit.FreeAddress()
		env := []string{"GW_ACCEPT_FD=3", "GW_CONTROL=" + newControl, "TMPDIR=" + temp}
		if _, err := c.StartNode("new", config, env, file); err != nil {
			return nil, err
		}
		if err := c.WaitReady(newControl, "/healthcheck"); err != nil {
			return nil, err
		}
		c.Log("platform: the new process has said yes")
		old.Signal(syscall.SIGTERM)
		time.AfterFunc(termToKill, func() { old.Signal(syscall.SIGKILL) })
	}
	wg.Wait()

	var broken []string
	for _, at := range arrivals {
		if at.After(yes.Add(grace)) {
			broken = append(broken, fmt.Sprintf("a request reached %s %.2f s after the yes to its maintenance, with no call back",
				banned, at.Sub(yes).Seconds()))
		}
	}
	c.Log("%d requests, %d served, %d reached %s after the grace", total, served, len(broken), banned)
	if served < total*8/10 {
		return nil, fmt.Errorf("only %d of %d requests were served", served, total)
	}
	return broken, nil
}
