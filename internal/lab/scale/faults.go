package scale

import (
	"fmt"
	"strings"
)

// faults are those of the letter: what was played of each, and what the slopes make of it at the plan's size.
func faults(s sheet) (string, error) {
	p, a := s.plan.Plan, s.plan.Assumed
	var rows [][]string
	for _, m := range []measured{s.before, s.after} {
		if len(m.of) == 0 {
			rows = append(rows, []string{"all of them", m.label, "not run", "", "", ""})
			continue
		}
		gone := func(n float64) (loop, out string) {
			t := &terms{}
			t.add(n)(m.at("module", "backends", "change_s", p.Backends, nodesOfPlan))
			loop = worked(t, "s")
			t = &terms{}
			t.add(n)(m.at("watchers", "watchers", "change_bytes", p.Nodes/a.Replicas, nil))
			if loop != notRun {
				loop += " of its loop, were each change taken alone"
			}
			return loop, worked(t, "bytes")
		}
		rackLoop, rackOut := gone(a.RackBackends)
		zoneLoop, zoneOut := gone(p.Backends / float64(p.Zones))
		rollLoop, rollOut := gone(a.RestartChanges * (p.Nodes + p.Backends) / 3600)
		whole, start, lost := &terms{}, &terms{}, &terms{}
		whole.add(p.Nodes / a.Replicas)(m.at("entries", "entries", "whole_bytes", p.Backends, nil))
		start.add(1 / p.NodeBytes)(m.at("entries", "entries", "whole_bytes", p.Backends, nil))
		lost.add(1)(m.at("watchers", "watchers", "rest_cores", p.Nodes/(a.Replicas-1), nil))
		lost.add(s.plan.listChanges())(m.at("watchers", "watchers", "change_cpu_s", p.Nodes/(a.Replicas-1), nil))
		for _, r := range [][]string{
			{"a rack gone at once", notRun, rackLoop, rackOut},
			{"a zone gone", m.played("zone", "backends", "backends, 10 hollow nodes", "changes settled_s node_cpu_s node_bytes_in node_bytes_kept replica_cpu_s replica_bytes_out"), zoneLoop, zoneOut},
			{"a zone back", m.played("zone", "backends", "backends, 10 hollow nodes", "back_changes back_settled_s back_node_cpu_s back_node_bytes_in back_node_bytes_kept back_replica_cpu_s back_replica_bytes_out"), "as gone", zoneOut},
			{"regions apart for an hour, then together", notRun, notRun, notRun},
			{"nodes and backends rolled in an hour, by the second", notRun, rollLoop, rollOut},
			{"everything cold at once", m.played("cold", "watchers", "watchers of one replica", "entries half_s last_s watcher_cpu_s replica_cpu_s replica_bytes_out"), "the list whole, at its bytes a second: " + worked(start, "s"), worked(whole, "bytes")},
			{"one of three replicas lost, the leader", m.played("lost", "watchers", "watchers of three replicas", "entries written_s most99_s last_s"), "a watch made anew", "each of the others, at the peak: " + worked(lost, "cores")},
			{"a conductor or a holder of shares lost in any of these", notRun, notRun, notRun},
		} {
			rows = append(rows, append([]string{r[0], m.label}, append(r[1:], notRun)...))
		}
	}
	return table([]string{"fault", "program", "played, in the largest play", "at a node of the plan, by the slopes", "out of a replica, by the slopes", "requests harmed"}, rows), nil
}

const notRun = "not run"

// played tells the figures of the largest play of a fault.
func (m measured) played(what, along, name, figures string) string {
	r, has := m.of[what]
	if !has {
		return notRun
	}
	largest := r.Points[0]
	for _, p := range r.Points {
		if p.Sizes[along] > largest.Sizes[along] {
			largest = p
		}
	}
	text := fmt.Sprintf("%s %s", number(float64(largest.Sizes[along])), name)
	if largest.Trial != "" {
		text += " (trial)"
	}
	for _, name := range strings.Fields(figures) {
		f, unit := largest.Figures[name], ""
		if strings.HasSuffix(name, "_s") {
			unit = "s"
		} else if strings.Contains(name, "bytes") {
			unit = "bytes"
		}
		text += fmt.Sprintf("; `%s` %s", name, strings.TrimSpace(shown(f.Median, unit)))
		if f.Least != f.Most && unit == "s" {
			text += fmt.Sprintf(" (%s to %s)", shown(f.Least, unit), shown(f.Most, unit))
		}
	}
	return text
}

// worked is a sum of slopes, and what it rests on.
func worked(t *terms, unit string) string {
	value, on, err := t.total()
	if err != nil {
		return notRun
	}
	return shown(value, unit) + " (" + on.String() + ")"
}
