package policy

import (
	"fmt"
	"slices"
	"strings"

	"github.com/agext/levenshtein"
	"github.com/hashicorp/hcl/v2"

	"wrenspread/ratelimit"
)

// each calls visit for a scope and, after it, for all scopes within it.
func (s *policyScope) each(visit func(*policyScope)) {
	visit(s)
	for _, child := range s.children {
		child.each(visit)
	}
}

// isWithin reports whether a scope, or a scope around it, is one for the attribute.
func (s *policyScope) isWithin(a ratelimit.Attribute) bool {
	for ; s.parent != nil; s = s.parent {
		if s.attribute == a {
			return true
		}
	}
	return false
}

// namesOf returns the known values of an attribute. An empty list means that the values are not known.
func (c *compiler) namesOf(attribute ratelimit.Attribute) []string {
	switch attribute {
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

// checkNames reports names that are malformed or that the fleet does not have, and tenants for which a policy
// has no rule although it distinguishes tenants.
func (c *compiler) checkNames(fleet *policyScope) {
	fleet.each(func(scope *policyScope) {
		if scope.parent != nil && scope.value != ratelimit.AnyOther {
			c.checkName(scope.source, scope.attribute.String(), scope.value, c.namesOf(scope.attribute))
		}
		if !scope.isWithin(ratelimit.AttributeTenant) {
			c.checkTenantsCovered(scope)
		}
	})
}

// checkName reports a malformed name, and a name that is not among the known ones if there are any.
func (c *compiler) checkName(at hcl.Range, attribute, name string, known []string) {
	switch {
	case name == "" || len(name) > ratelimit.MaxName || strings.ContainsAny(name, "/:"):
		c.addError(
			at,
			"Invalid name",
			fmt.Sprintf("The %s name %.40q is invalid: a name has 1 to %d bytes, and no slash or "+
				"colon.", attribute, name, ratelimit.MaxName),
		)
	case len(known) > 0 && !slices.Contains(known, name):
		c.addError(
			at,
			"Unknown name",
			fmt.Sprintf("The fleet has no %s %q.%s", attribute, name, nameSuggestion(name, known)),
		)
	}
}

// nameSuggestion returns a sentence for a message about an unknown name: the known name most similar to it
// or, if none is similar, the list of known names.
func nameSuggestion(name string, known []string) string {
	best, distance := "", 0
	for _, k := range known {
		if d := levenshtein.Distance(name, k, nil); best == "" || d < distance {
			best, distance = k, d
		}
	}
	if best != "" && distance <= max(2, len(name)/3) {
		return fmt.Sprintf(" Did you mean %q?", best)
	}
	const maxListed = 8
	if len(known) > maxListed {
		return fmt.Sprintf(" It has %s and %d others.", strings.Join(known[:maxListed], ", "), len(known)-maxListed)
	}
	return fmt.Sprintf(" It has %s.", strings.Join(known, ", "))
}

// checkTenantsCovered reports the known tenants for which a scope has no block, if it has blocks for other
// tenants and none for all others.
func (c *compiler) checkTenantsCovered(scope *policyScope) {
	covered := map[string]bool{}
	for _, child := range scope.children {
		if child.attribute == ratelimit.AttributeTenant {
			covered[child.value] = true
		}
	}
	if len(covered) == 0 || covered[ratelimit.AnyOther] {
		return
	}
	missing := slices.DeleteFunc(slices.Clone(c.known.Tenants), func(b string) bool { return covered[b] })
	if len(missing) > 0 {
		c.addError(
			scope.source,
			"Book without a block",
			fmt.Sprintf("%s has blocks for some books, but none for %s. Add a block for each of them, "+
				"or one with the name \"*\" for all.", scope.path(), strings.Join(missing, ", ")),
		)
	}
}

// checkNesting reports scopes within a scope of the same attribute, which no request can match, because a
// request has only one value of each attribute.
func (c *compiler) checkNesting(fleet *policyScope) {
	fleet.each(func(scope *policyScope) {
		for ancestor := scope.parent; ancestor != nil; ancestor = ancestor.parent {
			if ancestor.attribute == scope.attribute && scope.parent != nil && ancestor.parent != nil {
				c.addError(
					scope.source,
					"Block that matches no request",
					fmt.Sprintf("It is within %s, but a request has only one %s. "+
						"Move it out of that block.", ancestor.path(), scope.attribute),
				)
				return
			}
		}
	})
}
