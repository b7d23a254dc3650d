// Command longstall plays a small deployment in which answers over 64 KiB occur and one of six backends after
// the other hangs in the middle of its work: it has sent the head of an answer when it stops for 6 s. It checks
// that each request gets its answer, or the first bytes of a long one, within half a second after its time.
package main

import (
	"bytes"
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"standin2/kit"
)

const (
	backends   = 6
	perSecond  = 30
	playFor    = 34 * time.Second
	hangFor    = 6 * time.Second // the page: 5.2 to 22 s
	longShare  = 0.6
	longAnswer = 200_000 // bytes
	slack      = 550 * time.Millisecond
)

func main() { kit.Main(os.Args[1], play) }

func play(c *kit.Case) ([]string, error) {
	random := rand.New(rand.NewSource(1))
	start := time.Now()
	// hangEnd returns the end of the hang in which a backend is now; the zero time if it does not hang. One of
	// the six hangs at a time: the page allows 18%.
	hangEnd := func(b *kit.Backend) time.Time {
		for name, from := range map[string]time.Duration{
			"box-1": 5 * time.Second,
			"box-3": 14 * time.Second,
			"box-5": 23 * time.Second,
		} {
			now, begin := time.Now(), start.Add(from)
			if kit.Trouble() && b.Name == name && now.After(begin) && now.Before(begin.Add(hangFor)) {
				return begin.Add(hangFor)
			}
		}
		return time.Time{}
	}
	var entries []kit.Entry
	for i := range backends {
		b, err := c.NewBackend(fmt.Sprintf("box-%d", i), func(r *kit.Request) bool {
			time.Sleep(40 * time.Millisecond) // its work
			body := []byte("answer to " + r.ID + "\n")
			if r.Path == "/api/long" {
				body = bytes.Repeat([]byte("x"), longAnswer)
			}
			head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))
			if _, err := r.Conn.Write([]byte(head)); err != nil {
				return false
			}
			if end := hangEnd(r.Backend); !end.IsZero() {
				c.Log("%s hangs after the head of the answer to %s %s", r.Backend.Name, r.ID, r.Path)
				time.Sleep(time.Until(end))
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
	var mu sync.Mutex
	var broken []string
	var whole atomic.Int64
	var wg sync.WaitGroup
	total := 0
	for time.Since(start) < playFor {
		total++
		id := fmt.Sprintf("%016x", 0x2000+total)
		path := "/api/short"
		if random.Float64() < longShare {
			path = "/api/long"
		}
		class, deadline, method, body := "ledger-view", 1200*time.Millisecond, http.MethodGet, ""
		if random.Float64() < 0.3 {
			class, deadline, method, body = "payment-post", 600*time.Millisecond, http.MethodPost, "pay"
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			a := client.Do(kit.Head(method, path, id, class, "", deadline, body), deadline+4*time.Second)
			due := a.Sent.Add(deadline + slack)
			first := "never"
			if !a.FirstByte.IsZero() {
				first = fmt.Sprintf("after %.3f s", a.FirstByte.Sub(a.Sent).Seconds())
			}
			c.Log("%s %s %s deadline %.1f s: status %d, first byte %s, whole %v %v", id, class, path, deadline.Seconds(),
				a.Status, first, a.Whole, a.Err)
			if a.Whole {
				whole.Add(1)
			}
			if a.FirstByte.IsZero() || a.FirstByte.After(due) {
				mu.Lock()
				broken = append(broken, fmt.Sprintf("request %s (%s %s): no byte of an answer within %.2f s (deadline %.1f s); first byte %s",
					id, class, path, (deadline+slack).Seconds(), deadline.Seconds(), first))
				mu.Unlock()
			}
		}()
		time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / perSecond))
	}
	wg.Wait()
	c.Log("%d requests, %d with a whole answer", total, whole.Load())
	if whole.Load() < int64(total)/2 {
		return nil, fmt.Errorf("only %d of %d requests got an answer", whole.Load(), total)
	}
	return broken, nil
}
