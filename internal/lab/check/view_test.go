package check

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"wrenspread/internal/lab/history"
)

// soundViews returns the views of three nodes: n2 is killed at 2 s and returns at 5 s with generation 2.
func soundViews() []history.Event {
	at := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	viewEvent := func(t float64, node, digest string, members ...string) history.Event {
		generation := "1"
		if node == "n2" && t > 5 {
			generation = "2"
		}
		return history.Event{T: at(t), Kind: history.View, Node: node, How: digest, Detail: generation, Also: members}
	}
	alive := []string{"n0 alive 1 0", "n1 alive 1 0", "n2 alive 1 0"}
	dead := []string{"n0 alive 1 0", "n1 alive 1 0", "n2 dead 1 0"}
	back := []string{"n0 alive 1 0", "n1 alive 1 0", "n2 alive 2 0"}
	var events []history.Event
	for i, n := range []string{"n0", "n1", "n2"} {
		events = append(events, history.Event{T: at(0.1), Kind: history.Proc, Node: n, How: "start", Pid: i + 1}, viewEvent(1, n, "a", alive...))
	}
	events = append(events, history.Event{T: at(2), Kind: history.Fault, How: "begin", Detail: "1-kill", Also: []string{"n2"}},
		history.Event{T: at(2), Kind: history.Proc, Node: "n2", How: "exit", Pid: 3},
		viewEvent(3, "n0", "b", dead...), viewEvent(3.2, "n1", "b", dead...),
		history.Event{T: at(5), Kind: history.Proc, Node: "n2", How: "start", Pid: 4},
		history.Event{T: at(5), Kind: history.Fault, How: "end", Detail: "1-kill", Also: []string{"n2"}})
	for _, n := range []string{"n0", "n1", "n2"} {
		events = append(events, viewEvent(6, n, "c", back...))
	}
	return append(events, history.Event{T: at(30), Kind: history.Ending},
		history.Event{T: at(31), Kind: history.Proc, Node: "n0", How: "exit", Pid: 1})
}

// TestViewCheckPassesSoundViewsAndFindsEachWrongView: a sound history passes and its delays are measured;
// each kind of wrong view fails.
func TestViewCheckPassesSoundViewsAndFindsEachWrongView(t *testing.T) {
	if v := View(soundViews()); !v.OK() || !strings.Contains(fmt.Sprint(v.Measured), "n2 was dead in 2 views after 1.20 s in the median") {
		t.Fatalf("findings %v, measured %v", v.Broken, v.Measured)
	}
	change := func(t float64, node string, apply func(e *history.Event)) func([]history.Event) []history.Event {
		return func(events []history.Event) []history.Event {
			for i, e := range events {
				if e.Kind == history.View && e.Node == node && e.T == time.Duration(t*float64(time.Second)) {
					events[i].Also = slices.Clone(e.Also)
					apply(&events[i])
				}
			}
			return events
		}
	}
	for finding, breakView := range map[string]func([]history.Event) []history.Event{
		"at the end n1 has view": change(6, "n1", func(e *history.Event) { e.How = "d" }),
		"n0 as dead":             change(6, "n1", func(e *history.Event) { e.Also[0] = "n0 dead 1 0" }),
		"had been done":          change(3, "n0", func(e *history.Event) { e.Also[1] = "n1 dead 1 0" }),
		"go back":                change(6, "n0", func(e *history.Event) { e.Also[1] = "n1 alive 0 7" }),
		"does not know n2":       change(6, "n0", func(e *history.Event) { e.Also = e.Also[:2] }),
		"ended as ordered": func(events []history.Event) []history.Event {
			for i := range events {
				events[i].Detail = strings.Replace(events[i].Detail, "kill", "restart", 1)
			}
			return append([]history.Event{{T: time.Second, Kind: history.Proc, Node: "n2", How: "signal", Detail: "SIGTERM"}}, events...)
		},
		"no end": func(events []history.Event) []history.Event { return events[:len(events)-2] },
	} {
		if v := View(breakView(soundViews())); !strings.Contains(fmt.Sprint(v.Broken), finding) {
			t.Errorf("no finding contains %q: %v", finding, v.Broken)
		}
	}
}
