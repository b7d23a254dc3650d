package client

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"

	"wrenspread/internal/checksumfile"
	"wrenspread/internal/registry"
)

// maxFile bounds a kept view that is read, in bytes: a full list takes a tenth, one of the longest entries two thirds.
const maxFile = 128 << 20

// kept is the form of a view in its file. That of a part has its epoch and version
// in a place of its own: to a program that knows no parts it is a list of no
// version, which asks for all of it.
type kept struct {
	View
	Of *keptPart `json:"of,omitempty"`
}

type keptPart struct {
	Part    string `json:"part"`
	Total   int    `json:"total"`
	Epoch   string `json:"epoch"`
	Version uint64 `json:"version"`
}

// save keeps a view for the next start.
func save(path string, v View) error {
	k := kept{View: v}
	if !v.Part.All() {
		k.Of, k.Epoch, k.Version = &keptPart{v.Part.String(), v.Total, v.Epoch, v.Version}, "", 0
	}
	raw, err := json.Marshal(k)
	if err == nil {
		err = checksumfile.Write(path, raw)
	}
	if err != nil {
		return fmt.Errorf("keeping the list: %w", err)
	}
	return nil
}

// load reads a kept view. A file that is not there gives an empty one.
func load(path string) (View, error) {
	raw, err := checksumfile.Read(path, maxFile)
	if errors.Is(err, fs.ErrNotExist) {
		return View{}, nil
	}
	var k kept
	if err == nil {
		err = json.Unmarshal(raw, &k)
	}
	if err == nil && k.Of != nil {
		k.Epoch, k.Version, k.Total = k.Of.Epoch, k.Of.Version, k.Of.Total
		k.Part, err = registry.ParsePart(k.Of.Part)
	}
	if err != nil {
		return View{}, fmt.Errorf("the kept list: %w", err)
	}
	return k.View, nil
}
