package policy

import (
	"fmt"

	"wrenspread/ratelimit"
)

// resolveSchedule computes the windows of time in which a limit has other rates. They come from the limit's
// own schedule. If it has none, they come from the windows of the limit that its rates depend on:
// fractionBase for a limit with a fraction or a share, otherwise the outer limit. If no inherited window
// changes the limit's rates, the limit gets no windows.
func (c *compiler) resolveSchedule(scope *policyScope, limit *policyLimit, outer, fractionBase *policyLimit) {
	reference := outer
	if limit.raw.fraction != nil || limit.raw.share != nil {
		reference = fractionBase
	}
	timed := reference != nil && reference != limit && len(reference.windows) > 0
	if timed && len(limit.schedule) > 0 {
		c.addError(
			limit.schedule[0].source,
			"Times within times",
			fmt.Sprintf("The limit around this one (line %d) has `at` blocks, which also "+
				"apply to limits within it. Keep the `at` blocks of one of the two.", reference.source.Start.Line),
		)
		return
	}
	for i, entry := range limit.schedule {
		if j := coveringWindow(limit.schedule[:i], entry.window); j >= 0 {
			c.addError(
				entry.source,
				"Time without effect",
				fmt.Sprintf("The `at` block on line %d covers all of this time, and the first block decides. "+
					"Put the narrower time first.", limit.schedule[j].source.Start.Line),
			)
		}
		if entry.raw.invalid {
			continue
		}
		rates, _ := c.resolveRates(scope, limit, limit.raw.withOverride(entry.raw), outer, fractionBase)
		limit.windows = append(limit.windows, windowWith(entry.window, rates))
	}
	if !timed {
		return
	}
	changes := false
	for _, window := range reference.windows {
		baseLimit := &policyLimit{
			rates:  ratelimit.Rates{Rate: window.Rate, Burst: window.Burst, Floor: window.Floor},
			source: reference.source}
		outerAtTime, fractionBaseAtTime := outer, fractionBase
		if outer == reference {
			outerAtTime = baseLimit
		}
		if fractionBase == reference {
			fractionBaseAtTime = baseLimit
		}
		rates, _ := c.resolveRates(scope, limit, limit.raw.cappedAt(window.Rate), outerAtTime, fractionBaseAtTime)
		changes = changes || rates != limit.rates
		limit.windows = append(limit.windows, windowWith(window, rates))
	}
	if !changes {
		limit.windows = nil
	}
}

// windowWith returns a window with the given rates.
func windowWith(window ratelimit.ScheduleWindow, rates ratelimit.Rates) ratelimit.ScheduleWindow {
	window.Rate, window.Burst, window.Floor = rates.Rate, rates.Burst, rates.Floor
	return window
}

// coveringWindow returns the index of an earlier entry that is in force whenever the window is, or -1. The
// first matching entry of a schedule decides, so the window would never take effect.
func coveringWindow(earlier []scheduleEntry, window ratelimit.ScheduleWindow) int {
	for i, entry := range earlier {
		if coversDays(entry.window, window) && coversMinutes(entry.window, window) {
			return i
		}
	}
	return -1
}

// coversDays reports whether a window applies on all days of the month on which the other does.
func coversDays(window, other ratelimit.ScheduleWindow) bool {
	return window.LastDays == 0 || other.LastDays > 0 && other.LastDays <= window.LastDays
}

// coversMinutes reports whether a window applies in all minutes of a day in which the other does. A window
// that starts and ends at the same minute applies all day. A window that ends before it starts extends over
// midnight; it is taken to cover only a window with the same start and end.
func coversMinutes(window, other ratelimit.ScheduleWindow) bool {
	if window.FromMinute == window.ToMinute {
		return true
	}
	if window.FromMinute == other.FromMinute && window.ToMinute == other.ToMinute {
		return true
	}
	withinADay := other.FromMinute < other.ToMinute && window.FromMinute < window.ToMinute
	return withinADay && window.FromMinute <= other.FromMinute && window.ToMinute >= other.ToMinute
}
