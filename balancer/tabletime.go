package balancer

import "time"

// Figures are a limit's rate, burst and floor, in its unit.
type Figures struct{ Rate, Burst, Floor float64 }

// At gives a limit's figures at a time of the wall clock. They change at whole minutes only.
func (t *Table) At(limit int, wall time.Time) Figures {
	l := &t.Limits[limit]
	there := wall.UTC().Add(time.Duration(t.Zone) * time.Minute)
	for _, s := range l.Spans {
		if s.holds(there) {
			return Figures{s.Rate, s.Burst, s.Floor}
		}
	}
	return Figures{l.Rate, l.Burst, l.Floor}
}

// holds is asked in the operators' time. A span over midnight belongs to the day on which it began.
func (s Span) holds(t time.Time) bool {
	minute := t.Hour()*60 + t.Minute()
	switch {
	case s.From == s.To:
	case s.From < s.To && (minute < s.From || minute >= s.To):
		return false
	case s.From > s.To && minute >= s.To && minute < s.From:
		return false
	case s.From > s.To && minute < s.To:
		t = t.AddDate(0, 0, -1)
	}
	left := time.Date(t.Year(), t.Month()+1, 0, 0, 0, 0, 0, time.UTC).Day() - t.Day()
	return s.LastDays == 0 || left < s.LastDays
}

// Least gives the smallest figures that a limit ever has: what a node may count on with a clock that it can't trust.
func (t *Table) Least(limit int) Figures {
	l := &t.Limits[limit]
	f := Figures{l.Rate, l.Burst, l.Floor}
	for _, s := range l.Spans {
		f = Figures{min(f.Rate, s.Rate), min(f.Burst, s.Burst), min(f.Floor, s.Floor)}
	}
	return f
}

// LevelAt moves the level of degradation by the part of the fleet's requests that is refused, one level at a time.
func (t *Table) LevelAt(level int, refused float64) int {
	level = min(max(level, 0), len(t.Levels))
	switch {
	case level < len(t.Levels) && refused > t.Levels[level].Above:
		return level + 1
	case level > 0 && refused < t.Levels[level-1].Below:
		return level - 1
	}
	return level
}
