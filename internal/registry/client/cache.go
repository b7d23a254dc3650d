package client

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"

	"wrenspread/internal/checksumfile"
	"wrenspread/internal/registry"
)

// maxCacheFileBytes bounds the size of a cache file. A list with the largest number of entries takes a tenth
// of it, or two thirds if all entries have maximal length.
const maxCacheFileBytes = 128 << 20

// cachedList is the form of a list in its cache file. If the list covers a subset, its epoch and version are
// stored in SubsetState only. A program that knows no subsets therefore reads a list without a version and
// requests the complete list.
type cachedList struct {
	List
	SubsetState *cachedSubset `json:"of,omitempty"`
}

// cachedSubset describes the subset that a cached list covers.
type cachedSubset struct {
	Subset  string `json:"part"`  // text form of a registry.Subset
	Total   int    `json:"total"` // number of entries in the complete list
	Epoch   string `json:"epoch"`
	Version uint64 `json:"version"`
}

// writeCache stores a list in a file for the next start of the process.
func writeCache(path string, list List) error {
	cached := cachedList{List: list}
	if !list.Subset.IsAll() {
		cached.SubsetState = &cachedSubset{
			Subset:  list.Subset.String(),
			Total:   list.Total,
			Epoch:   list.Epoch,
			Version: list.Version,
		}
		cached.Epoch = ""
		cached.Version = 0
	}
	raw, err := json.Marshal(cached)
	if err == nil {
		err = checksumfile.Write(path, raw)
	}
	if err != nil {
		return fmt.Errorf("endpoint list cache: %w", err)
	}
	return nil
}

// readCache reads a list that writeCache has stored. It returns an empty list if the file does not exist.
func readCache(path string) (List, error) {
	raw, err := checksumfile.Read(path, maxCacheFileBytes)
	if errors.Is(err, fs.ErrNotExist) {
		return List{}, nil
	}
	if err != nil {
		return List{}, fmt.Errorf("endpoint list cache: %w", err)
	}
	var cached cachedList
	if err := json.Unmarshal(raw, &cached); err != nil {
		return List{}, fmt.Errorf("endpoint list cache: %w", err)
	}
	if state := cached.SubsetState; state != nil {
		cached.Epoch = state.Epoch
		cached.Version = state.Version
		cached.Total = state.Total
		if cached.Subset, err = registry.ParseSubset(state.Subset); err != nil {
			return List{}, fmt.Errorf("endpoint list cache: %w", err)
		}
	}
	return cached.List, nil
}
