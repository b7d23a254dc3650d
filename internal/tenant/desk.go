package tenant

import (
	"maps"
	"slices"
	"time"
)

// Desk decides what a node knows of tenants, and how sure it may be. It is pure. Its
// safety rests on the session and on reads of the records; the view (Heard) only makes
// it more careful, and quicker.
type Desk struct {
	life uint64
	hold time.Duration

	image    *Image
	enrolled bool
	leaving  bool
	table    Table
	tables   int               // that it has had
	entries  map[string]*Entry // those of image, by tenant
	moving   map[string]*Entry // those of them that are not simply served

	onDemand bool          // it reads the parts that requests name, where the catalogue has parts
	held     map[int]*held // the parts of image, ready for requests
	asked    map[int]bool  // parts that are to be read, too
	reads    bucket        // of parts that may be read now
	idle     time.Duration // parts that have not been asked for so long are let go
	letGoAt  time.Duration // when idle parts were last looked for

	open  bool          // there is a session
	ttl   time.Duration // of it
	from  time.Duration // its unbroken right began: only what was read since is sure
	until time.Duration // its right ends
	sent  time.Duration // of the last renewal that was answered
	sure  bool
	word  time.Duration // of the last renewal while it was sure

	heard   uint64
	heardAt time.Duration
	denied  uint64 // a number that was heard of, and that a later read did not bear out

	busy   map[string]int           // open requests by tenant
	leave  map[string]time.Duration // since when a tenant is known to go
	told   Word
	tells  bool // told was told
	toldAt time.Duration
}

// A word is told again so often while a tenant moves: an earlier one that was long on
// its way may have come to the service after it.
const tellEvery = 5 * time.Second

// NewDesk makes the desk of a node that knows nothing yet. life is of this process,
// higher than of the one before under its name. With a hold above 0 it serves no
// tenant after so long without word; it should be several TTLs. On demand it reads of
// a catalogue with parts only those that its requests name.
func NewDesk(life uint64, hold time.Duration, onDemand bool) *Desk {
	return &Desk{life: life, hold: min(hold, maxHold).Truncate(time.Millisecond), onDemand: onDemand, reads: bucket{left: readsAtOnce}, idle: idleTime,
		entries: map[string]*Entry{}, moving: map[string]*Entry{}, asked: map[int]bool{}, busy: map[string]int{}, leave: map[string]time.Duration{}}
}

// Member is how the book has this node when it is enrolled.
func (d *Desk) Member(name string) Member { return Member{name, d.life, d.hold.Milliseconds()} }

// Handle takes an event and gives what is to be done about it.
func (d *Desk) Handle(now time.Duration, event any) (do []any) {
	swap := true
	switch e := event.(type) {
	case Opened:
		d.open, d.ttl, d.from, d.sent, d.sure, d.tells = true, e.TTL, now, e.Sent, false, false
		d.until = e.Sent + early(e.TTL)
		do = append(do, Fetch{})
	case Renewed:
		do = append(do, d.renewed(now, e)...)
	case Read:
		do = append(do, d.read(now, e)...)
	case Asked:
		return d.ask(now, e.Name)
	case Heard:
		if e.Number <= max(d.number(), d.heard) || e.Number == d.denied {
			return nil
		}
		d.heard, d.heardAt = e.Number, now
		do = append(do, Fetch{})
	case Tables:
		d.table, d.tables = e.Table, d.tables+1
		d.take(now, d.image)
	case Begun:
		d.busy[e.Tenant]++
		return nil
	case Over:
		if d.busy[e.Tenant]--; d.busy[e.Tenant] > 0 {
			return nil
		}
		delete(d.busy, e.Tenant)
		if _, going := d.leave[e.Tenant]; !going && !d.leaving {
			return nil
		}
		swap = false
	case Leave:
		d.leaving = true
	default:
		swap = d.letGo(now)
	}
	if swap {
		do = append(do, Swap{d.catalogue()})
	}
	do = append(do, d.cuts(now)...)
	return append(do, d.tell(now)...)
}

// renewed prolongs the right. Where it had run out before the answer came, the session
// may have ended and begun again in between: what was read before is not sure any more.
func (d *Desk) renewed(now time.Duration, e Renewed) []any {
	if !e.Known || !d.open {
		d.open, d.sure = false, false
		return nil
	}
	broken := now >= d.until
	d.until, d.sent = max(d.until, e.Sent+early(d.ttl)), max(d.sent, e.Sent)
	if broken {
		d.sure, d.from = false, now
		return []any{Fetch{}}
	}
	if d.sure {
		d.word = d.sent
	}
	return nil
}

// read takes a catalogue up: as one, and never one before that which it has.
func (d *Desk) read(now time.Duration, e Read) []any {
	if e.Image == nil {
		return nil
	}
	d.enrolled = e.Enrolled
	if !e.Image.covers(d.image, d.needed()) {
		return []any{Fetch{}}
	}
	older := e.Image.Number < d.number() // the service's state is from a copy: the conductor makes a new one
	if d.image == nil || e.Image.Number > d.image.Number || e.Image.Number == d.image.Number && e.Image.levels > 0 {
		d.take(now, e.Image)
	}
	if d.open && e.Began >= d.from && !older {
		d.sure, d.word = true, d.sent
	}
	if d.heard > e.Image.Number && e.Began >= d.heardAt {
		d.denied, d.heard = d.heard, e.Image.Number
	}
	return nil
}

func (d *Desk) number() uint64 {
	if d.image == nil {
		return 0
	}
	return d.image.Number
}

// stop is when the node stops serving tenants for want of word; 0: never.
func (d *Desk) stop() time.Duration {
	if d.hold == 0 {
		return 0
	}
	return d.word + d.hold
}

func (d *Desk) catalogue() *Catalogue {
	c := &Catalogue{number: d.number(), held: d.held, ready: d.enrolled && d.image != nil && !d.leaving, sure: d.sure, until: d.until,
		stop: d.stop(), behind: d.heard > d.number()}
	if d.image != nil {
		c.levels, c.whole = d.image.levels, d.image.whole
	}
	return c
}

// going tells whether what is open of an entry is to end.
func (e *Entry) going() bool { return e.Phase == Drain || e.Phase == Hold && e.Next == nil }

// cuts ends what has had its time: of a tenant that drains; of one that is about to,
// where this node has no right any more, so that the conductor need not wait for its
// return; of all, where its hold has stopped it; of one that is gone, at once.
func (d *Desk) cuts(now time.Duration) (do []any) {
	right := d.sure && now < d.until
	over := map[string]bool{}
	for _, e := range d.moving {
		if !e.going() {
			continue
		}
		if _, known := d.leave[e.Name]; !known {
			d.leave[e.Name] = now
		}
		over[e.Name] = now >= d.leave[e.Name]+e.drain() && (e.Phase == Drain || !right)
	}
	for _, name := range d.Busy() {
		e := d.entries[name]
		if e == nil || over[name] || d.hold > 0 && now >= d.stop()+e.drain() {
			do = append(do, Cut{name})
		}
	}
	return do
}

// Word is what a session has to be opened with: one that is open without it would let
// the conductor pass by a node that has its right already.
func (d *Desk) Word() Word {
	w := Word{Life: d.life, Prepared: d.number(), Ended: d.number(), Hold: d.hold, Left: d.leaving && len(d.busy) == 0}
	if d.image != nil {
		for _, n := range d.image.needs { // of parts that are not held, too: they may be tomorrow
			if d.table.Version < n.Policy {
				w.Prepared = min(w.Prepared, n.Since-1)
			}
		}
	}
	for _, e := range d.moving {
		known := e.Phase == Prepare || e.Phase == Hold || e.Phase == Drain
		if !known || e.Next != nil && !e.Next.Suspended && !d.table.covers(e.Next) {
			w.Prepared = min(w.Prepared, e.Since-1)
		}
		if e.Phase == Drain && d.busy[e.Name] > 0 {
			w.Ended = min(w.Ended, e.Since-1)
		}
	}
	return w
}

// tell gives the session's word where it has changed.
func (d *Desk) tell(now time.Duration) []any {
	w := d.Word()
	again := len(d.moving) > 0 && now-d.toldAt >= tellEvery
	if !d.open || d.tells && w == d.told && !again {
		return nil
	}
	d.told, d.tells, d.toldAt = w, true, now
	return []any{Tell{w}}
}

// Busy gives the tenants with open requests, by name.
func (d *Desk) Busy() []string { return slices.Sorted(maps.Keys(d.busy)) }
