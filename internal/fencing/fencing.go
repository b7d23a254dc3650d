// Package fencing rejects orders of earlier lease holders. An order is a request from the holder of a lease
// and carries the holder's fencing token. An earlier holder may not know that it has lost the lease; its
// orders have a lower token.
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

// Header is the HTTP header that carries a fencing token: the lease's name, a space and the number.
const Header = "X-Indigo-Fence"

const (
	// MaxLeases bounds the number of leases whose tokens a guard stores.
	MaxLeases = registry.MaxLeases

	fileName    = "fences"
	maxFileSize = 16 << 20 // bytes
)

// Errors of Check and Parse.
var (
	// ErrInvalidToken means that a token has no valid lease name or no number above 0.
	ErrInvalidToken = errors.New("fencing: want a lease's name and a number above 0")
	// ErrTooManyLeases means that the guard already stores the tokens of MaxLeases other leases.
	ErrTooManyLeases = errors.New("fencing: too many leases")
)

// StaleError rejects an order of an earlier holder: a later holder of the lease has a higher token.
type StaleError struct {
	registry.FencingToken
	Highest uint64 // highest number that the guard has admitted
}

func (e *StaleError) Error() string {
	return fmt.Sprintf("lease %s: fencing token %d is older than %d", e.Lease, e.Number, e.Highest)
}

// Guard stores the highest token of each lease. It is safe for concurrent use.
type Guard struct {
	path    string // empty: the tokens are stored in memory only
	mu      sync.Mutex
	highest map[string]uint64 // highest number by lease
}

// Open returns a guard that stores the tokens in a folder, or in memory if folder is empty. A damaged file is
// an error, because without its tokens the guard would admit orders of earlier holders.
func Open(folder string) (*Guard, error) {
	g := &Guard{highest: map[string]uint64{}}
	if folder == "" {
		return g, nil
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, fmt.Errorf("fencing: %w", err)
	}
	g.path = filepath.Join(folder, fileName)
	raw, err := checksumfile.Read(g.path, maxFileSize)
	if errors.Is(err, fs.ErrNotExist) {
		return g, nil
	}
	if err != nil {
		return nil, fmt.Errorf("fencing: %w", err)
	}
	if err := json.Unmarshal(raw, &g.highest); err != nil {
		return nil, fmt.Errorf("fencing: %s: %w", g.path, err)
	}
	return g, nil
}

// Check admits or rejects an order by its token. It rejects with a *StaleError, ErrInvalidToken,
// ErrTooManyLeases or an error of the guard's folder. A token that is higher than all earlier tokens of its
// lease is stored before the order is admitted.
func (g *Guard) Check(token registry.FencingToken) error {
	if token.Lease == "" || len(token.Lease) > registry.MaxTextBytes || token.Number == 0 {
		return ErrInvalidToken
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	highest, known := g.highest[token.Lease]
	switch {
	case token.Number < highest:
		return &StaleError{token, highest}
	case token.Number == highest:
		return nil
	case !known && len(g.highest) >= MaxLeases:
		return fmt.Errorf("%w: %d are known", ErrTooManyLeases, len(g.highest))
	}
	if err := g.store(token); err != nil {
		return fmt.Errorf("fencing: storing a token: %w", err)
	}
	g.highest[token.Lease] = token.Number
	return nil
}

// store writes the tokens, including a new one, to the guard's file. The caller holds the lock.
func (g *Guard) store(token registry.FencingToken) error {
	if g.path == "" {
		return nil
	}
	next := maps.Clone(g.highest)
	next[token.Lease] = token.Number
	raw, err := json.Marshal(next)
	if err != nil {
		return err
	}
	return checksumfile.Write(g.path, raw)
}

// Format returns the value of Header for a token.
func Format(token registry.FencingToken) string {
	return fmt.Sprintf("%s %d", token.Lease, token.Number)
}

// Parse parses a value of Header.
func Parse(value string) (registry.FencingToken, error) {
	space := strings.LastIndexByte(value, ' ')
	if space <= 0 {
		return registry.FencingToken{}, fmt.Errorf("%s: %q: %w", Header, value, ErrInvalidToken)
	}
	number, err := strconv.ParseUint(value[space+1:], 10, 64)
	if err != nil {
		return registry.FencingToken{}, fmt.Errorf("%s: %q: %w", Header, value, ErrInvalidToken)
	}
	return registry.FencingToken{Lease: value[:space], Number: number}, nil
}

// CheckRequest checks the token of an HTTP request. A request without a token passes. status is the status of
// the response if the request is rejected: 400 for a malformed token, 409 for a stale one, 503 for any other
// error.
func (g *Guard) CheckRequest(r *http.Request) (status int, err error) {
	value := r.Header.Get(Header)
	if value == "" {
		return http.StatusOK, nil
	}
	token, err := Parse(value)
	if err != nil {
		return http.StatusBadRequest, err
	}
	err = g.Check(token)
	var stale *StaleError
	switch {
	case err == nil:
		return http.StatusOK, nil
	case errors.As(err, &stale):
		return http.StatusConflict, err
	}
	return http.StatusServiceUnavailable, err
}
