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

const maxLinks = 4 // processes that may be at the socket at a time

// awaitSuccessor listens for a new process until this one has handed over or
// ctx ends.
func (srv *Server) awaitSuccessor(ctx context.Context) {
	besteffort.Cleanup(os.Remove(srv.handoffPath)) // of a process that has ended
	ln, err := (&net.ListenConfig{}).Listen(ctx, "unix", srv.handoffPath)
	if err != nil {
		srv.log.Error("handoff not available", "err", err)
		return
	}
	u := ln.(*net.UnixListener)
	u.SetUnlinkOnClose(false) // the next process may listen there by then
	stop := context.AfterFunc(ctx, func() { besteffort.Close(u) })
	defer stop()
	links := make(chan struct{}, maxLinks)
	for {
		c, err := u.AcceptUnix()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) || !backoff.Sleep(ctx, shortWait) {
				return
			}
			continue
		}
		select {
		case links <- struct{}{}:
			go func() {
				defer func() { <-links }()
				srv.handOff(newHandoffLink(c), u)
			}()
		default:
			besteffort.Close(c)
		}
	}
}

// handOff serves one new process.
func (srv *Server) handOff(l *handoffLink, meeting io.Closer) {
	defer l.close()
	m, err := l.receive(time.Now().Add(helloTimeout))
	if err != nil || m.Kind != kindHello || m.Version != handoverVersion {
		srv.log.Warn("unexpected handoff connection", "says", m.Kind, "version", m.Version, "err", err)
		return
	}
	defer srv.leaveLink(l)
	if !srv.sendState(l) {
		return
	}
	srv.log.Info("new process connected")
	handed := false
	srv.serveLink(l, func(m handoffMessage) {
		if m.Kind != kindReady || srv.frontend.handedOff.Swap(true) {
			return
		}
		handed = true
		srv.log.Info("handing over")
		besteffort.Close(meeting)
		life := srv.handOffMembership() // before this process drains: the proxy does not
		srv.frontend.stopAccepting()
		srv.do(func() {
			srv.handle(balancer.HandedOver{})
			if srv.policy != nil {
				srv.tellLedger(quota.Leave{}) // one process of a name has its shares: the new one, from now on
			}
		})
		srv.peers.Load().handOver(func(fd int) {
			if err := l.send(handoffMessage{Kind: kindRelease, Membership: life}, fd); err != nil {
				srv.log.Warn("handing over", "err", err)
			}
		})
	})
	if handed && srv.loopContext.Err() == nil {
		srv.log.Info("new process ended")
		close(srv.frontend.successorEnded)
	}
}

// sendState joins a new process and tells it what this one knows. A maintenance call is part of that, or goes
// out behind it: whoever forwards one from the joining on has to wait for the lock.
func (srv *Server) sendState(l *handoffLink) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !srv.joinLink(l, true) {
		_ = l.writeLocked(handoffMessage{Kind: kindRefused}, -1) // a process that is gone needs no answer
		return false
	}
	var m handoffMessage
	return srv.do(func() { m = srv.handoffState() }) && l.writeLocked(m, -1) == nil
}

// handoffState is what a new process receives.
func (srv *Server) handoffState() handoffMessage {
	learned := srv.balancer.Learned(srv.now())
	m := handoffMessage{
		Version: handoverVersion,
		Kind:    kindState,
		Learned: &learned,
		Names:   map[string]balancer.EndpointID{},
	}
	for _, s := range learned.Endpoints {
		m.Names[srv.endpointIDs.byID[s.ID]] = s.ID
	}
	m.InMaintenance = slices.Sorted(maps.Keys(srv.inMaintenance))
	m.Tenants = srv.tenants.member()
	return m
}
