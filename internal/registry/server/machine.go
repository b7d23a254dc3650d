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

// machine is the list's state under raft. Others read it under its lock.
type machine struct {
	mu      sync.RWMutex
	state   *registry.State
	applied func(c registry.Command, r registry.Result) // under the lock; c is empty after a restore
	// called once, where the log can't be followed any further
	broken func(error)
	end    error  // why that is so
	index  uint64 // of the last command in the log that was carried out
}

// encode returns the form of a command in the log: with a checksum, so that one damaged on the disk is
// noticed.
func encode(c registry.Command) ([]byte, error) {
	raw, err := c.Encode()
	return checksumfile.Encode(raw), err
}

// decode reads a command off the log. The first programs logged them without a seal.
func decode(raw []byte) (registry.Command, error) {
	if len(raw) > 0 && raw[0] != '{' {
		var err error
		if raw, err = checksumfile.Decode(raw); err != nil {
			return registry.Command{}, err
		}
	}
	return registry.Decode(raw)
}

// errBroken is what becomes of commands after one that could not be read.
var errBroken = errors.New("this replica can't follow the log any further")

// Apply carries out one entry of the log. One that can't be read is damaged, or of
// a later program: going on without it would make this replica differ from the
// others, so it applies nothing any more, and ends.
func (m *machine) Apply(l *raft.Log) any {
	c, err := decode(l.Data)
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.end != nil:
		return m.end
	case err != nil:
		m.end = fmt.Errorf("%w: entry %d: %w", errBroken, l.Index, err)
		m.broken(m.end)
		return m.end
	}
	r := m.state.Apply(c)
	m.index = l.Index
	m.applied(c, r)
	return r
}

// Snapshot copies the state; it is encoded and written while the log goes on.
func (m *machine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.end != nil {
		return nil, m.end
	}
	return snapshot{m.state.Snapshot()}, nil
}

// maxSnapshot bounds a snapshot that is read, in bytes: a list of the greatest size with all records takes a
// quarter.
const maxSnapshot = 256 << 20

// Restore puts a snapshot in place of the state.
func (m *machine) Restore(in io.ReadCloser) error {
	defer besteffort.Close(in)
	raw, err := io.ReadAll(io.LimitReader(in, maxSnapshot))
	if err != nil {
		return fmt.Errorf("reading a snapshot: %w", err)
	}
	s, err := registry.DecodeSnapshot(raw)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = s
	m.applied(registry.Command{}, registry.Result{})
	return nil
}

// member finds where a replica is that was added while the others served.
func (m *machine) member(name string) (registry.Address, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.ReplicaAddress(name)
}

type snapshot struct{ registry.Snapshot }

func (s snapshot) Persist(out raft.SnapshotSink) error {
	raw, err := s.Encode()
	if err == nil {
		_, err = out.Write(raw)
	}
	if err != nil {
		err = errors.Join(err, out.Cancel())
		return fmt.Errorf("writing a snapshot: %w", err)
	}
	return out.Close()
}

func (s snapshot) Release() {}
