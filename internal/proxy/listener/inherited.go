package listener

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"syscall"

	"wrenspread/internal/besteffort"
)

// Inherited returns the listener for clients that the platform has opened. number is the number of its
// descriptor, as given in the environment. The socket is shared with other processes, so it may be closed,
// but never shut down.
func Inherited(number string) (net.Listener, error) {
	fd, err := strconv.Atoi(number)
	if err != nil || fd < 0 {
		return nil, fmt.Errorf("inherit listener: %q is not a descriptor number", number)
	}
	syscall.CloseOnExec(fd)
	f := os.NewFile(uintptr(fd), "clients")
	if f == nil {
		return nil, fmt.Errorf("inherit listener: descriptor %d is invalid", fd)
	}
	defer besteffort.Close(f)
	ln, err := net.FileListener(f)
	if tcp, ok := ln.(*net.TCPListener); ok {
		return sharedListener{tcp}, nil
	}
	return ln, err
}

// sharedListener is a listener whose blocking mode is shared with all processes that have the socket. A
// process that passes the socket on may set it to blocking, as os/exec does. Then an accept that finds no
// client would block until a client comes, and Close would block with it.
type sharedListener struct{ *net.TCPListener }

// Accept sets the socket to non-blocking before each accept.
func (l sharedListener) Accept() (net.Conn, error) {
	if raw, err := l.SyscallConn(); err == nil {
		besteffort.SocketOption(
			raw.Control(func(fd uintptr) { besteffort.SocketOption(syscall.SetNonblock(int(fd), true)) }),
		)
	}
	return l.TCPListener.Accept()
}
