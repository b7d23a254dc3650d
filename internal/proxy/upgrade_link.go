package proxy

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"wrenspread/balancer"
	"wrenspread/internal/tenant"
)

const (
	handoverVersion = 1
	maxHandoverLine = 4 << 20                // bytes; the state of a thousand servers takes a tenth
	helloTime       = 2 * time.Second        // for the other end's first words
	forwardTime     = 400 * time.Millisecond // for the other process to take a maintenance call
)

// message is a line between the old process of a node and the new one.
type message struct {
	Version int                            `json:"v,omitempty"`
	Kind    string                         `json:"kind"`
	Learned *balancer.LearnedState         `json:"learned,omitempty"`
	Names   map[string]balancer.EndpointID `json:"names,omitempty"` // of the servers in it
	Bans    []string                       `json:"bans,omitempty"`
	Backend string                         `json:"backend,omitempty"`
	On      bool                           `json:"on,omitempty"`
	Number  int                            `json:"number,omitempty"`  // of a call that is forwarded
	Tenants *tenant.Member                 `json:"tenants,omitempty"` // how the tenants' book has the node
	Fleet   json.RawMessage                `json:"fleet,omitempty"`   // a view.Handed, the node's life in the fleet; what can't be read of it costs only the life
}

// The kinds of message, in the order in which they come.
const (
	kindHello   = "hello"   // new to old
	kindRefused = "refused" // old to new: another one is here already
	kindState   = "state"   // old to new
	kindCall    = "call"    // either way: maintenance
	kindDone    = "done"    // its answer
	kindReady   = "ready"   // new to old
	kindYours   = "yours"   // old to new, with the peers' socket
)

// link is the connection between the two processes.
type link struct {
	conn *net.UnixConn
	scan *bufio.Scanner
	fds  []int // that came with the lines read so far

	mu      sync.Mutex // of what follows, and for writing
	number  int
	waiting map[int]chan struct{}
	closed  bool
}

func newLink(c *net.UnixConn) *link {
	l := &link{conn: c, waiting: map[int]chan struct{}{}}
	l.scan = bufio.NewScanner(l)
	l.scan.Buffer(nil, maxHandoverLine)
	return l
}

// Read takes in descriptors beside the bytes.
func (l *link) Read(p []byte) (int, error) {
	oob := make([]byte, syscall.CmsgSpace(4))
	n, oobn, _, _, err := l.conn.ReadMsgUnix(p, oob)
	if oobn > 0 {
		if msgs, err := syscall.ParseSocketControlMessage(oob[:oobn]); err == nil {
			for _, m := range msgs {
				if fds, err := syscall.ParseUnixRights(&m); err == nil {
					l.fds = append(l.fds, fds...) // one at most, for want of room
				}
			}
		}
		if len(l.fds) > 1 { // nobody sends a second one
			return 0, errors.New("handover: too many descriptors")
		}
	}
	if n == 0 && err == nil {
		err = io.EOF
	}
	return n, err
}

// next reads one message, by a time unless that is zero.
func (l *link) next(by time.Time) (m message, err error) {
	l.conn.SetReadDeadline(by)
	if !l.scan.Scan() {
		if err = l.scan.Err(); err == nil {
			err = io.EOF
		}
		return m, err
	}
	return m, json.Unmarshal(l.scan.Bytes(), &m)
}

// say writes one message, with a descriptor unless that is negative.
func (l *link) say(m message, fd int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.write(m, fd)
}

// write is say for whoever holds the lock.
func (l *link) write(m message, fd int) error {
	line, err := json.Marshal(m)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	line = append(line, '\n')
	l.conn.SetWriteDeadline(time.Now().Add(helloTime))
	if fd >= 0 {
		_, _, err = l.conn.WriteMsgUnix(line, syscall.UnixRights(fd), nil)
	} else {
		_, err = l.conn.Write(line)
	}
	return err
}

// call forwards a maintenance call and waits until the other end has taken it.
func (l *link) call(ctx context.Context, name string, on bool) {
	done := make(chan struct{})
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return
	}
	l.number++
	number := l.number
	l.waiting[number] = done
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.waiting, number)
		l.mu.Unlock()
	}()
	if l.say(message{Kind: kindCall, Backend: name, On: on, Number: number}, -1) != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTime)
	defer cancel()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (l *link) done(number int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.waiting[number]; c != nil {
		delete(l.waiting, number)
		close(c)
	}
}

// close ends the link and all that wait on it.
func (l *link) close() {
	l.conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for number, c := range l.waiting {
		delete(l.waiting, number)
		close(c)
	}
}

// drop closes descriptors that nobody took.
func (l *link) drop() {
	for _, fd := range l.fds {
		if fd >= 0 {
			syscall.Close(fd)
		}
	}
	l.fds = nil
}
