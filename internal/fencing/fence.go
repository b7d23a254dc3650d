// Package fence guards whatever takes orders from the holder of a duty: an order
// of an earlier holder, which may not know yet that it is none any more, is
// turned down.
package fencing

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"

	"wrenspread/internal/checksumfile"
	"wrenspread/internal/registry"
)

// Header carries a fence on a call: the duty's name, a space and the number.
const Header = "X-Indigo-Fence"

// Bounds on what a guard keeps.
const (
	MaxLeases = registry.MaxLeases
	maxFile   = 16 << 20 // bytes
)

// StaleError is the refusal of an order whose holder has been followed by another.
type StaleError struct {
	registry.FencingToken
	Highest uint64 // the highest that was seen
}

func (s *StaleError) Error() string {
	return fmt.Sprintf("fence %d of %s is behind %d, which was seen here: another has held it since", s.FencingToken.Number, s.Lease, s.Highest)
}

// Guard remembers the highest fence of each duty. It is safe for concurrent use.
type Guard struct {
	path    string // empty: it forgets with its process
	mu      sync.Mutex
	highest map[string]uint64
}

// Open makes a guard that keeps what it has seen in a folder, or only in memory
// where none is named. A damaged file is an error: to begin without it would let
// earlier holders in.
func Open(folder string) (*Guard, error) {
	g := &Guard{highest: map[string]uint64{}}
	if folder == "" {
		return g, nil
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, fmt.Errorf("fences: %w", err)
	}
	g.path = filepath.Join(folder, "fences")
	raw, err := checksumfile.Read(g.path, maxFile)
	if errors.Is(err, fs.ErrNotExist) {
		return g, nil
	}
	if err == nil {
		err = json.Unmarshal(raw, &g.highest)
	}
	if err != nil {
		return nil, fmt.Errorf("fences: %w", err)
	}
	return g, nil
}

// Check takes an order of a holder, or says why not: *Stale, or an error of the
// guard's own folder. An order under a higher fence than any before is taken only
// once that is kept.
func (g *Guard) Check(f registry.FencingToken) error {
	if f.Lease == "" || len(f.Lease) > registry.MaxText || f.Number == 0 {
		return errors.New("fence: want a duty's name and a number above 0")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	has, known := g.highest[f.Lease]
	switch {
	case f.Number < has:
		return &StaleError{f, has}
	case f.Number == has:
		return nil
	case !known && len(g.highest) >= MaxLeases:
		return fmt.Errorf("fence: %d duties have been seen already", len(g.highest))
	}
	if g.path != "" {
		next := maps.Clone(g.highest)
		next[f.Lease] = f.Number
		raw, err := json.Marshal(next)
		if err == nil {
			err = checksumfile.Write(g.path, raw)
		}
		if err != nil {
			return fmt.Errorf("fence: it can't be kept: %w", err)
		}
	}
	g.highest[f.Lease] = f.Number
	return nil
}

// Format gives the header's value.
func Format(f registry.FencingToken) string { return fmt.Sprintf("%s %d", f.Lease, f.Number) }

// Parse reads the header's value.
func Parse(value string) (registry.FencingToken, error) {
	i := strings.LastIndexByte(value, ' ')
	if i <= 0 {
		return registry.FencingToken{}, fmt.Errorf("%s: %q is not a duty's name and a number", Header, value)
	}
	n, err := strconv.ParseUint(value[i+1:], 10, 64)
	if err != nil {
		return registry.FencingToken{}, fmt.Errorf("%s: %q is not a duty's name and a number", Header, value)
	}
	return registry.FencingToken{Lease: value[:i], Number: n}, nil
}

// CheckRequest checks the fence of a call. A call without one passes. status is
// what the caller is to be answered with an error: 400, 409 or 503.
func (g *Guard) CheckRequest(r *http.Request) (status int, err error) {
	value := r.Header.Get(Header)
	if value == "" {
		return http.StatusOK, nil
	}
	f, err := Parse(value)
	if err != nil {
		return http.StatusBadRequest, err
	}
	var stale *StaleError
	switch err := g.Check(f); {
	case err == nil:
		return http.StatusOK, nil
	case errors.As(err, &stale):
		return http.StatusConflict, err
	default:
		return http.StatusServiceUnavailable, err
	}
}
