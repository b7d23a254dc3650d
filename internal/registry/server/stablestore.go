package server

import (
	"log/slog"
	"runtime"
	"time"

	"github.com/hashicorp/raft"
)

// retryingStableStore keeps raft's stable state (its term, its vote). Raft has no answer to a disk that takes
// nothing but to crash, so this waits until it does: a replica whose disk is full stands still, like a paused
// process. At the end, when the store may be closed while another replica's call is still at work, the
// goroutine of that call ends, and the call with it unanswered.
type retryingStableStore struct {
	raft.StableStore
	log  *slog.Logger
	stop <-chan struct{} // closed at the end
}

func (p retryingStableStore) Set(key, value []byte) error {
	return p.retry(func() error { return p.StableStore.Set(key, value) })
}

func (p retryingStableStore) SetUint64(key []byte, value uint64) error {
	return p.retry(func() error { return p.StableStore.SetUint64(key, value) })
}

func (p retryingStableStore) retry(write func() error) error {
	for told := false; ; told = true {
		err := write()
		if err == nil {
			return nil
		}
		select {
		case <-p.stop:
			runtime.Goexit()
		default:
		}
		if !told {
			p.log.Error("disk write failed, replica pauses until it succeeds", "err", err)
		}
		select {
		case <-p.stop:
		case <-time.After(fullWait):
		}
	}
}
