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
	// without the registry, a definite no ends so long after the last contact
	sessionTTL = 3 * time.Second
	// for one call about the session: what is late by more is made anew
	sessionCallTimeout = time.Second
	retryPause         = 200 * time.Millisecond // and as much again at random, after a call that failed
)

// registrySession is the proxy's session with the registry. One goroutine makes all calls about it.
type registrySession struct {
	session      registry.Session
	status       atomic.Pointer[tenant.Status] // that it is to have
	sentStatus   *tenant.Status                // that it has; the goroutine's
	wake         chan struct{}                 // there is another status
	readRequests chan struct{}                 // the catalogue is to be read
	left         chan struct{}                 // closed when it is known that the proxy has left
	ended        chan struct{}                 // closed when it is closed
	close        context.CancelFunc            // set before it begins
}

func newRegistrySession(name string) *registrySession {
	return &registrySession{
		session:      registry.Session{Process: name, TTL: sessionTTL},
		wake:         make(chan struct{}, 1),
		readRequests: make(chan struct{}, 1),
		left:         make(chan struct{}),
		ended:        make(chan struct{}),
	}
}

// setStatus changes the session's status. It does not wait: only the last one counts.
func (s *registrySession) setStatus(w tenant.Status) {
	s.status.Store(&w)
	signal(s.wake)
}

// requestRead has the catalogue read, after a read that is under way.
func (s *registrySession) requestRead() { signal(s.readRequests) }

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// keepSession has the proxy have a session until ctx ends, and closes the last one.
func (srv *Server) keepSession(ctx context.Context) {
	s := srv.tenants.session
	defer close(s.ended)
	for ctx.Err() == nil {
		if srv.openSession(ctx) {
			srv.renewSession(ctx)
		} else {
			pauseBeforeRetry(ctx)
		}
	}
	if s.session.ID == "" {
		return
	}
	call, done := context.WithTimeout(context.WithoutCancel(ctx), sessionCallTimeout)
	defer done()
	if err := srv.tenants.client.CloseSession(call, s.session.ID); err != nil {
		srv.log.Warn("closing the session failed, it expires by itself", "err", err)
	}
}

// openSession makes one try under a new id: a previous one may have come to something, and then runs out.
func (srv *Server) openSession(ctx context.Context) bool {
	t := srv.tenants
	s, w := t.session, tenant.Status{}
	if !srv.do(func() { w = t.cache.Status() }) {
		return false
	}
	s.session.ID, s.session.Info, s.sentStatus = srv.config.Name+"-"+crand.Text(), registry.ProcessInfo{
		Note:    w.Encode(),
		Version: version(),
	}, nil
	sent := srv.tenantClock()
	call, done := context.WithTimeout(ctx, sessionCallTimeout)
	defer done()
	if err := t.client.OpenSession(call, s.session); err != nil {
		srv.log.Warn("no session with the registry", "err", err)
		return false
	}
	srv.post(func() { srv.handleTenantEvent(tenant.SessionOpened{Sent: sent, TTL: s.session.TTL}) })
	return true
}

// renewSession keeps a session, and has it say what the cache last said, until it has ended or ctx does.
func (srv *Server) renewSession(ctx context.Context) {
	s := srv.tenants.session
	due := time.NewTimer(s.session.TTL / 3)
	defer due.Stop()
	for {
		if !srv.sendStatus(ctx) {
			due.Reset(retryPause)
		}
		select {
		case <-s.wake:
			continue
		case <-due.C:
		case <-ctx.Done():
			return
		}
		sent := srv.tenantClock()
		call, done := context.WithTimeout(ctx, sessionCallTimeout)
		known, err := srv.tenants.client.RenewSession(call, s.session.ID)
		done()
		if err != nil {
			due.Reset(retryPause)
			continue
		}
		srv.post(func() { srv.handleTenantEvent(tenant.SessionRenewed{Sent: sent, Known: known}) })
		if !known {
			return
		}
		due.Reset(s.session.TTL / 3)
	}
}

// sendStatus sends the registry the cache's last status, unless it has it.
func (srv *Server) sendStatus(ctx context.Context) bool {
	s := srv.tenants.session
	w := s.status.Load()
	if w == nil || w == s.sentStatus {
		return true
	}
	s.session.Info.Note = w.Encode()
	call, done := context.WithTimeout(ctx, sessionCallTimeout)
	defer done()
	if err := srv.tenants.client.OpenSession(call, s.session); err != nil {
		return false
	}
	if s.sentStatus = w; w.Left {
		select {
		case <-s.left:
		default:
			close(s.left)
		}
	}
	return true
}

func pauseBeforeRetry(ctx context.Context) { backoff.Sleep(ctx, retryPause+rand.N(retryPause)) }
