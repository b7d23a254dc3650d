package node

import (
	"context"
	crand "crypto/rand"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"indigotack/internal/list"
	"indigotack/internal/list/client"
	"indigotack/internal/pause"
	"indigotack/internal/tenant"
)

const (
	sessionTTL  = 3 * time.Second        // without the list service, a definite no ends so long after the last word
	sessionCall = time.Second            // for one call about the session: what is late by more is made anew
	readTries   = 5 * time.Second        // for one read of the catalogue
	callAgain   = 200 * time.Millisecond // and as much again at random, after a call that failed
	tenantTick  = 250 * time.Millisecond // of the desk's clock: it wants each half second
	leftTime    = 2 * time.Second        // for the word that the node has left, and for the book to follow
)

// session is the node's session with the list service. One goroutine makes all calls about it.
type session struct {
	is    list.Session
	word  atomic.Pointer[tenant.Word] // that it is to have
	told  *tenant.Word                // that it has; the goroutine's
	wake  chan struct{}               // there is another word
	reads chan struct{}               // the catalogue is to be read
	left  chan struct{}               // closed when it is told that the node has left
	ended chan struct{}               // closed when it is closed
	close context.CancelFunc          // set before it begins
}

func newSession(name string) *session {
	return &session{is: list.Session{Process: name, TTL: sessionTTL}, wake: make(chan struct{}, 1), reads: make(chan struct{}, 1),
		left: make(chan struct{}), ended: make(chan struct{})}
}

// tell gives it another word. It does not wait: only the last one counts.
func (s *session) tell(w tenant.Word) {
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

// followTenants keeps the session, reads the catalogue and has the desk's clock run until ctx ends.
func (n *Node) followTenants(ctx context.Context) {
	t := n.tenants
	if t == nil {
		return
	}
	open, stop := context.WithCancel(ctx)
	t.session.close = stop
	go n.keepSession(open)
	go n.readTenants(ctx)
	for _, key := range []string{tenant.HeadKey, tenant.BookKey} { // the pages are read as they are wanted
		go t.k.FollowRecords(ctx, key, func(client.Records) { t.session.ask() })
	}
	go func() {
		defer t.k.Close()
		every := time.NewTicker(tenantTick)
		defer every.Stop()
		for {
			select {
			case <-every.C:
				n.post(n.tenantTick)
			case <-ctx.Done():
				return
			}
		}
	}()
}

func (n *Node) tenantTick() {
	if shell := n.view.Load(); shell != nil {
		n.desk(tenant.Heard{Number: shell.Catalogue()})
	}
	n.desk(tenant.Tick{})
	n.giveLanes()
}

// readTenants reads the catalogue whenever it is asked to, until that has worked.
func (n *Node) readTenants(ctx context.Context) {
	t := n.tenants
	r := &tenant.Reader{List: t.k, Member: t.as}
	for failed := false; ; {
		select {
		case <-t.session.reads:
		case <-ctx.Done():
			return
		}
		call, done := context.WithTimeout(ctx, readTries)
		got, err := r.Read(call, n.clock)
		done()
		if err != nil {
			if !failed {
				n.log.Warn("the catalogue of tenants can't be read for now", "err", err)
			}
			t.session.ask()
			pauseAgain(ctx)
		} else {
			n.post(func() { n.takeTenants(got) })
		}
		failed = err != nil
	}
}

// takeTenants takes what was read. The routes come first: what the desk then says to be taken up can be served.
func (n *Node) takeTenants(got tenant.Read) {
	t := n.tenants
	if got.Image != nil && got.Image.Number >= t.desk.Number() {
		n.planLanes(got.Image)
	}
	n.desk(got)
	if t.now.Ready() || got.Enrolled {
		return
	}
	if w := t.desk.Word(); w.Left {
		select {
		case <-t.off:
		default:
			close(t.off)
		}
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
	s, w := t.session, tenant.Word{}
	if !n.do(func() { w = t.desk.Word() }) {
		return false
	}
	s.is.ID, s.is.Word, s.told = n.cfg.Name+"-"+crand.Text(), list.Word{Note: w.Note(), Version: version()}, nil
	sent := n.clock()
	call, done := context.WithTimeout(ctx, sessionCall)
	defer done()
	if err := t.k.OpenSession(call, s.is); err != nil {
		n.log.Warn("no session with the list service yet", "err", err)
		return false
	}
	n.post(func() { n.desk(tenant.Opened{Sent: sent, TTL: s.is.TTL}) })
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
		n.post(func() { n.desk(tenant.Renewed{Sent: sent, Known: known}) })
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
	s.is.Word.Note = w.Note()
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

func pauseAgain(ctx context.Context) { pause.For(ctx, callAgain+rand.N(callAgain)) }

// leaveTenants says that this process serves no tenant any more, once it has ended all its requests. wait returns when
// the book has followed, or late, with the session closed: until then changes of tenants wait for this node. One whose
// word has not been seen runs out by itself, so that it still can be.
func (n *Node) leaveTenants(ctx context.Context) (wait func()) {
	t := n.tenants
	if t == nil {
		return func() {}
	}
	ctx, stop := context.WithTimeout(ctx, leftTime)
	n.post(func() { n.desk(tenant.Leave{}) })
	return func() {
		defer stop()
		gone := n.await(ctx, leftTime, t.session.left)
		if gone && !n.front.handed.Load() { // else the book goes on to have the process that follows
			t.session.ask()
			gone = n.await(ctx, leftTime, t.off)
		}
		if !gone {
			n.log.Warn("the tenants' book may still have this node: indigoctl tenant forget")
			return
		}
		t.session.close()
		n.await(ctx, leftTime, t.session.ended)
	}
}
