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
	handoffSocket       = "handover.sock"         // name of the socket in the directory given to EnableHandoff
	handoffStateTimeout = 2500 * time.Millisecond // for the old process to send its state
	handoffListTimeout  = 2 * time.Second         // for discovery to answer the new process
	// handoffReleaseTimeout is for the old process to stop accepting. The three timeouts together stay below
	// the 6 s that an upgrade may take.
	handoffReleaseTimeout = time.Second
)

// EnableHandoff enables handoffs: from a process of this proxy that already serves to this one, and later
// from this one to the next. The processes connect at a socket in dir. It is called once, before Run.
func (srv *Server) EnableHandoff(dir string) {
	srv.handoffPath = filepath.Join(dir, handoffSocket)
	srv.process.Handoffs = true
}

// requestHandoff connects to the process that serves and restores its state here. It returns nil without an
// error if no process serves.
func (srv *Server) requestHandoff(ctx context.Context) (*handoffLink, error) {
	ctx, cancel := context.WithTimeout(ctx, handoffStateTimeout) // for all steps together
	defer cancel()
	deadline, _ := ctx.Deadline()
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "unix", srv.handoffPath)
	if errors.Is(err, syscall.ENOENT) || errors.Is(err, syscall.ECONNREFUSED) {
		return nil, nil // no process serves
	}
	if err != nil {
		return nil, err
	}
	l := newHandoffLink(c.(*net.UnixConn))
	m := handoffMessage{}
	if err = l.send(handoffMessage{Version: handoffVersion, Kind: kindHello}, -1); err == nil {
		m, err = l.receive(deadline)
	}
	if err == nil && (m.Kind != kindState || m.Version != handoffVersion) {
		err = fmt.Errorf("handoff: the old process sent message %q in version %d, want %q in version %d",
			m.Kind, m.Version, kindState, handoffVersion)
	}
	if err != nil {
		l.close()
		l.closeUnused()
		return nil, err
	}
	l.peerServes.Store(true)
	srv.addLink(l, false) // first, so that each call that takes effect here is forwarded to the old process
	srv.do(func() { srv.restoreState(m) })
	return l, l.send(handoffMessage{Kind: kindClaims}, -1)
}

// restoreState applies the old process's state. Endpoint IDs may differ between processes, so they are
// translated by the endpoints' names.
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
	endpoints := m.Learned.Endpoints[:0]
	for _, endpoint := range m.Learned.Endpoints {
		if name, ok := names[endpoint.ID]; ok {
			endpoint.ID = srv.endpointIDs.idOf(name)
			endpoints = append(endpoints, endpoint)
		}
	}
	m.Learned.Endpoints = endpoints
	srv.handle(balancer.Restored{Learned: *m.Learned})
	srv.log.Info("state of the previous process restored", "servers", len(endpoints))
}

// takeOver completes the handoff that requestHandoff began: it waits for the endpoint list, makes the old
// process stop accepting, and keeps the link open until the old process ends. It returns true when this
// process is to serve. If ctx ends first (SIGTERM), it returns false, and the old process continues to serve.
func (srv *Server) takeOver(ctx context.Context, l *handoffLink) bool {
	released := make(chan struct{})
	markReleased := sync.OnceFunc(func() { close(released) })
	go func() {
		defer srv.removeLink(l)
		defer markReleased() // without the link the old process has ended, and accepts no more
		srv.receiveFromLink(l, func(m handoffMessage) {
			if m.Kind == kindRelease {
				srv.takePeerSocket(l, m.Membership)
				markReleased()
			}
		})
	}()
	listDeadline := time.Now().Add(srv.handoffListTimeout)
	srv.waitFor(ctx, srv.handoffListTimeout, srv.listKnown)
	srv.waitFor(ctx, time.Until(listDeadline), srv.tenants.readyChannel())
	if ctx.Err() != nil {
		return false
	}
	if err := l.send(handoffMessage{Kind: kindReady}, -1); err != nil {
		srv.log.Warn("previous process ended", "err", err)
		return true
	}
	if !srv.waitFor(ctx, handoffReleaseTimeout, released) {
		srv.log.Warn("no release message from the previous process, serving without it")
	}
	return true
}

// waitFor waits until done is closed. It returns false if the timeout passes or ctx ends first.
func (srv *Server) waitFor(ctx context.Context, timeout time.Duration, done <-chan struct{}) bool {
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-done:
		return true
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}

// takePeerSocket takes over the socket at which the other proxies reach this proxy, and the proxy's
// generation in the fleet. Both came with the old process's release message.
func (srv *Server) takePeerSocket(l *handoffLink, membershipState json.RawMessage) {
	for i, fd := range l.descriptors {
		if i > 0 || !srv.lacksPeerSocket() {
			continue
		}
		l.descriptors[i] = -1
		syscall.CloseOnExec(fd)
		file := os.NewFile(uintptr(fd), "peers")
		c, err := net.FilePacketConn(file)
		besteffort.Close(file)
		udpConn, ok := c.(*net.UDPConn)
		if err != nil || !ok {
			srv.log.Error("peer socket of the previous process is not usable", "err", err)
			continue
		}
		srv.startPeers(newPeerSocket(udpConn, srv.config.Peers, srv.log), srv.decodeHandoff(membershipState))
	}
	l.closeUnused()
}
