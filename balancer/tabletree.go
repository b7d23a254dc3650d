package balancer

// How the parts of a table nest.

import "strings"

// Place gives the name of a part's limit of a unit, and the axis of the first word past the limit around it.
func (t *Table) Place(part int, u Unit) (name string, axis Axis) {
	_, axis = t.around(part, u)
	return t.NameOf(part) + u.suffix(), axis
}

// around finds the nearest limit of a unit around a part, and the axis of the first word past it.
func (t *Table) around(part int, u Unit) (parent int, axis Axis) {
	for at := part; t.Parts[at].Within >= 0; {
		axis, at = t.Parts[at].Axis, t.Parts[at].Within
		s := t.Parts[at]
		for i := s.First; i < s.First+s.Count && i < len(t.Limits); i++ {
			if t.Limits[i].Unit == u {
				return i, axis
			}
		}
	}
	return -1, axis
}

// Touched bounds the limits and parts that one request can touch: of siblings of one axis it matches one.
func (t *Table) Touched() (limits, parts int) {
	type most struct{ limits, parts [OfPod + 1]int }
	below := make([]most, len(t.Parts))
	for i := len(t.Parts) - 1; i >= 0; i-- {
		s := t.Parts[i]
		limits, parts = s.Count, 1
		for a := range below[i].limits {
			limits, parts = limits+below[i].limits[a], parts+below[i].parts[a]
		}
		if s.Within >= 0 {
			up := &below[s.Within]
			up.limits[s.Axis], up.parts[s.Axis] = max(up.limits[s.Axis], limits), max(up.parts[s.Axis], parts)
		}
	}
	return limits, parts
}

// NameOf gives a part's path in words.
func (t *Table) NameOf(part int) string {
	var parts []string
	for ; t.Parts[part].Within >= 0; part = t.Parts[part].Within {
		parts = append(parts, t.Parts[part].Axis.String()+"/"+t.Parts[part].Word)
	}
	if parts == nil {
		return OfFleet.String()
	}
	for i, j := 0, len(parts)-1; i < j; i, j = i+1, j-1 {
		parts[i], parts[j] = parts[j], parts[i]
	}
	return strings.Join(parts, "/")
}

func (a Axis) String() string { return [...]string{"fleet", "site", "book", "class", "pod"}[a] }

func (u Unit) String() string { return [...]string{"requests", "work", "open", "repeats", "key"}[u] }

func (u Unit) suffix() string {
	if u == UnitRequests {
		return ""
	}
	return ":" + u.String()
}
