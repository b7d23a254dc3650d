package registry

// The form in which the whole state is kept and copied.

import (
	"encoding/json"
	"fmt"
	"maps"
)

const restoreJump = 1 << 32 // versions that a restore passes over, more than could have been used since the copy

// image is the form of a snapshot and of a backup.
type image struct {
	Form    int                `json:"v"`
	Epoch   string             `json:"epoch"`
	Version uint64             `json:"version"`
	Items   []Item             `json:"items"`
	Changes []Change           `json:"changes"`
	Writes  []written          `json:"writes"`
	Members map[string]Address `json:"members,omitempty"`
	Duties  duties             `json:"duties"`
	Records []Record           `json:"records,omitempty"`
	Trimmed *uint64            `json:"trimmed,omitempty"` // absent in the first programs' images, whose changes have all versions

	Recorded uint64 `json:"recorded,omitempty"` // absent in the first programs' images
}

// Image is the whole state as it was, for its encoding while the state goes on.
type Image struct{ of image }

// Image copies the state without encoding it. Values of records are never changed, so they are shared.
func (s *State) Image() Image {
	trimmed := s.trimmed
	return Image{image{form, s.epoch, s.version, s.Items(), s.changes.all(), s.writes.all(), maps.Clone(s.members), s.duties.copy(), s.allRecords(), &trimmed, s.recorded}}
}

// Encode gives the form of a snapshot and of a backup.
func (i Image) Encode() ([]byte, error) { return json.Marshal(i.of) }

// Snapshot encodes the whole state.
func (s *State) Snapshot() ([]byte, error) { return s.Image().Encode() }

// FromSnapshot decodes a state and says what is wrong with one that could not have been.
func FromSnapshot(raw []byte) (*State, error) {
	var in image
	if err := json.Unmarshal(raw, &in); err != nil {
		return nil, fmt.Errorf("a snapshot that can't be read: %w", err)
	}
	if in.Form != form {
		return nil, fmt.Errorf("a snapshot of form %d, this program knows %d", in.Form, form)
	}
	s := NewState()
	s.epoch, s.version = in.Epoch, in.Version
	for _, i := range in.Items {
		if err := i.Entry.Check(); err != nil {
			return nil, fmt.Errorf("a snapshot with a bad entry: %w", err)
		}
		if _, twice := s.items[i.Entry.Name]; twice || i.Version > in.Version || i.Version == 0 {
			return nil, fmt.Errorf("a snapshot of version %d with %s twice, or at version %d", in.Version, i.Entry.Name, i.Version)
		}
		s.items[i.Entry.Name] = i
		s.arcs.add(i.Entry.Name)
	}
	s.trimmed = in.Version - uint64(len(in.Changes))
	if in.Trimmed != nil {
		s.trimmed = *in.Trimmed
	}
	last := s.trimmed
	for k, c := range in.Changes {
		if c.Version <= last || c.Version > in.Version || k >= keepChanges {
			return nil, fmt.Errorf("a snapshot of version %d whose change %d of %d has version %d", in.Version, k+1, len(in.Changes), c.Version)
		}
		last = c.Version
		s.changes.push(c)
	}
	for _, w := range in.Writes {
		s.remember(w)
	}
	for name, a := range in.Members {
		s.members[name] = a
	}
	if err := s.takeRecords(in.Records, in.Version); err != nil {
		return nil, fmt.Errorf("a snapshot: %w", err)
	}
	if s.recorded = min(in.Recorded, in.Version); s.recorded == 0 && len(in.Records) > 0 {
		s.recorded = in.Version // whoever watches looks once more than needed
	}
	if in.Duties.Duties == nil && in.Duties.Sessions == nil {
		return s, nil // of a program that knew no duties
	}
	if err := in.Duties.check(in.Version); err != nil {
		return nil, fmt.Errorf("a snapshot: %w", err)
	}
	s.duties = in.Duties
	return s, nil
}

// restore puts a copy in place of the state, with a version past all that can
// have been given out since the copy was made, and nothing to be told by changes.
func (s *State) restore(c Command) Result {
	if c.Over != s.epoch {
		return Result{Code: Conflict, Why: fmt.Sprintf("the list has epoch %s, not %s", s.epoch, c.Over)}
	}
	from, err := FromSnapshot(c.Image)
	if err != nil {
		return Result{Code: Invalid, Why: err.Error()}
	}
	from.epoch = c.Epoch
	from.version = max(from.version, s.version) + restoreJump
	from.changes, from.trimmed, from.recorded = recent[Change]{most: keepChanges}, from.version, from.version
	from.members, from.duties = s.members, s.duties // the copy says nothing of the replicas and the holders of today
	*s = *from
	return Result{}
}
