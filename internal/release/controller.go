package release

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"
)

// Store keeps a release's record. Save fails with ErrSuperseded where the record has
// another version than was loaded, or the controller's fencing token is not the last.
type Store interface {
	Load(ctx context.Context) (raw []byte, version uint64, err error)
	Save(ctx context.Context, raw []byte, version uint64) (uint64, error)
	// Order returns the operator's order that waits, if one does.
	Order(ctx context.Context) (id, order, who string, err error)
	// ClearOrder removes the order, once the record says that this one was taken.
	ClearOrder(ctx context.Context) error
}

// ErrSuperseded ends a controller that another has followed.
var ErrSuperseded = errors.New("release: another controller has it")

// Executor carries out the actions of a release.
type Executor interface {
	// Unavailable returns the servers that do not serve for other reasons.
	Unavailable(ctx context.Context) (Unavailable, error)
	// Do carries an action out, or a part of it. It is done once done is true, and
	// may be called again at any time, also for one that was done.
	Do(ctx context.Context, a Action) (done bool, err error)
	// Counts tells what the named servers, and the rest, have done so far, by proxy. A proxy that can't be asked
	// is not there.
	Counts(ctx context.Context, named []string) (map[string]Comparison, error)
}

// Controller carries a release out. It runs under a lease.
type Controller struct {
	Store    Store
	Executor Executor
	Interval time.Duration // between two looks
	Log      *slog.Logger
	Clock    func() time.Duration // a monotonic clock; nil: the machine's

	state              *State
	version            uint64
	startedAt          time.Duration // of this controller, by its clock
	releaseTimeAtStart time.Duration // the release's clock then
}

const (
	actionTimeout      = 10 * time.Second // for one action, or a part of it
	maxParallelActions = 16               // actions carried out at once
)

func (c *Controller) now() time.Duration { return c.releaseTimeAtStart + c.Clock() - c.startedAt }

// Run carries the release on from its record until it is over and no server is out of service, until ctx
// ends, or another controller has it.
func (c *Controller) Run(ctx context.Context) error {
	raw, version, err := c.Store.Load(ctx)
	if err != nil {
		return fmt.Errorf("release: loading the record: %w", err)
	}
	if c.state, err = Decode(raw); err != nil {
		return err
	}
	if c.Clock == nil {
		start := time.Now()
		c.Clock = func() time.Duration { return time.Since(start) }
	}
	c.version, c.startedAt, c.releaseTimeAtStart = version, c.Clock(), c.state.Clock
	t := time.NewTicker(c.Interval)
	defer t.Stop()
	for {
		if err := c.runRound(ctx); err != nil {
			return err
		}
		if c.state.Phase.IsFinal() && len(c.state.Actions()) == 0 {
			return nil
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// runRound makes one round: orders, what begins, what is carried out, what came of it.
func (c *Controller) runRound(ctx context.Context) error {
	told, err := c.followOrder(ctx)
	if err != nil {
		return err
	}
	view, err := c.Executor.Unavailable(ctx)
	if err != nil { // nothing new begins on a guess
		c.Log.Warn("reading the fleet's state failed", "err", err)
	} else {
		c.state.Step(c.now(), view)
	}
	if err := c.save(ctx); err != nil {
		return err
	}
	if told {
		if err := c.Store.ClearOrder(ctx); err != nil {
			return err
		}
	}
	for _, r := range c.carryOut(ctx, c.state.Actions()) {
		if r.done || r.err != nil {
			c.state.Done(c.now(), r.action, r.err)
		}
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	c.evaluateGate(ctx)
	return c.save(ctx)
}

// followOrder follows the order that waits, and reports whether there is one. Its id goes into the record, so
// that it is followed once.
func (c *Controller) followOrder(ctx context.Context) (told bool, err error) {
	id, order, who, err := c.Store.Order(ctx)
	if err != nil || id == "" {
		return false, err
	}
	if id == c.state.LastOrder {
		return true, nil
	}
	c.state.LastOrder = id
	if err := c.state.Order(c.now(), order, who); err != nil {
		c.state.addNote(c.now(), "not followed: %v, ordered by %s", err, who)
		c.Log.Warn("order rejected", "err", err, "by", who)
	}
	return true, nil
}

// save writes the record, also where only its clock has moved: the write tells a
// controller whether another has followed it.
func (c *Controller) save(ctx context.Context) error {
	c.state.Clock = c.now()
	raw, err := Encode(c.state)
	if err != nil {
		return err
	}
	if c.version, err = c.Store.Save(ctx, raw, c.version); err != nil {
		return fmt.Errorf("release: writing the record: %w", err)
	}
	return nil
}

// result is what came of an action.
type result struct {
	action Action
	done   bool
	err    error
}

func (c *Controller) carryOut(ctx context.Context, all []Action) []result {
	results := make([]result, len(all))
	room := make(chan bool, maxParallelActions)
	var open sync.WaitGroup
	for i, a := range all {
		room <- true
		open.Go(func() {
			defer func() { <-room }()
			call, cancel := context.WithTimeout(ctx, actionTimeout)
			defer cancel()
			done, err := c.Executor.Do(call, a)
			results[i] = result{a, done, err}
		})
	}
	open.Wait()
	return results
}

// evaluateGate notes the figures at the beginning of a soak, and asks for a verdict at its end.
func (c *Controller) evaluateGate(ctx context.Context) {
	s := c.state
	if s.Phase != Soaking {
		return
	}
	var named []string
	for _, t := range s.targetsOf(s.Wave) {
		named = append(named, t.Name)
	}
	now, err := c.Executor.Counts(ctx, named)
	if err != nil {
		c.Log.Warn("no figures for the gate", "err", err)
		return
	}
	if s.Baseline == nil {
		s.Baseline = now
		return
	}
	if !s.Soaked(c.now()) {
		return
	}
	those, rest := Since(s.Baseline, now)
	verdict := s.Plan.Gate.Judge(those, rest, len(named) == len(s.Targets))
	s.Judged(
		c.now(),
		verdict,
		fmt.Sprintf(
			"gate: %s, %d of %d failed and %d were late, of the rest %d of %d and %d",
			verdict,
			those.Failed,
			those.Requests,
			those.Late,
			rest.Failed,
			rest.Requests,
			rest.Late,
		),
	)
}

// Encode returns the form of a record.
func Encode(s *State) ([]byte, error) { return json.Marshal(s) }

// Decode reads a record. One of a later form is an error.
func Decode(raw []byte) (*State, error) {
	s := &State{}
	if err := json.Unmarshal(raw, s); err != nil {
		return nil, fmt.Errorf("release: a record that can't be read: %w", err)
	}
	if s.Format != format {
		return nil, fmt.Errorf("release: a record of form %d, this program knows %d", s.Format, format)
	}
	if err := s.Plan.Check(); err != nil {
		return nil, fmt.Errorf("release: the record's plan: %w", err)
	}
	if s.Goal != s.Plan.From && s.Goal != s.Plan.To {
		return nil, fmt.Errorf("release: a record whose goal is %q", s.Goal)
	}
	if s.Wave < 0 || s.Wave >= len(s.Plan.Waves) || len(s.Targets) == 0 || len(s.Targets) > MaxTargets {
		return nil, fmt.Errorf(
			"release: a record at wave %d of %d with %d servers",
			s.Wave+1,
			len(s.Plan.Waves),
			len(s.Targets),
		)
	}
	return s, nil
}
