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
func (n *Server) joinLink(l *handoffLink, successor bool) bool {
	n.handoffLinks.mu.Lock()
	defer n.handoffLinks.mu.Unlock()
	if successor {
		if n.handoffLinks.successor != nil {
			return false
		}
		n.handoffLinks.successor = l
	}
	n.handoffLinks.all = append(n.handoffLinks.all, l)
	n.shareLimits(true)
	return true
}

// leaveLink ends what two processes share.
func (n *Server) leaveLink(l *handoffLink) {
	l.close()
	n.handoffLinks.mu.Lock()
	defer n.handoffLinks.mu.Unlock()
	if n.handoffLinks.successor == l {
		n.handoffLinks.successor = nil
	}
	n.handoffLinks.all = slices.DeleteFunc(n.handoffLinks.all, func(o *handoffLink) bool { return o == l })
	n.shareLimits(len(n.handoffLinks.all) > 0)
}

// shareLimits halves what this process may use, or takes it all back.
func (n *Server) shareLimits(on bool) {
	n.pool.halve(on)
	if n.Overlap != nil {
		n.Overlap(on)
	}
}

// serveLink takes what the other process says until the link ends.
func (n *Server) serveLink(l *handoffLink, other func(handoffMessage)) {
	stop := context.AfterFunc(n.loopContext, l.close)
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
		n.do(func() { n.setMaintenance(m.Backend, m.On) })
		n.forwardMaintenance(l, m.Backend, m.On)
		if l.send(handoffMessage{Kind: kindDone, Number: m.Number}, -1) != nil {
			return
		}
	}
}

// forwardMaintenance tells the other processes of a maintenance call. They stand in a row,
// so that none hears of it twice.
func (n *Server) forwardMaintenance(from *handoffLink, name string, on bool) {
	n.handoffLinks.mu.Lock()
	all := slices.Clone(n.handoffLinks.all)
	n.handoffLinks.mu.Unlock()
	for _, l := range all {
		if l != from {
			l.forwardMaintenance(n.loopContext, name, on)
		}
	}
}
