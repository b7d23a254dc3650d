package kit

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// Answer is what a client has got for a request.
type Answer struct {
	Status    int // 0: none
	Body      []byte
	Whole     bool
	Sent      time.Time // when the last byte of the request was written
	FirstByte time.Time // zero: no byte came
	LastByte  time.Time
	Err       error // why the answer is not whole
	Closed    bool  // the connection was to be closed after the answer
	NoBytes   bool  // the connection ended before any byte of an answer
	// SentAgainAt is when a kept connection had ended so and the request was sent once more on a new one; zero: not.
	SentAgainAt time.Time
}

// Ask sends one request on a new connection, and waits for the answer for a time.
func Ask(address, request string, wait time.Duration) Answer {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = conn.Close() }()
	return exchange(conn, request, wait)
}

// firstByteReader notes when the first byte comes.
type firstByteReader struct {
	net.Conn
	first time.Time
}

func (f *firstByteReader) Read(p []byte) (int, error) {
	n, err := f.Conn.Read(p)
	if n > 0 && f.first.IsZero() {
		f.first = time.Now()
	}
	return n, err
}

func exchange(conn net.Conn, request string, wait time.Duration) (a Answer) {
	if _, err := io.WriteString(conn, request); err != nil {
		return Answer{Err: err, NoBytes: true}
	}
	a.Sent = time.Now()
	_ = conn.SetReadDeadline(a.Sent.Add(wait))
	in := &firstByteReader{Conn: conn}
	resp, err := http.ReadResponse(bufio.NewReader(in), &http.Request{Method: method(request)})
	a.FirstByte = in.first
	if err != nil {
		a.Err = err
		a.NoBytes = in.first.IsZero()
		return a
	}
	a.Status = resp.StatusCode
	a.Closed = resp.Close
	a.Body, err = io.ReadAll(resp.Body)
	a.LastByte = time.Now()
	a.Err, a.Whole = err, err == nil
	return a
}

func method(request string) string {
	m, _, _ := strings.Cut(request, " ")
	return m
}

// Client keeps connections to one node and opens more when all are busy.
type Client struct {
	Address string
	mu      sync.Mutex
	idle    []net.Conn
}

// Do sends a request on a kept or new connection, one at a time. If a kept connection ends before any byte of
// the answer, the request is sent once more on a new connection, as the page on the protocol says.
func (k *Client) Do(request string, wait time.Duration) Answer {
	k.mu.Lock()
	var conn net.Conn
	if n := len(k.idle); n > 0 {
		conn = k.idle[n-1]
		k.idle = k.idle[:n-1]
	}
	k.mu.Unlock()
	if conn != nil {
		a := exchange(conn, request, wait)
		if !a.NoBytes || errors.Is(a.Err, os.ErrDeadlineExceeded) {
			k.keep(conn, a)
			return a
		}
		_ = conn.Close()
	}
	var again time.Time
	if conn != nil {
		again = time.Now()
	}
	conn, err := net.DialTimeout("tcp", k.Address, 2*time.Second)
	if err != nil {
		return Answer{Err: err, NoBytes: true, SentAgainAt: again}
	}
	a := exchange(conn, request, wait)
	a.SentAgainAt = again
	k.keep(conn, a)
	return a
}

func (k *Client) keep(conn net.Conn, a Answer) {
	if !a.Whole || a.Closed {
		_ = conn.Close()
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
	k.mu.Lock()
	k.idle = append(k.idle, conn)
	k.mu.Unlock()
}

// Head returns the head of a request of a class, without a body for GET.
func Head(method, path, id, class, key string, deadline time.Duration, body string) string {
	var b strings.Builder
	b.WriteString(method + " " + path + " HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: " + id + "\r\nX-Class: " + class +
		"\r\nX-Tenant: kalahari-core\r\nX-Deadline: " + seconds(deadline) + "\r\n")
	if key != "" {
		b.WriteString("Idempotency-Key: " + key + "\r\n")
	}
	if method == http.MethodPost {
		b.WriteString("Content-Length: " + itoa(len(body)) + "\r\n")
	}
	return b.String() + "\r\n" + body
}
