package policy

import (
	"fmt"
	"slices"
	"strings"

	"github.com/agext/levenshtein"
	"github.com/hashicorp/hcl/v2"

	"wrenspread/ratelimit"
)

// each visits a scope and all within it.
func (p *scope) each(do func(*scope)) {
	do(p)
	for _, k := range p.children {
		k.each(do)
	}
}

// isWithin tells that a scope, or one around it, is of an attribute.
func (p *scope) isWithin(a ratelimit.Attribute) bool {
	for ; p.parent != nil; p = p.parent {
		if p.attribute == a {
			return true
		}
	}
	return false
}

func (c *compiler) namesOf(axis ratelimit.Attribute) []string {
	switch axis {
	case ratelimit.AttributeSite:
		return c.known.Sites
	case ratelimit.AttributeTenant:
		return c.known.Tenants
	case ratelimit.AttributeClass:
		return c.known.classNames()
	case ratelimit.AttributeCell:
		return c.known.Cells
	}
	return nil
}

// checkNames finds names that the fleet doesn't have, and tenants that a policy forgets.
func (c *compiler) checkNames(fleet *scope) {
	fleet.each(func(p *scope) {
		if p.parent != nil && p.value != ratelimit.AnyOther {
			c.name(p.source, p.attribute.String(), p.value, c.namesOf(p.attribute))
		}
		if !p.isWithin(ratelimit.AttributeTenant) {
			c.checkForgotten(p)
		}
	})
}

// name checks one, if the fleet's are known.
func (c *compiler) name(at hcl.Range, axis, name string, known []string) {
	switch {
	case name == "" || len(name) > ratelimit.MaxName || strings.ContainsAny(name, "/:"):
		c.addError(
			at,
			"Not a name",
			fmt.Sprintf("The %s %.40q can be named by no policy: a name has 1 to %d bytes, and no slash or "+
				"colon.", axis, name, ratelimit.MaxName),
		)
	case len(known) > 0 && !slices.Contains(known, name):
		c.addError(
			at,
			"A rule that can never match",
			fmt.Sprintf("The fleet has no %s %q.%s", axis, name, didYouMean(name, known)),
		)
	}
}

func didYouMean(name string, known []string) string {
	best, distance := "", 0
	for _, k := range known {
		if d := levenshtein.Distance(name, k, nil); best == "" || d < distance {
			best, distance = k, d
		}
	}
	if best != "" && distance <= max(2, len(name)/3) {
		return fmt.Sprintf(" Did you mean %q?", best)
	}
	const some = 8
	if len(known) > some {
		return fmt.Sprintf(" It has %s and %d others.", strings.Join(known[:some], ", "), len(known)-some)
	}
	return fmt.Sprintf(" It has %s.", strings.Join(known, ", "))
}

// checkForgotten finds the known tenants that a scope which tells tenants apart says nothing of.
func (c *compiler) checkForgotten(p *scope) {
	said := map[string]bool{}
	for _, k := range p.children {
		if k.attribute == ratelimit.AttributeTenant {
			said[k.value] = true
		}
	}
	if len(said) == 0 || said[ratelimit.AnyOther] {
		return
	}
	missing := slices.DeleteFunc(slices.Clone(c.known.Tenants), func(b string) bool { return said[b] })
	if len(missing) > 0 {
		c.addError(
			p.source,
			"A book without a rule",
			fmt.Sprintf("%s tells books apart and says nothing of %s. Give each a block, or all "+
				"of them one with the name \"*\".", p.path(), strings.Join(missing, ", ")),
		)
	}
}

// checkShape finds blocks that can't match where they are.
func (c *compiler) checkShape(fleet *scope) {
	fleet.each(func(p *scope) {
		for up := p.parent; up != nil; up = up.parent {
			if up.attribute == p.attribute && p.parent != nil && up.parent != nil {
				c.addError(
					p.source,
					"A rule that can never match",
					fmt.Sprintf("It is within %s, and a request has one %s alone. "+
						"Put it beside that block.", up.path(), p.attribute),
				)
				return
			}
		}
	})
}
