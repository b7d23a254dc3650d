package quota

import (
	"cmp"
	"math/bits"
	"slices"
)

// Bounds of the record of enrolled proxies.
const (
	MaxProxies   = 4096
	MaxName      = 64 // bytes
	maxSlotLevel = 16
	slotNone     = 0xff
	circleBits   = 32 // bits of a slot's place on the circle
)

// Slot is an enrolled proxy's part of the fallback shares: the piece Index of 2^Level equal pieces of a
// circle. Pieces of different proxies never overlap, so that fallback shares never add up to more than the
// limit's safe part.
type Slot struct {
	Name  string `json:"name"`
	Level uint8  `json:"level"`
	Index uint32 `json:"index"`
}

// valid slots are what a record or datagram may hold.
func (s Slot) valid() bool { return s.Level <= maxSlotLevel && s.Index < 1<<s.Level }

// span is the slot's place on the circle, whose length is 1<<circleBits.
func (s Slot) span() (start, length uint64) {
	length = 1 << (circleBits - s.Level)
	return uint64(s.Index) * length, length
}

// halved gives up the second half.
func (s Slot) halved() Slot {
	s.Level, s.Index = s.Level+1, s.Index*2
	return s
}

// tokens is how many of pool whole tokens lie in the slot, with the circle rotated by a limit's hash, so that
// the slots that get the odd one differ from limit to limit. Over a whole circle the sum is pool.
func (s Slot) tokens(pool uint64, hash uint64) uint64 {
	start, length := s.span()
	start = (start + hash>>32) % (1 << circleBits)
	return (start+length)*pool>>circleBits - start*pool>>circleBits
}

// slotLevel is the level at which so many proxies have a slot each, with at least four slots.
func slotLevel(nodes int) uint8 {
	return uint8(min(max(bits.Len(uint(max(nodes, 1)-1)), 2), maxSlotLevel))
}

// findFreeSlot finds a place of the level or a smaller one, lowest level first, that meets none of the slots.
func findFreeSlot(seats []Slot, level uint8) (Slot, bool) {
	taken := slices.Clone(seats)
	slices.SortFunc(taken, func(a, b Slot) int {
		x, _ := a.span()
		y, _ := b.span()
		return cmp.Compare(x, y)
	})
	for ; level <= maxSlotLevel; level++ {
		_, length := Slot{Level: level}.span()
		at := uint64(0)
		for i := 0; i <= len(taken); i++ {
			end := uint64(1) << circleBits
			if i < len(taken) {
				end, _ = taken[i].span()
			}
			if up := (at + length - 1) / length * length; up+length <= end {
				return Slot{Level: level, Index: uint32(up / length)}, true
			}
			if i < len(taken) {
				start, l := taken[i].span()
				at = start + l
			}
		}
	}
	return Slot{}, false
}
