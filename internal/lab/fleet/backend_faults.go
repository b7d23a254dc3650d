package fleet

// This file injects the faults of backends.

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

// stopBackend ends a backend and starts it again, cold, after the step's duration. "vanish": the backend's
// connections stay open without data, and discovery removes it only after it has been silent for some time.
// "drain": discovery lists the backend as draining, and the backend ends after drainServingShare of the
// duration. "crash": discovery removes the backend, and it ends, both at once. After a drain or a crash, its
// address refuses connections.
func (f *fleet) stopBackend(ctx context.Context, s spec.Step, name string) error {
	toBackend := func(e link.Ends) bool { return e.To == name }
	shapeName := "down-" + name
	remaining := time.Duration(s.For)
	b := f.host.Backend(name)
	switch s.Do {
	case "vanish":
		f.net.ApplyShape(shapeName, link.Shape{Hold: link.Both, Cut: true}, toBackend)
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
		f.net.ApplyShape(shapeName, link.Shape{Refuse: true}, toBackend)
		b.Crash()
	}
	backoff.Sleep(ctx, remaining)
	startedAtMS := strconv.FormatInt(f.log.At(f.log.Now()).UnixMilli(), 10)
	err := b.Start(startedAtMS)
	f.net.RemoveShape(shapeName)
	f.setEntry(name, discovery.Ready, startedAtMS, false)
	return err
}

// degradeBackends makes backends slow, failing or hanging for the step's duration. Several degradations of a
// backend add up.
func (f *fleet) degradeBackends(ctx context.Context, s spec.Step) error {
	degradation := backend.Degradation{Slower: s.SlowFactor}
	switch s.Do {
	case "hang":
		degradation.Hangs = true
	case "errors":
		degradation.FailShare = s.Fraction
	case "neighbour":
		degradation.TakenShare = s.Fraction
	}
	for _, name := range s.On {
		f.host.Backend(name).SetDegradation(s.Name, &degradation)
	}
	backoff.Sleep(ctx, time.Duration(s.For))
	for _, name := range s.On {
		f.host.Backend(name).SetDegradation(s.Name, nil)
	}
	return nil
}
