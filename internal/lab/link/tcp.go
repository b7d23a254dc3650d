package link

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"wrenspread/internal/besteffort"
)

const (
	pieceBytes  = 32 << 10 // most bytes of one read
	maxPieces   = 32       // most pieces in flight in one direction
	dialTimeout = 2 * time.Second
	backlog     = 1024
	acceptPause = 5 * time.Millisecond // wait after an Accept that failed for lack of descriptors
)

// Connect makes a link from one party to the address of another, and returns the address at which the first
// party reaches the second.
func (n *Net) Connect(e Ends, target string) (string, error) {
	address, free, err := Reserve()
	if err != nil {
		return "", err
	}
	p := &proxy{net: n, target: target, address: address, state: newState(n, e),
		listenerChanged: make(chan struct{}, 1)}
	p.parkedChanged = sync.NewCond(&p.mu)
	if err := p.open(); err != nil {
		free()
		return "", fmt.Errorf("link %s: %w", e, err)
	}
	p.state.onChange = p.follow
	closing := func() {
		p.state.lay("closed", &Shape{Refuse: true})
		free()
	}
	if err := n.add(e, p.state, closing); err != nil {
		p.close()
		free()
		return "", err
	}
	n.tasks.Add(1)
	go p.accept()
	return address, nil
}

// proxy is the listening side of one link.
type proxy struct {
	net             *Net
	target          string
	address         string
	state           *linkState
	listenerChanged chan struct{} // signals that the listener was replaced or accepts again

	mu            sync.Mutex
	listener      *net.TCPListener // nil while connections are refused
	filler        net.Conn         // fills the accept queue while the link is cut
	fillerAddress string           // the local address of the last filler, which is accepted after the cut
	parked        bool             // no Accept call is in progress
	parkedChanged *sync.Cond
}

// open starts listening on the link's address.
func (p *proxy) open() error {
	ln, err := net.Listen("tcp4", p.address)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.listener = ln.(*net.TCPListener)
	p.mu.Unlock()
	return nil
}

// close stops listening, so that new connections are refused.
func (p *proxy) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		besteffort.Close(p.listener)
		p.listener = nil
	}
	p.closeFiller()
}

// follow brings the listener into the state that the link's new shape requires. The caller holds the lock of
// the link's state.
func (p *proxy) follow(before, after Shape) {
	switch {
	case after.Refuse && !before.Refuse:
		p.close()
	case !after.Refuse && before.Refuse:
		_ = p.open() // the port is reserved, so it fails only for lack of descriptors; the next change retries
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil && after.Cut && p.filler == nil {
		p.fillQueue()
	} else if p.filler != nil && !after.Cut {
		p.setBacklog(backlog)
		p.closeFiller()
		besteffort.SocketOption(p.listener.SetDeadline(time.Time{}))
	}
	select {
	case p.listenerChanged <- struct{}{}:
	default:
	}
}

// fillQueue stops accepting and fills the accept queue of the listener, so that the kernel answers no further
// connection attempt. A queue of length 0 has space for one connection.
func (p *proxy) fillQueue() {
	besteffort.SocketOption(p.listener.SetDeadline(time.Unix(1, 0)))
	for !p.parked { // an Accept call in progress would remove the filler from the queue
		p.parkedChanged.Wait()
	}
	p.setBacklog(0)
	if c, err := net.DialTimeout("tcp4", p.address, dialTimeout); err == nil {
		p.filler, p.fillerAddress = c, c.LocalAddr().String()
	}
}

// closeFiller closes the connection that fills the accept queue.
func (p *proxy) closeFiller() {
	if p.filler != nil {
		besteffort.Close(p.filler)
		p.filler = nil
	}
}

// setBacklog sets the length of the listener's accept queue.
func (p *proxy) setBacklog(queue int) {
	raw, err := p.listener.SyscallConn()
	if err == nil {
		besteffort.SocketOption(
			raw.Control(func(fd uintptr) { besteffort.SocketOption(unix.Listen(int(fd), queue)) }),
		)
	}
}

// accept accepts connections, while the listener allows that, until the network is closed.
func (p *proxy) accept() {
	defer p.net.tasks.Done()
	for {
		p.mu.Lock()
		ln := p.listener
		p.mu.Unlock()
		if ln == nil {
			if !p.waitForListener() {
				return
			}
			continue
		}
		c, err := ln.AcceptTCP()
		switch {
		case err == nil:
			p.handle(c)
		case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, net.ErrClosed):
			if !p.waitForListener() {
				return
			}
		default:
			time.Sleep(acceptPause)
		}
	}
}

// waitForListener waits until the listener may have changed. It returns false once the network is closed.
func (p *proxy) waitForListener() bool {
	p.setParked(true)
	select {
	case <-p.listenerChanged:
		p.setParked(false)
		return true
	case <-p.net.done:
		return false
	}
}

// setParked records whether the accept loop is waiting, so that no Accept call is in progress.
func (p *proxy) setParked(parked bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.parked = parked
	p.parkedChanged.Broadcast()
}

// handle carries an accepted connection, unless it is the one that filled the queue.
func (p *proxy) handle(a *net.TCPConn) {
	p.mu.Lock()
	own := p.fillerAddress == a.RemoteAddr().String()
	p.mu.Unlock()
	if own { // the filler of a cut that has ended
		besteffort.Close(a)
		return
	}
	p.net.tasks.Add(1)
	go func() {
		defer p.net.tasks.Done()
		p.carry(a)
	}()
}

// Stream is one TCP connection over a link.
type Stream struct {
	Ends  Ends
	a, b  *net.TCPConn // connections to the end that connected, and to the end that listens
	link  *linkState
	once  sync.Once
	ended chan struct{} // closed when the stream has ended
	sent  atomic.Int64  // time since base at which the opener's last piece was read
	snip  struct {      // how many bytes may still pass before a snipped stream is reset
		sync.Mutex
		drawn bool
		left  int
	}
}

// carry connects an accepted connection to the target and passes bytes in both directions until both have
// ended.
func (p *proxy) carry(a *net.TCPConn) {
	s := &Stream{Ends: p.state.ends, a: a, link: p.state, ended: make(chan struct{})}
	p.state.mu.Lock()
	resets := p.state.resets
	p.state.mu.Unlock()
	key, err := p.net.streams.dial(s, p.target)
	if err != nil {
		besteffort.SocketOption(a.SetLinger(0))
		besteffort.Close(a)
		return
	}
	defer p.net.streams.forget(key)
	p.state.mu.Lock()
	p.state.opened++
	number := p.state.opened
	p.state.streams[s] = true
	missed := p.state.resets != resets
	p.state.mu.Unlock()
	defer func() {
		p.state.mu.Lock()
		delete(p.state.streams, s)
		p.state.mu.Unlock()
	}()
	if missed { // a reset came before the stream was listed
		s.reset()
	}
	var halves sync.WaitGroup
	halves.Add(2)
	go func() { defer halves.Done(); s.pass(s.a, s.b, Forward, number) }()
	go func() { defer halves.Done(); s.pass(s.b, s.a, Back, number) }()
	halves.Wait()
	s.end()
}

// base is the origin of Stream.sent.
var base = time.Now()

// LastSent returns when the end that connected last wrote something, whether or not the link has passed it
// on.
func (s *Stream) LastSent() time.Time { return base.Add(time.Duration(s.sent.Load())) }

// LeftByOpener reports, from the kernel's state of the connection, whether the end that connected has closed
// its side, even if the link has not passed that on.
func (s *Stream) LeftByOpener() bool {
	raw, err := s.a.SyscallConn()
	if err != nil {
		return true
	}
	left := true // a closed socket has no state to read
	besteffort.SocketOption(raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			left = info.State != unix.BPF_TCP_ESTABLISHED
		}
	}))
	return left
}

// end closes both connections of the stream, once.
func (s *Stream) end() {
	s.once.Do(func() {
		close(s.ended)
		besteffort.Close(s.a)
		besteffort.Close(s.b)
	})
}

// reset closes both connections of the stream with a TCP reset.
func (s *Stream) reset() {
	besteffort.SocketOption(s.a.SetLinger(0))
	besteffort.SocketOption(s.b.SetLinger(0))
	s.end()
}

// chunk is a piece of a stream in flight, or the stream's end.
type chunk struct {
	data []byte
	due  time.Time // when to write it; zero: at once
	err  error     // io.EOF, or the error that ended reading
}

// buffers holds read buffers for reuse.
var buffers = sync.Pool{New: func() any { b := make([]byte, pieceBytes); return &b }}

// pass carries one direction until its end. It continues to read while the link holds bytes back, so that a
// close of the sender is noticed.
func (s *Stream) pass(from, to *net.TCPConn, way Way, number uint64) {
	parts := make(chan chunk, maxPieces)
	var reading sync.WaitGroup
	reading.Add(1)
	go func() {
		defer reading.Done()
		s.read(from, parts, way, number)
	}()
	if err := s.write(to, parts, way); err != nil {
		s.reset()
	}
	reading.Wait()
}

// read reads pieces and sends them to parts with the time at which each is due. The times never go back.
func (s *Stream) read(from *net.TCPConn, parts chan<- chunk, way Way, number uint64) {
	chance := s.link.randomSource(number, way)
	var last time.Time
	for {
		buf := *buffers.Get().(*[]byte)
		n, err := from.Read(buf[:pieceBytes])
		if way == Forward && n > 0 {
			s.sent.Store(int64(time.Since(base)))
		}
		now := s.link.current.Load().Shape
		p := chunk{data: buf[:n], err: err}
		lag := now.drawDelay(chance)
		if now.Loss > 0 && chance.Float64() < now.Loss {
			lag += RetransmitAfter
		}
		if due := time.Now().Add(lag); lag > 0 || !last.IsZero() {
			if due.Before(last) {
				due = last
			}
			p.due, last = due, due
		}
		select {
		case parts <- p:
		case <-s.ended:
			return
		}
		if err != nil {
			return
		}
	}
}

var errOver = errors.New("the connection is over")

// write forwards the parts when they are due. It returns nil after an orderly end.
func (s *Stream) write(to *net.TCPConn, parts <-chan chunk, way Way) error {
	for {
		var p chunk
		select {
		case p = <-parts:
		case <-s.ended:
			return errOver
		}
		if !s.waitUntil(p.due) {
			return errOver
		}
		shape, ok := s.waitUnheld(way)
		if !ok {
			return errOver
		}
		if err := s.send(to, p.data, shape); err != nil {
			return err
		}
		if buf := p.data[:cap(p.data)]; cap(buf) == pieceBytes {
			buffers.Put(&buf)
		}
		if errors.Is(p.err, io.EOF) {
			return to.CloseWrite()
		}
		if p.err != nil {
			return p.err
		}
	}
}

// waitUntil waits until due. It returns false if the stream ends before that.
func (s *Stream) waitUntil(due time.Time) bool {
	wait := time.Until(due)
	if due.IsZero() || wait <= 0 {
		return true
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-s.ended:
		return false
	}
}

// waitUnheld waits until the link does not hold the given direction, and returns the shape at that time. It
// returns false if the stream ends before that.
func (s *Stream) waitUnheld(way Way) (Shape, bool) {
	for {
		now := s.link.current.Load()
		if now.Hold&way == 0 {
			return now.Shape, true
		}
		select {
		case <-now.replaced:
		case <-s.ended:
			return Shape{}, false
		}
	}
}

// send writes data at the rate of the shape, and returns an error if the shape cuts the connection off.
func (s *Stream) send(to *net.TCPConn, data []byte, shape Shape) error {
	cut := false
	if shape.Snip > 0 {
		data, cut = s.cutAt(data, shape.Snip)
	}
	for len(data) > 0 {
		n := len(data)
		if shape.Rate > 0 { // small steps, so that bytes trickle instead of arriving late in one block
			n = min(n, int(max(1, shape.Rate/50)))
			if !s.waitUntil(time.Now().Add(time.Duration(float64(n) / float64(shape.Rate) * float64(time.Second)))) {
				return errOver
			}
		}
		if _, err := to.Write(data[:n]); err != nil {
			return err
		}
		data = data[n:]
	}
	if cut {
		return errOver
	}
	return nil
}

// cutAt shortens data to the bytes that may still pass on a snipped connection, and reports whether the
// connection has to be reset after them.
func (s *Stream) cutAt(data []byte, within int) ([]byte, bool) {
	s.snip.Lock()
	defer s.snip.Unlock()
	if !s.snip.drawn {
		s.snip.drawn, s.snip.left = true, 1+int(s.link.randomSource(uint64(len(data)), Both).Int64N(int64(within)))
	}
	if len(data) < s.snip.left {
		s.snip.left -= len(data)
		return data, false
	}
	return data[:s.snip.left], true
}
