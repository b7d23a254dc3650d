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
	"wrenspread/internal/quota"
)

const mostLinks = 4 // processes that may be at the socket at a time

// awaitSuccessor listens for a new process until this one has handed over or
// ctx ends.
func (n *Node) awaitSuccessor(ctx context.Context) {
	os.Remove(n.meeting) // of a process that has ended
	ln, err := (&net.ListenConfig{}).Listen(ctx, "unix", n.meeting)
	if err != nil {
		n.log.Error("no new process can take over", "err", err)
		return
	}
	u := ln.(*net.UnixListener)
	u.SetUnlinkOnClose(false) // the next process may listen there by then
	stop := context.AfterFunc(ctx, func() { u.Close() })
	defer stop()
	links := make(chan struct{}, mostLinks)
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
				n.handOver(newLink(c), u)
			}()
		default:
			c.Close()
		}
	}
}

// handOver serves one new process.
func (n *Node) handOver(l *link, meeting io.Closer) {
	defer l.close()
	m, err := l.next(time.Now().Add(helloTime))
	if err != nil || m.Kind != kindHello || m.Version != handoverVersion {
		n.log.Warn("not a new process", "says", m.Kind, "version", m.Version, "err", err)
		return
	}
	defer n.leave(l)
	if !n.introduce(l) {
		return
	}
	n.log.Info("a new process is here")
	handed := false
	n.attend(l, func(m message) {
		if m.Kind != kindReady || n.front.handed.Swap(true) {
			return
		}
		handed = true
		n.log.Info("handing over")
		meeting.Close()
		life := n.handOverView() // before this process drains: the node does not
		n.front.stopAccepting()
		n.do(func() {
			n.handle(balancer.HandedOver{})
			if n.governed != nil {
				n.tell(quota.Leave{}) // one process of a name has its shares: the new one, from now on
			}
		})
		n.peers.Load().handOver(func(fd int) {
			if err := l.say(message{Kind: kindYours, Fleet: life}, fd); err != nil {
				n.log.Warn("handing over", "err", err)
			}
		})
	})
	if handed && n.ctx.Err() == nil {
		n.log.Info("the new process has ended")
		close(n.front.alone)
	}
}

// introduce joins a new process and tells it what this one knows. A maintenance call is part of that, or goes out
// behind it: whoever forwards one from the joining on has to wait for the lock.
func (n *Node) introduce(l *link) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !n.join(l, true) {
		l.write(message{Kind: kindRefused}, -1)
		return false
	}
	var m message
	return n.do(func() { m = n.known() }) && l.write(m, -1) == nil
}

// known is what a new process is told.
func (n *Node) known() message {
	learned := n.module.Learned(n.now())
	m := message{Version: handoverVersion, Kind: kindState, Learned: &learned, Names: map[string]balancer.EndpointID{}}
	for _, s := range learned.Endpoints {
		m.Names[n.ids.byID[s.ID]] = s.ID
	}
	m.Bans = slices.Sorted(maps.Keys(n.banned))
	m.Tenants = n.tenants.member()
	return m
}
