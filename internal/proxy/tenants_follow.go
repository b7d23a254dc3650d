package proxy

import (
	"context"
	"time"

	"wrenspread/internal/registry/client"
	"wrenspread/internal/tenant"
)

const (
	catalogueReadTimeout = 5 * time.Second        // for one read of the catalogue
	tenantTick           = 250 * time.Millisecond // of the cache's clock: it wants each half second
	// for the status that the proxy has left, and for the member record to follow
	leftTimeout = 2 * time.Second
)

// followTenants keeps the session, reads the catalogue and has the cache's clock run until ctx ends.
func (srv *Server) followTenants(ctx context.Context) {
	t := srv.tenants
	if t == nil {
		return
	}
	open, stop := context.WithCancel(ctx)
	t.session.close = stop
	go srv.keepSession(open)
	go srv.readCatalogue(ctx)
	for _, key := range []string{tenant.HeadKey, tenant.MembersKey} { // the pages are read as they are wanted
		go t.client.FollowRecords(ctx, key, func(client.Records) { t.session.requestRead() })
	}
	go func() {
		defer t.client.Close()
		every := time.NewTicker(tenantTick)
		defer every.Stop()
		for {
			select {
			case <-every.C:
				srv.post(srv.tenantTick)
			case <-ctx.Done():
				return
			}
		}
	}()
}

func (srv *Server) tenantTick() {
	if shell := srv.membership.Load(); shell != nil {
		srv.handleTenantEvent(tenant.PeerHasCatalogue{Number: shell.HighestCatalogue()})
	}
	srv.tenants.catalogueChanged = true // some have waited for long enough
	srv.handleTenantEvent(tenant.Tick{})
	srv.applyRoutes()
}

// readCatalogue reads the catalogue whenever it is asked to, until that has worked.
func (srv *Server) readCatalogue(ctx context.Context) {
	t := srv.tenants
	r := &tenant.Reader{Source: t.client, Member: t.self}
	for failed := false; ; {
		select {
		case <-t.session.readRequests:
		case <-ctx.Done():
			return
		}
		want := tenant.WantedLeaves{}
		if !srv.do(func() { want = t.cache.Wanted() }) {
			return
		}
		call, done := context.WithTimeout(ctx, catalogueReadTimeout)
		got, err := r.Read(call, srv.tenantClock, want)
		done()
		if err != nil {
			if !failed {
				srv.log.Warn("reading the tenant catalogue failed", "err", err)
			}
			t.session.requestRead()
			pauseBeforeRetry(ctx)
		} else {
			srv.post(func() { srv.applyCatalogue(got) })
		}
		failed = err != nil
	}
}

// applyCatalogue takes what was read. The routes come first: what the cache then says to be taken up can be
// served.
func (srv *Server) applyCatalogue(got tenant.CatalogueRead) {
	t := srv.tenants
	if got.Snapshot != nil && got.Snapshot.Number >= t.cache.Number() {
		srv.planRoutes(got.Snapshot)
	}
	srv.handleTenantEvent(got)
	if t.catalogue.Ready() || got.Enrolled {
		return
	}
	if w := t.cache.Status(); w.Left {
		select {
		case <-t.left:
		default:
			close(t.left)
		}
	}
}

// leaveTenants says that this process serves no tenant any more, once it has ended all its requests. wait
// returns when the member record has followed, or late, with the session closed: until then changes of
// tenants wait for this proxy. One whose status has not been seen expires by itself, so that it still can be.
func (srv *Server) leaveTenants(ctx context.Context) (wait func()) {
	t := srv.tenants
	if t == nil {
		return func() {}
	}
	ctx, stop := context.WithTimeout(ctx, leftTimeout)
	srv.post(func() { srv.handleTenantEvent(tenant.Leave{}) })
	return func() {
		defer stop()
		gone := srv.waitFor(ctx, leftTimeout, t.session.left)
		// else the member record goes on to have the process that follows
		if gone && !srv.frontend.handedOff.Load() {
			t.session.requestRead()
			gone = srv.waitFor(ctx, leftTimeout, t.left)
		}
		if !gone {
			srv.log.Warn("tenant member record may still have this proxy: wrenspreadctl tenant forget")
			return
		}
		t.session.close()
		srv.waitFor(ctx, leftTimeout, t.session.ended)
	}
}
