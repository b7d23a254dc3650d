package registry

import (
	"slices"
	"time"
)

// SessionExpiry are those of sessions, as the leader keeps them. Times are of one
// monotonic clock. They are not safe for concurrent use.
type SessionExpiry struct{ timers timers[struct{}] }

// NewSessionExpiry restarts the TTL of every session from now, as a new leader has to.
func NewSessionExpiry(all []Session, now time.Duration) *SessionExpiry {
	d := &SessionExpiry{timers: newTimers[struct{}]()}
	for _, s := range all {
		d.Set(s, now)
	}
	return d
}

// Set notes a session that was opened now.
func (d *SessionExpiry) Set(s Session, now time.Duration) { d.timers.set(s.ID, struct{}{}, s.TTL, now) }

// Drop forgets a session that has ended.
func (d *SessionExpiry) Drop(id string) { d.timers.drop(id) }

// Renew restarts the TTL of a session; it returns false for one that is not there or is due.
func (d *SessionExpiry) Renew(id string, now time.Duration) bool { return d.timers.renew(id, now) }

// Due takes out the sessions that end now. None of them can be renewed any more,
// even if its end takes long to get into the log.
func (d *SessionExpiry) Due(now time.Duration) (due []string) {
	for _, one := range d.timers.takeExpired(now) {
		due = append(due, one.name)
	}
	slices.Sort(due)
	return due
}
