package quota

import "time"

// Status is what a proxy reports of its shares.
type Status struct {
	Allocator         string        `json:"holder"` // the newest known
	Token             uint64        `json:"fence"`
	SinceGrant        time.Duration `json:"heard"` // since the last grant; 0: none yet
	HasSlot           bool          `json:"seated"`
	FallbackSuspended bool          `json:"resting"` // its fallback share is borrowed to others
	ClaimedLimits     int           `json:"busy"`    // limits that it claims
	TableVersion      uint64        `json:"table"`
}

// Status is as of the last AdvanceTo or Handle.
func (l *Ledger) Status() Status {
	s := Status{
		Allocator:         l.allocator,
		Token:             l.token,
		HasSlot:           l.slot.Level != slotNone,
		FallbackSuspended: l.now < l.fallbackSuspendedUntil,
		ClaimedLimits:     len(l.claimed),
		TableVersion:      l.limits.version,
	}
	if l.lastGrantAt > 0 {
		s.SinceGrant = l.now - l.lastGrantAt
	}
	return s
}
