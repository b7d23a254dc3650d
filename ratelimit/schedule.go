package ratelimit

import "time"

// Rates are the figures of a limit at some time, in its unit.
type Rates struct {
	Rate  float64 // per second
	Burst float64 // at once
	Floor float64 // per second
}

func (l *Limit) rates() Rates          { return Rates{l.Rate, l.Burst, l.Floor} }
func (w *ScheduleWindow) rates() Rates { return Rates{w.Rate, w.Burst, w.Floor} }

// At returns a limit's rates at a time of the wall clock. They change at whole minutes only.
func (t *Table) At(limit int, wall time.Time) Rates {
	l := &t.Limits[limit]
	local := wall.UTC().Add(time.Duration(t.UTCOffset) * time.Minute)
	for i := range l.Schedule {
		if window := &l.Schedule[i]; window.contains(local) {
			return window.rates()
		}
	}
	return l.rates()
}

// Minimum returns the lowest rates that a limit ever has: what a proxy may count on while it can't trust its
// wall clock.
func (t *Table) Minimum(limit int) Rates {
	l := &t.Limits[limit]
	lowest := l.rates()
	for i := range l.Schedule {
		window := l.Schedule[i].rates()
		lowest = Rates{
			Rate:  min(lowest.Rate, window.Rate),
			Burst: min(lowest.Burst, window.Burst),
			Floor: min(lowest.Floor, window.Floor),
		}
	}
	return lowest
}

// contains takes a time on the operators' clock. A window over midnight belongs to the day on which it began.
func (w *ScheduleWindow) contains(local time.Time) bool {
	minute := local.Hour()*60 + local.Minute()
	overMidnight := w.FromMinute > w.ToMinute
	switch {
	case w.FromMinute == w.ToMinute: // all day
	case !overMidnight && (minute < w.FromMinute || minute >= w.ToMinute):
		return false
	case overMidnight && minute >= w.ToMinute && minute < w.FromMinute:
		return false
	case overMidnight && minute < w.ToMinute:
		local = local.AddDate(0, 0, -1)
	}
	if w.LastDays == 0 {
		return true
	}
	lastOfMonth := time.Date(local.Year(), local.Month()+1, 0, 0, 0, 0, 0, time.UTC).Day()
	return lastOfMonth-local.Day() < w.LastDays
}

// NextDegradation returns the degradation level that follows a level at some rejected fraction of the fleet's
// requests. It moves by one level at most.
func (t *Table) NextDegradation(level int, rejected float64) int {
	level = min(max(level, 0), len(t.Levels))
	switch {
	case level < len(t.Levels) && rejected > t.Levels[level].EnterAbove:
		return level + 1
	case level > 0 && rejected < t.Levels[level-1].LeaveBelow:
		return level - 1
	}
	return level
}
