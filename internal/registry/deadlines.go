package registry

import (
	"slices"
	"time"
)

// Deadlines are those of sessions, as the leader keeps them. Times are of one
// monotonic clock. They are not safe for concurrent use.
type Deadlines struct{ held timers[struct{}] }

// NewDeadlines gives every session its full time from now, as a new leader has to.
func NewDeadlines(all []Session, now time.Duration) *Deadlines {
	d := &Deadlines{held: newTimers[struct{}]()}
	for _, s := range all {
		d.Set(s, now)
	}
	return d
}

// Set notes a session that was opened now.
func (d *Deadlines) Set(s Session, now time.Duration) { d.held.set(s.ID, struct{}{}, s.TTL, now) }

// Drop forgets a session that has ended.
func (d *Deadlines) Drop(id string) { d.held.drop(id) }

// Renew gives a session its full time again; it is false for one that is not
// there or is due.
func (d *Deadlines) Renew(id string, now time.Duration) bool { return d.held.renew(id, now) }

// Due takes out the sessions that end now. None of them can be renewed any more,
// even if its end takes long to get into the log.
func (d *Deadlines) Due(now time.Duration) (due []string) {
	for _, one := range d.held.over(now) {
		due = append(due, one.name)
	}
	slices.Sort(due)
	return due
}
