package proxy

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"sync/atomic"
	"time"

	"wrenspread/balancer"
	"wrenspread/internal/membership/wire"
	"wrenspread/internal/quota"
	"wrenspread/internal/quota/record"
	"wrenspread/internal/registry/client"
	"wrenspread/ratelimit"
)

const (
	quotaTickInterval = 20 * time.Millisecond  // of the ledger; new demand is claimed after at most this time
	peerCheckTicks    = 50                     // ticks between two updates of the serving peers
	quotaDatagramKind = 0x6                    // the first four bits of quota datagrams
	quotaLeaveTime    = 500 * time.Millisecond // for announcing, at several ticks, that the proxy leaves
)

// The log message of an applied policy and the key of its version. The lab's measurements read both.
const (
	PolicyMessage    = "policy"
	PolicyVersionKey = "version"
)

// policyForm is the JSON form of the key govern in the configuration file.
type policyForm struct {
	Policy         bool  `json:"policy"`
	Tenants        bool  `json:"tenants"`
	MaxStalenessMS int64 `json:"hold_ms"`

	TenantsOnDemand bool `json:"tenants_on_demand"`
}

// check returns what the policy and the tenants require and the configuration lacks. Without the key govern,
// g is nil and nothing is required.
func (g *policyForm) check(c Config) (problems []error) {
	if g == nil {
		return nil
	}
	problems = g.checkTenants(c)
	if !g.Policy {
		return problems
	}
	if c.Membership.Name == "" {
		problems = append(
			problems,
			fmt.Errorf("govern: policy needs the membership of a fleet: the key fleet with its name"),
		)
	}
	if len(c.Registry) == 0 {
		problems = append(
			problems,
			fmt.Errorf("govern: policy needs the registry: the key list with its addresses"),
		)
	}
	if !c.Settings.AllowGossip {
		problems = append(
			problems,
			fmt.Errorf("govern: policy needs messages between nodes, which settings.caps.peers does not allow"),
		)
	}
	return problems
}

// policyFollower follows the operators' policy and manages this proxy's shares of the policy's limits. Only
// the loop uses its fields, except the atomic ones, which /stats reads.
type policyFollower struct {
	client       *client.Client // follows records only
	ledger       *quota.Ledger
	policyKnown  bool   // this process has read the policy, or has read that there is none
	ticks        int    // quota ticks so far
	highestToken uint64 // highest fencing token of an allocator received so far

	version, token, requests, rejected atomic.Uint64
	fallbackSuspended, hasSlot         atomic.Bool
}

// newPolicyFollower returns a follower, or nil if the configuration follows no policy.
func newPolicyFollower(cfg Config) (*policyFollower, error) {
	if !cfg.Policy {
		return nil, nil
	}
	registryClient, err := client.New(client.Config{Addresses: cfg.Registry, Hold: registryWatchHold})
	if err != nil {
		return nil, err
	}
	generation := uint64(time.Now().UnixMilli())
	return &policyFollower{
		client: registryClient,
		ledger: quota.NewLedger(
			quota.LedgerConfig{
				Fleet:      wire.FleetHash(cfg.Membership.Name),
				Name:       cfg.Name,
				Generation: generation,
				Seed:       uint64(cfg.Seed),
			},
		),
	}, nil
}

// followPolicy follows the records of the policy and of the allocator, and runs the quota ticks, until ctx
// ends.
func (srv *Server) followPolicy(ctx context.Context) {
	follower := srv.policy
	if follower == nil {
		return
	}
	go follower.client.FollowRecords(
		ctx,
		record.PolicyPrefix,
		func(r client.Records) { srv.post(func() { srv.applyPolicy(r) }) },
	)
	go follower.client.FollowRecords(
		ctx,
		record.QuotaPrefix,
		func(r client.Records) { srv.post(func() { srv.applyAllocator(r) }) },
	)
	go func() {
		defer follower.client.Close()
		ticker := time.NewTicker(quotaTickInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				srv.post(srv.handleQuotaTick)
			case <-ctx.Done():
				return
			}
		}
	}()
}

// applyPolicy applies the current policy table. The ledger and the balancer change to the table in one step
// of the loop, so that no request is checked against parts of two tables. If the table can't be decoded,
// nothing changes: a later version of the program may have written it.
func (srv *Server) applyPolicy(r client.Records) {
	follower, current := srv.policy, record.Find(r, record.CurrentKey)
	table, err := record.DecodeTable(current)
	if err != nil {
		srv.log.Error("new policy is invalid, keeping the present one", "err", err)
		return
	}
	if follower.policyKnown && current.Version == follower.version.Load() {
		return
	}
	follower.policyKnown = true
	follower.version.Store(current.Version)
	srv.setTenantPolicy(table)
	srv.handleQuotaEvent(quota.TableChanged{Current: table})
	if table == nil {
		srv.handle(balancer.TableChanged{})
	} else {
		srv.handle(balancer.TableChanged{Table: table, Tokens: follower.ledger})
	}
	srv.log.Info(PolicyMessage, PolicyVersionKey, current.Version, "limits", limitCount(table))
	srv.updateReady()
}

// limitCount returns the number of limits of a table; t may be nil.
func limitCount(t *ratelimit.Table) int {
	if t == nil {
		return 0
	}
	return len(t.Limits)
}

// applyAllocator passes a new allocator to the ledger. A record whose fencing token is not higher than all
// earlier ones is ignored.
func (srv *Server) applyAllocator(r client.Records) {
	allocator, err := record.ReadAllocator(record.Find(r, record.AllocatorKey))
	if err != nil {
		srv.log.Error("allocator record unreadable", "err", err)
		return
	}
	if allocator.Token > srv.policy.highestToken {
		srv.policy.highestToken = allocator.Token
		srv.handleQuotaEvent(quota.AllocatorKnown{Name: allocator.Name, Token: allocator.Token})
	}
}

// handleQuotaTick advances the ledger by a tick, updates the serving peers every peerCheckTicks, and stores
// the values for /stats.
func (srv *Server) handleQuotaTick() {
	follower, gossipServer := srv.policy, srv.membership.Load()
	if gossipServer != nil && follower.ticks%peerCheckTicks == 0 {
		srv.handleQuotaEvent(quota.Peers{Names: gossipServer.ServingMembers()})
		srv.announceVersions()
	}
	follower.ticks++
	srv.handleQuotaEvent(quota.Tick{})
	counts, _ := srv.balancer.LimitCounts()
	status := follower.ledger.Status()
	follower.requests.Store(counts.Requests)
	follower.rejected.Store(counts.Rejected)
	follower.token.Store(status.Token)
	follower.fallbackSuspended.Store(status.FallbackSuspended)
	follower.hasSlot.Store(status.HasSlot)
}

// handleQuotaEvent passes an event to the ledger and sends the datagrams that result.
func (srv *Server) handleQuotaEvent(e quota.Event) {
	gossipServer := srv.membership.Load()
	for _, a := range srv.policy.ledger.Handle(time.Since(srv.start), e) {
		if send, ok := a.(quota.Send); ok && gossipServer != nil {
			gossipServer.SendTo(send.To, send.Data)
		}
	}
}

// receiveQuotaDatagram passes a quota datagram to the loop. It does not block: if the loop's inbox is full,
// the datagram is dropped.
func (srv *Server) receiveQuotaDatagram(_ netip.AddrPort, data []byte) {
	copied := append([]byte(nil), data...)
	select {
	case srv.inbox <- func() { srv.handleQuotaEvent(quota.Message{Data: copied}) }:
	default:
	}
}

// leaveQuotas stops admission by quota and announces to the allocator that this proxy leaves, so that its
// shares can be allocated to other proxies at once.
func (srv *Server) leaveQuotas(ctx context.Context) {
	if srv.policy == nil {
		return
	}
	srv.post(func() { srv.handleQuotaEvent(quota.Leave{}) })
	select {
	case <-time.After(quotaLeaveTime): // the ledger announces it at least twice in this time
	case <-ctx.Done():
	}
}

// write writes the policy's metrics to /stats.
func (g *policyFollower) write(w io.Writer) {
	writeStats(w, []stat{
		gauge("app.policy.version", int64(g.version.Load())),
		counter("app.policy.asked", int64(g.requests.Load())),
		counter("app.policy.refused", int64(g.rejected.Load())),
		gauge("app.policy.fence", int64(g.token.Load())),
		flag("app.policy.resting", g.fallbackSuspended.Load()),
		flag("app.policy.seated", g.hasSlot.Load()),
	})
}
