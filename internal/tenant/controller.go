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

// Store reads and writes the current records, and lists the current sessions. A stale read would let a step
// proceed without a proxy that it has to wait for.
type Store interface {
	Stored(ctx context.Context) (Stored, error)
	Sessions(ctx context.Context) ([]Session, error)
	PendingOrders(ctx context.Context) ([]PendingOrder, error)
	// Put fails with ErrSuperseded if there is a newer fencing token.
	Put(ctx context.Context, p RecordWrite) (version uint64, err error)
}

// Environment provides the policy and the endpoints against which tenants are checked.
type Environment interface {
	Policy(ctx context.Context) (PolicyFloors, error)
	Endpoints(ctx context.Context) ([]Endpoint, error)
}

// ErrSuperseded is the error of a controller whose lease another controller has taken over.
var ErrSuperseded = errors.New("tenant: another controller has taken over the lease")

const (
	roundTimeout     = 20 * time.Second // timeout of all calls of a round
	maxParallelCalls = 16               // reads or writes at a time
	failureBackoff   = 500 * time.Millisecond
)

// Controller onboards, changes and removes tenants. Only the holder of the lease LeaseName runs it.
type Controller struct {
	Store       Store
	Environment Environment
	Interval    time.Duration // between two rounds
	Times       Times
	Log         *slog.Logger

	HashTree bool // write the catalogue as a hash tree, so that a proxy can read single leaves
}

// Run runs rounds until ctx ends or another controller has taken over. After a failed call it loads the state
// on record again, because it does not know whether the call took effect.
func (c *Controller) Run(ctx context.Context) error {
	start := time.Now()
	var m *StateMachine
	for ctx.Err() == nil {
		if m == nil {
			s, err := c.stored(ctx)
			if err != nil {
				c.Log.Warn("read of the tenants' records failed, retrying", "err", err)
				backoff.Sleep(ctx, failureBackoff)
				continue
			}
			m = Load(time.Since(start), s, c.Times, c.HashTree)
		}
		err := c.runRound(ctx, m, func() time.Duration { return time.Since(start) })
		switch {
		case errors.Is(err, ErrSuperseded):
			return err
		case err != nil:
			c.Log.Warn("round failed, the next round loads the records again", "err", err)
			m = nil
			backoff.Sleep(ctx, failureBackoff)
		default:
			backoff.Sleep(ctx, c.Interval)
		}
	}
	return ctx.Err()
}

// stored reads the state on record within roundTimeout.
func (c *Controller) stored(ctx context.Context) (Stored, error) {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	return c.Store.Stored(ctx)
}

// runRound makes an observation and carries out the writes that follow from it. The clock is read after the
// observation, so that a member counts as absent only from the time at which its absence is known.
func (c *Controller) runRound(ctx context.Context, m *StateMachine, now func() time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	observation, err := c.observe(ctx, m.IsIdle())
	if err != nil {
		return err
	}
	writes, err := m.Handle(now(), observation)
	if err != nil {
		return err
	}
	for len(writes) > 0 {
		n := 1
		for n < len(writes) && writes[n].Stage == writes[0].Stage {
			n++
		}
		if err := c.write(ctx, m, writes[:n]); err != nil {
			return err
		}
		writes = writes[n:]
	}
	return nil
}

// observe reads the state machine's input. It reads the policy and the endpoints only if there are orders or
// tenants in transition, which may have to be checked against them. It reads the sessions last, as they
// decide which proxies a step waits for.
func (c *Controller) observe(ctx context.Context, idle bool) (observation Observation, err error) {
	if observation.Orders, err = c.Store.PendingOrders(ctx); err != nil {
		return observation, fmt.Errorf("tenant: read orders: %w", err)
	}
	if len(observation.Orders) > 0 || !idle {
		if observation.Policy, err = c.Environment.Policy(ctx); err != nil {
			return observation, fmt.Errorf("tenant: read policy: %w", err)
		}
		if observation.Endpoints, err = c.Environment.Endpoints(ctx); err != nil {
			return observation, fmt.Errorf("tenant: read endpoints: %w", err)
		}
	}
	if observation.Sessions, err = c.Store.Sessions(ctx); err != nil {
		return observation, fmt.Errorf("tenant: read sessions: %w", err)
	}
	return observation, nil
}

// write carries out the writes of one stage.
func (c *Controller) write(ctx context.Context, m *StateMachine, writes []RecordWrite) error {
	versions := make([]uint64, len(writes))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxParallelCalls)
	for i, write := range writes {
		g.Go(func() (err error) {
			if versions[i], err = c.Store.Put(ctx, write); err != nil {
				return fmt.Errorf("tenant: write record %s: %w", write.Key, err)
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	for i, write := range writes {
		m.RecordWritten(write, versions[i])
		c.Log.Debug("record written", "key", write.Key, "version", versions[i])
	}
	return nil
}
