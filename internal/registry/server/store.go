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
	logName  = "log.db"
	openTime = 5 * time.Second // for the folder's lock, which a process that is ending may hold
	lockWait = 20 * time.Millisecond
	fullWait = 100 * time.Millisecond
)

// openStore opens the log in a folder, which it makes if it is not there, and
// keeps other processes out of the folder until lock is closed.
//
// What an earlier process left is read completely and written anew first. The library that keeps the log
// faults on a file that was cut short and believes what a damaged one says of its free pages, and raft gives
// up at an entry that is missing; so nothing that can't be read gets as far as either.
func openStore(folder string) (store *raftboltdb.BoltStore, lock io.Closer, err error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, nil, fmt.Errorf("folder: %w", err)
	}
	if lock, err = lockFolder(folder); err != nil {
		return nil, nil, err
	}
	path := filepath.Join(folder, logName)
	if err = rewriteLog(path); err != nil {
		err = fmt.Errorf(
			"%s: %w; if it is damaged, a replica of several is removed from the cluster and added again "+
				"on an empty folder, one that is alone needs a backup (docs/list.md)",
			path,
			err,
		)
	} else {
		store, err = raftboltdb.New(raftboltdb.Options{Path: path, BoltOptions: &bbolt.Options{Timeout: openTime}})
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

// lockFolder waits a while for a process that is ending.
func lockFolder(folder string) (io.Closer, error) {
	f, err := os.OpenFile(filepath.Join(folder, "lock"), os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return nil, fmt.Errorf("folder: %w", err)
	}
	for until := time.Now().Add(openTime); ; time.Sleep(lockWait) {
		if err = unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err == nil {
			return f, nil
		}
		if time.Now().After(until) {
			besteffort.Close(f)
			return nil, fmt.Errorf("folder %s: another process holds it: %w", folder, err)
		}
	}
}
