// Package proxy carries out the decisions of package balancer on real sockets: it takes clients' requests,
// forwards them to endpoints, follows the endpoint list and answers, each request once and in time.
//
// One goroutine, the loop (loop.go), owns the balancer and the requests; all others post functions to it. The
// frontend reads requests and writes responses, the pool owns the connections to endpoints. What is optional
// stands beside them and runs only if the configuration names it: the fleet's membership, the operators'
// policy with its quotas, tenants, and the handoff between an old and a new process.
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

// Server is one load-balancing proxy. Its parts are safe for concurrent use but for loopState.
type Server struct {
	config Config
	log    *slog.Logger
	start  time.Time
	inbox  chan func() // run by the loop, one at a time
	calls  chan func() // the same for operators, ahead of the inbox
	ended  chan struct{}

	pool           *pool
	endpointSource endpointSource
	fencing        *fencing.Guard // of maintenance orders
	startupError   error          // why it can't run; nil: it can
	frontend       *frontend
	stats          *stats
	rawConfig      any // the configuration file last taken, for Reread

	fleetParts
	handoffParts

	loopState
}

// fleetParts are what this proxy has to do with others of its fleet.
type fleetParts struct {
	peers      atomic.Pointer[peerSocket] // nil: there is no socket for other proxies
	identity   identity
	membership atomic.Pointer[gossip.Server] // nil: none, or not yet
	policy     *policyFollower               // nil: no policy is followed
	tenants    *tenantService                // nil: tenants are not distinguished
}

// handoffParts is what this process has to do with earlier and later ones of the same proxy.
type handoffParts struct {
	handoffLinks       handoffLinks
	firstListTimeout   time.Duration // longest wait for the agent's first answer
	handoffListTimeout time.Duration // the same in an upgrade, while the old process serves
	handoffPath        string        // socket at which processes of this proxy meet; empty: none

	// Overlap is called when another process of this proxy begins and ends to share its limits. It may be nil.
	Overlap func(bool)
}

// loopState belongs to the loop alone.
type loopState struct {
	loopContext     context.Context
	balancer        *balancer.Balancer
	endpointIDs     *endpointIDs
	listedEndpoints map[string]balancer.EndpointID
	listKnown       chan struct{}   // closed when discovery has answered
	listKnownOnce   sync.Once       // guards that
	awaitingAgent   bool            // the agent's first answer has not come
	inMaintenance   map[string]bool // names of endpoints
	requests        map[balancer.RequestID]*request
	pendingEvents   []balancer.Event // that followed from actions, to be handled next
}

// New makes a proxy; Run starts it.
func New(config Config, log *slog.Logger) *Server {
	config = config.withoutMembership(log)
	srv := &Server{
		config:    config,
		log:       log,
		start:     time.Now(),
		inbox:     make(chan func(), inboxSize),
		calls:     make(chan func()),
		ended:     make(chan struct{}),
		stats:     newStats(config.Settings.Classes, config.BackendStats),
		rawConfig: config.rawFile,
	}
	srv.firstListTimeout = agentAnswerTimeout
	srv.handoffListTimeout = handoffListTimeout
	srv.loopState = newLoopState(config)

	var err error
	if srv.fencing, err = fencing.Open(config.FencingFolder); err != nil {
		srv.failStart(err)
		srv.fencing, _ = fencing.Open("") // in memory alone, which can't fail
	}
	if srv.startupError == nil {
		if srv.tenants, err = newTenantService(config); err != nil {
			srv.failStart(err)
		}
	}
	descriptors, err := maxDescriptors(config.MaxDescriptors, log)
	if err != nil {
		srv.failStart(err)
	}
	usable := descriptors - reservedDescriptors
	clients := int(clientShare * float64(usable))
	srv.pool = newPool(config.Settings, usable-clients)
	srv.pool.forwards = &srv.stats.forwards
	srv.pool.memory = newMemoryBudget(config.MemoryMB)
	srv.frontend = newFrontend(srv, clients)
	srv.frontend.memory = newMemoryBudget(config.MemoryMB)
	srv.identity = newIdentity(config, clients)
	return srv
}

func newLoopState(config Config) loopState {
	return loopState{
		balancer:        balancer.New(config.Settings, config.Seed),
		endpointIDs:     newEndpointIDs(),
		listedEndpoints: map[string]balancer.EndpointID{},
		listKnown:       make(chan struct{}),
		inMaintenance:   map[string]bool{},
		requests:        map[balancer.RequestID]*request{},
	}
}

// failStart keeps the first error for which Run refuses to start.
func (srv *Server) failStart(err error) {
	if srv.startupError == nil {
		srv.startupError = err
	}
}

// Run serves clients on ln until ctx ends, then finishes what is open.
func (srv *Server) Run(ctx context.Context, ln net.Listener) error {
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	srv.loopContext = inner
	err := srv.startupError
	if err != nil {
		return err
	}
	if srv.endpointSource, err = srv.newEndpointSource(); err != nil {
		return err
	}
	if srv.policy, err = newPolicyFollower(srv.config); err != nil {
		return err
	}
	if srv.handoffPath == "" && srv.lacksPeerSocket() {
		srv.listenPeers(inner)
	}
	go srv.loop(inner)
	srv.followPolicy(inner)
	go srv.pool.run(inner)
	var old *handoffLink
	if srv.handoffPath != "" {
		var err error
		if old, err = srv.requestHandoff(ctx); err != nil {
			srv.log.Warn("no handoff, starting cold", "err", err)
		}
	}
	srv.followTenants(inner)
	for _, err := range srv.config.initialList.Skipped {
		srv.log.Warn("endpoint entry skipped", "err", err)
	}
	srv.post(func() { srv.startEndpointSource(inner) })
	time.AfterFunc(maxReadyTime, func() { srv.post(srv.logMissing) })
	if old != nil && !srv.takeOver(ctx, old) {
		besteffort.Close(ln)
		stop()
		<-srv.ended
		return nil
	}
	if srv.handoffPath != "" {
		if srv.lacksPeerSocket() { // the old process has not handed its socket over
			srv.listenPeers(inner)
		}
		go srv.awaitSuccessor(inner)
	}
	err = srv.frontend.serve(ctx, ln)
	leave := srv.leaveTenants(inner)
	srv.leaveQuotas(inner)
	srv.leaveMembership(inner)
	leave()
	stop()
	<-srv.ended
	return err
}

var (
	errEnded          = errors.New("the node has ended")
	errUnknownBackend = errors.New("no such backend")
)
