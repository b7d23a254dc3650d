// Command secondanswer plays a small deployment in which a share of the answers comes a second time, some
// milliseconds late. Each answer is about the account that its request named. It checks that each client gets
// the answer to its own request, and that no payment-post runs twice.
package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"standin2/kit"
)

const (
	backends    = 4
	perSecond   = 120 // the page: about 130 requests a second
	playFor     = 50 * time.Second
	accounts    = 200
	spoiltShare = 0.05 // of the answers, come twice
	lateBy      = 8 * time.Millisecond
	slots       = 4 // requests that a box holds; it turns further ones away
)

func main() { kit.Main(os.Args[1], play) }

func play(c *kit.Case) ([]string, error) {
	random := rand.New(rand.NewSource(1))
	var mu sync.Mutex
	draw := func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return random.Float64()
	}
	var entries []kit.Entry
	held := map[string]int{}     // requests that a box holds
	ran := map[string][]string{} // the boxes on which a payment-post ran
	turnedAway := 0
	take := func(r *kit.Request) bool {
		mu.Lock()
		defer mu.Unlock()
		if held[r.Backend.Name] == slots {
			turnedAway++
			return false
		}
		held[r.Backend.Name]++
		if r.Class == "payment-post" {
			ran[r.ID] = append(ran[r.ID], r.Backend.Name)
		}
		return true
	}
	for i := range backends {
		b, err := c.NewBackend(fmt.Sprintf("box-%d", i), func(r *kit.Request) bool {
			if !take(r) {
				c.Log("%s turns %s away", r.Backend.Name, r.ID)
				return r.Answer(http.StatusServiceUnavailable, "X-Not-Run: 1\r\n", []byte("full\n"))
			}
			defer func() { mu.Lock(); held[r.Backend.Name]--; mu.Unlock() }()
			c.Log("%s runs %s", r.Backend.Name, r.ID)
			time.Sleep(time.Duration(15+25*draw()) * time.Millisecond)
			account := r.Path[strings.LastIndexByte(r.Path, '/')+1:]
			body := []byte(fmt.Sprintf(`{"account":%q,"class":%q,"balance":"%d.00"}`, account, r.Class, len(account)*1000))
			if r.Class == "payment-post" {
				body = []byte(fmt.Sprintf(`{"account":%q,"class":%q,"posted":%q}`, account, r.Class, r.ID))
			}
			if kit.Trouble() && draw() < spoiltShare {
				time.AfterFunc(lateBy, func() {
					c.Log("%s sends the answer to %s a second time", r.Backend.Name, r.ID)
					r.Answer(http.StatusOK, "", body)
				})
			}
			return r.Answer(http.StatusOK, "", body)
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
	if _, err := c.StartNode("n0", config, nil); err != nil {
		return nil, err
	}
	if err := c.WaitReady(address, "/health/ready"); err != nil {
		return nil, err
	}

	client := &kit.Client{Address: address}
	var broken []string
	var wg sync.WaitGroup
	served, total := 0, 0
	for start := time.Now(); time.Since(start) < playFor; {
		total++
		id := fmt.Sprintf("%016x", 0x4000+total)
		account := fmt.Sprintf("account-%04d", int(draw()*accounts))
		class, deadline, method, body := "ledger-view", 1200*time.Millisecond, http.MethodGet, ""
		if draw() < 0.3 {
			class, deadline, method, body = "payment-post", 600*time.Millisecond, http.MethodPost, "pay"
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			a := client.Do(kit.Head(method, "/api/"+account, id, class, "", deadline, body), 2*time.Second)
			c.Log("%s %s %s: status %d %q", id, class, account, a.Status, a.Body)
			if a.Status != http.StatusOK || !a.Whole {
				return
			}
			own := strings.Contains(string(a.Body), fmt.Sprintf("%q", account)) &&
				strings.Contains(string(a.Body), fmt.Sprintf("%q", class))
			if class == "payment-post" {
				own = own && strings.Contains(string(a.Body), fmt.Sprintf("%q", id))
			}
			mu.Lock()
			defer mu.Unlock()
			served++
			if !own {
				broken = append(broken, fmt.Sprintf("request %s (%s %s) was served with %s", id, class, account, a.Body))
			}
		}()
		time.Sleep(time.Duration(-1) + time.Duration(expo(draw())*float64(time.Second)/perSecond))
	}
	wg.Wait()
	for id, boxes := range ran {
		if len(boxes) > 1 {
			broken = append(broken, fmt.Sprintf("request %s (payment-post) ran %d times: %v", id, len(boxes), boxes))
		}
	}
	c.Log("%d requests, %d served, %d turned away by a box", total, served, turnedAway)
	if served < total*8/10 {
		return nil, fmt.Errorf("only %d of %d requests were served", served, total)
	}
	return broken, nil
}
