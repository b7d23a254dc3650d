package main

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/membership/gossip"
)

var errNotSettled = errors.New("not settled: the nodes see different fleets")

// settled says in a line whether all views are one, and who differs.
func settled(w io.Writer, views []gossip.Report) error {
	by := map[string][]string{}
	var digests, asked []string
	for _, v := range views {
		key := v.Fleet + ", digest " + v.Digest
		if by[key] == nil {
			digests = append(digests, key)
		}
		by[key] = append(by[key], v.Name)
		asked = append(asked, v.Name)
		if v.Yielded {
			besteffort.Output(fmt.Fprintf(w, "%s is silent: another process has its name\n", v.Name))
		}
	}
	if len(digests) == 1 {
		besteffort.Output(fmt.Fprintf(w, "settled: %d asked, fleet %s\n", len(views), digests[0]))
	}
	for _, d := range digests {
		if len(digests) > 1 {
			besteffort.Output(fmt.Fprintf(w, "not settled: fleet %s at %s\n", d, strings.Join(by[d], ", ")))
		}
	}
	var others []string
	for _, m := range views[0].Members {
		if m.Health == "alive" && !slices.Contains(asked, m.Name) {
			others = append(others, m.Name)
		}
	}
	if len(others) > 0 {
		besteffort.Output(fmt.Fprintf(w, "alive and not asked: %s\n", strings.Join(others, ", ")))
	}
	if len(digests) > 1 {
		return errNotSettled
	}
	return nil
}

// opinion is how some proxies see a member.
type opinion struct {
	of gossip.Member
	by []string
}

// opinions gives for each member by name how it is seen, more than once where proxies differ. Load and age
// differ by nature.
func opinions(views []gossip.Report) []opinion {
	type key struct {
		name string
		seen gossip.Member
	}
	at := map[key]int{}
	var all []opinion
	for _, v := range views {
		for _, m := range v.Members {
			k := key{m.Name, m}
			k.seen.AgeMS, k.seen.Load, k.seen.Accusers = 0, 0, ""
			i, known := at[k]
			if !known {
				i = len(all)
				at[k] = i
				all = append(all, opinion{of: m})
			}
			all[i].by = append(all[i].by, v.Name)
		}
	}
	slices.SortStableFunc(all, func(a, b opinion) int { return cmp.Compare(a.of.Name, b.of.Name) })
	return all
}

// who names those that see it so.
func (o opinion) who(asked int) string {
	if len(o.by) == asked {
		return "all"
	}
	return strings.Join(o.by, ",")
}

// why says what made a member other than alive.
func why(m gossip.Member) string {
	if m.Reason == "" {
		return "-"
	}
	return strings.TrimSuffix(m.Reason+"; by "+m.Accusers, "; by ")
}

func dash(s string) string { return cmp.Or(s, "-") }
