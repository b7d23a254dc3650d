// Package proxy carries out the decisions of package balancer on real sockets: it accepts clients' requests,
// forwards them to endpoints, follows the endpoint list, and answers each request once and before its
// deadline.
//
// One goroutine, the loop (loop.go), owns the balancer and the requests; all others post functions to it. The
// frontend reads requests and writes responses, the pool owns the connections to endpoints. The optional
// parts run only if they are configured: the fleet's membership, the operators' policy with its quotas,
// tenants, and the handoff between an old and a new process.
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
	"wrenspread/internal/proxy/memory"
)

const (
	answerMargin = 10 * time.Millisecond // an answer is due this long before its client's deadline
	// shortWait is the pause between two checks of something that ends soon, and after an error that may recur
	// immediately.
	shortWait = 50 * time.Millisecond
)

// Server is a load-balancing proxy. All of its parts except loopState are safe for concurrent use.
type Server struct {
	config Config
	log    *slog.Logger
	start  time.Time
	inbox  chan func()   // functions that the loop runs, one at a time
	calls  chan func()   // functions that the loop runs before those in inbox
	ended  chan struct{} // closed when the loop has ended

	pool           *pool
	memory         *memory.Budget // for clients' work
	process        memory.Process
	executions     *executions
	endpointSource endpointSource
	fencing        *fencing.Guard // rejects maintenance calls with an old fencing token
	startupError   error          // why Run refuses to start; nil: it starts
	frontend       *frontend
	stats          *stats
	rawConfig      any // the configuration file last applied, as decoded JSON; for ReloadFile

	fleetParts
	handoffParts

	loopState
}

// fleetParts are the parts that communicate with the other proxies of the fleet and with the registry.
type fleetParts struct {
	peers      atomic.Pointer[peerSocket] // nil: none, or not open yet
	identity   identity
	membership atomic.Pointer[gossip.Server] // nil: none, or not started yet
	policy     *policyFollower               // nil: no policy is followed
	tenants    *tenantService                // nil: tenants are not distinguished
}

// handoffParts are the parts that communicate with the previous and the next process of this proxy.
type handoffParts struct {
	handoffLinks       handoffLinks
	firstListTimeout   time.Duration // longest wait for the agent's first answer
	handoffListTimeout time.Duration // longest wait for the list in a handoff; the old process serves meanwhile
	handoffPath        string        // socket at which this proxy's processes connect; empty: no handoffs

	// OnMemoryLimit is called with the bytes that the Go runtime may use: when Run starts, when another process
	// of this proxy begins to share its limits, and when none does any more. It may be nil.
	OnMemoryLimit func(goBytes int64)
}

// loopState is the state that only the loop reads and writes, except for loopContext and listKnown: any
// goroutine may wait for these.
type loopState struct {
	loopContext     context.Context
	balancer        *balancer.Balancer
	endpointIDs     *endpointIDs
	listedEndpoints map[string]balancer.EndpointID
	listKnown       chan struct{}   // closed when discovery has answered
	listKnownOnce   sync.Once       // closes listKnown
	awaitingAgent   bool            // the agent's first answer has not come yet
	inMaintenance   map[string]bool // by endpoint name
	requests        map[balancer.RequestID]*request
	pendingEvents   []balancer.Event // the event being handled, and those that its actions caused
}

// New makes a proxy; Run starts it and reports errors found by New.
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

		executions: newExecutions(),
	}
	srv.firstListTimeout = agentAnswerTimeout
	srv.handoffListTimeout = handoffListTimeout
	srv.loopState = newLoopState(config)

	var err error
	if srv.fencing, err = fencing.Open(config.FencingFolder); err != nil {
		srv.failStart(err)
		srv.fencing, _ = fencing.Open("") // can't fail, as it keeps the tokens in memory only
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
	maxClients := int(clientShare * float64(usable))
	srv.pool = newPool(config.Settings, usable-maxClients)
	srv.pool.forwards = &srv.stats.forwards
	srv.process = memory.Process{MemoryMB: config.MemoryMB}
	srv.memory = memory.NewBudget(srv.process.Limits(false).Budget)
	srv.frontend = newFrontend(srv, maxClients)
	srv.identity = newIdentity(config, maxClients)
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

// failStart records the error for which Run refuses to start; a later error is dropped.
func (srv *Server) failStart(err error) {
	if srv.startupError == nil {
		srv.startupError = err
	}
}

// Run serves clients on ln until ctx ends or a new process has taken over, then finishes the open requests
// and leaves the fleet. It returns nil after an orderly end.
func (srv *Server) Run(ctx context.Context, ln net.Listener) error {
	loopContext, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	srv.loopContext = loopContext
	srv.limitMemory(false)
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
		srv.listenPeers(loopContext)
	}
	go srv.loop(loopContext)
	srv.followPolicy(loopContext)
	go srv.pool.run(loopContext)
	var previous *handoffLink
	if srv.handoffPath != "" {
		var err error
		if previous, err = srv.requestHandoff(ctx); err != nil {
			srv.log.Warn("handoff failed, starting without the previous process's state", "err", err)
		}
	}
	srv.followTenants(loopContext)
	for _, err := range srv.config.initialList.Skipped {
		srv.log.Warn("endpoint entry skipped", "err", err)
	}
	srv.post(func() { srv.startEndpointSource(loopContext) })
	time.AfterFunc(maxReadyTime, func() { srv.post(srv.logMissing) })
	if previous != nil && !srv.takeOver(ctx, previous) {
		besteffort.Close(ln)
		stop()
		<-srv.ended
		return nil
	}
	if srv.handoffPath != "" {
		if srv.lacksPeerSocket() { // the old process has handed over no socket
			srv.listenPeers(loopContext)
		}
		go srv.awaitSuccessor(loopContext)
	}
	err = srv.frontend.serve(ctx, ln)
	waitTenantsLeft := srv.leaveTenants(loopContext)
	srv.leaveQuotas(loopContext)
	srv.leaveMembership(loopContext)
	waitTenantsLeft()
	srv.frontend.finish(loopContext)
	stop()
	<-srv.ended
	return err
}

var (
	errEnded          = errors.New("the node has ended")
	errUnknownBackend = errors.New("no such backend")
)
