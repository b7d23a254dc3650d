package proxy

import (
	"bufio"
	"io"
	"net"
	"testing"

	"wrenspread/internal/besteffort"
)

// TestHandoffAndSIGTERMTogetherLoseNoRequest: the handoff and SIGTERM come in either order, the second
// perhaps after the listener has been closed. The open request is answered, new connections go to the other
// process, and Run returns no error.
func TestHandoffAndSIGTERMTogetherLoseNoRequest(t *testing.T) {
	handOff := func(n *running) {
		n.frontend.handedOff.Store(true)
		n.frontend.stopAccepting()
	}
	for _, c := range []struct {
		name  string
		steps []func(n *running)
	}{
		{"handed over, then SIGTERM", []func(*running){handOff, func(n *running) { n.stop() }}},
		{"handed over and closed, then SIGTERM", []func(*running){handOff, func(n *running) { <-n.tap.closed; n.stop() }}},
		{"SIGTERM, then handed over", []func(*running){func(n *running) { n.stop() }, handOff}},
	} {
		t.Run(c.name, func(t *testing.T) {
			release, got := make(chan struct{}), make(chan bool, 1)
			n := startNode(t, backendServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				if readRequest(r) != nil {
					got <- true
					<-release
					besteffort.Output(io.WriteString(conn, okAnswer))
				}
			}))
			shared, err := n.tap.File()
			if err != nil {
				t.Fatal(err)
			}
			next, err := net.FileListener(shared) // the other process's listener
			besteffort.Close(shared)
			if err != nil {
				t.Fatal(err)
			}
			defer besteffort.Close(next)
			open := n.opened(t)
			open.ask(t, "saldo", "q", "60")
			wait(t, got, "the attempt")
			for _, step := range c.steps {
				step(n)
			}
			wait(t, n.tap.closed, "the listener to be closed")
			late := n.dial(t)
			accepted := make(chan net.Conn, 1)
			go func() {
				conn, _ := next.Accept()
				accepted <- conn
			}()
			if conn := wait(t, accepted, "the connection at the other process"); conn.RemoteAddr().String() != late.LocalAddr().String() {
				t.Errorf("the other process accepted %v, want %v", conn.RemoteAddr(), late.LocalAddr())
			}
			n.linger()
			close(release)
			if status := open.status(t); status != 200 {
				t.Errorf("the open request is answered %d, want 200", status)
			}
			if err := wait(t, n.ended, "the proxy's end"); err != nil {
				t.Errorf("the proxy ends with %v, want no error", err)
			}
		})
	}
}

// TestOldProcessEndsWhenNewProcessEndsAfterHandoff: the new process ends after the old one has stopped
// accepting, so that no process accepts. The old process answers the open request, closes idle connections at
// once, and ends, so that another process is started.
func TestOldProcessEndsWhenNewProcessEndsAfterHandoff(t *testing.T) {
	dir := handoffDir(t)
	release, got := make(chan struct{}), make(chan bool, 2)
	n := startNodeWith(t, func(n *Server) { n.EnableHandoff(dir) }, backendServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		for req := readRequest(r); req != nil; req = readRequest(r) {
			if got <- true; req.Header.Get("X-Request-Id") == "q" {
				<-release
			}
			besteffort.Output(io.WriteString(conn, okAnswer))
		}
	}))
	idle, open := n.kept(t), n.opened(t)
	wait(t, got, "the attempt before")
	open.ask(t, "saldo", "q", "60")
	wait(t, got, "the attempt")
	o := dialHandoff(t, dir)
	o.send(t, helloLine)
	o.receive(t, kindState)
	o.send(t, `{"kind":"ready"}`)
	o.receive(t, kindRelease)
	besteffort.Close(o)
	if _, err := idle.read.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection ends with %v", err)
	}
	close(release)
	if status := open.status(t); status != 200 {
		t.Errorf("the open request: %d", status)
	}
	if err := wait(t, n.ended, "the proxy's end"); err != nil {
		t.Errorf("the proxy ends with %v, want no error", err)
	}
}
