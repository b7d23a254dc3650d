package quota

import "slices"

// recorded takes the record as it stands under the fence. Seats that it holds may be told; those that this holder
// has in mind and the record lacks are written again.
func (a *Apportioner) recorded(r Record) {
	if r.Fence != a.fence || len(r.Seats) > MostNodes {
		return
	}
	if !a.read {
		a.begin(r.Seats)
		return
	}
	a.writing = false
	for _, s := range r.Seats {
		if _, m := a.find(s.Name); m != nil && m.seated && m.seat == s {
			m.confirmed = true
		}
	}
	if !slices.Equal(r.Seats, a.seats()) {
		a.dirty = true
	}
}

// begin takes the seats of the former holder.
func (a *Apportioner) begin(seats []Seat) {
	a.read = true
	a.stamp++
	for _, s := range seats {
		at, m := a.find(s.Name)
		if m != nil || !s.valid() || len(s.Name) == 0 || len(s.Name) > MostName {
			continue
		}
		m = &member{name: s.Name, seat: s, seated: true, confirmed: true, since: a.now, first: a.now, entries: map[int32]*entry{}}
		a.members = slices.Insert(a.members, at, m)
	}
}

// seats are those that the record should hold, by name.
func (a *Apportioner) seats() []Seat {
	var out []Seat
	for _, m := range a.members {
		if m.seated {
			out = append(out, m.seat)
		}
	}
	return out
}

// write asks for the record to be written when it differs from what this holder has in mind.
func (a *Apportioner) write() []Action {
	if !a.acting() || !a.dirty && !a.writing || a.writing && a.now-a.wrote < writeAgain {
		return nil
	}
	a.dirty, a.writing, a.wrote = false, true, a.now
	return []Action{Write{a.fence, a.seats()}}
}

// enrol gives a member a seat, in mind: it is told of it once the record says so. Without a free place the largest
// seat of those that are heard is halved first.
func (a *Apportioner) enrol(m *member) {
	if m.seated {
		return
	}
	seats := a.seats()
	level := wanted(max(a.expect, len(seats)+1))
	seat, found := free(seats, level)
	if !found || seat.Level > level {
		a.halve(level)
	}
	if !found {
		return
	}
	seat.Name = m.name
	a.stamp++
	m.seat, m.seated, m.confirmed, m.since, m.first, a.dirty = seat, true, false, a.now, a.now, true
}

// halve begins to tell members with a larger seat than the level's of a smaller one. Only what a node has taken is
// free.
func (a *Apportioner) halve(level uint8) {
	for _, m := range a.members {
		if m.seated && m.confirmed && !m.smaller && m.seat.Level < level && a.tell(m).Level != seatNone {
			m.smaller, m.smallerAt = true, m.number+1
		}
	}
}

// tell gives the seat for a member's next grant: one that the record holds, and whose safe share no lease that is
// alive was granted without counting it.
func (a *Apportioner) tell(m *member) Seat {
	none := Seat{Level: seatNone}
	switch {
	case !m.seated || !m.confirmed || m.table < a.limits.version:
		return none
	case a.now < max(m.since, a.freeAt)+a.t.settled():
		return none
	}
	s := m.seat
	if m.smaller {
		s = s.halved()
	}
	s.Name = ""
	return s
}
