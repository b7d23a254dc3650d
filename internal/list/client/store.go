package client

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// maxFile bounds a kept view that is read, in bytes: a full list takes a tenth.
const maxFile = 64 << 20

// save keeps a view for the next start: a line with the checksum, then the view.
// The file is there whole or as it was, wherever the writing is cut.
func save(path string, v View) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("keeping the list: %w", err)
	}
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return fmt.Errorf("keeping the list: %w", err)
	}
	defer os.Remove(f.Name()) // once renamed, there is none
	_, err = fmt.Fprintf(f, "%016x\n%s", xxhash.Sum64(raw), raw)
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
		return fmt.Errorf("keeping the list: %w", err)
	}
	return nil
}

// load reads a kept view. A file that is not there gives an empty one.
func load(path string) (View, error) {
	info, err := os.Stat(path)
	if os.IsNotExist(err) {
		return View{}, nil
	}
	if err != nil {
		return View{}, fmt.Errorf("the kept list: %w", err)
	}
	if info.Size() > maxFile {
		return View{}, fmt.Errorf("the kept list: %s has %d bytes, %d at most", path, info.Size(), maxFile)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return View{}, fmt.Errorf("the kept list: %w", err)
	}
	sum, raw, _ := bytes.Cut(text, []byte("\n"))
	if want, err := strconv.ParseUint(string(sum), 16, 64); err != nil || xxhash.Sum64(raw) != want {
		return View{}, fmt.Errorf("the kept list: %s is damaged", path)
	}
	var v View
	if err := json.Unmarshal(raw, &v); err != nil {
		return View{}, fmt.Errorf("the kept list: %s: %w", path, err)
	}
	return v, nil
}
