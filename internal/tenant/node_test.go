package tenant

import (
	"fmt"
	"time"
)

// proxy is a process with the real Desk, and a shell as the proxy's would be.
type node struct {
	w       *world
	name    string
	rate    float64
	desk    *Cache
	cat     *Catalogue
	dead    bool
	cutOff  bool
	asleep  time.Duration // until then nothing of it runs
	ticked  bool          // since it woke
	id      string        // of its session
	calling bool
	reading bool
	again   bool
	word    *Status
	table   int64 // policy version that it has; -1 while it takes none
	open    map[string]int
	left    bool
	mute    bool // of a mutation: its session's first word comes late
}

func (w *world) start(name string) *node {
	n := &node{w: w, name: name, rate: 1 + (w.Float64()-0.5)/1000, open: map[string]int{}, ticked: true}
	hold := time.Duration(0)
	if name == "n0" || name == "n3" {
		hold = 3 * ttl
	}
	n.desk = NewCache(uint64(w.now)+1+uint64(len(w.nodes)), hold, w.tree && len(w.nodes)%3 != 1)
	n.desk.idleTimeout = 1500 * time.Millisecond
	if w.broken["no hold"] {
		n.desk.maxStaleness = 0
	}
	n.cat = n.desk.buildCatalogue()
	w.nodes = append(w.nodes, n)
	n.every(100*time.Millisecond, n.tick)
	n.every(ttl/4, n.renew)
	n.every(400*time.Millisecond, n.fetch)
	n.every(300*time.Millisecond, n.gossip)
	return n
}

func (n *node) clock() time.Duration { return time.Duration(float64(n.w.now) * n.rate) }
func (n *node) cut() bool            { return n.cutOff || n.dead }

// wake runs something at the proxy, once it runs.
func (n *node) wake(do func()) {
	switch {
	case n.dead:
	case n.asleep > n.w.now:
		n.w.after(n.asleep-n.w.now, func() { n.wake(do) })
	default:
		do()
	}
}

func (n *node) every(d time.Duration, do func()) {
	n.w.after(time.Duration(n.w.Int64N(int64(d))), func() {
		n.wake(func() {
			do()
			n.every(d, do)
		})
	})
}

func (n *node) call(serve func(), answered func(ok bool)) {
	n.w.call(n.cut, serve, func(ok bool) { n.wake(func() { answered(ok) }) })
}

func (n *node) tick() {
	n.ticked = true
	if v := int64(n.w.policy.Version); n.table < v && n.w.IntN(10) == 0 {
		n.table = v
		if n.w.broken["no quota"] {
			v = 1 << 40
		}
		n.handle(PolicyChanged{PolicyTable{uint64(v), func(limit string) bool { return inTable(limit, v) }}})
	}
	busy := n.desk.openRequests
	if n.w.broken["open let go"] {
		n.desk.openRequests = map[string]int{}
		n.desk.evictIdle(n.clock())
	}
	n.desk.openRequests = busy
	n.handle(Tick{})
}

func (n *node) handle(event any) {
	for _, a := range n.desk.Handle(n.clock(), event) {
		switch a := a.(type) {
		case SwapCatalogue:
			c := *a.Catalogue
			n.cat = &c
			n.cat.complete = n.cat.complete || n.w.broken["no without its part"]
			if n.w.broken["stale no"] {
				n.cat.authorityUntil, n.cat.authoritative, n.cat.behind = 1<<60, true, false
			}
			n.cat.ready = n.cat.ready || n.w.broken["not enrolled"] && n.cat.number > 0
		case TellStatus:
			n.word = &a.Status
			n.w.checkWord(n, a.Status)
			if n.name == "n0" && n.w.broken["no hold"] {
				n.word.MaxStaleness = 3 * ttl
			}
			n.tell()
		case ReadCatalogue:
			n.fetch()
		case CutRequests:
			n.w.checkCut(n, a.Tenant)
			if !n.w.broken["no cut"] {
				for range n.open[a.Tenant] {
					n.over(a.Tenant)
				}
			}
		}
	}
}

// over ends one request of a tenant.
func (n *node) over(name string) {
	n.open[name]--
	n.w.after(0, func() { n.wake(func() { n.handle(RequestEnded{name}) }) })
}

func (n *node) renew() {
	if n.calling || n.left {
		return
	}
	n.calling = true
	id, sent, known := n.id, n.clock(), false
	if id == "" {
		n.w.asked++
		id = fmt.Sprint(n.name, "-", n.w.asked)
		word := n.desk.Status()
		n.call(func() {
			n.w.sessions[id] = &session{n.name, &word, n.w.now + ttl}
			if n.w.broken["mute opening"] {
				n.w.sessions[id].word = nil
			}
		}, func(ok bool) {
			if n.calling = false; ok {
				n.id = id
				n.handle(SessionOpened{sent, ttl})
			}
		})
		return
	}
	n.call(func() {
		if s := n.w.sessions[id]; s != nil {
			known, s.at = true, n.w.now+ttl
		}
	}, func(ok bool) {
		if n.calling = false; !ok {
			return
		}
		if !known {
			n.id = ""
		}
		n.handle(SessionRenewed{sent, known})
		if n.w.broken["right mends"] && known {
			n.desk.authoritative, n.cat.authoritative = true, true
		}
	})
}

// tell repeats the word until the session has it. It may open the session anew, as the service's call does.
func (n *node) tell() {
	word, id := n.word, n.id
	if word == nil || id == "" {
		return
	}
	if s := n.w.sessions[id]; n.w.broken["mute opening"] && s != nil && s.word == nil && !n.mute {
		n.mute = true
		n.w.after(1500*time.Millisecond, func() { n.wake(n.tell) })
		return
	}
	n.mute = false
	n.call(func() {
		if n.w.sessions[id] == nil {
			n.w.sessions[id] = &session{node: n.name, at: n.w.now + ttl}
		}
		n.w.sessions[id].word = word
	}, func(ok bool) {
		if n.word != word || n.id != id {
			return
		}
		if ok {
			n.left = word.Left
		} else {
			n.tell()
		}
	})
}

func (n *node) fetch() {
	if n.reading || n.left {
		n.again = true
		return
	}
	n.reading, n.again = true, false
	began, enrolled, want := n.clock(), false, n.desk.Wanted()
	n.call(func() {
		for _, m := range n.w.book().Members {
			enrolled = enrolled || m == n.desk.Member(n.name) || n.w.broken["no hold"] && m.Name == n.name
		}
	}, func(ok bool) {
		if !ok {
			n.reading = false
			return
		}
		var image *Snapshot
		n.call(func() { image = n.w.read(want) }, func(ok bool) {
			if n.reading = false; ok {
				if image != nil {
					image = n.mutated(image)
				}
				n.handle(CatalogueRead{began, enrolled, image})
			}
			if n.again {
				n.fetch()
			}
		})
	})
}

func (n *node) gossip() {
	peer := n.w.nodes[n.w.IntN(len(n.w.nodes))]
	if peer != n && !peer.dead && peer.asleep <= n.w.now && n.w.IntN(3) > 0 {
		n.handle(PeerHasCatalogue{peer.cat.number})
	}
}
