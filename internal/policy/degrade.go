package policy

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/hashicorp/hcl/v2"

	"wrenspread/ratelimit"
)

// degradeLevel is a degradation level that a `degrade` block defines.
type degradeLevel struct {
	ratelimit.DegradationLevel
	name          string
	source        hcl.Range
	aboveSource   hcl.Range
	classesSource hcl.Range // of the list of rejected classes
}

// degradeBlock reads a `degrade` block and adds its level to c.levels. Without `below`, the level is left
// when the rejected fraction of the fleet's requests falls below half of `above`.
func (c *compiler) degradeBlock(block *hcl.Block) {
	attrs := c.content(block.Body, degradeSchema).Attributes
	level := &degradeLevel{name: block.Labels[0], source: block.DefRange}
	level.RejectClasses, level.Status, level.RetryAfter = c.texts(attrs["refuse"]), 503, defaultRetryAfter
	if g := c.fraction(attrs["above"]); g != nil {
		if level.EnterAbove, level.LeaveBelow, level.aboveSource = g.value, g.value/2, g.source; g.value == 0 ||
			g.value == 1 {
			c.addError(
				g.source,
				"Level never or always in force",
				"Set above to a fraction of the fleet's requests, over 0 and under 1, such as percent(5).",
			)
		}
	}
	if g := c.fraction(attrs["below"]); g != nil {
		if level.LeaveBelow = g.value; g.value >= level.EnterAbove {
			c.addError(
				g.source,
				"Level left as soon as entered",
				fmt.Sprintf("below is %v and above is %v: the fleet would keep entering and leaving this level. "+
					"Set below well under above.", g.value, level.EnterAbove),
			)
		}
	}
	if n, ok := c.status(attrs["status"]); ok {
		level.Status = n
	}
	if d, ok := c.duration(attrs["wait"]); ok {
		level.RetryAfter = d
	}
	if a := attrs["refuse"]; a != nil {
		if level.classesSource = a.Expr.Range(); level.RejectClasses == nil {
			c.addError(
				level.classesSource,
				"Level without classes",
				"Name the classes that it refuses, such as refuse = [\"aging-report\"].",
			)
		}
	}
	for _, previous := range c.levels {
		if previous.name == level.name {
			c.addDuplicateError(block, level.name)
		}
	}
	c.levels = append(c.levels, level)
}

// sortLevels sorts the levels by their thresholds. It reports too many levels, levels with the same
// threshold, a class that an earlier level rejects already, and a class that a level rejects although a scope
// gives it priority.
func (c *compiler) sortLevels(fleet *policyScope) {
	slices.SortStableFunc(
		c.levels,
		func(a, b *degradeLevel) int { return cmp.Compare(a.EnterAbove, b.EnterAbove) },
	)
	if len(c.levels) > ratelimit.MaxLevels {
		c.addError(
			c.levels[ratelimit.MaxLevels].source,
			"Too many levels",
			fmt.Sprintf("A policy can have %d levels at most.", ratelimit.MaxLevels),
		)
		return
	}
	refusedFrom := map[string]*degradeLevel{}
	for i, level := range c.levels {
		if i > 0 && level.EnterAbove == c.levels[i-1].EnterAbove {
			c.addError(
				level.aboveSource,
				"Two levels with the same threshold",
				fmt.Sprintf("Level %q also begins above %v. Combine the levels, or set another threshold.",
					c.levels[i-1].name, level.EnterAbove),
			)
		}
		level.RejectClasses = slices.Compact(slices.Sorted(slices.Values(level.RejectClasses)))
		for _, class := range level.RejectClasses {
			if previous := refusedFrom[class]; previous != nil {
				c.addError(
					level.classesSource,
					"Class refused already",
					fmt.Sprintf("%q is refused from level %q on already, which begins below "+
						"this level. Remove the class here.", class, previous.name),
				)
				continue
			}
			refusedFrom[class] = level
			c.checkName(level.classesSource, "class", class, c.known.classNames())
		}
	}
	fleet.each(func(scope *policyScope) {
		if level := refusedFrom[scope.value]; scope.attribute == ratelimit.AttributeClass &&
			scope.priority > 0 && level != nil {
			c.addError(
				scope.prioritySource,
				"Contradicting settings",
				fmt.Sprintf("%s always has priority here, but level %q (line %d) refuses it. "+
					"Remove one of the two.", scope.path(), level.name, level.classesSource.Start.Line),
			)
		}
	})
}
