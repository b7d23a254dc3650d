package policy

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/hashicorp/hcl/v2"

	"wrenspread/ratelimit"
)

// level is a `degrade` block.
type level struct {
	ratelimit.DegradationLevel
	name    string
	at      hcl.Range
	aboveAt hcl.Range
	where   hcl.Range // of the classes that it refuses
}

func (c *compiler) degrade(b *hcl.Block) {
	attrs := c.content(b.Body, degradeSchema).Attributes
	l := &level{name: b.Labels[0], at: b.DefRange}
	l.RejectClasses, l.Status, l.RetryAfter = c.texts(attrs["refuse"]), 503, usualWait
	if g := c.fraction(attrs["above"]); g != nil {
		if l.EnterAbove, l.LeaveBelow, l.aboveAt = g.n, g.n/2, g.at; g.n == 0 || g.n == 1 {
			c.fail(g.at, "A level that never comes or always holds", "Give a part between 0 and 1 of the fleet's requests, such as percent(5).")
		}
	}
	if g := c.fraction(attrs["below"]); g != nil {
		if l.LeaveBelow = g.n; g.n >= l.EnterAbove {
			c.fail(g.at, "A level that is left as it is taken", fmt.Sprintf("below is %v and above %v: the fleet would go to and fro. "+
				"Put below well under above.", g.n, l.EnterAbove))
		}
	}
	if n, ok := c.status(attrs["status"]); ok {
		l.Status = n
	}
	if d, ok := c.wait(attrs["wait"]); ok {
		l.RetryAfter = d
	}
	if a := attrs["refuse"]; a != nil {
		if l.where = a.Expr.Range(); l.RejectClasses == nil {
			c.fail(l.where, "A level that refuses nothing", "Name the classes that go first: refuse = [\"aging-report\"].")
		}
	}
	for _, before := range c.levels {
		if before.name == l.name {
			c.twice(b, l.name)
		}
	}
	c.levels = append(c.levels, l)
}

// order puts the levels in order and checks them against each other, and against what the parts say.
func (c *compiler) order(fleet *part) {
	slices.SortStableFunc(c.levels, func(a, b *level) int { return cmp.Compare(a.EnterAbove, b.EnterAbove) })
	if len(c.levels) > ratelimit.MaxLevels {
		c.fail(c.levels[ratelimit.MaxLevels].at, "Too many levels", fmt.Sprintf("There can be %d.", ratelimit.MaxLevels))
		return
	}
	first := map[string]*level{}
	for i, l := range c.levels {
		if i > 0 && l.EnterAbove == c.levels[i-1].EnterAbove {
			c.fail(l.aboveAt, "Two levels at once", fmt.Sprintf("Level %q begins above %v as well. Put them together, or apart.",
				c.levels[i-1].name, l.EnterAbove))
		}
		l.RejectClasses = slices.Compact(slices.Sorted(slices.Values(l.RejectClasses)))
		for _, class := range l.RejectClasses {
			if before := first[class]; before != nil {
				c.fail(l.where, "A rule that can never matter", fmt.Sprintf("%q is refused from level %q on already, which is below "+
					"this one. Drop it here.", class, before.name))
				continue
			}
			first[class] = l
			c.name(l.where, "class", class, c.known.classNames())
		}
	}
	fleet.each(func(p *part) {
		if l := first[p.word]; p.axis == ratelimit.AttributeClass && p.priority > 0 && l != nil {
			c.fail(p.priorityAt, "Rules that contradict", fmt.Sprintf("%s always has priority here, and level %q (line %d) refuses it. "+
				"Drop one of them.", p.path(), l.name, l.where.Start.Line))
		}
	})
}
