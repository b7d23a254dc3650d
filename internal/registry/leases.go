package registry

import (
	"cmp"
	"slices"
	"time"
)

// Judgement on expiry: in expiryWindow no more may go than a share of the leased
// entries. More than that at once points at our own network or a pause of ours.
const (
	expiryWindow = 10 * time.Second
	expiryShare  = 0.25
	expiryLeast  = 2 // so many may always go, as a quarter of a small list is no sign of anything
)

// Leases are the deadlines of entries with a time to live, as the leader keeps
// them. Times are of one monotonic clock. They are not safe for concurrent use.
type Leases struct {
	held timers[Lease]
	gone []time.Duration // when entries expired, within the window
}

// NewLeases gives every entry its full time from now, as a new leader has to.
func NewLeases(items []Item, now time.Duration) *Leases {
	l := &Leases{held: newTimers[Lease]()}
	for _, i := range items {
		l.Set(i, now)
	}
	return l
}

// Set notes an entry that was registered or changed now.
func (l *Leases) Set(i Item, now time.Duration) {
	if i.TTL == 0 {
		l.Drop(i.Entry.Name)
		return
	}
	l.held.set(i.Entry.Name, Lease{i.Entry.Name, i.Version}, i.TTL, now)
}

// Drop forgets an entry that has left.
func (l *Leases) Drop(name string) { l.held.drop(name) }

// Renew gives an entry its full time again; it is false for one without a lease.
// A renewal that comes at the deadline, or late but before the expiry, counts.
func (l *Leases) Renew(name string, now time.Duration) bool { return l.held.renew(name, now) }

// Due gives the entries that are to expire now, and the number of those that are
// overdue but kept, as too many are.
func (l *Leases) Due(now time.Duration) (due []Lease, kept int) {
	l.gone = slices.DeleteFunc(l.gone, func(t time.Duration) bool { return now-t >= expiryWindow })
	most := max(expiryLeast, int(expiryShare*float64(len(l.held.all)+len(l.gone))))
	over := l.held.over(now)
	if len(over)+len(l.gone) > most {
		for _, one := range over {
			l.held.back(one)
		}
		return nil, len(over)
	}
	for _, one := range over {
		due = append(due, one.of)
		l.gone = append(l.gone, now)
	}
	slices.SortFunc(due, func(a, b Lease) int { return cmp.Compare(a.Name, b.Name) })
	return due, 0
}
