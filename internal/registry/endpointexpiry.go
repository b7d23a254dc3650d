package registry

import (
	"cmp"
	"slices"
	"time"
)

// Judgement on expiry: in expiryWindow no more may go than a share of the leased
// entries. More than that at once points at our own network or a pause of ours.
const (
	expiryWindow   = 10 * time.Second
	maxExpiryShare = 0.25
	minExpiries    = 2 // so many may always go, as a quarter of a small list is no sign of anything
)

// EndpointExpiry are the deadlines of entries with a time to live, as the leader keeps
// them. Times are of one monotonic clock. They are not safe for concurrent use.
type EndpointExpiry struct {
	timers    timers[EndpointVersion]
	expiredAt []time.Duration // when entries expired, within the window
}

// NewEndpointExpiry restarts the TTL of every entry from now, as a new leader has to.
func NewEndpointExpiry(items []Registration, now time.Duration) *EndpointExpiry {
	l := &EndpointExpiry{timers: newTimers[EndpointVersion]()}
	for _, i := range items {
		l.Set(i, now)
	}
	return l
}

// Set notes an entry that was registered or changed now.
func (l *EndpointExpiry) Set(i Registration, now time.Duration) {
	if i.TTL == 0 {
		l.Drop(i.Endpoint.Name)
		return
	}
	l.timers.set(i.Endpoint.Name, EndpointVersion{i.Endpoint.Name, i.Version}, i.TTL, now)
}

// Drop forgets an entry that has left.
func (l *EndpointExpiry) Drop(name string) { l.timers.drop(name) }

// Renew restarts the TTL of an entry; it returns false for one without a lease. A renewal that comes at the
// deadline, or late but before the expiry, counts.
func (l *EndpointExpiry) Renew(name string, now time.Duration) bool { return l.timers.renew(name, now) }

// Due returns the entries that are to expire now, and the number of those that are overdue but kept, as too
// many are.
func (l *EndpointExpiry) Due(now time.Duration) (due []EndpointVersion, kept int) {
	l.expiredAt = slices.DeleteFunc(l.expiredAt, func(t time.Duration) bool { return now-t >= expiryWindow })
	most := max(minExpiries, int(maxExpiryShare*float64(len(l.timers.byName)+len(l.expiredAt))))
	over := l.timers.takeExpired(now)
	if len(over)+len(l.expiredAt) > most {
		for _, one := range over {
			l.timers.putBack(one)
		}
		return nil, len(over)
	}
	for _, one := range over {
		due = append(due, one.value)
		l.expiredAt = append(l.expiredAt, now)
	}
	slices.SortFunc(due, func(a, b EndpointVersion) int { return cmp.Compare(a.Name, b.Name) })
	return due, 0
}
