package quota

import "slices"

// recordRead handles the record of slots, which was read or written under the fencing token. Slots that the
// record holds may be granted. If the record differs from the slots that this allocator has assigned, the
// record is written again.
func (a *Allocator) recordRead(r RecordRead) {
	if r.Token != a.token || len(r.Slots) > MaxProxies {
		return
	}
	if !a.recordKnown {
		a.adoptSlots(r.Slots)
		return
	}
	a.writePending = false
	for _, slot := range r.Slots {
		if _, m := a.find(slot.Name); m != nil && m.hasSlot && m.slot == slot {
			m.slotRecorded = true
		}
	}
	if !slices.Equal(r.Slots, a.desiredSlots()) {
		a.recordDirty = true
	}
}

// adoptSlots enrolls the proxies whose slots the previous allocator recorded.
func (a *Allocator) adoptSlots(slots []Slot) {
	a.recordKnown = true
	a.revision++
	for _, slot := range slots {
		at, m := a.find(slot.Name)
		if m != nil || !slot.valid() || len(slot.Name) == 0 || len(slot.Name) > MaxName {
			continue
		}
		m = &member{
			name:                   slot.Name,
			slot:                   slot,
			hasSlot:                true,
			slotRecorded:           true,
			fallbackCountedSince:   a.now,
			fallbackFirstCountedAt: a.now,
			shares:                 map[int32]*memberShare{},
		}
		a.members = slices.Insert(a.members, at, m)
	}
}

// desiredSlots returns the slots that the record should hold, by name.
func (a *Allocator) desiredSlots() []Slot {
	var slots []Slot
	for _, m := range a.members {
		if m.hasSlot {
			slots = append(slots, m.slot)
		}
	}
	return slots
}

// writeRecord requests a write of the record if the record differs from the slots that this allocator has
// assigned, or if a requested write has had no result for writeTimeout.
func (a *Allocator) writeRecord() []Action {
	if !a.mayGrant() || !a.recordDirty && !a.writePending ||
		a.writePending && a.now-a.recordWrittenAt < writeTimeout {
		return nil
	}
	a.recordDirty, a.writePending, a.recordWrittenAt = false, true, a.now
	return []Action{WriteRecord{a.token, a.desiredSlots()}}
}

// assignSlot reserves a slot for a member. The member is notified of the slot once the record holds it. If no
// slot of the wanted level is free, assignSlot first starts to halve the larger slots of other members.
func (a *Allocator) assignSlot(m *member) {
	if m.hasSlot {
		return
	}
	slots := a.desiredSlots()
	level := slotLevel(max(a.expectedProxies, len(slots)+1))
	slot, found := findFreeSlot(slots, level)
	if !found || slot.Level > level {
		a.shrinkSlots(level)
	}
	if !found {
		return
	}
	slot.Name = m.name
	a.revision++
	m.slot = slot
	m.hasSlot = true
	m.slotRecorded = false
	m.fallbackCountedSince = a.now
	m.fallbackFirstCountedAt = a.now
	a.recordDirty = true
}

// shrinkSlots starts to halve the slots that are larger than those of the level. The second half of a slot is
// free only once the proxy has applied the grant with the smaller slot.
func (a *Allocator) shrinkSlots(level uint8) {
	for _, m := range a.members {
		if m.hasSlot && m.slotRecorded && !m.shrinking && m.slot.Level < level &&
			a.slotForGrant(m).Level != noSlotLevel {
			m.shrinking, m.shrinkingSinceGrant = true, m.lastGrantNumber+1
		}
	}
}

// slotForGrant returns the slot for a member's next grant; its Level is noSlotLevel if the grant may not
// assign a slot yet. A grant may assign the slot only if the record holds the slot, the proxy knows the
// current table, and the slot's fallback share was already being counted when each live lease was granted.
func (a *Allocator) slotForGrant(m *member) Slot {
	none := Slot{Level: noSlotLevel}
	switch {
	case !m.hasSlot || !m.slotRecorded || m.tableVersion < a.limits.version:
		return none
	case a.now < max(m.fallbackCountedSince, a.previousLeasesEnd)+a.times.settleTime():
		return none
	}
	slot := m.slot
	if m.shrinking {
		slot = slot.halved()
	}
	slot.Name = ""
	return slot
}
