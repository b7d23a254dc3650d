package proxy

import (
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"os"
	"slices"
	"time"

	"wrenspread/balancer"
	"wrenspread/internal/backoff"
	"wrenspread/internal/besteffort"
	"wrenspread/internal/quota"
)

const maxHandoffConnections = 4 // open connections at the handoff socket

// awaitSuccessor accepts connections of new processes until this process has handed off or ctx ends.
func (srv *Server) awaitSuccessor(ctx context.Context) {
	besteffort.Cleanup(os.Remove(srv.handoffPath)) // left by the previous process
	ln, err := (&net.ListenConfig{}).Listen(ctx, "unix", srv.handoffPath)
	if err != nil {
		srv.log.Error("handoff not available", "err", err)
		return
	}
	unixListener := ln.(*net.UnixListener)
	unixListener.SetUnlinkOnClose(false) // the next process may listen at this path before this one closes it
	stop := context.AfterFunc(ctx, func() { besteffort.Close(unixListener) })
	defer stop()
	connections := make(chan struct{}, maxHandoffConnections)
	for {
		c, err := unixListener.AcceptUnix()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) || !backoff.Sleep(ctx, shortWait) {
				return
			}
			continue
		}
		select {
		case connections <- struct{}{}:
			go func() {
				defer func() { <-connections }()
				srv.handOff(newHandoffLink(c), unixListener)
			}()
		default:
			besteffort.Close(c)
		}
	}
}

// handOff sends a new process the state, hands off to it when it is ready, and then answers its maintenance
// calls until it ends. When it hands off, it closes the listener, as this process needs no further successor.
func (srv *Server) handOff(l *handoffLink, listener io.Closer) {
	defer l.close()
	m, err := l.receive(time.Now().Add(handoffHelloTimeout))
	if err != nil || m.Kind != kindHello || m.Version != handoffVersion {
		srv.log.Warn("unexpected handoff connection", "says", m.Kind, "version", m.Version, "err", err)
		return
	}
	defer srv.removeLink(l)
	if !srv.sendState(l) {
		return
	}
	srv.log.Info("new process connected")
	handedOff := false
	srv.receiveFromLink(l, func(m handoffMessage) {
		if m.Kind != kindReady || srv.frontend.handedOff.Swap(true) {
			return
		}
		handedOff = true
		l.peerServes.Store(true)
		srv.log.Info("handing over")
		besteffort.Close(listener)
		// The membership is handed off first: to the fleet the proxy does not drain, only this process does.
		membershipState := srv.handOffMembership()
		srv.frontend.stopAccepting()
		srv.do(func() {
			srv.handle(balancer.HandedOver{})
			if srv.policy != nil {
				srv.handleQuotaEvent(quota.Leave{}) // only one process may have the proxy's shares: now the new one
			}
		})
		srv.peers.Load().handOffSocket(func(fd int) {
			if err := l.send(handoffMessage{Kind: kindRelease, Membership: membershipState}, fd); err != nil {
				srv.log.Warn("sending the release message to the new process failed", "err", err)
			}
		})
	})
	if handedOff && srv.loopContext.Err() == nil {
		srv.log.Info("new process ended")
		close(srv.frontend.successorEnded)
	}
}

// sendState adds the link to a new process and sends it this process's state. A maintenance call is either
// part of the state or forwarded after it: forwarding a call locks the link, which sendState keeps locked
// until the state is sent. It returns false if the new process is refused or the state can't be sent.
func (srv *Server) sendState(l *handoffLink) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !srv.addLink(l, true) {
		_ = l.writeLocked(handoffMessage{Kind: kindRefused}, -1) // an error only means that the process has ended
		return false
	}
	var m handoffMessage
	return srv.do(func() { m = srv.handoffState() }) && l.writeLocked(m, -1) == nil
}

// handoffState returns the state message for a new process.
func (srv *Server) handoffState() handoffMessage {
	learned := srv.balancer.Learned(srv.now())
	m := handoffMessage{
		Version: handoffVersion,
		Kind:    kindState,
		Learned: &learned,
		Names:   map[string]balancer.EndpointID{},
	}
	for _, endpoint := range learned.Endpoints {
		m.Names[srv.endpointIDs.byID[endpoint.ID]] = endpoint.ID
	}
	m.InMaintenance = slices.Sorted(maps.Keys(srv.inMaintenance))
	m.Tenants = srv.tenants.member()
	return m
}
