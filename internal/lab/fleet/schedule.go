package fleet

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"wrenspread/internal/backoff"
	"wrenspread/internal/lab/history"
	"wrenspread/internal/lab/spec"
)

// runSchedule carries out the schedule, each step at its time. A step that can't be carried out is an error
// of the lab, not a verdict on the program.
func (f *fleet) runSchedule(ctx context.Context) error {
	steps := f.experiment.Schedule(f.options.Seed)
	errs := make(chan error, len(steps))
	for _, s := range steps {
		go func() {
			if !f.sleepUntil(ctx, time.Duration(s.At)) {
				errs <- nil
				return
			}
			f.recordStep("begin", s)
			err := f.runStep(ctx, s)
			f.recordStep("end", s)
			if err != nil && ctx.Err() == nil {
				err = fmt.Errorf("fault %s: %w", s.Name, err)
			}
			errs <- err
		}()
	}
	var joined []error
	for range steps {
		joined = append(joined, <-errs)
	}
	return errors.Join(joined...)
}

// sleepUntil waits until t after the start of the load; it returns false if ctx ended first.
func (f *fleet) sleepUntil(ctx context.Context, t time.Duration) bool {
	return backoff.Sleep(ctx, f.loadStart+t-f.log.Now())
}

// recordStep records the begin or the end of a step in the history, and marks the nodes that the step affects
// as disturbed or no longer disturbed.
func (f *fleet) recordStep(how string, s spec.Step) {
	f.disturbed.update(f.affectedNodes(s), how == "begin")
	f.log.Add(
		history.Event{
			Kind:   history.Fault,
			How:    how,
			Detail: s.Name,
			Nodes:  f.affectedNodes(s),
			Also:   append(slices.Clone(s.On), s.To...),
		},
	)
}

// affectedNodes lists the nodes whose clients may get no response during the step: nodes that are killed or
// paused, and nodes whose links to the clients are degraded.
func (f *fleet) affectedNodes(s spec.Step) []string {
	var affected []string
	for _, n := range f.nodeNames {
		isAffected := slices.Contains(s.On, n)
		switch s.Do {
		case "kill", "pause":
		case "cut", "mute", "refuse", "reset", "shape", "snip":
			isAffected = isAffected && slices.Contains(s.To, spec.Clients) ||
				slices.Contains(s.On, spec.Clients) && slices.Contains(s.To, n)
		default:
			isAffected = false
		}
		if isAffected {
			affected = append(affected, n)
		}
	}
	return affected
}

// runStep carries out one step and returns after its duration.
func (f *fleet) runStep(ctx context.Context, s spec.Step) error {
	duration := time.Duration(s.For)
	switch s.Do {
	case "kill", "pause", "restart", "upgrade", "join", "full", "corrupt":
		return onEach(s.On, func(name string) error {
			if n := f.nodes[name]; n != nil {
				return n.injectFault(ctx, s.Do, duration)
			}
			for _, c := range f.quotaControllers {
				if c.name == name {
					return c.injectFault(ctx, f, s.Do, duration)
				}
			}
			if f.release != nil {
				for _, c := range f.release.controllers {
					if c.name == name {
						return c.injectFault(ctx, f, s.Do, duration)
					}
				}
			}
			if c := f.service.workers; c != nil && strings.HasPrefix(name, "d") {
				return c.InjectFault(ctx, name, s.Do, duration, shutdownTimeout)
			}
			return f.service.replicas.InjectFault(ctx, name, s.Do, duration, shutdownTimeout)
		})
	case "move":
		return onEach(f.nodeNames, func(name string) error { return f.nodes[name].moveAgent(ctx) })
	case "reset":
		return f.resetLinks(ctx, s)
	case "cut", "mute", "refuse", "shape", "snip":
		f.shapeLinks(s)
		backoff.Sleep(ctx, duration)
		f.net.RemoveShape(s.Name)
		return nil
	case "crash", "vanish", "drain":
		return onEach(s.On, func(name string) error { return f.stopBackend(ctx, s, name) })
	}
	return f.degradeBackends(ctx, s)
}

// injectFault pauses, upgrades, kills, restarts or starts (join) a node. A killed node is started again after
// the duration, and a paused node continues then.
func (n *node) injectFault(ctx context.Context, do string, duration time.Duration) error {
	switch do {
	case "pause":
		return n.currentProcess().Pause(ctx, duration)
	case "upgrade":
		return n.upgrade(ctx)
	case "kill":
		if err := n.kill(); err != nil || !backoff.Sleep(ctx, duration) {
			return err
		}
	case "restart":
		defer n.fleet.front.Return(n.name)
		if err := n.stop(); err != nil {
			return err
		}
	}
	return n.restart(ctx)
}

// restart starts a node that isn't running, and waits up to readyTimeout until it is ready.
func (n *node) restart(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return n.start(ctx)
}

// onEach calls do for all names at the same time, and joins the errors after the last call has returned.
func onEach(names []string, do func(string) error) error {
	errs := make(chan error, len(names))
	for _, name := range names {
		go func() {
			err := do(name)
			if err != nil {
				err = fmt.Errorf("%s: %w", name, err)
			}
			errs <- err
		}()
	}
	var joined []error
	for range names {
		joined = append(joined, <-errs)
	}
	return errors.Join(joined...)
}
