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

// Config says where the list is and how to follow it.
type Config struct {
	Addresses []string      // of the replicas, host:port; one at least
	File      string        // where the list is kept for the next start; empty: nowhere
	Hold      time.Duration // of a watch; 0: DefaultHold
	HoldBack  time.Duration // of a list of another epoch that lost most entries; 0: DefaultHoldBack
	Log       *slog.Logger  // nil: none

	// ChooseSubset, if set, says which subset of the list to follow for whoever has subset now with these
	// entries, of total in all; entries are nil where none are known yet. It is called after answers, and must
	// not call the client.
	ChooseSubset func(now registry.Subset, total int, entries []registry.Endpoint) registry.Subset

	// OnChange, if set, gets every answer that changed the view, in order, from the goroutine that follows. It
	// must not call the client.
	OnChange func(registry.ListResponse)
}

const (
	// DefaultHold is short enough to notice a dead link soon.
	DefaultHold = 20 * time.Second
	// DefaultHoldBack is enough for a fleet to register anew with a service that lost its state.
	DefaultHoldBack = 30 * time.Second

	// What a silent watch misses counts as known 2 s past its hold, what a silent call for the complete list
	// misses after 6 s: some of that is for the call that is made anew.
	answerGrace         = 1500 * time.Millisecond // for an answer, past the hold
	completeReadTimeout = 5 * time.Second         // for the complete list, which is not held back
	dialTime            = time.Second
	// for a thousand clients that lost one replica, four tries a millisecond
	firstBackoff = 250 * time.Millisecond
	maxBackoff   = 2500 * time.Millisecond
	maxAnswer    = 128 << 20 // bytes of a list; one of the longest entries takes two thirds
)

// Client follows the registry and writes to it. It is safe for concurrent use.
type Client struct {
	config Config
	log    *slog.Logger
	http   *http.Client

	leasesFailed atomic.Bool // the last try to read a session's leases

	mu           sync.Mutex
	list         *ListState
	move         subsetMove
	start        time.Time
	current      int // the address that answered last
	changed      chan struct{}
	lastAnswerAt time.Time // when the service last answered; zero: never
}

// New makes a client. It begins with the cached list, if there is one that can be read; one that can't is
// logged.
func New(c Config) (*Client, error) {
	if err := checkAddresses(c.Addresses); err != nil {
		return nil, err
	}
	if c.Hold == 0 {
		c.Hold = DefaultHold
	}
	if c.HoldBack == 0 {
		c.HoldBack = DefaultHoldBack
	}
	k := &Client{
		config:  c,
		log:     c.Log,
		start:   time.Now(),
		changed: make(chan struct{}),
		current: rand.IntN(len(c.Addresses)),
		http: &http.Client{
			Transport: &http.Transport{
				DialContext:         (&net.Dialer{Timeout: dialTime}).DialContext,
				MaxIdleConnsPerHost: 2,
				IdleConnTimeout:     time.Minute,
			},
		},
	}
	if k.log == nil {
		k.log = slog.New(slog.DiscardHandler)
	}
	var before List
	if c.File != "" {
		var err error
		if before, err = readCache(c.File); err != nil {
			k.log.Warn("cached endpoint list unusable, starting without", "err", err)
		}
	}
	k.list = NewListState(c.HoldBack, before)
	if k.move.to = before.Subset; c.ChooseSubset == nil {
		k.move.to = registry.Subset{}
	} else if before.Version == 0 {
		k.move.to = c.ChooseSubset(registry.Subset{}, registry.MaxEndpoints, nil)
	}
	return k, nil
}

func checkAddresses(all []string) error {
	if len(all) == 0 {
		return errors.New("list client: no address")
	}
	for _, a := range all {
		if _, _, err := net.SplitHostPort(a); err != nil {
			return fmt.Errorf("list client: address: %w", err)
		}
	}
	return nil
}

// SetAddresses goes on at other addresses, from the next call on. What is known stays.
func (k *Client) SetAddresses(all []string) error {
	if err := checkAddresses(all); err != nil {
		return err
	}
	k.mu.Lock()
	k.config.Addresses, k.current = slices.Clone(all), rand.IntN(len(all))
	k.mu.Unlock()
	k.http.CloseIdleConnections()
	return nil
}

// List is the list as the client knows it, and when the service last answered; zero if it never has. A list
// that is kept serves on for ever.
func (k *Client) List() (list List, lastAnswerAt time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.list.List(), k.lastAnswerAt
}

// Changed is closed at the next change of the client's list.
func (k *Client) Changed() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.changed
}

// Close ends connections that stand idle.
func (k *Client) Close() { k.http.CloseIdleConnections() }

func (k *Client) call(ctx context.Context, method, address, path string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	resp, err := k.http.Do(req)
	if err != nil {
		k.http.CloseIdleConnections() // what silenced one may have silenced all
		return 0, nil, err
	}
	defer besteffort.Close(resp.Body)
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	return resp.StatusCode, raw, err
}
