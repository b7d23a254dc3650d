package proxy

import (
	"context"
	"time"

	"wrenspread/internal/registry/client"
	"wrenspread/internal/tenant"
)

const (
	readTries  = 5 * time.Second        // for one read of the catalogue
	tenantTick = 250 * time.Millisecond // of the desk's clock: it wants each half second
	leftTime   = 2 * time.Second        // for the word that the node has left, and for the book to follow
)

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
	for _, key := range []string{tenant.HeadKey, tenant.MembersKey} { // the pages are read as they are wanted
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
		n.desk(tenant.PeerHasCatalogue{Number: shell.HighestCatalogue()})
	}
	n.tenants.look = true // some have waited for long enough
	n.desk(tenant.Tick{})
	n.giveLanes()
}

// readTenants reads the catalogue whenever it is asked to, until that has worked.
func (n *Node) readTenants(ctx context.Context) {
	t := n.tenants
	r := &tenant.Reader{Source: t.k, Member: t.as}
	for failed := false; ; {
		select {
		case <-t.session.reads:
		case <-ctx.Done():
			return
		}
		want := tenant.WantedLeaves{}
		if !n.do(func() { want = t.desk.Wanted() }) {
			return
		}
		call, done := context.WithTimeout(ctx, readTries)
		got, err := r.Read(call, n.clock, want)
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
func (n *Node) takeTenants(got tenant.CatalogueRead) {
	t := n.tenants
	if got.Snapshot != nil && got.Snapshot.Number >= t.desk.Number() {
		n.planLanes(got.Snapshot)
	}
	n.desk(got)
	if t.now.Ready() || got.Enrolled {
		return
	}
	if w := t.desk.Status(); w.Left {
		select {
		case <-t.off:
		default:
			close(t.off)
		}
	}
}

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
			n.log.Warn("the tenants' book may still have this node: wrenspreadctl tenant forget")
			return
		}
		t.session.close()
		n.await(ctx, leftTime, t.session.ended)
	}
}
