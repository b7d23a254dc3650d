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

// drawDuty draws a command on few sessions and leases, so that they meet.
func drawDuty(t *rapid.T) Command {
	id := func() string { return fmt.Sprint("x", rapid.IntRange(0, 3).Draw(t, "session")) }
	name := fmt.Sprint("d", rapid.IntRange(0, 1).Draw(t, "duty"))
	c := Command{Op: rapid.SampledFrom([]string{OpOpenSession, OpOpenSession, OpCampaign, OpCampaign, OpCampaign, OpRelease, OpCloseSessions, OpTransfer, OpBlock, OpGrant, OpRegister}).Draw(t, "do")}
	switch c.Op {
	case OpOpenSession:
		s := id()
		c.Session = &Session{ID: s, Process: "p" + s[1:], TTL: time.Second}
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
	if c.Grant = []string{"d0", "d1"}; rapid.IntRange(0, 3).Draw(t, "paced") == 0 {
		c.Grant = nil
	}
	return c
}

// TestDuties: whatever sessions, holders and operators do, fencing tokens only rise and are
// the versions of their grants, the best candidate is granted, a fenced write goes
// through for the present holder alone, and a replica from a snapshot has the same.
func TestDuties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, replica := NewState(), NewState()
		begin := Command{Op: OpBegin, Epoch: "e"}
		s.Apply(begin)
		replica.Apply(begin)
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			c := drawDuty(t)
			if rapid.IntRange(0, 2).Draw(t, "as holder") == 0 && c.Token != nil {
				if d, ok := s.Lease(c.Token.Lease); ok {
					c.Token.Number = d.Token
				}
			}
			before, _ := s.Leases("")
			version := s.Version()
			r := s.Apply(c)
			if other := replica.Apply(c); other != r {
				t.Fatalf("a replica comes to %+v, not %+v", other, r)
			}
			after, _ := s.Leases("")
			for _, d := range after {
				checkOne(t, s, c, version, find(before, d.Name), d)
			}
			if c.Token != nil {
				d := find(before, c.Token.Lease)
				if holds := d.Holder != "" && d.Token == c.Token.Number; holds != (r.Code == Applied) || !holds && (r.Code != StaleToken || r.EntryVersion != d.Token) {
					t.Fatalf("a write under %+v of %+v comes to %+v", *c.Token, d, r)
				}
			}
			if rapid.IntRange(0, 9).Draw(t, "replace") == 0 {
				replica = copied(t, replica)
			}
		}
		a, _ := s.Leases("")
		b, _ := replica.Leases("")
		if fmt.Sprint(texts(t, a)) != fmt.Sprint(texts(t, b)) || !reflect.DeepEqual(s.Sessions(), replica.Sessions()) || s.Version() != replica.Version() {
			t.Fatalf("a replica has %+v, not %+v", b, a)
		}
	})
}

// texts gives leases as others read them.
func texts(t *rapid.T, all []Lease) (lines []string) {
	for _, d := range all {
		raw, err := json.Marshal(d)
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, string(raw))
	}
	return lines
}

func find(all []Lease, name string) Lease {
	for _, d := range all {
		if d.Name == name {
			return d
		}
	}
	return Lease{Name: name}
}

func checkOne(t *rapid.T, s *State, c Command, version uint64, was, is Lease) {
	sessions := map[string]string{}
	for _, one := range s.Sessions() {
		sessions[one.ID] = one.Process
	}
	if is.Holder != "" && sessions[is.Holder] != is.Process {
		t.Fatalf("%+v is held by a session that is not there", is)
	}
	switch {
	case is.Token < was.Token:
		t.Fatalf("fence %d after %d", is.Token, was.Token)
	case is.Token > was.Token:
		if is.Token <= version || is.Token > s.Version() || !slices.Contains(c.Grant, is.Name) {
			t.Fatalf("a grant under fence %d, by %+v, from version %d to %d", is.Token, c, version, s.Version())
		}
		for _, q := range was.Queue {
			if still := slices.ContainsFunc(is.Queue, func(k Candidate) bool { return k.Session == q.Session }); still &&
				!slices.Contains(is.Blocked, q.Process) && is.Process != was.Successor && q.Priority > is.Priority {
				t.Fatalf("%+v is granted past %+v", is, q)
			}
		}
	case is.Holder != was.Holder && is.Holder != "":
		t.Fatalf("another holder under the same fence: %+v after %+v", is, was)
	}
	if slices.Contains(c.Grant, is.Name) && is.Holder == "" && is.next() >= 0 && (c.Op == OpGrant || was.Holder != "") {
		t.Fatalf("%+v stays free by %+v", is, c)
	}
	for i, q := range is.Queue {
		if _, ok := sessions[q.Session]; !ok || q.Session == is.Holder || i > 0 && q.Since <= is.Queue[i-1].Since {
			t.Fatalf("the queue of %+v", is)
		}
	}
}

// TestDutiesAndTheList: changes of leases take versions, but change nothing for who
// follows the list; a name that is used again goes on with higher fencing tokens.
func TestDutiesAndTheList(t *testing.T) {
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
		t.Errorf("fence %d after %d", second, first)
	}
	if s.Version() == from || s.ListVersion() != from {
		t.Errorf("version %d, that of the list %d, after %d", s.Version(), s.ListVersion(), from)
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
