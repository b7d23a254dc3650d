package registry

import (
	"encoding/json"
	"errors"
	"fmt"
)

// Bounds on records. The size to design for has 200,000 tenants and 20,000 pages of their catalogue. A
// change, and a watcher that it wakes, cost the same with so many as with 800 (BenchmarkRecords). Their bytes
// are bounded by what has to come back in one command when a backup is restored: more of them make the leader
// lose its place over it.
const (
	MaxRecords     = 1 << 18
	MaxRecord      = 256 << 10 // bytes of one's value
	MaxRecordBytes = 32 << 20  // of all values
)

// Record is a small document that processes keep in the service.
type Record struct {
	Key     string          `json:"key"`
	Version uint64          `json:"version"`         // of its last change
	Value   json.RawMessage `json:"value,omitempty"` // absent in an answer that leaves values out
}

// Record returns a record by key.
func (s *State) Record(key string) (Record, bool) {
	r, ok := s.records[key]
	return r, ok
}

// Records gives those whose keys begin with a prefix, by key, without their values. It looks at no others.
func (s *State) Records(prefix string) (all []Record) {
	s.recordKeys.withPrefix(
		prefix,
		func(key string) { all = append(all, Record{Key: key, Version: s.records[key].Version}) },
	)
	return all
}

// RecordsVersion is that of the last change of a record.
func (s *State) RecordsVersion() uint64 { return s.recordsVersion }

// RecordsSince is the answer to whoever has the records under a prefix as of version from: all their keys and
// versions, and the values of those that have changed since. A key that it lacks is gone. news is false where
// nothing is new for a reader that had so many of them: a record that went leaves fewer.
func (s *State) RecordsSince(prefix string, from uint64, had int) (a RecordsResponse, news bool) {
	a = RecordsResponse{Index: s.version, Epoch: s.epoch, Records: append([]Record{}, s.Records(prefix)...)}
	for i, r := range a.Records {
		if r.Version > from {
			a.Records[i].Value, news = s.records[r.Key].Value, true
		}
	}
	return a, news || len(a.Records) != had
}

// hasCapacityFor reports whether a value of so many bytes fits in place of a record, or beside the others
// where there is none yet.
func (s *State) hasCapacityFor(bytes int, replaced Record, there bool) bool {
	if !there && len(s.records) >= MaxRecords {
		return false
	}
	return s.recordBytes-len(replaced.Value)+bytes <= MaxRecordBytes
}

// put writes a record, or takes it away where it has no value.
func (s *State) put(c Command) Result {
	has, there := s.records[c.Name]
	switch {
	case c.IfVersion != nil && *c.IfVersion != has.Version:
		return Result{
			Code:         Conflict,
			EntryVersion: has.Version,
			Reason:       fmt.Sprintf("%s has version %d, not %d", c.Name, has.Version, *c.IfVersion),
		}
	case c.Value == nil && !there:
		return Result{Code: NotFound, Reason: "there is no " + c.Name}
	case c.Value != nil && !s.hasCapacityFor(len(c.Value), has, there):
		return Result{
			Code:   CapacityExceeded,
			Reason: fmt.Sprintf("%d records with %d bytes are kept already", len(s.records), s.recordBytes),
		}
	}
	s.version++
	s.recordsVersion = s.version
	s.recordBytes += len(c.Value) - len(has.Value)
	if c.Value == nil {
		delete(s.records, c.Name)
		s.recordKeys.remove(c.Name)
		return Result{EntryVersion: s.version}
	}
	if !there {
		s.recordKeys.add(c.Name)
	}
	s.records[c.Name] = Record{Key: c.Name, Version: s.version, Value: c.Value}
	return Result{EntryVersion: s.version}
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

// restoreRecords takes the records of an image over.
func (s *State) restoreRecords(all []Record, version uint64) error {
	for _, r := range all {
		if _, twice := s.records[r.Key]; twice || r.Key == "" || r.Version > version || len(r.Value) == 0 ||
			len(r.Value) > MaxRecord {
			return fmt.Errorf("record %q of version %d can't be", r.Key, r.Version)
		}
		s.records[r.Key] = r
		s.recordKeys.add(r.Key)
		s.recordBytes += len(r.Value)
	}
	return nil
}

// allRecords gives the records with their values, by key.
func (s *State) allRecords() []Record {
	all := make([]Record, 0, len(s.records))
	s.recordKeys.withPrefix("", func(key string) { all = append(all, s.records[key]) })
	return all
}
