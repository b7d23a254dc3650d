package scale

import (
	"context"
	"fmt"
	"time"

	"wrenspread/internal/backoff"
)

const (
	changePace = 300 * time.Millisecond // between two of them
	readyTime  = time.Minute
	endTime    = 10 * time.Second
	sampled    = 3 // nodes that are asked for their figures of messages
)

// Nodes says which nodes are measured.
type Nodes struct {
	Lists
	Kind  string   // hollow or real
	Start []string // of a hollow process, its folder and number of nodes are added; of a real one
	View  bool     // they keep the view of the fleet
	Told  int      // how many nodes they are told that there are; 0: as many as there are

	Watchers int // further hollow clients at the replica, each with a part of its own
	beside   beside
}

// Measure measures nodes at rest and by changes, by how many there are and by the backends that they know.
func (n *Nodes) Measure(ctx context.Context, sizes []Sizes) error {
	return n.played(ctx, n.Kind, sizes, func(r rig) (map[string]float64, error) { return n.worked(ctx, r) })
}

// played records something that is done with fresh nodes of each size.
func (n *Nodes) played(
	ctx context.Context,
	what string,
	sizes []Sizes,
	do func(rig) (map[string]float64, error),
) error {
	return n.record(what, func() (all []Point, err error) {
		for _, size := range sizes {
			by := map[string]int{"nodes": size.Nodes, "backends": size.Backends}
			for name, more := range map[string]int{"watchers": n.Watchers, "beside": n.beside.nodes, "restarts_per_h": n.beside.restarts} {
				if more > 0 {
					by[name] = more
				}
			}
			p, err := repeated(n.Repeat, by, func() (f map[string]float64, err error) {
				err = n.with(ctx, size, func(r rig) error {
					f, err = do(r)
					return err
				})
				return f, err
			})
			if err != nil {
				return nil, err
			}
			n.Say(p)
			all = append(all, p)
		}
		return all, nil
	})
}

// worked takes the nodes' use over a rest, and over changes.
func (n *Nodes) worked(ctx context.Context, r rig) (map[string]float64, error) {
	sent, err := sentBy(ctx, r.controls)
	if err != nil {
		return nil, err
	}
	begun, err := usedBy(r.nodes)
	if err != nil {
		return nil, err
	}
	backoff.Sleep(ctx, n.Rest)
	rested, err := usedBy(r.nodes)
	if err != nil {
		return nil, err
	}
	start, made := time.Now(), 0
	for ; time.Since(start) < n.Rest-changePace; made++ {
		if _, err := change(ctx, r.k, made, r.Backends); err != nil {
			return nil, err
		}
		backoff.Sleep(ctx, time.Until(start.Add(time.Duration(made+1)*changePace)))
	}
	backoff.Sleep(ctx, time.Until(start.Add(n.Rest)))
	if _, err := r.k.Remove(ctx, fmt.Sprintf("s-%08x", r.Backends-1), nil); err != nil {
		return nil, err
	}
	made++
	if !n.Parts { // of which some have the last
		if err := r.all(ctx, "discovered", r.Backends-1); err != nil { // else what is counted are not these changes
			return nil, err
		}
	}
	worked, err := usedBy(r.nodes)
	if err != nil {
		return nil, err
	}
	sentAll, err := sentBy(ctx, r.controls)
	if err != nil {
		return nil, err
	}
	took := 2 * n.Rest.Seconds() * min(sampled, float64(r.Nodes))
	rest, work, each := rested.minus(begun), worked.minus(rested), float64(r.Nodes)
	perRest := func(all float64) float64 { return all / n.Rest.Seconds() / each }
	perChange := func(rest, work float64) float64 {
		return max(0, work-rest) / float64(made) / each
	}
	return map[string]float64{
		"rest_cores":     perRest(seconds(rest.CPU)),
		"rest_bytes_in":  perRest(rest.Read),
		"rest_bytes_out": perRest(rest.Written),
		"change_cpu_s": perChange(
			seconds(rest.CPU),
			seconds(work.CPU),
		),
		"change_bytes_in": perChange(rest.Read, work.Read),
		"change_bytes_out": perChange(
			rest.Written,
			work.Written,
		),
		"memory_bytes":         worked.RSS / each,
		"descriptors":          worked.FDs / each,
		"datagrams_per_s":      (sentAll.datagrams - sent.datagrams) / took,
		"datagram_bytes_per_s": (sentAll.bytes - sent.bytes) / took,
	}, nil
}
