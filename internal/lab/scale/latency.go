package scale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"wrenspread/internal/backoff"
	"wrenspread/internal/besteffort"
	"wrenspread/internal/lab/history"
	"wrenspread/internal/lab/link"
	arrivals "wrenspread/internal/lab/load"
	"wrenspread/internal/lab/platform"
	"wrenspread/internal/lab/process"
	"wrenspread/internal/lab/replicas"
	"wrenspread/internal/registry/client"
)

const (
	// load before the measured one, which is not counted: a node that has just started accepts little load
	warmUpTime     = 4 * time.Second
	directTime     = 3 * time.Second
	minServedShare = 0.5 // below this share of served requests, the times of the served ones say little
)

// Latency says how the time that a node adds to a request is measured.
type Latency struct {
	Lists
	Node    []string // command of the node's program
	Rate    float64  // requests a second at the node
	Length  time.Duration
	Changes int     // changes of the list a second; each is a server that restarts
	PerNode float64 // servers per node of the fleet, of whose size the node is notified
	Use     float64 // utilization of PerNode servers by the requests' work
}

// Measure measures the time that the node adds to a request, at each number of known servers.
func (l *Latency) Measure(ctx context.Context, sizes []int) error {
	return l.record("latency", func() (all []Point, err error) {
		for _, n := range sizes {
			var p Point
			err := l.withReplica(ctx, 0, func(set *replicas.Set, k *client.Client) error {
				base := time.Now()
				a, err := startBackendServer(ctx, base)
				if err != nil {
					return err
				}
				defer a.close()
				if err := a.registerAll(ctx, k, n); err != nil {
					return err
				}
				seed := uint64(0)
				p, err = repeated(
					l.Repeat,
					map[string]int{"servers": n, "changes": l.Changes, "part": subsetFlag(l.Subsets)},
					func() (map[string]float64, error) {
						seed++
						return l.measureNode(ctx, a, k, set.All[0].Address(), n, seed)
					},
				)
				return err
			})
			if err != nil {
				return nil, err
			}
			l.Report(p)
			all = append(all, p)
		}
		return all, nil
	})
}

// measureNode measures a fresh node, after the same requests were sent directly to the server.
func (l *Latency) measureNode(
	ctx context.Context,
	a *backendServer,
	k *client.Client,
	service string,
	servers int,
	seed uint64,
) (map[string]float64, error) {
	dir, err := os.MkdirTemp(l.Dir, "latency")
	if err != nil {
		return nil, err
	}
	defer func() { besteffort.Cleanup(os.RemoveAll(dir)) }()
	log, err := history.New("")
	if err != nil {
		return nil, err
	}
	listen, freeListen, err := link.Reserve()
	if err != nil {
		return nil, err
	}
	defer freeListen()
	control, freeControl, err := link.Reserve()
	if err != nil {
		return nil, err
	}
	defer freeControl()
	nodes := max(1, int(float64(servers)/l.PerNode+0.5))
	c := platform.Node{
		Name:     "n0",
		Number:   nodes / 2,
		Nodes:    nodes,
		Zone:     zoneOf(0),
		Listen:   listen,
		Control:  control,
		List:     []string{service},
		ListFile: filepath.Join(dir, "list"),
		ListPart: l.Subsets,
		Seed:     seed,
	}
	if err := c.Write(configFile(dir, 0), drawn, l.Rate); err != nil {
		return nil, err
	}
	group := process.NewGroup(log)
	defer group.Close(stopTimeout)
	p, err := group.Start(
		process.Spec{
			Name:    "n0",
			Command: l.Node,
			Dir:     dir,
			Env:     append([]string{"HOME=" + dir, "TMPDIR=" + dir, "GW_CONFIG=" + configFile(dir, 0)}, l.Env...),
		},
	)
	if err != nil {
		return nil, err
	}
	ready, stop := context.WithTimeout(ctx, readyTimeout)
	defer stop()
	if err := p.WaitReady(ready, "http://"+control+"/healthcheck"); err != nil {
		return nil, err
	}
	f := map[string]float64{"nodes": float64(nodes)}
	direct := newCaller(a.base, 10*seed)
	if err := l.measureLoad(ctx, direct, "direct_", min(directTime, l.Length), a.address(0), f); err != nil {
		return nil, err
	}
	newCaller(a.base, 10*seed+1).run(ctx, l.draw(10*seed+1, min(warmUpTime, l.Length)), listen)
	changing, calm := context.WithCancel(ctx)
	changed := make(chan error, 1)
	go func() { changed <- l.change(changing, a, k, servers) }()
	err = l.measureThroughNode(ctx, newCaller(a.base, 10*seed+2), p, control, listen, f)
	calm()
	return f, errors.Join(err, <-changed)
}

// draw draws the requests of the given length of time, with as much work as gives the utilization Use.
func (l *Latency) draw(seed uint64, length time.Duration) []arrivals.Op {
	ops := arrivals.Draw(seed, drawn, arrivals.Shape{Rate: l.Rate, Length: length})
	times := l.Use * l.PerNode / l.Rate / seconds(meanWork())
	for i := range ops {
		ops[i].Work = time.Duration(times * float64(ops[i].Work))
		ops[i].Hint = time.Duration(times * float64(ops[i].Hint))
	}
	return ops
}

// measureLoad plays a load and adds its figures. Requests that are not served have no times, so there is an
// error if too few are served.
func (l *Latency) measureLoad(
	ctx context.Context,
	c *caller,
	prefix string,
	length time.Duration,
	to string,
	into map[string]float64,
) error {
	ops := l.draw(c.seed, length)
	c.run(ctx, ops, to)
	if err := ctx.Err(); err != nil {
		return err
	}
	if float64(c.served) < minServedShare*float64(len(ops)) {
		return fmt.Errorf("%s%d of %d requests were served; %v", prefix, c.served, len(ops), c.failed)
	}
	c.figures(prefix, into)
	into[prefix+"failed"] = float64(len(ops) - c.served)
	return nil
}

// measureThroughNode plays the load through the node, and adds the node's own figures.
func (l *Latency) measureThroughNode(
	ctx context.Context,
	c *caller,
	p *process.Proc,
	control, listen string,
	f map[string]float64,
) error {
	before, err := readStats(ctx, control)
	if err != nil {
		return err
	}
	begun, err := useOf(p.Pid)
	if err != nil {
		return err
	}
	waited, err := process.UseOf(p.Pid)
	if err != nil {
		return err
	}
	start := time.Now()
	if err := l.measureLoad(ctx, c, "", l.Length, listen, f); err != nil {
		return err
	}
	took := time.Since(start)
	ended, err := useOf(p.Pid)
	if err != nil {
		return err
	}
	waitedAll, err := process.UseOf(p.Pid)
	if err != nil {
		return err
	}
	after, err := readStats(ctx, control)
	if err != nil {
		return err
	}
	work := ended.minus(begun)
	f["attempts"] = (after["forwards"] - before["forwards"]) / f["requests"]
	f["made_share"] = float64(c.latencies[wayInNew].TotalCount()) / f["requests"]
	f["node_cores"], f["node_request_cpu_s"] = seconds(work.CPU)/seconds(took), seconds(work.CPU)/f["requests"]
	// wait for a core that another process uses
	f["node_request_wait_s"] = seconds(waitedAll.Stall-waited.Stall) / f["requests"]
	f["node_memory_bytes"], f["node_descriptors"], f["known"], f["load"] =
		ended.RSS, ended.FDs, after["discovered"], machineLoad()
	return nil
}

// change has servers restart, Changes a second, until ctx ends.
func (l *Latency) change(ctx context.Context, a *backendServer, k *client.Client, servers int) error {
	if l.Changes == 0 {
		return nil
	}
	pace := time.Second / time.Duration(l.Changes)
	for i, start := 0, time.Now(); backoff.Sleep(ctx, time.Until(start.Add(time.Duration(i)*pace))); i++ {
		if err := a.register(ctx, k, i*7919%servers, time.Now()); err != nil && ctx.Err() == nil {
			return err
		}
	}
	return nil
}

// meanWork is the mean work of a request over the drawn classes.
func meanWork() (mean time.Duration) {
	for _, c := range drawn.Classes {
		mean += time.Duration(c.Share * float64(c.Work))
	}
	return mean
}
