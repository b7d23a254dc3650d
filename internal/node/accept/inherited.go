package accept

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"syscall"
)

// Inherited gives the clients' socket that the platform holds, whose
// descriptor the environment names. It is shared with other processes: it may
// be closed, but never shut down.
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
	defer f.Close()
	return net.FileListener(f)
}
