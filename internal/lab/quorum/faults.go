package quorum

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"wrenspread/internal/backoff"
	"wrenspread/internal/lab/history"
	"wrenspread/internal/lab/link"
	"wrenspread/internal/lab/replicas"
)

// fault is one thing that goes wrong for a while.
type fault struct {
	at, last time.Duration
	do       string
	on       []int // replicas
}

var menu = []string{
	"kill",
	"kill-all",
	"pause",
	"cut",
	"cut-in",
	"cut-out",
	"late",
	"restart",
	"full",
	"corrupt",
}

// draw draws the faults of a run, by seed alone: no two touch a replica at once.
func draw(seed uint64, replicas int, length time.Duration) []fault {
	r := rand.New(rand.NewPCG(seed, 0x71756f72756d))
	var all []fault
	for at := 500 * time.Millisecond; ; {
		last := time.Duration(300+r.IntN(1500)) * time.Millisecond
		f := fault{at: at, last: last, do: menu[r.IntN(len(menu))], on: []int{r.IntN(replicas)}}
		if f.do == "kill-all" {
			f.on = f.on[:0]
			for i := range replicas {
				f.on = append(f.on, i)
			}
		}
		if f.at+f.last > length {
			return all
		}
		all = append(all, f)
		at += last + time.Duration(r.IntN(700))*time.Millisecond
	}
}

// carryOut plays the faults, one after the other.
func (c *cluster) carryOut(ctx context.Context, start time.Duration, faults []fault) error {
	for i, f := range faults {
		if !backoff.Sleep(ctx, start+f.at-c.log.Now()) {
			return nil
		}
		name := fmt.Sprintf("%d-%s", i+1, f.do)
		c.log.Add(history.Event{Kind: history.Fault, How: "begin", Detail: name, Also: c.names(f.on)})
		err := c.suffer(ctx, name, f)
		c.log.Add(history.Event{Kind: history.Fault, How: "end", Detail: name})
		if err != nil {
			return fmt.Errorf("fault %s: %w", name, err)
		}
	}
	return nil
}

func (c *cluster) names(on []int) []string {
	var all []string
	for _, i := range on {
		all = append(all, c.set.All[i].Name)
	}
	return all
}

func (c *cluster) suffer(ctx context.Context, name string, f fault) error {
	if do, _, _ := strings.Cut(
		f.do,
		"-",
	); do == "kill" || do == "restart" || do == "pause" || do == "full" ||
		do == "corrupt" {
		return c.together(
			f.on,
			func(r *replicas.Replica) error { return c.set.Suffer(ctx, r.Name, do, f.last, endTime) },
		)
	}
	c.lay(name, f)
	backoff.Sleep(ctx, f.last)
	c.net.Lift(name)
	return nil
}

// lay cuts a replica off from the others, but not from its clients, or makes its links late.
func (c *cluster) lay(name string, f fault) {
	alone := c.names(f.on)
	from := func(e link.Ends) bool { return slices.Contains(alone, e.From) }
	to := func(e link.Ends) bool {
		party, _, _ := strings.Cut(e.To, "/")
		return slices.Contains(alone, party) && e.From != "clients"
	}
	in, out := link.Shape{Hold: link.Both, Cut: true}, link.Shape{Hold: link.Both, Cut: true}
	switch f.do {
	case "cut-in": // it hears nobody, and is heard on the connections that are there
		in, out = link.Shape{Hold: link.Forward, Cut: true}, link.Shape{Hold: link.Back, Cut: true}
	case "cut-out":
		in, out = link.Shape{Hold: link.Back, Cut: true}, link.Shape{Hold: link.Forward, Cut: true}
	case "late":
		in, out = link.Shape{
			Delay:  60 * time.Millisecond,
			Jitter: 60 * time.Millisecond,
		}, link.Shape{
			Delay: 60 * time.Millisecond,
		}
	}
	c.net.Lay(name, in, to)
	c.net.Lay(name, out, from)
}

// together does something to several replicas at once.
func (c *cluster) together(on []int, do func(*replicas.Replica) error) error {
	errs := make([]error, len(on))
	var all sync.WaitGroup
	for k, i := range on {
		all.Go(func() { errs[k] = do(c.set.All[i]) })
	}
	all.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
