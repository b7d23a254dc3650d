// Package fleet runs an experiment of the lab: it starts the nodes, sends the clients' load, carries out the
// schedule of faults, ends all processes, and judges the recorded history.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"wrenspread/internal/lab/backendserver"
	"wrenspread/internal/lab/check"
	"wrenspread/internal/lab/client"
	"wrenspread/internal/lab/discovery"
	"wrenspread/internal/lab/history"
	"wrenspread/internal/lab/link"
	"wrenspread/internal/lab/load"
	"wrenspread/internal/lab/process"
	"wrenspread/internal/lab/report"
	"wrenspread/internal/lab/spec"
	"wrenspread/internal/lab/world"
)

// Options configures a run.
type Options struct {
	Experiment        *spec.Experiment
	Seed              uint64
	Dir               string              // folder for the history, logs and configurations
	NodeCommand       []string            // command line of a node
	ControllerCommand []string            // command line of wrenspread-controller, for experiments with a quota
	ReplicaCommand    []string            // command line of a registry replica, for experiments with a registry
	CtlCommand        []string            // command line of wrenspreadctl, for experiments with a release
	Env               []string            // additional environment of all processes
	Follow            func(history.Event) // if set, called for each event of the history
}

const (
	readyTimeout = 30 * time.Second // only a process that hangs takes longer to become ready

	// shutdownTimeout is the time that a process has to end after SIGTERM: the longest deadline of a request,
	// taken as 3 s, plus 0.7 s, plus time for a busy machine.
	shutdownTimeout = 8 * time.Second

	sampleInterval = 500 * time.Millisecond
)

// fleet is the state of one run.
type fleet struct {
	options      Options
	experiment   *spec.Experiment
	log          *history.Log
	world        world.World
	operations   []load.Op
	requestRate  float64
	net          *link.Net
	requestIndex *load.RequestIndex
	host         *backendserver.Host
	registry     *discovery.Registry // registry of the lab's own discovery, used if service is nil
	service      *service            // the project's registry; nil means that the lab's own discovery is used
	group        *process.Group
	front        *client.Front
	nodes        map[string]*node
	nodeNames    []string // names of the nodes, by number
	closersMu    sync.Mutex
	closers      []func()      // functions that close calls, the last one first
	loadStart    time.Duration // start of the load on the lab's clock

	disturbed disturbedNodes

	quotaControllers         []*controller // controllers that allocate the quota
	quotaControllerAddresses []string      // listen addresses of the quota controllers, by number
	release                  *releaseRun   // nil means that the experiment has no release
	releaseVerdicts          []check.Verdict
}

// Play runs an experiment to its end and returns the report with all verdicts. An error means that the lab
// could not run the experiment; it says nothing about the tested program.
func Play(ctx context.Context, o Options) (report.Run, error) {
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return report.Run{}, fmt.Errorf("create the run's folder: %w", err)
	}
	log, err := history.New(filepath.Join(o.Dir, "history.jsonl"))
	if err != nil {
		return report.Run{}, err
	}
	log.Follow(o.Follow)
	log.Add(
		history.Event{
			Kind:   history.Meta,
			Detail: o.Experiment.Name,
			Seed:   o.Seed,
			Took:   time.Duration(o.Experiment.Length),
		},
	)
	f := &fleet{options: o, experiment: o.Experiment, log: log, nodes: map[string]*node{}}
	err = f.setUp(ctx)
	if err == nil {
		err = f.run(ctx)
	}
	f.close()
	if err := errors.Join(err, ctx.Err(), log.Close()); err != nil {
		return report.Run{}, err
	}
	return f.buildReport(), f.writeTimeline()
}

// setUp draws the emulated deployment and the load from the seed, and starts backends, discovery or registry,
// quota controllers and nodes.
func (f *fleet) setUp(ctx context.Context) error {
	e := f.experiment
	f.world = world.Draw(f.options.Seed, e.Fleet.Zones, e.Fleet.Backends)
	f.overrideDelays()
	f.requestRate = e.Load.Rate
	if f.requestRate == 0 {
		f.requestRate = e.Load.Utilization * f.world.Capacity() / f.world.MeanWork().Seconds()
	}
	shape := load.Shape{
		Rate:   f.requestRate,
		Length: time.Duration(e.Length),
		Bursty: e.Load.Bursty,
		Swing:  e.Load.Swing,
		Skew:   e.Load.Skew,
	}
	for _, s := range e.Load.Surges {
		shape.Surges = append(
			shape.Surges,
			load.Surge{From: time.Duration(s.At), To: time.Duration(s.At + s.For), Times: s.Factor},
		)
	}
	f.operations = load.Draw(f.options.Seed, f.world, shape)
	f.requestIndex = load.NewRequestIndex()
	f.net = link.NewNet(f.options.Seed)
	f.onClose(f.net.Close)
	f.registry = &discovery.Registry{}
	var err error
	if f.host, err = backendserver.NewHost(f.log, f.net, f.requestIndex, f.options.Seed, f.world); err != nil {
		return err
	}
	f.onClose(f.host.Close)
	f.group = process.NewGroup(f.log)
	if f.experiment.Discovery.Replicas > 0 {
		if f.service, err = f.newService(); err != nil {
			return err
		}
	} else {
		for _, m := range f.world.Machines {
			f.setEntry(m.Name, discovery.Ready, "0", false)
		}
	}
	f.front = client.NewFront(f.frontDelay())
	if err := f.connectNodes(); err != nil {
		return err
	}
	f.applyNetworkDelays()
	if f.service != nil {
		begin, cancel := context.WithTimeout(ctx, readyTimeout)
		defer cancel()
		if err := f.service.start(begin); err != nil {
			return err
		}
		if err := f.startQuota(begin); err != nil {
			return err
		}
	}
	return f.startNodes(ctx)
}
