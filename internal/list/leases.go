package list

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
	held map[string]deadline
	gone []time.Duration // when entries expired, within the window
	kept bool            // expiry is held back
}

type deadline struct {
	Lease
	ttl time.Duration
	at  time.Duration
}

// NewLeases gives every entry its full time from now, as a new leader has to.
func NewLeases(items []Item, now time.Duration) *Leases {
	l := &Leases{held: map[string]deadline{}}
	for _, i := range items {
		l.Set(i, now)
	}
	return l
}

// Set notes an entry that was registered or changed now.
func (l *Leases) Set(i Item, now time.Duration) {
	if i.TTL == 0 {
		delete(l.held, i.Entry.Name)
		return
	}
	l.held[i.Entry.Name] = deadline{Lease{i.Entry.Name, i.Version}, i.TTL, now + i.TTL}
}

// Drop forgets an entry that has left.
func (l *Leases) Drop(name string) { delete(l.held, name) }

// Renew gives an entry its full time again; it is false for one without a lease.
// A renewal that comes at the deadline, or late but before the expiry, counts.
func (l *Leases) Renew(name string, now time.Duration) bool {
	d, ok := l.held[name]
	if ok {
		d.at = now + d.ttl
		l.held[name] = d
	}
	return ok
}

// Due gives the entries that are to expire now, and the number of those that are
// overdue but kept, as too many are.
func (l *Leases) Due(now time.Duration) (due []Lease, kept int) {
	l.gone = slices.DeleteFunc(l.gone, func(t time.Duration) bool { return now-t >= expiryWindow })
	var over []deadline
	for _, d := range l.held {
		if now > d.at {
			over = append(over, d)
		}
	}
	most := max(expiryLeast, int(expiryShare*float64(len(l.held)+len(l.gone))))
	if l.kept = len(over)+len(l.gone) > most; l.kept {
		return nil, len(over)
	}
	slices.SortFunc(over, func(a, b deadline) int { return cmp.Compare(a.Name, b.Name) })
	for _, d := range over {
		due = append(due, d.Lease)
		l.gone = append(l.gone, now)
		delete(l.held, d.Name)
	}
	return due, 0
}

// Next is the earliest deadline, if there is any.
func (l *Leases) Next() (at time.Duration, ok bool) {
	for _, d := range l.held {
		if !ok || d.at < at {
			at, ok = d.at, true
		}
	}
	return at, ok
}
