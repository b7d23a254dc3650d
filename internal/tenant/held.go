package tenant

import (
	"cmp"
	"maps"
	"slices"
	"sync/atomic"
	"time"
)

// Bounds of what a node on demand holds and reads. A leaf has some 6 to 32 tenants, a
// tenant 230 bytes on record and five times as many in memory: 12 MB of pages are 60 MB,
// half of a node's budget of 128 MB. Only what open requests hold may be beyond.
const (
	mostParts = 4096
	mostBytes = 12 << 20 // of their pages
	idleTime  = 10 * time.Minute
	lookEvery = time.Second

	// A part that is not held is read once, and then, however many names are made up, no more than readsAtOnce (a
	// node's usual parts when it starts) and readsEvery after it: 4 a second, with two pages between, are 15 kB of
	// a budget of 25 kB a second. mostAsked are read with one head.
	readsAtOnce = 2048
	readsEvery  = time.Second / 4
	mostAsked   = 64
)

// held is a part that a node holds, ready for requests.
type held struct {
	part  *Part
	table int               // of the desk's, with which it was made ready
	names map[string]*place // by what requests name
	used  atomic.Int64      // when it was last asked for, by the desk's clock in ns
}

// bucket lets a number of reads through at once, and then one in a while.
type bucket struct {
	left int
	at   time.Duration
}

func (b *bucket) take(now time.Duration) bool {
	if n := (now - b.at) / readsEvery; n > 0 {
		b.left, b.at = min(readsAtOnce, b.left+int(min(n, readsAtOnce))), b.at+n*readsEvery
	}
	if b.left == 0 {
		return false
	}
	b.left--
	return true
}

// Want is what a read has to bring.
type Want struct {
	whole bool
	image *Image // that the parts are of; nil: there is none yet
	parts []int  // in order
}

// Want says what the next read has to bring: whatever is held, as it is by the next
// head, and what was asked for.
func (d *Desk) Want() Want {
	w := Want{whole: !d.onDemand, image: d.image}
	if d.onDemand && d.image != nil {
		all := d.needed()
		for part := range d.held {
			all[part] = true
		}
		maps.Copy(all, d.asked)
		w.parts = slices.Sorted(maps.Keys(all))
	}
	return w
}

// at gives the parts that are wanted of a catalogue with so many levels. Where its parts
// are others than those that are held, it is where the tenants that are held are in it.
func (w Want) at(levels int) []int {
	if w.image == nil || levels == w.image.levels {
		return w.parts
	}
	return w.image.moved(levels)
}

// moved gives the parts of another number of levels that have the tenants of a catalogue.
func (i *Image) moved(levels int) []int {
	all := map[int]bool{}
	for _, e := range i.byName() {
		for _, leaf := range leavesOf(e, levels) {
			all[leaf] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}

// covers tells whether a catalogue may take the place of another, of which some parts are
// needed: it must not be without what a request that is open now needs.
func (i *Image) covers(former *Image, needed map[int]bool) bool {
	if i.whole || former == nil {
		return true
	}
	if i.levels == former.levels {
		for part := range needed {
			if former.has(part) && !i.has(part) {
				return false
			}
		}
		return true
	}
	return !slices.ContainsFunc(former.moved(i.levels), func(part int) bool { return !i.has(part) })
}

// needed gives the parts of tenants with open requests, by all their names: a tenant that
// gets another name is found by it, and not taken for one that is gone.
func (d *Desk) needed() map[int]bool {
	all := map[int]bool{}
	if d.image == nil || d.image.whole {
		return all
	}
	for name := range d.busy {
		if e := d.entries[name]; e != nil {
			for _, leaf := range leavesOf(e, d.image.levels) {
				all[leaf] = true
			}
		}
	}
	return all
}

// ask has the part of a name read, which a request has named.
func (d *Desk) ask(now time.Duration, name string) []any {
	if d.image == nil || d.image.whole {
		return nil
	}
	part := leafOf(name, d.image.levels)
	if d.image.has(part) || d.asked[part] || len(d.asked) >= mostAsked || !d.reads.take(now) {
		return nil // it is asked for by a later request again
	}
	d.asked[part] = true
	return []any{Fetch{}}
}

// Coming tells whether the part of a name is to be read.
func (d *Desk) Coming(name string) bool {
	return d.image != nil && d.asked[leafOf(name, d.image.levels)]
}

// take has an image take the place of the present one, and makes what differs ready.
func (d *Desk) take(now time.Duration, i *Image) {
	if i == nil {
		return
	}
	same := d.image != nil && d.image.levels == i.levels
	if !same {
		d.held, d.entries, d.moving = nil, map[string]*Entry{}, map[string]*Entry{}
	}
	next := make(map[int]*held, len(i.parts))
	for n, p := range i.parts {
		h := &held{part: p, table: d.tables}
		h.used.Store(int64(now))
		if has := d.held[n]; has != nil {
			if has.part == p && has.table == d.tables {
				next[n] = has
				continue
			}
			h.used.Store(has.used.Load())
		}
		h.names = places(p, func(name string) bool { return leafOf(name, i.levels) == n }, d.table)
		next[n] = h
	}
	if !same {
		clear(d.asked)
	}
	maps.DeleteFunc(d.asked, func(n int, _ bool) bool { return i.has(n) })
	d.enter(i, next)
	for name := range d.leave {
		if e := d.entries[name]; e == nil || !e.going() {
			delete(d.leave, name)
		}
	}
}

// enter notes what the parts that are held from now on have, by what differs from those
// before: the others are not walked through.
func (d *Desk) enter(i *Image, next map[int]*held) {
	var out, in []*Entry
	for n, h := range d.held {
		if o := next[n]; o == nil || o.part != h.part {
			out = append(out, h.part.entries...)
		}
	}
	for n, h := range next {
		if o := d.held[n]; o == nil || o.part != h.part {
			in = append(in, h.part.entries...)
		}
	}
	d.image, d.held = i, next
	for _, e := range out {
		delete(d.entries, e.Name)
		delete(d.moving, e.Name)
		for _, leaf := range leavesOf(e, i.levels) { // by another of its names it may be held still
			if h := next[leaf]; h != nil {
				in = append(in, h.part.find(e.Name)...)
			}
		}
	}
	for _, e := range in {
		if d.entries[e.Name] = e; e.Phase != Serve {
			d.moving[e.Name] = e
		}
	}
}

// letGo lets parts go that have not been asked for in a while and, beyond the bounds,
// those that were not for the longest; none that a tenant with open requests is in.
func (d *Desk) letGo(now time.Duration) bool {
	if d.image == nil || d.image.whole || now-d.letGoAt < lookEvery {
		return false
	}
	d.letGoAt = now
	bytes, next, needed := 0, maps.Clone(d.held), d.needed()
	for _, h := range next {
		bytes += h.part.bytes
	}
	byUse := slices.SortedFunc(maps.Keys(next), func(a, b int) int { return cmp.Compare(next[a].used.Load(), next[b].used.Load()) })
	for _, n := range byUse {
		h := next[n]
		over := now-time.Duration(h.used.Load()) >= d.idle || len(next) > mostParts || bytes > mostBytes
		if over && !needed[n] {
			delete(next, n)
			bytes -= h.part.bytes
		}
	}
	if len(next) == len(d.held) {
		return false
	}
	i := *d.image
	i.parts = map[int]*Part{}
	for n, h := range next {
		i.parts[n] = h.part
	}
	d.enter(&i, next)
	return true
}
