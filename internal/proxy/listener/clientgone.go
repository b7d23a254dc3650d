package listener

import (
	"errors"
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// ClientGone reports whether the client has ended its connection, or its sending, as far as the system knows,
// also behind bytes that nobody has read. The server's own read, which waits for that, may come later than an
// attempt.
func (c *Conn) ClientGone() bool {
	raw, err := c.socket()
	if err != nil {
		return true // closed
	}
	gone := false
	// not Read, which would wait for the server's
	err = raw.Control(func(fd uintptr) { gone = hasEnded(int(fd)) })
	return gone || err != nil
}

// waitForClientEnd waits until the client has, and reads nothing meanwhile: there is no buffer for more. An
// error other than io.EOF says that the wait was called off.
func (c *Conn) waitForClientEnd() error {
	raw, err := c.socket()
	if err != nil {
		return err
	}
	c.mu.Unlock()
	err = raw.Read(func(fd uintptr) bool { return hasEnded(int(fd)) }) // asked whenever something has come
	c.mu.Lock()
	if err != nil {
		return err
	}
	c.readError, c.hasUnreadBytes = io.EOF, true
	return io.EOF
}

func (c *Conn) socket() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, net.ErrClosed
	}
	return sc.SyscallConn()
}

// hasEnded reports whether nothing more comes on a socket but what is there to be read.
func hasEnded(fd int) bool {
	var b [1]byte
	if n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT); n <= 0 {
		return !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
	}
	state := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	_, err := unix.Poll(state, 0)
	return err == nil && state[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}
