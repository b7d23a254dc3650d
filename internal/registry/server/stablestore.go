package server

import (
	"log/slog"
	"runtime"
	"time"

	"github.com/hashicorp/raft"
)

// retryingStableStore stores raft's stable state (its term and its vote) and repeats failed writes until they
// succeed, because raft panics if such a write fails. A replica whose disk is full therefore pauses, like a
// paused process. When the replica stops, a write may still be repeated for a call of another replica. The
// goroutine of that call then exits, and the call gets no response.
type retryingStableStore struct {
	raft.StableStore
	log  *slog.Logger
	stop <-chan struct{} // closed when the replica stops
}

// Set implements raft.StableStore.
func (p retryingStableStore) Set(key, value []byte) error {
	return p.retry(func() error { return p.StableStore.Set(key, value) })
}

// SetUint64 implements raft.StableStore.
func (p retryingStableStore) SetUint64(key []byte, value uint64) error {
	return p.retry(func() error { return p.StableStore.SetUint64(key, value) })
}

// retry repeats a write until it succeeds. The first failure is logged.
func (p retryingStableStore) retry(write func() error) error {
	for logged := false; ; logged = true {
		err := write()
		if err == nil {
			return nil
		}
		select {
		case <-p.stop:
			runtime.Goexit()
		default:
		}
		if !logged {
			p.log.Error("disk write failed, replica pauses until it succeeds", "err", err)
		}
		select {
		case <-p.stop:
		case <-time.After(diskRetryPause):
		}
	}
}
