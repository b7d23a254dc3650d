package registry

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestRecordWritesMatchModel compares drawn writes, some of them conditional, with a plain map. A state
// restored from a snapshot has the same records, and the version of the endpoint list does not change.
func TestRecordWritesMatchModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState()
		s.Apply(Command{Op: OpBegin, Epoch: "e"})
		model := map[string]Record{}
		for range rapid.IntRange(1, 40).Draw(t, "writes") {
			c := Command{Op: OpPutRecord, Name: fmt.Sprint("k", rapid.IntRange(0, 2).Draw(t, "key"))}
			if rapid.IntRange(0, 3).Draw(t, "with value") > 0 {
				c.Value = json.RawMessage(fmt.Sprintf(`{"n":"%s"}`, strings.Repeat("x", rapid.IntRange(0, 9).Draw(t, "length"))))
			}
			current, exists := model[c.Name]
			if rapid.Bool().Draw(t, "conditional") {
				v := current.Version + uint64(rapid.IntRange(0, 1).Draw(t, "other"))
				c.IfVersion = &v
			}
			r := s.Apply(c)
			switch {
			case c.IfVersion != nil && *c.IfVersion != current.Version:
				if r.Code != Conflict || r.EntryVersion != current.Version {
					t.Fatalf("%+v at %+v: %+v", c, current, r)
				}
			case c.Value == nil && !exists:
				if r.Code != NotFound {
					t.Fatalf("%+v: %+v", c, r)
				}
			case r.Code != Applied:
				t.Fatalf("%+v: %+v", c, r)
			case c.Value == nil:
				delete(model, c.Name)
			default:
				model[c.Name] = Record{c.Name, r.EntryVersion, c.Value}
			}
			if rapid.IntRange(0, 5).Draw(t, "copy") == 0 {
				s = decodedCopy(t, s)
			}
		}
		bytes := 0
		for key, want := range model {
			if got, _ := s.Record(key); !reflect.DeepEqual(got, want) {
				t.Fatalf("record %s is %s, want %s", key, got.Value, want.Value)
			}
			bytes += len(want.Value)
		}
		if n := len(s.Records("k")); n != len(model) || s.recordBytes != bytes || s.ListVersion() != 0 && s.ListVersion() != 1 {
			t.Fatalf("%d records with %d bytes, want %d with %d; list at %d", n, s.recordBytes, len(model), bytes, s.ListVersion())
		}
	})
}

// TestRecordsAreBounded fills the state up to the bounds on the number and the size of records: the last
// record that fits is applied and the next one is rejected. Values that are not JSON are rejected, too.
func TestRecordsAreBounded(t *testing.T) {
	big := json.RawMessage(`"` + strings.Repeat("x", MaxRecordValueBytes-2) + `"`)
	for stored, value := range map[int]json.RawMessage{MaxRecordBytes/MaxRecordValueBytes - 1: big, MaxRecords - 1: json.RawMessage("0")} {
		s, records := NewState(), make([]Record, stored)
		for i := range records {
			records[i] = Record{Key: fmt.Sprint(i), Value: value}
		}
		if err := s.restoreRecords(records, 0); err != nil {
			t.Fatal(err)
		}
		for i, want := range []Code{Applied, CapacityExceeded} {
			if r := s.Apply(Command{Op: OpPutRecord, Name: fmt.Sprint("new", i), Value: value}); r.Code != want {
				t.Errorf("%d more of %d bytes: %+v", i+1, len(value), r)
			}
		}
		if r := s.Apply(Command{Op: OpPutRecord, Name: "0", Value: value}); r.Code != Applied || s.recordBytes > MaxRecordBytes || len(s.records) > MaxRecords {
			t.Errorf("%d records with %d bytes; overwriting a record: %+v", len(s.records), s.recordBytes, r)
		}
	}
	s := NewState()
	for _, bad := range []Command{{Op: OpPutRecord, Value: big}, {Op: OpPutRecord, Name: "k", Value: append(big, ' ')}, {Op: OpPutRecord, Name: "k", Value: json.RawMessage("{")}} {
		if r := s.Apply(bad); r.Code != Invalid {
			t.Errorf("%s: %+v", bad.Name, r)
		}
	}
}

// TestSortedKeysMatchModel compares drawn additions and removals with a plain map: withPrefix visits exactly
// the keys with the prefix in order, and no run is empty or longer than maxRunKeys.
func TestSortedKeysMatchModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var k sortedKeys
		model := map[string]bool{}
		for range rapid.IntRange(0, 2500).Draw(t, "first") { // enough keys to split runs
			key := strconv.FormatUint(uint64(len(model))*2654435761%4096, 8)
			if model[key] {
				break
			}
			k.add(key)
			model[key] = true
		}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			key := strconv.FormatUint(uint64(rapid.IntRange(0, 4095).Draw(t, "key")), 8)
			if _, _, exists := k.find(key); exists != model[key] {
				t.Fatalf("key %s found: %v, the model says the opposite", key, exists)
			}
			if model[key] {
				k.remove(key)
				delete(model, key)
			} else {
				k.add(key)
				model[key] = true
			}
		}
		prefix := rapid.SampledFrom([]string{"", "1", "37", "777", "9"}).Draw(t, "prefix")
		var got, want []string
		k.withPrefix(prefix, func(key string) { got = append(got, key) })
		for key := range model {
			if strings.HasPrefix(key, prefix) {
				want = append(want, key)
			}
		}
		if slices.Sort(want); !slices.Equal(got, want) {
			t.Fatalf("prefix %q: %d keys, want %d", prefix, len(got), len(want))
		}
		for _, r := range k.runs {
			if len(r) == 0 || len(r) > maxRunKeys {
				t.Fatalf("a run has %d keys", len(r))
			}
		}
	})
}
