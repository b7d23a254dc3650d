package quota

import "time"

// Status is what a node tells of its shares.
type Status struct {
	Holder  string        `json:"holder"` // the newest known
	Fence   uint64        `json:"fence"`
	Heard   time.Duration `json:"heard"` // since the last grant; 0: none yet
	Seated  bool          `json:"seated"`
	Resting bool          `json:"resting"` // its safe share is lent to others
	Busy    int           `json:"busy"`    // limits that it claims
	Table   uint64        `json:"table"`
}

// Status is as of the last At or Handle.
func (l *Ledger) Status() Status {
	s := Status{
		Holder: l.holder, Fence: l.fence, Seated: l.seat.Level != seatNone, Resting: l.now < l.voidUntil,
		Busy: len(l.listed), Table: l.limits.version,
	}
	if l.heard > 0 {
		s.Heard = l.now - l.heard
	}
	return s
}
