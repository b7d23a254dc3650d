package listener

import (
	"errors"
	"net"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"wrenspread/internal/besteffort"
)

// TestCloseEndsAcceptOnBlockingSharedSocket checks that Close ends a waiting Accept, even if another
// process has set the shared socket to blocking.
func TestCloseEndsAcceptOnBlockingSharedSocket(t *testing.T) {
	f, err := listen(t).File()
	if err != nil {
		t.Fatal(err)
	}
	defer besteffort.Close(f)
	fd, err := syscall.Dup(int(f.Fd())) // Inherited closes it
	if err != nil {
		t.Fatal(err)
	}
	ln, err := Inherited(strconv.Itoa(fd))
	if err != nil {
		t.Fatal(err)
	}
	l, ended := Limit(ln, 2), make(chan error, 1)
	if err := syscall.SetNonblock(int(f.Fd()), false); err != nil {
		t.Fatal(err)
	}
	dial(t, ln)
	if _, err := l.Accept(); err != nil {
		t.Fatal(err)
	}
	besteffort.SocketOption(syscall.SetNonblock(int(f.Fd()), false))
	go func() {
		_, err := l.Accept()
		ended <- err
	}()
	for stacks := ""; !strings.Contains(stacks, "poll.(*FD).Accept"); time.Sleep(time.Millisecond) {
		b := make([]byte, 1<<20)
		stacks = string(b[:runtime.Stack(b, true)])
	}
	go besteffort.Close(l)
	if err := wait(t, ended, "the end of accepting"); !errors.Is(err, net.ErrClosed) {
		t.Errorf("accept ends with %v, want net.ErrClosed", err)
	}
}
