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

// TestRecords: writes under conditions, beside a plain model; a copy has the same, and changes nothing for who follows the list.
func TestRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState()
		s.Apply(Command{Op: OpBegin, Epoch: "e"})
		model := map[string]Record{}
		for range rapid.IntRange(1, 40).Draw(t, "writes") {
			c := Command{Op: OpPutRecord, Name: fmt.Sprint("k", rapid.IntRange(0, 2).Draw(t, "key"))}
			if rapid.IntRange(0, 3).Draw(t, "away") > 0 {
				c.Value = json.RawMessage(fmt.Sprintf(`{"n":"%s"}`, strings.Repeat("x", rapid.IntRange(0, 9).Draw(t, "length"))))
			}
			has, there := model[c.Name]
			if rapid.Bool().Draw(t, "conditional") {
				v := has.Version + uint64(rapid.IntRange(0, 1).Draw(t, "other"))
				c.IfVersion = &v
			}
			r := s.Apply(c)
			switch {
			case c.IfVersion != nil && *c.IfVersion != has.Version:
				if r.Code != Conflict || r.EntryVersion != has.Version {
					t.Fatalf("%+v at %+v: %+v", c, has, r)
				}
			case c.Value == nil && !there:
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
				s = copied(t, s)
			}
		}
		bytes := 0
		for key, want := range model {
			if got, _ := s.Record(key); !reflect.DeepEqual(got, want) {
				t.Fatalf("%s is %s, not %s", key, got.Value, want.Value)
			}
			bytes += len(want.Value)
		}
		if n := len(s.Records("k")); n != len(model) || s.recordBytes != bytes || s.ListVersion() != 0 && s.ListVersion() != 1 {
			t.Fatalf("%d records with %d bytes, want %d with %d; list at %d", n, s.recordBytes, len(model), bytes, s.ListVersion())
		}
	})
}

// TestRecordsAreBounded in size and number, each to the last one that fits, and have to be JSON.
func TestRecordsAreBounded(t *testing.T) {
	big := json.RawMessage(`"` + strings.Repeat("x", MaxRecord-2) + `"`)
	for kept, value := range map[int]json.RawMessage{MaxRecordBytes/MaxRecord - 1: big, MaxRecords - 1: json.RawMessage("0")} {
		s, all := NewState(), make([]Record, kept)
		for i := range all {
			all[i] = Record{Key: fmt.Sprint(i), Value: value}
		}
		if err := s.restoreRecords(all, 0); err != nil {
			t.Fatal(err)
		}
		for i, want := range []Code{Applied, CapacityExceeded} {
			if r := s.Apply(Command{Op: OpPutRecord, Name: fmt.Sprint("new", i), Value: value}); r.Code != want {
				t.Errorf("%d more of %d bytes: %+v", i+1, len(value), r)
			}
		}
		if r := s.Apply(Command{Op: OpPutRecord, Name: "0", Value: value}); r.Code != Applied || s.recordBytes > MaxRecordBytes || len(s.records) > MaxRecords {
			t.Errorf("%d records with %d bytes; one written over: %+v", len(s.records), s.recordBytes, r)
		}
	}
	s := NewState()
	for _, bad := range []Command{{Op: OpPutRecord, Value: big}, {Op: OpPutRecord, Name: "k", Value: append(big, ' ')}, {Op: OpPutRecord, Name: "k", Value: json.RawMessage("{")}} {
		if r := s.Apply(bad); r.Code != Invalid {
			t.Errorf("%s: %+v", bad.Name, r)
		}
	}
}

// TestKeys: beside a plain map, keys come in order, all those of a prefix and no others, and in runs no longer than they may be.
func TestKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var k sortedKeys
		model := map[string]bool{}
		for range rapid.IntRange(0, 2500).Draw(t, "first") { // enough that runs are divided
			key := strconv.FormatUint(uint64(len(model))*2654435761%4096, 8)
			if model[key] {
				break
			}
			k.add(key)
			model[key] = true
		}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			key := strconv.FormatUint(uint64(rapid.IntRange(0, 4095).Draw(t, "key")), 8)
			if _, _, there := k.find(key); there != model[key] {
				t.Fatalf("%s is there: %v", key, there)
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
			t.Fatalf("under %q come %d keys, not %d", prefix, len(got), len(want))
		}
		for _, r := range k.runs {
			if len(r) == 0 || len(r) > maxRunKeys {
				t.Fatalf("a run of %d", len(r))
			}
		}
	})
}
