package proxy

import (
	"context"
	"slices"
	"sync"
	"time"
)

// minOverlapTime is the minimum time for which the old process continues after a handoff, because operators
// may still call it. It ends earlier if the new process ends.
const minOverlapTime = 5 * time.Second

// handoffLinks are the links to other processes of this proxy: to the previous one until it ends, and to the
// next one.
type handoffLinks struct {
	mu        sync.Mutex
	links     []*handoffLink
	successor *handoffLink // the link to the next process; nil: none
}

// addLink adds the link to another process and halves the limits of this process. It returns false for a
// second successor: there is at most one at a time.
func (srv *Server) addLink(l *handoffLink, successor bool) bool {
	srv.handoffLinks.mu.Lock()
	defer srv.handoffLinks.mu.Unlock()
	if successor {
		if srv.handoffLinks.successor != nil {
			return false
		}
		srv.handoffLinks.successor = l
	}
	srv.handoffLinks.links = append(srv.handoffLinks.links, l)
	srv.shareLimits(true)
	return true
}

// removeLink closes a link. When no other link is left, this process gets its full limits back.
func (srv *Server) removeLink(l *handoffLink) {
	l.close()
	srv.handoffLinks.mu.Lock()
	defer srv.handoffLinks.mu.Unlock()
	if srv.handoffLinks.successor == l {
		srv.handoffLinks.successor = nil
	}
	srv.handoffLinks.links = slices.DeleteFunc(
		srv.handoffLinks.links,
		func(link *handoffLink) bool { return link == l },
	)
	srv.shareLimits(len(srv.handoffLinks.links) > 0)
}

// shareLimits halves the limits of this process while another one runs, or restores them.
func (srv *Server) shareLimits(on bool) {
	srv.pool.halve(on)
	srv.limitMemory(on)
	srv.log.Info("limits divided", "shared", on,
		"budget_bytes", srv.memory.Capacity(), "used_bytes", srv.memory.Used())
}

// limitMemory divides the memory of this process. shared says that another process of this proxy runs.
func (srv *Server) limitMemory(shared bool) {
	limits := srv.process.Limits(shared)
	srv.memory.SetCapacity(limits.Budget)
	if srv.OnMemoryLimit != nil {
		srv.OnMemoryLimit(limits.Go)
	}
}

// receiveFromLink handles the other process's messages until the link ends. It carries out and answers
// maintenance calls and claims itself, and passes all other kinds to handleOther.
func (srv *Server) receiveFromLink(l *handoffLink, handleOther func(handoffMessage)) {
	stop := context.AfterFunc(srv.loopContext, l.close)
	defer stop()
	defer l.closeUnused()
	for {
		m, err := l.receive(time.Time{})
		if err != nil {
			return
		}
		switch m.Kind {
		case kindCall:
			srv.do(func() { srv.setMaintenance(m.Backend, m.On) })
			srv.forwardMaintenance(l, m.Backend, m.On)
			err = l.send(handoffMessage{Kind: kindDone, Number: m.Number}, -1)
		case kindDone:
			l.maintenanceDone(m.Number)
		case kindClaims:
			err = srv.acceptClaims(l, m)
		case kindClaim:
			err = srv.answerClaim(l, m)
		case kindClaimed:
			l.claimAnswered(m)
		default:
			handleOther(m)
		}
		if err != nil {
			return
		}
	}
}

// forwardMaintenance forwards a maintenance call to all linked processes except the one that it came from.
// The processes are linked in a chain, so none of them gets the call twice.
func (srv *Server) forwardMaintenance(from *handoffLink, name string, on bool) {
	srv.handoffLinks.mu.Lock()
	links := slices.Clone(srv.handoffLinks.links)
	srv.handoffLinks.mu.Unlock()
	for _, l := range links {
		if l != from {
			l.forwardMaintenance(srv.loopContext, name, on)
		}
	}
}
