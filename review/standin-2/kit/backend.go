package kit

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Request is a request that has reached a backend completely.
type Request struct {
	ID, Class, Key, Path string
	Method               string
	Body                 []byte
	Backend              *Backend
	At                   time.Time // when its last byte had arrived
	Conn                 net.Conn
	Gone                 <-chan struct{} // not closed; a slot for cases
}

// Backend plays an app box on a loopback address.
type Backend struct {
	Name    string
	Address string
	c       *Case
	ln      net.Listener
	// Serve answers a request on its connection; it returns false to close the connection.
	Serve func(r *Request) bool

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// NewBackend starts a backend.
func (c *Case) NewBackend(name string, serve func(r *Request) bool) (*Backend, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &Backend{Name: name, Address: ln.Addr().String(), c: c, ln: ln, Serve: serve, conns: map[net.Conn]bool{}}
	go b.accept()
	return b, nil
}

func (b *Backend) accept() {
	for {
		conn, err := b.ln.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.conns[conn] = true
		b.mu.Unlock()
		go b.serveConn(conn)
	}
}

// serveConn reads requests one after the other. A connection that has been idle for 10 s is closed.
func (b *Backend) serveConn(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		b.mu.Lock()
		delete(b.conns, conn)
		b.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		if _, err := reader.Peek(1); err != nil {
			return
		}
		_ = conn.SetReadDeadline(time.Now().Add(60 * time.Second))
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		r := &Request{ID: req.Header.Get("X-Request-Id"), Class: req.Header.Get("X-Class"),
			Key: req.Header.Get("Idempotency-Key"), Path: req.URL.Path, Method: req.Method, Body: body,
			Backend: b, At: time.Now(), Conn: conn}
		if !b.Serve(r) {
			return
		}
	}
}

// Answer writes a complete answer.
func (r *Request) Answer(status int, header string, body []byte) bool {
	text := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\nContent-Length: " +
		strconv.Itoa(len(body)) + "\r\n" + header + "\r\n"
	_, err := r.Conn.Write(append([]byte(text), body...))
	return err == nil
}
