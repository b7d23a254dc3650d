package registry

// Encoding and decoding of the complete state, for snapshots and backups.

import (
	"encoding/json"
	"fmt"
	"maps"
)

// restoreVersionStep is the number of versions that a restore skips. It is larger than the number of versions
// that can have been used since the backup was made.
const restoreVersionStep = 1 << 32

// snapshotData is the form of a snapshot and of a backup.
type snapshotData struct {
	Format        int                `json:"v"`
	Epoch         string             `json:"epoch"`
	Version       uint64             `json:"version"`
	Registrations []Registration     `json:"items"`
	Changes       []Change           `json:"changes"`
	Writes        []writeResult      `json:"writes"`
	Replicas      map[string]Address `json:"members,omitempty"`
	Leases        leaseState         `json:"duties"`
	Records       []Record           `json:"records,omitempty"`
	// TrimmedVersion is absent in snapshots of the first versions of the program, whose changes have consecutive
	// list versions.
	TrimmedVersion *uint64 `json:"trimmed,omitempty"`

	RecordsVersion uint64 `json:"recorded,omitempty"` // absent in snapshots of the first versions of the program
}

// Snapshot is a copy of the complete state that can be encoded while the state changes.
type Snapshot struct{ data snapshotData }

// Snapshot copies the state without encoding it. The values of records are shared with the state, as they are
// never modified.
func (s *State) Snapshot() Snapshot {
	trimmed := s.trimmedVersion
	return Snapshot{
		snapshotData{
			formatVersion,
			s.epoch,
			s.version,
			s.Registrations(),
			s.changes.all(),
			s.recentWrites.all(),
			maps.Clone(s.replicaAddresses),
			s.leases.copy(),
			s.allRecords(),
			&trimmed,
			s.recordsVersion,
		},
	}
}

// Encode returns the encoded form of a snapshot or a backup.
func (i Snapshot) Encode() ([]byte, error) { return json.Marshal(i.data) }

// EncodeSnapshot copies and encodes the complete state.
func (s *State) EncodeSnapshot() ([]byte, error) { return s.Snapshot().Encode() }

// DecodeSnapshot decodes a state. It returns an error for a state that no sequence of commands can produce.
func DecodeSnapshot(raw []byte) (*State, error) {
	var decoded snapshotData
	if err := json.Unmarshal(raw, &decoded); err != nil {
		return nil, fmt.Errorf("a snapshot that can't be read: %w", err)
	}
	if decoded.Format != formatVersion {
		return nil, fmt.Errorf("a snapshot of form %d, this program knows %d", decoded.Format, formatVersion)
	}
	s := NewState()
	s.epoch, s.version = decoded.Epoch, decoded.Version
	if err := s.restoreRegistrations(decoded); err != nil {
		return nil, err
	}
	if err := s.restoreChanges(decoded); err != nil {
		return nil, err
	}
	for _, write := range decoded.Writes {
		s.storeWriteResult(write)
	}
	for name, address := range decoded.Replicas {
		s.replicaAddresses[name] = address
	}
	if err := s.restoreRecords(decoded.Records, decoded.Version); err != nil {
		return nil, fmt.Errorf("a snapshot: %w", err)
	}
	if s.recordsVersion = min(
		decoded.RecordsVersion,
		decoded.Version,
	); s.recordsVersion == 0 && len(decoded.Records) > 0 {
		s.recordsVersion = decoded.Version // watchers at an older version read once more than necessary
	}
	if decoded.Leases.Leases == nil && decoded.Leases.Sessions == nil {
		return s, nil // the snapshot is of a version of the program without leases
	}
	if err := decoded.Leases.check(decoded.Version); err != nil {
		return nil, fmt.Errorf("a snapshot: %w", err)
	}
	s.leases = decoded.Leases
	return s, nil
}

// restoreRegistrations adds the endpoints of a snapshot. Each endpoint must be valid and occur once.
func (s *State) restoreRegistrations(decoded snapshotData) error {
	for _, registration := range decoded.Registrations {
		name := registration.Endpoint.Name
		if err := registration.Endpoint.Check(); err != nil {
			return fmt.Errorf("a snapshot with a bad entry: %w", err)
		}
		if _, duplicate := s.registrations[name]; duplicate ||
			registration.Version > decoded.Version || registration.Version == 0 {
			return fmt.Errorf("a snapshot of version %d with %s twice, or at version %d",
				decoded.Version, name, registration.Version)
		}
		s.registrations[name] = registration
		s.byPosition.add(name)
	}
	return nil
}

// restoreChanges adds the changes of a snapshot. Their versions must increase.
func (s *State) restoreChanges(decoded snapshotData) error {
	s.trimmedVersion = decoded.Version - uint64(len(decoded.Changes))
	if decoded.TrimmedVersion != nil {
		s.trimmedVersion = *decoded.TrimmedVersion
	}
	last := s.trimmedVersion
	for k, c := range decoded.Changes {
		if c.Version <= last || c.Version > decoded.Version || k >= maxRetainedChanges {
			return fmt.Errorf("a snapshot of version %d whose change %d of %d has version %d",
				decoded.Version, k+1, len(decoded.Changes), c.Version)
		}
		last = c.Version
		s.changes.push(c)
	}
	return nil
}

// restore replaces the state by the state of a backup. The new version is above every version that can have
// been used since the backup was made, and no changes are retained, so every reader gets the complete list.
func (s *State) restore(c Command) Result {
	if c.ReplacesEpoch != s.epoch {
		return Result{
			Code:   Conflict,
			Reason: fmt.Sprintf("the list has epoch %s, not %s", s.epoch, c.ReplacesEpoch),
		}
	}
	restored, err := DecodeSnapshot(c.Snapshot)
	if err != nil {
		return Result{Code: Invalid, Reason: err.Error()}
	}
	restored.epoch = c.Epoch
	restored.version = max(restored.version, s.version) + restoreVersionStep
	restored.changes = ringBuffer[Change]{capacity: maxRetainedChanges}
	restored.trimmedVersion = restored.version
	restored.recordsVersion = restored.version
	// the backup's replica addresses, sessions and leases are out of date, so the present ones are kept
	restored.replicaAddresses, restored.leases = s.replicaAddresses, s.leases
	*s = *restored
	return Result{}
}
