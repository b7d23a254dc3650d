// Command endless-answer plays answers that begin and never end. Each client must learn its request's
// end, by a whole answer, a refusal, a failure or the end of its connection, within half a second after the
// request's time.
package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
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
	clients  = 4
	backends = 3
	work     = 15 * time.Millisecond
	spoilt   = 0.1 // share of the answers that never end
	deadline = 600 * time.Millisecond
	// A final answer may come so long after the request's time: half a second, and 50 ms as every time limit.
	allowed  = 500*time.Millisecond + 50*time.Millisecond
	patience = 5 * time.Second // of a client, after its request's time, to see what comes
)

// piece is one chunk of a chunked answer.
var piece = fmt.Sprintf("%x\r\n%s\r\n", 10<<10, strings.Repeat("x", 10<<10))

func main() {
	c := kit.Begin()
	random := rand.New(rand.NewPCG(seed, 0))
	var mu sync.Mutex
	endless := map[string]bool{}
	draw := func(id string) bool {
		mu.Lock()
		defer mu.Unlock()
		if random.Float64() >= spoilt || !c.Trouble {
			return false
		}
		endless[id] = true
		return true
	}
	serve := func(b *kit.Backend, conn net.Conn, r *kit.Received) bool {
		time.Sleep(work)
		if !draw(r.ID) {
			return kit.Answer(conn, fmt.Sprintf("answer for %s by %s", r.ID, b.Name))
		}
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n")
		for i := 0; i < 4 && err == nil; i++ { // 40 KiB in 0.2 s
			_, err = io.WriteString(conn, piece)
			time.Sleep(60 * time.Millisecond)
		}
		c.Log("%s: the answer to %s goes no further", b.Name, r.ID)
		_ = conn.SetReadDeadline(time.Now().Add(time.Minute))
		_, _ = conn.Read(make([]byte, 1)) // until the node gives it up
		return false
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
	var served, ended, late int
	worst := time.Duration(0)
	var wait sync.WaitGroup
	end := time.Now().Add(length)
	for i := range clients {
		wait.Go(func() {
			var conn net.Conn
			var reader *bufio.Reader
			for n := 0; time.Now().Before(end); n++ {
				if conn == nil {
					var err error
					if conn, err = net.Dial("tcp", listen); err != nil {
						c.Log("client %d: %v", i, err)
						time.Sleep(50 * time.Millisecond)
						continue
					}
					reader = bufio.NewReader(conn)
				}
				id := fmt.Sprintf("c%d-%06d", i, n)
				var request bytes.Buffer
				fmt.Fprintf(&request, "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\nX-Class: payment-post\r\n"+
					"X-Tenant: kalahari-core\r\nX-Deadline: %.3f\r\nContent-Length: 4\r\n\r\nbody", id, deadline.Seconds())
				_, err := conn.Write(request.Bytes())
				sent := time.Now()
				_ = conn.SetReadDeadline(sent.Add(deadline + patience))
				var resp *http.Response
				var body []byte
				if err == nil {
					resp, err = http.ReadResponse(reader, nil)
				}
				if err == nil {
					body, err = io.ReadAll(resp.Body)
				}
				after := time.Since(sent) - deadline // the client knows the end of its request
				status := 0
				if resp != nil {
					status = resp.StatusCode
				}
				c.Log("client %d: %s ended %v after its time: status %d, %d bytes, %v", i, id, after.Round(time.Millisecond), status, len(body), err)
				mu.Lock()
				if err == nil && status == 200 {
					served++
				} else {
					ended++
				}
				if after > allowed {
					late++
					worst = max(worst, after)
					c.Log("BROKEN: %s got no final answer within %v after its time; its answer never ends: %v", id, allowed, endless[id])
				}
				mu.Unlock()
				if err != nil || resp.Close {
					conn.Close()
					conn = nil
				}
			}
		})
	}
	wait.Wait()
	c.Say("%d served, %d ended otherwise, %d answers that never end; %d requests ended over %v after their time, the last %v after it",
		served, ended, len(endless), late, allowed, worst.Round(time.Millisecond))
	switch {
	case late > 0:
		c.End(kit.Broken)
	case served < 100:
		c.Fail("hardly anything was served")
	}
	c.End(kit.Held)
}
