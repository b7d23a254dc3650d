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
	"sync/atomic"
	"syscall"
	"time"

	"wrenspread/balancer"
	"wrenspread/internal/besteffort"
	"wrenspread/internal/tenant"
)

const (
	handoffVersion      = 1                      // of the messages' form
	maxHandoffLineBytes = 4 << 20                // the state of a thousand endpoints takes a tenth of this
	handoffHelloTimeout = 2 * time.Second        // for the other process's first message, and for each write
	forwardTimeout      = 400 * time.Millisecond // for the other process to carry out a maintenance call
)

// handoffMessage is a line of JSON between the old and the new process of a proxy.
type handoffMessage struct {
	Version       int                            `json:"v,omitempty"`
	Kind          string                         `json:"kind"`
	Learned       *balancer.LearnedState         `json:"learned,omitempty"`
	Names         map[string]balancer.EndpointID `json:"names,omitempty"` // of the endpoints in Learned
	InMaintenance []string                       `json:"bans,omitempty"`
	Backend       string                         `json:"backend,omitempty"`
	On            bool                           `json:"on,omitempty"`
	Number        int                            `json:"number,omitempty"` // of a forwarded call and its answer
	// Tenants is the proxy's entry in the tenants' member record.
	Tenants *tenant.Member `json:"tenants,omitempty"`
	// Membership is an encoded gossip.Handoff. It is decoded separately: if it can't be read, only the proxy's
	// generation in the fleet is lost.
	Membership json.RawMessage `json:"fleet,omitempty"`
	Executions []executionKey  `json:"executions,omitempty"` // requests that are open or may have run
	Execution  executionKey    `json:"execution,omitempty"`  // of a claim
	Denied     bool            `json:"denied,omitempty"`     // the claim of that number
}

// The kinds of message, in the order in which they are sent. "New" and "old" are the two processes of a
// handoff.
const (
	kindHello   = "hello"   // new to old: requests the state
	kindRefused = "refused" // old to new: another new process is already connected
	kindState   = "state"   // old to new: what the old process has learned
	kindCall    = "call"    // in both directions: a maintenance call
	kindDone    = "done"    // answers kindCall when the call has taken effect
	kindClaims  = "claims"  // new to old, and in answer: the sender takes claims
	kindClaim   = "claim"   // in both directions: the sender serves a request that must not run twice
	kindClaimed = "claimed" // answers kindClaim, unless its number is 0
	kindReady   = "ready"   // new to old: the new process can serve
	kindRelease = "yours"   // old to new, with the peer socket: the old process has stopped accepting
)

// handoffLink is the connection between an old and a new process of a proxy.
type handoffLink struct {
	conn        *net.UnixConn
	scanner     *bufio.Scanner
	descriptors []int // file descriptors that came with the lines read so far

	takesClaims atomic.Bool // the other process takes claims
	peerServes  atomic.Bool // the other process serves clients, or will do so at once

	mu             sync.Mutex // guards the fields below and writes to conn
	lastCallNumber int
	pendingCalls   map[int]chan struct{}    // closed when the other process has answered the call of that number
	pendingClaims  map[int]chan claimResult // receive the other process's answer to the claim of that number
	closed         bool
}

func newHandoffLink(c *net.UnixConn) *handoffLink {
	l := &handoffLink{conn: c, pendingCalls: map[int]chan struct{}{}, pendingClaims: map[int]chan claimResult{}}
	l.scanner = bufio.NewScanner(l)
	l.scanner.Buffer(nil, maxHandoffLineBytes)
	return l
}

// Read reads bytes and collects the file descriptors that come with them.
func (l *handoffLink) Read(p []byte) (int, error) {
	oob := make([]byte, syscall.CmsgSpace(4))
	n, oobLength, _, _, err := l.conn.ReadMsgUnix(p, oob)
	if oobLength > 0 {
		if msgs, err := syscall.ParseSocketControlMessage(oob[:oobLength]); err == nil {
			for _, m := range msgs {
				if fds, err := syscall.ParseUnixRights(&m); err == nil {
					l.descriptors = append(l.descriptors, fds...) // at most one: oob has no more space
				}
			}
		}
		if len(l.descriptors) > 1 { // the protocol sends one per link
			return 0, errors.New("handoff: more than one file descriptor received")
		}
	}
	if n == 0 && err == nil {
		err = io.EOF
	}
	return n, err
}

// receive reads one message. It fails at the deadline; a zero deadline means no time limit.
func (l *handoffLink) receive(deadline time.Time) (m handoffMessage, err error) {
	besteffort.SocketOption(l.conn.SetReadDeadline(deadline))
	if !l.scanner.Scan() {
		if err = l.scanner.Err(); err == nil {
			err = io.EOF
		}
		return m, err
	}
	return m, json.Unmarshal(l.scanner.Bytes(), &m)
}

// send writes one message, with the file descriptor fd unless fd is negative.
func (l *handoffLink) send(m handoffMessage, fd int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.writeLocked(m, fd)
}

// writeLocked is send for a caller that has locked mu.
func (l *handoffLink) writeLocked(m handoffMessage, fd int) error {
	line, err := json.Marshal(m)
	if err != nil {
		return fmt.Errorf("handoff: encode %s message: %w", m.Kind, err)
	}
	line = append(line, '\n')
	besteffort.SocketOption(l.conn.SetWriteDeadline(time.Now().Add(handoffHelloTimeout)))
	if fd >= 0 {
		_, _, err = l.conn.WriteMsgUnix(line, syscall.UnixRights(fd), nil)
	} else {
		_, err = l.conn.Write(line)
	}
	return err
}

// forwardMaintenance forwards a maintenance call and waits, at most forwardTimeout, until the call has taken
// effect in the other process.
func (l *handoffLink) forwardMaintenance(ctx context.Context, name string, on bool) {
	completed := make(chan struct{})
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return
	}
	l.lastCallNumber++
	number := l.lastCallNumber
	l.pendingCalls[number] = completed
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.pendingCalls, number)
		l.mu.Unlock()
	}()
	if l.send(handoffMessage{Kind: kindCall, Backend: name, On: on, Number: number}, -1) != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	select {
	case <-completed:
	case <-ctx.Done():
	}
}

// maintenanceDone ends the wait for the forwarded call of that number.
func (l *handoffLink) maintenanceDone(number int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if completed := l.pendingCalls[number]; completed != nil {
		delete(l.pendingCalls, number)
		close(completed)
	}
}

// close closes the link and ends all waits for forwarded calls.
func (l *handoffLink) close() {
	besteffort.Close(l.conn)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.endClaimsLocked()
	for number, completed := range l.pendingCalls {
		delete(l.pendingCalls, number)
		close(completed)
	}
}

// closeUnused closes the received descriptors that have not been taken from the link.
func (l *handoffLink) closeUnused() {
	for _, fd := range l.descriptors {
		if fd >= 0 {
			_ = syscall.Close(fd) // an error changes nothing: the descriptor has not been used
		}
	}
	l.descriptors = nil
}
