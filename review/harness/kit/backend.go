package kit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Backend is an invoice server. Each request is handled by Serve, which writes the answer to the connection.
type Backend struct {
	c       *Case
	Name    string
	Address string
	// Serve answers a request; it returns false to close the connection.
	Serve func(b *Backend, conn net.Conn, r *Received) bool
	mu    sync.Mutex
	got   []*Received
	hung  chan struct{} // closed when the hang ends; nil: none
}

// Received is a request that came whole.
type Received struct {
	ID, Key, Method, Deadline string
	Body                      []byte    // only while it is served
	First, Last               time.Time // when its first and last bytes had come
}

// NewBackend starts a backend.
func (c *Case) NewBackend(name string, serve func(b *Backend, conn net.Conn, r *Received) bool) *Backend {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Must(err, "backend")
	b := &Backend{c: c, Name: name, Address: ln.Addr().String(), Serve: serve}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go b.handle(conn)
		}
	}()
	return b
}

func (b *Backend) handle(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(hangingReader{b, conn})
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		first := time.Now()
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			b.c.Log("%s: request %s came in part", b.Name, req.Header.Get("X-Request-Id"))
			return
		}
		r := &Received{ID: req.Header.Get("X-Request-Id"), Key: req.Header.Get("Idempotency-Key"), Method: req.Method,
			Deadline: req.Header.Get("X-Deadline"), Body: body, First: first, Last: time.Now()}
		b.mu.Lock()
		b.got = append(b.got, r)
		b.mu.Unlock()
		b.c.Log("%s: received %s on %s", b.Name, r.ID, conn.RemoteAddr())
		goOn := b.Serve(b, conn, r)
		r.Body = nil
		if !goOn {
			return
		}
	}
}

// Got returns all requests that came whole.
func (b *Backend) Got() []*Received {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]*Received{}, b.got...)
}

// Entry returns the backend's entry in discovery's list.
func (b *Backend) Entry(status string) Entry {
	return Entry{Name: b.Name, Address: b.Address, Zone: "southern-ind", Type: "std-single", Group: 3, Status: status, Weight: 1}
}

// Answer writes a 200 answer with a body.
func Answer(conn net.Conn, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// Hang makes the backend read and answer nothing more on any of its connections, or ends that.
func (b *Backend) Hang(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.c.Log("%s: hangs: %v", b.Name, on)
	if on {
		b.hung = make(chan struct{})
	} else {
		close(b.hung)
		b.hung = nil
	}
}

// hangingReader reads from a connection, except while its backend hangs.
type hangingReader struct {
	b    *Backend
	conn net.Conn
}

func (r hangingReader) Read(p []byte) (int, error) {
	r.b.mu.Lock()
	hung := r.b.hung
	r.b.mu.Unlock()
	if hung != nil {
		<-hung
	}
	return r.conn.Read(p)
}
