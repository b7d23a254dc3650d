// Package checksumfile stores small files atomically and with a checksum. If writing is interrupted at any
// point, the file has either its old or its new content. Damage that occurs later is detected on reading.
//
// The first line of a file is the xxHash64 of the following content, in 16 hexadecimal digits.
package checksumfile

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"wrenspread/internal/besteffort"
)

// ErrDamaged means that a file's content does not match its checksum.
var ErrDamaged = errors.New("damaged: the checksum does not match")

// Encode returns raw with its checksum line before it.
func Encode(raw []byte) []byte { return append(fmt.Appendf(nil, "%016x\n", xxhash.Sum64(raw)), raw...) }

// Decode returns the content that Encode was given. It returns ErrDamaged if the checksum is missing or does
// not match.
func Decode(text []byte) ([]byte, error) {
	sum, raw, _ := bytes.Cut(text, []byte("\n"))
	want, err := strconv.ParseUint(string(sum), 16, 64)
	if err != nil || xxhash.Sum64(raw) != want {
		return nil, fmt.Errorf("%d bytes: %w", len(text), ErrDamaged)
	}
	return raw, nil
}

// Write replaces the file at path by one with the content raw. It returns once the content is on the disk.
func Write(path string, raw []byte) error {
	temporary, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	// After the rename the temporary file no longer exists, and the removal fails without harm.
	defer func() { besteffort.Cleanup(os.Remove(temporary.Name())) }()
	if err := writeAndSync(temporary, Encode(raw)); err != nil {
		return err
	}
	if err := os.Rename(temporary.Name(), path); err != nil {
		return err
	}
	return SyncFolder(filepath.Dir(path))
}

// writeAndSync writes content to a file, syncs it to the disk and closes it.
func writeAndSync(f *os.File, content []byte) error {
	_, err := f.Write(content)
	if err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close())
}

// SyncFolder makes renames in a folder survive a crash of the machine.
func SyncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	defer besteffort.Close(folder)
	return folder.Sync()
}

// Read returns the content of the file at path, which may have at most maxSize bytes including the checksum
// line. The error is fs.ErrNotExist if there is no file, and ErrDamaged if the checksum does not match.
func Read(path string, maxSize int64) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxSize {
		err := fmt.Errorf("file has %d bytes, want at most %d", info.Size(), maxSize)
		return nil, &fs.PathError{Op: "read", Path: path, Err: err}
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
