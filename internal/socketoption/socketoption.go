// Package socketoption reports the state of sockets without consuming their data.
package socketoption

import (
	"syscall"

	"golang.org/x/sys/unix"

	"wrenspread/internal/besteffort"
)

// Readable reports whether a read or an accept would return at once, because a connection, data or the end of
// the stream is pending. Readable does not wait. It returns false if socket is not an open socket.
func Readable(socket any) bool {
	raw := rawConn(socket)
	if raw == nil {
		return false
	}
	poll := []unix.PollFd{{Events: unix.POLLIN}}
	besteffort.SocketOption(raw.Control(func(fd uintptr) {
		poll[0].Fd = int32(fd)
		_, _ = unix.Poll(poll, 0) // after an error Revents is 0, which means not readable
	}))
	return poll[0].Revents&unix.POLLIN != 0
}

// Await waits until a socket has data to be read. It returns false if the stream has ended, or if socket is
// not an open socket.
func Await(socket any) bool {
	raw := rawConn(socket)
	if raw == nil {
		return false
	}
	available, err := awaitReadable(raw)
	return err == nil && available
}

// AwaitReadable waits until a read of a socket would return at once, with data, the end of the stream or an
// error. It returns an error if the read deadline passes first, or if the socket is closed.
func AwaitReadable(raw syscall.RawConn) error {
	_, err := awaitReadable(raw)
	return err
}

// awaitReadable waits as AwaitReadable does, and reports whether there is data.
func awaitReadable(raw syscall.RawConn) (hasData bool, err error) {
	err = raw.Read(func(fd uintptr) (done bool) {
		hasData, done = peek(int(fd))
		return done
	})
	return hasData, err
}

// peek reports whether a read would return data, and whether it would return at once. An interrupted call is
// repeated, as the system does not announce again what has come before.
func peek(fd int) (hasData, readable bool) {
	for {
		var peeked [1]byte
		n, _, err := syscall.Recvfrom(fd, peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		// Recvfrom returns the system call's error, which is not wrapped.
		if err != syscall.EINTR { //nolint:errorlint
			return n > 0, err != syscall.EAGAIN //nolint:errorlint
		}
	}
}

// Unread returns how many bytes have come on a connection that have not been read. known is false if the
// system does not tell.
func Unread(socket any) (bytes int64, known bool) {
	raw := rawConn(socket)
	if raw == nil {
		return 0, false
	}
	unread := 0
	var err error
	controlErr := raw.Control(func(fd uintptr) { unread, err = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	return int64(unread), err == nil && controlErr == nil
}

// rawConn returns access to the socket's descriptor, or nil if socket is not an open socket.
func rawConn(socket any) syscall.RawConn {
	conn, ok := socket.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}
