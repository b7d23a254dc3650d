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
	quotaTickInterval = 20 * time.Millisecond // between two ticks of the ledger: a new demand is claimed so soon
	peerCheckTicks    = 50                    // ticks between two updates of the peers that serve
	quotaKind         = 0x6                   // the first four bits of the quota's datagrams
	leaveAnnounceTime = 500 * time.Millisecond
)

// policyForm is the form of the key govern in the configuration file.
type policyForm struct {
	Policy         bool  `json:"policy"`
	Tenants        bool  `json:"tenants"`
	MaxStalenessMS int64 `json:"hold_ms"`

	TenantsOnDemand bool `json:"tenants_on_demand"`
}

// check says what else a governed proxy needs.
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
			fmt.Errorf("govern: policy needs the view of the fleet: the key fleet with its name"),
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

// policyFollower is a proxy's part in the operators' policy and in the shares of its limits. Only figures are
// not the loop's.
type policyFollower struct {
	client       *client.Client // for records alone
	ledger       *quota.Ledger
	policyKnown  bool // the policy, or that there is none, has been heard of in this process
	ticks        int
	highestToken uint64 // the highest fencing token that was received

	version, token, requests, rejected atomic.Uint64
	fallbackSuspended, hasSlot         atomic.Bool
}

func newPolicyFollower(cfg Config) (*policyFollower, error) {
	if !cfg.Policy {
		return nil, nil
	}
	k, err := client.New(client.Config{Addresses: cfg.Registry, Hold: listHold})
	if err != nil {
		return nil, err
	}
	life := uint64(time.Now().UnixMilli())
	return &policyFollower{
		client: k,
		ledger: quota.NewLedger(
			quota.LedgerConfig{
				Fleet:      wire.FleetHash(cfg.Membership.Name),
				Name:       cfg.Name,
				Generation: life,
				Seed:       uint64(cfg.Seed),
			},
		),
	}, nil
}

// followPolicy follows the policy and has the shares' clock run until ctx ends.
func (srv *Server) followPolicy(ctx context.Context) {
	g := srv.policy
	if g == nil {
		return
	}
	go g.client.FollowRecords(
		ctx,
		record.PolicyPrefix,
		func(r client.Records) { srv.post(func() { srv.applyPolicy(r) }) },
	)
	go g.client.FollowRecords(
		ctx,
		record.QuotaPrefix,
		func(r client.Records) { srv.post(func() { srv.applyAllocator(r) }) },
	)
	go func() {
		defer g.client.Close()
		t := time.NewTicker(quotaTickInterval)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				srv.post(srv.quotaTick)
			case <-ctx.Done():
				return
			}
		}
	}()
}

// applyPolicy takes the table that holds, whole: the shares and the balancer change over between two events.
// A table that can't be read changes nothing, as one of a later program may come to proxies of this one.
func (srv *Server) applyPolicy(r client.Records) {
	g, one := srv.policy, record.Find(r, record.CurrentKey)
	t, err := record.DecodeTable(one)
	if err != nil {
		srv.log.Error("new policy is invalid, keeping the present one", "err", err)
		return
	}
	if g.policyKnown && one.Version == g.version.Load() {
		return
	}
	g.policyKnown = true
	g.version.Store(one.Version)
	srv.setTenantPolicy(t)
	srv.tellLedger(quota.TableChanged{Current: t})
	if t == nil {
		srv.handle(balancer.TableChanged{})
	} else {
		srv.handle(balancer.TableChanged{Table: t, Tokens: g.ledger})
	}
	srv.log.Info("policy", "version", one.Version, "limits", limitsOf(t))
	srv.updateReady()
}

func limitsOf(t *ratelimit.Table) int {
	if t == nil {
		return 0
	}
	return len(t.Limits)
}

func (srv *Server) applyAllocator(r client.Records) {
	s, err := record.ReadAllocator(record.Find(r, record.AllocatorKey))
	if err != nil {
		srv.log.Error("allocator record unreadable", "err", err)
		return
	}
	if s.Token > srv.policy.highestToken {
		srv.policy.highestToken = s.Token
		srv.tellLedger(quota.AllocatorKnown{Name: s.Name, Token: s.Token})
	}
}

func (srv *Server) quotaTick() {
	g, shell := srv.policy, srv.membership.Load()
	if shell != nil && g.ticks%peerCheckTicks == 0 {
		srv.tellLedger(quota.Peers{Names: shell.ServingMembers()})
		srv.announceVersions()
	}
	g.ticks++
	srv.tellLedger(quota.Tick{})
	s, _ := srv.balancer.LimitCounts()
	st := g.ledger.Status()
	g.requests.Store(s.Requests)
	g.rejected.Store(s.Rejected)
	g.token.Store(st.Token)
	g.fallbackSuspended.Store(st.FallbackSuspended)
	g.hasSlot.Store(st.HasSlot)
}

// tellLedger passes an event to the ledger and sends the datagrams that result.
func (srv *Server) tellLedger(e quota.Event) {
	shell := srv.membership.Load()
	for _, a := range srv.policy.ledger.Handle(time.Since(srv.start), e) {
		if s, ok := a.(quota.Send); ok && shell != nil {
			shell.SendTo(s.To, s.Data)
		}
	}
}

// receiveQuotaDatagram takes a datagram of the shares off the socket. It does not wait for the loop: one too
// many is lost.
func (srv *Server) receiveQuotaDatagram(_ netip.AddrPort, data []byte) {
	kept := append([]byte(nil), data...)
	select {
	case srv.inbox <- func() { srv.tellLedger(quota.Message{Data: kept}) }:
	default:
	}
}

// leaveQuotas admits nothing any more and tells the holder so, so that this proxy's shares are free at once.
func (srv *Server) leaveQuotas(ctx context.Context) {
	if srv.policy == nil {
		return
	}
	srv.post(func() { srv.tellLedger(quota.Leave{}) })
	select {
	case <-time.After(leaveAnnounceTime): // the shares' clock tells it twice or more
	case <-ctx.Done():
	}
}

// write writes the figures of the policy as lines of text.
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
