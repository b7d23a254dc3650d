package policy

import (
	"fmt"
	"slices"
	"strings"

	"github.com/agext/levenshtein"
	"github.com/hashicorp/hcl/v2"

	"wrenspread/ratelimit"
)

// each visits a part and all within it.
func (p *part) each(do func(*part)) {
	do(p)
	for _, k := range p.children {
		k.each(do)
	}
}

// within tells that a part, or one around it, is of an axis.
func (p *part) within(a ratelimit.Attribute) bool {
	for ; p.up != nil; p = p.up {
		if p.axis == a {
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
		return c.known.Books
	case ratelimit.AttributeClass:
		return c.known.classNames()
	case ratelimit.AttributeCell:
		return c.known.Pods
	}
	return nil
}

// checkNames finds names that the fleet doesn't have, and books that a policy forgets.
func (c *compiler) checkNames(fleet *part) {
	fleet.each(func(p *part) {
		if p.up != nil && p.word != ratelimit.AnyOther {
			c.name(p.at, p.axis.String(), p.word, c.namesOf(p.axis))
		}
		if !p.within(ratelimit.AttributeTenant) {
			c.forgotten(p)
		}
	})
}

// name checks one, if the fleet's are known.
func (c *compiler) name(at hcl.Range, axis, name string, known []string) {
	switch {
	case name == "" || len(name) > ratelimit.MaxName || strings.ContainsAny(name, "/:"):
		c.fail(at, "Not a name", fmt.Sprintf("The %s %.40q can be named by no policy: a name has 1 to %d bytes, and no slash or "+
			"colon.", axis, name, ratelimit.MaxName))
	case len(known) > 0 && !slices.Contains(known, name):
		c.fail(at, "A rule that can never match", fmt.Sprintf("The fleet has no %s %q.%s", axis, name, didYouMean(name, known)))
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

// forgotten finds the known books that a part which tells books apart says nothing of.
func (c *compiler) forgotten(p *part) {
	said := map[string]bool{}
	for _, k := range p.children {
		if k.axis == ratelimit.AttributeTenant {
			said[k.word] = true
		}
	}
	if len(said) == 0 || said[ratelimit.AnyOther] {
		return
	}
	missing := slices.DeleteFunc(slices.Clone(c.known.Books), func(b string) bool { return said[b] })
	if len(missing) > 0 {
		c.fail(p.at, "A book without a rule", fmt.Sprintf("%s tells books apart and says nothing of %s. Give each a block, or all "+
			"of them one with the name \"*\".", p.path(), strings.Join(missing, ", ")))
	}
}

// checkShape finds blocks that can't match where they are.
func (c *compiler) checkShape(fleet *part) {
	fleet.each(func(p *part) {
		for up := p.up; up != nil; up = up.up {
			if up.axis == p.axis && p.up != nil && up.up != nil {
				c.fail(p.at, "A rule that can never match", fmt.Sprintf("It is within %s, and a request has one %s alone. "+
					"Put it beside that block.", up.path(), p.axis))
				return
			}
		}
	})
}
