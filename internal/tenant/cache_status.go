package tenant

import (
	"time"
)

// A status is reported again so often while a tenant moves: an earlier one that was long on its way may have
// come to the registry after it.
const tellInterval = 5 * time.Second

// isDeparting reports whether the requests in flight of an entry are to end.
func (e *Entry) isDeparting() bool {
	return e.Phase == PhaseDrain || e.Phase == PhaseHold && e.Next == nil
}

// cutDeparting ends what has had its time: of a tenant that drains; of one that is about to, where this proxy
// has no authority any more, so that the controller need not wait for its return; of all, where its maximal
// staleness has stopped it; of one that is gone, at once.
func (d *Cache) cutDeparting(now time.Duration) (do []any) {
	right := d.authoritative && now < d.authorityUntil
	over := map[string]bool{}
	for _, e := range d.inTransition {
		if !e.isDeparting() {
			continue
		}
		if _, known := d.departingSince[e.Name]; !known {
			d.departingSince[e.Name] = now
		}
		over[e.Name] = now >= d.departingSince[e.Name]+e.drainTime() && (e.Phase == PhaseDrain || !right)
	}
	for _, name := range d.OpenTenants() {
		e := d.entries[name]
		if e == nil || over[name] || d.maxStaleness > 0 && now >= d.stopServingAt()+e.drainTime() {
			do = append(do, CutRequests{name})
		}
	}
	return do
}

// Status is what a session has to be opened with: one that is open without it would let the controller pass
// by a proxy that has its authority already.
func (d *Cache) Status() Status {
	w := Status{
		Generation:   d.generation,
		Prepared:     d.number(),
		DrainedUpTo:  d.number(),
		MaxStaleness: d.maxStaleness,
		Left:         d.leaving && len(d.openRequests) == 0,
	}
	if d.snapshot != nil {
		for _, n := range d.snapshot.needs { // of leaves that are not held, too: they may be tomorrow
			if d.policy.Version < n.Policy {
				w.Prepared = min(w.Prepared, n.Since-1)
			}
		}
	}
	for _, e := range d.inTransition {
		known := e.Phase == PhasePrepare || e.Phase == PhaseHold || e.Phase == PhaseDrain
		if !known || e.Next != nil && !e.Next.Suspended && !d.policy.covers(e.Next) {
			w.Prepared = min(w.Prepared, e.Since-1)
		}
		if e.Phase == PhaseDrain && d.openRequests[e.Name] > 0 {
			w.DrainedUpTo = min(w.DrainedUpTo, e.Since-1)
		}
	}
	return w
}

// tellStatus reports the session's status where it has changed.
func (d *Cache) tellStatus(now time.Duration) []any {
	w := d.Status()
	again := len(d.inTransition) > 0 && now-d.toldAt >= tellInterval
	if !d.sessionOpen || d.hasTold && w == d.toldStatus && !again {
		return nil
	}
	d.toldStatus, d.hasTold, d.toldAt = w, true, now
	return []any{TellStatus{w}}
}
