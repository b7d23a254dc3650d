// Package proxy carries out the decisions of package decide on real sockets: it
// takes clients' requests, sends them to servers, follows the list of servers
// and answers, each request once and in time.
package proxy

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"wrenspread/balancer"
	"wrenspread/internal/besteffort"
	"wrenspread/internal/fencing"
	"wrenspread/internal/membership/gossip"
)

const (
	answerMargin = 10 * time.Millisecond // an answer leaves so long before its client stops waiting
	// between two looks at something that ends soon, or after an error that may come again at once
	shortWait = 50 * time.Millisecond
)

// Server is one load-balancing proxy.
type Server struct {
	config Config
	log    *slog.Logger
	start  time.Time
	inbox  chan func() // run by the loop, one at a time
	calls  chan func() // the same for operators, ahead of the inbox
	ended  chan struct{}

	pool               *pool
	endpointSource     endpointSource
	fencing            *fencing.Guard // of those who order maintenance
	startupError       error          // why it can not run; nil: it can
	frontend           *frontend
	stats              *stats
	rawConfig          any                        // the configuration file last taken; for Reread
	peers              atomic.Pointer[peerSocket] // nil: this proxy has no socket for them
	identity           identity
	membership         atomic.Pointer[gossip.Server] // of the fleet; nil: there is none, or not yet
	policy             *policyFollower               // nil: no policy is followed
	tenants            *tenantService                // nil: tenants are not told apart
	handoffLinks       handoffLinks
	firstListTimeout   time.Duration // the most that the agent's first word is awaited
	handoffListTimeout time.Duration // the same in an upgrade, in which the old process serves meanwhile
	handoffPath        string        // where processes of this proxy meet; empty: nowhere
	// told when another process of this proxy begins and ends to share its limits; may be nil
	Overlap func(bool)

	// The rest belongs to the loop.
	loopContext     context.Context
	balancer        *balancer.Balancer
	endpointIDs     *endpointIDs
	listedEndpoints map[string]balancer.EndpointID
	listKnown       chan struct{}   // closed when discovery has told the list
	awaitingAgent   bool            // the agent's first word is still awaited
	listKnownOnce   sync.Once       // for that
	inMaintenance   map[string]bool // names of servers in maintenance
	requests        map[balancer.RequestID]*request
	pendingEvents   []balancer.Event // that came of actions, to be handled next
}

// New makes a proxy; Run starts it.
func New(cfg Config, log *slog.Logger) *Server {
	cfg = cfg.withoutMembership(log)
	n := &Server{
		config:    cfg,
		log:       log,
		start:     time.Now(),
		inbox:     make(chan func(), inboxSize),
		calls:     make(chan func()),
		listKnown: make(chan struct{}),
		ended:     make(chan struct{}),
		balancer: balancer.New(
			cfg.Settings,
			cfg.Seed,
		),
		endpointIDs:        newEndpointIDs(),
		listedEndpoints:    map[string]balancer.EndpointID{},
		inMaintenance:      map[string]bool{},
		requests:           map[balancer.RequestID]*request{},
		stats:              newStats(cfg.Settings.Classes, cfg.BackendStats),
		rawConfig:          cfg.rawFile,
		firstListTimeout:   agentAnswerTimeout,
		handoffListTimeout: handoffListTimeout,
	}
	if n.fencing, n.startupError = fencing.Open(cfg.FencingFolder); n.startupError != nil {
		n.fencing, _ = fencing.Open("") // of memory alone, which can't fail
	}
	if n.startupError == nil {
		n.tenants, n.startupError = newTenantService(cfg)
	}
	sockets, err := maxDescriptors(cfg.MaxDescriptors, log)
	if n.startupError == nil {
		n.startupError = err
	}
	clients := int(clientShare * float64(sockets-reservedDescriptors))
	n.pool = newPool(cfg.Settings, sockets-reservedDescriptors-clients)
	n.pool.forwards = &n.stats.forwards
	n.frontend = newFrontend(n, clients)
	n.identity = newIdentity(cfg, clients)
	n.frontend.memory, n.pool.memory = newMemoryBudget(cfg.MemoryMB), newMemoryBudget(cfg.MemoryMB)
	return n
}

// Run serves clients on ln until ctx ends, then finishes what is open.
func (n *Server) Run(ctx context.Context, ln net.Listener) error {
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	n.loopContext = inner
	err := n.startupError
	if err != nil {
		return err
	}
	if n.endpointSource, err = n.newEndpointSource(); err != nil {
		return err
	}
	if n.policy, err = newPolicyFollower(n.config); err != nil {
		return err
	}
	if n.handoffPath == "" && n.lacksPeerSocket() {
		n.listenPeers(inner)
	}
	go n.loop(inner)
	n.followPolicy(inner)
	go n.pool.run(inner)
	var old *handoffLink
	if n.handoffPath != "" {
		var err error
		if old, err = n.requestHandoff(ctx); err != nil {
			n.log.Warn("no handoff, starting cold", "err", err)
		}
	}
	n.followTenants(inner)
	for _, err := range n.config.initialList.Skipped {
		n.log.Warn("endpoint entry skipped", "err", err)
	}
	n.post(func() { n.startEndpointSource(inner) })
	time.AfterFunc(maxReadyTime, func() { n.post(n.logMissing) })
	if old != nil && !n.takeOver(ctx, old) {
		besteffort.Close(ln)
		stop()
		<-n.ended
		return nil
	}
	if n.handoffPath != "" {
		if n.lacksPeerSocket() { // the old process has not handed its socket over
			n.listenPeers(inner)
		}
		go n.awaitSuccessor(inner)
	}
	err = n.frontend.serve(ctx, ln)
	leave := n.leaveTenants(inner)
	n.leaveQuotas(inner)
	n.leaveMembership(inner)
	leave()
	stop()
	<-n.ended
	return err
}

var (
	errEnded          = errors.New("the node has ended")
	errUnknownBackend = errors.New("no such backend")
)
