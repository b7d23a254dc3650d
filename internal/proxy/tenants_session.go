package proxy

import (
	"context"
	crand "crypto/rand"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"wrenspread/internal/backoff"
	"wrenspread/internal/registry"
	"wrenspread/internal/tenant"
)

const (
	sessionTTL  = 3 * time.Second        // without the list service, a definite no ends so long after the last word
	sessionCall = time.Second            // for one call about the session: what is late by more is made anew
	callAgain   = 200 * time.Millisecond // and as much again at random, after a call that failed
)

// session is the node's session with the list service. One goroutine makes all calls about it.
type session struct {
	is    registry.Session
	word  atomic.Pointer[tenant.Status] // that it is to have
	told  *tenant.Status                // that it has; the goroutine's
	wake  chan struct{}                 // there is another word
	reads chan struct{}                 // the catalogue is to be read
	left  chan struct{}                 // closed when it is told that the node has left
	ended chan struct{}                 // closed when it is closed
	close context.CancelFunc            // set before it begins
}

func newSession(name string) *session {
	return &session{is: registry.Session{Process: name, TTL: sessionTTL}, wake: make(chan struct{}, 1), reads: make(chan struct{}, 1),
		left: make(chan struct{}), ended: make(chan struct{})}
}

// tell gives it another word. It does not wait: only the last one counts.
func (s *session) tell(w tenant.Status) {
	s.word.Store(&w)
	poke(s.wake)
}

// ask has the catalogue read, after a read that is under way.
func (s *session) ask() { poke(s.reads) }

func poke(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// keepSession has the node have a session until ctx ends, and closes the last one.
func (n *Node) keepSession(ctx context.Context) {
	s := n.tenants.session
	defer close(s.ended)
	for ctx.Err() == nil {
		if n.openSession(ctx) {
			n.renewSession(ctx)
		} else {
			pauseAgain(ctx)
		}
	}
	if s.is.ID == "" {
		return
	}
	call, done := context.WithTimeout(context.WithoutCancel(ctx), sessionCall)
	defer done()
	if err := n.tenants.k.CloseSession(call, s.is.ID); err != nil {
		n.log.Warn("the session runs out by itself", "err", err)
	}
}

// openSession makes one try under a new id: a former one may have come to something, and then runs out.
func (n *Node) openSession(ctx context.Context) bool {
	t := n.tenants
	s, w := t.session, tenant.Status{}
	if !n.do(func() { w = t.desk.Status() }) {
		return false
	}
	s.is.ID, s.is.Info, s.told = n.cfg.Name+"-"+crand.Text(), registry.ProcessInfo{Note: w.Encode(), Version: version()}, nil
	sent := n.clock()
	call, done := context.WithTimeout(ctx, sessionCall)
	defer done()
	if err := t.k.OpenSession(call, s.is); err != nil {
		n.log.Warn("no session with the list service yet", "err", err)
		return false
	}
	n.post(func() { n.desk(tenant.SessionOpened{Sent: sent, TTL: s.is.TTL}) })
	return true
}

// renewSession keeps a session, and has it say what the desk last said, until it has ended or ctx does.
func (n *Node) renewSession(ctx context.Context) {
	s := n.tenants.session
	due := time.NewTimer(s.is.TTL / 3)
	defer due.Stop()
	for {
		if !n.passWord(ctx) {
			due.Reset(callAgain)
		}
		select {
		case <-s.wake:
			continue
		case <-due.C:
		case <-ctx.Done():
			return
		}
		sent := n.clock()
		call, done := context.WithTimeout(ctx, sessionCall)
		known, err := n.tenants.k.RenewSession(call, s.is.ID)
		done()
		if err != nil {
			due.Reset(callAgain)
			continue
		}
		n.post(func() { n.desk(tenant.SessionRenewed{Sent: sent, Known: known}) })
		if !known {
			return
		}
		due.Reset(s.is.TTL / 3)
	}
}

// passWord tells the service the desk's last word, unless it has it.
func (n *Node) passWord(ctx context.Context) bool {
	s := n.tenants.session
	w := s.word.Load()
	if w == nil || w == s.told {
		return true
	}
	s.is.Info.Note = w.Encode()
	call, done := context.WithTimeout(ctx, sessionCall)
	defer done()
	if err := n.tenants.k.OpenSession(call, s.is); err != nil {
		return false
	}
	if s.told = w; w.Left {
		select {
		case <-s.left:
		default:
			close(s.left)
		}
	}
	return true
}

func pauseAgain(ctx context.Context) { backoff.Sleep(ctx, callAgain+rand.N(callAgain)) }
