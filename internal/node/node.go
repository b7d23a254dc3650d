// Package node carries out the decisions of package decide on real sockets: it
// takes clients' requests, sends them to servers, follows the list of servers
// and answers, each request once and in time.
package node

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"math"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"indigotack/decide"
	"indigotack/internal/fence"
	"indigotack/internal/list"
	"indigotack/internal/pause"
)

const (
	inboxSize    = 1024
	answerMargin = 10 * time.Millisecond // an answer leaves so long before its client stops waiting
	guardDelay   = 4 * time.Millisecond  // after which the node itself ends what the module has not ended
	uploadMost   = time.Hour             // for a long request to come, at half of the slowest rate and with long waits
	spareSockets = 48                    // descriptors for discovery, operators, listeners and runtime
	clientPart   = 0.5                   // of the other descriptors
	peersAgain   = time.Second           // between two tries to open the socket for other nodes
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
	fences   *fence.Guard // of those who order maintenance
	unfit    error        // why it can not run; nil: it can
	front    *frontend
	stats    *stats
	file     any                   // the configuration file last taken; for Reread
	peers    atomic.Pointer[peers] // nil: this node has no socket for them
	links    links
	meeting  string     // where processes of this node meet; empty: nowhere
	Overlap  func(bool) // told when another process of this node begins and ends to share its limits; may be nil

	// The rest belongs to the loop.
	ctx      context.Context
	module   *decide.Module
	ids      *ids
	listed   map[string]decide.ServerID
	told     chan struct{}   // closed when discovery has told the list
	heard    sync.Once       // for that
	banned   map[string]bool // names of servers in maintenance
	requests map[decide.RequestID]*request
	queue    []decide.Event // that came of actions, to be handled next
}

// request is a client's request until it is answered and its attempts have ended.
type request struct {
	id        decide.RequestID
	class     string
	out       *outbound
	deadline  time.Time
	answer    chan answer // takes the one final answer
	done      bool
	attempts  []context.CancelFunc
	running   int
	guard     *time.Timer
	leaveRoom func() // gives back what its body has taken; may be nil
}

// answer is a final answer to a client.
type answer struct {
	status  int
	holdOff time.Duration // of a refusal; 0: no advice
	header  http.Header
	body    []byte
	stream  *stream // instead of the body, if it is long
}

// New makes a node; Run starts it.
func New(cfg Config, log *slog.Logger) *Node {
	n := &Node{cfg: cfg, log: log, start: time.Now(), inbox: make(chan func(), inboxSize), calls: make(chan func()), told: make(chan struct{}), ended: make(chan struct{}),
		module: decide.New(cfg.Settings, cfg.Seed), ids: newIDs(), listed: map[string]decide.ServerID{}, banned: map[string]bool{},
		requests: map[decide.RequestID]*request{}, stats: newStats(cfg.Settings.Classes, cfg.BackendStats),
		file: cfg.file}
	if n.fences, n.unfit = fence.Open(cfg.Fences); n.unfit != nil {
		n.fences, _ = fence.Open("") // of memory alone, which can't fail
	}
	clients := int(clientPart * float64(cfg.Sockets-spareSockets))
	n.backends = newPool(cfg.Settings, cfg.Sockets-spareSockets-clients)
	n.backends.forwards = &n.stats.forwards
	n.front = newFrontend(n, clients)
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
	if n.meeting == "" && n.hears() {
		n.listenPeers(inner)
	}
	go n.loop(inner)
	go n.backends.run(inner)
	var old *link
	if n.meeting != "" {
		var err error
		if old, err = n.greet(ctx); err != nil {
			n.log.Warn("nothing is taken over", "err", err)
		}
	}
	for _, err := range n.cfg.known.Odd {
		n.log.Warn("list entry skipped", "err", err)
	}
	n.post(func() { n.follow(n.cfg.known, decide.ListCached) })
	if !n.cfg.Settings.AskForList {
		n.post(func() { n.lists.Follow(inner, old != nil) })
	}
	if old != nil {
		n.succeed(ctx, old)
	}
	if n.meeting != "" {
		if n.hears() { // the old process has not handed its socket over
			n.listenPeers(inner)
		}
		go n.awaitSuccessor(inner)
	}
	err = n.front.serve(ctx, ln)
	stop()
	<-n.ended
	return err
}

// hears tells whether this node still lacks a socket that it ought to have.
func (n *Node) hears() bool {
	return n.cfg.PeerListen != "" && len(n.cfg.Peers) > 0 && n.peers.Load() == nil
}

// listenPeers opens the socket for other nodes' messages. If it can't be had,
// clients are served all the same, and it is tried again.
func (n *Node) listenPeers(ctx context.Context) {
	p, err := listenPeers(n.cfg.PeerListen, n.cfg.Peers, n.log)
	if err == nil {
		n.startPeers(p)
		return
	}
	n.log.Error("nothing is heard from other nodes, trying again", "err", err)
	go func() {
		for pause.For(ctx, peersAgain) {
			if p, err := listenPeers(n.cfg.PeerListen, n.cfg.Peers, n.log); err == nil {
				n.startPeers(p)
				return
			}
		}
	}()
}

func (n *Node) startPeers(p *peers) {
	n.peers.Store(p)
	go p.run(n.ctx, func(from int, data []byte) {
		n.post(func() { n.handle(decide.MessageReceived{From: from, Data: data}) })
	})
}

// loop is the one owner of the module and the requests.
func (n *Node) loop(ctx context.Context) {
	defer close(n.ended)
	for {
		select {
		case f := <-n.calls:
			f()
			continue
		default:
		}
		select {
		case f := <-n.calls:
			f()
		case f := <-n.inbox:
			f()
		case <-ctx.Done():
			return
		}
	}
}

// maintain puts a server into maintenance or takes it out. It returns when that
// is in force for all later sends.
func (n *Node) maintain(ctx context.Context, name string, on bool) error {
	ctx, cancel := context.WithTimeout(ctx, maintainTime)
	defer cancel()
	done := make(chan error, 1)
	select {
	case n.calls <- func() {
		if _, listed := n.listed[name]; !listed && !n.banned[name] {
			done <- errUnknown
			return
		}
		n.setMaintenance(name, on)
		done <- nil
	}:
	case <-n.ended:
		return errEnded
	case <-ctx.Done():
		return ctx.Err()
	}
	err := <-done // the loop has it in hand
	if err == nil {
		n.forward(nil, name, on)
	}
	return err
}

var (
	errEnded   = errors.New("the node has ended")
	errUnknown = errors.New("no such backend")
)

func (n *Node) setMaintenance(name string, on bool) {
	n.log.Info("maintenance", "backend", name, "on", on)
	id := n.ids.of(name)
	n.backends.hold(id, on)
	n.handle(decide.Maintenance{Server: id, On: on})
	if delete(n.banned, name); on {
		n.banned[name] = true
	} else if _, listed := n.listed[name]; !listed {
		n.ids.forget(name)
	}
}

// post has f run by the loop; once that has ended it does nothing.
func (n *Node) post(f func()) {
	select {
	case n.inbox <- f:
	case <-n.ended:
	}
}

// now is the module's clock: wall time at the start plus what has passed, so
// that it reads like the list's times and never steps back.
func (n *Node) now() decide.Time {
	return time.Duration(n.start.UnixNano()) + time.Since(n.start)
}

// handle tells the module of an event and carries out what it decides, in order.
func (n *Node) handle(e decide.Event) {
	n.queue = append(n.queue, e)
	if len(n.queue) > 1 {
		return // the call further up gets to it
	}
	for len(n.queue) > 0 {
		for _, a := range n.module.Handle(n.now(), n.queue[0]) {
			n.act(a)
		}
		n.queue = n.queue[1:]
	}
	n.queue = nil
	switch e.(type) {
	case decide.TimerFired, decide.Maintenance, decide.ListUpdate: // often enough for a figure
		n.stats.ejected.Store(int64(n.module.Ejected()))
	}
}

func (n *Node) act(a decide.Action) {
	switch a := a.(type) {
	case decide.Send:
		n.send(a)
	case decide.Refuse:
		n.finish(a.ID, answer{status: cmp.Or(a.Status, http.StatusServiceUnavailable), holdOff: a.HoldOff})
	case decide.Fail:
		n.finish(a.ID, answer{status: http.StatusBadGateway})
	case decide.CancelAttempt:
		if r := n.requests[a.ID]; r != nil && a.Attempt >= 0 && a.Attempt < len(r.attempts) {
			r.attempts[a.Attempt]()
		}
	case decide.SetTimer:
		time.AfterFunc(a.After, func() { n.post(func() { n.handle(decide.TimerFired{Token: a.Token}) }) })
	case decide.CloseIdle:
		n.backends.closeIdle(a.Server)
	case decide.SendMessage:
		n.message(a)
	case decide.Subscribe:
		n.lists.Ask(n.ctx, false, a.On)
	case decide.FetchList:
		n.lists.Ask(n.ctx, true, n.cfg.Settings.AskForList)
	case decide.Log:
		n.log.Info("module: " + a.Line)
	default:
		n.log.Warn("action not carried out", "action", a)
	}
}

// message passes a message on to one node, or to all others.
func (n *Node) message(a decide.SendMessage) {
	if !a.ToAll {
		n.peers.Load().send(a.To, a.Data)
		return
	}
	for to := range n.cfg.Peers {
		if to != n.cfg.Settings.Self {
			n.peers.Load().send(to, a.Data)
		}
	}
}

// open takes a client's request and tells the module of it. The answer comes
// on r.answer.
func (n *Node) open(r *request, e decide.RequestArrived) {
	if n.requests[r.id] != nil {
		// Two under one id would get each other's answers.
		r.done = true
		r.answer <- answer{status: http.StatusConflict}
		return
	}
	if most := n.cfg.Settings.MaxOpen; most > 0 && len(n.requests) >= most {
		r.done = true
		r.answer <- answer{status: http.StatusServiceUnavailable}
		return
	}
	n.requests[r.id] = r
	if r.out.rest != nil {
		e.Coming, e.Patience = true, r.out.rest.wait
		r.guard = time.AfterFunc(uploadMost, func() {}) // its time has not begun
		n.handle(e)
		return
	}
	e.Patience = time.Until(r.deadline)
	n.keepTime(r, e.Patience)
	n.handle(e)
}

// whole begins the time of a request whose last byte has gone out just now.
func (n *Node) whole(r *request, wait time.Duration) {
	if r.done {
		return
	}
	r.out.rest.take(&n.stats.outstanding)
	r.deadline = time.Now().Add(wait)
	r.guard.Stop()
	n.keepTime(r, wait)
	n.handle(decide.RequestWhole{ID: r.id, Patience: wait})
}

// keepTime guards a request's deadline.
func (n *Node) keepTime(r *request, patience time.Duration) {
	// The module ends a request at its deadline. The guard is for one that it
	// does not end, as an answer in time is owed whatever it does.
	r.guard = time.AfterFunc(patience+guardDelay, func() {
		n.post(func() {
			if !r.done {
				n.finish(r.id, answer{status: http.StatusGatewayTimeout})
				for _, cancel := range r.attempts {
					cancel() // a module that lost the request does not call them off
				}
				n.handle(decide.RequestAbandoned{ID: r.id})
			}
		})
	})
}

// abandon ends a request whose client has gone.
func (n *Node) abandon(r *request) {
	if !r.done {
		n.close(r)
		n.handle(decide.RequestAbandoned{ID: r.id})
		return
	}
	select {
	case a := <-r.answer: // it came too late
		if a.stream != nil {
			a.stream.ended <- errClientGone
		}
	default:
	}
}

// finish gives a request its final answer. All answers pass here, and only
// the first goes on.
func (n *Node) finish(id decide.RequestID, a answer) {
	if r := n.requests[id]; r != nil && !r.done {
		r.answer <- a
		n.close(r)
	}
}

func (n *Node) close(r *request) {
	r.done = true
	r.guard.Stop()
	n.forget(r)
}

func (n *Node) forget(r *request) {
	if r.done && r.running == 0 {
		delete(n.requests, r.id)
	}
}

func (n *Node) send(a decide.Send) {
	r := n.requests[a.ID]
	if r == nil {
		n.log.Error("the module sends a request that is not open", "id", a.ID)
		return
	}
	number := len(r.attempts)
	left := time.Until(r.deadline)
	if r.out.rest != nil {
		left = uploadMost // how fast it must come is another matter
	} else if a.Timeout != 0 {
		left = min(left, a.Timeout)
	}
	ctx, cancel := context.WithTimeout(n.ctx, left)
	r.attempts = append(r.attempts, cancel)
	if r.done || r.running > 0 && !n.cfg.Settings.MayOverlap {
		cancel()
		n.queue = append(n.queue, decide.AttemptEnded{ID: r.id, Attempt: number, Server: a.Server, Over: r.done, Code: decide.Moot})
		return
	}
	r.running++
	began := time.Now()
	go func() {
		defer cancel()
		res := n.backends.attempt(ctx, a.Server, r.out, func(res result) error {
			return n.passOn(r, number, a.Server, time.Since(n.startOf(r, began)), res)
		})
		took := time.Since(n.startOf(r, began))
		n.post(func() { n.attemptEnded(r, number, a.Server, took, res) })
	}()
}

// startOf is when a server could begin on a request: at its last byte.
func (n *Node) startOf(r *request, began time.Time) time.Time {
	if r.out.rest != nil {
		if at := r.out.rest.wholeAt.Load(); at != 0 {
			return time.Unix(0, at)
		}
	}
	return began
}

// passOn gives a long answer to its request, and returns when that is over.
func (n *Node) passOn(r *request, number int, server decide.ServerID, took time.Duration, res result) error {
	n.post(func() {
		if r.done {
			res.stream.ended <- errClientGone
			return
		}
		n.handle(decide.StreamStarted{ID: r.id, Attempt: number, Server: server, Elapsed: took})
		n.finish(r.id, answer{status: http.StatusOK, header: res.header, stream: res.stream})
	})
	select {
	case err := <-res.stream.ended:
		return err
	case <-n.ended:
		return errEnded
	}
}

func (n *Node) attemptEnded(r *request, number int, server decide.ServerID, took time.Duration, res result) {
	r.running--
	if res.code == decide.OK {
		n.finish(r.id, answer{status: http.StatusOK, header: res.header, body: res.body})
	}
	if n.cfg.BackendStats {
		n.stats.attempt(n.ids.byID[server], res.code, took > n.aim(r.class))
	}
	over := r.done
	n.handle(decide.AttemptEnded{ID: r.id, Attempt: number, Server: server, Over: over, Spent: res.spent, Elapsed: took,
		Code: res.code, Report: res.report})
	n.forget(r)
}

// aim is the time in which an answer of a class has its full worth; without a class, any.
func (n *Node) aim(class string) time.Duration {
	for _, c := range n.cfg.Settings.Classes {
		if c.Name == class {
			return c.Aim
		}
	}
	return math.MaxInt64
}

// follow takes a list from discovery: addresses for the sockets, the rest for
// the module.
func (n *Node) follow(l list.Answer, kind decide.ListKind) {
	entries := slices.Clone(l.Endpoints)
	// In one order whatever the list's, as the numbers of names that share a
	// hash depend on it.
	slices.SortFunc(entries, func(a, b list.Entry) int { return strings.Compare(a.Name, b.Name) })
	u := decide.ListUpdate{Kind: kind, Version: l.Index}
	missing := map[string]bool{}
	if kind != decide.ListChanges {
		for name := range n.listed {
			missing[name] = true
		}
	}
	for _, e := range entries {
		id, state := n.ids.of(e.Name), states[e.Status]
		u.Entries = append(u.Entries, decide.Server{ID: id, Zone: e.Zone, Kind: e.Type, Cell: e.Group, State: state,
			Size: e.Weight, StartedAt: time.Duration(e.SinceMS) * time.Millisecond})
		if missing[e.Name] = state == decide.Gone; state != decide.Gone {
			n.listed[e.Name] = id
			n.backends.set(id, e.Address, e.SinceMS)
		}
	}
	n.handle(u)
	for name, gone := range missing {
		if gone {
			n.backends.remove(n.ids.of(name))
			if delete(n.listed, name); !n.banned[name] {
				n.ids.forget(name)
				n.stats.forget(name)
			}
		}
	}
	if kind != decide.ListCached {
		n.heard.Do(func() { close(n.told) })
	}
	n.stats.discovered.Store(int64(len(n.listed)))
	n.front.ready.Store(len(n.listed) > 0)
}
