package policy

import (
	"fmt"

	"wrenspread/ratelimit"
)

// resolveSchedule evaluates the times with other figures: the limit's own, or those that follow from the
// whole's.
func (c *compiler) resolveSchedule(p *scope, l *limit, outer, whole *limit) {
	base := outer
	if l.raw.fraction != nil || l.raw.share != nil {
		base = whole
	}
	timed := base != nil && base != l && len(base.windows) > 0
	if timed && len(l.schedule) > 0 {
		c.addError(
			l.schedule[0].source,
			"Times within times",
			fmt.Sprintf("The limit around this one (line %d) has times of its own, which "+
				"shares of it follow by themselves. Give times to one of the two.", base.source.Start.Line),
		)
		return
	}
	for i, t := range l.schedule {
		if j := coveringWindow(l.schedule[:i], t.window); j >= 0 {
			c.addError(
				t.source,
				"A rule that can never match",
				fmt.Sprintf("Whenever it would hold, the one on line %d does, which comes first. "+
					"Put the narrower time first.", l.schedule[j].source.Start.Line),
			)
		}
		if t.raw.broken {
			continue
		}
		f, _ := c.resolveRates(p, l, l.raw.overriddenBy(t.raw), outer, whole)
		l.windows = append(l.windows, windowWith(t.window, f))
	}
	if !timed {
		return
	}
	changes := false
	for _, s := range base.windows {
		at := &limit{rates: ratelimit.Rates{Rate: s.Rate, Burst: s.Burst, Floor: s.Floor}, source: base.source}
		around, of := outer, whole
		if outer == base {
			around = at
		}
		if whole == base {
			of = at
		}
		f, _ := c.resolveRates(p, l, l.raw.limitedTo(s.Rate), around, of)
		changes = changes || f != l.rates
		l.windows = append(l.windows, windowWith(s, f))
	}
	if !changes {
		l.windows = nil
	}
}

func windowWith(s ratelimit.ScheduleWindow, f ratelimit.Rates) ratelimit.ScheduleWindow {
	s.Rate, s.Burst, s.Floor = f.Rate, f.Burst, f.Floor
	return s
}

// coveringWindow finds an earlier time that holds whenever a later one does.
func coveringWindow(before []scheduleEntry, s ratelimit.ScheduleWindow) int {
	for i, b := range before {
		if coversDays(b.window, s) && coversMinutes(b.window, s) {
			return i
		}
	}
	return -1
}

// coversDays reports whether a window holds on all days of the month on which another does.
func coversDays(w, other ratelimit.ScheduleWindow) bool {
	return w.LastDays == 0 || other.LastDays > 0 && other.LastDays <= w.LastDays
}

// coversMinutes reports whether a window holds in all minutes of a day in which another does. A window from a
// minute to the same holds all day; one that ends before it begins goes over midnight, and covers only its
// like.
func coversMinutes(w, other ratelimit.ScheduleWindow) bool {
	if w.FromMinute == w.ToMinute {
		return true
	}
	if w.FromMinute == other.FromMinute && w.ToMinute == other.ToMinute {
		return true
	}
	withinADay := other.FromMinute < other.ToMinute && w.FromMinute < w.ToMinute
	return withinADay && w.FromMinute <= other.FromMinute && w.ToMinute >= other.ToMinute
}
