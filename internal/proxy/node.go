// Package node carries out the decisions of package decide on real sockets: it
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
	"wrenspread/internal/fencing"
	"wrenspread/internal/membership/gossip"
)

const (
	answerMargin = 10 * time.Millisecond // an answer leaves so long before its client stops waiting
	shortWait    = 50 * time.Millisecond // between two looks at something that ends soon, or after an error that may come again at once
)

// Node is one load-balancing proxy node.
type Node struct {
	cfg   Config
	log   *slog.Logger
	start time.Time
	inbox chan func() // run by the loop, one at a time
	calls chan func() // the same for operators, ahead of the inbox
	ended chan struct{}

	backends *pool
	lists    lists
	fences   *fencing.Guard // of those who order maintenance
	unfit    error          // why it can not run; nil: it can
	front    *frontend
	stats    *stats
	file     any                   // the configuration file last taken; for Reread
	peers    atomic.Pointer[peers] // nil: this node has no socket for them
	own      own
	view     atomic.Pointer[gossip.Server] // of the fleet; nil: there is none, or not yet
	governed *governed                     // nil: no policy is followed
	tenants  *tenants                      // nil: tenants are not told apart
	links    links
	first    time.Duration // the most that the agent's first word is awaited
	listTime time.Duration // the same in an upgrade, in which the old process serves meanwhile
	meeting  string        // where processes of this node meet; empty: nowhere
	Overlap  func(bool)    // told when another process of this node begins and ends to share its limits; may be nil

	// The rest belongs to the loop.
	ctx      context.Context
	module   *balancer.Balancer
	ids      *ids
	listed   map[string]balancer.EndpointID
	told     chan struct{}   // closed when discovery has told the list
	unheard  bool            // the agent's first word is still awaited
	heard    sync.Once       // for that
	banned   map[string]bool // names of servers in maintenance
	requests map[balancer.RequestID]*request
	queue    []balancer.Event // that came of actions, to be handled next
}

// New makes a node; Run starts it.
func New(cfg Config, log *slog.Logger) *Node {
	cfg = cfg.withoutView(log)
	n := &Node{cfg: cfg, log: log, start: time.Now(), inbox: make(chan func(), inboxSize), calls: make(chan func()), told: make(chan struct{}), ended: make(chan struct{}),
		module: balancer.New(cfg.Settings, cfg.Seed), ids: newIDs(), listed: map[string]balancer.EndpointID{}, banned: map[string]bool{},
		requests: map[balancer.RequestID]*request{}, stats: newStats(cfg.Settings.Classes, cfg.BackendStats),
		file: cfg.file, first: firstWord, listTime: listTime}
	if n.fences, n.unfit = fencing.Open(cfg.Fences); n.unfit != nil {
		n.fences, _ = fencing.Open("") // of memory alone, which can't fail
	}
	if n.unfit == nil {
		n.tenants, n.unfit = newTenants(cfg)
	}
	sockets, err := mostSockets(cfg.Sockets, log)
	if n.unfit == nil {
		n.unfit = err
	}
	clients := int(clientPart * float64(sockets-spareSockets))
	n.backends = newPool(cfg.Settings, sockets-spareSockets-clients)
	n.backends.forwards = &n.stats.forwards
	n.front = newFrontend(n, clients)
	n.own = newOwn(cfg, clients)
	n.front.room, n.backends.room = newRoom(cfg.MemoryMB), newRoom(cfg.MemoryMB)
	return n
}

// Run serves clients on ln until ctx ends, then finishes what is open.
func (n *Node) Run(ctx context.Context, ln net.Listener) error {
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	n.ctx = inner
	err := n.unfit
	if err != nil {
		return err
	}
	if n.lists, err = n.newLists(); err != nil {
		return err
	}
	if n.governed, err = newGoverned(n.cfg); err != nil {
		return err
	}
	if n.meeting == "" && n.hears() {
		n.listenPeers(inner)
	}
	go n.loop(inner)
	n.govern(inner)
	go n.backends.run(inner)
	var old *link
	if n.meeting != "" {
		var err error
		if old, err = n.greet(ctx); err != nil {
			n.log.Warn("nothing is taken over", "err", err)
		}
	}
	n.followTenants(inner)
	for _, err := range n.cfg.known.Skipped {
		n.log.Warn("list entry skipped", "err", err)
	}
	n.post(func() { n.beginLists(inner) })
	time.AfterFunc(readyMost, func() { n.post(n.sayWhatLacks) })
	if old != nil && !n.succeed(ctx, old) {
		ln.Close()
		stop()
		<-n.ended
		return nil
	}
	if n.meeting != "" {
		if n.hears() { // the old process has not handed its socket over
			n.listenPeers(inner)
		}
		go n.awaitSuccessor(inner)
	}
	err = n.front.serve(ctx, ln)
	leave := n.leaveTenants(inner)
	n.leaveShares(inner)
	n.leaveView(inner)
	leave()
	stop()
	<-n.ended
	return err
}

var (
	errEnded   = errors.New("the node has ended")
	errUnknown = errors.New("no such backend")
)
