// Package sock asks the system about sockets, beside those who read them.
package sock

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// Readable tells whether something waits in a socket: a connection, bytes or an end. It does not wait, and is false
// for what is no socket.
func Readable(socket any) bool {
	s, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	waits := []unix.PollFd{{Events: unix.POLLIN}}
	raw.Control(func(fd uintptr) {
		waits[0].Fd = int32(fd)
		unix.Poll(waits, 0)
	})
	return waits[0].Revents&unix.POLLIN != 0
}
