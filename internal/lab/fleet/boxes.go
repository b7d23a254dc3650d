package fleet

// What a step does to backends.

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

// drainShare is the part of a drain after which the backend ends.
const drainShare = 0.6

// loseBox takes a backend away and brings it back cold.
func (f *fleet) loseBox(ctx context.Context, s spec.Step, name string) error {
	toBox := func(e link.Ends) bool { return e.To == name }
	down := "down-" + name
	rest := time.Duration(s.For)
	b := f.host.Box(name)
	switch s.Do {
	case "vanish":
		f.net.Lay(down, link.Shape{Hold: link.Both, Cut: true}, toBox)
		b.Crash()
		f.list(name, discovery.Gone, "", true)
	case "drain":
		f.list(name, discovery.Draining, "", false)
		served := time.Duration(drainShare * float64(rest))
		backoff.Sleep(ctx, served)
		rest -= served
		fallthrough
	default:
		f.list(name, discovery.Gone, "", false)
		f.net.Lay(down, link.Shape{Refuse: true}, toBox)
		b.Crash()
	}
	backoff.Sleep(ctx, rest)
	since := strconv.FormatInt(f.log.At(f.log.Now()).UnixMilli(), 10)
	err := b.Start(since)
	f.net.Lift(down)
	f.list(name, discovery.Ready, since, false)
	return err
}

// trouble gives backends what they suffer from, for the step's time. Troubles of a backend add up.
func (f *fleet) trouble(ctx context.Context, s spec.Step) error {
	t := backend.Trouble{Slower: s.Times}
	switch s.Do {
	case "hang":
		t.Hangs = true
	case "errors":
		t.Fails = s.Part
	case "neighbour":
		t.Taken = s.Part
	}
	for _, name := range s.On {
		f.host.Box(name).Suffer(s.Name, &t)
	}
	backoff.Sleep(ctx, time.Duration(s.For))
	for _, name := range s.On {
		f.host.Box(name).Suffer(s.Name, nil)
	}
	return nil
}
