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

// maxBody bounds a request's body, in bytes.
const maxBody = 32 << 20

// connection is one from a node. Its reader notices when the node leaves while an attempt is open.
type connection struct {
	server   *Server
	tcp      *net.TCPConn
	stream   *link.Stream // nil for one that no link carries
	node     string
	requests chan *http.Request // closed when the node has ended its side
	over     chan struct{}      // closed when nobody takes requests any more
	served   int
}

func (s *Server) accept(ln net.Listener) {
	defer s.host.tasks.Done()
	for {
		tcp, err := ln.Accept()
		if err != nil {
			return // closed: the backend is down
		}
		c := &connection{
			server:   s,
			tcp:      tcp.(*net.TCPConn),
			requests: make(chan *http.Request),
			over:     make(chan struct{}),
		}
		if st, ok := s.host.net.Lookup(tcp.RemoteAddr().String()); ok {
			c.stream, c.node = st, st.Ends.From
		}
		s.mu.Lock()
		up := s.ln == ln
		if up {
			s.conns[c] = true
		}
		full := len(s.conns) > s.m.Connections
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

// read takes requests off the connection until the node ends it.
func (c *connection) read() {
	defer c.server.host.tasks.Done()
	defer close(c.requests)
	in := bufio.NewReader(c.tcp)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, http.MaxBytesReader(nil, req.Body, maxBody)); err != nil {
			return
		}
		select {
		case c.requests <- req:
		case <-c.over:
			return
		}
	}
}

func (c *connection) serve(full bool) {
	defer c.server.host.tasks.Done()
	defer func() {
		close(c.over)
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

// answer serves one request; it is false when the connection is over.
func (c *connection) answer(req *http.Request, full bool) bool {
	s := c.server
	id := req.Header.Get("X-Request-Id")
	a := &attempt{id: id, box: s.m.Name, conn: c, answer: make(chan answer, 1)}
	op := s.host.book.Find(id)
	e := history.Event{Kind: history.Arrive, ID: id, Box: s.m.Name, Node: c.node}
	if op == nil {
		e.Bad = true // nobody sent it
		s.host.log.Add(e)
		return c.write(http.StatusBadRequest, "no client sent this", "")
	}
	e.Op, e.Key, e.Class, e.Took = op.N, op.Key, op.Class.Name, op.Work
	s.host.book.Meet(id)
	e.Also = s.host.enter(a)
	defer s.host.leave(a)
	a.arrived = s.host.log.Now()
	e.T, e.Sent = a.arrived, a.arrived
	if c.stream != nil {
		e.Sent = a.arrived - time.Since(c.stream.LastSent())
	}
	s.host.log.Add(e)
	if req.Header.Get("Idempotency-Key") != op.Key {
		s.host.log.Add(
			history.Event{Kind: history.Arrive, ID: id, Box: s.m.Name, Node: c.node, Bad: true, How: "another key"},
		)
	}
	if full {
		s.host.log.Add(history.Event{Kind: history.Turn, ID: id, Box: s.m.Name, How: "connections"})
		return c.write(http.StatusServiceUnavailable, "too many connections", "1")
	}
	c.served++
	s.take(a, op.Work, op.Key, c.served == 1)
	select {
	case got := <-a.answer:
		switch {
		case got.turned:
			return c.write(got.status, "queue full", "1")
		case got.status != http.StatusOK:
			return c.write(got.status, "failed", "")
		}
		return c.write(got.status, Body(id, s.m.Name), "")
	case _, more := <-c.requests:
		s.host.log.Add(history.Event{Kind: history.Shut, ID: id, Box: s.m.Name, Node: c.node})
		if more {
			s.host.log.Add(
				history.Event{
					Kind: history.Arrive,
					ID:   id,
					Box:  s.m.Name,
					Node: c.node,
					Bad:  true,
					How:  "two on one connection",
				},
			)
		}
		s.left(a)
		return false
	}
}

// Body is what a backend answers, so that a client can tell whose answer it got.
func Body(id, box string) string { return id + " " + box }

// writeTime bounds the writing of an answer to a node that does not read.
const writeTime = 30 * time.Second

func (c *connection) write(status int, body, notRun string) bool {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	if notRun != "" {
		head += "X-Not-Run: " + notRun + "\r\n"
	}
	besteffort.SocketOption(c.tcp.SetWriteDeadline(time.Now().Add(writeTime)))
	_, err := io.WriteString(c.tcp, head+"\r\n"+body)
	return err == nil
}
