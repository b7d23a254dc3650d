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
	upgradeTimeout = 30 * time.Second // for a version to get ready beside the one that runs
	nextSuffix     = ".next"          // of the record of one that is not ready yet
)

// upgrade starts another version beside a process, and gives it once it is ready.
// One that does not get ready is ended, the old one goes on, and the version is
// refused until another order: nil.
func (k *supervisor) upgrade(ctx context.Context, old *process, version string) *process {
	next, err := k.startBeside(ctx, old, version)
	if err == nil {
		k.log.Info("the next version is ready", "version", version, "pid", next.PID)
		return next
	}
	k.log.Error(
		"upgrade rejected, keeping the running version",
		"version",
		version,
		"old",
		old.Version,
		"err",
		err,
	)
	k.updateStatus(func(s *Status) {
		s.RejectedVersion, s.Reason = version, fmt.Sprintf("%s was refused: %v", version, err)
	})
	return nil
}

func (k *supervisor) startBeside(ctx context.Context, old *process, version string) (*process, error) {
	if err := k.clear(); err != nil {
		return nil, err
	}
	next, err := k.start(old, version, 1-old.ControlIndex, k.recordFile+nextSuffix)
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
		case end := <-next.ended:
			next.close()
			return nil, fmt.Errorf("it ended before it was ready: %w", end)
		case <-within.Done():
			defer next.close()
			return nil, errors.Join(
				fmt.Errorf("it was not ready within %v: %w", upgradeTimeout, err),
				k.stopProcess(next),
			)
		case <-time.After(readyInterval):
		}
	}
	if err := os.Rename(k.recordFile+nextSuffix, k.recordFile); err != nil {
		defer next.close()
		return nil, errors.Join(err, k.stopProcess(next))
	}
	return next, nil
}

// clear ends the process of an upgrade that an earlier agent did not bring to its end.
func (k *supervisor) clear() error {
	left, err := adopt(k.recordFile + nextSuffix)
	if err != nil || left == nil {
		return err
	}
	defer left.close()
	k.log.Warn("abandoning an unfinished upgrade", "version", left.Version, "pid", left.PID)
	if err := k.stopProcess(left); err != nil {
		k.log.Debug("the abandoned process ended with an error", "version", left.Version, "err", err)
	}
	return nil
}

// open has the clients' socket at hand: this agent's own, or that of the process
// which an earlier agent gave it to.
func (k *supervisor) open(beside *process) error {
	if k.socket != nil {
		return nil
	}
	if beside != nil {
		fd, err := beside.listening(k.server.Address)
		if err != nil {
			return fmt.Errorf("the clients' socket can't be had from process %d: %w", beside.PID, err)
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

// listening returns a copy of the descriptor with which a process listens at an address. Which one of its own
// that is, is the process's business.
func (p *process) listening(address string) (int, error) {
	want, err := netip.ParseAddrPort(address)
	if err != nil {
		return 0, err
	}
	folder := fmt.Sprintf("/proc/%d/fd", p.PID)
	all, err := os.ReadDir(folder)
	if err != nil {
		return 0, err
	}
	for _, e := range all {
		n, err := strconv.Atoi(e.Name())
		if to, e := os.Readlink(
			folder + "/" + e.Name(),
		); err != nil || e != nil ||
			!strings.HasPrefix(to, "socket:") {
			continue
		}
		fd, err := unix.PidfdGetfd(p.fd, n, 0)
		if err != nil {
			return 0, err
		}
		if listensAt(fd, want) {
			return fd, nil
		}
		_ = unix.Close(fd) // a duplicate that was only looked at
	}
	return 0, fmt.Errorf("none of its descriptors listens at %s", address)
}

func listensAt(fd int, want netip.AddrPort) bool {
	if on, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN); err != nil || on != 1 {
		return false
	}
	at, err := unix.Getsockname(fd)
	if err != nil {
		return false
	}
	switch a := at.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port)) == want
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(a.Addr).Unmap(), uint16(a.Port)) == want
	}
	return false
}
