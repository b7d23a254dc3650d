package ratelimit

import "time"

// Rates are the rate, burst and floor of a limit at some time, in the limit's unit.
type Rates struct {
	Rate  float64 // per second
	Burst float64 // units at once
	Floor float64 // per second
}

func (l *Limit) rates() Rates          { return Rates{l.Rate, l.Burst, l.Floor} }
func (w *ScheduleWindow) rates() Rates { return Rates{w.Rate, w.Burst, w.Floor} }

// RatesAt returns a limit's rates at a time of the wall clock. Rates change only at full minutes.
func (t *Table) RatesAt(limit int, wall time.Time) Rates {
	l := &t.Limits[limit]
	local := wall.UTC().Add(time.Duration(t.UTCOffset) * time.Minute)
	for i := range l.Schedule {
		if window := &l.Schedule[i]; window.contains(local) {
			return window.rates()
		}
	}
	return l.rates()
}

// MinimumRates returns the lowest rates that a limit has at any time. A proxy uses them while it can't trust
// its wall clock.
func (t *Table) MinimumRates(limit int) Rates {
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

// contains reports whether a time on the operators' clock is within the window. A window over midnight
// belongs to the day on which it begins.
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

// NextDegradation returns the degradation level that follows the given level, by the rejected fraction of the
// fleet's requests. The level changes by one at most.
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
