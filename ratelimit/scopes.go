package ratelimit

import (
	"slices"
	"strings"
)

// LimitName returns the name that a limit with a unit must have in a scope. It also returns the limit's
// attribute, which is that of the outermost scope below the scope of the enclosing limit.
func (t *Table) LimitName(scope int, unit Unit) (name string, attribute Attribute) {
	_, attribute = t.enclosing(scope, unit)
	return t.ScopeName(scope) + unit.suffix(), attribute
}

// enclosing returns the index of the nearest limit with the unit in the ancestors of a scope, -1 if there is
// none, and the attribute of the outermost scope below that limit's scope.
func (t *Table) enclosing(scope int, unit Unit) (parent int, attribute Attribute) {
	for current := scope; t.Scopes[current].Parent >= 0; {
		attribute = t.Scopes[current].Attribute
		current = t.Scopes[current].Parent
		enclosing := t.Scopes[current]
		for i := enclosing.FirstLimit; i < enclosing.FirstLimit+enclosing.LimitCount && i < len(t.Limits); i++ {
			if t.Limits[i].Unit == unit {
				return i, attribute
			}
		}
	}
	return -1, attribute
}

// MaxMatched returns upper bounds of the limits and scopes that one request can match. Of sibling scopes with
// the same attribute, a request matches only one.
func (t *Table) MaxMatched() (limits, scopes int) {
	type counts struct{ limits, scopes int }
	largestChild := make([][AttributeCell + 1]counts, len(t.Scopes)) // by scope and attribute
	for i := len(t.Scopes) - 1; i >= 0; i-- {
		scope := t.Scopes[i]
		limits, scopes = scope.LimitCount, 1
		for _, child := range largestChild[i] {
			limits += child.limits
			scopes += child.scopes
		}
		if scope.Parent >= 0 {
			largest := &largestChild[scope.Parent][scope.Attribute]
			largest.limits = max(largest.limits, limits)
			largest.scopes = max(largest.scopes, scopes)
		}
	}
	return limits, scopes
}

// ScopeName returns the path of a scope, such as book/kalahari-core/class/ledger-view.
func (t *Table) ScopeName(scope int) string {
	var path []string
	for ; t.Scopes[scope].Parent >= 0; scope = t.Scopes[scope].Parent {
		path = append(path, t.Scopes[scope].Attribute.String()+"/"+t.Scopes[scope].Value)
	}
	if path == nil {
		return AttributeFleet.String()
	}
	slices.Reverse(path)
	return strings.Join(path, "/")
}

// String returns the attribute's name in the policy language and in limit names.
func (a Attribute) String() string { return [...]string{"fleet", "site", "book", "class", "pod"}[a] }

// String returns the unit's name in the policy language and in limit names.
func (u Unit) String() string { return [...]string{"requests", "work", "open", "repeats", "key"}[u] }

// suffix is the part of a limit's name that gives the unit; it is empty for UnitRequests.
func (u Unit) suffix() string {
	if u == UnitRequests {
		return ""
	}
	return ":" + u.String()
}
