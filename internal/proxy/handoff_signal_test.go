package proxy

import (
	"bufio"
	"io"
	"net"
	"testing"

	"wrenspread/internal/besteffort"
)

// TestHandoffAndSIGTERMTogetherLoseNoRequest: the handoff comes before or after SIGTERM, which may also
// come after the handoff has closed the listener. The open request is answered, new connections go to the new
// process, and Run returns no error.
func TestHandoffAndSIGTERMTogetherLoseNoRequest(t *testing.T) {
	handOff := func(srv *runningProxy) {
		srv.frontend.handedOff.Store(true)
		srv.frontend.stopAccepting()
	}
	for _, c := range []struct {
		name  string
		steps []func(srv *runningProxy)
	}{
		{"handed over, then SIGTERM", []func(*runningProxy){handOff, func(srv *runningProxy) { srv.stop() }}},
		{"handed over and closed, then SIGTERM", []func(*runningProxy){handOff, func(srv *runningProxy) { <-srv.listener.closed; srv.stop() }}},
		{"SIGTERM, then handed over", []func(*runningProxy){func(srv *runningProxy) { srv.stop() }, handOff}},
	} {
		t.Run(c.name, func(t *testing.T) {
			release, got := make(chan struct{}), make(chan bool, 1)
			srv := startProxy(t, backendServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				if readRequest(r) != nil {
					got <- true
					<-release
					besteffort.Output(io.WriteString(conn, okResponse))
				}
			}))
			shared, err := srv.listener.File()
			if err != nil {
				t.Fatal(err)
			}
			newListener, err := net.FileListener(shared) // the new process's listener
			besteffort.Close(shared)
			if err != nil {
				t.Fatal(err)
			}
			defer besteffort.Close(newListener)
			open := srv.dialAccepted(t)
			open.sendGet(t, "saldo", "q", "60")
			wait(t, got, "the attempt")
			for _, step := range c.steps {
				step(srv)
			}
			wait(t, srv.listener.closed, "the listener to be closed")
			late := srv.dial(t)
			accepted := make(chan net.Conn, 1)
			go func() {
				conn, _ := newListener.Accept()
				accepted <- conn
			}()
			if conn := wait(t, accepted, "the connection at the new process"); conn.RemoteAddr().String() != late.LocalAddr().String() {
				t.Errorf("the new process accepted %v, want %v", conn.RemoteAddr(), late.LocalAddr())
			}
			srv.endLateAccepting()
			close(release)
			if status := open.readStatus(t); status != 200 {
				t.Errorf("the open request is answered %d, want 200", status)
			}
			if err := wait(t, srv.ended, "the proxy to end"); err != nil {
				t.Errorf("the proxy ends with %v, want no error", err)
			}
		})
	}
}

// TestOldProcessEndsWhenNewProcessEndsAfterHandoff: the new process ends after the old process has
// stopped accepting, so that no process accepts. The old process answers the open request, closes idle
// connections at once, and ends, so that another process can be started.
func TestOldProcessEndsWhenNewProcessEndsAfterHandoff(t *testing.T) {
	dir := handoffDir(t)
	release, got := make(chan struct{}), make(chan bool, 2)
	srv := startProxyWith(t, func(srv *Server) { srv.EnableHandoff(dir) }, backendServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		for req := readRequest(r); req != nil; req = readRequest(r) {
			if got <- true; req.Header.Get("X-Request-Id") == "q" {
				<-release
			}
			besteffort.Output(io.WriteString(conn, okResponse))
		}
	}))
	idle, open := srv.dialKeepAlive(t), srv.dialAccepted(t)
	wait(t, got, "the attempt of the connection that becomes idle")
	open.sendGet(t, "saldo", "q", "60")
	wait(t, got, "the attempt of the open request")
	newProcess := dialHandoff(t, dir)
	newProcess.sendLine(t, helloLine)
	newProcess.receive(t, kindState)
	newProcess.sendLine(t, `{"kind":"ready"}`)
	newProcess.receive(t, kindRelease)
	besteffort.Close(newProcess)
	if _, err := idle.reader.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection ends with %v, want EOF", err)
	}
	close(release)
	if status := open.readStatus(t); status != 200 {
		t.Errorf("the open request is answered %d, want 200", status)
	}
	if err := wait(t, srv.ended, "the proxy to end"); err != nil {
		t.Errorf("the proxy ends with %v, want no error", err)
	}
}
