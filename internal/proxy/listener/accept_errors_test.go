package listener

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
)

// failingListener fails once with each error before it accepts a connection.
type failingListener struct {
	net.Listener
	errors []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errors) > 0 {
		err := l.errors[0]
		l.errors = l.errors[1:]
		return nil, err
	}
	client, server := net.Pipe()
	_ = client
	return server, nil
}

// TestAcceptErrorsDoNotEndServing guards against a process that ends because accept fails for a moment.
func TestAcceptErrorsDoNotEndServing(t *testing.T) {
	for _, errno := range []syscall.Errno{
		syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR, syscall.EPERM,
		syscall.EPROTO, syscall.ENOPROTOOPT, syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTDOWN, syscall.EHOSTUNREACH,
		syscall.EOPNOTSUPP, syscall.ETIMEDOUT, syscall.EADDRNOTAVAIL, syscall.ECONNRESET, syscall.ENONET,
	} {
		t.Run(fmt.Sprint(int(errno), " ", errno), func(t *testing.T) {
			failed := &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
			l := Limit(&failingListener{errors: []error{failed, failed}}, 1)
			if c, err := l.Accept(); err != nil || c == nil {
				t.Errorf("Accept fails with %v", err)
			}
		})
	}
}
