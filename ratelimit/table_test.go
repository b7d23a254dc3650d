package ratelimit

import (
	"slices"
	"time"

	"pgregory.net/rapid"
)

// fixedTokens implements Tokens with numbers that tests set.
type fixedTokens struct {
	available, capacity []float64
	rejected            float64
}

func newTokens(table *Table) *fixedTokens {
	return &fixedTokens{available: make([]float64, table.TokenSlots()), capacity: make([]float64, table.TokenSlots())}
}

func (f *fixedTokens) Available(i int) float64   { return f.available[i] }
func (f *fixedTokens) Capacity(i int) float64    { return f.capacity[i] }
func (f *fixedTokens) Take(i int, n float64)     { f.available[i] -= n }
func (f *fixedTokens) Return(i int, n float64)   { f.available[i] += n }
func (f *fixedTokens) Rejected(_ int, n float64) { f.rejected += n }

// addScope adds a scope with a limit for each unit to a table that is being built, and returns its index.
func (t *Table) addScope(parent int, attribute Attribute, value string, units ...Unit) int {
	scope := len(t.Scopes)
	t.Scopes = append(t.Scopes, Scope{Parent: parent, Attribute: attribute, Value: value, FirstLimit: len(t.Limits), LimitCount: len(units)})
	for _, u := range units {
		l := Limit{Scope: scope, Unit: u, Rate: 10, Weight: 1, Borrow: true, FallbackShare: 0.25, Status: 429, RetryAfter: time.Second}
		if u == UnitPerKey {
			l.KeySlots = 3
		}
		t.Limits = append(t.Limits, l)
		l.Parent, _ = t.enclosing(scope, u)
		l.Name, l.Attribute = t.LimitName(scope, u)
		t.Limits[len(t.Limits)-1] = l
	}
	return scope
}

func newTable() *Table { return &Table{Format: Format} }

var attributeValues = []string{"a", "b", "c"}

// drawTable draws a table in which no request matches more than the maximum of limits and scopes.
func drawTable(t *rapid.T) *Table {
	unit := rapid.IntRange(int(UnitRequests), int(UnitPerKey))
	units := func(maxUnits int) (list []Unit) {
		for _, u := range rapid.SliceOfNDistinct(unit, 0, maxUnits, rapid.ID).Draw(t, "units") {
			list = append(list, Unit(u))
		}
		slices.Sort(list)
		return list
	}
	table := newTable()
	table.addScope(-1, AttributeFleet, "", units(2)...)
	attributes := rapid.IntRange(int(AttributeSite), int(AttributeCell))
	values := rapid.SampledFrom([]string{"a", "b", AnyOther})
	for range rapid.IntRange(0, 12).Draw(t, "scopes") {
		parent := rapid.IntRange(0, len(table.Scopes)-1).Draw(t, "parent")
		attr, value := Attribute(attributes.Draw(t, "attribute")), values.Draw(t, "value")
		if slices.ContainsFunc(table.Scopes, func(s Scope) bool { return s.Parent == parent && s.Attribute == attr && s.Value == value }) {
			continue
		}
		before := *table
		scope := table.addScope(parent, attr, value, units(2)...)
		table.Scopes[scope].Priority = rapid.IntRange(-1, 1).Draw(t, "priority")
		if limits, scopes := table.MaxMatched(); limits > MaxMatchedLimits || scopes > MaxMatchedScopes {
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

func drawRequest(t *rapid.T) Request {
	value := rapid.SampledFrom(attributeValues)
	return Request{Site: value.Draw(t, "site"), Tenant: value.Draw(t, "tenant"), Class: value.Draw(t, "class"), Cell: value.Draw(t, "cell"),
		Key: rapid.SampledFrom([]string{"", "k", "l", "m", "n", "o"}).Draw(t, "key"), Retry: rapid.Bool().Draw(t, "retry"),
		Work:     time.Duration(rapid.IntRange(0, 3).Draw(t, "work")) * time.Millisecond,
		Priority: rapid.Bool().Draw(t, "priority"), Degradation: rapid.IntRange(-1, 3).Draw(t, "level")}
}

// expectedCharges returns what a request takes of each token slot, and whether it has priority, by checking
// every scope.
func expectedCharges(t *Table, request Request) (charges map[int]float64, priority bool) {
	charges, priority = map[int]float64{}, request.Priority
	deepestPath := ""
	var matches func(i int) bool
	matches = func(i int) bool {
		p := t.Scopes[i]
		if p.Parent < 0 {
			return true
		}
		value := map[Attribute]string{AttributeSite: request.Site, AttributeTenant: request.Tenant, AttributeClass: request.Class, AttributeCell: request.Cell}[p.Attribute]
		hasOwnScope := slices.ContainsFunc(t.Scopes, func(q Scope) bool { return q.Parent == p.Parent && q.Attribute == p.Attribute && q.Value == value })
		return matches(p.Parent) && (p.Value == value || p.Value == AnyOther && !hasOwnScope)
	}
	nextSlot := len(t.Limits)
	for i, limit := range t.Limits {
		firstSlot := nextSlot
		nextSlot += limit.KeySlots
		if !matches(limit.Scope) {
			continue
		}
		switch limit.Unit {
		case UnitWork:
			charges[i] = float64(request.Work) / 1e6
		case UnitRetries:
			if request.Retry {
				charges[i] = 1
			}
		case UnitPerKey:
			if request.Key != "" {
				slot := t.tokenSlot(i, request.Key)
				if slot < firstSlot || slot >= nextSlot || t.LimitOfSlot(slot) != i {
					panic("token slot outside the slots of its limit")
				}
				charges[slot] = 1
			}
		default:
			charges[i] = 1
		}
	}
	for i, scope := range t.Scopes {
		if path := t.attributePath(i); matches(i) && scope.Priority != 0 &&
			(len(path) > len(deepestPath) || len(path) == len(deepestPath) && path >= deepestPath) {
			deepestPath, priority = path, scope.Priority > 0
		}
	}
	return charges, priority
}

// attributePath returns the attributes on the path to a scope, outermost first, one letter each.
func (t *Table) attributePath(i int) string {
	if t.Scopes[i].Parent < 0 {
		return ""
	}
	return t.attributePath(t.Scopes[i].Parent) + string(rune('0'+t.Scopes[i].Attribute))
}
