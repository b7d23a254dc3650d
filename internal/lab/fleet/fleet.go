// Package fleet puts a run of the lab together: it starts the nodes, lets the
// clients loose, carries out the schedule of faults, ends everything, and
// judges the history.
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

// Options say what is played.
type Options struct {
	Experiment *spec.Experiment
	Seed       uint64
	Dir        string   // where history, logs and configurations go
	Node       []string // command of a node
	Keeper     []string // command of wrenspread-controller, for those with a quota
	List       []string // command of a replica of the registry, for experiments that have one
	Ctl        []string // command of wrenspreadctl, for those with a release
	Env        []string // further environment of both
	Follow     func(history.Event)
}

const (
	readyTime   = 30 * time.Second // only a hang takes so long
	endTime     = 8 * time.Second  // the longest deadline, taken as 3 s, and 0.7 s, and what a busy machine adds
	sampleEvery = 500 * time.Millisecond
)

// fleet is a run under way.
type fleet struct {
	o        Options
	e        *spec.Experiment
	log      *history.Log
	w        world.World
	ops      []load.Op
	rate     float64
	net      *link.Net
	book     *load.Book
	host     *backendserver.Host
	registry *discovery.Registry // of the lab's own discovery
	service  *service            // or the project's registry; nil: the previous
	group    *process.Group
	front    *client.Front
	nodes    map[string]*node
	names    []string // of nodes, by number
	closing  sync.Mutex
	closes   []func()
	start    time.Duration // of the load

	disturbed disturbed

	keepers         []*conductor // that share limits out
	holders         []string     // where those listen, by number
	release         *releasing   // nil: none
	releaseVerdicts []check.Verdict
}

// Play plays an experiment to its end. The error says why it could not be played.
func Play(ctx context.Context, o Options) (report.Run, error) {
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return report.Run{}, fmt.Errorf("lab: %w", err)
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
	f := &fleet{o: o, e: o.Experiment, log: log, nodes: map[string]*node{}}
	err = f.setUp(ctx)
	if err == nil {
		err = f.run(ctx)
	}
	f.close()
	if err := errors.Join(err, ctx.Err(), log.Close()); err != nil {
		return report.Run{}, err
	}
	return f.judge(), f.draw()
}

func (f *fleet) setUp(ctx context.Context) error {
	e := f.e
	f.w = world.Draw(f.o.Seed, e.Fleet.Zones, e.Fleet.Boxes)
	f.adjustNet()
	f.rate = e.Load.Rate
	if f.rate == 0 {
		f.rate = e.Load.Use * f.w.Capacity() / f.w.MeanWork().Seconds()
	}
	shape := load.Shape{
		Rate:   f.rate,
		Length: time.Duration(e.Length),
		Bursty: e.Load.Bursty,
		Swing:  e.Load.Swing,
		Skew:   e.Load.Skew,
	}
	for _, s := range e.Load.Surges {
		shape.Surges = append(
			shape.Surges,
			load.Surge{From: time.Duration(s.At), To: time.Duration(s.At + s.For), Times: s.Times},
		)
	}
	f.ops = load.Draw(f.o.Seed, f.w, shape)
	f.book = load.NewBook()
	f.net = link.NewNet(f.o.Seed)
	f.atEnd(f.net.Close)
	f.registry = &discovery.Registry{}
	var err error
	if f.host, err = backendserver.NewHost(f.log, f.net, f.book, f.o.Seed, f.w); err != nil {
		return err
	}
	f.atEnd(f.host.Close)
	f.group = process.NewGroup(f.log)
	if f.e.List.Replicas > 0 {
		if f.service, err = f.newService(); err != nil {
			return err
		}
	} else {
		for _, m := range f.w.Machines {
			f.list(m.Name, discovery.Ready, "0", false)
		}
	}
	f.front = client.NewFront(f.frontNotice())
	if err := f.connect(); err != nil {
		return err
	}
	f.layNet()
	if f.service != nil {
		begin, cancel := context.WithTimeout(ctx, readyTime)
		defer cancel()
		if err := f.service.begin(begin); err != nil {
			return err
		}
		if err := f.startQuota(begin); err != nil {
			return err
		}
	}
	return f.startNodes(ctx)
}
