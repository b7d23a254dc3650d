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
	// sessionTTL is the time after which the registry ends a session that is not renewed. For the same time
	// after the last contact with the registry the proxy still answers 403 and 404.
	sessionTTL = 3 * time.Second
	// sessionCallTimeout bounds each call about the session; a call that takes longer is repeated.
	sessionCallTimeout = time.Second
	retryPause         = 200 * time.Millisecond // after a failed call; pauseBeforeRetry adds up to as much
)

// registrySession is the proxy's session with the registry. One goroutine makes all calls about it.
type registrySession struct {
	session       registry.Session
	status        atomic.Pointer[tenant.Status] // that the session should have
	sentStatus    *tenant.Status                // that the session has; only the goroutine uses it
	statusChanged chan struct{}                 // signals a new status
	readRequests  chan struct{}                 // signals that the catalogue has to be read
	leftReported  chan struct{}                 // closed when the registry has the status Left
	ended         chan struct{}                 // closed when the session has been closed
	closeSession  context.CancelFunc            // set before the goroutine starts
}

func newRegistrySession(name string) *registrySession {
	return &registrySession{
		session:       registry.Session{Process: name, TTL: sessionTTL},
		statusChanged: make(chan struct{}, 1),
		readRequests:  make(chan struct{}, 1),
		leftReported:  make(chan struct{}),
		ended:         make(chan struct{}),
	}
}

// setStatus sets the status that the session should have. It does not wait for the registry: only the last
// status is sent.
func (s *registrySession) setStatus(status tenant.Status) {
	s.status.Store(&status)
	notify(s.statusChanged)
}

// requestRead has the catalogue read, after any read that is in progress.
func (s *registrySession) requestRead() { notify(s.readRequests) }

// notify signals on a channel of capacity one; a signal that is already pending is enough.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// maintainSession opens and renews a session, and opens another one after it has ended, until ctx ends. Then
// it closes the last one.
func (srv *Server) maintainSession(ctx context.Context) {
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
	callContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), sessionCallTimeout)
	defer cancel()
	if err := srv.tenants.client.CloseSession(callContext, s.session.ID); err != nil {
		srv.log.Warn("closing the session failed, it expires by itself", "err", err)
	}
}

// openSession tries once to open a session, under a new ID. An earlier attempt may have opened a session
// although its response was lost; that session expires.
func (srv *Server) openSession(ctx context.Context) bool {
	t := srv.tenants
	s, status := t.session, tenant.Status{}
	if !srv.do(func() { status = t.cache.Status() }) {
		return false
	}
	s.session.ID, s.session.Info, s.sentStatus = srv.config.Name+"-"+crand.Text(), registry.ProcessInfo{
		Note:    status.Encode(),
		Version: version(),
	}, nil
	sent := srv.tenantClock()
	callContext, cancel := context.WithTimeout(ctx, sessionCallTimeout)
	defer cancel()
	if err := t.client.OpenSession(callContext, s.session); err != nil {
		srv.log.Warn("no session with the registry", "err", err)
		return false
	}
	srv.post(func() { srv.handleTenantEvent(tenant.SessionOpened{Sent: sent, TTL: s.session.TTL}) })
	return true
}

// renewSession renews the session, and sends it the cache's last status, until the session or ctx has ended.
func (srv *Server) renewSession(ctx context.Context) {
	s := srv.tenants.session
	renewTimer := time.NewTimer(s.session.TTL / 3)
	defer renewTimer.Stop()
	for {
		if !srv.sendStatus(ctx) {
			renewTimer.Reset(retryPause)
		}
		select {
		case <-s.statusChanged:
			continue
		case <-renewTimer.C:
		case <-ctx.Done():
			return
		}
		sent := srv.tenantClock()
		callContext, cancel := context.WithTimeout(ctx, sessionCallTimeout)
		known, err := srv.tenants.client.RenewSession(callContext, s.session.ID)
		cancel()
		if err != nil {
			renewTimer.Reset(retryPause)
			continue
		}
		srv.post(func() { srv.handleTenantEvent(tenant.SessionRenewed{Sent: sent, Known: known}) })
		if !known {
			return
		}
		renewTimer.Reset(s.session.TTL / 3)
	}
}

// sendStatus sends the registry the cache's last status, unless the session already has it. It returns false
// if the call failed.
func (srv *Server) sendStatus(ctx context.Context) bool {
	s := srv.tenants.session
	status := s.status.Load()
	if status == nil || status == s.sentStatus {
		return true
	}
	s.session.Info.Note = status.Encode()
	callContext, cancel := context.WithTimeout(ctx, sessionCallTimeout)
	defer cancel()
	if err := srv.tenants.client.OpenSession(callContext, s.session); err != nil {
		return false
	}
	if s.sentStatus = status; status.Left {
		select {
		case <-s.leftReported:
		default:
			close(s.leftReported)
		}
	}
	return true
}

// pauseBeforeRetry waits between one and two retryPause, at random.
func pauseBeforeRetry(ctx context.Context) { backoff.Sleep(ctx, retryPause+rand.N(retryPause)) }
