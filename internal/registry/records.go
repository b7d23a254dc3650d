package registry

import (
	"encoding/json"
	"errors"
	"fmt"
)

// Bounds on records. The design size is 200,000 tenants and 20,000 pages of their catalogue. With that many
// records, a change and a watcher that the change wakes cost the same as with 800 records (BenchmarkRecords).
// The total size is bounded because the restore of a backup is a single command: with more bytes the leader
// loses its leadership while it replicates the command.
const (
	MaxRecords          = 1 << 18
	MaxRecordValueBytes = 256 << 10 // bytes of one record's value
	MaxRecordBytes      = 32 << 20  // bytes of the values of all records
)

// Record is a small JSON document that processes store in the registry.
type Record struct {
	Key     string          `json:"key"`
	Version uint64          `json:"version"`         // version of the record's last change
	Value   json.RawMessage `json:"value,omitempty"` // absent in responses that leave values out
}

// Record returns a record by key.
func (s *State) Record(key string) (Record, bool) {
	r, ok := s.records[key]
	return r, ok
}

// Records returns the records whose keys begin with a prefix, sorted by key and without their values. It does
// not visit other records.
func (s *State) Records(prefix string) (records []Record) {
	s.recordKeys.withPrefix(
		prefix,
		func(key string) { records = append(records, Record{Key: key, Version: s.records[key].Version}) },
	)
	return records
}

// RecordsVersion returns the version of the last change of a record.
func (s *State) RecordsVersion() uint64 { return s.recordsVersion }

// RecordsSince returns the response for a reader that has the records under a prefix as of version from: the
// keys and versions of all records, and the values of the records that have changed since. A record that is
// missing in the response was removed. knownCount is the number of records that the reader has: a removal is
// noticed only because this number differs. changed is false if the reader is up to date.
func (s *State) RecordsSince(
	prefix string, from uint64, knownCount int) (response RecordsResponse, changed bool) {
	response = RecordsResponse{
		Index: s.version, Epoch: s.epoch, Records: append([]Record{}, s.Records(prefix)...)}
	for i, r := range response.Records {
		if r.Version > from {
			response.Records[i].Value, changed = s.records[r.Key].Value, true
		}
	}
	return response, changed || len(response.Records) != knownCount
}

// hasCapacityFor reports whether a value of the given size can be stored within the bounds. If exists is set,
// the value takes the place of the record replaced.
func (s *State) hasCapacityFor(bytes int, replaced Record, exists bool) bool {
	if !exists && len(s.records) >= MaxRecords {
		return false
	}
	return s.recordBytes-len(replaced.Value)+bytes <= MaxRecordBytes
}

// put writes a record, or removes it if the command has no value.
func (s *State) put(c Command) Result {
	current, exists := s.records[c.Name]
	switch {
	case c.IfVersion != nil && *c.IfVersion != current.Version:
		return Result{
			Code:         Conflict,
			EntryVersion: current.Version,
			Reason:       fmt.Sprintf("%s has version %d, not %d", c.Name, current.Version, *c.IfVersion),
		}
	case c.Value == nil && !exists:
		return Result{Code: NotFound, Reason: "there is no " + c.Name}
	case c.Value != nil && !s.hasCapacityFor(len(c.Value), current, exists):
		return Result{
			Code:   CapacityExceeded,
			Reason: fmt.Sprintf("%d records with %d bytes are kept already", len(s.records), s.recordBytes),
		}
	}
	s.version++
	s.recordsVersion = s.version
	s.recordBytes += len(c.Value) - len(current.Value)
	if c.Value == nil {
		delete(s.records, c.Name)
		s.recordKeys.remove(c.Name)
		return Result{EntryVersion: s.version}
	}
	if !exists {
		s.recordKeys.add(c.Name)
	}
	s.records[c.Name] = Record{Key: c.Name, Version: s.version, Value: c.Value}
	return Result{EntryVersion: s.version}
}

// checkRecord validates a command that writes a record.
func (c Command) checkRecord() error {
	if c.Name == "" || len(c.Name) > MaxTextBytes {
		return fmt.Errorf("key: want 1 to %d bytes", MaxTextBytes)
	}
	if len(c.Value) > MaxRecordValueBytes {
		return fmt.Errorf("value: %d bytes, %d at most", len(c.Value), MaxRecordValueBytes)
	}
	if c.Value != nil && !json.Valid(c.Value) {
		return errors.New("value: no JSON")
	}
	return nil
}

// restoreRecords adds the records of a snapshot of the given version to an empty state.
func (s *State) restoreRecords(records []Record, version uint64) error {
	for _, r := range records {
		if _, duplicate := s.records[r.Key]; duplicate || r.Key == "" || r.Version > version || len(r.Value) == 0 ||
			len(r.Value) > MaxRecordValueBytes {
			return fmt.Errorf("record %q of version %d can't be", r.Key, r.Version)
		}
		s.records[r.Key] = r
		s.recordKeys.add(r.Key)
		s.recordBytes += len(r.Value)
	}
	return nil
}

// allRecords returns the records with their values, sorted by key.
func (s *State) allRecords() []Record {
	records := make([]Record, 0, len(s.records))
	s.recordKeys.withPrefix("", func(key string) { records = append(records, s.records[key]) })
	return records
}
