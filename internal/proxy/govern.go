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
	shareTick = 20 * time.Millisecond // of the shares' clock: a new demand is claimed so soon
	peersTick = 50                    // shareTicks between two looks at who serves
	quotaKind = 0x6                   // the first four bits of the shares' datagrams
	leaveTell = 500 * time.Millisecond
)

// governForm is the form of the key govern in the configuration file.
type governForm struct {
	Policy  bool  `json:"policy"`
	Tenants bool  `json:"tenants"`
	HoldMS  int64 `json:"hold_ms"`

	TenantsOnDemand bool `json:"tenants_on_demand"`
}

// check says what else a governed node needs.
func (g *governForm) check(c Config) (problems []error) {
	if g == nil {
		return nil
	}
	problems = g.checkTenants(c)
	if !g.Policy {
		return problems
	}
	if c.Fleet.Name == "" {
		problems = append(problems, fmt.Errorf("govern: policy needs the view of the fleet: the key fleet with its name"))
	}
	if len(c.List) == 0 {
		problems = append(problems, fmt.Errorf("govern: policy needs the list service: the key list with its addresses"))
	}
	if !c.Settings.AllowGossip {
		problems = append(problems, fmt.Errorf("govern: policy needs messages between nodes, which settings.caps.peers does not allow"))
	}
	return problems
}

// governed is a node's part in the operators' policy and in the shares of its limits. Only figures are not the loop's.
type governed struct {
	k      *client.Client // for records alone
	ledger *quota.Ledger
	told   bool // the policy, or that there is none, has been heard of in this process
	ticks  int
	holder uint64 // the highest fence that was told

	version, fence, asked, refused atomic.Uint64
	resting, seated                atomic.Bool
}

func newGoverned(cfg Config) (*governed, error) {
	if !cfg.Policy {
		return nil, nil
	}
	k, err := client.New(client.Config{Addresses: cfg.List, Hold: listHold})
	if err != nil {
		return nil, err
	}
	life := uint64(time.Now().UnixMilli())
	return &governed{k: k, ledger: quota.NewLedger(quota.LedgerConfig{Fleet: wire.FleetHash(cfg.Fleet.Name), Name: cfg.Name, Generation: life, Seed: uint64(cfg.Seed)})}, nil
}

// govern follows the policy and has the shares' clock run until ctx ends.
func (n *Node) govern(ctx context.Context) {
	g := n.governed
	if g == nil {
		return
	}
	go g.k.FollowRecords(ctx, record.PolicyPrefix, func(r client.Records) { n.post(func() { n.takePolicy(r) }) })
	go g.k.FollowRecords(ctx, record.QuotaPrefix, func(r client.Records) { n.post(func() { n.takeSharer(r) }) })
	go func() {
		defer g.k.Close()
		t := time.NewTicker(shareTick)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				n.post(n.shareTick)
			case <-ctx.Done():
				return
			}
		}
	}()
}

// takePolicy takes the table that holds, whole: the shares and the module change over between two events. A table that
// can't be read changes nothing, as one of a later program may come to nodes of this one.
func (n *Node) takePolicy(r client.Records) {
	g, one := n.governed, record.Find(r, record.CurrentKey)
	t, err := record.DecodeTable(one)
	if err != nil {
		n.log.Error("the policy stays as it was", "err", err)
		return
	}
	if g.told && one.Version == g.version.Load() {
		return
	}
	g.told = true
	g.version.Store(one.Version)
	n.tenantTable(t)
	n.tell(quota.TableChanged{Current: t})
	if t == nil {
		n.handle(balancer.TableChanged{})
	} else {
		n.handle(balancer.TableChanged{Table: t, Tokens: g.ledger})
	}
	n.log.Info("policy", "version", one.Version, "limits", limitsOf(t))
	n.settleReady()
}

func limitsOf(t *ratelimit.Table) int {
	if t == nil {
		return 0
	}
	return len(t.Limits)
}

func (n *Node) takeSharer(r client.Records) {
	s, err := record.ReadAllocator(record.Find(r, record.AllocatorKey))
	if err != nil {
		n.log.Error("who shares limits out can't be read", "err", err)
		return
	}
	if s.Token > n.governed.holder {
		n.governed.holder = s.Token
		n.tell(quota.AllocatorKnown{Name: s.Name, Token: s.Token})
	}
}

func (n *Node) shareTick() {
	g, shell := n.governed, n.view.Load()
	if shell != nil && g.ticks%peersTick == 0 {
		n.tell(quota.Peers{Names: shell.ServingMembers()})
		n.tellVersions()
	}
	g.ticks++
	n.tell(quota.Tick{})
	s, _ := n.module.LimitCounts()
	st := g.ledger.Status()
	g.asked.Store(s.Requests)
	g.refused.Store(s.Rejected)
	g.fence.Store(st.Token)
	g.resting.Store(st.FallbackSuspended)
	g.seated.Store(st.HasSlot)
}

// tell gives the ledger an event and sends what comes of it.
func (n *Node) tell(e quota.Event) {
	shell := n.view.Load()
	for _, a := range n.governed.ledger.Handle(time.Since(n.start), e) {
		if s, ok := a.(quota.Send); ok && shell != nil {
			shell.SendTo(s.To, s.Data)
		}
	}
}

// hearShares takes a datagram of the shares off the socket. It does not wait for the loop: one too many is lost.
func (n *Node) hearShares(_ netip.AddrPort, data []byte) {
	kept := append([]byte(nil), data...)
	select {
	case n.inbox <- func() { n.tell(quota.Message{Data: kept}) }:
	default:
	}
}

// leaveShares admits nothing any more and tells the holder so, so that this node's shares are free at once.
func (n *Node) leaveShares(ctx context.Context) {
	if n.governed == nil {
		return
	}
	n.post(func() { n.tell(quota.Leave{}) })
	select {
	case <-time.After(leaveTell): // the shares' clock tells it twice or more
	case <-ctx.Done():
	}
}

func one(on bool) int {
	if on {
		return 1
	}
	return 0
}

// write gives the figures of the policy as lines of text.
func (g *governed) write(w io.Writer) {
	fmt.Fprintf(w, "app.policy.version:%d|g\napp.policy.asked:%d|c\napp.policy.refused:%d|c\napp.policy.fence:%d|g\napp.policy.resting:%d|g\napp.policy.seated:%d|g\n",
		g.version.Load(), g.asked.Load(), g.refused.Load(), g.fence.Load(), one(g.resting.Load()), one(g.seated.Load()))
}
