package check

import (
	"testing"
	"time"

	"wrenspread/internal/lab/history"
)

const ms = time.Millisecond

// soundHistory returns a history with faults, rejections and delays that breaks no rule.
func soundHistory() []history.Event {
	return []history.Event{
		{T: 1, Kind: history.Proc, Node: "n0", Pid: 7, How: "start"},
		{T: 1 * ms, Kind: history.Due, Op: 1, Class: "payment-post"},
		{T: 2 * ms, Kind: history.Sent, Op: 1, ID: "a", Node: "n0", Wait: 300 * ms},
		{T: 3 * ms, Kind: history.Arrive, Op: 1, ID: "a", Backend: "s0", Node: "n0"},
		{T: 3 * ms, Kind: history.Reject, Op: 1, ID: "a", Backend: "s0"},
		{T: 4 * ms, Kind: history.Arrive, Op: 1, ID: "a", Backend: "s1", Node: "n0"},
		{T: 5 * ms, Kind: history.Begin, Op: 1, ID: "a", Backend: "s1"},
		{T: 6 * ms, Kind: history.End, Op: 1, ID: "a", Backend: "s1", Status: 200},
		{T: 7 * ms, Kind: history.Answer, Op: 1, ID: "a", Node: "n0", How: history.Served, Status: 200, Backend: "s1"},
		{T: 7 * ms, Kind: history.Over, Op: 1, How: history.Served},
		{T: 8 * ms, Kind: history.Due, Op: 2, Class: "advance-release"},
		{T: 8 * ms, Kind: history.Sent, Op: 2, ID: "b", Node: "n0", Key: "k"},
		{T: 9 * ms, Kind: history.Arrive, Op: 2, ID: "b", Backend: "s1", Node: "n0", Sent: 8 * ms},
		{T: 9 * ms, Kind: history.Begin, Op: 2, ID: "b", Backend: "s1", Key: "k", Pod: 1},
		{T: 9 * ms, Kind: history.Drop, Op: 2, ID: "b", Backend: "s2", Key: "k"},
		{T: 10 * ms, Kind: history.Fault, How: "begin", Detail: "1-kill", Nodes: []string{"n0"}},
		{T: 11 * ms, Kind: history.Answer, Op: 2, ID: "b", Node: "n0", How: history.Broken},
		{T: 11 * ms, Kind: history.Over, Op: 2, How: history.Broken},
		{T: 12 * ms, Kind: history.Fault, How: "end", Detail: "1-kill", Nodes: []string{"n0"}},
		{T: 20 * ms, Kind: history.Notified, Node: "n0", Backend: "s0", How: "draining"},
		{T: 1900 * ms, Kind: history.Arrive, ID: "c", Backend: "s0", Node: "n0", Sent: 1900 * ms},
		{T: 1950 * ms, Kind: history.Proc, Node: "n0", Pid: 7, How: "signal", Detail: "SIGSTOP"},
		{T: 3950 * ms, Kind: history.Proc, Node: "n0", Pid: 7, How: "signal", Detail: "SIGCONT"},
		{T: 3990 * ms, Kind: history.Arrive, ID: "d", Backend: "s0", Node: "n0", Sent: 3990 * ms},
		{T: 3995 * ms, Kind: history.Arrive, Op: 2, ID: "b", Backend: "s4", Node: "n0", Sent: 900 * ms}, // delayed by a link
		{T: 3996 * ms, Kind: history.Begin, Op: 2, ID: "b", Backend: "s4", Key: "k", Pod: 1},
		{T: 4000 * ms, Kind: history.BackendChange, Backend: "s3", How: "cold", Detail: "99"},
		{T: 4001 * ms, Kind: history.Arrive, ID: "e", Backend: "s3", Node: "n0", Took: time.Second},
		{T: 4002 * ms, Kind: history.BackendChange, Backend: "s3", How: "fell"}, // no node had been notified of the start
		{T: 4003 * ms, Kind: history.Sample, Node: "n0", Pid: 7, RSS: 20 << 20, FDs: 30},
		{T: 5000 * ms, Kind: history.Proc, Node: "n0", Pid: 7, How: "exit"},
	}
}

// runAll returns the verdicts of all checks by the check's name.
func runAll(events []history.Event) map[string]Verdict {
	verdicts := map[string]Verdict{}
	for _, v := range All(events, Limits{Memory: 64 << 20, FDs: 100}) {
		verdicts[v.Name] = v
	}
	return verdicts
}

func TestSoundHistoryPassesEveryCheck(t *testing.T) {
	for name, v := range runAll(soundHistory()) {
		if !v.OK() {
			t.Errorf("%s: %v", name, v.Broken)
		}
		if v.Seen == 0 && name != "growth" {
			t.Errorf("check %s examined nothing", name)
		}
	}
}

// TestEachBrokenRuleFailsItsCheckAlone breaks one rule at a time: only the check of that rule may fail.
func TestEachBrokenRuleFailsItsCheckAlone(t *testing.T) {
	add := func(added ...history.Event) func([]history.Event) []history.Event {
		return func(events []history.Event) []history.Event { return append(events, added...) }
	}
	without := func(kind history.Kind, id string) func([]history.Event) []history.Event {
		return func(events []history.Event) []history.Event {
			var kept []history.Event
			for _, e := range events {
				if e.Kind != kind || e.ID != id {
					kept = append(kept, e)
				}
			}
			return kept
		}
	}
	var growing []history.Event
	for i := range 100 {
		growing = append(growing, history.Event{T: time.Duration(i) * time.Second, Kind: history.Sample, Pid: 7, RSS: int64(10+max(0, i-50)) << 20, FDs: 10})
	}
	var leaking []history.Event
	for i := range 100 {
		leaking = append(leaking, history.Event{T: time.Duration(i) * time.Second, Kind: history.Sample, Pid: 7, RSS: 1, FDs: min(100, 4*max(0, i-60))})
	}
	for name, c := range map[string]struct {
		breakRule func([]history.Event) []history.Event
		check     string
	}{
		"no answer":              {without(history.Answer, "b"), "answered"},
		"two answers":            {add(history.Event{T: 9 * ms, Kind: history.Answer, ID: "a", Node: "n0", How: history.Refused}), "answered"},
		"bytes after the answer": {add(history.Event{T: 9 * ms, Kind: history.Extra, ID: "a", Node: "n0"}), "answered"},
		"broken without a fault": {add(history.Event{T: 3000 * ms, Kind: history.Sent, ID: "z", Node: "n1"},
			history.Event{T: 3100 * ms, Kind: history.Answer, ID: "z", Node: "n1", How: history.Broken}), "answered"},
		"silent without a fault": {add(history.Event{T: 3000 * ms, Kind: history.Sent, ID: "z", Node: "n1"},
			history.Event{T: 3100 * ms, Kind: history.Answer, ID: "z", Node: "n1", How: history.Silent}), "answered"},
		"operation never ends":        {add(history.Event{T: ms, Kind: history.Due, Op: 9}), "ended"},
		"operation ends twice":        {add(history.Event{T: 8 * ms, Kind: history.Over, Op: 1}), "ended"},
		"answer that no backend made": {without(history.End, "a"), "own-answer"},
		"answer of an unknown backend": {add(history.Event{T: 8 * ms, Kind: history.Sent, ID: "z", Node: "n0"},
			history.Event{T: 9 * ms, Kind: history.Answer, ID: "z", Node: "n0", How: history.Served, Backend: "?"}), "own-answer"},
		"payment begins twice": {add(history.Event{T: 9 * ms, Kind: history.Begin, Op: 1, ID: "a2", Backend: "s2"}), "unsafe-once"},
		"key begins in two pods": {add(history.Event{T: 100 * ms, Kind: history.Arrive, Op: 2, ID: "b", Backend: "s5", Node: "n0", Sent: 99 * ms},
			history.Event{T: 101 * ms, Kind: history.Begin, Op: 2, ID: "b", Backend: "s5", Key: "k", Pod: 2}), "key-once"},
		"key repeated after the window": {add(history.Event{T: 2000 * ms, Kind: history.Arrive, Op: 2, ID: "b", Backend: "s5", Node: "n0", Sent: 1999 * ms},
			history.Event{T: 2001 * ms, Kind: history.Begin, Op: 2, ID: "b", Backend: "s5", Key: "k", Pod: 1}), "key-once"},
		"two attempts open":           {add(history.Event{T: 9 * ms, Kind: history.Arrive, ID: "b", Backend: "s2", Node: "n0", Also: []string{"s1"}}), "one-at-a-time"},
		"request that no client sent": {add(history.Event{T: 9 * ms, Kind: history.Arrive, ID: "x", Backend: "s2", Node: "n0", Bad: true}), "as-sent"},
		"sent after the drain grace":  {add(history.Event{T: 4200 * ms, Kind: history.Arrive, ID: "f", Backend: "s0", Node: "n0", Sent: 4200 * ms}), "drains"},
		"cold backend overloaded": {add(history.Event{T: 4100 * ms, Kind: history.BackendChange, Backend: "s5", How: "cold", Detail: "99"},
			history.Event{T: 4101 * ms, Kind: history.Notified, Node: "n0", Backend: "s5", How: "ready", Detail: "99"},
			history.Event{T: 4102 * ms, Kind: history.Arrive, ID: "e", Backend: "s5", Node: "n0", Took: time.Second},
			history.Event{T: 4103 * ms, Kind: history.BackendChange, Backend: "s5", How: "fell"}), "cold"},
		"process ends without an order": {add(history.Event{T: 4200 * ms, Kind: history.Proc, Node: "n1", Pid: 8, How: "exit", Bad: true}), "processes"},
		"process never ends":            {add(history.Event{T: 4200 * ms, Kind: history.Proc, Node: "n1", Pid: 8, How: "start"}), "processes"},
		"too much memory":               {add(history.Event{T: 4200 * ms, Kind: history.Sample, Pid: 7, RSS: 65 << 20}), "limits"},
		"too many descriptors":          {add(history.Event{T: 4200 * ms, Kind: history.Sample, Pid: 7, FDs: 101}), "limits"},
		"memory grows":                  {add(growing...), "growth"},
		"descriptors leak":              {add(leaking...), "growth"},
	} {
		for check, v := range runAll(c.breakRule(soundHistory())) {
			if v.OK() == (check == c.check) {
				t.Errorf("%s: check %s has the findings %v", name, check, v.Broken)
			}
		}
	}
}
