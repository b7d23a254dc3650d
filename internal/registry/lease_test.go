package registry

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "wrenspread/internal/rapidseed"
)

// drawLeaseCommand draws a command on sessions and leases. It uses few names, so that many commands concern
// the same lease.
func drawLeaseCommand(t *rapid.T) Command {
	id := func() string { return fmt.Sprint("x", rapid.IntRange(0, 3).Draw(t, "session")) }
	name := fmt.Sprint("d", rapid.IntRange(0, 1).Draw(t, "duty"))
	c := Command{Op: rapid.SampledFrom([]string{OpOpenSession, OpOpenSession, OpCampaign, OpCampaign, OpCampaign, OpRelease, OpCloseSessions, OpTransfer, OpBlock, OpGrant, OpRegister}).Draw(t, "do")}
	switch c.Op {
	case OpOpenSession:
		session := id()
		c.Session = &Session{ID: session, Process: "p" + session[1:], TTL: time.Second}
	case OpCampaign, OpRelease:
		c.Session = &Session{ID: id()}
		c.Candidacies = []Candidacy{{Lease: name, Priority: rapid.IntRange(0, 2).Draw(t, "priority"), Preempt: rapid.Bool().Draw(t, "over")}}
	case OpCloseSessions:
		c.Sessions = []string{id()}
	case OpTransfer, OpBlock:
		c.Name, c.Enable = name, rapid.Bool().Draw(t, "on")
		if c.Op == OpBlock || rapid.Bool().Draw(t, "to") {
			c.Process = "p" + id()[1:]
		}
	case OpRegister:
		e := entry("a")
		e.StartedAtMS = int64(rapid.IntRange(0, 1000).Draw(t, "since"))
		c.Endpoint, c.Token = &e, &FencingToken{Lease: name, Number: uint64(rapid.IntRange(0, 40).Draw(t, "fence"))}
	}
	if c.Grant = []string{"d0", "d1"}; rapid.IntRange(0, 3).Draw(t, "grants delayed") == 0 {
		c.Grant = nil
	}
	return c
}

// TestLeaseInvariantsHoldForDrawnCommands applies drawn commands of sessions, holders and operators. It checks
// that fencing tokens only rise and are the versions of their grants, that the best candidate is granted a
// lease, that a write with a fencing token is applied only for the present holder, and that a replica that is
// restored from snapshots has the same state.
func TestLeaseInvariantsHoldForDrawnCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, replica := NewState(), NewState()
		begin := Command{Op: OpBegin, Epoch: "e"}
		s.Apply(begin)
		replica.Apply(begin)
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			c := drawLeaseCommand(t)
			if rapid.IntRange(0, 2).Draw(t, "as holder") == 0 && c.Token != nil {
				if lease, ok := s.Lease(c.Token.Lease); ok {
					c.Token.Number = lease.Token
				}
			}
			before, _ := s.Leases("")
			version := s.Version()
			r := s.Apply(c)
			if other := replica.Apply(c); other != r {
				t.Fatalf("the replica's result is %+v, want %+v", other, r)
			}
			after, _ := s.Leases("")
			for _, d := range after {
				checkLeaseChange(t, s, c, version, findLease(before, d.Name), d)
			}
			if c.Token != nil {
				lease := findLease(before, c.Token.Lease)
				if holds := lease.Holder != "" && lease.Token == c.Token.Number; holds != (r.Code == Applied) || !holds && (r.Code != StaleToken || r.EntryVersion != lease.Token) {
					t.Fatalf("a write with token %+v of lease %+v: %+v", *c.Token, lease, r)
				}
			}
			if rapid.IntRange(0, 9).Draw(t, "replace") == 0 {
				replica = decodedCopy(t, replica)
			}
		}
		a, _ := s.Leases("")
		b, _ := replica.Leases("")
		if fmt.Sprint(encodedLeases(t, a)) != fmt.Sprint(encodedLeases(t, b)) || !reflect.DeepEqual(s.Sessions(), replica.Sessions()) || s.Version() != replica.Version() {
			t.Fatalf("the replica has %+v, want %+v", b, a)
		}
	})
}

// encodedLeases returns the JSON form of leases.
func encodedLeases(t *rapid.T, leases []Lease) (lines []string) {
	for _, d := range leases {
		raw, err := json.Marshal(d)
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, string(raw))
	}
	return lines
}

// findLease returns a lease by name, or a free lease of that name if there is none.
func findLease(leases []Lease, name string) Lease {
	for _, d := range leases {
		if d.Name == name {
			return d
		}
	}
	return Lease{Name: name}
}

// checkLeaseChange checks a lease before and after a command that was applied at a version.
func checkLeaseChange(t *rapid.T, s *State, c Command, version uint64, before, after Lease) {
	sessions := map[string]string{}
	for _, session := range s.Sessions() {
		sessions[session.ID] = session.Process
	}
	if after.Holder != "" && sessions[after.Holder] != after.Process {
		t.Fatalf("the holder of %+v has no session", after)
	}
	switch {
	case after.Token < before.Token:
		t.Fatalf("fencing token %d after %d", after.Token, before.Token)
	case after.Token > before.Token:
		if after.Token <= version || after.Token > s.Version() || !slices.Contains(c.Grant, after.Name) {
			t.Fatalf("a grant with fencing token %d by %+v, from version %d to %d", after.Token, c, version, s.Version())
		}
		for _, q := range before.Queue {
			if waits := slices.ContainsFunc(after.Queue, func(k Candidate) bool { return k.Session == q.Session }); waits &&
				!slices.Contains(after.Blocked, q.Process) && after.Process != before.Successor && q.Priority > after.Priority {
				t.Fatalf("%+v is granted although candidate %+v has a higher priority", after, q)
			}
		}
	case after.Holder != before.Holder && after.Holder != "":
		t.Fatalf("another holder with the same fencing token: %+v after %+v", after, before)
	}
	if slices.Contains(c.Grant, after.Name) && after.Holder == "" && after.next() >= 0 && (c.Op == OpGrant || before.Holder != "") {
		t.Fatalf("%+v stays free after %+v", after, c)
	}
	for i, q := range after.Queue {
		if _, ok := sessions[q.Session]; !ok || q.Session == after.Holder || i > 0 && q.Since <= after.Queue[i-1].Since {
			t.Fatalf("the queue of %+v has an invalid candidate", after)
		}
	}
}

// TestLeaseChangesLeaveListUnchanged checks that changes of leases use up versions of the list but bring its
// readers no changes, and that a lease name that is used again gets higher fencing tokens.
func TestLeaseChangesLeaveListUnchanged(t *testing.T) {
	s := NewState()
	s.Apply(Command{Op: OpBegin, Epoch: "e"})
	e := entry("a")
	s.Apply(Command{Op: OpRegister, Endpoint: &e})
	from := s.Version()
	hold := func(id string) uint64 {
		s.Apply(Command{Op: OpOpenSession, Session: &Session{ID: id, Process: id, TTL: time.Second}})
		s.Apply(Command{Op: OpCampaign, Session: &Session{ID: id}, Candidacies: []Candidacy{{Lease: "d"}}, Grant: []string{"d"}})
		d, _ := s.Lease("d")
		if d.Holder != id {
			t.Fatalf("%s does not hold %+v", id, d)
		}
		return d.Token
	}
	first := hold("x")
	s.Apply(Command{Op: OpCloseSessions, Sessions: []string{"x"}})
	if second := hold("y"); second <= first {
		t.Errorf("fencing token %d after %d", second, first)
	}
	if s.Version() == from || s.ListVersion() != from {
		t.Errorf("version %d, list version %d, after version %d", s.Version(), s.ListVersion(), from)
	}
	if a := s.Since(from); a.Snapshot || len(a.Endpoints) != 0 || a.Index != s.Version() {
		t.Errorf("a reader of %d gets %+v", from, a)
	}
	b := entry("b")
	s.Apply(Command{Op: OpRegister, Endpoint: &b})
	if a := s.Since(from); a.Snapshot || len(a.Endpoints) != 1 || a.Endpoints[0].Name != "b" {
		t.Errorf("a reader of %d gets %+v", from, a)
	}
}
