package client

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"

	"wrenspread/internal/checksumfile"
	"wrenspread/internal/registry"
)

// maxCacheFile bounds a cache file that is read, in bytes: a list of the greatest size takes a tenth, one of
// the longest entries two thirds.
const maxCacheFile = 128 << 20

// cachedList is the form of a list in its cache file. The epoch and version of a subset stand in a place of
// their own: to a program that knows no subsets the file is a list without a version, which makes it ask for
// the complete list.
type cachedList struct {
	List
	SubsetState *cachedSubset `json:"of,omitempty"`
}

type cachedSubset struct {
	Subset  string `json:"part"` // text form of a registry.Subset
	Total   int    `json:"total"`
	Epoch   string `json:"epoch"`
	Version uint64 `json:"version"`
}

// writeCache stores a list for the next start.
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

// readCache reads a stored list. A file that does not exist gives an empty one.
func readCache(path string) (List, error) {
	raw, err := checksumfile.Read(path, maxCacheFile)
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
