// Command slowpieces plays a small deployment in which some answers are long, come in chunks, and are written
// slowly: at 64 kB a second, in pieces of 60 kB. The first piece comes well within the time of the request. It
// checks that no request loses the rest of such an answer.
package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"standin2/kit"
)

const (
	backends  = 4
	perSecond = 10
	playFor   = 15 * time.Second
	piece     = 60_000 // bytes
	pieces    = 5
	rate      = 64_000 // bytes a second
	deadline  = 600 * time.Millisecond
)

func main() { kit.Main(os.Args[1], play) }

func play(c *kit.Case) ([]string, error) {
	var entries []kit.Entry
	var mu sync.Mutex
	began := map[string]time.Time{} // when the first piece was written, by request
	cut := map[string]time.Time{}   // when the node was found to have ended the connection
	for i := range backends {
		b, err := c.NewBackend(fmt.Sprintf("box-%d", i), func(r *kit.Request) bool {
			time.Sleep(30 * time.Millisecond)
			if r.Path != "/api/long" {
				return r.Answer(http.StatusOK, "", []byte("answer to "+r.ID+"\n"))
			}
			write := func(s string) bool {
				_, err := r.Conn.Write([]byte(s))
				return err == nil
			}
			text := string(bytes.Repeat([]byte("x"), piece))
			write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			for n := range pieces {
				if n > 0 && kit.Trouble() {
					time.Sleep(time.Second * piece / rate)
				}
				ok := write(fmt.Sprintf("%x\r\n%s\r\n", piece, text))
				c.Log("%s writes piece %d of the answer to %s: %v", r.Backend.Name, n+1, r.ID, ok)
				mu.Lock()
				if n == 0 {
					began[r.ID] = time.Now()
				}
				if !ok {
					cut[r.ID] = time.Now()
				}
				mu.Unlock()
				if !ok {
					return false
				}
			}
			return write("0\r\n\r\n")
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
	total, served := 0, 0
	for start := time.Now(); time.Since(start) < playFor; time.Sleep(time.Second / perSecond) {
		total++
		id := fmt.Sprintf("%016x", 0x6000+total)
		path := "/api"
		if total%5 == 0 {
			path = "/api/long"
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			a := client.Do(kit.Head(http.MethodPost, path, id, "payment-post", "", deadline, "pay"), 15*time.Second)
			c.Log("%s %s: status %d after %.3f s, %d bytes, last byte after %.3f s, whole %v %v", id, path, a.Status,
				a.FirstByte.Sub(a.Sent).Seconds(), len(a.Body), a.LastByte.Sub(a.Sent).Seconds(), a.Whole, a.Err)
			mu.Lock()
			defer mu.Unlock()
			if a.Status == http.StatusOK && a.Whole {
				served++
				return
			}
			if at, ok := began[id]; ok && at.Before(a.Sent.Add(deadline/2)) {
				broken = append(broken, fmt.Sprintf(
					"request %s ran, its answer began after %.3f s and went on, but the client got status %d, %d bytes, whole %v",
					id, at.Sub(a.Sent).Seconds(), a.Status, len(a.Body), a.Whole))
			}
		}()
	}
	wg.Wait()
	c.Log("%d requests, %d served", total, served)
	if served < total/2 {
		return nil, fmt.Errorf("only %d of %d requests were served", served, total)
	}
	return broken, nil
}
