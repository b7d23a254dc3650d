package list

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// Bounds on records.
const (
	MaxRecords     = 1000
	MaxRecord      = 256 << 10 // bytes of one
	MaxRecordBytes = 32 << 20  // of all
)

// Record is a small document that processes keep in the service.
type Record struct {
	Key     string          `json:"key"`
	Version uint64          `json:"version"` // of its last change
	Value   json.RawMessage `json:"value"`
}

// Record gives a record by key.
func (s *State) Record(key string) (Record, bool) {
	r, ok := s.records[key]
	return r, ok
}

// Records gives those whose keys begin with a prefix, by key, without their values.
func (s *State) Records(prefix string) (all []Record) {
	for key, r := range s.records {
		if len(key) >= len(prefix) && key[:len(prefix)] == prefix {
			r.Value = nil
			all = append(all, r)
		}
	}
	slices.SortFunc(all, func(a, b Record) int { return cmp.Compare(a.Key, b.Key) })
	return all
}

// put writes a record, or takes it away where it has no value.
func (s *State) put(c Command) Result {
	has, there := s.records[c.Name]
	switch {
	case c.If != nil && *c.If != has.Version:
		return Result{Code: Conflict, Entry: has.Version, Why: fmt.Sprintf("%s has version %d, not %d", c.Name, has.Version, *c.If)}
	case c.Value == nil && !there:
		return Result{Code: Absent, Why: "there is no " + c.Name}
	case c.Value != nil && (!there && len(s.records) >= MaxRecords || s.recordBytes-len(has.Value)+len(c.Value) > MaxRecordBytes):
		return Result{Code: Full, Why: fmt.Sprintf("%d records with %d bytes are kept already", len(s.records), s.recordBytes)}
	}
	s.version++
	s.recordBytes += len(c.Value) - len(has.Value)
	if c.Value == nil {
		delete(s.records, c.Name)
		return Result{Entry: s.version}
	}
	s.records[c.Name] = Record{Key: c.Name, Version: s.version, Value: c.Value}
	return Result{Entry: s.version}
}

func (c Command) checkRecord() error {
	if c.Name == "" || len(c.Name) > MaxText {
		return fmt.Errorf("key: want 1 to %d bytes", MaxText)
	}
	if len(c.Value) > MaxRecord {
		return fmt.Errorf("value: %d bytes, %d at most", len(c.Value), MaxRecord)
	}
	if c.Value != nil && !json.Valid(c.Value) {
		return errors.New("value: no JSON")
	}
	return nil
}

// takeRecords takes the records of an image over.
func (s *State) takeRecords(all []Record, version uint64) error {
	for _, r := range all {
		if _, twice := s.records[r.Key]; twice || r.Key == "" || r.Version > version || len(r.Value) == 0 || len(r.Value) > MaxRecord {
			return fmt.Errorf("record %q of version %d can't be", r.Key, r.Version)
		}
		s.records[r.Key] = r
		s.recordBytes += len(r.Value)
	}
	return nil
}

// allRecords gives the records with their values, by key.
func (s *State) allRecords() (all []Record) {
	for _, r := range s.Records("") {
		all = append(all, s.records[r.Key])
	}
	return all
}
