package ratelimit

import (
	"slices"
	"strings"
)

// LimitName returns the name that a scope's limit of a unit must have, and the attribute of the outermost
// scope below that of the enclosing limit.
func (t *Table) LimitName(scope int, unit Unit) (name string, attribute Attribute) {
	_, attribute = t.enclosing(scope, unit)
	return t.ScopeName(scope) + unit.suffix(), attribute
}

// enclosing finds the nearest limit of a unit around a scope, -1 if there is none, and the attribute of the
// outermost scope below it.
func (t *Table) enclosing(scope int, unit Unit) (parent int, attribute Attribute) {
	for at := scope; t.Scopes[at].Parent >= 0; {
		attribute = t.Scopes[at].Attribute
		at = t.Scopes[at].Parent
		outer := t.Scopes[at]
		for i := outer.FirstLimit; i < outer.FirstLimit+outer.LimitCount && i < len(t.Limits); i++ {
			if t.Limits[i].Unit == unit {
				return i, attribute
			}
		}
	}
	return -1, attribute
}

// MaxMatched bounds the limits and scopes that one request can match: of sibling scopes of one attribute it
// matches one.
func (t *Table) MaxMatched() (limits, scopes int) {
	type counts struct{ limits, scopes int }
	below := make([][AttributeCell + 1]counts, len(t.Scopes)) // by scope and attribute: the largest child
	for i := len(t.Scopes) - 1; i >= 0; i-- {
		scope := t.Scopes[i]
		limits, scopes = scope.LimitCount, 1
		for _, child := range below[i] {
			limits += child.limits
			scopes += child.scopes
		}
		if scope.Parent >= 0 {
			largest := &below[scope.Parent][scope.Attribute]
			largest.limits = max(largest.limits, limits)
			largest.scopes = max(largest.scopes, scopes)
		}
	}
	return limits, scopes
}

// ScopeName returns a scope's path, as in book/kalahari-core/class/ledger-view.
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

// String returns the word that the policy language and limit names use.
func (a Attribute) String() string { return [...]string{"fleet", "site", "book", "class", "pod"}[a] }

// String returns the word that the policy language and limit names use.
func (u Unit) String() string { return [...]string{"requests", "work", "open", "repeats", "key"}[u] }

func (u Unit) suffix() string {
	if u == UnitRequests {
		return ""
	}
	return ":" + u.String()
}
