package proxy

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"wrenspread/internal/besteffort"
)

// testTimeout bounds each wait of a test. A passing test waits for a much shorter time.
const testTimeout = 30 * time.Second

// backendServer runs a server on a loopback port and returns its address. script serves each connection. Its
// number counts the server's connections from 0.
func backendServer(t *testing.T, script func(number int, c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { besteffort.Close(ln) })
	go func() {
		for i := 0; ; i++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			besteffort.SocketOption(c.SetDeadline(time.Now().Add(3 * testTimeout))) // later than testTimeout, so that the test reports the failure
			go func() {
				defer besteffort.Close(c)
				script(i, c, bufio.NewReader(c))
			}()
		}
	}()
	return ln.Addr().String()
}

// readRequest reads a request and discards its body. It returns nil if no request can be read.
func readRequest(r *bufio.Reader) *http.Request {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil
	}
	_, _ = io.Copy(io.Discard, req.Body)
	return req
}

// refusingAddress returns an address that refuses connections. Its port is bound until the test ends, so that
// no other socket of this or another test gets it.
func refusingAddress(t *testing.T) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(fd) })
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	bound, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", bound.(*unix.SockaddrInet4).Port)
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Load: inflight=7,queue=2\r\n\r\nhi"

// silentServer reads one request on each connection and never responds. It sends the request's ID on got, and
// on gone when the connection ends.
func silentServer(t *testing.T) (address string, got, gone chan string) {
	got, gone = make(chan string, 100), make(chan string, 100)
	return backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		req := readRequest(r)
		if req == nil {
			return
		}
		id := req.Header.Get("X-Request-Id")
		got <- id
		_, _ = r.ReadByte()
		gone <- id
	}), got, gone
}

// okServer returns the address of a server that responds to all requests with okResponse.
func okServer(t *testing.T) string {
	return backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for readRequest(r) != nil {
			besteffort.Output(io.WriteString(c, okResponse))
		}
	})
}

// pattern returns n bytes in which no part repeats.
func pattern(n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(i*7 + i>>8*13 + i>>16*29)
	}
	return b
}

// digestServer returns the address of a server that responds to each request with the length and digest of
// its body.
func digestServer(t *testing.T) string {
	return backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			h := sha256.New()
			n, err := io.Copy(h, req.Body)
			if err != nil {
				return
			}
			body := fmt.Sprintf("%d %x", n, h.Sum(nil))
			besteffort.Output(fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
		}
	})
}

// digestOf returns the response of a digestServer to a request with the body b.
func digestOf(b []byte) string { return fmt.Sprintf("%d %x", len(b), sha256.Sum256(b)) }
