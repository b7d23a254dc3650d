package listener

import (
	"errors"
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"wrenspread/internal/socketoption"
)

// ClientGone reports whether the client has closed its connection, or its sending side, as far as the kernel
// knows, even if unread bytes precede that end. The HTTP server detects the same by its background read, but
// that read may come later than an attempt.
func (c *Conn) ClientGone() bool {
	if c.raw == nil {
		return true
	}
	gone := false
	// Not RawConn.Read, which would wait for a read of the HTTP server.
	err := c.raw.Control(func(fd uintptr) { gone = hasEnded(int(fd)) })
	return gone || err != nil
}

// maxVisibleBacklog is the number of unread bytes behind a request up to which the end of the client's side
// is seen. A client's system holds back what exceeds the receive buffer of the connection, and the end behind
// it.
const maxVisibleBacklog = 24 << 10

// MayHideEnd reports whether so much of what the client has sent behind the current request is unread that
// the client may have closed its connection behind that.
func (c *Conn) MayHideEnd() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.framing.chunked || len(c.pipelined) == 0 {
		return false // the unread bytes are of the request itself, or there are none
	}
	unread, _ := socketoption.Unread(c.Conn) // 0 if it is not known
	return unread-c.framing.bodyRemaining >= maxVisibleBacklog
}

// waitForClientEnd waits until the client ends its connection or its sending side. It reads no bytes, as the
// buffer for pipelined bytes is full. At the client's end it returns io.EOF; another error means that the
// wait was interrupted.
func (c *Conn) waitForClientEnd() error {
	if c.raw == nil {
		return net.ErrClosed
	}
	c.mu.Unlock()
	err := c.raw.Read(func(fd uintptr) bool { return hasEnded(int(fd)) }) // called again whenever bytes arrive
	c.mu.Lock()
	if err != nil {
		return err
	}
	c.readError, c.hasUnreadBytes = io.EOF, true
	return io.EOF
}

// rawConn returns the raw socket below a connection, or nil if there is none.
func rawConn(c net.Conn) syscall.RawConn {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// hasEnded reports whether the peer of a socket has ended its side, so that no bytes follow those that can be
// read already.
func hasEnded(fd int) bool {
	var b [1]byte
	if n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT); n <= 0 {
		return !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
	}
	state := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	_, err := unix.Poll(state, 0)
	return err == nil && state[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}
