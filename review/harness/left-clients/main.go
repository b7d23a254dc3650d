// Command left-clients plays clients that leave at any moment, while backends turn away, reset and hang. No
// attempt may begin more than 0.1 s after its client has closed its connection.
package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"review/kit"
)

const (
	length  = 30 * time.Second
	allowed = 100*time.Millisecond + 50*time.Millisecond
)

func main() {
	c := kit.Begin()
	serve := func(b *kit.Backend, conn net.Conn, r *kit.Received) bool {
		switch x := rand.Float64(); {
		case x < 0.4:
			time.Sleep(time.Duration(rand.Float64() * 200 * float64(time.Millisecond)))
			_, err := io.WriteString(conn, "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
			return err == nil
		case x < 0.6:
			time.Sleep(time.Duration(rand.Float64() * 200 * float64(time.Millisecond)))
			return false
		case x < 0.7:
			_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
			_, _ = conn.Read(make([]byte, 1))
			return false
		}
		time.Sleep(time.Duration(rand.Float64() * 300 * float64(time.Millisecond)))
		return kit.Answer(conn, "answer for "+r.ID)
	}
	var all []*kit.Backend
	var entries []kit.Entry
	for i := range 30 {
		b := c.NewBackend(fmt.Sprintf("s-%d", i+1), serve)
		all, entries = append(all, b), append(entries, b.Entry("ready"))
	}
	d := c.NewDiscovery(entries)
	listen := c.FreePort()
	limits := map[string]any{"cores": 1.0, "memory_mb": 32, "sockets": 1024}
	p := c.StartProxy("n0", c.WriteConfig("n0", listen, d.Address, d.List(), kit.Settings, "limits", limits), c.FreePort(), c.Dir, nil)
	if !p.AwaitReady(10 * time.Second) {
		c.Fail("the proxy is not ready")
	}
	var mu sync.Mutex
	left := map[string]time.Time{}
	var wait sync.WaitGroup
	end := time.Now().Add(length)
	for i := range 100 {
		wait.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				conn, err := net.Dial("tcp", listen)
				if err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				id := fmt.Sprintf("c%d-%06d", i, n)
				size := []int{0, 100, 10 << 10, 20 << 10, 60 << 10, 64<<10 + 1, 100 << 10, 1 << 20}[rand.IntN(8)]
				body := bytes.Repeat([]byte("z"), size)
				fmt.Fprintf(conn, "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\nX-Class: advance-release\r\n"+
					"Idempotency-Key: k%s\r\nX-Tenant: kalahari-core\r\nX-Deadline: 1.200\r\n", id, id)
				if rand.Float64() < 0.3 {
					fmt.Fprintf(conn, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
				} else {
					fmt.Fprintf(conn, "Content-Length: %d\r\n\r\n%s", len(body), body)
				}
				time.Sleep(time.Duration(rand.Float64() * 400 * float64(time.Millisecond)))
				switch rand.IntN(3) {
				case 0:
					_ = conn.(*net.TCPConn).SetLinger(0)
				case 1:
					_, _ = io.WriteString(conn, "GET / HT") // bytes behind the request
				}
				conn.Close()
				mu.Lock()
				left[id] = time.Now()
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	time.Sleep(3 * time.Second)
	attempts, late, worst := 0, 0, time.Duration(0)
	for _, b := range all {
		for _, r := range b.Got() {
			attempts++
			if at := left[r.ID]; !at.IsZero() && r.First.After(at.Add(allowed)) {
				late++
				worst = max(worst, r.First.Sub(at))
				c.Log("BROKEN: %s began %v after its client had left, %d bytes", r.ID, r.First.Sub(at), len(r.Body))
			}
		}
	}
	c.Say("%d clients left, %d attempts, %d began over %v after the close, the worst %v", len(left), attempts, late, allowed, worst)
	if late > 0 {
		c.End(kit.Broken)
	}
	c.End(kit.Held)
}
