package fleet

// Faults of backends.

import (
	"context"
	"strconv"
	"time"

	"wrenspread/internal/backoff"
	"wrenspread/internal/lab/backend"
	"wrenspread/internal/lab/discovery"
	"wrenspread/internal/lab/link"
	"wrenspread/internal/lab/spec"
)

// drainServingShare is the share of a drain step's duration during which the backend still serves.
const drainServingShare = 0.6

// stopBackend ends a backend and starts a cold one after the step's duration. A backend that vanishes
// doesn't close its connections, and leaves discovery only by its silence. A backend that drains leaves
// discovery first and ends later. Otherwise its address refuses connections at once.
func (f *fleet) stopBackend(ctx context.Context, s spec.Step, name string) error {
	toBackend := func(e link.Ends) bool { return e.To == name }
	down := "down-" + name
	remaining := time.Duration(s.For)
	b := f.host.Backend(name)
	switch s.Do {
	case "vanish":
		f.net.Lay(down, link.Shape{Hold: link.Both, Cut: true}, toBackend)
		b.Crash()
		f.setEntry(name, discovery.Gone, "", true)
	case "drain":
		f.setEntry(name, discovery.Draining, "", false)
		served := time.Duration(drainServingShare * float64(remaining))
		backoff.Sleep(ctx, served)
		remaining -= served
		fallthrough
	default:
		f.setEntry(name, discovery.Gone, "", false)
		f.net.Lay(down, link.Shape{Refuse: true}, toBackend)
		b.Crash()
	}
	backoff.Sleep(ctx, remaining)
	since := strconv.FormatInt(f.log.At(f.log.Now()).UnixMilli(), 10)
	err := b.Start(since)
	f.net.Lift(down)
	f.setEntry(name, discovery.Ready, since, false)
	return err
}

// degradeBackends makes backends slow, failing or hanging for the step's duration. Several degradations of a
// backend add up.
func (f *fleet) degradeBackends(ctx context.Context, s spec.Step) error {
	t := backend.Degradation{Slower: s.Times}
	switch s.Do {
	case "hang":
		t.Hangs = true
	case "errors":
		t.Fails = s.Part
	case "neighbour":
		t.Taken = s.Part
	}
	for _, name := range s.On {
		f.host.Backend(name).SetDegradation(s.Name, &t)
	}
	backoff.Sleep(ctx, time.Duration(s.For))
	for _, name := range s.On {
		f.host.Backend(name).SetDegradation(s.Name, nil)
	}
	return nil
}
