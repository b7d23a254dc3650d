package balancer

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
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

// ReadTable reads a table's canonical JSON, checks it and makes it ready for use. Fields that it doesn't know are
// ignored, but are a part of the digest, which is taken from the bytes.
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
	head := fmt.Appendf(nil, `{"format":%d,"version":%d,"digest":%q,`, t.Format, t.Version, t.Digest)
	rest, canonical := bytes.CutPrefix(data, head)
	if said := t.Digest; !canonical || said != digest(t.Format, rest) {
		return nil, fmt.Errorf("table: the digest %.16q is not that of the bytes", said)
	}
	return t, t.prepare()
}

// digest is over a table's JSON with version 0 and no digest.
func digest(format int, rest []byte) string {
	sum := sha256.New()
	fmt.Fprintf(sum, `{"format":%d,"version":0,"digest":"",%s`, format, rest)
	return hex.EncodeToString(sum.Sum(nil))
}

// JSON gives the table's canonical bytes.
func (t *Table) JSON() []byte {
	data, _ := json.Marshal(t) // finite numbers and strings, by Ready
	return data
}

// Ready checks a table that was put together, sets its digest, and makes it ready for use.
func (t *Table) Ready() error {
	if err := t.prepare(); err != nil {
		return err
	}
	t.Version, t.Digest = 0, ""
	rest := bytes.TrimPrefix(t.JSON(), fmt.Appendf(nil, `{"format":%d,"version":0,"digest":"",`, t.Format))
	t.Digest = digest(t.Format, rest)
	return nil
}

// prepare checks a table and builds what Admit needs.
func (t *Table) prepare() error {
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
	if limits, parts := t.Touched(); limits > MostTouched || parts > MostParts {
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
		if !(l.Below >= 0 && l.Below < l.Above && l.Above < 1) || !told(l.Status, l.Wait) ||
			len(l.Refuse) > MostLimits || !slices.IsSorted(l.Refuse) {
			return fmt.Errorf("level %d: %+v", i+1, l)
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
	case s.Priority < -1 || s.Priority > 1:
		return fmt.Errorf("priority %d", s.Priority)
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
	case !told(l.Status, l.Wait) || len(l.Spans) > MostSpans:
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

func told(status int, wait time.Duration) bool {
	return (status == 429 || status == 503) && wait >= 0 && wait <= mostWait
}

func (l *Limit) fits(f Figures) bool {
	sane := func(v float64) bool { return v >= 0 && v <= mostUnits && !math.IsNaN(v) }
	return sane(f.Rate) && sane(f.Burst) && sane(f.Floor) && f.Floor <= f.Rate && (l.Unit != UnitOpen || f.Burst == 0) &&
		(l.Borrow || f.Floor == f.Rate)
}
