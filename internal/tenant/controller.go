package tenant

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"golang.org/x/sync/errgroup"

	"wrenspread/internal/backoff"
)

// LeaseName is the lease whose holder runs the controller of all tenants.
const LeaseName = "tenants"

// Store keeps the records, and lists sessions, as they are now: a read that lags would let a step pass
// without a proxy that it has to wait for.
type Store interface {
	Stored(ctx context.Context) (Stored, error)
	Sessions(ctx context.Context) ([]Session, error)
	PendingOrders(ctx context.Context) ([]PendingOrder, error)
	// Put fails with ErrSuperseded where the fencing token is not the last any more.
	Put(ctx context.Context, p RecordWrite) (version uint64, err error)
}

// Environment tells what tenants are checked against.
type Environment interface {
	Policy(ctx context.Context) (PolicyFloors, error)
	Endpoints(ctx context.Context) ([]Endpoint, error)
}

// ErrSuperseded ends a controller that another has followed.
var ErrSuperseded = errors.New("tenant: another controller has it")

const (
	roundTimeout      = 20 * time.Second // for one round's calls
	maxParallelWrites = 16               // writes at once
	failurePause      = 500 * time.Millisecond
)

// Controller onboards, changes and removes them. It is the work of a lease.
type Controller struct {
	Store       Store
	Environment Environment
	Interval    time.Duration // between two looks
	Times       Times
	Log         *slog.Logger

	HashTree bool // it writes the catalogue as a hash tree, of which a proxy may read leaves
}

// Run works until ctx ends or another controller follows. After a call that failed it begins from what is on
// record: whatever a write came to, the next round sees it.
func (c *Controller) Run(ctx context.Context) error {
	start := time.Now()
	var m *StateMachine
	for ctx.Err() == nil {
		if m == nil {
			s, err := c.stored(ctx)
			if err != nil {
				c.Log.Warn("reading the tenants' records failed", "err", err)
				backoff.Sleep(ctx, failurePause)
				continue
			}
			m = Load(time.Since(start), s, c.Times, c.HashTree)
		}
		err := c.runRound(ctx, m, func() time.Duration { return time.Since(start) })
		switch {
		case errors.Is(err, ErrSuperseded):
			return err
		case err != nil:
			c.Log.Warn("round failed, the next one starts from the records", "err", err)
			m = nil
			backoff.Sleep(ctx, failurePause)
		default:
			backoff.Sleep(ctx, c.Interval)
		}
	}
	return ctx.Err()
}

func (c *Controller) stored(ctx context.Context) (Stored, error) {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	return c.Store.Stored(ctx)
}

// runRound makes one look and carries out what it calls for. The clock is read after the
// look: a member counts as away only from when that is known.
func (c *Controller) runRound(ctx context.Context, m *StateMachine, now func() time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	l, err := c.observe(ctx, m.IsIdle())
	if err != nil {
		return err
	}
	puts, err := m.Handle(now(), l)
	if err != nil {
		return err
	}
	for len(puts) > 0 {
		n := 1
		for n < len(puts) && puts[n].Stage == puts[0].Stage {
			n++
		}
		if err := c.write(ctx, m, puts[:n]); err != nil {
			return err
		}
		puts = puts[n:]
	}
	return nil
}

// observe reads what the machine needs; what tenants are checked against only where one is
// to be. Sessions come last: who is waited for is decided by them.
func (c *Controller) observe(ctx context.Context, rests bool) (l Observation, err error) {
	if l.Orders, err = c.Store.PendingOrders(ctx); err != nil {
		return l, fmt.Errorf("tenant: orders: %w", err)
	}
	if len(l.Orders) > 0 || !rests {
		if l.Policy, err = c.Environment.Policy(ctx); err != nil {
			return l, fmt.Errorf("tenant: policy: %w", err)
		}
		if l.Endpoints, err = c.Environment.Endpoints(ctx); err != nil {
			return l, fmt.Errorf("tenant: boxes: %w", err)
		}
	}
	if l.Sessions, err = c.Store.Sessions(ctx); err != nil {
		return l, fmt.Errorf("tenant: sessions: %w", err)
	}
	return l, nil
}

// write carries out the writes of one stage.
func (c *Controller) write(ctx context.Context, m *StateMachine, puts []RecordWrite) error {
	versions := make([]uint64, len(puts))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxParallelWrites)
	for i, p := range puts {
		g.Go(func() (err error) {
			if versions[i], err = c.Store.Put(ctx, p); err != nil {
				return fmt.Errorf("tenant: writing %s: %w", p.Key, err)
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	for i, p := range puts {
		m.RecordWritten(p, versions[i])
		c.Log.Debug("written", "key", p.Key, "version", versions[i])
	}
	return nil
}
