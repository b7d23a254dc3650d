package client

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"

	"indigotack/internal/sealed"
)

// maxFile bounds a kept view that is read, in bytes: a full list takes a tenth.
const maxFile = 64 << 20

// save keeps a view for the next start.
func save(path string, v View) error {
	raw, err := json.Marshal(v)
	if err == nil {
		err = sealed.Write(path, raw)
	}
	if err != nil {
		return fmt.Errorf("keeping the list: %w", err)
	}
	return nil
}

// load reads a kept view. A file that is not there gives an empty one.
func load(path string) (View, error) {
	raw, err := sealed.Read(path, maxFile)
	if errors.Is(err, fs.ErrNotExist) {
		return View{}, nil
	}
	var v View
	if err == nil {
		err = json.Unmarshal(raw, &v)
	}
	if err != nil {
		return View{}, fmt.Errorf("the kept list: %w", err)
	}
	return v, nil
}
