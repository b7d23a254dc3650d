// Package check checks the complete history of a lab run. Each check is a pure function that computes a
// verdict from the history's events.
package check

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"wrenspread/internal/lab/history"
	"wrenspread/internal/lab/world"
)

// Limits holds the limits on the resources of each process, and the timing slack of the checks.
type Limits struct {
	Memory int64         // bytes of memory for each process; 0 disables the check
	FDs    int           // file descriptors for each process; 0 disables the check
	Slack  time.Duration // the most that the lab's own lateness and its links add to a measured time
}

// Finding describes one event that broke a rule.
type Finding struct {
	T    time.Duration `json:"t"`
	ID   string        `json:"id,omitempty"`
	Text string        `json:"text"`
}

// String returns the finding as reports print it, with its time and request ID.
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

// fail adds a finding about the event e.
func (v *Verdict) fail(e history.Event, format string, args ...any) {
	v.Broken = append(v.Broken, Finding{T: e.T, ID: e.ID, Text: fmt.Sprintf(format, args...)})
}

// All runs the checks that apply to every history. The events need not be in order of time: All sorts a copy.
func All(events []history.Event, l Limits) []Verdict {
	events = slices.Clone(events)
	slices.SortStableFunc(events, func(a, b history.Event) int { return cmp.Compare(a.T, b.T) })
	return []Verdict{
		checkAnswered(
			events,
		),
		checkEnded(events),
		checkOwnAnswer(events),
		checkUnsafeOnce(events),
		checkKeyOnce(events, l.Slack),
		checkOneAtATime(events),
		checkAsSent(events),
		checkDrains(events, l.Slack),
		checkCold(events),
		checkProcesses(events),
		checkLimits(events, l),
		checkGrowth(events),
	}
}

// checkAnswered checks that each request that was sent to a node gets exactly one final answer. The outcomes
// Broken and Silent are allowed if a fault acted on the node while the request was open.
func checkAnswered(events []history.Event) Verdict {
	v := Verdict{
		Name:  "answered",
		Rule:  "each request that was taken gets one final answer in its time",
		Timed: true,
	}
	faults := faultIntervals(events)
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
	// A node may close a new connection before it reads the first request. Such requests count as failed and
	// not as lost, up to one request in 200.
	if fresh*200 > max(total, 200) {
		v.Broken = append(
			v.Broken,
			Finding{Text: fmt.Sprintf("%d of %d requests were closed unheard, more than one in 200", fresh, total)},
		)
	}
	return v
}

// checkEnded checks that each operation that was due ends exactly once.
func checkEnded(events []history.Event) Verdict {
	v := Verdict{Name: "ended", Rule: "each operation that was due ends once"}
	endings := map[int]int{}
	for _, e := range events {
		if e.Kind == history.Over {
			if endings[e.Op]++; endings[e.Op] > 1 {
				v.fail(e, "operation %d ends twice", e.Op)
			}
		}
	}
	for _, e := range events {
		if e.Kind == history.Due {
			v.Seen++
			if endings[e.Op] == 0 {
				v.fail(e, "operation %d never ends", e.Op)
			}
		}
	}
	return v
}

// checkOwnAnswer checks that the backend which a served answer names made this answer for the same request.
func checkOwnAnswer(events []history.Event) Verdict {
	v := Verdict{Name: "own-answer", Rule: "what a node serves is what a box answered to that very request"}
	type answerKey struct{ id, backend string }
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

// checkUnsafeOnce checks that no operation of the unsafe class payment-post begins twice at backends,
// counting all of its tries.
func checkUnsafeOnce(events []history.Event) Verdict {
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

// checkKeyOnce checks that no idempotency key begins twice. A repeat may begin if it was sent to the same pod
// within the deduplication window, because the network may delay it for longer than the pod remembers the
// key.
func checkKeyOnce(events []history.Event, slack time.Duration) Verdict {
	v := Verdict{
		Name: "key-once",
		Rule: "no key begins twice: repeats are sent to the same pod and within the window",
	}
	type attempt struct{ id, backend string }
	sentAt := map[attempt]time.Duration{}
	firstBegin := map[string]history.Event{}
	for _, e := range events {
		switch {
		case e.Kind == history.Arrive:
			sentAt[attempt{e.ID, e.Backend}] = e.Sent
		case e.Kind == history.Begin && e.Key != "":
			v.Seen++
			first, again := firstBegin[e.Key]
			if !again {
				firstBegin[e.Key] = e
				continue
			}
			apart := sentAt[attempt{e.ID, e.Backend}] - sentAt[attempt{first.ID, first.Backend}]
			if e.Pod != first.Pod || apart > world.KeyWindow+world.SocketSlack+slack {
				v.fail(
					e,
					"the key begins at %s, after %s at %v (request %s), sent %v later",
					e.Backend,
					first.Backend,
					first.T,
					first.ID,
					apart,
				)
			}
		}
	}
	return v
}

// checkOneAtATime checks that no two attempts of one request are open at the same time.
func checkOneAtATime(events []history.Event) Verdict {
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

// checkAsSent checks that every request that reaches a backend is a request that a client sent, unchanged.
func checkAsSent(events []history.Event) Verdict {
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
