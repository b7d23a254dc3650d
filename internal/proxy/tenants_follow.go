package proxy

import (
	"context"
	"time"

	"wrenspread/internal/registry/client"
	"wrenspread/internal/tenant"
)

const (
	catalogueReadTimeout = 5 * time.Second        // for one read of the catalogue
	tenantTick           = 250 * time.Millisecond // of the cache, which needs a tick at least every 500 ms
	// leaveTimeout bounds how long a proxy that leaves waits until its status has been sent and it has been
	// removed from the member record.
	leaveTimeout = 2 * time.Second
)

// followTenants starts the goroutines that maintain the session, read the catalogue and run the cache's
// ticks, until ctx ends.
func (srv *Server) followTenants(ctx context.Context) {
	t := srv.tenants
	if t == nil {
		return
	}
	sessionContext, closeSession := context.WithCancel(ctx)
	t.session.closeSession = closeSession
	go srv.maintainSession(sessionContext)
	go srv.readCatalogue(ctx)
	for _, key := range []string{tenant.HeadKey, tenant.MembersKey} { // pages are read as needed
		go t.client.FollowRecords(ctx, key, func(client.Records) { t.session.requestRead() })
	}
	go func() {
		defer t.client.Close()
		ticker := time.NewTicker(tenantTick)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				srv.post(srv.handleTenantTick)
			case <-ctx.Done():
				return
			}
		}
	}()
}

// handleTenantTick gives the cache the highest catalogue number of the peers and a tick, resumes parked
// requests whose park timeout has passed, and applies routes that had to wait.
func (srv *Server) handleTenantTick() {
	if gossipServer := srv.membership.Load(); gossipServer != nil {
		srv.handleTenantEvent(tenant.PeerHasCatalogue{Number: gossipServer.HighestCatalogue()})
	}
	srv.tenants.catalogueChanged = true // the park timeout of some requests may have passed
	srv.handleTenantEvent(tenant.Tick{})
	srv.applyRoutes()
}

// readCatalogue reads the catalogue whenever a read is requested, and repeats a failed read until one
// succeeds.
func (srv *Server) readCatalogue(ctx context.Context) {
	t := srv.tenants
	reader := &tenant.Reader{Source: t.client, Member: t.self}
	for failed := false; ; {
		select {
		case <-t.session.readRequests:
		case <-ctx.Done():
			return
		}
		wantedLeaves := tenant.WantedLeaves{}
		if !srv.do(func() { wantedLeaves = t.cache.Wanted() }) {
			return
		}
		callContext, cancel := context.WithTimeout(ctx, catalogueReadTimeout)
		read, err := reader.Read(callContext, srv.tenantClock, wantedLeaves)
		cancel()
		if err != nil {
			if !failed {
				srv.log.Warn("reading the tenant catalogue failed", "err", err)
			}
			t.session.requestRead()
			pauseBeforeRetry(ctx)
		} else {
			srv.post(func() { srv.applyCatalogue(read) })
		}
		failed = err != nil
	}
}

// applyCatalogue applies a read of the catalogue. It plans the routes first, so that tenants that the cache
// then begins to serve can be routed. If the proxy is leaving, applyCatalogue detects its removal from the
// member record.
func (srv *Server) applyCatalogue(read tenant.CatalogueRead) {
	t := srv.tenants
	if read.Snapshot != nil && read.Snapshot.Number >= t.cache.Number() {
		srv.planRoutes(read.Snapshot)
	}
	srv.handleTenantEvent(read)
	if t.catalogue.Ready() || read.Enrolled {
		return
	}
	if status := t.cache.Status(); status.Left {
		select {
		case <-t.removedFromRecord:
		default:
			close(t.removedFromRecord)
		}
	}
}

// leaveTenants starts to announce that this process will serve tenants no more once all its requests have
// ended. The returned function waits until the proxy has been removed from the member record, because until
// then changes of tenants wait for this proxy, and then closes the session. After leaveTimeout it gives up
// and leaves the session open, so that the status can still be read until the session expires.
func (srv *Server) leaveTenants(ctx context.Context) (wait func()) {
	t := srv.tenants
	if t == nil {
		return func() {}
	}
	ctx, stop := context.WithTimeout(ctx, leaveTimeout)
	srv.post(func() { srv.handleTenantEvent(tenant.Leave{}) })
	return func() {
		defer stop()
		confirmed := srv.waitFor(ctx, leaveTimeout, t.session.leftReported)
		// After a handoff the entry in the member record stays, for the next process.
		if confirmed && !srv.frontend.handedOff.Load() {
			t.session.requestRead()
			confirmed = srv.waitFor(ctx, leaveTimeout, t.removedFromRecord)
		}
		if !confirmed {
			srv.log.Warn("tenant member record may still list this proxy; to remove it: wrenspreadctl tenant forget")
			return
		}
		t.session.closeSession()
		srv.waitFor(ctx, leaveTimeout, t.session.ended)
	}
}
