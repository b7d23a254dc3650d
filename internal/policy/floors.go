package policy

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"wrenspread/ratelimit"
)

// checkFloors finds floors of siblings that add up to more than the limit around them has, at any time.
func (c *compiler) checkFloors(t *ratelimit.Table, fleet *scope) {
	type group struct {
		parent int
		axis   ratelimit.Attribute
	}
	groups, order := map[group][]int{}, []group{}
	for i, l := range t.Limits {
		if l.Parent < 0 || l.Unit > ratelimit.UnitConcurrency {
			continue
		}
		g := group{l.Parent, l.Attribute}
		if groups[g] == nil {
			order = append(order, g)
		}
		groups[g] = append(groups[g], i)
	}
	places := scopesInOrder(fleet)
	for _, g := range order {
		at := moments(t, append([]int{g.parent}, groups[g]...))
		if len(at) > maxMoments {
			c.addError(
				places[t.Limits[g.parent].Scope].source,
				"Too many times",
				"The limits within this one change at too many different "+
					"times of day. Let them begin and end together.",
			)
			continue
		}
		for _, at := range at {
			if c.checkFloorsAt(t, g.parent, groups[g], at, places) {
				break // once for each group
			}
		}
	}
}

// checkFloorsAt compares one group's floors with what is there at a time.
func (c *compiler) checkFloorsAt(
	t *ratelimit.Table,
	parent int,
	group []int,
	at time.Time,
	places []*scope,
) bool {
	there, sum, most := t.RatesAt(parent, at).Rate, 0.0, group[0]
	for _, i := range group {
		sum += t.RatesAt(i, at).Floor
		if t.RatesAt(i, at).Floor > t.RatesAt(most, at).Floor {
			most = i
		}
	}
	if sum <= there*(1+tolerance) {
		return false
	}
	var names []string
	for _, i := range group {
		if f := t.RatesAt(i, at).Floor; f > 0 && len(names) < 8 {
			names = append(names, fmt.Sprintf("%s %s", t.Limits[i].Name, formatNumber(f)))
		}
	}
	p := places[t.Limits[most].Scope]
	when := ""
	if t.Limits[parent].Schedule != nil ||
		slices.ContainsFunc(group, func(i int) bool { return t.Limits[i].Schedule != nil }) {
		when = at.Add(time.Duration(t.UTCOffset)*time.Minute).
			Format(" at 15:04 on day 2") +
			" of a month of 31 days"
	}
	c.addError(
		p.source,
		"Floors that add up to more than is there",
		fmt.Sprintf("%s has %s%s, and the floors within it come to %s (%s). "+
			"Lower some by %s together, or raise %s.",
			t.Limits[parent].Name, formatNumber(there), when, formatNumber(sum),
			strings.Join(names, ", "), formatNumber(sum-there), t.Limits[parent].Name),
	)
	return true
}

// scopesInOrder returns the blocks in the order of the table's scopes.
func scopesInOrder(fleet *scope) (places []*scope) {
	fleet.each(func(p *scope) { places = append(places, p) }) // flatten has put them in order
	return places
}

// times at which a limit's floors are added up: 30 times of day on each day of a month
const maxMoments = 2_000

// moments are times, one in each stretch in which no figure of the limits changes: in a month of 31 days, as
// far from its end as the times tell apart.
func moments(t *ratelimit.Table, limits []int) (list []time.Time) {
	minutes, left := []int{0}, []int{30}
	for _, i := range limits {
		for _, s := range t.Limits[i].Schedule {
			minutes = append(minutes, s.FromMinute, s.ToMinute)
			if s.LastDays > 0 {
				left = append(left, max(s.LastDays-2, 0), s.LastDays-1, min(s.LastDays, 30))
			}
		}
	}
	slices.Sort(minutes)
	slices.Sort(left)
	minutes, left = slices.Compact(minutes), slices.Compact(left)
	for _, days := range left {
		for _, m := range minutes {
			there := time.Date(2026, time.January, 31-days, 0, m, 0, 0, time.UTC)
			list = append(list, there.Add(-time.Duration(t.UTCOffset)*time.Minute))
		}
	}
	return list
}

// checkSize compares the whole with what a table can hold.
func (c *compiler) checkSize(t *ratelimit.Table, fleet *scope) {
	if len(t.Limits) > ratelimit.MaxLimits {
		c.addError(
			fleet.source,
			"Too many limits",
			fmt.Sprintf("There are %d, %d at most. Let parts with little to do share one block with the "+
				"name \"*\".", len(t.Limits), ratelimit.MaxLimits),
		)
	}
	slots := 0
	for _, l := range t.Limits {
		slots += l.KeySlots
	}
	if slots > ratelimit.MaxKeySlots {
		c.addError(
			fleet.source,
			"Too many slots of keys",
			fmt.Sprintf("All `key` blocks have %d together, %d at most. Give each fewer slots.",
				slots, ratelimit.MaxKeySlots),
		)
	}
	if limits, parts := t.MaxMatched(); limits > ratelimit.MaxMatchedLimits ||
		parts > ratelimit.MaxMatchedScopes {
		c.addError(
			fleet.source,
			"Limits too deep",
			fmt.Sprintf("One request can touch %d limits in %d parts, %d and %d at most. Drop limits "+
				"that those around them make needless, or write requests { share = ... } where a part's share "+
				"makes a limit in each unit.",
				limits, parts, ratelimit.MaxMatchedLimits, ratelimit.MaxMatchedScopes),
		)
	}
}
