// Package sealed keeps a small file whole: a line with the checksum of what
// follows, then that. The file is there as it was or as it is to be, wherever the
// writing is cut, and one that was damaged later is told from a good one.
package checksumfile

import (
	"bytes"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Encode puts the line with the checksum before raw.
func Encode(raw []byte) []byte { return append(fmt.Appendf(nil, "%016x\n", xxhash.Sum64(raw)), raw...) }

// Decode gives back what was wrapped, or says that it is damaged.
func Decode(text []byte) ([]byte, error) {
	sum, raw, _ := bytes.Cut(text, []byte("\n"))
	if want, err := strconv.ParseUint(string(sum), 16, 64); err != nil || xxhash.Sum64(raw) != want {
		return nil, fmt.Errorf("%d bytes that are damaged: their checksum is not theirs", len(text))
	}
	return raw, nil
}

// Write puts raw into the file at path.
func Write(path string, raw []byte) (err error) {
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name()) // once renamed, there is none
	_, err = f.Write(Encode(raw))
	if err == nil {
		err = f.Sync()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		return err
	}
	return SyncFolder(filepath.Dir(path))
}

// SyncFolder makes a rename outlast the machine's end.
func SyncFolder(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Read gives what is in the file at path, most bytes of it at most. One that is
// not there is fs.ErrNotExist.
func Read(path string, most int64) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > most {
		return nil, &fs.PathError{Op: "read", Path: path, Err: fmt.Errorf("%d bytes, %d at most", info.Size(), most)}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	raw, err := Decode(text)
	if err != nil {
		return nil, &fs.PathError{Op: "read", Path: path, Err: err}
	}
	return raw, nil
}
