package server

import (
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/hashicorp/raft"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/checksumfile"
	"wrenspread/internal/registry"
)

// machine is raft's state machine. Other goroutines read its state under mu.
type machine struct {
	mu        sync.RWMutex
	state     *registry.State
	onApplied func(c registry.Command, r registry.Result) // called under mu; c is empty after Restore
	// onBroken is called once, after a log entry that can't be applied.
	onBroken func(error)
	failure  error  // the error passed to onBroken; no entry is applied after it
	index    uint64 // index of the last applied log entry
}

// encode returns the logged form of a command, with a checksum to detect damage on disk.
func encode(c registry.Command) ([]byte, error) {
	raw, err := c.Encode()
	return checksumfile.Encode(raw), err
}

// decode parses a logged command. The first versions of the program logged no checksum.
func decode(raw []byte) (registry.Command, error) {
	if len(raw) > 0 && raw[0] != '{' {
		var err error
		if raw, err = checksumfile.Decode(raw); err != nil {
			return registry.Command{}, err
		}
	}
	return registry.Decode(raw)
}

// errBroken is the result of a log entry that can't be decoded, and of all later entries.
var errBroken = errors.New("this replica can't follow the log any further")

// Apply applies a log entry. An entry that can't be decoded is damaged or was written by a later version of
// the program. If this replica skipped the entry, its state would differ from the state of the other
// replicas, so it applies no more entries and stops.
func (m *machine) Apply(l *raft.Log) any {
	c, err := decode(l.Data)
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.failure != nil:
		return m.failure
	case err != nil:
		m.failure = fmt.Errorf("%w: entry %d: %w", errBroken, l.Index, err)
		m.onBroken(m.failure)
		return m.failure
	}
	r := m.state.Apply(c)
	m.index = l.Index
	m.onApplied(c, r)
	return r
}

// Snapshot copies the state. The copy is encoded and written while further entries are applied.
func (m *machine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.failure != nil {
		return nil, m.failure
	}
	return snapshot{m.state.Snapshot()}, nil
}

// maxSnapshotBytes bounds the size of a snapshot that is read. The largest list with all records takes a
// quarter of it.
const maxSnapshotBytes = 256 << 20

// Restore replaces the state by a snapshot.
func (m *machine) Restore(in io.ReadCloser) error {
	defer besteffort.Close(in)
	raw, err := io.ReadAll(io.LimitReader(in, maxSnapshotBytes))
	if err != nil {
		return fmt.Errorf("read snapshot: %w", err)
	}
	s, err := registry.DecodeSnapshot(raw)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = s
	m.onApplied(registry.Command{}, registry.Result{})
	return nil
}

// replicaAddress returns the address of a replica that was added to the running cluster.
func (m *machine) replicaAddress(name string) (registry.Address, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.ReplicaAddress(name)
}

// snapshot implements raft.FSMSnapshot.
type snapshot struct{ registry.Snapshot }

func (s snapshot) Persist(out raft.SnapshotSink) error {
	raw, err := s.Encode()
	if err == nil {
		_, err = out.Write(raw)
	}
	if err != nil {
		err = errors.Join(err, out.Cancel())
		return fmt.Errorf("write snapshot: %w", err)
	}
	return out.Close()
}

func (s snapshot) Release() {}
