// Package wire defines the datagrams that nodes send each other to maintain their views, and the statements
// in them. The package has no state. A datagram has at most 256 bytes. Decoding a malformed datagram gives an
// error, never a panic.
package wire

import (
	"fmt"
	"net/netip"
)

// Health says whether a member is alive, according to a statement on the member. Of two statements of one
// generation and incarnation, the one with the higher health prevails.
type Health uint8

// Only the member itself states Left, and only other members state Suspect and Dead.
const (
	Alive Health = iota
	Suspect
	Dead
	Left
)

// String returns the text of the health in reports and logs.
func (h Health) String() string {
	if names := [...]string{"alive", "suspect", "dead", "left"}; int(h) < len(names) {
		return names[h]
	}
	return fmt.Sprintf("health-%d", uint8(h))
}

// State is the state that a member reports of itself. Values beyond the known ones come from newer versions;
// such values are retained and passed on.
type State uint8

// The states of a member, in the order in which the member goes through them.
const (
	Joining State = iota
	Serving
	Draining
	Leaving
)

// String returns the text of the state in reports and logs.
func (s State) String() string {
	if names := [...]string{"joining", "serving", "draining", "leaving"}; int(s) < len(names) {
		return names[s]
	}
	return fmt.Sprintf("state-%d", uint8(s))
}

// Metadata is what a member reports of itself. A change of any field but Load raises the member's
// incarnation.
type Metadata struct {
	Zone, Version string // printable ASCII, at most MaxText bytes each
	Catalogue     uint64 // version of the tenants' catalogue that the member has
	Policy        uint64 // version of the policy that the member has
	FencingToken  uint64 // fencing token under which the member holds the quota allocator's lease; 0 means none
	Load          uint16 // per mille; not covered by the digest
	State         State
}

// Statement is a statement of one node on a member. Statements can be compared with ==.
type Statement struct {
	Name          string         // printable ASCII without blanks, 1 to MaxName bytes
	Number        int            // index among the configured peers, at most MaxNumber; -1 means none
	Addr          netip.AddrPort // advertised by the member; may be invalid
	Generation    uint64         // below MaxGeneration
	Incarnation   uint32
	Health        Health
	Metadata      Metadata
	LoadSeq       uint32    // rises with each new load of a generation
	Accusers      [3]uint64 // the three smallest hashes of accusers' names, ascending; unused ones 0 and last
	Age           uint16    // tenths of a second since the member died or left; at most MaxAge
	UnknownFields string    // fields of newer versions, passed on unchanged; at most MaxUnknownFields bytes
}

// Bounds of statements. With all values at their bounds, one statement still fits into one datagram
// (TestLargestStatementFitsIntoOneDatagram).
const (
	MaxName          = 48 // bytes
	MaxText          = 24 // bytes
	MaxUnknownFields = 21 // bytes
	MaxNumber        = 65534
	MaxGeneration    = 1 << 62 // far above any clock's milliseconds, so that a generation can always be raised
	MaxAge           = 65535   // tenths of a second
)

// WithoutVolatile returns the statement without the fields that the digest does not cover: load, accusers and
// age.
func (s Statement) WithoutVolatile() Statement {
	s.Metadata.Load, s.LoadSeq, s.Accusers, s.Age = 0, 0, [3]uint64{}, 0
	return s
}

// Check returns an error if a field of the statement is out of its bounds.
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
		return fmt.Errorf("generation %d of %s: want less than 2^62", s.Generation, s.Name)
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

// printable reports whether all bytes of s are printable ASCII and not below lowest.
func printable(s string, lowest byte) bool {
	for i := range len(s) {
		if s[i] < lowest || s[i] > '~' {
			return false
		}
	}
	return true
}
