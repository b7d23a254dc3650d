package server

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"go.etcd.io/bbolt"
	"golang.org/x/sys/unix"

	"wrenspread/internal/besteffort"
)

const (
	logFileName    = "log.db"
	lockTimeout    = 5 * time.Second // for the folder's lock, which a stopping process may still hold
	lockRetryPause = 20 * time.Millisecond
	diskRetryPause = 100 * time.Millisecond
)

// openStore opens the log in a folder, which is created if necessary. It locks the folder against other
// processes until lock is closed.
//
// The log of an earlier process is first read completely and rewritten, so that damage is detected before
// bbolt or raft use the file: bbolt faults on a truncated file and trusts the free list of a damaged file,
// and raft gives up at a missing entry.
func openStore(folder string) (store *raftboltdb.BoltStore, lock io.Closer, err error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, nil, fmt.Errorf("folder: %w", err)
	}
	if lock, err = lockFolder(folder); err != nil {
		return nil, nil, err
	}
	path := filepath.Join(folder, logFileName)
	if err = rewriteLog(path); err != nil {
		err = fmt.Errorf(
			"%s: %w; if the log is damaged, remove this replica from the cluster and add it again "+
				"on an empty folder; a single replica needs a backup (docs/list.md)",
			path,
			err,
		)
	} else {
		store, err = raftboltdb.New(
			raftboltdb.Options{Path: path, BoltOptions: &bbolt.Options{Timeout: lockTimeout}},
		)
		if err != nil {
			err = fmt.Errorf("%s: %w", path, err)
		}
	}
	if err != nil {
		besteffort.Close(lock)
		return nil, nil, err
	}
	return store, lock, nil
}

// lockFolder locks a folder. It waits up to lockTimeout for another process to release the lock.
func lockFolder(folder string) (io.Closer, error) {
	f, err := os.OpenFile(filepath.Join(folder, "lock"), os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return nil, fmt.Errorf("folder: %w", err)
	}
	for until := time.Now().Add(lockTimeout); ; time.Sleep(lockRetryPause) {
		if err = unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err == nil {
			return f, nil
		}
		if time.Now().After(until) {
			besteffort.Close(f)
			return nil, fmt.Errorf("folder %s: another process holds the lock: %w", folder, err)
		}
	}
}
