package registry

import (
	"encoding/json"
	"fmt"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func entry(name string) Endpoint {
	return Endpoint{Name: name, Address: "127.0.0.1:1", Status: Ready, Weight: 1}
}

// drawCommand draws a command on few names, so that they meet.
func drawCommand(t *rapid.T, s *State, n int) Command {
	name := fmt.Sprint("s", rapid.IntRange(0, 3).Draw(t, "name"))
	c := Command{Op: rapid.SampledFrom([]string{OpRegister, OpRegister, OpDrain, OpRemove, OpExpire}).Draw(t, "do"), Name: name}
	if rapid.Bool().Draw(t, "conditional") {
		v := rapid.SampledFrom([]uint64{0, s.registrations[name].Version, uint64(n)}).Draw(t, "if")
		c.IfVersion = &v
	}
	if rapid.Bool().Draw(t, "named") {
		c.ID = fmt.Sprint("w", rapid.IntRange(0, 20).Draw(t, "id"))
	}
	switch c.Op {
	case OpRegister:
		e := entry(name)
		e.Weight = float64(rapid.IntRange(1, 3).Draw(t, "weight"))
		c.Endpoint, c.TTL = &e, time.Duration(rapid.IntRange(0, 2).Draw(t, "ttl"))*time.Second
	case OpExpire:
		c.Expired = []EndpointVersion{{name, s.registrations[name].Version - uint64(rapid.IntRange(0, 1).Draw(t, "old"))}}
	}
	return c
}

// TestState drives the state machine through drawn commands beside a plain model,
// with a reader that follows it by changes, and a replica that follows it by
// encoded commands and is now and then replaced from a snapshot.
func TestState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, replica := NewState(), NewState()
		model := map[string]Endpoint{}
		results := map[string]Result{}
		reader := map[string]Endpoint{}
		var from uint64
		for n := range rapid.IntRange(1, 80).Draw(t, "commands") {
			c := drawCommand(t, s, n)
			before, has := s.version, s.registrations[c.Name].Version
			got := s.Apply(c)
			if old, repeated := results[c.ID]; repeated && c.ID != "" {
				if got != old || s.version != before {
					t.Fatalf("a repeat of %s comes to %+v, at first %+v", c.ID, got, old)
				}
			} else {
				step(t, model, c, has, got, s.version-before)
				if c.ID != "" {
					results[c.ID] = got
				}
			}
			raw, err := c.Encode()
			if err != nil {
				t.Fatal(err)
			}
			back, err := Decode(raw)
			if err != nil {
				t.Fatal(err)
			}
			if r := replica.Apply(back); r != got {
				t.Fatalf("a replica comes to %+v, not %+v", r, got)
			}
			if rapid.IntRange(0, 9).Draw(t, "replace") == 0 {
				replica = copied(t, replica)
			}
			if rapid.IntRange(0, 3).Draw(t, "look") == 0 {
				follow(t, reader, &from, s)
			}
		}
		follow(t, reader, &from, s)
		for name, e := range model {
			if reader[name] != e {
				t.Fatalf("the reader has %+v, the model %+v", reader[name], e)
			}
		}
		if len(reader) != len(model) || !reflect.DeepEqual(s.Registrations(), replica.Registrations()) || s.version != replica.version {
			t.Fatalf("reader, model and replica have %d, %d and %d entries", len(reader), len(model), replica.Len())
		}
	})
}

// step checks one command against the model and carries it out there.
func step(t *rapid.T, model map[string]Endpoint, c Command, has uint64, got Result, made uint64) {
	_, there := model[c.Name]
	if c.IfVersion != nil && *c.IfVersion != has && c.Op != OpExpire {
		if got.Code != Conflict || made != 0 {
			t.Fatalf("%+v at version %d: %+v", c, has, got)
		}
		return
	}
	switch c.Op {
	case OpRegister:
		if changed := model[c.Name] != *c.Endpoint; got.Code != Applied || (made == 1) != changed {
			t.Fatalf("registering: %+v, %d changes", got, made)
		}
		model[c.Name] = *c.Endpoint
	case OpExpire:
		if there && c.Expired[0].Version == has {
			delete(model, c.Name)
		}
	case OpDrain, OpRemove:
		if (got.Code == Applied) != there {
			t.Fatalf("%s of one that is there (%v): %+v", c.Op, there, got)
		}
		if e := model[c.Name]; there && c.Op == OpDrain {
			e.Status = Draining
			model[c.Name] = e
		} else if there {
			delete(model, c.Name)
		}
	}
}

func copied(t *rapid.T, s *State) *State {
	raw, err := s.EncodeSnapshot()
	if err != nil {
		t.Fatal(err)
	}
	c, err := DecodeSnapshot(raw)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// follow lets a reader catch up by the answer for its version.
func follow(t *rapid.T, reader map[string]Endpoint, from *uint64, s *State) {
	a := s.Since(*from)
	if a.Index < *from || !a.Snapshot && int(a.Index-*from) != len(a.Endpoints) {
		t.Fatalf("from %d comes %d with %d changes", *from, a.Index, len(a.Endpoints))
	}
	if a.Snapshot {
		clear(reader)
	}
	for _, e := range a.Endpoints {
		reader[e.Name] = e
		if e.Status == Removed {
			delete(reader, e.Name)
		}
	}
	*from = a.Index
}

// TestFarBehind: a reader whose version has been trimmed away gets the complete list, one just within gets all changes.
func TestFarBehind(t *testing.T) {
	s := NewState()
	for i := range maxRetainedChanges + 5 {
		e := entry("s")
		e.StartedAtMS = int64(i)
		s.Apply(Command{Op: OpRegister, Endpoint: &e})
	}
	if a := s.Since(4); !a.Snapshot || len(a.Endpoints) != 1 {
		t.Errorf("a trimmed version gets %d changes", len(a.Endpoints))
	}
	if a := s.Since(5); a.Snapshot || len(a.Endpoints) != maxRetainedChanges {
		t.Errorf("the oldest version that is kept gets %d changes, whole list %v", len(a.Endpoints), a.Snapshot)
	}
	if len(s.writeResults) > maxRetainedWrites {
		t.Errorf("%d writes are known", len(s.writeResults))
	}
}

// TestRestore: the copy's entries, a version past all that was given out, a new epoch, and no changes to tell it by.
func TestRestore(t *testing.T) {
	s := NewState()
	s.Apply(Command{Op: OpBegin, Epoch: "first"})
	a, b := entry("a"), entry("b")
	s.Apply(Command{Op: OpRegister, Endpoint: &a})
	image, err := s.EncodeSnapshot()
	if err != nil {
		t.Fatal(err)
	}
	s.Apply(Command{Op: OpRegister, Endpoint: &b})
	before := s.Version()
	if r := s.Apply(Command{Op: OpRestore, Epoch: "second", ReplacesEpoch: "first", Snapshot: image}); r.Code != Applied || r.Version <= before+1000 {
		t.Errorf("%+v after version %d", r, before)
	}
	if got := s.Since(before); !got.Snapshot || len(got.Endpoints) != 1 || got.Epoch != "second" {
		t.Errorf("a reader of version %d gets %+v", before, got)
	}
	if r := s.Apply(Command{Op: OpRestore, Epoch: "third", ReplacesEpoch: "second", Snapshot: []byte(`{"v":1,"items":[{}]}`)}); r.Code != Invalid || s.Epoch() != "second" {
		t.Errorf("a bad copy: %+v", r)
	}
	if r := s.Apply(Command{Op: OpRestore, Epoch: "third", ReplacesEpoch: "first", Snapshot: image}); r.Code != Conflict || s.Epoch() != "second" {
		t.Errorf("a copy over another list than is meant: %+v", r)
	}
}

// TestBadCommands change nothing.
func TestBadCommands(t *testing.T) {
	long := strings.Repeat("x", MaxText+1)
	bad := map[string]func(*Endpoint){"name": func(e *Endpoint) { e.Name = "" }, "long": func(e *Endpoint) { e.Zone = long }, "status": func(e *Endpoint) { e.Status = Removed },
		"address": func(e *Endpoint) { e.Address = "nowhere" }, "weight": func(e *Endpoint) { e.Weight = math.NaN() }, "since": func(e *Endpoint) { e.StartedAtMS = -1 }}
	s := NewState()
	for name, spoil := range bad {
		e := entry("a")
		spoil(&e)
		if r := s.Apply(Command{Op: OpRegister, Endpoint: &e}); r.Code != Invalid {
			t.Errorf("%s: %+v", name, r)
		}
	}
	e := entry("a")
	for _, c := range []Command{{Op: "dance"}, {Op: OpRegister}, {Op: OpRegister, Endpoint: &e, TTL: time.Millisecond}, {Op: OpRegister, Endpoint: &e, ID: long},
		{Op: OpDrain}, {Op: OpBegin}, {Op: OpExpire, Expired: make([]EndpointVersion, MaxExpire+1)}} {
		if r := s.Apply(c); r.Code != Invalid || s.Version() != 0 {
			t.Errorf("%+v: %+v", c, r)
		}
	}
}

// TestLeases: with whatever renewals and times, nothing expires before its time,
// no more than a quarter does in a window, and what is kept goes on by itself.
func TestLeases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "entries")
		const ttl = 5 * time.Second
		var items []Registration
		last := map[string]time.Duration{}
		for i := range n {
			items = append(items, Registration{Endpoint: entry(fmt.Sprint("s", i)), Version: uint64(i + 1), TTL: ttl})
			last[items[i].Endpoint.Name] = 0
		}
		l := NewEndpointExpiry(items, 0)
		var now time.Duration
		var went []time.Duration
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			for range rapid.IntRange(0, n).Draw(t, "renewals") {
				name := fmt.Sprint("s", rapid.IntRange(0, n-1).Draw(t, "who"))
				if _, there := last[name]; l.Renew(name, now) != there {
					t.Fatalf("renewing %s, which is there (%v)", name, there)
				} else if there {
					last[name] = now
				}
			}
			held := len(last)
			due, kept := l.Due(now)
			recent := 0
			for _, at := range went {
				if now-at < expiryWindow {
					recent++
				}
			}
			if most := max(minExpiries, int(maxExpiryShare*float64(held+recent))); len(due)+recent > most {
				t.Fatalf("%d expire, after %d in the window, of %d", len(due), recent, held)
			}
			if len(due) > 0 && kept > 0 {
				t.Fatal("some expire while others are kept")
			}
			for _, d := range due {
				if now-last[d.Name] <= ttl {
					t.Fatalf("%s expires %v after its renewal", d.Name, now-last[d.Name])
				}
				delete(last, d.Name)
				went = append(went, now)
			}
		}
		for name := range last { // all return but two at most
			if len(last) > minExpiries && name != "s0" && name != "s1" {
				l.Renew(name, now+time.Minute)
			}
		}
		if _, kept := l.Due(now + time.Minute); kept > 0 {
			t.Fatalf("%d are still kept", kept)
		}
	})
}

func entryJSON(name, address, status string) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":"a","type":"m2","group":3,"status":%q,"weight":1.5,"since_ms":7}`, name, address, status)
}

// TestMalformedEntriesAreSkipped, whoever wrote them; the others are read.
func TestMalformedEntriesAreSkipped(t *testing.T) {
	var l ListResponse
	err := json.Unmarshal([]byte(`{"index":4,"snapshot":true,"endpoints":[`+strings.Join([]string{
		entryJSON("good", "127.0.0.1:1", "ready"), `5`, `null`, `{"name":5}`, entryJSON("", "127.0.0.1:1", "ready"),
		entryJSON("odd", "127.0.0.1:1", "odd"), entryJSON("nowhere", "127.0.0.1", "ready"), entryJSON("left", "", "gone"),
		`{"name":"late","address":"127.0.0.1:1","status":"ready","since_ms":-1}`}, ",")+`]}`), &l)
	if err != nil {
		t.Fatal(err)
	}
	got := l.Endpoints
	want := Endpoint{Name: "good", Address: "127.0.0.1:1", Zone: "a", Type: "m2", Cell: 3, Status: Ready, Weight: 1.5, StartedAtMS: 7}
	if len(got) != 2 || got[0] != want || got[1].Name != "left" || len(l.Skipped) != 7 || l.Index != 4 || !l.Snapshot {
		t.Errorf("%+v, want good and left", l)
	}
}

func FuzzAnswer(f *testing.F) {
	f.Add([]byte(`{"index":4,"snapshot":true,"endpoints":[null,{"name":"a","address":"a:1","status":"ready"}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var a ListResponse
		if json.Unmarshal(raw, &a) != nil {
			return
		}
		again, err := json.Marshal(a)
		var b ListResponse
		if err == nil {
			err = json.Unmarshal(again, &b)
		}
		if a.Skipped = nil; err != nil || !reflect.DeepEqual(a, b) {
			t.Fatalf("%+v is read again as %+v, %v", a, b, err)
		}
	})
}

func FuzzFromSnapshot(f *testing.F) {
	s := NewState()
	e := entry("a")
	s.Apply(Command{Op: OpRegister, Endpoint: &e, ID: "w"})
	raw, _ := s.EncodeSnapshot()
	f.Add(raw)
	f.Add([]byte(`{"v":1,"version":3,"changes":[{"version":3}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := DecodeSnapshot(raw)
		if err != nil {
			return
		}
		s.Since(0)
		s.Since(s.Version() / 2)
		again, err := s.EncodeSnapshot()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodeSnapshot(again); err != nil {
			t.Fatalf("a state that was read can't be read again: %v", err)
		}
	})
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"v":1,"do":"register","entry":{"name":"a","address":"a:1","status":"ready"}}`))
	f.Add([]byte(`{"v":2}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if c, err := Decode(raw); err == nil {
			NewState().Apply(c)
		}
	})
}
