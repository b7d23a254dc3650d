package server

import (
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"

	"github.com/hashicorp/go-msgpack/v2/codec"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"go.etcd.io/bbolt"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/checksumfile"
)

// rewriteLog reads a log completely and replaces it by a copy, or returns an error if any part is damaged. If
// it is interrupted, path is still a complete log: the old log or the copy.
func rewriteLog(path string) (err error) {
	info, err := os.Stat(path)
	if os.IsNotExist(err) {
		return nil
	}
	if err != nil {
		return err
	}
	if info.Size() == 0 {
		return os.Remove(path) // the first start was interrupted before anything was written
	}
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("the log is damaged: %v", r)
		}
	}()
	newPath := path + ".new"
	if err := os.Remove(newPath); err != nil && !os.IsNotExist(err) {
		return err
	}
	if err := copyStore(path, newPath, info.Size()); err != nil {
		return err
	}
	if err := os.Rename(newPath, path); err != nil {
		return err
	}
	// without the sync, a power failure could bring back the old log, without the entries written from now on
	return checksumfile.SyncFolder(filepath.Dir(path))
}

// copyStore copies the log and raft's stable state to a new file. size is the size of the old file.
func copyStore(path, newPath string, size int64) error {
	old, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout, ReadOnly: true})
	if err != nil {
		return fmt.Errorf("open the log: %w", err)
	}
	defer besteffort.Close(old)
	target, err := raftboltdb.New(
		raftboltdb.Options{Path: newPath, BoltOptions: &bbolt.Options{Timeout: lockTimeout}, NoSync: true},
	)
	if err != nil {
		return err
	}
	defer besteffort.Close(target)
	err = old.View(func(tx *bbolt.Tx) error {
		if recordedSize := tx.Size(); recordedSize > size {
			return fmt.Errorf("the log is damaged: it was truncated from %d bytes to %d", recordedSize, size)
		}
		if err := copyLog(tx.Bucket([]byte("logs")), target); err != nil {
			return fmt.Errorf("the log is damaged: %w", err)
		}
		return copyStableState(tx.Bucket([]byte("conf")), target)
	})
	if err != nil {
		return err
	}
	return target.Sync()
}

// copyBatch is the number of log entries that are written together.
const copyBatch = 256

// copyLog copies the log entries. It returns an error if an entry is unreadable or missing.
func copyLog(from *bbolt.Bucket, target *raftboltdb.BoltStore) error {
	if from == nil {
		return nil // the first start was interrupted before there was an entry
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
			return fmt.Errorf("entry %d follows entry %d, entries between are missing", e.Index, last)
		}
		last = e.Index
		if batch = append(batch, e); len(batch) == copyBatch {
			if err := target.StoreLogs(batch); err != nil {
				return err
			}
			batch = batch[:0]
		}
	}
	return target.StoreLogs(batch)
}

// readEntry decodes an entry in the form of raft-boltdb and validates its command or configuration.
func readEntry(k, v []byte) (*raft.Log, error) {
	e := new(raft.Log)
	if err := codec.NewDecoderBytes(v, &codec.MsgpackHandle{}).Decode(e); err != nil {
		return nil, err
	}
	if len(k) != 8 || binary.BigEndian.Uint64(k) != e.Index {
		return nil, fmt.Errorf("entry %d is stored under key %x", e.Index, k)
	}
	var err error
	switch e.Type {
	case raft.LogCommand:
		_, err = decode(e.Data)
	case raft.LogConfiguration:
		raft.DecodeConfiguration(e.Data) // panics if the configuration can't be decoded
	}
	if err != nil {
		return nil, fmt.Errorf("entry %d: %w", e.Index, err)
	}
	return e, nil
}

// copyStableState copies raft's stable state. It returns an error if the current term is lower than the term
// of the last log entry.
func copyStableState(from *bbolt.Bucket, target *raftboltdb.BoltStore) error {
	if from == nil {
		return nil
	}
	if err := from.ForEach(target.Set); err != nil {
		return err
	}
	last, err := target.LastIndex()
	if err != nil || last == 0 {
		return err
	}
	var e raft.Log
	if err := target.GetLog(last, &e); err != nil {
		return err
	}
	term, err := target.GetUint64([]byte("CurrentTerm"))
	if err != nil {
		return fmt.Errorf("the log is damaged: read its term: %w", err)
	}
	if term < e.Term {
		return fmt.Errorf("the log is damaged: its term is %d, that of the last entry %d", term, e.Term)
	}
	return nil
}
