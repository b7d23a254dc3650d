package node

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"indigotack/decide"
	"indigotack/internal/pause"
)

const (
	handoverName    = "handover.sock" // in $TMPDIR
	handoverVersion = 1
	maxHandoverLine = 4 << 20                 // bytes; the state of a thousand servers takes a tenth
	mostLinks       = 4                       // processes that may be at the socket at a time
	helloTime       = 2 * time.Second         // for the other end's first words
	stateTime       = 2500 * time.Millisecond // for the old process to say what it knows
	listTime        = 2 * time.Second         // for discovery to tell the new process the list
	yoursTime       = time.Second             // for the old process to let go: all this is under the 6 s that an upgrade has
	forwardTime     = 400 * time.Millisecond  // for the other process to take a maintenance call
	outliveLeast    = 5 * time.Second         // the old process stays so long, for operators that still call it
)

// message is a line between the old process of a node and the new one.
type message struct {
	Version int                        `json:"v,omitempty"`
	Kind    string                     `json:"kind"`
	Learned *decide.Learned            `json:"learned,omitempty"`
	Names   map[string]decide.ServerID `json:"names,omitempty"` // of the servers in it
	Bans    []string                   `json:"bans,omitempty"`
	Backend string                     `json:"backend,omitempty"`
	On      bool                       `json:"on,omitempty"`
	Number  int                        `json:"number,omitempty"` // of a call that is forwarded
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
	line, err := json.Marshal(m)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	line = append(line, '\n')
	l.mu.Lock()
	defer l.mu.Unlock()
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

// InheritedListener gives the clients' socket that the platform holds, whose
// descriptor the environment names. It is shared with other processes: it may
// be closed, but never shut down.
func InheritedListener(number string) (net.Listener, error) {
	fd, err := strconv.Atoi(number)
	if err != nil || fd < 0 {
		return nil, fmt.Errorf("%q is no descriptor", number)
	}
	syscall.CloseOnExec(fd)
	f := os.NewFile(uintptr(fd), "clients")
	if f == nil {
		return nil, fmt.Errorf("descriptor %d can't be used", fd)
	}
	defer f.Close()
	return net.FileListener(f)
}

// TakeOver prepares a node for upgrades: by a process that serves already, and
// later by one that comes after it. dir is where they meet. It is called once,
// before Run.
func (n *Node) TakeOver(dir string) { n.meeting = filepath.Join(dir, handoverName) }

// greet asks the process that serves, if there is one, for what it knows.
func (n *Node) greet(ctx context.Context) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTime) // for all of it
	defer cancel()
	end, _ := ctx.Deadline()
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "unix", n.meeting)
	if errors.Is(err, syscall.ENOENT) || errors.Is(err, syscall.ECONNREFUSED) {
		return nil, nil // nobody serves
	}
	if err != nil {
		return nil, err
	}
	l := newLink(c.(*net.UnixConn))
	m := message{}
	if err = l.say(message{Version: handoverVersion, Kind: kindHello}, -1); err == nil {
		m, err = l.next(end)
	}
	if err == nil && (m.Kind != kindState || m.Version != handoverVersion) {
		err = fmt.Errorf("the old process says %q in version %d", m.Kind, m.Version)
	}
	if err != nil {
		l.close()
		l.drop()
		return nil, err
	}
	n.do(func() { n.restore(m) })
	return l, nil
}

// do has the loop run f ahead of its inbox, and returns when it has.
func (n *Node) do(f func()) bool {
	done := make(chan struct{})
	select {
	case n.calls <- func() { defer close(done); f() }:
	case <-n.ended:
		return false
	}
	<-done
	return true
}

// restore takes what the old process knew. Numbers of servers are a matter of
// each process.
func (n *Node) restore(m message) {
	for _, name := range m.Bans {
		n.setMaintenance(name, true)
	}
	if m.Learned == nil {
		return
	}
	names := map[decide.ServerID]string{}
	for name, id := range m.Names {
		names[id] = name
	}
	servers := m.Learned.Servers[:0]
	for _, s := range m.Learned.Servers {
		if name, ok := names[s.ID]; ok {
			s.ID = n.ids.of(name)
			servers = append(servers, s)
		}
	}
	m.Learned.Servers = servers
	n.handle(decide.Restored{Learned: *m.Learned})
	n.log.Info("taken over", "servers", len(servers))
}

// succeed goes on where greet ended: it waits for the list, has the old process
// let go, and stays linked with it until it ends. It returns when this process
// is to serve.
func (n *Node) succeed(ctx context.Context, l *link) {
	n.join(l, false)
	yours := make(chan struct{})
	let := sync.OnceFunc(func() { close(yours) })
	go func() {
		defer n.leave(l)
		defer let() // an old process that has ended has let go
		n.attend(l, func(m message) {
			if m.Kind == kindYours {
				n.takePeers(l)
				let()
			}
		})
	}()
	n.await(ctx, listTime, n.told)
	if err := l.say(message{Kind: kindReady}, -1); err != nil {
		n.log.Warn("the old process is gone", "err", err)
		return
	}
	if !n.await(ctx, yoursTime, yours) {
		n.log.Warn("the old process does not let go")
	}
}

// await waits for a channel to close, for some time at most.
func (n *Node) await(ctx context.Context, most time.Duration, c <-chan struct{}) bool {
	t := time.NewTimer(most)
	defer t.Stop()
	select {
	case <-c:
		return true
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}

// attend takes what the other process says until the link ends.
func (n *Node) attend(l *link, other func(message)) {
	stop := context.AfterFunc(n.ctx, l.close)
	defer stop()
	defer l.drop()
	for {
		m, err := l.next(time.Time{})
		if err != nil {
			return
		}
		if m.Kind != kindCall {
			if m.Kind == kindDone {
				l.done(m.Number)
			} else {
				other(m)
			}
			continue
		}
		n.do(func() { n.setMaintenance(m.Backend, m.On) })
		n.forward(l, m.Backend, m.On)
		if l.say(message{Kind: kindDone, Number: m.Number}, -1) != nil {
			return
		}
	}
}

// links are the processes of this node that this one speaks with: the one
// before it, while that ends, and the one after it.
type links struct {
	mu        sync.Mutex
	all       []*link
	successor *link
}

// join takes in another process, but no second one that would succeed.
func (n *Node) join(l *link, successor bool) bool {
	n.links.mu.Lock()
	defer n.links.mu.Unlock()
	if successor {
		if n.links.successor != nil {
			return false
		}
		n.links.successor = l
	}
	n.links.all = append(n.links.all, l)
	n.overlap(true)
	return true
}

// leave ends what two processes share.
func (n *Node) leave(l *link) {
	l.close()
	n.links.mu.Lock()
	defer n.links.mu.Unlock()
	if n.links.successor == l {
		n.links.successor = nil
	}
	n.links.all = slices.DeleteFunc(n.links.all, func(o *link) bool { return o == l })
	n.overlap(len(n.links.all) > 0)
}

// forward tells the other processes of a maintenance call. They stand in a row,
// so that none hears of it twice.
func (n *Node) forward(from *link, name string, on bool) {
	n.links.mu.Lock()
	all := slices.Clone(n.links.all)
	n.links.mu.Unlock()
	for _, l := range all {
		if l != from {
			l.call(n.ctx, name, on)
		}
	}
}

// overlap halves what this process may use, or takes it all back.
func (n *Node) overlap(on bool) {
	n.backends.share(on)
	if n.Overlap != nil {
		n.Overlap(on)
	}
}

// takePeers goes on with the socket at which other nodes know this one.
func (n *Node) takePeers(l *link) {
	for i, fd := range l.fds {
		if i > 0 || !n.hears() {
			continue
		}
		l.fds[i] = -1
		syscall.CloseOnExec(fd)
		f := os.NewFile(uintptr(fd), "peers")
		c, err := net.FilePacketConn(f)
		f.Close()
		u, ok := c.(*net.UDPConn)
		if err != nil || !ok {
			n.log.Error("the socket of the old process can't be used", "err", err)
			continue
		}
		n.startPeers(newPeers(u, n.cfg.Peers, n.log))
	}
	l.drop()
}

// awaitSuccessor listens for a new process until this one has handed over or
// ctx ends.
func (n *Node) awaitSuccessor(ctx context.Context) {
	os.Remove(n.meeting) // of a process that has ended
	ln, err := (&net.ListenConfig{}).Listen(ctx, "unix", n.meeting)
	if err != nil {
		n.log.Error("no new process can take over", "err", err)
		return
	}
	u := ln.(*net.UnixListener)
	u.SetUnlinkOnClose(false) // the next process may listen there by then
	stop := context.AfterFunc(ctx, func() { u.Close() })
	defer stop()
	links := make(chan struct{}, mostLinks)
	for {
		c, err := u.AcceptUnix()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) || !pause.For(ctx, shortWait) {
				return
			}
			continue
		}
		select {
		case links <- struct{}{}:
			go func() {
				defer func() { <-links }()
				n.handOver(newLink(c), u)
			}()
		default:
			c.Close()
		}
	}
}

// handOver serves one new process.
func (n *Node) handOver(l *link, meeting io.Closer) {
	defer l.close()
	m, err := l.next(time.Now().Add(helloTime))
	if err != nil || m.Kind != kindHello || m.Version != handoverVersion {
		n.log.Warn("not a new process", "says", m.Kind, "version", m.Version, "err", err)
		return
	}
	if !n.join(l, true) {
		l.say(message{Kind: kindRefused}, -1)
		return
	}
	defer n.leave(l)
	if !n.do(func() { m = n.known() }) || l.say(m, -1) != nil {
		return
	}
	n.log.Info("a new process is here")
	n.attend(l, func(m message) {
		if m.Kind != kindReady || n.front.handed.Swap(true) {
			return
		}
		n.log.Info("handing over")
		meeting.Close()
		n.front.stopAccepting()
		n.do(func() { n.handle(decide.HandedOver{}) })
		n.peers.Load().handOver(func(fd int) {
			if err := l.say(message{Kind: kindYours}, fd); err != nil {
				n.log.Warn("handing over", "err", err)
			}
		})
	})
}

// known is what a new process is told.
func (n *Node) known() message {
	learned := n.module.Learned(n.now())
	m := message{Version: handoverVersion, Kind: kindState, Learned: &learned, Names: map[string]decide.ServerID{}}
	for _, s := range learned.Servers {
		m.Names[n.ids.byID[s.ID]] = s.ID
	}
	m.Bans = slices.Sorted(maps.Keys(n.banned))
	return m
}
