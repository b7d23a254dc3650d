package client

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/registry"
)

// Config configures a Client.
type Config struct {
	Addresses     []string      // addresses of the replicas, host:port; at least one
	CacheFile     string        // file in which the list is cached for the next start; empty: none
	Hold          time.Duration // time for which a replica may delay its response to a watch; 0: DefaultHold
	DeferralDelay time.Duration // delay before a suspect list of another epoch is used; 0: DefaultDeferralDelay
	Log           *slog.Logger  // nil: no logging

	// ChooseSubset, if set, returns the subset of the list to follow. current is the subset that is followed,
	// total the number of entries in the complete list, and entries the known entries of current, or nil if
	// none are known yet. ChooseSubset is called after responses and must not call the client.
	ChooseSubset func(current registry.Subset, total int, entries []registry.Endpoint) registry.Subset

	// OnChange, if set, is called with every response that changed the list, in order, from the goroutine that
	// runs Follow. OnChange must not call the client.
	OnChange func(registry.ListResponse)
}

const (
	// DefaultHold is the default of Config.Hold. It is short enough to notice a dead connection soon.
	DefaultHold = 20 * time.Second
	// DefaultDeferralDelay is the default of Config.DeferralDelay. It is long enough for a fleet to register
	// again with a service that has lost its state.
	DefaultDeferralDelay = 30 * time.Second

	// A change that a silent watch misses must be known 2 s after the end of the watch's hold. A change that a
	// silent call for the complete list misses must be known after 6 s. The timeouts end early enough for the
	// next call.
	responseGrace       = 1500 * time.Millisecond // for a response, after the end of the hold
	completeReadTimeout = 5 * time.Second         // for the complete list, which is sent without a hold
	dialTimeout         = time.Second
	// initialBackoff spreads the attempts of a thousand clients that lose a replica to four per millisecond.
	initialBackoff   = 250 * time.Millisecond
	maxBackoff       = 2500 * time.Millisecond
	maxResponseBytes = 128 << 20 // the largest list, with entries of maximal length, takes two thirds of it
)

// Client follows the registry and writes to it. It is safe for concurrent use.
type Client struct {
	config Config
	log    *slog.Logger
	http   *http.Client

	leasesFailed atomic.Bool // the last attempt to read a session's leases failed

	mu             sync.Mutex
	list           *ListState
	pendingMove    subsetMove
	start          time.Time
	current        int           // index of the address that calls are made to
	changed        chan struct{} // closed and replaced when the list changes
	lastResponseAt time.Time     // when the service last answered; zero: never
}

// New returns a client. It begins with the cached list if there is one. An unreadable cache file is logged
// and otherwise ignored.
func New(c Config) (*Client, error) {
	if err := checkAddresses(c.Addresses); err != nil {
		return nil, err
	}
	if c.Hold == 0 {
		c.Hold = DefaultHold
	}
	if c.DeferralDelay == 0 {
		c.DeferralDelay = DefaultDeferralDelay
	}
	k := &Client{
		config:  c,
		log:     c.Log,
		start:   time.Now(),
		changed: make(chan struct{}),
		current: rand.IntN(len(c.Addresses)),
		http: &http.Client{
			Transport: &http.Transport{
				DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
				MaxIdleConnsPerHost: 2,
				IdleConnTimeout:     time.Minute,
			},
		},
	}
	if k.log == nil {
		k.log = slog.New(slog.DiscardHandler)
	}
	var cached List
	if c.CacheFile != "" {
		var err error
		if cached, err = readCache(c.CacheFile); err != nil {
			k.log.Warn("cached endpoint list is unusable, starting without a list", "err", err)
		}
	}
	k.list = NewListState(c.DeferralDelay, cached)
	if k.pendingMove.target = cached.Subset; c.ChooseSubset == nil {
		k.pendingMove.target = registry.Subset{}
	} else if cached.Version == 0 {
		k.pendingMove.target = c.ChooseSubset(registry.Subset{}, registry.MaxEndpoints, nil)
	}
	return k, nil
}

// checkAddresses validates the addresses of the replicas.
func checkAddresses(addresses []string) error {
	if len(addresses) == 0 {
		return errors.New("list client: no address")
	}
	for _, a := range addresses {
		if _, _, err := net.SplitHostPort(a); err != nil {
			return fmt.Errorf("list client: address: %w", err)
		}
	}
	return nil
}

// SetAddresses replaces the addresses of the replicas, starting with the next call. The known list stays.
func (k *Client) SetAddresses(addresses []string) error {
	if err := checkAddresses(addresses); err != nil {
		return err
	}
	k.mu.Lock()
	k.config.Addresses, k.current = slices.Clone(addresses), rand.IntN(len(addresses))
	k.mu.Unlock()
	k.http.CloseIdleConnections()
	return nil
}

// List returns the list as the client knows it, and when the service last answered, or zero if it never has.
// The list does not expire while the service is unreachable.
func (k *Client) List() (list List, lastResponseAt time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.list.List(), k.lastResponseAt
}

// Changed returns a channel that is closed at the next change of the client's list.
func (k *Client) Changed() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.changed
}

// Close closes idle connections.
func (k *Client) Close() { k.http.CloseIdleConnections() }

// call makes one HTTP request to a replica and returns the status and the body of the response.
func (k *Client) call(ctx context.Context, method, address, path string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	resp, err := k.http.Do(req)
	if err != nil {
		k.http.CloseIdleConnections() // the cause of the failure may affect the other connections, too
		return 0, nil, err
	}
	defer besteffort.Close(resp.Body)
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return resp.StatusCode, raw, err
}
