// Command duty-kill: the holder of a lease is killed while it runs a command under the lease.
package main

import (
	"bufio"
	"fmt"
	"net"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"review/kit"
)

const ttl = 2 * time.Second

func main() {
	c := kit.Begin()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Must(err, "listen")
	var mu sync.Mutex
	first, last := map[string]time.Time{}, map[string]time.Time{}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				for s := bufio.NewScanner(conn); s.Scan(); {
					var name, fence, pid string
					_, _ = fmt.Sscan(s.Text(), &name, &fence, &pid)
					mu.Lock()
					if first[name].IsZero() {
						first[name] = time.Now()
						c.Log("work of %s begins under fence %s, pid %s", name, fence, pid)
					}
					last[name] = time.Now()
					mu.Unlock()
				}
			}()
		}
	}()
	at := func(m map[string]time.Time, name string) time.Time {
		mu.Lock()
		defer mu.Unlock()
		return m[name]
	}
	listen := c.FreePort()
	c.StartProgram("registry", "wrenspread-registry", "--folder", filepath.Join(c.Dir, "list"), "--listen", listen)
	time.Sleep(2 * time.Second)
	run := func(name string) *kit.Proxy {
		return c.StartProgram("holder "+name, "wrenspreadctl", "--list", listen, "duty", "run", "report", "--process", name,
			"--ttl", ttl.String(), "--", filepath.Join(c.Root, "review/bin/worker"), ln.Addr().String(), name)
	}
	a := run("a")
	for end := time.Now().Add(10 * time.Second); at(first, "a").IsZero(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			c.Fail("a does not get the lease")
		}
	}
	run("b")
	time.Sleep(2 * time.Second)
	if c.Trouble {
		a.Signal(syscall.SIGKILL)
	}
	time.Sleep(10 * time.Second)
	began := at(first, "b")
	overlap := at(last, "a").Sub(began)
	if began.IsZero() || overlap <= 0 {
		c.Say("the work of a and b did not overlap; b began: %v", !began.IsZero())
		c.End(kit.Held)
	}
	c.Say("BROKEN: the work of a went on for %v after the work of b began", overlap.Round(time.Millisecond))
	c.End(kit.Broken)
}
