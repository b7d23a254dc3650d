package policy

import (
	"cmp"
	"slices"

	"wrenspread/balancer"
)

// flatten puts the parts in the table's order, whatever order the text has.
func (c *compiler) flatten(fleet *part) *balancer.Table {
	t := &balancer.Table{Format: balancer.TableFormat, Zone: c.zone, Parts: []balancer.Part{}, Limits: []balancer.Limit{},
		Levels: []balancer.Level{}}
	for _, l := range c.levels {
		t.Levels = append(t.Levels, l.Level)
	}
	c.place(t, fleet, -1, map[*limit]int{})
	return t
}

func (c *compiler) place(t *balancer.Table, p *part, within int, at map[*limit]int) {
	self := len(t.Parts)
	t.Parts = append(t.Parts, balancer.Part{Within: within, Axis: p.axis, Word: p.word, First: len(t.Limits), Priority: p.priority})
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
		t.Parts[self].Count++
	}
	slices.SortFunc(p.children, func(a, b *part) int {
		return cmp.Or(cmp.Compare(a.axis, b.axis), cmp.Compare(a.word, b.word))
	})
	for _, k := range p.children {
		c.place(t, k, self, at)
	}
}

func (l *limit) flat(t *balancer.Table, part, parent int) balancer.Limit {
	weight := 1.0
	if l.rough.weight != nil {
		weight = l.rough.weight.n
	}
	f := l.figures
	flat := balancer.Limit{Part: part, Parent: parent, Unit: l.unit, Rate: f.Rate, Burst: f.Burst, Floor: f.Floor, Weight: weight,
		Borrow: l.rough.borrow == nil || l.rough.borrow.on, Safe: l.safe, Reserve: l.reserve, Slots: l.slots, Status: l.status,
		Wait: l.wait, Spans: l.spans}
	flat.Name, flat.Axis = t.Place(part, l.unit)
	return flat
}
