package quota

import (
	"cmp"
	"slices"
	"time"

	"wrenspread/ratelimit"
)

// allocate divides a limit's budget among the members that want it.
func (a *Allocator) allocate(i int32, budget float64, needs map[need]flow) {
	l := &a.limits.all[i]
	var in []*memberShare
	s := a.allocation(i)
	a.renewSum(i, s)
	left := s.sum.all
	for _, e := range s.shares {
		e.goal = size{}
		if e.demand > 0 {
			in = append(in, e)
			left = size{left.rate - e.counted.rate, left.burst - e.counted.burst}
		}
	}
	free := size{max(min(budget, l.rate-left.rate), 0), max(l.burst-left.burst, 0)}
	wants := a.usableBy(i, in, needs)
	if l.concurrency {
		a.allocateConcurrency(i, free.rate, in, wants)
	} else {
		a.allocateRate(i, free, in, wants)
	}
	if l.parent < 0 {
		return
	}
	for _, e := range in {
		at := need{l.parent, l.attribute, e.member}
		f := needs[at]
		needs[at] = flow{f.wants + e.demand, f.gets + min(e.demand, e.goal.rate)}
	}
}

// usableBy is how much each member can use: of an outer limit, what its inner ones get, and what comes past
// them.
func (a *Allocator) usableBy(i int32, in []*memberShare, needs map[need]flow) []float64 {
	out := make([]float64, len(in))
	for n, e := range in {
		var most flow
		for axis := ratelimit.AttributeFleet; axis <= ratelimit.AttributeCell; axis++ {
			f := needs[need{i, axis, e.member}]
			most = flow{max(most.wants, f.wants), max(most.gets, f.gets)}
		}
		out[n] = max(most.gets+max(e.demand-most.wants, 0), minDemand)
	}
	return out
}

// allocateRate divides rate by max-min, what nobody wants by want, and the bucket's capacity by rate. Where
// there is not a whole token's capacity for each, some have all, in turn: a bucket that can't hold a token
// never admits.
func (a *Allocator) allocateRate(i int32, free size, in []*memberShare, wants []float64) {
	whole := int(min(free.burst, float64(len(in))))
	if whole < len(in) {
		in, wants = a.chooseInTurn(i, in, wants, whole)
	}
	if len(in) == 0 {
		return
	}
	rates := share(free.rate, wants)
	rest := free.burst
	for n, e := range in {
		e.goal = size{rates[n], max(1, a.fallback(e.member, i).burst)}
		rest -= e.goal.burst
	}
	all := total(rates)
	for _, e := range in {
		if rest > 0 && all > 0 {
			e.goal.burst += float64(uint64(rest * e.goal.rate / all))
		}
	}
}

// allocateConcurrency divides what may be open at once: whole requests.
func (a *Allocator) allocateConcurrency(i int32, free float64, in []*memberShare, wants []float64) {
	whole := int(min(free, float64(len(in))))
	if whole < len(in) {
		in, wants = a.chooseInTurn(i, in, wants, whole)
	}
	if len(in) == 0 {
		return
	}
	for n, more := range share(free-float64(len(in)), wants) {
		in[n].goal.rate = 1 + float64(uint64(more))
	}
}

func share(budget float64, wants []float64) []float64 {
	even := slices.Repeat([]float64{1}, len(wants))
	out := fair(budget, wants, even)
	if spare := budget - total(out); spare > 0 {
		all := total(wants)
		for n := range out {
			out[n] += spare * wants[n] / all
		}
	}
	return out
}

// turnLength is how long a member keeps its turn at a limit that has fewer whole tokens than members want it.
func turnLength(rate float64) time.Duration {
	return max(2*time.Second, time.Duration(min(4/max(rate, 1e-3), 60)*float64(time.Second)))
}

// chooseInTurn chooses by a hash of name and time, so that who comes and goes moves nobody else.
func (a *Allocator) chooseInTurn(
	i int32,
	in []*memberShare,
	wants []float64,
	whole int,
) ([]*memberShare, []float64) {
	l := &a.limits.all[i]
	now := uint64(a.now / turnLength(l.rate))
	order := make([]int, len(in))
	luck := make([]uint64, len(in))
	for n, e := range in {
		order[n], luck[n] = n, mix(l.hash, now, e.member.name)
	}
	slices.SortFunc(order, func(x, y int) int { return cmp.Compare(luck[x], luck[y]) })
	order = order[:whole]
	slices.Sort(order)
	var chosen []*memberShare
	var some []float64
	for _, n := range order {
		chosen, some = append(chosen, in[n]), append(some, wants[n])
	}
	return chosen, some
}
