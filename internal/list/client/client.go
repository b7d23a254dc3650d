package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"indigotack/internal/list"
	"indigotack/internal/pause"
)

// Config says where the list is and how to follow it.
type Config struct {
	Addresses []string      // of the replicas, host:port; one at least
	File      string        // where the list is kept for the next start; empty: nowhere
	Hold      time.Duration // of a watch; 0: DefaultHold
	HoldBack  time.Duration // of a list of another epoch that lost most entries; 0: DefaultHoldBack
	Log       *slog.Logger  // nil: none

	// Taken, if there is one, gets every answer that changed the view, in order, from
	// the goroutine that follows. It must not call the client.
	Taken func(list.Answer)
}

const (
	// DefaultHold is short enough to notice a dead link soon.
	DefaultHold = 20 * time.Second
	// DefaultHoldBack is enough for a fleet to register anew with a service that lost its state.
	DefaultHoldBack = 30 * time.Second

	grace     = 2 * time.Second // for an answer, past the hold
	dialTime  = time.Second
	firstWait = 250 * time.Millisecond // for a thousand clients that lost one replica, four tries a millisecond
	mostWait  = 5 * time.Second
	maxAnswer = 64 << 20 // bytes of a list
)

// Client follows the list service and writes to it. It is safe for concurrent use.
type Client struct {
	c    Config
	log  *slog.Logger
	http *http.Client

	mu      sync.Mutex
	belief  *Belief
	start   time.Time
	at      int // the address that answered last
	changed chan struct{}
	told    time.Time // when the service last answered; zero: never
}

// New makes a client. It begins with the kept list, if there is one that can be
// read; one that can't is told in the log.
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
	k := &Client{c: c, log: c.Log, start: time.Now(), changed: make(chan struct{}), at: rand.IntN(len(c.Addresses)),
		http: &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: dialTime}).DialContext, MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute}}}
	if k.log == nil {
		k.log = slog.New(slog.DiscardHandler)
	}
	var before View
	if c.File != "" {
		var err error
		if before, err = load(c.File); err != nil {
			k.log.Warn("it begins without a list", "err", err)
		}
	}
	k.belief = NewBelief(c.HoldBack, before)
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
	k.c.Addresses, k.at = slices.Clone(all), rand.IntN(len(all))
	k.mu.Unlock()
	k.http.CloseIdleConnections()
	return nil
}

// View is the list as it is believed, and when the service last answered; zero
// if it never has. A list that is kept serves on for ever.
func (k *Client) View() (v View, told time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.belief.View(), k.told
}

// Changed is closed at the next change of the view.
func (k *Client) Changed() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.changed
}

// Close ends connections that stand idle.
func (k *Client) Close() { k.http.CloseIdleConnections() }

// Follow watches the list until ctx ends, over whatever failures of the service.
func (k *Client) Follow(ctx context.Context) {
	wait := backoff{firstWait}
	for ctx.Err() == nil {
		verdict, err := k.watch(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil && (verdict == Taken || verdict == Nothing && k.watching()):
			wait = backoff{firstWait}
			continue
		case err != nil:
			k.log.Warn("the list service does not answer; the last list stands", "address", k.address(), "err", err)
		case verdict == Kept:
			k.log.Error("a list of another epoch lacks most entries and is held back", "for", k.c.HoldBack)
		case verdict == Stale:
			k.log.Warn("a replica has an older list than this client", "address", k.address())
		}
		if verdict != Kept {
			k.turn()
		}
		if !pause.For(ctx, wait.next(rand.Int64N)) {
			return
		}
	}
}

// backoff is the longest that the next wait may be.
type backoff struct{ most time.Duration }

// next draws a wait evenly from the whole range, so that those who lost the
// service together do not return together, and doubles the range up to mostWait.
func (b *backoff) next(draw func(int64) int64) time.Duration {
	d := time.Duration(draw(int64(b.most)) + 1)
	b.most = min(2*b.most, mostWait)
	return d
}

// watching tells whether the next call is held until there is news; one for the whole list is not.
func (k *Client) watching() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	from, _ := k.belief.Ask()
	return from > 0
}

func (k *Client) address() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.c.Addresses[k.at]
}

// turn goes on to the next replica.
func (k *Client) turn() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.at = (k.at + 1) % len(k.c.Addresses)
}

// watch makes one call and takes its answer.
func (k *Client) watch(ctx context.Context) (Verdict, error) {
	k.mu.Lock()
	from, epoch := k.belief.Ask()
	k.mu.Unlock()
	q := url.Values{"hold_ms": {strconv.FormatInt(k.c.Hold.Milliseconds(), 10)}}
	if from > 0 {
		q.Set("from", strconv.FormatUint(from, 10))
		q.Set("epoch", epoch)
	}
	ctx, cancel := context.WithTimeout(ctx, k.c.Hold+grace)
	defer cancel()
	status, body, err := k.call(ctx, http.MethodGet, k.address(), "/registry/instances?"+q.Encode(), nil)
	if err != nil {
		return Nothing, err
	}
	if status != http.StatusOK {
		return Nothing, refusal(status, body)
	}
	var a list.Answer
	if err := json.Unmarshal(body, &a); err != nil {
		return Nothing, fmt.Errorf("an answer that can't be read: %w", err)
	}
	for _, err := range a.Odd {
		k.log.Warn("an entry of the list is passed over", "err", err)
	}
	return k.take(from, a), nil
}

func (k *Client) take(from uint64, a list.Answer) Verdict {
	k.mu.Lock()
	verdict := k.belief.Take(time.Since(k.start), from, a)
	if verdict != Stale {
		k.told = time.Now()
	}
	var v View
	if verdict == Taken {
		if k.c.File != "" {
			v = k.belief.View()
		}
		close(k.changed)
		k.changed = make(chan struct{})
	}
	k.mu.Unlock()
	if verdict == Taken && k.c.Taken != nil {
		k.c.Taken(a)
	}
	if verdict == Taken && k.c.File != "" {
		if err := save(k.c.File, v); err != nil {
			k.log.Warn("the list is not kept for the next start", "err", err)
		}
	}
	return verdict
}

func (k *Client) call(ctx context.Context, method, address, path string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	resp, err := k.http.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	return resp.StatusCode, raw, err
}
