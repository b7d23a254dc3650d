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
	"wrenspread/internal/besteffort"
	"wrenspread/internal/tenant"
)

const (
	handoverVersion = 1
	maxHandoverLine = 4 << 20                // bytes; the state of a thousand servers takes a tenth
	helloTimeout    = 2 * time.Second        // for the other end's first message
	forwardTimeout  = 400 * time.Millisecond // for the other process to take a maintenance call
)

// handoffMessage is a line between the old process of a proxy and the new one.
type handoffMessage struct {
	Version       int                            `json:"v,omitempty"`
	Kind          string                         `json:"kind"`
	Learned       *balancer.LearnedState         `json:"learned,omitempty"`
	Names         map[string]balancer.EndpointID `json:"names,omitempty"` // of the servers in it
	InMaintenance []string                       `json:"bans,omitempty"`
	Backend       string                         `json:"backend,omitempty"`
	On            bool                           `json:"on,omitempty"`
	Number        int                            `json:"number,omitempty"` // of a call that is forwarded
	// how the member record has the proxy
	Tenants *tenant.Member `json:"tenants,omitempty"`
	// a gossip.Handoff, the proxy's generation in the fleet; what can't be read of it costs only the generation
	Membership json.RawMessage `json:"fleet,omitempty"`
}

// The kinds of message, in the order in which they come.
const (
	kindHello   = "hello"   // new to old
	kindRefused = "refused" // old to new: another one is here already
	kindState   = "state"   // old to new
	kindCall    = "call"    // either way: maintenance
	kindDone    = "done"    // its answer
	kindReady   = "ready"   // new to old
	kindRelease = "yours"   // old to new, with the peers' socket
)

// handoffLink is the connection between the two processes.
type handoffLink struct {
	conn        *net.UnixConn
	scanner     *bufio.Scanner
	descriptors []int // that came with the lines read so far

	mu         sync.Mutex // of what follows, and for writing
	lastNumber int
	waiting    map[int]chan struct{}
	closed     bool
}

func newHandoffLink(c *net.UnixConn) *handoffLink {
	l := &handoffLink{conn: c, waiting: map[int]chan struct{}{}}
	l.scanner = bufio.NewScanner(l)
	l.scanner.Buffer(nil, maxHandoverLine)
	return l
}

// Read takes in descriptors beside the bytes.
func (l *handoffLink) Read(p []byte) (int, error) {
	oob := make([]byte, syscall.CmsgSpace(4))
	n, oobn, _, _, err := l.conn.ReadMsgUnix(p, oob)
	if oobn > 0 {
		if msgs, err := syscall.ParseSocketControlMessage(oob[:oobn]); err == nil {
			for _, m := range msgs {
				if fds, err := syscall.ParseUnixRights(&m); err == nil {
					l.descriptors = append(l.descriptors, fds...) // one at most, for want of space
				}
			}
		}
		if len(l.descriptors) > 1 { // nobody sends a second one
			return 0, errors.New("handover: too many descriptors")
		}
	}
	if n == 0 && err == nil {
		err = io.EOF
	}
	return n, err
}

// receive reads one message, by a time unless that is zero.
func (l *handoffLink) receive(by time.Time) (m handoffMessage, err error) {
	besteffort.SocketOption(l.conn.SetReadDeadline(by))
	if !l.scanner.Scan() {
		if err = l.scanner.Err(); err == nil {
			err = io.EOF
		}
		return m, err
	}
	return m, json.Unmarshal(l.scanner.Bytes(), &m)
}

// send writes one message, with a descriptor unless that is negative.
func (l *handoffLink) send(m handoffMessage, fd int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.writeLocked(m, fd)
}

// writeLocked is say for whoever holds the lock.
func (l *handoffLink) writeLocked(m handoffMessage, fd int) error {
	line, err := json.Marshal(m)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	line = append(line, '\n')
	besteffort.SocketOption(l.conn.SetWriteDeadline(time.Now().Add(helloTimeout)))
	if fd >= 0 {
		_, _, err = l.conn.WriteMsgUnix(line, syscall.UnixRights(fd), nil)
	} else {
		_, err = l.conn.Write(line)
	}
	return err
}

// forwardMaintenance forwards a maintenance call and waits until the other end has taken it.
func (l *handoffLink) forwardMaintenance(ctx context.Context, name string, on bool) {
	done := make(chan struct{})
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return
	}
	l.lastNumber++
	number := l.lastNumber
	l.waiting[number] = done
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.waiting, number)
		l.mu.Unlock()
	}()
	if l.send(handoffMessage{Kind: kindCall, Backend: name, On: on, Number: number}, -1) != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (l *handoffLink) maintenanceDone(number int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.waiting[number]; c != nil {
		delete(l.waiting, number)
		close(c)
	}
}

// close ends the link and all that wait on it.
func (l *handoffLink) close() {
	besteffort.Close(l.conn)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for number, c := range l.waiting {
		delete(l.waiting, number)
		close(c)
	}
}

// closeUnused closes descriptors that nobody took.
func (l *handoffLink) closeUnused() {
	for _, fd := range l.descriptors {
		if fd >= 0 {
			_ = syscall.Close(fd) // nobody has used it
		}
	}
	l.descriptors = nil
}
