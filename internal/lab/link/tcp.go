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
	maxChunkBytes = 32 << 10 // size of the buffer of one read
	maxChunks     = 32       // chunks that may wait in one direction of a stream
	dialTimeout   = 2 * time.Second
	backlog       = 1024                 // length of the accept queue, except during a cut
	acceptPause   = 5 * time.Millisecond // wait after Accept failed, for instance for lack of descriptors
)

// Connect makes a link from e.From to e.To, which listens on target. It returns the address to which e.From
// connects.
func (n *Net) Connect(e Ends, target string) (string, error) {
	address, free, err := Reserve()
	if err != nil {
		return "", err
	}
	p := &proxy{net: n, target: target, address: address, state: newState(n, e),
		listenerChanged: make(chan struct{}, 1)}
	p.acceptPausedChanged = sync.NewCond(&p.mu)
	if err := p.open(); err != nil {
		free()
		return "", fmt.Errorf("listen for link %s: %w", e, err)
	}
	p.state.onChange = p.applyShape
	closeLink := func() {
		p.state.setShape("closed", &Shape{Refuse: true})
		free()
	}
	if err := n.add(e, p.state, closeLink); err != nil {
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

	mu                  sync.Mutex
	listener            *net.TCPListener // nil while connections are refused
	filler              net.Conn         // fills the accept queue while the link is cut
	fillerAddress       string           // local address of the last filler, which accept gets after the cut
	acceptPaused        bool             // the accept loop waits: no Accept call is in progress
	acceptPausedChanged *sync.Cond       // signals a change of acceptPaused
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

// applyShape brings the listener into the state that the link's new shape requires. The caller holds the lock
// of the link's state.
func (p *proxy) applyShape(before, after Shape) {
	switch {
	case after.Refuse && !before.Refuse:
		p.close()
	case !after.Refuse && before.Refuse:
		_ = p.open() // fails only for lack of descriptors, as the port is reserved; the next change retries
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

// fillQueue stops the accept loop and fills the listener's accept queue with one connection, the filler. The
// kernel then answers no further connection attempt. A queue of length 0 holds one connection.
func (p *proxy) fillQueue() {
	besteffort.SocketOption(p.listener.SetDeadline(time.Unix(1, 0)))
	for !p.acceptPaused { // an Accept call in progress would remove the filler from the queue
		p.acceptPausedChanged.Wait()
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
func (p *proxy) setBacklog(length int) {
	raw, err := p.listener.SyscallConn()
	if err == nil {
		besteffort.SocketOption(
			raw.Control(func(fd uintptr) { besteffort.SocketOption(unix.Listen(int(fd), length)) }),
		)
	}
}

// accept accepts connections until the network is closed. It pauses while connections are refused or the link
// is cut.
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

// waitForListener waits until the listener is replaced or may accept again. It returns false once the network
// is closed.
func (p *proxy) waitForListener() bool {
	p.setAcceptPaused(true)
	select {
	case <-p.listenerChanged:
		p.setAcceptPaused(false)
		return true
	case <-p.net.done:
		return false
	}
}

// setAcceptPaused records whether the accept loop waits.
func (p *proxy) setAcceptPaused(paused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.acceptPaused = paused
	p.acceptPausedChanged.Broadcast()
}

// handle forwards an accepted connection, or closes it if it is the filler of a cut that has ended.
func (p *proxy) handle(openerConn *net.TCPConn) {
	p.mu.Lock()
	isFiller := p.fillerAddress == openerConn.RemoteAddr().String()
	p.mu.Unlock()
	if isFiller {
		besteffort.Close(openerConn)
		return
	}
	p.net.tasks.Add(1)
	go func() {
		defer p.net.tasks.Done()
		p.forward(openerConn)
	}()
}

// Stream is one TCP connection over a link. It joins a connection from the opener, the end that connected,
// to a connection to the target, the end that listens.
type Stream struct {
	Ends                   Ends
	openerConn, targetConn *net.TCPConn
	link                   *linkState
	endOnce                sync.Once
	ended                  chan struct{} // closed when the stream has ended
	lastSent               atomic.Int64  // time since clockOrigin of the last read from the opener
	snip                   struct {      // how many bytes may still pass before a snipped stream is reset
		sync.Mutex
		drawn     bool // remaining has been drawn
		remaining int
	}
}

// forward connects an accepted connection to the target and forwards bytes until both directions have ended.
func (p *proxy) forward(openerConn *net.TCPConn) {
	s := &Stream{Ends: p.state.ends, openerConn: openerConn, link: p.state, ended: make(chan struct{})}
	p.state.mu.Lock()
	resets := p.state.resets
	p.state.mu.Unlock()
	key, err := p.net.streams.dial(s, p.target)
	if err != nil {
		besteffort.SocketOption(openerConn.SetLinger(0))
		besteffort.Close(openerConn)
		return
	}
	defer p.net.streams.forget(key)
	p.state.mu.Lock()
	p.state.opened++
	number := p.state.opened
	p.state.streams[s] = true
	resetMissed := p.state.resets != resets
	p.state.mu.Unlock()
	defer func() {
		p.state.mu.Lock()
		delete(p.state.streams, s)
		p.state.mu.Unlock()
	}()
	if resetMissed { // the link was reset before the stream was registered
		s.reset()
	}
	var directions sync.WaitGroup
	directions.Add(2)
	go func() { defer directions.Done(); s.forwardDirection(s.openerConn, s.targetConn, Forward, number) }()
	go func() { defer directions.Done(); s.forwardDirection(s.targetConn, s.openerConn, Back, number) }()
	directions.Wait()
	s.end()
}

// clockOrigin is the time from which Stream.lastSent counts.
var clockOrigin = time.Now()

// LastSent returns when the link last read bytes from the opener, whether or not it has forwarded them.
func (s *Stream) LastSent() time.Time { return clockOrigin.Add(time.Duration(s.lastSent.Load())) }

// ClosedByOpener reports whether the opener has closed its side, even if the link has not forwarded the
// close. It reads the kernel's state of the connection.
func (s *Stream) ClosedByOpener() bool {
	raw, err := s.openerConn.SyscallConn()
	if err != nil {
		return true
	}
	closed := true // a closed socket has no state to read
	besteffort.SocketOption(raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			closed = info.State != unix.BPF_TCP_ESTABLISHED
		}
	}))
	return closed
}

// end closes both connections of the stream, once.
func (s *Stream) end() {
	s.endOnce.Do(func() {
		close(s.ended)
		besteffort.Close(s.openerConn)
		besteffort.Close(s.targetConn)
	})
}

// reset closes both connections of the stream with a TCP reset.
func (s *Stream) reset() {
	besteffort.SocketOption(s.openerConn.SetLinger(0))
	besteffort.SocketOption(s.targetConn.SetLinger(0))
	s.end()
}

// chunk holds bytes that wait to be forwarded, or the end of a direction.
type chunk struct {
	data []byte
	due  time.Time // when to write the bytes; zero: at once
	err  error     // io.EOF, or the error that ended reading
}

// buffers holds read buffers for reuse.
var buffers = sync.Pool{New: func() any { b := make([]byte, maxChunkBytes); return &b }}

// forwardDirection forwards bytes in one direction until its end. It continues to read while the link holds
// bytes back, so that it notices when the sender closes.
func (s *Stream) forwardDirection(from, to *net.TCPConn, direction Direction, number uint64) {
	chunks := make(chan chunk, maxChunks)
	var reading sync.WaitGroup
	reading.Add(1)
	go func() {
		defer reading.Done()
		s.read(from, chunks, direction, number)
	}()
	if err := s.write(to, chunks, direction); err != nil {
		s.reset()
	}
	reading.Wait()
}

// read reads from a connection and sends what it reads to chunks, with due times that never go back.
func (s *Stream) read(from *net.TCPConn, chunks chan<- chunk, direction Direction, number uint64) {
	rng := s.link.randomSource(number, direction)
	var lastDue time.Time
	for {
		buf := *buffers.Get().(*[]byte)
		n, err := from.Read(buf[:maxChunkBytes])
		if direction == Forward && n > 0 {
			s.lastSent.Store(int64(time.Since(clockOrigin)))
		}
		shape := s.link.current.Load().Shape
		c := chunk{data: buf[:n], err: err}
		delay := shape.drawDelay(rng)
		if shape.Loss > 0 && rng.Float64() < shape.Loss {
			delay += RetransmitAfter
		}
		if due := time.Now().Add(delay); delay > 0 || !lastDue.IsZero() {
			if due.Before(lastDue) {
				due = lastDue
			}
			c.due, lastDue = due, due
		}
		select {
		case chunks <- c:
		case <-s.ended:
			return
		}
		if err != nil {
			return
		}
	}
}

// errStreamEnded says that a stream has ended, or has to be reset.
var errStreamEnded = errors.New("the stream has ended")

// write writes the chunks when they are due. It returns nil after it has forwarded the sender's close.
func (s *Stream) write(to *net.TCPConn, chunks <-chan chunk, direction Direction) error {
	for {
		var c chunk
		select {
		case c = <-chunks:
		case <-s.ended:
			return errStreamEnded
		}
		if !s.waitUntil(c.due) {
			return errStreamEnded
		}
		shape, ok := s.waitUnheld(direction)
		if !ok {
			return errStreamEnded
		}
		if err := s.send(to, c.data, shape); err != nil {
			return err
		}
		if buf := c.data[:cap(c.data)]; cap(buf) == maxChunkBytes {
			buffers.Put(&buf)
		}
		if errors.Is(c.err, io.EOF) {
			return to.CloseWrite()
		}
		if c.err != nil {
			return c.err
		}
	}
}

// waitUntil waits until the time due, or returns at once if due is zero. It returns false if the stream ends
// before that.
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

// waitUnheld waits until the link does not hold traffic in the given direction, and returns the shape at that
// time. It returns false if the stream ends before that.
func (s *Stream) waitUnheld(direction Direction) (Shape, bool) {
	for {
		now := s.link.current.Load()
		if now.Hold&direction == 0 {
			return now.Shape, true
		}
		select {
		case <-now.replaced:
		case <-s.ended:
			return Shape{}, false
		}
	}
}

// send writes data at the rate of the shape. It returns an error if the shape's Snip ends the connection.
func (s *Stream) send(to *net.TCPConn, data []byte, shape Shape) error {
	snipped := false
	if shape.Snip > 0 {
		data, snipped = s.truncate(data, shape.Snip)
	}
	for len(data) > 0 {
		n := len(data)
		if shape.Rate > 0 { // small steps, so that bytes arrive at an even rate and not late in one block
			n = min(n, int(max(1, shape.Rate/50)))
			if !s.waitUntil(time.Now().Add(time.Duration(float64(n) / float64(shape.Rate) * float64(time.Second)))) {
				return errStreamEnded
			}
		}
		if _, err := to.Write(data[:n]); err != nil {
			return err
		}
		data = data[n:]
	}
	if snipped {
		return errStreamEnded
	}
	return nil
}

// truncate shortens data to the bytes that may still pass on a snipped connection, and reports whether the
// connection has to be reset after these bytes. The first call draws the limit, which is at most maxBytes.
func (s *Stream) truncate(data []byte, maxBytes int) ([]byte, bool) {
	s.snip.Lock()
	defer s.snip.Unlock()
	if !s.snip.drawn {
		s.snip.drawn, s.snip.remaining = true, 1+int(
			s.link.randomSource(uint64(len(data)), Both).Int64N(int64(maxBytes)))
	}
	if len(data) < s.snip.remaining {
		s.snip.remaining -= len(data)
		return data, false
	}
	return data[:s.snip.remaining], true
}
