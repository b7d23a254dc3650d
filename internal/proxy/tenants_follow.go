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
	// for the word that the proxy has left, and for the member record to follow
	leftTimeout = 2 * time.Second
)

// followTenants keeps the session, reads the catalogue and has the cache's clock run until ctx ends.
func (n *Server) followTenants(ctx context.Context) {
	t := n.tenants
	if t == nil {
		return
	}
	open, stop := context.WithCancel(ctx)
	t.session.close = stop
	go n.keepSession(open)
	go n.readCatalogue(ctx)
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
				n.post(n.tenantTick)
			case <-ctx.Done():
				return
			}
		}
	}()
}

func (n *Server) tenantTick() {
	if shell := n.membership.Load(); shell != nil {
		n.handleTenantEvent(tenant.PeerHasCatalogue{Number: shell.HighestCatalogue()})
	}
	n.tenants.catalogueChanged = true // some have waited for long enough
	n.handleTenantEvent(tenant.Tick{})
	n.applyRoutes()
}

// readCatalogue reads the catalogue whenever it is asked to, until that has worked.
func (n *Server) readCatalogue(ctx context.Context) {
	t := n.tenants
	r := &tenant.Reader{Source: t.client, Member: t.self}
	for failed := false; ; {
		select {
		case <-t.session.readRequests:
		case <-ctx.Done():
			return
		}
		want := tenant.WantedLeaves{}
		if !n.do(func() { want = t.cache.Wanted() }) {
			return
		}
		call, done := context.WithTimeout(ctx, catalogueReadTimeout)
		got, err := r.Read(call, n.tenantClock, want)
		done()
		if err != nil {
			if !failed {
				n.log.Warn("reading the tenant catalogue failed", "err", err)
			}
			t.session.requestRead()
			pauseBeforeRetry(ctx)
		} else {
			n.post(func() { n.applyCatalogue(got) })
		}
		failed = err != nil
	}
}

// applyCatalogue takes what was read. The routes come first: what the cache then says to be taken up can be
// served.
func (n *Server) applyCatalogue(got tenant.CatalogueRead) {
	t := n.tenants
	if got.Snapshot != nil && got.Snapshot.Number >= t.cache.Number() {
		n.planRoutes(got.Snapshot)
	}
	n.handleTenantEvent(got)
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
// tenants wait for this proxy. One whose word has not been seen runs out by itself, so that it still can be.
func (n *Server) leaveTenants(ctx context.Context) (wait func()) {
	t := n.tenants
	if t == nil {
		return func() {}
	}
	ctx, stop := context.WithTimeout(ctx, leftTimeout)
	n.post(func() { n.handleTenantEvent(tenant.Leave{}) })
	return func() {
		defer stop()
		gone := n.waitFor(ctx, leftTimeout, t.session.left)
		if gone && !n.frontend.handedOff.Load() { // else the member record goes on to have the process that follows
			t.session.requestRead()
			gone = n.waitFor(ctx, leftTimeout, t.left)
		}
		if !gone {
			n.log.Warn("tenant member record may still have this proxy: wrenspreadctl tenant forget")
			return
		}
		t.session.close()
		n.waitFor(ctx, leftTimeout, t.session.ended)
	}
}
