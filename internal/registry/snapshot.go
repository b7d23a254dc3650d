package registry

// The form in which the whole state is kept and copied.

import (
	"encoding/json"
	"fmt"
	"maps"
)

// versions that a restore passes over, more than could have been used since the copy
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
	// absent in the first programs' images, whose changes have all versions
	TrimmedVersion *uint64 `json:"trimmed,omitempty"`

	RecordsVersion uint64 `json:"recorded,omitempty"` // absent in the first programs' images
}

// Snapshot is the whole state as it was, for its encoding while the state goes on.
type Snapshot struct{ data snapshotData }

// Snapshot copies the state without encoding it. Values of records are never changed, so they are shared.
func (s *State) Snapshot() Snapshot {
	trimmed := s.trimmedVersion
	return Snapshot{
		snapshotData{
			format,
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

// Encode returns the form of a snapshot and of a backup.
func (i Snapshot) Encode() ([]byte, error) { return json.Marshal(i.data) }

// EncodeSnapshot encodes the whole state.
func (s *State) EncodeSnapshot() ([]byte, error) { return s.Snapshot().Encode() }

// DecodeSnapshot decodes a state and says what is wrong with one that could not have been.
func DecodeSnapshot(raw []byte) (*State, error) {
	var in snapshotData
	if err := json.Unmarshal(raw, &in); err != nil {
		return nil, fmt.Errorf("a snapshot that can't be read: %w", err)
	}
	if in.Format != format {
		return nil, fmt.Errorf("a snapshot of form %d, this program knows %d", in.Format, format)
	}
	s := NewState()
	s.epoch, s.version = in.Epoch, in.Version
	if err := s.restoreRegistrations(in); err != nil {
		return nil, err
	}
	if err := s.restoreChanges(in); err != nil {
		return nil, err
	}
	for _, w := range in.Writes {
		s.rememberWrite(w)
	}
	for name, a := range in.Replicas {
		s.replicaAddresses[name] = a
	}
	if err := s.restoreRecords(in.Records, in.Version); err != nil {
		return nil, fmt.Errorf("a snapshot: %w", err)
	}
	if s.recordsVersion = min(in.RecordsVersion, in.Version); s.recordsVersion == 0 && len(in.Records) > 0 {
		s.recordsVersion = in.Version // whoever watches looks once more than needed
	}
	if in.Leases.Leases == nil && in.Leases.Sessions == nil {
		return s, nil // of a program that knew no leases
	}
	if err := in.Leases.check(in.Version); err != nil {
		return nil, fmt.Errorf("a snapshot: %w", err)
	}
	s.leases = in.Leases
	return s, nil
}

// restoreRegistrations takes the endpoints of a snapshot, each of which has to be valid and there once.
func (s *State) restoreRegistrations(in snapshotData) error {
	for _, one := range in.Registrations {
		name := one.Endpoint.Name
		if err := one.Endpoint.Check(); err != nil {
			return fmt.Errorf("a snapshot with a bad entry: %w", err)
		}
		if _, twice := s.registrations[name]; twice || one.Version > in.Version || one.Version == 0 {
			return fmt.Errorf("a snapshot of version %d with %s twice, or at version %d",
				in.Version, name, one.Version)
		}
		s.registrations[name] = one
		s.byPosition.add(name)
	}
	return nil
}

// restoreChanges takes the changes of a snapshot, whose versions have to rise.
func (s *State) restoreChanges(in snapshotData) error {
	s.trimmedVersion = in.Version - uint64(len(in.Changes))
	if in.TrimmedVersion != nil {
		s.trimmedVersion = *in.TrimmedVersion
	}
	last := s.trimmedVersion
	for k, c := range in.Changes {
		if c.Version <= last || c.Version > in.Version || k >= maxKeptChanges {
			return fmt.Errorf("a snapshot of version %d whose change %d of %d has version %d",
				in.Version, k+1, len(in.Changes), c.Version)
		}
		last = c.Version
		s.changes.push(c)
	}
	return nil
}

// restore puts a copy in place of the state, with a version past all that can have been given out since the
// copy was made, and no changes to answer from.
func (s *State) restore(c Command) Result {
	if c.ReplacesEpoch != s.epoch {
		return Result{
			Code:   Conflict,
			Reason: fmt.Sprintf("the list has epoch %s, not %s", s.epoch, c.ReplacesEpoch),
		}
	}
	from, err := DecodeSnapshot(c.Snapshot)
	if err != nil {
		return Result{Code: Invalid, Reason: err.Error()}
	}
	from.epoch = c.Epoch
	from.version = max(from.version, s.version) + restoreVersionStep
	from.changes = ringBuffer[Change]{capacity: maxKeptChanges}
	from.trimmedVersion = from.version
	from.recordsVersion = from.version
	// the copy says nothing of the replicas and the holders of today
	from.replicaAddresses, from.leases = s.replicaAddresses, s.leases
	*s = *from
	return Result{}
}
