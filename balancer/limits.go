package balancer

// Whether the operators' limits admit a request. The interface is in api.go, the table in table.go.

import (
	"slices"
	"time"
)

// Admit judges a request by all limits that it touches, MostTouched at most: it is admitted when each of them
// has the tokens, and takes them all, or else none. From the leaf to the fleet, the first that lacks them
// refuses, at once. Requests without priority leave the reserve of a limit alone, and so go first when tokens
// get scarce.
func (t *Table) Admit(a Ask, h Hand) Verdict {
	for i := range t.Levels[:min(max(a.Level, 0), len(t.Levels))] {
		if _, refused := slices.BinarySearch(t.Levels[i].Refuse, a.Class); refused {
			return Verdict{Limit: -1, Status: t.Levels[i].Status, RetryAfter: t.Levels[i].Wait}
		}
	}
	parts, n := t.match(&a)
	for _, p := range parts[:n] { // the one furthest in has the last word on priority, and of two the later axis
		if part := &t.Parts[p]; part.Priority != 0 {
			a.Priority = part.Priority > 0
		}
	}
	var at [MostTouched]int
	var amounts [MostTouched]float64
	v, k := Verdict{OK: true}, 0
	for i := n - 1; i >= 0; i-- {
		part := &t.Parts[parts[i]]
		for j := part.First; j < part.First+part.Count; j++ {
			l := &t.Limits[j]
			slot, amount := t.slot(j, a.Key), l.amount(&a)
			if amount <= 0 {
				continue
			}
			if h.Left(slot) < l.needed(amount, a.Priority, h, slot) {
				for i, inner := range at[:k] { // it came to them, too
					h.Refused(inner, amounts[i])
				}
				h.Refused(slot, amount)
				return Verdict{Limit: j, Status: l.Status, RetryAfter: l.Wait}
			}
			at[k], amounts[k] = slot, amount
			if k++; l.Unit == UnitOpen {
				v.Held.limits[v.Held.count] = int16(j)
				v.Held.count++
			}
		}
	}
	for i, slot := range at[:k] {
		h.Take(slot, amounts[i])
	}
	return v
}

// match finds the parts that a request touches, parents before children: of siblings of one axis the one that
// has its word, or else the one for others.
func (t *Table) match(a *Ask) (parts [MostParts]int32, n int) {
	words := [...]string{OfSite: a.Site, OfBook: a.Book, OfClass: a.Class, OfPod: a.Pod}
	n = 1
	for i := 0; i < n; i++ {
		for axis := OfSite; t.axes[parts[i]]>>axis != 0; axis++ {
			if t.axes[parts[i]]>>axis&1 == 0 {
				continue
			}
			child, ok := t.index[partKey{parts[i], axis, words[axis]}]
			if !ok {
				child, ok = t.index[partKey{parts[i], axis, Others}]
			}
			if ok {
				parts[n] = child
				n++
			}
		}
	}
	return parts, n
}

// amount is what a request takes of a limit, in its unit. A request without a key is free of limits by key.
func (l *Limit) amount(a *Ask) float64 {
	switch {
	case l.Unit == UnitWork:
		return float64(a.Cost) / float64(time.Millisecond)
	case l.Unit == UnitRepeats && !a.Repeat, l.Unit == UnitKey && a.Key == "":
		return 0
	}
	return 1
}

// needed is what must be left of a limit for a request to take its amount. All that a node can hold is enough
// for any that it can hold.
func (l *Limit) needed(amount float64, priority bool, h Hand, slot int) float64 {
	if priority || l.Reserve == 0 {
		return amount
	}
	full := h.Full(slot)
	return max(amount, min(amount+l.Reserve*full, full))
}

// slot is a limit's index at the hand: for one by key, that of the key's slot.
func (t *Table) slot(limit int, key string) int {
	if t.slots[limit] == 0 {
		return limit
	}
	hash := uint64(0)
	for i := range len(key) {
		hash = mix(hash ^ uint64(key[i]))
	}
	return int(t.slots[limit]) + int(hash%uint64(t.Limits[limit].Slots))
}
