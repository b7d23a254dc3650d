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

// TestSilentNewClientsAreEvicted: clients that connect, send nothing and do not close must not shut out others, however many.
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
		t.Errorf("answer %v, %v, requests %d", resp, err, served.Load())
	}
	for i, c := range silent[:7] {
		if n, err := c.Read(make([]byte, 1)); n != 0 || !errors.Is(err, io.EOF) {
			t.Errorf("silent client %d reads %d bytes, %v", i, n, err)
		}
	}
}

// TestClientsAreClosedWhileFullAndServedAfterwards are shut, and it is told; one that comes when there is a place again is served.
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
			t.Errorf("%d bytes and %v for a client that can't be taken", n, err)
		}
	}
	if !l.Full() || len(began) > 0 {
		t.Errorf("full %v, %d requests more", l.Full(), len(began))
	}
	release <- true
	wait(t, states, "the connection to go idle")
	if l.Full() {
		t.Error("it is still full")
	}
	release <- true
	for _, c := range []*net.TCPConn{first, sendRequest()} {
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != 200 {
			t.Errorf("answer %v, %v", resp, err)
		}
	}
}

// descriptorLimitedListener fails a number of times, as the system does that has no descriptor left.
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

// TestAcceptEvictsIdleClientWhenDescriptorsRunOut: idle clients give up theirs, and accepting goes on.
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
		t.Errorf("it ends with %v", err)
	}
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the idle client's read ends with %v", err)
	}
	besteffort.Close(idle)
}
