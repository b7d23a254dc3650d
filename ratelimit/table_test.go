package ratelimit

import (
	"slices"
	"time"

	"pgregory.net/rapid"
)

// tokens is a hand of plain numbers.
type tokens struct {
	left, full []float64
	refused    float64
}

func tokensOf(t *Table) *tokens {
	return &tokens{left: make([]float64, t.TokenSlots()), full: make([]float64, t.TokenSlots())}
}

func (h *tokens) Available(i int) float64   { return h.left[i] }
func (h *tokens) Capacity(i int) float64    { return h.full[i] }
func (h *tokens) Take(i int, n float64)     { h.left[i] -= n }
func (h *tokens) Return(i int, n float64)   { h.left[i] += n }
func (h *tokens) Rejected(_ int, n float64) { h.refused += n }

// add puts a part with limits of some units into a table that is being put together.
func (t *Table) add(within int, axis Attribute, word string, units ...Unit) int {
	self := len(t.Scopes)
	t.Scopes = append(t.Scopes, Scope{Parent: within, Attribute: axis, Value: word, FirstLimit: len(t.Limits), LimitCount: len(units)})
	for _, u := range units {
		l := Limit{Scope: self, Unit: u, Rate: 10, Weight: 1, Borrow: true, FallbackShare: 0.25, Status: 429, RetryAfter: time.Second}
		if u == UnitPerKey {
			l.KeySlots = 3
		}
		t.Limits = append(t.Limits, l)
		l.Parent, _ = t.enclosing(self, u)
		l.Name, l.Attribute = t.LimitName(self, u)
		t.Limits[len(t.Limits)-1] = l
	}
	return self
}

func newTable() *Table { return &Table{Format: Format} }

var words = []string{"a", "b", "c"}

// drawTable gives a table of which no request touches more than it may.
func drawTable(t *rapid.T) *Table {
	unit := rapid.IntRange(int(UnitRequests), int(UnitPerKey))
	units := func(most int) (list []Unit) {
		for _, u := range rapid.SliceOfNDistinct(unit, 0, most, rapid.ID).Draw(t, "units") {
			list = append(list, Unit(u))
		}
		slices.Sort(list)
		return list
	}
	table := newTable()
	table.add(-1, AttributeFleet, "", units(2)...)
	axis := rapid.IntRange(int(AttributeSite), int(AttributeCell))
	word := rapid.SampledFrom([]string{"a", "b", AnyOther})
	for range rapid.IntRange(0, 12).Draw(t, "parts") {
		within := rapid.IntRange(0, len(table.Scopes)-1).Draw(t, "within")
		a, w := Attribute(axis.Draw(t, "axis")), word.Draw(t, "word")
		if slices.ContainsFunc(table.Scopes, func(p Scope) bool { return p.Parent == within && p.Attribute == a && p.Value == w }) {
			continue
		}
		before := *table
		p := table.add(within, a, w, units(2)...)
		table.Scopes[p].Priority = rapid.IntRange(-1, 1).Draw(t, "priority")
		if limits, parts := table.MaxMatched(); limits > MaxMatchedLimits || parts > MaxMatchedScopes {
			*table = before
		}
	}
	for i := range table.Limits {
		table.Limits[i].PriorityReserve = rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "reserve")
	}
	table.Levels = []DegradationLevel{{EnterAbove: 0.1, RejectClasses: []string{"b"}, Status: 503}, {EnterAbove: 0.2, RejectClasses: []string{"c"}, Status: 503}}
	if err := table.Finalize(); err != nil {
		t.Fatal(err)
	}
	return table
}

func drawAsk(t *rapid.T) Request {
	word := rapid.SampledFrom(words)
	return Request{Site: word.Draw(t, "site"), Tenant: word.Draw(t, "book"), Class: word.Draw(t, "class"), Cell: word.Draw(t, "pod"),
		Key: rapid.SampledFrom([]string{"", "k", "l", "m", "n", "o"}).Draw(t, "key"), Retry: rapid.Bool().Draw(t, "repeat"),
		Work:     time.Duration(rapid.IntRange(0, 3).Draw(t, "cost")) * time.Millisecond,
		Priority: rapid.Bool().Draw(t, "priority"), Degradation: rapid.IntRange(-1, 3).Draw(t, "level")}
}

// plainly says what a request takes of each index of the hand, and whether it has priority, by asking every part.
func plainly(t *Table, a Request) (takes map[int]float64, priority bool) {
	takes, priority = map[int]float64{}, a.Priority
	deepest := ""
	var matches func(i int) bool
	matches = func(i int) bool {
		p := t.Scopes[i]
		if p.Parent < 0 {
			return true
		}
		own := map[Attribute]string{AttributeSite: a.Site, AttributeTenant: a.Tenant, AttributeClass: a.Class, AttributeCell: a.Cell}[p.Attribute]
		named := slices.ContainsFunc(t.Scopes, func(q Scope) bool { return q.Parent == p.Parent && q.Attribute == p.Attribute && q.Value == own })
		return matches(p.Parent) && (p.Value == own || p.Value == AnyOther && !named)
	}
	slots := len(t.Limits)
	for i, l := range t.Limits {
		first := slots
		slots += l.KeySlots
		if !matches(l.Scope) {
			continue
		}
		switch l.Unit {
		case UnitWork:
			takes[i] = float64(a.Work) / 1e6
		case UnitRetries:
			if a.Retry {
				takes[i] = 1
			}
		case UnitPerKey:
			if a.Key != "" {
				at := t.tokenSlot(i, a.Key)
				if at < first || at >= slots || t.LimitOf(at) != i {
					panic("a slot outside its limit's")
				}
				takes[at] = 1
			}
		default:
			takes[i] = 1
		}
	}
	for i, p := range t.Scopes {
		if path := t.axesOf(i); matches(i) && p.Priority != 0 &&
			(len(path) > len(deepest) || len(path) == len(deepest) && path >= deepest) {
			deepest, priority = path, p.Priority > 0
		}
	}
	return takes, priority
}

// axesOf gives the axes on the way to a part, outermost first, a letter each.
func (t *Table) axesOf(i int) string {
	if t.Scopes[i].Parent < 0 {
		return ""
	}
	return t.axesOf(t.Scopes[i].Parent) + string(rune('0'+t.Scopes[i].Attribute))
}
