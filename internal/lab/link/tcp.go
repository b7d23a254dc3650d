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
	piece       = 32 << 10 // bytes read at once
	under       = 32       // pieces of one direction that may be on their way
	dialTime    = 2 * time.Second
	backlog     = 1024
	acceptPause = 5 * time.Millisecond // after an Accept that failed for want of descriptors
)

// Connect lays a link from one party to the address of another and gives the
// address at which the first one finds the second.
func (n *Net) Connect(e Ends, target string) (string, error) {
	address, free, err := Reserve()
	if err != nil {
		return "", err
	}
	p := &proxy{net: n, target: target, address: address, state: newState(n, e), wake: make(chan struct{}, 1)}
	p.parks = sync.NewCond(&p.mu)
	if err := p.open(); err != nil {
		free()
		return "", fmt.Errorf("link %s: %w", e, err)
	}
	p.state.changed = p.follow
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
	net     *Net
	target  string
	address string
	state   *state
	wake    chan struct{} // there may be another listener, or one that can be used again

	mu     sync.Mutex
	ln     *net.TCPListener // nil while connections are refused
	filler net.Conn         // fills the queue while the link is cut
	filled string           // the address of the last one, which is met again after the cut
	parked bool             // no Accept is under way
	parks  *sync.Cond
}

func (p *proxy) open() error {
	ln, err := net.Listen("tcp4", p.address)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.ln = ln.(*net.TCPListener)
	p.mu.Unlock()
	return nil
}

func (p *proxy) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ln != nil {
		besteffort.Close(p.ln)
		p.ln = nil
	}
	p.unfill()
}

// follow brings the listener into the state that the link's shape asks for. The caller holds the state's
// lock.
func (p *proxy) follow(before, after Shape) {
	switch {
	case after.Refuse && !before.Refuse:
		p.close()
	case !after.Refuse && before.Refuse:
		_ = p.open() // the port is reserved, so only a want of descriptors fails it; the next change tries again
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ln != nil && after.Cut && p.filler == nil {
		p.fill()
	} else if p.filler != nil && !after.Cut {
		p.listen(backlog)
		p.unfill()
		besteffort.SocketOption(p.ln.SetDeadline(time.Time{}))
	}
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// fill stops accepting and fills the queue of the listener, so that the kernel
// answers no further connection: with a queue of length 0 one fits.
func (p *proxy) fill() {
	besteffort.SocketOption(p.ln.SetDeadline(time.Unix(1, 0)))
	for !p.parked { // an Accept that was under way would take what is to fill the queue
		p.parks.Wait()
	}
	p.listen(0)
	if c, err := net.DialTimeout("tcp4", p.address, dialTime); err == nil {
		p.filler, p.filled = c, c.LocalAddr().String()
	}
}

func (p *proxy) unfill() {
	if p.filler != nil {
		besteffort.Close(p.filler)
		p.filler = nil
	}
}

// listen sets the length of the listener's queue.
func (p *proxy) listen(queue int) {
	raw, err := p.ln.SyscallConn()
	if err == nil {
		besteffort.SocketOption(
			raw.Control(func(fd uintptr) { besteffort.SocketOption(unix.Listen(int(fd), queue)) }),
		)
	}
}

func (p *proxy) accept() {
	defer p.net.tasks.Done()
	for {
		p.mu.Lock()
		ln := p.ln
		p.mu.Unlock()
		if ln == nil {
			if !p.sleep() {
				return
			}
			continue
		}
		c, err := ln.AcceptTCP()
		switch {
		case err == nil:
			p.take(c)
		case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, net.ErrClosed):
			if !p.sleep() {
				return
			}
		default:
			time.Sleep(acceptPause)
		}
	}
}

// sleep waits until the listener may have changed; it is false once the network is closed.
func (p *proxy) sleep() bool {
	p.park(true)
	select {
	case <-p.wake:
		p.park(false)
		return true
	case <-p.net.done:
		return false
	}
}

func (p *proxy) park(is bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.parked = is
	p.parks.Broadcast()
}

func (p *proxy) take(a *net.TCPConn) {
	p.mu.Lock()
	own := p.filled == a.RemoteAddr().String()
	p.mu.Unlock()
	if own { // after a cut
		besteffort.Close(a)
		return
	}
	p.net.tasks.Add(1)
	go func() {
		defer p.net.tasks.Done()
		p.carry(a)
	}()
}

// Stream is one connection over a link.
type Stream struct {
	Ends Ends
	a, b *net.TCPConn // towards the end that connected, and the one that listens
	link *state
	once sync.Once
	gone chan struct{} // closed once it is over
	sent atomic.Int64  // when the opener's last piece was read, since base
	snip struct {      // what may still pass before it is reset
		sync.Mutex
		drawn bool
		left  int
	}
}

func (p *proxy) carry(a *net.TCPConn) {
	s := &Stream{Ends: p.state.ends, a: a, link: p.state, gone: make(chan struct{})}
	p.state.mu.Lock()
	resets := p.state.resets
	p.state.mu.Unlock()
	key, err := p.net.known.dial(s, p.target)
	if err != nil {
		besteffort.SocketOption(a.SetLinger(0))
		besteffort.Close(a)
		return
	}
	defer p.net.known.forget(key)
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
	if missed { // it was not listed yet
		s.reset()
	}
	var halves sync.WaitGroup
	halves.Add(2)
	go func() { defer halves.Done(); s.pass(s.a, s.b, Forward, number) }()
	go func() { defer halves.Done(); s.pass(s.b, s.a, Back, number) }()
	halves.Wait()
	s.end()
}

var base = time.Now()

// LastSent is when the end that connected last wrote something, whenever the link lets it pass.
func (s *Stream) LastSent() time.Time { return base.Add(time.Duration(s.sent.Load())) }

// LeftByOpener asks the kernel whether the end that connected has ended its
// side, whatever the link still holds back.
func (s *Stream) LeftByOpener() bool {
	raw, err := s.a.SyscallConn()
	if err != nil {
		return true
	}
	left := true // a closed socket has no state to ask for
	besteffort.SocketOption(raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			left = info.State != unix.BPF_TCP_ESTABLISHED
		}
	}))
	return left
}

func (s *Stream) end() {
	s.once.Do(func() {
		close(s.gone)
		besteffort.Close(s.a)
		besteffort.Close(s.b)
	})
}

func (s *Stream) reset() {
	besteffort.SocketOption(s.a.SetLinger(0))
	besteffort.SocketOption(s.b.SetLinger(0))
	s.end()
}

// part is a piece of a stream on its way, or its end.
type part struct {
	data []byte
	due  time.Time // zero: at once
	err  error     // io.EOF, or why no more comes
}

var pieces = sync.Pool{New: func() any { b := make([]byte, piece); return &b }}

// pass carries one direction until its end. Reading goes on while the link
// holds things back, so that an end that leaves is noticed.
func (s *Stream) pass(from, to *net.TCPConn, way Way, number uint64) {
	parts := make(chan part, under)
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

func (s *Stream) read(from *net.TCPConn, parts chan<- part, way Way, number uint64) {
	chance := s.link.chance(number, way)
	var last time.Time
	for {
		buf := *pieces.Get().(*[]byte)
		n, err := from.Read(buf[:piece])
		if way == Forward && n > 0 {
			s.sent.Store(int64(time.Since(base)))
		}
		now := s.link.now.Load().Shape
		p := part{data: buf[:n], err: err}
		lag := now.lag(chance)
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
		case <-s.gone:
			return
		}
		if err != nil {
			return
		}
	}
}

var errOver = errors.New("the connection is over")

// write forwards the parts when they are due. It is nil after an orderly end.
func (s *Stream) write(to *net.TCPConn, parts <-chan part, way Way) error {
	for {
		var p part
		select {
		case p = <-parts:
		case <-s.gone:
			return errOver
		}
		if !s.until(p.due) {
			return errOver
		}
		shape, ok := s.unheld(way)
		if !ok {
			return errOver
		}
		if err := s.give(to, p.data, shape); err != nil {
			return err
		}
		if buf := p.data[:cap(p.data)]; cap(buf) == piece {
			pieces.Put(&buf)
		}
		if errors.Is(p.err, io.EOF) {
			return to.CloseWrite()
		}
		if p.err != nil {
			return p.err
		}
	}
}

func (s *Stream) until(due time.Time) bool {
	wait := time.Until(due)
	if due.IsZero() || wait <= 0 {
		return true
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-s.gone:
		return false
	}
}

// unheld waits until the link lets things pass that way.
func (s *Stream) unheld(way Way) (Shape, bool) {
	for {
		now := s.link.now.Load()
		if now.Hold&way == 0 {
			return now.Shape, true
		}
		select {
		case <-now.over:
		case <-s.gone:
			return Shape{}, false
		}
	}
}

func (s *Stream) give(to *net.TCPConn, data []byte, shape Shape) error {
	cut := false
	if shape.Snip > 0 {
		data, cut = s.cutAt(data, shape.Snip)
	}
	for len(data) > 0 {
		n := len(data)
		if shape.Rate > 0 { // small steps, so that a slow link is slow and not just late
			n = min(n, int(max(1, shape.Rate/50)))
			if !s.until(time.Now().Add(time.Duration(float64(n) / float64(shape.Rate) * float64(time.Second)))) {
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

// cutAt shortens data to what may still pass on a connection that is to be cut off.
func (s *Stream) cutAt(data []byte, within int) ([]byte, bool) {
	s.snip.Lock()
	defer s.snip.Unlock()
	if !s.snip.drawn {
		s.snip.drawn, s.snip.left = true, 1+int(s.link.chance(uint64(len(data)), Both).Int64N(int64(within)))
	}
	if len(data) < s.snip.left {
		s.snip.left -= len(data)
		return data, false
	}
	return data[:s.snip.left], true
}
