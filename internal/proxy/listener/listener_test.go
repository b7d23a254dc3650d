package listener

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"testing"
	"time"

	"wrenspread/internal/besteffort"
)

// TestOldestIdleClientIsEvicted checks that clients that keep idle connections cannot shut out others.
func TestOldestIdleClientIsEvicted(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := Limit(ln, 2)
	idle := make(chan struct{}, 10)
	srv := &http.Server{Handler: http.NotFoundHandler(), ConnState: func(c net.Conn, s http.ConnState) {
		l.TrackState(c, s)
		if s == http.StateIdle {
			idle <- struct{}{}
		}
	}}
	go func() { _ = srv.Serve(l) }()
	defer besteffort.Close(srv)
	var conns []net.Conn
	for i := range 5 {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer besteffort.Close(c)
		besteffort.SocketOption(c.SetDeadline(time.Now().Add(30 * time.Second)))
		besteffort.Output(io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
			t.Fatalf("connection %d: %v", i, err)
		} else {
			besteffort.Close(resp.Body)
		}
		select {
		case <-idle:
		case <-time.After(30 * time.Second):
			t.Fatal("connection does not go idle")
		}
		conns = append(conns, c)
	}
	if _, err := io.ReadAll(conns[0]); err != nil {
		t.Errorf("the oldest idle connection is not closed: %v", err)
	}
}

// TestClientGoingIdleIsEvictedForWaitingClient checks that a connection that goes idle is closed for another
// client that came while no connection was idle.
func TestClientGoingIdleIsEvictedForWaitingClient(t *testing.T) {
	ln := listen(t)
	l := Limit(ln, 1)
	began, release := make(chan bool, 1), make(chan bool, 2)
	serve(t, l, func(http.ResponseWriter, *http.Request) {
		began <- true
		<-release
	})
	go func() {
		for open := range ln.closeWriteGates {
			open()
		}
	}()
	first := dial(t, ln)
	besteffort.Output(io.WriteString(first, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	wait(t, began, "the request")
	second := dial(t, ln)
	besteffort.Output(io.WriteString(second, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	release <- true
	release <- true
	if _, err := http.ReadResponse(bufio.NewReader(second), nil); err != nil {
		t.Error(err)
	}
}

// TestAcceptedConnectionsDisableNagle checks that the system does not delay small writes, also on a
// socket that was inherited from another process.
func TestAcceptedConnectionsDisableNagle(t *testing.T) {
	for _, inherited := range []bool{false, true} {
		var ln net.Listener = listen(t).TCPListener
		if inherited {
			f, err := ln.(*net.TCPListener).File()
			if err != nil {
				t.Fatal(err)
			}
			fd, err := syscall.Dup(int(f.Fd())) // Inherited closes it
			if err != nil {
				t.Fatal(err)
			}
			if ln, err = Inherited(strconv.Itoa(fd)); err != nil {
				t.Fatal(err)
			}
			besteffort.Close(f)
		}
		l := Limit(ln, 1)
		dial(t, ln)
		c, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		raw, err := c.(*Conn).Conn.(*net.TCPConn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		_ = raw.Control(func(fd uintptr) {
			if on, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_NODELAY); err != nil || on == 0 {
				t.Errorf("inherited %v: TCP_NODELAY is %d, %v", inherited, on, err)
			}
		})
		l.SkipLinger()
		besteffort.Close(c)
	}
}

// TestDrainServesQueuedConnections checks that the connections in the queue are served after Drain, before
// the listener is closed, whether all slots are taken or Accept has not been called yet.
func TestDrainServesQueuedConnections(t *testing.T) {
	for _, slotTaken := range []bool{false, true} {
		ln := listen(t)
		l := Limit(ln.TCPListener, 1)
		began, release := make(chan bool, 10), make(chan bool)
		handle := func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Connection", "close")
			began <- true
			<-release
		}
		if slotTaken {
			serve(t, l, handle)
			besteffort.Output(io.WriteString(dial(t, ln), "GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
			wait(t, began, "the request")
		}
		var queue []*net.TCPConn
		for range 3 {
			c := dial(t, ln)
			besteffort.Output(io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
			queue = append(queue, c)
		}
		l.Drain()
		if !slotTaken {
			serve(t, l, handle)
		}
		close(release)
		for i, c := range queue {
			if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != 200 {
				t.Errorf("slot taken %v: connection %d: %v, %v", slotTaken, i, resp, err)
			}
			besteffort.Close(c)
		}
		wait(t, l.closed, "the end of accepting")
	}
}
