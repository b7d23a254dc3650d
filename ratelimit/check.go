package ratelimit

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
)

const minutesPerDay = 24 * 60

// check returns the first error in a table's data.
func (t *Table) check() error {
	switch {
	case t.Format != Format:
		return fmt.Errorf("unsupported format %d", t.Format)
	case len(t.Scopes) == 0 || len(t.Scopes) > MaxLimits,
		len(t.Limits) > MaxLimits,
		len(t.Levels) > MaxLevels:
		return fmt.Errorf("%d parts, %d limits, %d levels: too many, or no part",
			len(t.Scopes), len(t.Limits), len(t.Levels))
	case t.UTCOffset < -minutesPerDay || t.UTCOffset > minutesPerDay:
		return fmt.Errorf("operators' clock is %d minutes ahead of UTC, more than a day", t.UTCOffset)
	}
	nextLimit := 0
	for i, scope := range t.Scopes {
		if err := t.checkScope(i, scope, nextLimit); err != nil {
			return fmt.Errorf("part %d: %w", i, err)
		}
		nextLimit += scope.LimitCount
	}
	if nextLimit != len(t.Limits) {
		return errors.New("limits at the end belong to no part")
	}
	for i := range t.Limits {
		if err := t.checkLimit(i); err != nil {
			return fmt.Errorf("limit %d: %w", i, err)
		}
	}
	for i := range t.Levels {
		if level := &t.Levels[i]; !level.valid() {
			return fmt.Errorf("level %d is invalid: %+v", i+1, *level)
		}
	}
	return nil
}

func (l *DegradationLevel) valid() bool {
	ordered := l.LeaveBelow >= 0 && l.LeaveBelow < l.EnterAbove && l.EnterAbove < 1
	return ordered && validRejection(l.Status, l.RetryAfter) &&
		len(l.RejectClasses) <= MaxLimits && slices.IsSorted(l.RejectClasses)
}

func (t *Table) checkScope(i int, scope Scope, nextLimit int) error {
	isRoot := i == 0
	validChild := scope.Attribute >= AttributeSite && scope.Attribute <= AttributeCell && validValue(scope.Value)
	switch {
	case isRoot && (scope.Parent != -1 || scope.Attribute != AttributeFleet),
		!isRoot && (scope.Parent < 0 || scope.Parent >= i):
		return fmt.Errorf("invalid parent (within) %d, or an attribute (axis) of the first part", scope.Parent)
	case !isRoot && !validChild:
		return fmt.Errorf("invalid attribute (axis) %d or value (word) %.40q", scope.Attribute, scope.Value)
	case scope.FirstLimit != nextLimit || scope.LimitCount < 0 || scope.LimitCount > len(t.Limits)-nextLimit:
		return fmt.Errorf("first limit %d or limit count %d does not fit the previous parts and the table",
			scope.FirstLimit, scope.LimitCount)
	case scope.Priority < -1 || scope.Priority > 1:
		return fmt.Errorf("priority %d, want -1, 0 or 1", scope.Priority)
	}
	return nil
}

func validValue(value string) bool {
	return value != "" && len(value) <= MaxName && !strings.ContainsAny(value, "/:")
}

func (t *Table) checkLimit(i int) error {
	l := &t.Limits[i]
	if l.Scope < 0 || l.Scope >= len(t.Scopes) {
		return fmt.Errorf("part %d does not exist", l.Scope)
	}
	if err := t.checkPosition(i); err != nil {
		return err
	}
	switch {
	case !l.validShares():
		return fmt.Errorf("weight %v, safe %v or reserve %v out of range",
			l.Weight, l.FallbackShare, l.PriorityReserve)
	case !validRejection(l.Status, l.RetryAfter) || len(l.Schedule) > MaxWindows:
		return fmt.Errorf("status %d or wait %v out of range, or %d spans are too many",
			l.Status, l.RetryAfter, len(l.Schedule))
	case !l.allows(l.rates()):
		return fmt.Errorf("invalid combination of rate %v, burst %v and floor %v", l.Rate, l.Burst, l.Floor)
	}
	for i := range l.Schedule {
		if window := &l.Schedule[i]; !window.valid() || !l.allows(window.rates()) {
			return fmt.Errorf("invalid span %+v", *window)
		}
	}
	return nil
}

// checkPosition checks that a limit is listed in the range of its scope, and that it has the unit, name and
// parent that follow from the scope.
func (t *Table) checkPosition(i int) error {
	l := &t.Limits[i]
	scope := t.Scopes[l.Scope]
	outside := i < scope.FirstLimit || i >= scope.FirstLimit+scope.LimitCount
	if outside || i > scope.FirstLimit && l.Unit <= t.Limits[i-1].Unit {
		return errors.New("not in the range of its part's limits, or not in order of units")
	}
	knownUnit := l.Unit >= UnitRequests && l.Unit <= UnitPerKey
	if !knownUnit || (l.Unit == UnitPerKey) != (l.KeySlots > 0) || l.KeySlots > MaxKeySlots {
		return fmt.Errorf("unknown unit %d, or wrong number of key slots %d", l.Unit, l.KeySlots)
	}
	parent, attribute := t.enclosing(l.Scope, l.Unit)
	if l.Parent != parent || l.Attribute != attribute || l.Name != t.ScopeName(l.Scope)+l.Unit.suffix() {
		return fmt.Errorf("%.80q has the wrong name, or parent %d and axis %d, want %d and %d",
			l.Name, l.Parent, l.Attribute, parent, attribute)
	}
	return nil
}

func (l *Limit) validShares() bool {
	return l.Weight > 0 && l.Weight <= maxAmount &&
		l.FallbackShare > 0 && l.FallbackShare <= 1 &&
		l.PriorityReserve >= 0 && l.PriorityReserve < 1
}

// allows reports whether a limit may have these rates, which are those of the limit or of one of its schedule
// windows.
func (l *Limit) allows(r Rates) bool {
	inBounds := func(v float64) bool { return v >= 0 && v <= maxAmount && !math.IsNaN(v) }
	return inBounds(r.Rate) && inBounds(r.Burst) && inBounds(r.Floor) && r.Floor <= r.Rate &&
		(l.Unit != UnitConcurrency || r.Burst == 0) &&
		(l.Borrow || r.Floor == r.Rate)
}

func (w *ScheduleWindow) valid() bool {
	inDay := func(minute int) bool { return minute >= 0 && minute < minutesPerDay }
	return inDay(w.FromMinute) && inDay(w.ToMinute) && w.LastDays >= 0 && w.LastDays <= 31
}
