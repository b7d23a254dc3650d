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

// entry returns a ready endpoint.
func entry(name string) Endpoint {
	return Endpoint{Name: name, Address: "127.0.0.1:1", Status: Ready, Weight: 1}
}

// drawCommand draws a command on entries. It uses few names, so that many commands concern the same entry.
func drawCommand(t *rapid.T, s *State, n int) Command {
	name := fmt.Sprint("s", rapid.IntRange(0, 3).Draw(t, "name"))
	c := Command{Op: rapid.SampledFrom([]string{OpRegister, OpRegister, OpDrain, OpRemove, OpExpire}).Draw(t, "do"), Name: name}
	if rapid.Bool().Draw(t, "conditional") {
		v := rapid.SampledFrom([]uint64{0, s.registrations[name].Version, uint64(n)}).Draw(t, "if")
		c.IfVersion = &v
	}
	if rapid.Bool().Draw(t, "with id") {
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

// TestStateMatchesModelReaderAndReplica applies drawn commands to the state machine and to a plain model. A
// reader that follows the changes, and a replica that applies the encoded commands and is sometimes restored
// from a snapshot, end with the same entries.
func TestStateMatchesModelReaderAndReplica(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, replica := NewState(), NewState()
		model := map[string]Endpoint{}
		results := map[string]Result{}
		reader := map[string]Endpoint{}
		var from uint64
		for n := range rapid.IntRange(1, 80).Draw(t, "commands") {
			c := drawCommand(t, s, n)
			before, entryVersion := s.version, s.registrations[c.Name].Version
			got := s.Apply(c)
			if old, repeated := results[c.ID]; repeated && c.ID != "" {
				if got != old || s.version != before {
					t.Fatalf("repeating write %s: %+v, the first result was %+v", c.ID, got, old)
				}
			} else {
				checkAndApplyToModel(t, model, c, entryVersion, got, s.version-before)
				if c.ID != "" {
					results[c.ID] = got
				}
			}
			raw, err := c.Encode()
			if err != nil {
				t.Fatal(err)
			}
			decoded, err := Decode(raw)
			if err != nil {
				t.Fatal(err)
			}
			if r := replica.Apply(decoded); r != got {
				t.Fatalf("the replica's result is %+v, want %+v", r, got)
			}
			if rapid.IntRange(0, 9).Draw(t, "replace") == 0 {
				replica = decodedCopy(t, replica)
			}
			if rapid.IntRange(0, 3).Draw(t, "read") == 0 {
				catchUp(t, reader, &from, s)
			}
		}
		catchUp(t, reader, &from, s)
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

// checkAndApplyToModel checks the result of a command against the model and applies the command to the model.
// version is the entry's version before the command; changes is the number of versions that the command made.
func checkAndApplyToModel(t *rapid.T, model map[string]Endpoint, c Command, version uint64, got Result, changes uint64) {
	_, exists := model[c.Name]
	if c.IfVersion != nil && *c.IfVersion != version && c.Op != OpExpire {
		if got.Code != Conflict || changes != 0 {
			t.Fatalf("%+v at version %d: %+v", c, version, got)
		}
		return
	}
	switch c.Op {
	case OpRegister:
		if changed := model[c.Name] != *c.Endpoint; got.Code != Applied || (changes == 1) != changed {
			t.Fatalf("registering: %+v, %d changes", got, changes)
		}
		model[c.Name] = *c.Endpoint
	case OpExpire:
		if exists && c.Expired[0].Version == version {
			delete(model, c.Name)
		}
	case OpDrain, OpRemove:
		if (got.Code == Applied) != exists {
			t.Fatalf("%s of an entry that exists (%v): %+v", c.Op, exists, got)
		}
		if e := model[c.Name]; exists && c.Op == OpDrain {
			e.Status = Draining
			model[c.Name] = e
		} else if exists {
			delete(model, c.Name)
		}
	}
}

// decodedCopy returns the state that is decoded from a snapshot of s.
func decodedCopy(t *rapid.T, s *State) *State {
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

// catchUp updates a reader with the response for its version.
func catchUp(t *rapid.T, reader map[string]Endpoint, from *uint64, s *State) {
	a := s.Since(*from)
	if a.Index < *from || !a.Snapshot && int(a.Index-*from) != len(a.Endpoints) {
		t.Fatalf("a reader of version %d gets version %d with %d changes", *from, a.Index, len(a.Endpoints))
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

// TestReaderFarBehindGetsCompleteList checks that a reader whose version is no longer retained gets the
// complete list, and that a reader that has the oldest retained version gets all changes.
func TestReaderFarBehindGetsCompleteList(t *testing.T) {
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
		t.Errorf("the oldest retained version gets %d changes, complete list %v", len(a.Endpoints), a.Snapshot)
	}
	if len(s.writeResults) > maxRetainedWrites {
		t.Errorf("%d write results are retained", len(s.writeResults))
	}
}

// TestRestoreStartsNewEpochPastAllVersions checks that a restore has the backup's entries, a new epoch, a
// version above every earlier one and no retained changes. A damaged backup, or one for another epoch,
// changes nothing.
func TestRestoreStartsNewEpochPastAllVersions(t *testing.T) {
	s := NewState()
	s.Apply(Command{Op: OpBegin, Epoch: "first"})
	a, b := entry("a"), entry("b")
	s.Apply(Command{Op: OpRegister, Endpoint: &a})
	backup, err := s.EncodeSnapshot()
	if err != nil {
		t.Fatal(err)
	}
	s.Apply(Command{Op: OpRegister, Endpoint: &b})
	before := s.Version()
	if r := s.Apply(Command{Op: OpRestore, Epoch: "second", ReplacesEpoch: "first", Snapshot: backup}); r.Code != Applied || r.Version <= before+1000 {
		t.Errorf("%+v after version %d", r, before)
	}
	if got := s.Since(before); !got.Snapshot || len(got.Endpoints) != 1 || got.Epoch != "second" {
		t.Errorf("a reader of version %d gets %+v", before, got)
	}
	if r := s.Apply(Command{Op: OpRestore, Epoch: "third", ReplacesEpoch: "second", Snapshot: []byte(`{"v":1,"items":[{}]}`)}); r.Code != Invalid || s.Epoch() != "second" {
		t.Errorf("restoring an invalid backup: %+v", r)
	}
	if r := s.Apply(Command{Op: OpRestore, Epoch: "third", ReplacesEpoch: "first", Snapshot: backup}); r.Code != Conflict || s.Epoch() != "second" {
		t.Errorf("restoring over a list of another epoch: %+v", r)
	}
}

// TestInvalidCommandsChangeNothing checks that malformed commands are rejected and do not change the version.
func TestInvalidCommandsChangeNothing(t *testing.T) {
	long := strings.Repeat("x", MaxTextBytes+1)
	invalid := map[string]func(*Endpoint){"name": func(e *Endpoint) { e.Name = "" }, "long": func(e *Endpoint) { e.Zone = long }, "status": func(e *Endpoint) { e.Status = Removed },
		"address": func(e *Endpoint) { e.Address = "nowhere" }, "weight": func(e *Endpoint) { e.Weight = math.NaN() }, "since": func(e *Endpoint) { e.StartedAtMS = -1 }}
	s := NewState()
	for name, invalidate := range invalid {
		e := entry("a")
		invalidate(&e)
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

// TestEndpointExpiryIsBounded draws renewals and times. No entry expires before its deadline, and no more than
// a quarter of the entries expire within a window. Once most entries are renewed, the overdue entries expire.
func TestEndpointExpiryIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "entries")
		const ttl = 5 * time.Second
		var items []Registration
		lastRenewed := map[string]time.Duration{}
		for i := range n {
			items = append(items, Registration{Endpoint: entry(fmt.Sprint("s", i)), Version: uint64(i + 1), TTL: ttl})
			lastRenewed[items[i].Endpoint.Name] = 0
		}
		expiry := NewEndpointExpiry(items, 0)
		var now time.Duration
		var expiredAt []time.Duration
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			for range rapid.IntRange(0, n).Draw(t, "renewals") {
				name := fmt.Sprint("s", rapid.IntRange(0, n-1).Draw(t, "renewed"))
				if _, exists := lastRenewed[name]; expiry.Renew(name, now) != exists {
					t.Fatalf("renewing %s, which exists (%v), has the opposite result", name, exists)
				} else if exists {
					lastRenewed[name] = now
				}
			}
			entries := len(lastRenewed)
			due, retained := expiry.Due(now)
			recent := 0
			for _, at := range expiredAt {
				if now-at < expiryWindow {
					recent++
				}
			}
			if maxExpired := max(minExpiries, int(maxExpiryShare*float64(entries+recent))); len(due)+recent > maxExpired {
				t.Fatalf("%d entries expire after %d in the window, of %d entries", len(due), recent, entries)
			}
			if len(due) > 0 && retained > 0 {
				t.Fatal("some entries expire while overdue ones are retained")
			}
			for _, d := range due {
				if now-lastRenewed[d.Name] <= ttl {
					t.Fatalf("%s expires %v after its renewal", d.Name, now-lastRenewed[d.Name])
				}
				delete(lastRenewed, d.Name)
				expiredAt = append(expiredAt, now)
			}
		}
		for name := range lastRenewed { // renew all entries but two
			if len(lastRenewed) > minExpiries && name != "s0" && name != "s1" {
				expiry.Renew(name, now+time.Minute)
			}
		}
		if _, retained := expiry.Due(now + time.Minute); retained > 0 {
			t.Fatalf("%d overdue entries are still retained", retained)
		}
	})
}

// entryJSON returns an entry in the platform's form.
func entryJSON(name, address, status string) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":"a","type":"m2","group":3,"status":%q,"weight":1.5,"since_ms":7}`, name, address, status)
}

// TestMalformedEntriesAreSkipped checks that malformed entries in a response are skipped and reported, and
// that the valid ones are parsed.
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

// FuzzListResponse checks that a response that was parsed is the same after it is encoded and parsed again.
func FuzzListResponse(f *testing.F) {
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
			t.Fatalf("%+v is parsed again as %+v, %v", a, b, err)
		}
	})
}

// FuzzDecodeSnapshot checks that a decoded snapshot can be read, encoded and decoded again.
func FuzzDecodeSnapshot(f *testing.F) {
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
			t.Fatalf("decoding a state that was decoded before: %v", err)
		}
	})
}

// FuzzDecode checks that a decoded command can be applied without a panic.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"v":1,"do":"register","entry":{"name":"a","address":"a:1","status":"ready"}}`))
	f.Add([]byte(`{"v":2}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if c, err := Decode(raw); err == nil {
			NewState().Apply(c)
		}
	})
}
