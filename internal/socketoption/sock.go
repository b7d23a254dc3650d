// Package sock asks the system about sockets, beside those who read them.
package socketoption

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// Readable tells whether something waits in a socket: a connection, bytes or an end. It does not wait, and is false
// for what is no socket.
func Readable(socket any) bool {
	raw := rawOf(socket)
	if raw == nil {
		return false
	}
	waits := []unix.PollFd{{Events: unix.POLLIN}}
	raw.Control(func(fd uintptr) {
		waits[0].Fd = int32(fd)
		unix.Poll(waits, 0)
	})
	return waits[0].Revents&unix.POLLIN != 0
}

// Await waits until bytes are to be read from a socket, and is false where none come: it has ended, or is no socket.
func Await(socket any) bool {
	raw := rawOf(socket)
	if raw == nil {
		return false
	}
	n := 0
	err := raw.Read(func(fd uintptr) bool {
		var b [1]byte
		var e error
		n, _, e = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return e != syscall.EAGAIN && e != syscall.EINTR
	})
	return err == nil && n > 0
}

// rawOf is nil for what is no socket, or is closed.
func rawOf(socket any) syscall.RawConn {
	if s, ok := socket.(syscall.Conn); ok {
		if raw, err := s.SyscallConn(); err == nil {
			return raw
		}
	}
	return nil
}
