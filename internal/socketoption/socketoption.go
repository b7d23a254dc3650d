// Package socketoption reports the state of sockets without consuming their data.
package socketoption

import (
	"errors"
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
	readable := false
	besteffort.SocketOption(raw.Control(func(fd uintptr) { readable = poll(fd)&unix.POLLIN != 0 }))
	return readable
}

// poll returns the events of a socket that is readable or broken, or 0. An interrupted call is repeated.
func poll(fd uintptr) int16 {
	events := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
	for {
		if _, err := unix.Poll(events, 0); !errors.Is(err, unix.EINTR) {
			return events[0].Revents // after an error 0
		}
	}
}

// AwaitReadable waits until a read of a socket would return at once, with data, the end of the stream or an
// error. It returns an error if the read deadline passes first, or if the socket is closed.
func AwaitReadable(raw syscall.RawConn) error {
	return raw.Read(func(fd uintptr) (done bool) { return poll(fd) != 0 })
}

// Await waits until a socket has data to be read. It returns false if the stream has ended, or if socket is
// not an open socket.
func Await(socket any) bool {
	raw := rawConn(socket)
	if raw == nil || AwaitReadable(raw) != nil {
		return false
	}
	unread, known := Unread(socket)
	return known && unread > 0
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
