// Package check judges the complete history of a lab run: each check is a pure function from the history's
// events to a verdict.
package check

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"wrenspread/internal/lab/history"
	"wrenspread/internal/lab/world"
)

// Limits holds the resources that a run granted to each process, and the timing slack of the checks.
type Limits struct {
	Memory int64         // bytes of memory for each process; 0 disables the check
	FDs    int           // file descriptors for each process; 0 disables the check
	Slack  time.Duration // what the lab's own lateness and its links add to a measured time
}

// Finding describes one event that broke a rule.
type Finding struct {
	T    time.Duration `json:"t"`
	ID   string        `json:"id,omitempty"`
	Text string        `json:"text"`
}

// String returns the finding with its request and time, as reports print it.
func (f Finding) String() string {
	s := f.Text
	if f.ID != "" {
		s = "request " + f.ID + ": " + s
	}
	if f.T > 0 {
		s = fmt.Sprintf("at %.3f s: %s", f.T.Seconds(), s)
	}
	return s
}

// Verdict is the result of one check over a history.
type Verdict struct {
	Name   string    `json:"name"`
	Rule   string    `json:"rule"`
	Timed  bool      `json:"timed"`  // the rule depends on times, so a slow machine can break it
	Seen   int       `json:"seen"`   // the number of items that the check examined
	Broken []Finding `json:"broken"` // violations of the rule; empty when the rule was kept

	// measurements that the check reports in addition to the verdict
	Measured []string `json:"measured,omitempty"`
}

// OK reports whether the rule was kept.
func (v Verdict) OK() bool { return len(v.Broken) == 0 }

func (v *Verdict) fail(e history.Event, format string, args ...any) {
	v.Broken = append(v.Broken, Finding{T: e.T, ID: e.ID, Text: fmt.Sprintf(format, args...)})
}

// All runs every check that applies to each history. The events may be in the order in which they were
// written; All sorts a copy by time.
func All(events []history.Event, l Limits) []Verdict {
	events = slices.Clone(events)
	slices.SortStableFunc(events, func(a, b history.Event) int { return cmp.Compare(a.T, b.T) })
	return []Verdict{
		answered(
			events,
		),
		ended(events),
		ownAnswer(events),
		onceUnsafe(events),
		onceKeyed(events, l.Slack),
		oneAtATime(events),
		asSent(events),
		drains(events, l.Slack),
		cold(events),
		processes(events),
		resourceUse(events, l),
		growth(events),
	}
}

// answered checks that each request that a node accepted gets exactly one final answer. A broken or silent
// answer is excused when a fault acted on the node while the request was open.
func answered(events []history.Event) Verdict {
	v := Verdict{
		Name:  "answered",
		Rule:  "each request that was taken gets one final answer in its time",
		Timed: true,
	}
	faults := faultsOf(events)
	sent := map[string]history.Event{}
	answers := map[string]int{}
	fresh, total := 0, 0
	for _, e := range events {
		switch e.Kind {
		case history.Sent:
			sent[e.ID] = e
		case history.Extra:
			v.fail(e, "%s says more after the answer to %s", e.Node, e.ID)
		case history.Answer:
			total++
			answers[e.ID]++
			if answers[e.ID] > 1 {
				v.fail(e, "a second answer from %s", e.Node)
			}
			s, ok := sent[e.ID]
			if !ok || (e.How != history.Broken && e.How != history.Silent) || faults.overlap(e.Node, s.T, e.T) {
				continue
			}
			if e.Detail == history.Fresh {
				fresh++
				continue
			}
			v.fail(
				e,
				"%s ends it %s, %v after it was sent, and nothing had been done to that node",
				e.Node,
				e.How,
				e.T-s.T,
			)
		}
	}
	v.Seen = len(sent)
	for id, s := range sent {
		if answers[id] == 0 {
			v.fail(s, "nothing came of it")
		}
	}
	// A first request on a new connection that the node closes unread counts as failed, not as lost, up to
	// one request in 200.
	if fresh*200 > max(total, 200) {
		v.Broken = append(
			v.Broken,
			Finding{Text: fmt.Sprintf("%d of %d requests were closed unheard, more than one in 200", fresh, total)},
		)
	}
	return v
}

// ended checks that each due operation ends exactly once.
func ended(events []history.Event) Verdict {
	v := Verdict{Name: "ended", Rule: "each operation that was due ends once"}
	over := map[int]int{}
	for _, e := range events {
		if e.Kind == history.Over {
			if over[e.Op]++; over[e.Op] > 1 {
				v.fail(e, "operation %d ends twice", e.Op)
			}
		}
	}
	for _, e := range events {
		if e.Kind == history.Due {
			v.Seen++
			if over[e.Op] == 0 {
				v.fail(e, "operation %d never ends", e.Op)
			}
		}
	}
	return v
}

// ownAnswer checks that each served answer was made by the named backend for that same request.
func ownAnswer(events []history.Event) Verdict {
	v := Verdict{Name: "own-answer", Rule: "what a node serves is what a box answered to that very request"}
	type answerKey struct{ id, box string }
	ends := map[answerKey]bool{}
	for _, e := range events {
		if e.Kind == history.End && e.Status == 200 {
			ends[answerKey{e.ID, e.Backend}] = true
		}
	}
	for _, e := range events {
		if e.Kind != history.Answer || e.How != history.Served {
			continue
		}
		v.Seen++
		if !ends[answerKey{e.ID, e.Backend}] {
			v.fail(e, "%s serves an answer of box %q, which made none", e.Node, e.Backend)
		}
	}
	return v
}

// onceUnsafe checks that no operation of an unsafe class begins twice at backends, over all of its tries.
func onceUnsafe(events []history.Event) Verdict {
	v := Verdict{Name: "unsafe-once", Rule: "no payment-post begins twice, over all of its client's tries"}
	unsafe := map[int]bool{}
	for _, e := range events {
		if e.Kind == history.Due && e.Class == "payment-post" {
			unsafe[e.Op] = true
		}
	}
	begun := map[int]history.Event{}
	for _, e := range events {
		if e.Kind != history.Begin || !unsafe[e.Op] {
			continue
		}
		v.Seen++
		if first, ok := begun[e.Op]; ok {
			v.fail(e, "operation %d begins at %s, after %s at %v", e.Op, e.Backend, first.Backend, first.T)
			continue
		}
		begun[e.Op] = e
	}
	return v
}

// onceKeyed checks that no idempotency key begins twice. One repeat is allowed: it was sent to the same pod
// within the deduplication window and arrived after it, because the network may delay a request for longer
// than a pod remembers a key.
func onceKeyed(events []history.Event, slack time.Duration) Verdict {
	v := Verdict{
		Name: "key-once",
		Rule: "no key begins twice: repeats are sent to the same pod and within the window",
	}
	type attempt struct{ id, box string }
	sent := map[attempt]time.Duration{}
	first := map[string]history.Event{}
	for _, e := range events {
		switch {
		case e.Kind == history.Arrive:
			sent[attempt{e.ID, e.Backend}] = e.Sent
		case e.Kind == history.Begin && e.Key != "":
			v.Seen++
			f, again := first[e.Key]
			if !again {
				first[e.Key] = e
				continue
			}
			apart := sent[attempt{e.ID, e.Backend}] - sent[attempt{f.ID, f.Backend}]
			if e.Pod != f.Pod || apart > world.KeyWindow+world.SocketSlack+slack {
				v.fail(
					e,
					"the key begins at %s, after %s at %v (request %s), sent %v later",
					e.Backend,
					f.Backend,
					f.T,
					f.ID,
					apart,
				)
			}
		}
	}
	return v
}

// oneAtATime checks that no two attempts of one request are open at the same time.
func oneAtATime(events []history.Event) Verdict {
	v := Verdict{Name: "one-at-a-time", Rule: "no two attempts of one request are open at once"}
	for _, e := range events {
		if e.Kind != history.Arrive {
			continue
		}
		v.Seen++
		if len(e.Also) > 0 {
			v.fail(e, "%s sends it to %s while it is open at %v", e.Node, e.Backend, e.Also)
		}
	}
	return v
}

// asSent checks that every request that reaches a backend is a request that a client sent, unchanged.
func asSent(events []history.Event) Verdict {
	v := Verdict{
		Name: "as-sent",
		Rule: "what reaches a box is a request that a client sent, with its id and key, one to a connection",
	}
	for _, e := range events {
		if e.Kind != history.Arrive {
			continue
		}
		v.Seen++
		if e.Bad {
			v.fail(e, "%s sends %s what no client sent so: %s", e.Node, e.Backend, cmp.Or(e.How, "an unknown id"))
		}
	}
	return v
}
