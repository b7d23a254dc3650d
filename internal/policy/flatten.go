package policy

import (
	"cmp"
	"slices"

	"wrenspread/ratelimit"
)

// buildTable builds the table of scopes, limits and levels. The order of the scopes in the table does not
// depend on the order of the blocks in the source.
func (c *compiler) buildTable(fleet *policyScope) *ratelimit.Table {
	table := &ratelimit.Table{
		Format:    ratelimit.Format,
		UTCOffset: c.utcOffset,
		Scopes:    []ratelimit.Scope{},
		Limits:    []ratelimit.Limit{},
		Levels:    []ratelimit.DegradationLevel{},
	}
	for _, level := range c.levels {
		table.Levels = append(table.Levels, level.DegradationLevel)
	}
	c.addScope(table, fleet, -1, map[*policyLimit]int{})
	return table
}

// addScope adds a scope, its limits and the scopes within it to the table, sorted by attribute and value. The
// argument limitIndexes maps the limits that are in the table to their indexes; addScope adds the new ones.
func (c *compiler) addScope(
	table *ratelimit.Table, scope *policyScope, parentIndex int, limitIndexes map[*policyLimit]int) {
	scopeIndex := len(table.Scopes)
	table.Scopes = append(
		table.Scopes,
		ratelimit.Scope{
			Parent:     parentIndex,
			Attribute:  scope.attribute,
			Value:      scope.value,
			FirstLimit: len(table.Limits),
			Priority:   scope.priority,
		},
	)
	for _, limit := range scope.limits {
		if limit == nil {
			continue
		}
		parent := -1
		if outer := scope.parent.nearestLimit(limit.unit); outer != nil {
			parent = limitIndexes[outer]
		}
		limitIndexes[limit] = len(table.Limits)
		table.Limits = append(table.Limits, limit.toTable(table, scopeIndex, parent))
		table.Scopes[scopeIndex].LimitCount++
	}
	slices.SortFunc(scope.children, func(a, b *policyScope) int {
		return cmp.Or(cmp.Compare(a.attribute, b.attribute), cmp.Compare(a.value, b.value))
	})
	for _, child := range scope.children {
		c.addScope(table, child, scopeIndex, limitIndexes)
	}
}

// toTable returns the limit as an entry of the table, with the indexes of its scope and of its outer limit
// there; parentIndex is -1 for a limit without an outer limit.
func (l *policyLimit) toTable(table *ratelimit.Table, scopeIndex, parentIndex int) ratelimit.Limit {
	weight := 1.0
	if l.raw.weight != nil {
		weight = l.raw.weight.value
	}
	rates := l.rates
	flattened := ratelimit.Limit{
		Scope:  scopeIndex,
		Parent: parentIndex,
		Unit:   l.unit,
		Rate:   rates.Rate,
		Burst:  rates.Burst,
		Floor:  rates.Floor,
		Weight: weight,
		Borrow: l.raw.borrow == nil ||
			l.raw.borrow.value,
		FallbackShare:   l.fallbackShare,
		PriorityReserve: l.priorityReserve,
		KeySlots:        l.keySlots,
		Status:          l.status,
		RetryAfter:      l.retryAfter,
		Schedule:        l.windows,
	}
	flattened.Name, flattened.Attribute = table.LimitName(scopeIndex, l.unit)
	return flattened
}
