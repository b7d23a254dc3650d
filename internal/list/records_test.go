package list

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestRecords: writes under conditions, beside a plain model; a copy has the same, and changes nothing for who follows the list.
func TestRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState()
		s.Apply(Command{Do: DoBegin, Epoch: "e"})
		model := map[string]Record{}
		for range rapid.IntRange(1, 40).Draw(t, "writes") {
			c := Command{Do: DoPut, Name: fmt.Sprint("k", rapid.IntRange(0, 2).Draw(t, "key"))}
			if rapid.IntRange(0, 3).Draw(t, "away") > 0 {
				c.Value = json.RawMessage(fmt.Sprintf(`{"n":"%s"}`, strings.Repeat("x", rapid.IntRange(0, 9).Draw(t, "length"))))
			}
			has, there := model[c.Name]
			if rapid.Bool().Draw(t, "conditional") {
				v := has.Version + uint64(rapid.IntRange(0, 1).Draw(t, "other"))
				c.If = &v
			}
			r := s.Apply(c)
			switch {
			case c.If != nil && *c.If != has.Version:
				if r.Code != Conflict || r.Entry != has.Version {
					t.Fatalf("%+v at %+v: %+v", c, has, r)
				}
			case c.Value == nil && !there:
				if r.Code != Absent {
					t.Fatalf("%+v: %+v", c, r)
				}
			case r.Code != Done:
				t.Fatalf("%+v: %+v", c, r)
			case c.Value == nil:
				delete(model, c.Name)
			default:
				model[c.Name] = Record{c.Name, r.Entry, c.Value}
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

// TestRecordsAreBounded in size and number, and have to be JSON.
func TestRecordsAreBounded(t *testing.T) {
	s := NewState()
	big := json.RawMessage(`"` + strings.Repeat("x", MaxRecord-2) + `"`)
	full := 0
	for i := range MaxRecords + 1 {
		if r := s.Apply(Command{Do: DoPut, Name: fmt.Sprint(i), Value: big}); r.Code == Full {
			full++
		}
	}
	if s.recordBytes > MaxRecordBytes || full == 0 {
		t.Errorf("%d bytes, %d turned down", s.recordBytes, full)
	}
	for _, bad := range []Command{{Do: DoPut, Value: big}, {Do: DoPut, Name: "k", Value: append(big, ' ')}, {Do: DoPut, Name: "k", Value: json.RawMessage("{")}} {
		if r := s.Apply(bad); r.Code != Invalid {
			t.Errorf("%s: %+v", bad.Name, r)
		}
	}
}
