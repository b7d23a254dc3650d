package decide

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strings"
	"time"
)

const (
	mostBytes = 16 << 20 // of a table's JSON: 10,000 limits take about 4 MB
	mostUnits = 1e12     // of any figure
	mostWait  = time.Hour
)

type partKey struct {
	within int32
	axis   Axis
	word   string
}

// ReadTable reads a table's JSON, checks it and makes it ready for use. Fields that it doesn't know are ignored.
func ReadTable(data []byte) (*Table, error) {
	if len(data) > mostBytes {
		return nil, fmt.Errorf("table of %d bytes, %d at most", len(data), mostBytes)
	}
	t := &Table{}
	if err := json.Unmarshal(data, t); err != nil {
		return nil, fmt.Errorf("table: %w", err)
	}
	if t.Format != TableFormat {
		return nil, fmt.Errorf("table of format %d, this program knows %d", t.Format, TableFormat)
	}
	said := t.Digest
	if err := t.Ready(); err != nil {
		return nil, err
	}
	if said != t.Digest {
		return nil, fmt.Errorf("table says digest %.16q, but has %.16q", said, t.Digest)
	}
	return t, nil
}

// JSON gives the table's canonical bytes.
func (t *Table) JSON() []byte {
	data, _ := json.Marshal(t) // finite numbers and strings, by Ready
	return data
}

// Ready checks a table, sets its digest, and builds what Admit needs. It must have come back without an error before
// the table is used.
func (t *Table) Ready() error {
	if err := t.check(); err != nil {
		return fmt.Errorf("table: %w", err)
	}
	t.index, t.axes = make(map[partKey]int32, len(t.Parts)), make([]uint8, len(t.Parts))
	for i, s := range t.Parts[1:] {
		t.axes[s.Within] |= 1 << s.Axis
		k := partKey{int32(s.Within), s.Axis, s.Word}
		if _, twice := t.index[k]; twice {
			return fmt.Errorf("table: part %d is there twice", i+1)
		}
		t.index[k] = int32(i + 1)
	}
	if limits, parts := t.touched(); limits > MostTouched || parts > MostParts {
		return fmt.Errorf("table: one request can touch %d limits and %d parts, %d and %d at most",
			limits, parts, MostTouched, MostParts)
	}
	t.slots, t.hands = make([]int32, len(t.Limits)), len(t.Limits)
	for i, l := range t.Limits {
		if l.Slots > 0 {
			t.slots[i], t.hands = int32(t.hands), t.hands+l.Slots
		}
	}
	if t.hands-len(t.Limits) > MostSlots {
		return fmt.Errorf("table: %d slots of keys, %d at most", t.hands-len(t.Limits), MostSlots)
	}
	bare := *t
	bare.Version, bare.Digest = 0, ""
	sum := sha256.Sum256(bare.JSON())
	t.Digest = hex.EncodeToString(sum[:])
	return nil
}

// Hands is how many indexes a Hand keeps: one for each limit, then the slots of those that go by key, in the limits'
// order. A slot has its limit's rate and burst.
func (t *Table) Hands() int { return t.hands }

// LimitOf gives the limit of a hand's index.
func (t *Table) LimitOf(hand int) int {
	if hand < len(t.Limits) {
		return hand
	}
	for i, at := range t.slots {
		if at > 0 && hand >= int(at) && hand < int(at)+t.Limits[i].Slots {
			return i
		}
	}
	return -1
}

func (t *Table) check() error {
	switch {
	case t.Format != TableFormat:
		return fmt.Errorf("format %d", t.Format)
	case len(t.Parts) == 0 || len(t.Parts) > MostLimits || len(t.Limits) > MostLimits || len(t.Levels) > MostLevels:
		return fmt.Errorf("%d parts, %d limits, %d levels", len(t.Parts), len(t.Limits), len(t.Levels))
	case t.Zone < -24*60 || t.Zone > 24*60:
		return fmt.Errorf("%d minutes ahead of UTC", t.Zone)
	}
	next := 0
	for i, s := range t.Parts {
		if err := t.checkPart(i, s, next); err != nil {
			return fmt.Errorf("part %d: %w", i, err)
		}
		next += s.Count
	}
	if next != len(t.Limits) {
		return errors.New("limits without a part")
	}
	for i := range t.Limits {
		if err := t.checkLimit(i); err != nil {
			return fmt.Errorf("limit %d: %w", i, err)
		}
	}
	for i, l := range t.Levels {
		if !(l.Below >= 0 && l.Below < l.Above && l.Above < 1) {
			return fmt.Errorf("level %d: above %v, below %v", i+1, l.Above, l.Below)
		}
	}
	return nil
}

func (t *Table) checkPart(i int, s Part, next int) error {
	switch {
	case i == 0 && (s.Within != -1 || s.Axis != OfFleet), i > 0 && (s.Within < 0 || s.Within >= i):
		return fmt.Errorf("within %d", s.Within)
	case i > 0 && (s.Axis < OfSite || s.Axis > OfPod || s.Word == "" || len(s.Word) > MostName ||
		strings.ContainsAny(s.Word, "/:")):
		return fmt.Errorf("axis %d, word %.40q", s.Axis, s.Word)
	case s.First != next || s.Count < 0 || s.Count > len(t.Limits)-next:
		return fmt.Errorf("limits %d and %d after", s.First, s.Count)
	case s.Priority < -1 || s.Priority > 1 || s.ShedAt < 0 || s.ShedAt > len(t.Levels):
		return fmt.Errorf("priority %d, shed at %d", s.Priority, s.ShedAt)
	}
	return nil
}

func (t *Table) checkLimit(i int) error {
	l := &t.Limits[i]
	if l.Part < 0 || l.Part >= len(t.Parts) {
		return fmt.Errorf("part %d", l.Part)
	}
	s := t.Parts[l.Part]
	parent, axis := t.around(l.Part, l.Unit)
	switch {
	case i < s.First || i >= s.First+s.Count || i > s.First && l.Unit <= t.Limits[i-1].Unit:
		return errors.New("not in the order of its part's limits")
	case l.Unit < UnitRequests || l.Unit > UnitKey || (l.Unit == UnitKey) != (l.Slots > 0) || l.Slots > MostSlots:
		return fmt.Errorf("unit %d, %d slots", l.Unit, l.Slots)
	case l.Parent != parent || l.Axis != axis || l.Name != t.NameOf(l.Part)+l.Unit.suffix():
		return fmt.Errorf("%.80q has parent %d, axis %d, for %d and %d by its place", l.Name, l.Parent, l.Axis, parent, axis)
	case !(l.Weight > 0 && l.Weight <= mostUnits && l.Safe > 0 && l.Safe <= 1 && l.Reserve >= 0 && l.Reserve < 1):
		return fmt.Errorf("weight %v, safe %v, reserve %v", l.Weight, l.Safe, l.Reserve)
	case l.Status != 429 && l.Status != 503 || l.Wait < 0 || l.Wait > mostWait || len(l.Spans) > MostSpans:
		return fmt.Errorf("status %d, wait %v, %d spans", l.Status, l.Wait, len(l.Spans))
	case !l.fits(Figures{l.Rate, l.Burst, l.Floor}):
		return fmt.Errorf("rate %v, burst %v, floor %v", l.Rate, l.Burst, l.Floor)
	}
	for _, s := range l.Spans {
		if !l.fits(Figures{s.Rate, s.Burst, s.Floor}) || s.From < 0 || s.To < 0 || s.LastDays < 0 ||
			s.From >= 24*60 || s.To >= 24*60 || s.LastDays > 31 {
			return fmt.Errorf("span %+v", s)
		}
	}
	return nil
}

func (l *Limit) fits(f Figures) bool {
	sane := func(v float64) bool { return v >= 0 && v <= mostUnits && !math.IsNaN(v) }
	return sane(f.Rate) && sane(f.Burst) && sane(f.Floor) && f.Floor <= f.Rate && (l.Unit != UnitOpen || f.Burst == 0) &&
		(l.Borrow || f.Floor == f.Rate)
}

// around finds the nearest limit of a unit around a part, and the axis of the first word past it.
func (t *Table) around(part int, u Unit) (parent int, axis Axis) {
	for at := part; t.Parts[at].Within >= 0; {
		axis, at = t.Parts[at].Axis, t.Parts[at].Within
		s := t.Parts[at]
		for i := s.First; i < s.First+s.Count && i < len(t.Limits); i++ {
			if t.Limits[i].Unit == u {
				return i, axis
			}
		}
	}
	return -1, axis
}

// touched bounds the limits and parts that one request can touch: of siblings of one axis it matches one.
func (t *Table) touched() (limits, parts int) {
	type most struct{ limits, parts [OfPod + 1]int }
	below := make([]most, len(t.Parts))
	for i := len(t.Parts) - 1; i >= 0; i-- {
		s := t.Parts[i]
		limits, parts = s.Count, 1
		for a := range below[i].limits {
			limits, parts = limits+below[i].limits[a], parts+below[i].parts[a]
		}
		if s.Within >= 0 {
			up := &below[s.Within]
			up.limits[s.Axis], up.parts[s.Axis] = max(up.limits[s.Axis], limits), max(up.parts[s.Axis], parts)
		}
	}
	return limits, parts
}

// NameOf gives a part's path in words.
func (t *Table) NameOf(part int) string {
	var parts []string
	for ; t.Parts[part].Within >= 0; part = t.Parts[part].Within {
		parts = append(parts, t.Parts[part].Axis.String()+"/"+t.Parts[part].Word)
	}
	if parts == nil {
		return OfFleet.String()
	}
	for i, j := 0, len(parts)-1; i < j; i, j = i+1, j-1 {
		parts[i], parts[j] = parts[j], parts[i]
	}
	return strings.Join(parts, "/")
}

func (a Axis) String() string { return [...]string{"fleet", "site", "book", "class", "pod"}[a] }

func (u Unit) String() string { return [...]string{"requests", "work", "open", "repeats", "key"}[u] }

func (u Unit) suffix() string {
	if u == UnitRequests {
		return ""
	}
	return ":" + u.String()
}
