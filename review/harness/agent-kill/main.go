// Command agent-kill kills an agent while it starts a server, and starts the next agent on the same folder. The
// next agent has to adopt the server's process, so that never two processes of the server run.
package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"review/kit"
)

const rounds = 20

func main() {
	c := kit.Begin()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Must(err, "listen")
	var mu sync.Mutex
	last := map[string]time.Time{} // by pid
	started := make(chan string, 100)
	var conns []net.Conn
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, conn)
			mu.Unlock()
			started <- "new"
			go func() {
				for s := bufio.NewScanner(conn); s.Scan(); {
					var name, pid string
					_, _ = fmt.Sscan(s.Text(), &name, &pid)
					mu.Lock()
					last[pid] = time.Now()
					mu.Unlock()
				}
			}()
		}
	}()
	broken := 0
	for round := range rounds {
		folder := filepath.Join(c.Dir, fmt.Sprint("agent", round))
		_ = os.Mkdir(folder, 0o755)
		file := filepath.Join(folder, "agent.toml")
		text := fmt.Sprintf("machine = \"m1\"\nlisten = %q\nfolder = %q\nlist = [\"127.0.0.1:1\"]\n[[server]]\nname = \"s1\"\n"+
			"address = %q\nversion = \"v1\"\ncommand = [%q, %q, \"s1\"]\n", c.FreePort(), folder, c.FreePort(),
			filepath.Join(c.Root, "review/bin/worker"), ln.Addr().String())
		c.Must(os.WriteFile(file, []byte(text), 0o600), "agent's file")
		a := c.StartProgram("agent", "wrenspread-agent", "--config", file)
		select {
		case <-started:
		case <-time.After(5 * time.Second):
			c.Fail("the server is not started")
		}
		if c.Trouble {
			a.Signal(syscall.SIGKILL)
			<-a.Ended
		} else {
			time.Sleep(300 * time.Millisecond)
			a.Signal(syscall.SIGKILL)
			<-a.Ended
		}
		next := c.StartProgram("next agent", "wrenspread-agent", "--config", file)
		time.Sleep(1500 * time.Millisecond)
		mu.Lock()
		running := 0
		for pid, at := range last {
			if time.Since(at) < 200*time.Millisecond {
				running++
				c.Log("round %d: process %s runs", round, pid)
			}
		}
		if running > 1 {
			broken++
		}
		last = map[string]time.Time{}
		mu.Unlock()
		next.Kill()
		mu.Lock()
		for _, conn := range conns {
			conn.Close() // ends the workers
		}
		conns = nil
		mu.Unlock()
		time.Sleep(100 * time.Millisecond)
		for len(started) > 0 {
			<-started
		}
	}
	c.Say("in %d of %d rounds two processes of one server ran", broken, rounds)
	if broken > 0 {
		c.End(kit.Broken)
	}
	c.End(kit.Held)
}
