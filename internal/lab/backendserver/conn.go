package backendserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/lab/history"
	"wrenspread/internal/lab/link"
	"wrenspread/internal/lab/world"
)

// maxBodyBytes bounds the size of a request's body.
const maxBodyBytes = 32 << 20

// connection is a connection from a node. While an attempt is open it continues to read, so that it notices
// when the node closes the connection.
type connection struct {
	server   *Server
	tcp      *net.TCPConn
	stream   *link.Stream // the stream of the link; nil if the connection does not come over a link
	node     string
	requests chan *http.Request // closed when the node has closed its side
	done     chan struct{}      // closed when no more requests are served
	served   int                // number of requests submitted to the backend
}

// accept serves the connections of a listener until it is closed.
func (s *Server) accept(ln net.Listener) {
	defer s.host.tasks.Done()
	for {
		tcp, err := ln.Accept()
		if err != nil {
			return // the listener was closed: the backend is down
		}
		c := &connection{
			server:   s,
			tcp:      tcp.(*net.TCPConn),
			requests: make(chan *http.Request),
			done:     make(chan struct{}),
		}
		if stream, ok := s.host.net.Lookup(tcp.RemoteAddr().String()); ok {
			c.stream, c.node = stream, stream.Ends.From
		}
		s.mu.Lock()
		up := s.listener == ln
		if up {
			s.conns[c] = true
		}
		full := len(s.conns) > s.machine.Connections
		s.mu.Unlock()
		if !up {
			besteffort.Close(tcp)
			return
		}
		s.host.tasks.Add(2)
		go c.read()
		go c.serve(full)
	}
}

// read reads requests from the connection until the node closes it.
func (c *connection) read() {
	defer c.server.host.tasks.Done()
	defer close(c.requests)
	in := bufio.NewReader(c.tcp)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, http.MaxBytesReader(nil, req.Body, maxBodyBytes)); err != nil {
			return
		}
		select {
		case c.requests <- req:
		case <-c.done:
			return
		}
	}
}

// serve answers the connection's requests until a side ends the connection or it is idle for too long. full
// means that the backend has too many connections, so serve rejects the requests.
func (c *connection) serve(full bool) {
	defer c.server.host.tasks.Done()
	defer func() {
		close(c.done)
		besteffort.Close(c.tcp)
		c.server.mu.Lock()
		delete(c.server.conns, c)
		c.server.mu.Unlock()
	}()
	idle := time.NewTimer(world.IdleClose)
	defer idle.Stop()
	for {
		idle.Reset(world.IdleClose)
		select {
		case req, ok := <-c.requests:
			if !ok || !c.answer(req, full) {
				return
			}
		case <-idle.C:
			return
		}
	}
}

// answer serves a request and records it. It returns false if the connection has to be closed.
func (c *connection) answer(req *http.Request, full bool) bool {
	s := c.server
	id := req.Header.Get("X-Request-Id")
	a := &attempt{id: id, backend: s.machine.Name, conn: c, answer: make(chan answer, 1)}
	op := s.host.requests.Find(id)
	e := history.Event{Kind: history.Arrive, ID: id, Backend: s.machine.Name, Node: c.node}
	if op == nil {
		e.Bad = true // no client sent it
		s.host.log.Add(e)
		return c.write(http.StatusBadRequest, "no client sent this", "")
	}
	e.Op, e.Key, e.Class, e.Took = op.N, op.Key, op.Class.Name, op.Work
	s.host.requests.MarkReached(id)
	e.Also = s.host.addAttempt(a)
	a.arrived = s.host.log.Now()
	e.T, e.Sent = a.arrived, a.arrived
	if c.stream != nil {
		e.Sent = a.arrived - time.Since(c.stream.LastSent())
	}
	s.host.log.Add(e)
	if req.Header.Get("Idempotency-Key") != op.Key {
		s.host.log.Add(
			history.Event{Kind: history.Arrive, ID: id, Backend: s.machine.Name, Node: c.node, Bad: true,
				How: "another key"},
		)
	}
	if full {
		s.host.log.Add(history.Event{Kind: history.Reject, ID: id, Backend: s.machine.Name, How: "connections"})
		return c.respond(a, http.StatusServiceUnavailable, "too many connections", "1")
	}
	c.served++
	s.submit(a, op.Work, op.Key, c.served == 1)
	select {
	case result := <-a.answer:
		switch {
		case result.rejected:
			return c.respond(a, result.status, "queue full", "1")
		case result.status != http.StatusOK:
			return c.respond(a, result.status, "failed", "")
		}
		return c.respond(a, result.status, Body(id, s.machine.Name), "")
	case _, secondRequest := <-c.requests:
		s.host.log.Add(history.Event{Kind: history.Shut, ID: id, Backend: s.machine.Name, Node: c.node})
		if secondRequest {
			s.host.log.Add(
				history.Event{
					Kind:    history.Arrive,
					ID:      id,
					Backend: s.machine.Name,
					Node:    c.node,
					Bad:     true,
					How:     "two on one connection",
				},
			)
		}
		s.cancel(a)
		s.host.removeAttempt(a)
		return false
	}
}

// respond ends an attempt and writes its answer. The attempt ends first, because the node may send the next
// attempt of the request as soon as it has read the answer, before this goroutine runs again.
func (c *connection) respond(a *attempt, status int, body, notRun string) bool {
	c.server.host.removeAttempt(a)
	return c.write(status, body, notRun)
}

// Body returns the body of a backend's answer. The body names the request and the backend, so that a client
// can check both.
func Body(id, backendName string) string { return id + " " + backendName }

// writeTimeout bounds the time for writing an answer, for nodes that do not read.
const writeTimeout = 30 * time.Second

// write writes an answer, and reports whether that succeeded. notRun is the value of the header X-Not-Run; if
// it is empty, the header is not sent.
func (c *connection) write(status int, body, notRun string) bool {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	if notRun != "" {
		head += "X-Not-Run: " + notRun + "\r\n"
	}
	besteffort.SocketOption(c.tcp.SetWriteDeadline(time.Now().Add(writeTimeout)))
	_, err := io.WriteString(c.tcp, head+"\r\n"+body)
	return err == nil
}
