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

// fault is one fault of a run.
type fault struct {
	start, duration time.Duration // start counts from the beginning of the faults
	kind            string
	targets         []int // indices of replicas
}

// faultKinds lists the faults to draw from.
var faultKinds = []string{
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

// drawFaults draws the faults of a run. Its arguments determine the result. No two faults overlap.
func drawFaults(seed uint64, replicas int, length time.Duration) []fault {
	r := rand.New(rand.NewPCG(seed, 0x71756f72756d))
	var faults []fault
	for at := 500 * time.Millisecond; ; {
		duration := time.Duration(300+r.IntN(1500)) * time.Millisecond
		f := fault{
			start:    at,
			duration: duration,
			kind:     faultKinds[r.IntN(len(faultKinds))],
			targets:  []int{r.IntN(replicas)},
		}
		if f.kind == "kill-all" {
			f.targets = f.targets[:0]
			for i := range replicas {
				f.targets = append(f.targets, i)
			}
		}
		if f.start+f.duration > length {
			return faults
		}
		faults = append(faults, f)
		at += duration + time.Duration(r.IntN(700))*time.Millisecond
	}
}

// playFaults injects the faults one after the other, each at its time after start.
func (c *cluster) playFaults(ctx context.Context, start time.Duration, faults []fault) error {
	for i, f := range faults {
		if !backoff.Sleep(ctx, start+f.start-c.log.Now()) {
			return nil
		}
		name := fmt.Sprintf("%d-%s", i+1, f.kind)
		c.log.Add(history.Event{Kind: history.Fault, How: "begin", Detail: name, Also: c.replicaNames(f.targets)})
		err := c.injectFault(ctx, name, f)
		c.log.Add(history.Event{Kind: history.Fault, How: "end", Detail: name})
		if err != nil {
			return fmt.Errorf("fault %s: %w", name, err)
		}
	}
	return nil
}

// replicaNames returns the names of the replicas with the given indices.
func (c *cluster) replicaNames(indices []int) []string {
	var names []string
	for _, i := range indices {
		names = append(names, c.replicas.All[i].Name)
	}
	return names
}

// injectFault injects one fault and returns after the fault has ended.
func (c *cluster) injectFault(ctx context.Context, name string, f fault) error {
	if do, _, _ := strings.Cut(
		f.kind,
		"-",
	); do == "kill" || do == "restart" || do == "pause" || do == "full" ||
		do == "corrupt" {
		return c.onEach(
			f.targets,
			func(r *replicas.Replica) error {
				return c.replicas.InjectFault(ctx, r.Name, do, f.duration, shutdownTimeout)
			},
		)
	}
	c.degradeLinks(name, f)
	backoff.Sleep(ctx, f.duration)
	c.net.RemoveShape(name)
	return nil
}

// degradeLinks cuts or delays the links between the targets and the other replicas, in the directions that
// the kind of the fault selects. The links of clients stay as they are.
func (c *cluster) degradeLinks(name string, f fault) {
	isolated := c.replicaNames(f.targets)
	isFromTarget := func(e link.Ends) bool { return slices.Contains(isolated, e.From) }
	isToTarget := func(e link.Ends) bool {
		party, _, _ := strings.Cut(e.To, "/")
		return slices.Contains(isolated, party) && e.From != "clients"
	}
	shapeTo, shapeFrom := link.Shape{Hold: link.Both, Cut: true}, link.Shape{Hold: link.Both, Cut: true}
	switch f.kind {
	case "cut-in": // the target receives nothing; the others still receive what it sends on existing connections
		shapeTo, shapeFrom = link.Shape{Hold: link.Forward, Cut: true}, link.Shape{Hold: link.Back, Cut: true}
	case "cut-out":
		shapeTo, shapeFrom = link.Shape{Hold: link.Back, Cut: true}, link.Shape{Hold: link.Forward, Cut: true}
	case "late":
		shapeTo, shapeFrom = link.Shape{
			Delay:  60 * time.Millisecond,
			Jitter: 60 * time.Millisecond,
		}, link.Shape{
			Delay: 60 * time.Millisecond,
		}
	}
	c.net.ApplyShape(name, shapeTo, isToTarget)
	c.net.ApplyShape(name, shapeFrom, isFromTarget)
}

// onEach calls do at the same time for all replicas with the given indices. It returns the first error in the
// order of the indices.
func (c *cluster) onEach(indices []int, do func(*replicas.Replica) error) error {
	errs := make([]error, len(indices))
	var running sync.WaitGroup
	for k, i := range indices {
		running.Go(func() { errs[k] = do(c.replicas.All[i]) })
	}
	running.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
