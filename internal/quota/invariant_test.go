package quota

import "time"

// invariant looks at all ledgers at one moment, which finds more than what clients happened to get: rates of
// all proxies together within the limit's, room within its burst, and no room got that nobody keeps empty for
// it.
type invariant struct {
	rate, room, got float64 // the most that each was over, as parts of the rate and the burst
	ghosts          []ghost
}

// ghost is room that a process which has died keeps empty: nobody fills it.
type ghost struct {
	limit int
	lent  float64
	until time.Duration
}

// look is called every few milliseconds.
func (w *world) look() {
	for i := range w.table.Limits {
		l := &w.table.Limits[i]
		if l.Burst == 0 {
			continue
		}
		var rate, room, lent, got float64
		for _, g := range w.inv.ghosts {
			if g.limit == i && w.now <= g.until {
				lent += g.lent
			}
		}
		for _, name := range w.names {
			n := w.nodes[name]
			if n.led == nil {
				continue
			}
			n.led.AdvanceTo(n.clock.at(w.now))
			s := &n.led.buckets[i]
			n.led.refill(s)
			if lent += s.lent; n.led.hasLeft {
				continue
			}
			share := n.led.currentShare(s, n.led.now)
			rate += share.rate * n.clock.rate
			room += s.capacity(share)
			got += s.borrowed
		}
		w.inv.rate = max(w.inv.rate, rate/l.Rate-1)
		w.inv.room = max(w.inv.room, room/l.Burst-1)
		w.inv.got = max(w.inv.got, (got-lent)/l.Burst)
	}
}

func (w *world) watchInvariant() {
	w.look()
	w.after(5*time.Millisecond, w.watchInvariant)
}

// mourn keeps what a dying process had lent.
func (w *world) mourn(n *node) {
	if n.led == nil {
		return
	}
	for i := range n.led.buckets {
		if s := &n.led.buckets[i]; s.lent > 0 {
			left := time.Duration(float64(s.lentUntil-n.clock.at(w.now)) / n.clock.rate)
			w.inv.ghosts = append(w.inv.ghosts, ghost{i, s.lent, w.now + left})
		}
	}
}

func (v *invariant) broken() bool { return max(v.rate, v.room, v.got) > 1e-6 }
