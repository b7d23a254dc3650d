package proxy

import (
	"bufio"
	"io"
	"net"
	"testing"

	"wrenspread/internal/besteffort"
)

// TestHandOverAndSIGTERM: both come at one moment, in either order, or the second while the process lingers after the
// first. What is open is answered, what connects then is the other process's, and the end is no error.
func TestHandOverAndSIGTERM(t *testing.T) {
	handed := func(n *running) {
		n.frontend.handedOff.Store(true)
		n.frontend.stopAccepting()
	}
	for _, c := range []struct {
		name  string
		steps []func(n *running)
	}{
		{"handed over, then SIGTERM", []func(*running){handed, func(n *running) { n.stop() }}},
		{"handed over and closed, then SIGTERM", []func(*running){handed, func(n *running) { <-n.tap.closed; n.stop() }}},
		{"SIGTERM, then handed over", []func(*running){func(n *running) { n.stop() }, handed}},
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
			next, err := net.FileListener(shared) // of the other process
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
			taken := make(chan net.Conn, 1)
			go func() {
				conn, _ := next.Accept()
				taken <- conn
			}()
			if conn := wait(t, taken, "the connection at the other process"); conn.RemoteAddr().String() != late.LocalAddr().String() {
				t.Errorf("it has that of %v, want %v", conn.RemoteAddr(), late.LocalAddr())
			}
			n.linger()
			close(release)
			if status := open.status(t); status != 200 {
				t.Errorf("the open request: %d", status)
			}
			if err := wait(t, n.ended, "the node's end"); err != nil {
				t.Errorf("the node ends with %v", err)
			}
		})
	}
}

// TestNewProcessEndsBehindTheHandOver: it ends when the old one has let go, and nobody accepts. The old one answers
// what is open, waits for no client that rests, and ends, so that another process is started.
func TestNewProcessEndsBehindTheHandOver(t *testing.T) {
	dir := meetingPlace(t)
	release, got := make(chan struct{}), make(chan bool, 2)
	n := startNodeWith(t, func(n *Server) { n.TakeOver(dir) }, backendServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
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
	o := meet(t, dir)
	o.say(t, hello)
	o.hear(t, kindState)
	o.say(t, `{"kind":"ready"}`)
	o.hear(t, kindRelease)
	besteffort.Close(o)
	if _, err := idle.read.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection ends with %v", err)
	}
	close(release)
	if status := open.status(t); status != 200 {
		t.Errorf("the open request: %d", status)
	}
	if err := wait(t, n.ended, "the node's end"); err != nil {
		t.Errorf("the node ends with %v", err)
	}
}
