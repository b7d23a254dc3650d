package proxy

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/proxy/memory"
)

// answerAllowance is how long after its deadline a request must have its final answer.
const answerAllowance = 500 * time.Millisecond

// waitUntilTaken waits until the proxy's machine has acknowledged all bytes of the client.
func (c clientConn) waitUntilTaken(t *testing.T) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the bytes to reach the proxy's machine", func() (taken bool) {
		besteffort.SocketOption(raw.Control(func(fd uintptr) {
			n, err := unix.IoctlGetInt(int(fd), unix.TIOCOUTQ)
			taken = err == nil && n == 0
		}))
		return taken
	})
}

// sendPost sends a complete request, either with a stated length or in one chunk.
func (c clientConn) sendPost(id, class, deadline string, body []byte, chunked bool) {
	head := fmt.Sprintf("POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Deadline: %s\r\n", id, class, deadline)
	if chunked {
		besteffort.Output(fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body))
		return
	}
	besteffort.Output(fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body))
}

// stalledBackend returns the address of a server that accepts connections and reads nothing, with small
// buffers.
func stalledBackend(t *testing.T) string {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4096) })
	}}
	ln, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { besteffort.Close(ln) })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { besteffort.Close(c) })
		}
	}()
	return ln.Addr().String()
}

// TestUploadIsAnsweredInTimeWhileItsBackendTakesNoBytes guards against uploads that have come completely and
// wait unread, without a deadline, until a hung backend takes bytes again.
func TestUploadIsAnsweredInTimeWhileItsBackendTakesNoBytes(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprintf("chunked %v", chunked), func(t *testing.T) {
			srv := startProxyWith(t, func(srv *Server) {
				srv.pool.dialer.Control = func(_, _ string, raw syscall.RawConn) error {
					return raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, 4096) })
				}
			}, stalledBackend(t))
			c := srv.dial(t)
			c.sendPost("q", "pagar", "0.6", pattern(maxBufferedBody+60000), chunked)
			c.waitUntilTaken(t)
			taken := time.Now()
			if s := c.readStatus(t); s < http.StatusInternalServerError {
				t.Errorf("response %d, want a failure", s)
			}
			if late := time.Since(taken) - 600*time.Millisecond; late > answerAllowance || late < -400*time.Millisecond {
				t.Errorf("final answer %v after the deadline", late)
			}
		})
	}
}

// maxSmallBody is the length in bytes of a body for which fillMemory leaves no memory.
const maxSmallBody = 16 << 10

// fillMemory takes the memory but for one more connection with a request's head, and returns a function that
// returns it.
func fillMemory(srv *runningProxy) (release func()) {
	taken, _ := srv.memory.Reserve(0)
	headCost := memory.Head(512, 16)
	taken.Charge(srv.memory.Capacity() - srv.memory.Used() - memory.Connection - memory.Request - headCost)
	return taken.Release
}

// TestBodyWithoutMemoryIsAnsweredInTime guards against a wait for memory that goes on past the deadline of the
// request that waits.
func TestBodyWithoutMemoryIsAnsweredInTime(t *testing.T) {
	srv := startProxy(t, digestServer(t))
	fillMemory(srv)
	for _, chunked := range []bool{false, true} {
		c := srv.dial(t)
		c.sendPost("q", "pagar", "0.6", pattern(maxSmallBody+1), chunked)
		c.waitUntilTaken(t)
		taken := time.Now()
		if s := c.readStatus(t); s != http.StatusServiceUnavailable {
			t.Errorf("chunked %v: response %d, want 503", chunked, s)
		}
		if late := time.Since(taken) - 600*time.Millisecond; late > answerAllowance {
			t.Errorf("chunked %v: final answer %v after the deadline", chunked, late)
		}
	}
}

// TestDeadlineIncludesTheWaitForMemory guards against a deadline that starts only after the wait for memory.
func TestDeadlineIncludesTheWaitForMemory(t *testing.T) {
	const held = 400 * time.Millisecond
	server, got, _ := silentServer(t)
	for _, chunked := range []bool{false, true} {
		srv := startProxy(t, server)
		release := fillMemory(srv)
		c := srv.dial(t)
		c.sendPost("q", "pagar", "20", pattern(maxSmallBody+1), chunked)
		c.waitUntilTaken(t)
		taken := time.Now()
		time.Sleep(held)
		release()
		wait(t, got, "the attempt")
		var deadline time.Time
		srv.do(func() { deadline = srv.requests["q"].deadline })
		if extra := deadline.Sub(taken) - 20*time.Second; extra > held/2 {
			t.Errorf("chunked %v: the deadline is %v after that of the client", chunked, extra)
		}
	}
}

// TestSlowUploadsLeaveMemoryForShorterBodies guards against clients that send long bodies slowly and so keep
// others from being served.
func TestSlowUploadsLeaveMemoryForShorterBodies(t *testing.T) {
	srv := startProxyWith(t, func(srv *Server) {
		srv.process.MemoryMB = 16
	}, digestServer(t))
	for i := range 16 {
		c := srv.dial(t)
		besteffort.Output(fmt.Fprintf(c, uploadHeadFormat+"Content-Length: 1000000\r\n\r\n", fmt.Sprint("slow", i)))
		besteffort.Output(c.Write(make([]byte, maxBufferedBody+1)))
	}
	waitUntil(t, "the uploads to take their memory", func() bool {
		return srv.memory.Used() > srv.memory.Capacity()/2 && srv.memory.Waiting() > 0
	})
	body := pattern(maxBufferedBody)
	if a := do(t, srv.request(t, "POST", "pagar", "q", "2", bytes.NewReader(body))); a.status != 200 || a.body != digestOf(body) {
		t.Errorf("%d %q, want 200", a.status, a.body)
	}
}

// TestPipelinedRequestDeadlineRunsFromItsArrival guards against requests that wait behind another one on their
// connection and get their full time again after that.
func TestPipelinedRequestDeadlineRunsFromItsArrival(t *testing.T) {
	srv, release := startWithHeldResponse(t, false)
	c := srv.dialAccepted(t)
	srv.sendAndWaitUntilRead(t, c, completeGet)
	before := srv.listener.bytesRead.Load()
	second := strings.Replace(nextGet, "Deadline: 60", "Deadline: 0.3", 1)
	third := strings.Replace(nextGet, "Id: next", "Id: third", 1)
	besteffort.Output(io.WriteString(c, second+third))
	waitUntil(t, "the proxy to read the bytes", func() bool { return srv.listener.bytesRead.Load() >= before+int64(len(second+third)) })
	time.Sleep(400 * time.Millisecond)
	close(release)
	for i, want := range []int{http.StatusOK, http.StatusServiceUnavailable, http.StatusOK} {
		if s := c.readStatus(t); s != want {
			t.Errorf("response %d: %d, want %d", i, s, want)
		}
	}
}
