// Package wire is the one definition of the datagrams that nodes send each other to keep their view, and of
// the statements in them. It has no state: bytes in, values out, and back. Whatever comes in is bounded by
// the datagram's 256 bytes; what can't be read is an error, never a panic.
package wire

import (
	"fmt"
	"net/netip"
)

// Health is what others, or the member itself, say of a member. Within one generation and incarnation the
// higher one holds.
type Health uint8

// Left is said by the member alone; Suspect and Dead are said by others.
const (
	Alive Health = iota
	Suspect
	Dead
	Left
)

func (h Health) String() string {
	if names := [...]string{"alive", "suspect", "dead", "left"}; int(h) < len(names) {
		return names[h]
	}
	return fmt.Sprintf("health-%d", uint8(h))
}

// State is the member's own statement on what it is doing. Values beyond the known ones come from newer
// versions: they are kept and passed on.
type State uint8

// The states of a member, in the order in which it goes through them.
const (
	Joining State = iota
	Serving
	Draining
	Leaving
)

func (s State) String() string {
	if names := [...]string{"joining", "serving", "draining", "leaving"}; int(s) < len(names) {
		return names[s]
	}
	return fmt.Sprintf("state-%d", uint8(s))
}

// Metadata are what a member says of itself. All of them but Load change with its incarnation.
type Metadata struct {
	Zone, Version string // printable ASCII, at most MaxText bytes each
	Catalogue     uint64 // version of the tenants' catalogue that the member has
	Policy        uint64 // version of the policy that the member has
	FencingToken  uint64 // fencing token under which it holds the lease of sharing out quotas; 0: it doesn't
	Load          uint16 // per mille; sent along, not covered by the digest
	State         State
}

// Statement is what one node tells another of a member. All fields compare with ==.
type Statement struct {
	Name          string         // printable ASCII without blanks, 1 to MaxName bytes
	Number        int            // place among the configured peers, -1: none; at most MaxNumber
	Addr          netip.AddrPort // advertised by the member; may be none
	Generation    uint64         // below MaxGeneration
	Incarnation   uint32
	Health        Health
	Metadata      Metadata
	LoadSeq       uint32    // raised by the member with each new load of a generation
	Accusers      [3]uint64 // hashes of the names of accusers, ascending, 0 last: the three smallest
	Age           uint16    // of a dead or left one: tenths of a second since; at most MaxAge
	UnknownFields string    // fields of newer versions, kept and passed on, at most MaxUnknownFields bytes
}

// Bounds of statements. With all at their most, one statement still fits into one datagram (see the test).
const (
	MaxName          = 48
	MaxText          = 24
	MaxUnknownFields = 21
	MaxNumber        = 65534
	MaxGeneration    = 1 << 62 // enough above any clock's milliseconds to take one more, always
	MaxAge           = 65535
)

// WithoutVolatile is the statement without what the digest leaves out: load, accusers, age.
func (s Statement) WithoutVolatile() Statement {
	s.Metadata.Load, s.LoadSeq, s.Accusers, s.Age = 0, 0, [3]uint64{}, 0
	return s
}

// Check reports whether the statement is within its bounds.
func (s Statement) Check() error {
	switch {
	case len(s.Name) < 1 || len(s.Name) > MaxName || !printable(s.Name, '!'):
		return fmt.Errorf("member's name %.60q: want 1 to %d printable bytes without blanks", s.Name, MaxName)
	case len(s.Metadata.Zone) > MaxText || !printable(s.Metadata.Zone, ' '):
		return fmt.Errorf("zone %.60q of %s: want at most %d printable bytes", s.Metadata.Zone, s.Name, MaxText)
	case len(s.Metadata.Version) > MaxText || !printable(s.Metadata.Version, ' '):
		return fmt.Errorf(
			"version %.60q of %s: want at most %d printable bytes",
			s.Metadata.Version,
			s.Name,
			MaxText,
		)
	case s.Number < -1 || s.Number > MaxNumber:
		return fmt.Errorf("number %d of %s: want -1 to %d", s.Number, s.Name, MaxNumber)
	case s.Generation >= MaxGeneration:
		return fmt.Errorf("life %d of %s: want less than 2^62", s.Generation, s.Name)
	case s.Health > Left:
		return fmt.Errorf("health %d of %s: unknown", s.Health, s.Name)
	case len(s.UnknownFields) > MaxUnknownFields:
		return fmt.Errorf(
			"%d bytes of unknown fields of %s: want at most %d",
			len(s.UnknownFields),
			s.Name,
			MaxUnknownFields,
		)
	}
	return nil
}

func printable(s string, lowest byte) bool {
	for i := range len(s) {
		if s[i] < lowest || s[i] > '~' {
			return false
		}
	}
	return true
}
