package quota

import "time"

// invariant compares all ledgers at one moment, which finds more violations than the admitted requests show.
// The rates of all proxies together must be within the limit's rate, the capacity of their buckets within its
// burst, and borrowed capacity within the capacity that lenders leave empty.
type invariant struct {
	rate, capacity, borrowed float64 // largest excess of each, as a part of the limit's rate or burst
	deadLoans                []deadLoan
}

// deadLoan is capacity that a process had lent when it died. The capacity stays empty, and counts as lent
// until the loan ends.
type deadLoan struct {
	limit int
	lent  float64
	until time.Duration
}

// checkInvariant updates the largest excess of rates and capacities. It is called every few milliseconds.
func (sim *simulation) checkInvariant() {
	for i := range sim.table.Limits {
		l := &sim.table.Limits[i]
		if l.Burst == 0 {
			continue
		}
		var rate, capacity, lent, borrowed float64
		for _, loan := range sim.invariant.deadLoans {
			if loan.limit == i && sim.now <= loan.until {
				lent += loan.lent
			}
		}
		for _, name := range sim.names {
			p := sim.proxies[name]
			if p.ledger == nil {
				continue
			}
			p.ledger.AdvanceTo(p.clock.at(sim.now))
			bucket := &p.ledger.buckets[i]
			p.ledger.refill(bucket)
			if lent += bucket.lent; p.ledger.hasLeft {
				continue
			}
			share := p.ledger.currentShare(bucket, p.ledger.now)
			rate += share.rate * p.clock.rate
			capacity += bucket.capacity(share)
			borrowed += bucket.borrowed
		}
		sim.invariant.rate = max(sim.invariant.rate, rate/l.Rate-1)
		sim.invariant.capacity = max(sim.invariant.capacity, capacity/l.Burst-1)
		sim.invariant.borrowed = max(sim.invariant.borrowed, (borrowed-lent)/l.Burst)
	}
}

func (sim *simulation) watchInvariant() {
	sim.checkInvariant()
	sim.after(5*time.Millisecond, sim.watchInvariant)
}

// recordLentCapacity records the capacity that a dying process had lent.
func (sim *simulation) recordLentCapacity(p *proxy) {
	if p.ledger == nil {
		return
	}
	for i := range p.ledger.buckets {
		if bucket := &p.ledger.buckets[i]; bucket.lent > 0 {
			remaining := time.Duration(float64(bucket.lentUntil-p.clock.at(sim.now)) / p.clock.rate)
			sim.invariant.deadLoans = append(sim.invariant.deadLoans, deadLoan{i, bucket.lent, sim.now + remaining})
		}
	}
}

func (v *invariant) broken() bool { return max(v.rate, v.capacity, v.borrowed) > 1e-6 }
