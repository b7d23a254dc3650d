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

// errNotSettled means that the proxies' views have different digests.
var errNotSettled = errors.New("not settled: the proxies' views differ")

// compareDigests prints the common digest of all views, or else the different digests with the proxies that
// have them. It also prints the alive members whose views were not read. It returns errNotSettled if the
// digests differ.
func compareDigests(w io.Writer, views []gossip.Report) error {
	proxiesByDigest := map[string][]string{}
	var digests, asked []string
	for _, v := range views {
		key := v.Fleet + ", digest " + v.Digest
		if proxiesByDigest[key] == nil {
			digests = append(digests, key)
		}
		proxiesByDigest[key] = append(proxiesByDigest[key], v.Name)
		asked = append(asked, v.Name)
		if v.Yielded {
			besteffort.Output(fmt.Fprintf(w, "%s is silent: another process has its name\n", v.Name))
		}
	}
	if len(digests) == 1 {
		besteffort.Output(fmt.Fprintf(w, "settled: %d asked, fleet %s\n", len(views), digests[0]))
	}
	for _, digest := range digests {
		if len(digests) > 1 {
			besteffort.Output(
				fmt.Fprintf(w, "not settled: fleet %s at %s\n", digest, strings.Join(proxiesByDigest[digest], ", ")),
			)
		}
	}
	var notAsked []string
	for _, m := range views[0].Members {
		if m.Health == "alive" && !slices.Contains(asked, m.Name) {
			notAsked = append(notAsked, m.Name)
		}
	}
	if len(notAsked) > 0 {
		besteffort.Output(fmt.Fprintf(w, "alive and not asked: %s\n", strings.Join(notAsked, ", ")))
	}
	if len(digests) > 1 {
		return errNotSettled
	}
	return nil
}

// memberView is a view of one member, and the names of the proxies that have this view.
type memberView struct {
	member    gossip.Member
	observers []string
}

// groupMemberViews returns the different views of each member, ordered by the member's name. Load, age and
// accusers are not compared, since they usually differ between proxies.
func groupMemberViews(views []gossip.Report) []memberView {
	type key struct {
		name   string
		member gossip.Member
	}
	indexes := map[key]int{}
	var groups []memberView
	for _, v := range views {
		for _, m := range v.Members {
			k := key{m.Name, m}
			k.member.AgeMS, k.member.Load, k.member.Accusers = 0, 0, ""
			i, known := indexes[k]
			if !known {
				i = len(groups)
				indexes[k] = i
				groups = append(groups, memberView{member: m})
			}
			groups[i].observers = append(groups[i].observers, v.Name)
		}
	}
	slices.SortStableFunc(groups, func(a, b memberView) int { return cmp.Compare(a.member.Name, b.member.Name) })
	return groups
}

// observersText returns the names of the proxies that have the view, or "all" if all of the asked proxies
// have it.
func (o memberView) observersText(asked int) string {
	if len(o.observers) == asked {
		return "all"
	}
	return strings.Join(o.observers, ",")
}

// reasonText returns why a member is not alive and which proxies accused it, or a dash.
func reasonText(m gossip.Member) string {
	if m.Reason == "" {
		return "-"
	}
	return strings.TrimSuffix(m.Reason+"; by "+m.Accusers, "; by ")
}

// orDash returns s, or a dash if s is empty.
func orDash(s string) string { return cmp.Or(s, "-") }
