package quota

import "time"

// Status is what a proxy reports about its quota.
type Status struct {
	Allocator         string        `json:"holder"` // the allocator with the highest fencing token seen
	Token             uint64        `json:"fence"`  // the allocator's fencing token
	SinceGrant        time.Duration `json:"heard"`  // time since the last grant; 0 means no grant yet
	HasSlot           bool          `json:"seated"`
	FallbackSuspended bool          `json:"resting"` // other proxies may be granted the fallback share
	ClaimedLimits     int           `json:"busy"`    // number of limits that the proxy claims
	TableVersion      uint64        `json:"table"`
}

// Status returns the status as of the last AdvanceTo or Handle.
func (l *Ledger) Status() Status {
	s := Status{
		Allocator:         l.allocator,
		Token:             l.token,
		HasSlot:           l.slot.Level != noSlotLevel,
		FallbackSuspended: l.now < l.fallbackSuspendedUntil,
		ClaimedLimits:     len(l.claimedLimits),
		TableVersion:      l.limits.version,
	}
	if l.lastGrantAt > 0 {
		s.SinceGrant = l.now - l.lastGrantAt
	}
	return s
}
