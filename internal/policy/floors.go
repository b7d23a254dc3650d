package policy

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"wrenspread/ratelimit"
)

// checkFloors reports sibling limits whose floors add up to more than the rate of their outer limit, at any
// time of a schedule. Siblings have the same outer limit and attribute.
func (c *compiler) checkFloors(table *ratelimit.Table, fleet *policyScope) {
	type group struct {
		parent    int
		attribute ratelimit.Attribute
	}
	groups, order := map[group][]int{}, []group{}
	for i, limit := range table.Limits {
		if limit.Parent < 0 || limit.Unit > ratelimit.UnitConcurrency {
			continue
		}
		siblings := group{limit.Parent, limit.Attribute}
		if groups[siblings] == nil {
			order = append(order, siblings)
		}
		groups[siblings] = append(groups[siblings], i)
	}
	scopes := scopesInOrder(fleet)
	for _, siblings := range order {
		times := sampleTimes(table, append([]int{siblings.parent}, groups[siblings]...))
		if len(times) > maxSampleTimes {
			c.addError(
				scopes[table.Limits[siblings.parent].Scope].source,
				"Too many times",
				"The limits within this one change at too many different "+
					"times of day. Let their `at` blocks begin and end at the same times.",
			)
			continue
		}
		for _, at := range times {
			if c.checkFloorsAt(table, siblings.parent, groups[siblings], at, scopes) {
				break // report each group of siblings once
			}
		}
	}
}

// checkFloorsAt compares the sum of the floors of one group of siblings with the rate of their outer limit at
// a time. It reports whether the sum exceeds the rate.
func (c *compiler) checkFloorsAt(
	table *ratelimit.Table,
	parent int,
	group []int,
	at time.Time,
	scopes []*policyScope,
) bool {
	available, sum, largest := table.RatesAt(parent, at).Rate, 0.0, group[0]
	for _, i := range group {
		sum += table.RatesAt(i, at).Floor
		if table.RatesAt(i, at).Floor > table.RatesAt(largest, at).Floor {
			largest = i
		}
	}
	if sum <= available*(1+tolerance) {
		return false
	}
	var names []string
	for _, i := range group {
		if floor := table.RatesAt(i, at).Floor; floor > 0 && len(names) < 8 {
			names = append(names, fmt.Sprintf("%s %s", table.Limits[i].Name, formatNumber(floor)))
		}
	}
	scope := scopes[table.Limits[largest].Scope]
	timeText := ""
	if table.Limits[parent].Schedule != nil ||
		slices.ContainsFunc(group, func(i int) bool { return table.Limits[i].Schedule != nil }) {
		timeText = at.Add(time.Duration(table.UTCOffset)*time.Minute).
			Format(" at 15:04 on day 2") +
			" of a month of 31 days"
	}
	c.addError(
		scope.source,
		"Floors above the limit around them",
		fmt.Sprintf("%s allows %s%s, but the floors within it add up to %s (%s). "+
			"Lower them by %s in total, or raise %s.",
			table.Limits[parent].Name, formatNumber(available), timeText, formatNumber(sum),
			strings.Join(names, ", "), formatNumber(sum-available), table.Limits[parent].Name),
	)
	return true
}

// scopesInOrder returns the scopes in the order of the table's scopes.
func scopesInOrder(fleet *policyScope) (scopes []*policyScope) {
	fleet.each(func(scope *policyScope) { scopes = append(scopes, scope) }) // addScope has sorted the children
	return scopes
}

// maxSampleTimes bounds the times at which the floors of one group of siblings are added up. It is enough for
// 30 times of day on each day of a month.
const maxSampleTimes = 2_000

// sampleTimes returns one time within each interval in which the rates of all given limits are constant. The
// times are in a month of 31 days: on its first day and, for each window that applies only to the last days
// of the month, on the first of these days and on the days before and after it.
func sampleTimes(table *ratelimit.Table, limits []int) (times []time.Time) {
	minutes, daysLeft := []int{0}, []int{30}
	for _, i := range limits {
		for _, window := range table.Limits[i].Schedule {
			minutes = append(minutes, window.FromMinute, window.ToMinute)
			if window.LastDays > 0 {
				daysLeft = append(daysLeft, max(window.LastDays-2, 0), window.LastDays-1, min(window.LastDays, 30))
			}
		}
	}
	slices.Sort(minutes)
	slices.Sort(daysLeft)
	minutes, daysLeft = slices.Compact(minutes), slices.Compact(daysLeft)
	for _, days := range daysLeft {
		for _, minute := range minutes {
			moment := time.Date(2026, time.January, 31-days, 0, minute, 0, 0, time.UTC)
			times = append(times, moment.Add(-time.Duration(table.UTCOffset)*time.Minute))
		}
	}
	return times
}

// checkSize reports a policy with more limits, key slots or limits for one request than a table may have.
func (c *compiler) checkSize(table *ratelimit.Table, fleet *policyScope) {
	if len(table.Limits) > ratelimit.MaxLimits {
		c.addError(
			fleet.source,
			"Too many limits",
			fmt.Sprintf("The policy has %d limits, %d at most. Let parts with little traffic share one block "+
				"with the name \"*\".", len(table.Limits), ratelimit.MaxLimits),
		)
	}
	slots := 0
	for _, limit := range table.Limits {
		slots += limit.KeySlots
	}
	if slots > ratelimit.MaxKeySlots {
		c.addError(
			fleet.source,
			"Too many key slots",
			fmt.Sprintf("All `key` blocks have %d slots together, %d at most. Set fewer slots in each.",
				slots, ratelimit.MaxKeySlots),
		)
	}
	if limits, scopes := table.MaxMatched(); limits > ratelimit.MaxMatchedLimits ||
		scopes > ratelimit.MaxMatchedScopes {
		c.addError(
			fleet.source,
			"Too many limits for one request",
			fmt.Sprintf("One request can match %d limits in %d parts, %d and %d at most. Remove limits that "+
				"the limits around them make needless, or write requests { share = ... } in a part instead of "+
				"a share, which adds a limit in each unit.",
				limits, scopes, ratelimit.MaxMatchedLimits, ratelimit.MaxMatchedScopes),
		)
	}
}
