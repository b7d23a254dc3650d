package listener

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"syscall"

	"wrenspread/internal/besteffort"
)

// Inherited returns the clients' socket that the platform holds, whose descriptor the environment names. It
// is shared with other processes: it may be closed, but never shut down.
func Inherited(number string) (net.Listener, error) {
	fd, err := strconv.Atoi(number)
	if err != nil || fd < 0 {
		return nil, fmt.Errorf("%q is no descriptor", number)
	}
	syscall.CloseOnExec(fd)
	f := os.NewFile(uintptr(fd), "clients")
	if f == nil {
		return nil, fmt.Errorf("descriptor %d can't be used", fd)
	}
	defer besteffort.Close(f)
	ln, err := net.FileListener(f)
	if tcp, ok := ln.(*net.TCPListener); ok {
		return sharedListener{tcp}, nil
	}
	return ln, err
}

// sharedListener is a socket whose mode belongs to all processes that have it. Whoever passes it on to the
// next one may set it to block meanwhile, as os/exec does: an accept that finds nobody would then hold up
// even Close until a client comes.
type sharedListener struct{ *net.TCPListener }

func (l sharedListener) Accept() (net.Conn, error) {
	if raw, err := l.SyscallConn(); err == nil {
		besteffort.SocketOption(
			raw.Control(func(fd uintptr) { besteffort.SocketOption(syscall.SetNonblock(int(fd), true)) }),
		)
	}
	return l.TCPListener.Accept()
}
