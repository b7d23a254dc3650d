package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"wrenspread/balancer"
	"wrenspread/internal/besteffort"
)

const (
	handoffSocket      = "handover.sock"         // in $TMPDIR
	stateTimeout       = 2500 * time.Millisecond // for the old process to say what it knows
	handoffListTimeout = 2 * time.Second         // for discovery to tell the new process the list
	// for the old process to let go: all this is under the 6 s that an upgrade has
	releaseTimeout = time.Second
)

// TakeOver prepares a proxy for upgrades: by a process that serves already, and
// later by one that comes after it. dir is where they meet. It is called once,
// before Run.
func (srv *Server) TakeOver(dir string) { srv.handoffPath = filepath.Join(dir, handoffSocket) }

// requestHandoff asks the process that serves, if there is one, for what it knows.
func (srv *Server) requestHandoff(ctx context.Context) (*handoffLink, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout) // for all of it
	defer cancel()
	end, _ := ctx.Deadline()
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "unix", srv.handoffPath)
	if errors.Is(err, syscall.ENOENT) || errors.Is(err, syscall.ECONNREFUSED) {
		return nil, nil // nobody serves
	}
	if err != nil {
		return nil, err
	}
	l := newHandoffLink(c.(*net.UnixConn))
	m := handoffMessage{}
	if err = l.send(handoffMessage{Version: handoverVersion, Kind: kindHello}, -1); err == nil {
		m, err = l.receive(end)
	}
	if err == nil && (m.Kind != kindState || m.Version != handoverVersion) {
		err = fmt.Errorf("the old process says %q in version %d", m.Kind, m.Version)
	}
	if err != nil {
		l.close()
		l.closeUnused()
		return nil, err
	}
	srv.joinLink(l, false) // before any call can be in force here that the old process has not heard of
	srv.do(func() { srv.restoreState(m) })
	return l, nil
}

// restoreState takes what the old process knew. Numbers of servers are a matter of
// each process.
func (srv *Server) restoreState(m handoffMessage) {
	for _, name := range m.InMaintenance {
		srv.setMaintenance(name, true)
	}
	srv.continueGeneration(m.Tenants)
	if m.Learned == nil {
		return
	}
	names := map[balancer.EndpointID]string{}
	for name, id := range m.Names {
		names[id] = name
	}
	servers := m.Learned.Endpoints[:0]
	for _, s := range m.Learned.Endpoints {
		if name, ok := names[s.ID]; ok {
			s.ID = srv.endpointIDs.idOf(name)
			servers = append(servers, s)
		}
	}
	m.Learned.Endpoints = servers
	srv.handle(balancer.Restored{Learned: *m.Learned})
	srv.log.Info("taken over", "servers", len(servers))
}

// takeOver goes on where greet ended, with a link that has been joined: it waits for the list, has the old
// process let go, and stays linked with it until it ends. It returns when this process is to serve, and false
// if that got SIGTERM before: the old one serves on.
func (srv *Server) takeOver(ctx context.Context, l *handoffLink) bool {
	yours := make(chan struct{})
	let := sync.OnceFunc(func() { close(yours) })
	go func() {
		defer srv.leaveLink(l)
		defer let() // an old process that has ended has let go
		srv.serveLink(l, func(m handoffMessage) {
			if m.Kind == kindRelease {
				srv.takePeerSocket(l, m.Membership)
				let()
			}
		})
	}()
	end := time.Now().Add(srv.handoffListTimeout)
	srv.waitFor(ctx, srv.handoffListTimeout, srv.listKnown)
	srv.waitFor(ctx, time.Until(end), srv.tenants.isReady())
	if ctx.Err() != nil {
		return false
	}
	if err := l.send(handoffMessage{Kind: kindReady}, -1); err != nil {
		srv.log.Warn("previous process ended", "err", err)
		return true
	}
	if !srv.waitFor(ctx, releaseTimeout, yours) {
		srv.log.Warn("previous process does not release its limits")
	}
	return true
}

// waitFor waits for a channel to close, for some time at most.
func (srv *Server) waitFor(ctx context.Context, most time.Duration, c <-chan struct{}) bool {
	t := time.NewTimer(most)
	defer t.Stop()
	select {
	case <-c:
		return true
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}

// takePeerSocket goes on with the socket at which other proxies know this one, and with its generation among
// them.
func (srv *Server) takePeerSocket(l *handoffLink, life json.RawMessage) {
	for i, fd := range l.descriptors {
		if i > 0 || !srv.lacksPeerSocket() {
			continue
		}
		l.descriptors[i] = -1
		syscall.CloseOnExec(fd)
		f := os.NewFile(uintptr(fd), "peers")
		c, err := net.FilePacketConn(f)
		besteffort.Close(f)
		u, ok := c.(*net.UDPConn)
		if err != nil || !ok {
			srv.log.Error("peer socket of the previous process is not usable", "err", err)
			continue
		}
		srv.startPeers(newPeerSocket(u, srv.config.Peers, srv.log), srv.decodeHandoff(life))
	}
	l.closeUnused()
}
