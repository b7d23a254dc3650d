package server

import (
	"fmt"
	"io"
	"sync"

	"github.com/hashicorp/raft"

	"indigotack/internal/list"
)

// machine is the list's state under raft. Others read it under its lock.
type machine struct {
	mu      sync.RWMutex
	state   *list.State
	applied func(c list.Command, r list.Result) // under the lock; c is empty after a restore
}

// Apply carries out one entry of the log. One that can't be read is of a later
// program: going on without it would make this replica differ from the others.
func (m *machine) Apply(l *raft.Log) any {
	c, err := list.Decode(l.Data)
	if err != nil {
		panic(fmt.Sprintf("log entry %d: %v", l.Index, err))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.state.Apply(c)
	m.applied(c, r)
	return r
}

// Snapshot encodes the state; it is written while the log goes on.
func (m *machine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	raw, err := m.state.Snapshot()
	return snapshot(raw), err
}

// maxSnapshot bounds a snapshot that is read, in bytes: a full list with its changes takes a twentieth.
const maxSnapshot = 256 << 20

// Restore puts a snapshot in place of the state.
func (m *machine) Restore(in io.ReadCloser) error {
	defer in.Close()
	raw, err := io.ReadAll(io.LimitReader(in, maxSnapshot))
	if err != nil {
		return fmt.Errorf("reading a snapshot: %w", err)
	}
	s, err := list.FromSnapshot(raw)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = s
	m.applied(list.Command{}, list.Result{})
	return nil
}

type snapshot []byte

func (s snapshot) Persist(out raft.SnapshotSink) error {
	if _, err := out.Write(s); err != nil {
		out.Cancel()
		return fmt.Errorf("writing a snapshot: %w", err)
	}
	return out.Close()
}

func (s snapshot) Release() {}
