// Command resethead plays a small deployment in which long answers occur and some connections to the backends are
// reset under requests that have begun: after the head of the answer. It checks that no request that the node has
// forwarded ends with a closed connection and no answer, and that no payment-post runs twice.
package main

import (
	"bytes"
	"fmt"
	"math"
	"math/rand"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"standin2/kit"
)

const (
	backends   = 6
	perSecond  = 30
	playFor    = 25 * time.Second
	longShare  = 0.5
	longAnswer = 200_000 // bytes
	resetShare = 0.05    // of the answers, by a reset of their connection
)

func main() { kit.Main(os.Args[1], play) }

func play(c *kit.Case) ([]string, error) {
	var mu sync.Mutex
	random := rand.New(rand.NewSource(1))
	draw := func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return random.Float64()
	}
	ran := map[string][]string{}       // the boxes on which a request ran, by id
	ranFirst := map[string]time.Time{} // when it ran first
	var entries []kit.Entry
	for i := range backends {
		b, err := c.NewBackend(fmt.Sprintf("box-%d", i), func(r *kit.Request) bool {
			mu.Lock()
			if ran[r.ID] = append(ran[r.ID], r.Backend.Name); len(ran[r.ID]) == 1 {
				ranFirst[r.ID] = r.At
			}
			mu.Unlock()
			c.Log("%s runs %s %s", r.Backend.Name, r.ID, r.Path)
			time.Sleep(30 * time.Millisecond) // its work
			body := []byte("answer to " + r.ID + "\n")
			if r.Path == "/api/long" {
				body = bytes.Repeat([]byte("x"), longAnswer)
			}
			if _, err := fmt.Fprintf(r.Conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body)); err != nil {
				return false
			}
			if kit.Trouble() && draw() < resetShare {
				time.Sleep(20 * time.Millisecond)
				c.Log("the connection is reset under %s %s", r.ID, r.Path)
				_ = r.Conn.(*net.TCPConn).SetLinger(0)
				return false
			}
			_, err := r.Conn.Write(body)
			return err == nil
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
	address := kit.FreeAddress()
	config, err := c.WriteConfig(kit.NodeConfig{Name: "n0", Listen: address, Discovery: discovery.Address, Seed: "1f",
		Limits: kit.Limits(), Known: discovery.List(), Settings: kit.Settings(1, 0)})
	if err != nil {
		return nil, err
	}
	if _, err := c.StartNode("n0", config, nil); err != nil {
		return nil, err
	}
	if err := c.WaitReady(address, "/health/ready"); err != nil {
		return nil, err
	}

	client := &kit.Client{Address: address}
	var broken []string
	var wg sync.WaitGroup
	total, whole := 0, 0
	payments := map[string]bool{}
	for start := time.Now(); time.Since(start) < playFor; {
		total++
		id := fmt.Sprintf("%016x", 0xc000+total)
		path := "/api"
		if draw() < longShare {
			path = "/api/long"
		}
		class, deadline, method, body := "ledger-view", 1200*time.Millisecond, http.MethodGet, ""
		if draw() < 0.4 {
			class, deadline, method, body = "payment-post", 600*time.Millisecond, http.MethodPost, "pay"
			mu.Lock()
			payments[id] = true
			mu.Unlock()
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			a := client.Do(kit.Head(method, path, id, class, "", deadline, body), deadline+2*time.Second)
			c.Log("%s %s %s: status %d, %d bytes, whole %v, sent again %v: %v", id, class, path, a.Status, len(a.Body), a.Whole,
				!a.SentAgainAt.IsZero(), a.Err)
			mu.Lock()
			defer mu.Unlock()
			if a.Whole {
				whole++
			}
			if a.NoBytes && len(ran[id]) > 0 {
				broken = append(broken, fmt.Sprintf("request %s (%s) was forwarded, and the node closed its new connection with no answer: %v",
					id, class, a.Err))
			} else if !a.SentAgainAt.IsZero() && len(ran[id]) > 0 && ranFirst[id].Before(a.SentAgainAt) {
				broken = append(broken, fmt.Sprintf("request %s (%s) was forwarded, and the node closed its kept connection with no answer",
					id, class))
			}
		}()
		time.Sleep(time.Duration(-math.Log(1-draw()) * float64(time.Second) / perSecond))
	}
	wg.Wait()
	twice := 0
	for id := range payments {
		if len(ran[id]) > 1 {
			twice++
			broken = append(broken, fmt.Sprintf("request %s (payment-post) ran on %d boxes: %v", id, len(ran[id]), ran[id]))
		}
	}
	c.Log("%d requests, %d with a whole answer, %d payment-posts ran twice", total, whole, twice)
	if whole < total/2 {
		return nil, fmt.Errorf("only %d of %d requests got an answer", whole, total)
	}
	return broken, nil
}
