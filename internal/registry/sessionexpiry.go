package registry

import (
	"slices"
	"time"
)

// SessionExpiry holds the deadlines of all sessions at the leader. Times are of one monotonic clock. It is
// not safe for concurrent use.
type SessionExpiry struct{ timers timers[struct{}] }

// NewSessionExpiry starts the TTL of every session at now, because a new leader does not know when the
// sessions were last renewed.
func NewSessionExpiry(sessions []Session, now time.Duration) *SessionExpiry {
	d := &SessionExpiry{timers: newTimers[struct{}]()}
	for _, s := range sessions {
		d.Set(s, now)
	}
	return d
}

// Set starts the TTL of a session that was opened or changed now.
func (d *SessionExpiry) Set(s Session, now time.Duration) { d.timers.set(s.ID, struct{}{}, s.TTL, now) }

// Drop removes a session that has ended.
func (d *SessionExpiry) Drop(id string) { d.timers.drop(id) }

// Renew restarts the TTL of a session. It returns false for a session that is unknown or that Due has
// returned.
func (d *SessionExpiry) Renew(id string, now time.Duration) bool { return d.timers.renew(id, now) }

// Due removes and returns the ids of the sessions that expire now, sorted. These sessions can't be renewed
// any more, even if it takes long until the command that closes them is logged.
func (d *SessionExpiry) Due(now time.Duration) (due []string) {
	for _, expired := range d.timers.takeExpired(now) {
		due = append(due, expired.name)
	}
	slices.Sort(due)
	return due
}
