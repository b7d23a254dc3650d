package policy

import (
	"cmp"
	"slices"

	"wrenspread/ratelimit"
)

// buildTable puts the scopes in the table's order, whatever order the text has.
func (c *compiler) buildTable(fleet *scope) *ratelimit.Table {
	t := &ratelimit.Table{
		Format:    ratelimit.Format,
		UTCOffset: c.zone,
		Scopes:    []ratelimit.Scope{},
		Limits:    []ratelimit.Limit{},
		Levels:    []ratelimit.DegradationLevel{},
	}
	for _, l := range c.levels {
		t.Levels = append(t.Levels, l.DegradationLevel)
	}
	c.addScope(t, fleet, -1, map[*limit]int{})
	return t
}

func (c *compiler) addScope(t *ratelimit.Table, p *scope, within int, at map[*limit]int) {
	self := len(t.Scopes)
	t.Scopes = append(
		t.Scopes,
		ratelimit.Scope{
			Parent:     within,
			Attribute:  p.attribute,
			Value:      p.value,
			FirstLimit: len(t.Limits),
			Priority:   p.priority,
		},
	)
	for _, l := range p.limits {
		if l == nil {
			continue
		}
		parent := -1
		if outer := p.parent.nearest(l.unit); outer != nil {
			parent = at[outer]
		}
		at[l] = len(t.Limits)
		t.Limits = append(t.Limits, l.toTable(t, self, parent))
		t.Scopes[self].LimitCount++
	}
	slices.SortFunc(p.children, func(a, b *scope) int {
		return cmp.Or(cmp.Compare(a.attribute, b.attribute), cmp.Compare(a.value, b.value))
	})
	for _, k := range p.children {
		c.addScope(t, k, self, at)
	}
}

func (l *limit) toTable(t *ratelimit.Table, part, parent int) ratelimit.Limit {
	weight := 1.0
	if l.raw.weight != nil {
		weight = l.raw.weight.value
	}
	f := l.rates
	flat := ratelimit.Limit{
		Scope:  part,
		Parent: parent,
		Unit:   l.unit,
		Rate:   f.Rate,
		Burst:  f.Burst,
		Floor:  f.Floor,
		Weight: weight,
		Borrow: l.raw.borrow == nil ||
			l.raw.borrow.value,
		FallbackShare:   l.fallbackShare,
		PriorityReserve: l.reserve,
		KeySlots:        l.slots,
		Status:          l.status,
		RetryAfter:      l.retryAfter,
		Schedule:        l.windows,
	}
	flat.Name, flat.Attribute = t.LimitName(part, l.unit)
	return flat
}
