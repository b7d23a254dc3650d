package policy

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/hashicorp/hcl/v2"

	"wrenspread/ratelimit"
)

// degradeLevel is a `degrade` block.
type degradeLevel struct {
	ratelimit.DegradationLevel
	name          string
	source        hcl.Range
	aboveSource   hcl.Range
	classesSource hcl.Range // of the classes that it refuses
}

func (c *compiler) degradeBlock(b *hcl.Block) {
	attrs := c.content(b.Body, degradeSchema).Attributes
	l := &degradeLevel{name: b.Labels[0], source: b.DefRange}
	l.RejectClasses, l.Status, l.RetryAfter = c.texts(attrs["refuse"]), 503, defaultRetryAfter
	if g := c.fraction(attrs["above"]); g != nil {
		if l.EnterAbove, l.LeaveBelow, l.aboveSource = g.value, g.value/2, g.source; g.value == 0 || g.value == 1 {
			c.addError(
				g.source,
				"A level that never comes or always holds",
				"Give a part between 0 and 1 of the fleet's requests, such as percent(5).",
			)
		}
	}
	if g := c.fraction(attrs["below"]); g != nil {
		if l.LeaveBelow = g.value; g.value >= l.EnterAbove {
			c.addError(
				g.source,
				"A level that is left as it is taken",
				fmt.Sprintf("below is %v and above %v: the fleet would go to and fro. "+
					"Put below well under above.", g.value, l.EnterAbove),
			)
		}
	}
	if n, ok := c.status(attrs["status"]); ok {
		l.Status = n
	}
	if d, ok := c.duration(attrs["wait"]); ok {
		l.RetryAfter = d
	}
	if a := attrs["refuse"]; a != nil {
		if l.classesSource = a.Expr.Range(); l.RejectClasses == nil {
			c.addError(
				l.classesSource,
				"A level that refuses nothing",
				"Name the classes that go first: refuse = [\"aging-report\"].",
			)
		}
	}
	for _, before := range c.levels {
		if before.name == l.name {
			c.checkDuplicate(b, l.name)
		}
	}
	c.levels = append(c.levels, l)
}

// sortLevels puts the levels in order and checks them against each other, and against what the scopes say.
func (c *compiler) sortLevels(fleet *scope) {
	slices.SortStableFunc(
		c.levels,
		func(a, b *degradeLevel) int { return cmp.Compare(a.EnterAbove, b.EnterAbove) },
	)
	if len(c.levels) > ratelimit.MaxLevels {
		c.addError(
			c.levels[ratelimit.MaxLevels].source,
			"Too many levels",
			fmt.Sprintf("There can be %d.", ratelimit.MaxLevels),
		)
		return
	}
	first := map[string]*degradeLevel{}
	for i, l := range c.levels {
		if i > 0 && l.EnterAbove == c.levels[i-1].EnterAbove {
			c.addError(
				l.aboveSource,
				"Two levels at once",
				fmt.Sprintf("Level %q begins above %v as well. Put them together, or apart.",
					c.levels[i-1].name, l.EnterAbove),
			)
		}
		l.RejectClasses = slices.Compact(slices.Sorted(slices.Values(l.RejectClasses)))
		for _, class := range l.RejectClasses {
			if before := first[class]; before != nil {
				c.addError(
					l.classesSource,
					"A rule that can never matter",
					fmt.Sprintf("%q is refused from level %q on already, which is below "+
						"this one. Drop it here.", class, before.name),
				)
				continue
			}
			first[class] = l
			c.name(l.classesSource, "class", class, c.known.classNames())
		}
	}
	fleet.each(func(p *scope) {
		if l := first[p.value]; p.attribute == ratelimit.AttributeClass && p.priority > 0 && l != nil {
			c.addError(
				p.prioritySource,
				"Rules that contradict",
				fmt.Sprintf("%s always has priority here, and level %q (line %d) refuses it. "+
					"Drop one of them.", p.path(), l.name, l.classesSource.Start.Line),
			)
		}
	})
}
