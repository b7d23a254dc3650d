// Package duty lets a process hold duties: jobs that one process holds at a time,
// which the list service gives to the next when it fails.
package lease

import (
	"math"
	"slices"
	"time"

	"wrenspread/internal/registry"
)

// Times of a session. With drift as the most by which a clock's rate is off, a
// session that was renewed can't lapse by the service's clock before TTL/(1+drift)
// has passed, which this process may read as TTL x (1-drift)/(1+drift). stopPart of
// the TTL is left for work to stop in.
const (
	DefaultTTL = 4 * time.Second
	drift      = 0.01
	stopPart   = 8
)

// safe is how long after a renewal was sent work may go on.
func safe(ttl time.Duration) time.Duration {
	return time.Duration(float64(ttl)*(1-drift)/(1+drift)) - ttl/stopPart
}

// Work that fails at once is begun again only after a wait that doubles.
const (
	firstRest = time.Second
	mostRest  = time.Minute
	overRest  = 10 * time.Second // after one that goes over others was asked to hand on
)

// core decides what a process's session does. It is pure; times are of the
// process's own monotonic clock. What comes from outside is noted by its methods,
// and step gives what is to be done about it all.
type core struct {
	ttl    time.Duration
	open   bool          // the session is there, as far as is known
	sent   time.Duration // when the last renewal that was answered was sent
	until  time.Duration // work may go on until then
	index  uint64        // of the last answer
	epoch  string
	wants  []*want // in the order in which they came
	ending bool
}

// want is one duty that this process wants.
type want struct {
	wish    registry.Wish
	rank    int           // at the end those of higher rank are handed on first
	in      bool          // it waits for it or holds it
	heard   uint64        // the fence under which it holds it; 0: it does not
	heardAt time.Duration // when that was heard of
	left    uint64        // the highest fence that was given up
	asked   bool          // to hand on
	resign  bool          // it is to be given up before anything else
	over    bool          // nobody wants it any more

	running uint64        // the fence of the work under way; 0: there is none
	told    time.Duration // when that was told to stop; 0: it was not
	began   time.Duration
	calling bool // a campaign or a giving up is under way
	rest    time.Duration
	again   time.Duration // no campaign before
}

// action is one thing to be done.
type action struct {
	do    string // start, stop, campaign or give-up
	want  *want
	fence uint64
}

// add begins to want a duty.
func (c *core) add(wish registry.Wish, rank int) *want {
	w := &want{wish: wish, rank: rank, rest: firstRest}
	c.wants = append(c.wants, w)
	return w
}

// drop forgets a want that is over and has been left.
func (c *core) drop(w *want) {
	c.wants = slices.DeleteFunc(c.wants, func(o *want) bool { return o == w })
}

// opened notes a session that was opened.
func (c *core) opened() { c.open, c.index = true, 0 }

// lost notes that the session has ended.
func (c *core) lost() {
	c.open, c.until, c.sent = false, 0, 0
	for _, w := range c.wants {
		w.in, w.heard, w.asked, w.resign, w.calling = false, 0, false, false, false
	}
}

// renewed notes the answer to a renewal that was sent at a time.
func (c *core) renewed(sent time.Duration) {
	if !c.open {
		return
	}
	c.sent = max(c.sent, sent)
	c.until = max(c.until, sent+safe(c.ttl))
}

// hear takes an answer on the session's duties. One older than another is passed over.
func (c *core) hear(now time.Duration, session string, a registry.DutyAnswer) {
	if !c.open || a.Epoch == c.epoch && a.Index < c.index {
		return
	}
	c.index, c.epoch = a.Index, a.Epoch
	for _, w := range c.wants {
		i := slices.IndexFunc(a.Duties, func(d registry.Duty) bool { return d.Name == w.wish.Duty })
		if w.in = i >= 0; !w.in || a.Duties[i].Holder != session {
			w.heard, w.asked = 0, false
			continue
		}
		if d := a.Duties[i]; d.Fence != w.heard {
			w.heard, w.heardAt = d.Fence, now
		}
		w.asked = a.Duties[i].Asked
	}
	for _, d := range a.Duties { // of a campaign whose end was not known, and that nobody waits for
		if !slices.ContainsFunc(c.wants, func(w *want) bool { return w.wish.Duty == d.Name }) {
			w := c.add(registry.Wish{Duty: d.Name}, 0)
			w.in, w.over = true, true
			if d.Holder == session {
				w.heard, w.heardAt = d.Fence, now
			}
		}
	}
}

// gone tells whether a want is over, and nothing is left of it to be ended.
func (c *core) gone(w *want) bool {
	return (w.over || c.ending) && w.running == 0 && !w.calling && (!w.in || !c.open)
}

// holds tells whether a want's duty is held now, beyond doubt.
func (c *core) holds(w *want, now time.Duration) bool {
	return c.open && w.heard > w.left && c.sent >= w.heardAt && now < c.until
}

// unsure tells whether a renewal now would settle a grant that was heard of.
func (c *core) unsure() bool {
	return slices.ContainsFunc(c.wants, func(w *want) bool { return c.open && w.heard > w.left && c.sent < w.heardAt })
}

// ended notes the end of work. Work that ends by itself without an error is done
// for good; after an error the duty is given up and wanted again later.
func (c *core) ended(now time.Duration, w *want, err error) {
	switch {
	case w.told != 0:
		if w.asked {
			w.resign = true
			if w.wish.Over { // else it would ask for it back at once
				w.again = now + overRest
			}
		}
	case err == nil:
		w.over = true
	default:
		w.resign = true
		if now-w.began > mostRest {
			w.rest = firstRest
		}
		w.again, w.rest = now+w.rest, min(2*w.rest, mostRest)
	}
	w.running, w.told = 0, 0
}

// called notes the end of a campaign or a giving up.
func (c *core) called(w *want, gave bool, ok bool) {
	w.calling = false
	switch {
	case gave && ok:
		w.left, w.in, w.heard, w.asked, w.resign = max(w.left, w.heard), false, 0, false, false
	case ok:
		w.in = true
	}
}

// step gives what is to be done now.
func (c *core) step(now time.Duration) (all []action) {
	first := c.first()
	for _, w := range c.wants {
		leave := w.over || w.resign || w.asked || c.ending && w.rank >= first
		switch {
		case w.running != 0:
			if w.told == 0 && (leave || w.heard != w.running || !c.holds(w, now)) {
				w.told = max(now, 1)
				all = append(all, action{"stop", w, w.running})
			}
		case !c.open || w.calling:
		case leave && w.in:
			w.calling = true
			all = append(all, action{"give-up", w, w.heard})
		case leave:
			w.resign = false // there is nothing to give up
		case c.ending: // its turn to be handed on has not come
		case c.holds(w, now):
			w.running, w.began = w.heard, now
			all = append(all, action{"start", w, w.heard})
		case !w.in && now >= w.again:
			w.calling = true
			all = append(all, action{"campaign", w, 0})
		}
	}
	return all
}

// first is the highest rank of which something is left to be handed on.
func (c *core) first() (rank int) {
	rank = math.MinInt
	for _, w := range c.wants {
		if !c.gone(w) {
			rank = max(rank, w.rank)
		}
	}
	return rank
}

// next is the time at which step may have something to do by itself.
func (c *core) next(now time.Duration) time.Duration {
	at := now + c.ttl
	if c.until > now {
		at = min(at, c.until)
	}
	for _, w := range c.wants {
		if w.again > now {
			at = min(at, w.again)
		}
	}
	return at
}
