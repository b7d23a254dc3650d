package proxy

import (
	"context"
	"slices"
	"sync"
	"time"
)

const minOutlive = 5 * time.Second // the old process stays so long, for operators that still call it

// handoffLinks are the processes of this proxy that this one speaks with: the one
// before it, while that ends, and the one after it.
type handoffLinks struct {
	mu        sync.Mutex
	all       []*handoffLink
	successor *handoffLink
}

// joinLink takes in another process, but no second one that would succeed.
func (srv *Server) joinLink(l *handoffLink, successor bool) bool {
	srv.handoffLinks.mu.Lock()
	defer srv.handoffLinks.mu.Unlock()
	if successor {
		if srv.handoffLinks.successor != nil {
			return false
		}
		srv.handoffLinks.successor = l
	}
	srv.handoffLinks.all = append(srv.handoffLinks.all, l)
	srv.shareLimits(true)
	return true
}

// leaveLink ends what two processes share.
func (srv *Server) leaveLink(l *handoffLink) {
	l.close()
	srv.handoffLinks.mu.Lock()
	defer srv.handoffLinks.mu.Unlock()
	if srv.handoffLinks.successor == l {
		srv.handoffLinks.successor = nil
	}
	srv.handoffLinks.all = slices.DeleteFunc(srv.handoffLinks.all, func(o *handoffLink) bool { return o == l })
	srv.shareLimits(len(srv.handoffLinks.all) > 0)
}

// shareLimits halves what this process may use, or takes it all back.
func (srv *Server) shareLimits(on bool) {
	srv.pool.halve(on)
	if srv.Overlap != nil {
		srv.Overlap(on)
	}
}

// serveLink takes what the other process says until the link ends.
func (srv *Server) serveLink(l *handoffLink, other func(handoffMessage)) {
	stop := context.AfterFunc(srv.loopContext, l.close)
	defer stop()
	defer l.closeUnused()
	for {
		m, err := l.receive(time.Time{})
		if err != nil {
			return
		}
		if m.Kind != kindCall {
			if m.Kind == kindDone {
				l.maintenanceDone(m.Number)
			} else {
				other(m)
			}
			continue
		}
		srv.do(func() { srv.setMaintenance(m.Backend, m.On) })
		srv.forwardMaintenance(l, m.Backend, m.On)
		if l.send(handoffMessage{Kind: kindDone, Number: m.Number}, -1) != nil {
			return
		}
	}
}

// forwardMaintenance tells the other processes of a maintenance call. They stand in a row,
// so that none hears of it twice.
func (srv *Server) forwardMaintenance(from *handoffLink, name string, on bool) {
	srv.handoffLinks.mu.Lock()
	all := slices.Clone(srv.handoffLinks.all)
	srv.handoffLinks.mu.Unlock()
	for _, l := range all {
		if l != from {
			l.forwardMaintenance(srv.loopContext, name, on)
		}
	}
}
