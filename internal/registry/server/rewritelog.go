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
