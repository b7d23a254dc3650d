package quota

import "time"

// invariant compares all ledgers at one moment, which finds more violations than the admitted requests show:
// the rates of all proxies together are within the limit's rate, the capacity of their buckets is within its
// burst, and borrowed capacity is within the capacity that lenders leave empty.
type invariant struct {
	rate, capacity, borrowed float64 // largest excess of each, as a part of the limit's rate or burst
	deadLoans                []deadLoan
}

// deadLoan is capacity that a process had lent when it died. It stays empty, and counts as lent until its
// end.
type deadLoan struct {
	limit int
	lent  float64
	until time.Duration
}

// checkInvariant updates the largest excess of rates and capacities. It is called every few milliseconds.
func (w *simulation) checkInvariant() {
	for i := range w.table.Limits {
		l := &w.table.Limits[i]
		if l.Burst == 0 {
			continue
		}
		var rate, capacity, lent, borrowed float64
		for _, g := range w.invariant.deadLoans {
			if g.limit == i && w.now <= g.until {
				lent += g.lent
			}
		}
		for _, name := range w.names {
			n := w.proxies[name]
			if n.ledger == nil {
				continue
			}
			n.ledger.AdvanceTo(n.clock.at(w.now))
			bucket := &n.ledger.buckets[i]
			n.ledger.refill(bucket)
			if lent += bucket.lent; n.ledger.hasLeft {
				continue
			}
			share := n.ledger.currentShare(bucket, n.ledger.now)
			rate += share.rate * n.clock.rate
			capacity += bucket.capacity(share)
			borrowed += bucket.borrowed
		}
		w.invariant.rate = max(w.invariant.rate, rate/l.Rate-1)
		w.invariant.capacity = max(w.invariant.capacity, capacity/l.Burst-1)
		w.invariant.borrowed = max(w.invariant.borrowed, (borrowed-lent)/l.Burst)
	}
}

func (w *simulation) watchInvariant() {
	w.checkInvariant()
	w.after(5*time.Millisecond, w.watchInvariant)
}

// recordLentCapacity records the capacity that a dying process had lent.
func (w *simulation) recordLentCapacity(n *proxy) {
	if n.ledger == nil {
		return
	}
	for i := range n.ledger.buckets {
		if bucket := &n.ledger.buckets[i]; bucket.lent > 0 {
			remaining := time.Duration(float64(bucket.lentUntil-n.clock.at(w.now)) / n.clock.rate)
			w.invariant.deadLoans = append(w.invariant.deadLoans, deadLoan{i, bucket.lent, w.now + remaining})
		}
	}
}

func (v *invariant) broken() bool { return max(v.rate, v.capacity, v.borrowed) > 1e-6 }
