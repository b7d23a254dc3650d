package registry

import (
	"cmp"
	"slices"
	"time"
)

// Bounds on expiry: within expiryWindow at most maxExpiryShare of the entries with a time to live may expire.
// If more entries are overdue at once, the more likely cause is this replica's network or a pause of its
// process.
const (
	expiryWindow   = 10 * time.Second
	maxExpiryShare = 0.25
	minExpiries    = 2 // always allowed, as a quarter of a small list may be overdue by chance
)

// EndpointExpiry holds the deadlines of entries with a time to live at the leader. Times are of one monotonic
// clock. It is not safe for concurrent use.
type EndpointExpiry struct {
	timers    timers[EndpointVersion]
	expiredAt []time.Duration // times of the expiries within the last expiryWindow
}

// NewEndpointExpiry starts the TTL of every entry at now, because a new leader does not know when the entries
// were last renewed.
func NewEndpointExpiry(registrations []Registration, now time.Duration) *EndpointExpiry {
	l := &EndpointExpiry{timers: newTimers[EndpointVersion]()}
	for _, registration := range registrations {
		l.Set(registration, now)
	}
	return l
}

// Set starts the TTL of an entry that was registered or changed now, if the entry has one.
func (l *EndpointExpiry) Set(registration Registration, now time.Duration) {
	if registration.TTL == 0 {
		l.Drop(registration.Endpoint.Name)
		return
	}
	l.timers.set(
		registration.Endpoint.Name,
		EndpointVersion{registration.Endpoint.Name, registration.Version},
		registration.TTL,
		now,
	)
}

// Drop removes the deadline of an entry.
func (l *EndpointExpiry) Drop(name string) { l.timers.drop(name) }

// Renew restarts the TTL of an entry. It returns false for an entry without a time to live. A renewal counts
// even after the deadline, as long as Due has not returned the entry.
func (l *EndpointExpiry) Renew(name string, now time.Duration) bool { return l.timers.renew(name, now) }

// Due removes and returns the entries that expire now, sorted by name. If too many entries are overdue, none
// expires, and retained is the number of overdue entries.
func (l *EndpointExpiry) Due(now time.Duration) (due []EndpointVersion, retained int) {
	l.expiredAt = slices.DeleteFunc(l.expiredAt, func(t time.Duration) bool { return now-t >= expiryWindow })
	maxExpired := max(minExpiries, int(maxExpiryShare*float64(len(l.timers.byName)+len(l.expiredAt))))
	overdue := l.timers.takeExpired(now)
	if len(overdue)+len(l.expiredAt) > maxExpired {
		for _, expired := range overdue {
			l.timers.putBack(expired)
		}
		return nil, len(overdue)
	}
	for _, expired := range overdue {
		due = append(due, expired.value)
		l.expiredAt = append(l.expiredAt, now)
	}
	slices.SortFunc(due, func(a, b EndpointVersion) int { return cmp.Compare(a.Name, b.Name) })
	return due, 0
}
