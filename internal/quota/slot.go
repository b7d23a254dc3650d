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
	noSlotLevel  = 0xff // Slot.Level in a grant that assigns no slot
	circleBits   = 32   // bits of a slot's position on the circle
)

// Slot determines an enrolled proxy's part of the fallback shares. A circle is divided into 2^Level equal
// pieces, and the slot is the piece with the index Index. The slots of different proxies never overlap, so
// the fallback shares of all proxies never add up to more than the part of the limit that is reserved for
// them.
type Slot struct {
	Name  string `json:"name"`
	Level uint8  `json:"level"`
	Index uint32 `json:"index"`
}

// valid reports whether a record or datagram may hold the slot.
func (s Slot) valid() bool { return s.Level <= maxSlotLevel && s.Index < 1<<s.Level }

// span returns the start and the length of the slot on the circle, whose length is 1<<circleBits.
func (s Slot) span() (start, length uint64) {
	length = 1 << (circleBits - s.Level)
	return uint64(s.Index) * length, length
}

// halved returns the first half of the slot.
func (s Slot) halved() Slot {
	s.Level, s.Index = s.Level+1, s.Index*2
	return s
}

// tokens returns how many of a limit's fallback tokens belong to the slot, as an integer. The circle is
// rotated by the limit's hash, so that the slots that get the tokens left over by division differ from limit
// to limit. The results for slots that cover the complete circle add up to tokens.
func (s Slot) tokens(tokens uint64, limitHash uint64) uint64 {
	start, length := s.span()
	start = (start + limitHash>>32) % (1 << circleBits)
	return (start+length)*tokens>>circleBits - start*tokens>>circleBits
}

// slotLevel returns the lowest level that has a slot for each proxy, but at least the level of four slots.
func slotLevel(proxies int) uint8 {
	return uint8(min(max(bits.Len(uint(max(proxies, 1)-1)), 2), maxSlotLevel))
}

// findFreeSlot returns a slot that overlaps none of the given slots. Its level is the given level or, if that
// level has no free slot, the next higher level that has a free slot.
func findFreeSlot(slots []Slot, level uint8) (Slot, bool) {
	taken := slices.Clone(slots)
	slices.SortFunc(taken, func(a, b Slot) int {
		x, _ := a.span()
		y, _ := b.span()
		return cmp.Compare(x, y)
	})
	for ; level <= maxSlotLevel; level++ {
		_, length := Slot{Level: level}.span()
		position := uint64(0)
		for i := 0; i <= len(taken); i++ {
			end := uint64(1) << circleBits
			if i < len(taken) {
				end, _ = taken[i].span()
			}
			if start := (position + length - 1) / length * length; start+length <= end {
				return Slot{Level: level, Index: uint32(start / length)}, true
			}
			if i < len(taken) {
				start, takenLength := taken[i].span()
				position = start + takenLength
			}
		}
	}
	return Slot{}, false
}
