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

// carryOut plays the schedule, each step in its own time. A step that can't be
// carried out is an error of the lab and not a verdict on the program.
func (f *fleet) carryOut(ctx context.Context) error {
	steps := f.e.Schedule(f.o.Seed)
	errs := make(chan error, len(steps))
	for _, s := range steps {
		go func() {
			if !f.sleepUntil(ctx, time.Duration(s.At)) {
				errs <- nil
				return
			}
			f.tell("begin", s)
			err := f.step(ctx, s)
			f.tell("end", s)
			if err != nil && ctx.Err() == nil {
				err = fmt.Errorf("fault %s: %w", s.Name, err)
			}
			errs <- err
		}()
	}
	var all []error
	for range steps {
		all = append(all, <-errs)
	}
	return errors.Join(all...)
}

// sleepUntil waits for a time of the load.
func (f *fleet) sleepUntil(ctx context.Context, t time.Duration) bool {
	return backoff.Sleep(ctx, f.start+t-f.log.Now())
}

func (f *fleet) tell(how string, s spec.Step) {
	f.disturbed.note(f.touched(s), how == "begin")
	f.log.Add(
		history.Event{
			Kind:   history.Fault,
			How:    how,
			Detail: s.Name,
			Nodes:  f.touched(s),
			Also:   append(slices.Clone(s.On), s.To...),
		},
	)
}

// touched lists the nodes that can't be held to answering their clients while the step lasts.
func (f *fleet) touched(s spec.Step) []string {
	var all []string
	for _, n := range f.names {
		named := slices.Contains(s.On, n)
		switch s.Do {
		case "kill", "pause":
		case "cut", "mute", "refuse", "reset", "shape", "snip":
			named = named && slices.Contains(s.To, spec.Clients) ||
				slices.Contains(s.On, spec.Clients) && slices.Contains(s.To, n)
		default:
			named = false
		}
		if named {
			all = append(all, n)
		}
	}
	return all
}

func (f *fleet) step(ctx context.Context, s spec.Step) error {
	last := time.Duration(s.For)
	switch s.Do {
	case "kill", "pause", "restart", "upgrade", "join", "full", "corrupt":
		return together(s.On, func(name string) error {
			if n := f.nodes[name]; n != nil {
				return n.suffer(ctx, s.Do, last)
			}
			for _, c := range f.keepers {
				if c.name == name {
					return c.suffer(ctx, f, s.Do, last)
				}
			}
			if f.release != nil {
				for _, c := range f.release.all {
					if c.name == name {
						return c.suffer(ctx, f, s.Do, last)
					}
				}
			}
			if c := f.service.workers; c != nil && strings.HasPrefix(name, "d") {
				return c.InjectFault(ctx, name, s.Do, last, endTime)
			}
			return f.service.set.InjectFault(ctx, name, s.Do, last, endTime)
		})
	case "move":
		return together(f.names, func(name string) error { return f.nodes[name].move(ctx) })
	case "reset":
		return f.storm(ctx, s)
	case "cut", "mute", "refuse", "shape", "snip":
		f.layStep(s)
		backoff.Sleep(ctx, last)
		f.net.Lift(s.Name)
		return nil
	case "crash", "vanish", "drain":
		return together(s.On, func(name string) error { return f.loseBox(ctx, s, name) })
	}
	return f.trouble(ctx, s)
}

// suffer does to a node what a step orders.
func (n *node) suffer(ctx context.Context, do string, last time.Duration) error {
	switch do {
	case "pause":
		return n.current().Pause(ctx, last)
	case "upgrade":
		return n.upgrade(ctx)
	case "kill":
		if err := n.kill(); err != nil || !backoff.Sleep(ctx, last) {
			return err
		}
	case "restart":
		defer n.f.front.Return(n.name)
		if err := n.stop(); err != nil {
			return err
		}
	}
	return n.again(ctx)
}

// again starts a node that has ended.
func (n *node) again(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	return n.begin(ctx)
}

// together does something to all of those named at once.
func together(names []string, do func(string) error) error {
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
	var all []error
	for range names {
		all = append(all, <-errs)
	}
	return errors.Join(all...)
}
