package quota

import "slices"

// recordRead takes the record as it stands under the fencing token. Slots that it holds may be granted; those
// that this allocator has assigned and the record lacks are written again.
func (a *Allocator) recordRead(r RecordRead) {
	if r.Token != a.token || len(r.Slots) > MaxProxies {
		return
	}
	if !a.recordKnown {
		a.adoptSlots(r.Slots)
		return
	}
	a.writePending = false
	for _, s := range r.Slots {
		if _, m := a.find(s.Name); m != nil && m.hasSlot && m.slot == s {
			m.confirmed = true
		}
	}
	if !slices.Equal(r.Slots, a.desiredSlots()) {
		a.recordDirty = true
	}
}

// adoptSlots takes the slots of the previous allocator.
func (a *Allocator) adoptSlots(seats []Slot) {
	a.recordKnown = true
	a.revision++
	for _, s := range seats {
		at, m := a.find(s.Name)
		if m != nil || !s.valid() || len(s.Name) == 0 || len(s.Name) > MaxName {
			continue
		}
		m = &member{
			name:            s.Name,
			slot:            s,
			hasSlot:         true,
			confirmed:       true,
			fallbackSince:   a.now,
			firstFallbackAt: a.now,
			shares:          map[int32]*memberShare{},
		}
		a.members = slices.Insert(a.members, at, m)
	}
}

// desiredSlots are those that the record should hold, by name.
func (a *Allocator) desiredSlots() []Slot {
	var out []Slot
	for _, m := range a.members {
		if m.hasSlot {
			out = append(out, m.slot)
		}
	}
	return out
}

// writeRecord asks for the record to be written when it differs from what this allocator has assigned.
func (a *Allocator) writeRecord() []Action {
	if !a.mayGrant() || !a.recordDirty && !a.writePending ||
		a.writePending && a.now-a.recordWrittenAt < writeTimeout {
		return nil
	}
	a.recordDirty, a.writePending, a.recordWrittenAt = false, true, a.now
	return []Action{WriteRecord{a.token, a.desiredSlots()}}
}

// assignSlot reserves a slot for a member, which is notified of it once the record says so. Without a free
// place the largest slot of those that are heard is halved first.
func (a *Allocator) assignSlot(m *member) {
	if m.hasSlot {
		return
	}
	seats := a.desiredSlots()
	level := slotLevel(max(a.expectedProxies, len(seats)+1))
	seat, found := findFreeSlot(seats, level)
	if !found || seat.Level > level {
		a.shrinkSlots(level)
	}
	if !found {
		return
	}
	seat.Name = m.name
	a.revision++
	m.slot = seat
	m.hasSlot = true
	m.confirmed = false
	m.fallbackSince = a.now
	m.firstFallbackAt = a.now
	a.recordDirty = true
}

// shrinkSlots begins to tell members with a larger slot than the level's of a smaller one. Only what a proxy
// has taken is free.
func (a *Allocator) shrinkSlots(level uint8) {
	for _, m := range a.members {
		if m.hasSlot && m.confirmed && !m.shrinking && m.slot.Level < level && a.slotForGrant(m).Level != slotNone {
			m.shrinking, m.shrinkingSinceGrant = true, m.number+1
		}
	}
}

// slotForGrant returns the slot for a member's next grant: one that the record holds, and whose fallback
// share no lease that is alive was granted without counting it.
func (a *Allocator) slotForGrant(m *member) Slot {
	none := Slot{Level: slotNone}
	switch {
	case !m.hasSlot || !m.confirmed || m.tableVersion < a.limits.version:
		return none
	case a.now < max(m.fallbackSince, a.formerLeasesEnd)+a.times.settleTime():
		return none
	}
	s := m.slot
	if m.shrinking {
		s = s.halved()
	}
	s.Name = ""
	return s
}
