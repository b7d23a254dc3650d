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
	// length of a load that is not counted, before the measured load: a node that has just started accepts
	// little load
	warmUpTime     = 4 * time.Second
	directTime     = 3 * time.Second
	minServedShare = 0.5 // if fewer requests are served, their times are no measure of all requests
)

// Latency holds the parameters of the measurement of the time that a node adds to a request.
type Latency struct {
	RegistryRun
	NodeCommand []string // command of the node's program
	RequestRate float64  // requests a second at the node
	Length      time.Duration
	ChangeRate  int // changes of the list a second; each change is a restart of a server
	// ServersPerNode gives the fleet size of which the node is notified: the number of servers divided by it.
	ServersPerNode float64
	Utilization    float64 // utilization of ServersPerNode servers by the work of the requests
}

// Measure measures the time that the node adds to a request, at each number of registered servers.
func (l *Latency) Measure(ctx context.Context, sizes []int) error {
	return l.record("latency", func() (points []Point, err error) {
		for _, n := range sizes {
			var p Point
			err := l.withReplica(ctx, 0, func(set *replicas.Set, k *client.Client) error {
				base := time.Now()
				server, err := startBackendServer(ctx, base)
				if err != nil {
					return err
				}
				defer server.close()
				if err := server.registerAll(ctx, k, n); err != nil {
					return err
				}
				seed := uint64(0)
				p, err = repeated(
					l.Repeat,
					map[string]int{"servers": n, "changes": l.ChangeRate, "part": subsetFlag(l.Subsets)},
					func() (map[string]float64, error) {
						seed++
						return l.measureNode(ctx, server, k, set.All[0].Address(), n, seed)
					},
				)
				return err
			})
			if err != nil {
				return nil, err
			}
			l.Report(p)
			points = append(points, p)
		}
		return points, nil
	})
}

// measureNode measures a new node. Before that, it measures the same load sent directly to the server.
func (l *Latency) measureNode(
	ctx context.Context,
	server *backendServer,
	k *client.Client,
	registryAddress string,
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
	nodes := max(1, int(float64(servers)/l.ServersPerNode+0.5))
	node := platform.Node{
		Name:              "n0",
		Number:            nodes / 2,
		Nodes:             nodes,
		Zone:              zoneOf(0),
		Listen:            listen,
		Control:           control,
		RegistryAddresses: []string{registryAddress},
		RegistryCacheFile: filepath.Join(dir, "list"),
		RegistrySubset:    l.Subsets,
		Seed:              seed,
	}
	if err := node.Write(configFile(dir, 0), drawnWorld, l.RequestRate); err != nil {
		return nil, err
	}
	group := process.NewGroup(log)
	defer group.Close(stopTimeout)
	nodeProc, err := group.Start(
		process.Spec{
			Name:    "n0",
			Command: l.NodeCommand,
			Dir:     dir,
			Env:     append([]string{"HOME=" + dir, "TMPDIR=" + dir, "GW_CONFIG=" + configFile(dir, 0)}, l.Env...),
		},
	)
	if err != nil {
		return nil, err
	}
	ready, stop := context.WithTimeout(ctx, readyTimeout)
	defer stop()
	if err := nodeProc.WaitReady(ready, "http://"+control+"/healthcheck"); err != nil {
		return nil, err
	}
	figures := map[string]float64{"nodes": float64(nodes)}
	direct := newCaller(server.base, 10*seed)
	if err := l.measureLoad(
		ctx, direct, "direct_", min(directTime, l.Length), server.address(0), figures); err != nil {
		return nil, err
	}
	newCaller(server.base, 10*seed+1).run(ctx, l.draw(10*seed+1, min(warmUpTime, l.Length)), listen)
	changeCtx, stopChanges := context.WithCancel(ctx)
	changed := make(chan error, 1)
	go func() { changed <- l.changeList(changeCtx, server, k, servers) }()
	err = l.measureThroughNode(ctx, newCaller(server.base, 10*seed+2), nodeProc, control, listen, figures)
	stopChanges()
	return figures, errors.Join(err, <-changed)
}

// draw draws the requests of a load of the given length, and scales their work so that it gives Utilization.
func (l *Latency) draw(seed uint64, length time.Duration) []arrivals.Op {
	ops := arrivals.Draw(seed, drawnWorld, arrivals.Shape{Rate: l.RequestRate, Length: length})
	workFactor := l.Utilization * l.ServersPerNode / l.RequestRate / seconds(meanWork())
	for i := range ops {
		ops[i].Work = time.Duration(workFactor * float64(ops[i].Work))
		ops[i].Hint = time.Duration(workFactor * float64(ops[i].Hint))
	}
	return ops
}

// measureLoad plays a load and adds its figures, whose names begin with prefix. Requests that are not served
// have no times, so it is an error if too few are served.
func (l *Latency) measureLoad(
	ctx context.Context,
	c *caller,
	prefix string,
	length time.Duration,
	address string,
	figures map[string]float64,
) error {
	ops := l.draw(c.seed, length)
	c.run(ctx, ops, address)
	if err := ctx.Err(); err != nil {
		return err
	}
	if float64(c.served) < minServedShare*float64(len(ops)) {
		return fmt.Errorf("measure %sload: too few served, %d of %d requests; failures: %v",
			prefix, c.served, len(ops), c.failed)
	}
	c.figures(prefix, figures)
	figures[prefix+"failed"] = float64(len(ops) - c.served)
	return nil
}

// measureThroughNode plays the load through the node, and adds the figures of the load and of the node.
func (l *Latency) measureThroughNode(
	ctx context.Context,
	c *caller,
	nodeProc *process.Proc,
	control, listen string,
	figures map[string]float64,
) error {
	before, err := readStats(ctx, control)
	if err != nil {
		return err
	}
	begun, err := useOf(nodeProc.Pid)
	if err != nil {
		return err
	}
	stallBefore, err := process.UseOf(nodeProc.Pid)
	if err != nil {
		return err
	}
	start := time.Now()
	if err := l.measureLoad(ctx, c, "", l.Length, listen, figures); err != nil {
		return err
	}
	took := time.Since(start)
	ended, err := useOf(nodeProc.Pid)
	if err != nil {
		return err
	}
	stallAfter, err := process.UseOf(nodeProc.Pid)
	if err != nil {
		return err
	}
	after, err := readStats(ctx, control)
	if err != nil {
		return err
	}
	work := ended.minus(begun)
	figures["attempts"] = (after["forwards"] - before["forwards"]) / figures["requests"]
	figures["made_share"] = float64(c.timeParts[timeInNewConn].TotalCount()) / figures["requests"]
	figures["node_cores"], figures["node_request_cpu_s"] =
		seconds(work.CPU)/seconds(took), seconds(work.CPU)/figures["requests"]
	// time for which the node waited for a processor core
	figures["node_request_wait_s"] = seconds(stallAfter.Stall-stallBefore.Stall) / figures["requests"]
	figures["node_memory_bytes"], figures["node_descriptors"], figures["known"], figures["load"] =
		ended.RSS, ended.FDs, after["discovered"], machineLoad()
	return nil
}

// changeList registers restarts of servers, ChangeRate a second, until ctx ends.
func (l *Latency) changeList(
	ctx context.Context, server *backendServer, k *client.Client, servers int) error {
	if l.ChangeRate == 0 {
		return nil
	}
	period := time.Second / time.Duration(l.ChangeRate)
	for i, start := 0, time.Now(); backoff.Sleep(ctx, time.Until(start.Add(time.Duration(i)*period))); i++ {
		if err := server.register(ctx, k, i*7919%servers, time.Now()); err != nil && ctx.Err() == nil {
			return err
		}
	}
	return nil
}

// meanWork returns the mean work of a request over the drawn classes.
func meanWork() (mean time.Duration) {
	for _, c := range drawnWorld.Classes {
		mean += time.Duration(c.Share * float64(c.Work))
	}
	return mean
}
