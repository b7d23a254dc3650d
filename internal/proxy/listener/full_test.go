package listener

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"

	"wrenspread/internal/besteffort"
)

// TestSilentNewClientsAreEvicted checks that clients that connect, send nothing and do not close cannot
// shut out others, however many they are.
func TestSilentNewClientsAreEvicted(t *testing.T) {
	ln := listen(t)
	l := Limit(ln.TCPListener, 2)
	var silent []*net.TCPConn
	for range 8 {
		silent = append(silent, dial(t, ln))
	}
	served, _ := serve(t, l, func(http.ResponseWriter, *http.Request) {})
	c := dial(t, ln)
	besteffort.Output(io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != 200 || served.Load() != 1 {
		t.Errorf("response %v, %v after %d requests, want 200 after 1", resp, err, served.Load())
	}
	for i, c := range silent[:7] {
		if n, err := c.Read(make([]byte, 1)); n != 0 || !errors.Is(err, io.EOF) {
			t.Errorf("silent client %d reads %d bytes, %v, want EOF", i, n, err)
		}
	}
}

// TestClientsAreClosedWhileFullAndServedAfterwards checks that clients are closed unread when all slots have
// been taken for longer than FullTimeout, that Full reports this, and that a client that comes after a slot
// became free is served.
func TestClientsAreClosedWhileFullAndServedAfterwards(t *testing.T) {
	ln := listen(t)
	l := Limit(ln.TCPListener, 1)
	l.FullTimeout = 2 * lingerTimeout
	began, release := make(chan bool, 2), make(chan bool, 2)
	_, states := serve(t, l, func(http.ResponseWriter, *http.Request) {
		began <- true
		<-release
	})
	sendRequest := func() *net.TCPConn {
		c := dial(t, ln)
		besteffort.Output(io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
		return c
	}
	first := sendRequest()
	wait(t, states, "the connection")
	wait(t, began, "the request")
	for range 3 {
		if n, err := sendRequest().Read(make([]byte, 1)); n != 0 || err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%d bytes and %v for a client beyond the slots, want a close", n, err)
		}
	}
	if !l.Full() || len(began) > 0 {
		t.Errorf("full %v, %d more requests served, want true and 0", l.Full(), len(began))
	}
	release <- true
	wait(t, states, "the connection to go idle")
	if l.Full() {
		t.Error("listener is still full after a slot became free")
	}
	release <- true
	for _, c := range []*net.TCPConn{first, sendRequest()} {
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != 200 {
			t.Errorf("response %v, %v, want 200", resp, err)
		}
	}
}

// descriptorLimitedListener fails some accepts with the error of a system that has no descriptor left.
type descriptorLimitedListener struct {
	net.Listener
	failures int
}

func (l *descriptorLimitedListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// TestAcceptEvictsIdleClientWhenDescriptorsRunOut checks that Accept continues after the system has run out
// of descriptors, and that an idle client is closed to free one.
func TestAcceptEvictsIdleClientWhenDescriptorsRunOut(t *testing.T) {
	ln := listen(t)
	limited := &descriptorLimitedListener{Listener: ln.TCPListener}
	l := Limit(limited, 5)
	defer besteffort.Close(l)
	idle := dial(t, ln)
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c.(*Conn).inFlight = true
	l.TrackState(c, http.StateIdle)
	limited.failures = 2
	dial(t, ln)
	if _, err := l.Accept(); err != nil {
		t.Errorf("accept fails with %v", err)
	}
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the idle client's read ends with %v", err)
	}
	besteffort.Close(idle)
}
