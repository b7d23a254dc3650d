package accept

import (
	"errors"
	"syscall"
)

// Left tells whether the client has ended its connection, or its sending, as far as the system knows. The server's own
// read, which waits for that, may come later than an attempt. What is behind the request hides the end.
func (c *Conn) Left() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true // closed
	}
	left := false
	err = raw.Control(func(fd uintptr) { // not Read, which would wait for the server's
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		left = n <= 0 && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
	})
	return left || err != nil
}
