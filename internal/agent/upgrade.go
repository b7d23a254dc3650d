package agent

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"wrenspread/internal/besteffort"
)

const (
	upgradeTimeout   = 30 * time.Second // for a new version to get ready while the previous one is running
	nextRecordSuffix = ".next"          // suffix of the record of a process that is not ready yet
)

// upgrade starts another version while a process is running, and returns the new process once it is ready. If
// the new process does not get ready, upgrade ends it, marks the version as rejected and returns nil; the
// running process is not touched.
func (k *supervisor) upgrade(ctx context.Context, running *process, version string) *process {
	next, err := k.startNextVersion(ctx, running, version)
	if err == nil {
		k.log.Info("next version ready", "version", version, "pid", next.PID)
		return next
	}
	k.log.Error(
		"upgrade rejected, keeping the running version",
		"version",
		version,
		"old",
		running.Version,
		"err",
		err,
	)
	k.updateStatus(func(s *Status) {
		s.RejectedVersion, s.Reason = version, fmt.Sprintf("%s was refused: %v", version, err)
	})
	return nil
}

// startNextVersion starts a version while a process is running, and waits until it is ready. It then replaces
// the record of the running process by that of the new one.
func (k *supervisor) startNextVersion(
	ctx context.Context, running *process, version string,
) (*process, error) {
	if err := k.stopUnfinishedUpgrade(); err != nil {
		return nil, err
	}
	next, err := k.start(running, version, 1-running.ControlIndex, k.recordFile+nextRecordSuffix)
	if err != nil {
		return nil, err
	}
	within, cancel := context.WithTimeout(ctx, upgradeTimeout)
	defer cancel()
	for {
		if err = k.probeReady(within, next.ControlIndex); err == nil {
			break
		}
		select {
		case endErr := <-next.ended:
			next.close()
			return nil, fmt.Errorf("it ended before it was ready: %w", endErr)
		case <-within.Done():
			defer next.close()
			return nil, errors.Join(
				fmt.Errorf("it was not ready within %v: %w", upgradeTimeout, err),
				k.stopProcess(next),
			)
		case <-time.After(readyInterval):
		}
	}
	if err := os.Rename(k.recordFile+nextRecordSuffix, k.recordFile); err != nil {
		defer next.close()
		return nil, errors.Join(err, k.stopProcess(next))
	}
	return next, nil
}

// stopUnfinishedUpgrade ends the new process of an upgrade that a previous agent did not finish, if there is
// one.
func (k *supervisor) stopUnfinishedUpgrade() error {
	unfinished, err := adopt(k.recordFile + nextRecordSuffix)
	if err != nil || unfinished == nil {
		return err
	}
	defer unfinished.close()
	k.log.Warn("abandoning an unfinished upgrade", "version", unfinished.Version, "pid", unfinished.PID)
	if err := k.stopProcess(unfinished); err != nil {
		k.log.Debug("the abandoned process ended with an error", "version", unfinished.Version, "err", err)
	}
	return nil
}

// openSocket opens the clients' socket, unless it is open. If a process is running, a previous agent has
// passed the socket to that process, and openSocket duplicates the process's descriptor. Otherwise openSocket
// listens at the server's address.
func (k *supervisor) openSocket(running *process) error {
	if k.socket != nil {
		return nil
	}
	if running != nil {
		fd, err := running.duplicateListener(k.server.Address)
		if err != nil {
			return fmt.Errorf("the clients' socket can't be had from process %d: %w", running.PID, err)
		}
		k.socket = os.NewFile(uintptr(fd), "clients")
		return nil
	}
	ln, err := net.Listen("tcp", k.server.Address)
	if err != nil {
		return fmt.Errorf("the clients' socket: %w", err)
	}
	defer besteffort.Close(ln)
	if k.socket, err = ln.(*net.TCPListener).File(); err != nil {
		return fmt.Errorf("the clients' socket: %w", err)
	}
	return nil
}

// duplicateListener returns a duplicate of the descriptor with which a process listens at an address. The
// process may use any number for that descriptor, so all of its sockets are examined.
func (p *process) duplicateListener(address string) (int, error) {
	want, err := netip.ParseAddrPort(address)
	if err != nil {
		return 0, err
	}
	folder := fmt.Sprintf("/proc/%d/fd", p.PID)
	descriptors, err := os.ReadDir(folder)
	if err != nil {
		return 0, err
	}
	for _, e := range descriptors {
		n, err := strconv.Atoi(e.Name())
		if target, e := os.Readlink(
			folder + "/" + e.Name(),
		); err != nil || e != nil ||
			!strings.HasPrefix(target, "socket:") {
			continue
		}
		fd, err := unix.PidfdGetfd(p.pidfd, n, 0)
		if err != nil {
			return 0, err
		}
		if listensAt(fd, want) {
			return fd, nil
		}
		_ = unix.Close(fd) // the duplicate was only examined
	}
	return 0, fmt.Errorf("none of its descriptors listens at %s", address)
}

// listensAt reports whether a descriptor is a socket that listens at an address.
func listensAt(fd int, want netip.AddrPort) bool {
	if value, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN); err != nil || value != 1 {
		return false
	}
	local, err := unix.Getsockname(fd)
	if err != nil {
		return false
	}
	switch a := local.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port)) == want
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(a.Addr).Unmap(), uint16(a.Port)) == want
	}
	return false
}
