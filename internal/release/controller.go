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

// Store stores the record of a release.
type Store interface {
	// Load returns the record and its version.
	Load(ctx context.Context) (raw []byte, version uint64, err error)
	// Save replaces the given version of the record and returns the new version. It fails with ErrSuperseded
	// if the record has another version or the controller's fencing token is not the latest.
	Save(ctx context.Context, raw []byte, version uint64) (uint64, error)
	// Order returns the pending order of an operator. The id is empty if there is none.
	Order(ctx context.Context) (id, order, operator string, err error)
	// ClearOrder removes the pending order. It is called after the record with the order's id was written.
	ClearOrder(ctx context.Context) error
}

// ErrSuperseded is the error with which a controller ends after another controller has taken over the
// release.
var ErrSuperseded = errors.New("release: another controller has it")

// Executor carries out the actions of a release.
type Executor interface {
	// Unavailable returns the servers that do not serve, because of the release or for any other reason.
	Unavailable(ctx context.Context) (Unavailable, error)
	// Do carries out an action or a part of it. The action is complete when done is true. Do may be called again
	// at any time, also for a complete action.
	Do(ctx context.Context, a Action) (done bool, err error)
	// Counts returns, by proxy, the counts so far of the named servers and of all other servers. A proxy whose
	// counts can't be read is missing in the result.
	Counts(ctx context.Context, named []string) (map[string]Comparison, error)
}

// Controller carries out a release. It runs while its process holds the lease of the release.
type Controller struct {
	Store    Store
	Executor Executor
	Interval time.Duration // between two rounds
	Log      *slog.Logger
	Clock    func() time.Duration // a monotonic clock; nil: the machine's monotonic clock

	state              *State
	recordVersion      uint64
	startedAt          time.Duration // time of this controller's start on its clock
	releaseTimeAtStart time.Duration // time since the release began at this controller's start
}

const (
	actionTimeout      = 10 * time.Second // for one call of Executor.Do
	maxParallelActions = 16
)

// now returns the time since the release began.
func (c *Controller) now() time.Duration { return c.releaseTimeAtStart + c.Clock() - c.startedAt }

// Run continues the release from its record. It returns nil when the release is in a final phase and no
// server is out of service because of it, and an error when ctx ends or another controller has taken over.
func (c *Controller) Run(ctx context.Context) error {
	raw, version, err := c.Store.Load(ctx)
	if err != nil {
		return fmt.Errorf("release: load record: %w", err)
	}
	if c.state, err = Decode(raw); err != nil {
		return err
	}
	if c.Clock == nil {
		start := time.Now()
		c.Clock = func() time.Duration { return time.Since(start) }
	}
	c.recordVersion, c.startedAt, c.releaseTimeAtStart = version, c.Clock(), c.state.Clock
	ticker := time.NewTicker(c.Interval)
	defer ticker.Stop()
	for {
		if err := c.runRound(ctx); err != nil {
			return err
		}
		if c.state.Phase.IsFinal() && len(c.state.Actions()) == 0 {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// runRound makes one round: it follows a pending order, advances the state, carries out the resulting
// actions, records their results and evaluates the gate.
func (c *Controller) runRound(ctx context.Context) error {
	pending, err := c.followOrder(ctx)
	if err != nil {
		return err
	}
	unavailable, err := c.Executor.Unavailable(ctx)
	if err != nil { // without this list the limits can't be checked, so no server is taken out of service
		c.Log.Warn("read unavailable servers failed", "err", err)
	} else {
		c.state.Step(c.now(), unavailable)
	}
	if err := c.save(ctx); err != nil {
		return err
	}
	if pending {
		if err := c.Store.ClearOrder(ctx); err != nil {
			return err
		}
	}
	for _, result := range c.carryOut(ctx, c.state.Actions()) {
		if result.done || result.err != nil {
			c.state.RecordResult(c.now(), result.action, result.err)
		}
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	c.evaluateGate(ctx)
	return c.save(ctx)
}

// followOrder follows the pending order and reports whether there is one. The order's id is written to the
// record, so that the order is followed only once even if the controller changes before the order is removed.
func (c *Controller) followOrder(ctx context.Context) (pending bool, err error) {
	id, order, operator, err := c.Store.Order(ctx)
	if err != nil || id == "" {
		return false, err
	}
	if id == c.state.LastOrder {
		return true, nil
	}
	c.state.LastOrder = id
	if err := c.state.Order(c.now(), order, operator); err != nil {
		c.state.addNote(c.now(), "not followed: %v, ordered by %s", err, operator)
		c.Log.Warn("order rejected", "err", err, "by", operator)
	}
	return true, nil
}

// save writes the record, even if only its clock has changed, because the write fails if another controller
// has taken over.
func (c *Controller) save(ctx context.Context) error {
	c.state.Clock = c.now()
	raw, err := Encode(c.state)
	if err != nil {
		return err
	}
	if c.recordVersion, err = c.Store.Save(ctx, raw, c.recordVersion); err != nil {
		return fmt.Errorf("release: write record: %w", err)
	}
	return nil
}

// actionResult is the result of Executor.Do for an action.
type actionResult struct {
	action Action
	done   bool
	err    error
}

// carryOut carries out the actions, at most maxParallelActions at a time, and returns their results in order.
func (c *Controller) carryOut(ctx context.Context, actions []Action) []actionResult {
	results := make([]actionResult, len(actions))
	slots := make(chan bool, maxParallelActions)
	var running sync.WaitGroup
	for i, action := range actions {
		slots <- true
		running.Go(func() {
			defer func() { <-slots }()
			actionCtx, cancel := context.WithTimeout(ctx, actionTimeout)
			defer cancel()
			done, err := c.Executor.Do(actionCtx, action)
			results[i] = actionResult{action, done, err}
		})
	}
	running.Wait()
	return results
}

// evaluateGate records the counts at the beginning of a soak. At the end of the soak it compares them with
// the present counts and applies the verdict of the gate.
func (c *Controller) evaluateGate(ctx context.Context) {
	state := c.state
	if state.Phase != Soaking {
		return
	}
	var released []string
	for _, target := range state.targetsOf(state.Wave) {
		released = append(released, target.Name)
	}
	counts, err := c.Executor.Counts(ctx, released)
	if err != nil {
		c.Log.Warn("read gate counts failed", "err", err)
		return
	}
	if state.Baseline == nil {
		state.Baseline = counts
		return
	}
	if !state.SoakElapsed(c.now()) {
		return
	}
	releasedCounts, restCounts := CountsSince(state.Baseline, counts)
	verdict := state.Plan.Gate.Evaluate(releasedCounts, restCounts, len(released) == len(state.Targets))
	state.ApplyVerdict(
		c.now(),
		verdict,
		fmt.Sprintf(
			"gate: %s, %d of %d failed and %d were late, of the rest %d of %d and %d",
			verdict,
			releasedCounts.Failed,
			releasedCounts.Requests,
			releasedCounts.Late,
			restCounts.Failed,
			restCounts.Requests,
			restCounts.Late,
		),
	)
}

// Encode returns a state in the format of a record.
func Encode(state *State) ([]byte, error) { return json.Marshal(state) }

// Decode decodes and validates a record. A record in another format is an error.
func Decode(raw []byte) (*State, error) {
	state := &State{}
	if err := json.Unmarshal(raw, state); err != nil {
		return nil, fmt.Errorf("release: decode record: %w", err)
	}
	if state.Format != recordFormat {
		return nil, fmt.Errorf("release: decode record: unsupported format %d, want %d", state.Format, recordFormat)
	}
	if err := state.Plan.Check(); err != nil {
		return nil, fmt.Errorf("release: decode record: invalid plan: %w", err)
	}
	if state.DesiredVersion != state.Plan.From && state.DesiredVersion != state.Plan.To {
		return nil, fmt.Errorf("release: decode record: the plan has no version %q", state.DesiredVersion)
	}
	if state.Wave < 0 || state.Wave >= len(state.Plan.Waves) ||
		len(state.Targets) == 0 || len(state.Targets) > MaxTargets {
		return nil, fmt.Errorf(
			"release: decode record: invalid wave %d of %d or number of servers %d",
			state.Wave+1,
			len(state.Plan.Waves),
			len(state.Targets),
		)
	}
	return state, nil
}
