package server

import (
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/hashicorp/go-msgpack/v2/codec"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"go.etcd.io/bbolt"
	"golang.org/x/sys/unix"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/checksumfile"
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
// What an earlier process left is read whole and written anew first. The library
// that keeps the log faults on a file that was cut short and believes what a
// damaged one says of its free pages, and raft gives up at an entry that is
// missing; so nothing that can't be read gets as far as either.
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

// rewriteLog writes a log anew out of what can be read of it, or says what can't. A
// start that is cut off leaves the old one, or the new one.
func rewriteLog(path string) (err error) {
	info, err := os.Stat(path)
	if os.IsNotExist(err) {
		return nil
	}
	if err != nil {
		return err
	}
	if info.Size() == 0 {
		return os.Remove(path) // its first start was cut off before it wrote anything
	}
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("the log is damaged: %v", r)
		}
	}()
	fresh := path + ".new"
	if err := os.Remove(fresh); err != nil && !os.IsNotExist(err) {
		return err
	}
	if err := copyStore(path, fresh, info.Size()); err != nil {
		return err
	}
	if err := os.Rename(fresh, path); err != nil {
		return err
	}
	// else a cut could bring the old one back, without what is written next
	return checksumfile.SyncFolder(filepath.Dir(path))
}

func copyStore(path, fresh string, size int64) error {
	old, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: openTime, ReadOnly: true})
	if err != nil {
		return fmt.Errorf("the log can't be read: %w", err)
	}
	defer besteffort.Close(old)
	into, err := raftboltdb.New(
		raftboltdb.Options{Path: fresh, BoltOptions: &bbolt.Options{Timeout: openTime}, NoSync: true},
	)
	if err != nil {
		return err
	}
	defer besteffort.Close(into)
	err = old.View(func(tx *bbolt.Tx) error {
		if says := tx.Size(); says > size {
			return fmt.Errorf("the log is damaged: it was cut short, from %d bytes to %d", says, size)
		}
		if err := copyLog(tx.Bucket([]byte("logs")), into); err != nil {
			return fmt.Errorf("the log is damaged: %w", err)
		}
		return copyStableState(tx.Bucket([]byte("conf")), into)
	})
	if err != nil {
		return err
	}
	return into.Sync()
}

// copyBatch is how many entries are written at once.
const copyBatch = 256

// copyLog takes over the entries, each of which has to be there and readable.
func copyLog(from *bbolt.Bucket, into *raftboltdb.BoltStore) error {
	if from == nil {
		return nil // its first start was cut off before there was any
	}
	var batch []*raft.Log
	var last uint64
	c := from.Cursor()
	for k, v := c.First(); k != nil; k, v = c.Next() {
		e, err := readEntry(k, v)
		if err != nil {
			return err
		}
		if last != 0 && e.Index != last+1 {
			return fmt.Errorf("entry %d comes after %d", e.Index, last)
		}
		last = e.Index
		if batch = append(batch, e); len(batch) == copyBatch {
			if err := into.StoreLogs(batch); err != nil {
				return err
			}
			batch = batch[:0]
		}
	}
	return into.StoreLogs(batch)
}

// readEntry decodes an entry as raft-boltdb keeps it, and what it carries.
func readEntry(k, v []byte) (*raft.Log, error) {
	e := new(raft.Log)
	if err := codec.NewDecoderBytes(v, &codec.MsgpackHandle{}).Decode(e); err != nil {
		return nil, err
	}
	if len(k) != 8 || binary.BigEndian.Uint64(k) != e.Index {
		return nil, fmt.Errorf("entry %d stands at %x", e.Index, k)
	}
	var err error
	switch e.Type {
	case raft.LogCommand:
		_, err = decode(e.Data)
	case raft.LogConfiguration:
		raft.DecodeConfiguration(e.Data) // panics at one that can't be read
	}
	if err != nil {
		return nil, fmt.Errorf("entry %d: %w", e.Index, err)
	}
	return e, nil
}

// copyStableState takes over raft's stable state, and rejects a term that lies before the log's.
func copyStableState(from *bbolt.Bucket, into *raftboltdb.BoltStore) error {
	if from == nil {
		return nil
	}
	if err := from.ForEach(into.Set); err != nil {
		return err
	}
	last, err := into.LastIndex()
	if err != nil || last == 0 {
		return err
	}
	var e raft.Log
	if err := into.GetLog(last, &e); err != nil {
		return err
	}
	term, err := into.GetUint64([]byte("CurrentTerm"))
	if err != nil {
		return fmt.Errorf("the log is damaged: its term can't be read: %w", err)
	}
	if term < e.Term {
		return fmt.Errorf("the log is damaged: its term is %d, that of the last entry %d", term, e.Term)
	}
	return nil
}

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
