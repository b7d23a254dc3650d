package policy

import (
	"cmp"
	"slices"

	"wrenspread/ratelimit"
)

// flatten puts the parts in the table's order, whatever order the text has.
func (c *compiler) flatten(fleet *part) *ratelimit.Table {
	t := &ratelimit.Table{Format: ratelimit.Format, UTCOffset: c.zone, Scopes: []ratelimit.Scope{}, Limits: []ratelimit.Limit{},
		Levels: []ratelimit.DegradationLevel{}}
	for _, l := range c.levels {
		t.Levels = append(t.Levels, l.DegradationLevel)
	}
	c.place(t, fleet, -1, map[*limit]int{})
	return t
}

func (c *compiler) place(t *ratelimit.Table, p *part, within int, at map[*limit]int) {
	self := len(t.Scopes)
	t.Scopes = append(t.Scopes, ratelimit.Scope{Parent: within, Attribute: p.axis, Value: p.word, FirstLimit: len(t.Limits), Priority: p.priority})
	for _, l := range p.limits {
		if l == nil {
			continue
		}
		parent := -1
		if outer := p.up.nearest(l.unit); outer != nil {
			parent = at[outer]
		}
		at[l] = len(t.Limits)
		t.Limits = append(t.Limits, l.flat(t, self, parent))
		t.Scopes[self].LimitCount++
	}
	slices.SortFunc(p.children, func(a, b *part) int {
		return cmp.Or(cmp.Compare(a.axis, b.axis), cmp.Compare(a.word, b.word))
	})
	for _, k := range p.children {
		c.place(t, k, self, at)
	}
}

func (l *limit) flat(t *ratelimit.Table, part, parent int) ratelimit.Limit {
	weight := 1.0
	if l.rough.weight != nil {
		weight = l.rough.weight.n
	}
	f := l.figures
	flat := ratelimit.Limit{Scope: part, Parent: parent, Unit: l.unit, Rate: f.Rate, Burst: f.Burst, Floor: f.Floor, Weight: weight,
		Borrow: l.rough.borrow == nil || l.rough.borrow.on, FallbackShare: l.safe, PriorityReserve: l.reserve, KeySlots: l.slots, Status: l.status,
		RetryAfter: l.wait, Schedule: l.spans}
	flat.Name, flat.Attribute = t.LimitName(part, l.unit)
	return flat
}
