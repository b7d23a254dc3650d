// Package quorum tests a cluster of real registry replicas: clients write, read and watch, faults are drawn
// from a seed, and the complete history is checked for linearizability. It also measures the cost of
// replicas.
package quorum

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/anishathalye/porcupine"

	"wrenspread/internal/backoff"
	"wrenspread/internal/lab/history"
	"wrenspread/internal/lab/link"
	"wrenspread/internal/lab/process"
	"wrenspread/internal/lab/replicas"
	"wrenspread/internal/registry"
)

// Options configures a run.
type Options struct {
	Seed     uint64
	Replicas int
	Clients  int
	Length   time.Duration // how long clients work and faults are injected
	Dir      string
	Command  []string // command line of a replica, to which its configuration file is appended
	Env      []string

	Election time.Duration // election timeout of the replicas; 0 means a short one
	Snapshot int           // log entries after which a replica makes a snapshot; 0 means few
}

const (
	readyTimeout    = 30 * time.Second // only a process that hangs takes longer
	shutdownTimeout = 20 * time.Second
)

// cluster is the replicas of a run, with their links and processes.
type cluster struct {
	options   Options
	log       *history.Log
	net       *link.Net
	group     *process.Group
	set       *replicas.Set
	addresses []string // of the links from clients to the replicas
}

func newCluster(o Options, log *history.Log) (*cluster, error) {
	c := &cluster{options: o, log: log, net: link.NewNet(o.Seed), group: process.NewGroup(log)}
	var err error
	c.set, err = replicas.New(
		replicas.Options{
			Count:    o.Replicas,
			Dir:      o.Dir,
			Command:  o.Command,
			Env:      o.Env,
			Seed:     o.Seed,
			Election: o.Election,
			Snapshot: o.Snapshot,
		},
		c.net,
		c.group,
	)
	if err == nil {
		c.addresses, err = c.set.Connect("clients")
	}
	if err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

// close ends the replicas and their links.
func (c *cluster) close() {
	c.group.Close(shutdownTimeout)
	c.net.Close()
	if c.set != nil {
		c.set.ReleasePorts()
	}
}

// Outcome is the result of a run.
type Outcome struct {
	Seed         uint64
	Faults       int
	Ops          int // operations of clients
	Unknown      int // writes whose result stayed unknown
	Changes      uint64
	Broken       []string
	Inconclusive bool // the check of the history took too long
}

// Line is the result as a line of text.
func (o Outcome) Line() string {
	switch {
	case len(o.Broken) > 0:
		return fmt.Sprintf("FAIL quorum: seed %d, %s (and %d more)", o.Seed, o.Broken[0], len(o.Broken)-1)
	case o.Inconclusive:
		return fmt.Sprintf(
			"VOID quorum: seed %d, the check of %d operations took over %v",
			o.Seed,
			o.Ops,
			maxCheckTime,
		)
	}
	return fmt.Sprintf(
		"PASS quorum: seed %d, %d operations, %d of unknown end, %d changes, %d faults",
		o.Seed,
		o.Ops,
		o.Unknown,
		o.Changes,
		o.Faults,
	)
}

// watcherCount is the number of clients that watch in a run.
const watcherCount = 2

// Play plays one run and checks its history. An error means that the run could not be played.
func Play(ctx context.Context, o Options) (Outcome, error) {
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return Outcome{}, fmt.Errorf("quorum: %w", err)
	}
	log, err := history.New(filepath.Join(o.Dir, "history.jsonl"))
	if err != nil {
		return Outcome{}, err
	}
	c, err := newCluster(o, log)
	if err != nil {
		return Outcome{}, err
	}
	out, err := c.play(ctx)
	c.close()
	for _, e := range log.Events() {
		if e.Kind == history.Proc && e.Bad {
			out.Broken = append(out.Broken, fmt.Sprintf("%s (pid %d) %s: %s", e.Node, e.Pid, e.How, e.Detail))
		}
	}
	return out, errors.Join(err, ctx.Err(), log.Close())
}

// play starts the replicas, runs clients and faults, and checks the result after all replicas are ready
// again.
func (c *cluster) play(ctx context.Context) (Outcome, error) {
	if err := c.set.Begin(ctx); err != nil {
		return Outcome{}, err
	}
	followers, err := newFollowers(c)
	if err != nil {
		return Outcome{}, err
	}
	faults := drawFaults(c.options.Seed, c.options.Replicas, c.options.Length)
	working, stop := context.WithTimeout(ctx, c.options.Length)
	defer stop()
	var workers []*worker
	var watching []*watcher
	var work, watch sync.WaitGroup
	var final atomic.Uint64 // the final version; watchers run until it is set
	final.Store(1<<64 - 1)
	watched, done := context.WithCancel(ctx)
	defer done()
	for n := range c.options.Clients {
		w := newWorker(c, n)
		workers = append(workers, w)
		work.Go(func() { w.run(working) })
	}
	for n := range watcherCount {
		v := newWatcher(c, c.options.Clients+n)
		watching = append(watching, v)
		watch.Go(func() { v.run(watched, final.Load) })
	}
	for _, f := range followers {
		watch.Go(func() { f.run(watched) })
	}
	err = c.playFaults(working, c.log.Now(), faults)
	work.Wait()
	if err == nil {
		err = c.set.Ready(ctx)
	}
	var last registry.ListResponse
	if err == nil {
		last, err = c.readFinalList(ctx)
	}
	var unreached []string
	for _, f := range followers {
		if err == nil {
			unreached = append(unreached, f.awaitFinal(last)...)
		}
	}
	final.Store(last.Index) // 0 after an error, so that the watchers end
	done()
	watch.Wait()
	if err != nil {
		return Outcome{}, err
	}
	o := c.check(faults, workers, watching, last)
	o.Broken = append(o.Broken, unreached...)
	for _, f := range followers {
		o.Broken = append(o.Broken, f.violations...)
	}
	return o, nil
}

// readFinalList reads the list after the last fault has ended.
func (c *cluster) readFinalList(ctx context.Context) (registry.ListResponse, error) {
	w := newWorker(c, 1<<20)
	defer w.http.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for ctx.Err() == nil {
		status, body := w.send(ctx, http.MethodGet, "/registry/instances?current=1", nil)
		var a registry.ListResponse
		if status == http.StatusOK && json.Unmarshal(body, &a) == nil {
			return a, nil
		}
		backoff.Sleep(ctx, 20*time.Millisecond)
	}
	return registry.ListResponse{}, fmt.Errorf(
		"the list can't be read %v after the last fault: %w",
		readyTimeout,
		ctx.Err(),
	)
}

// check checks that writes and reads are linearizable, and what the watchers received.
func (c *cluster) check(
	faults []fault,
	workers []*worker,
	watching []*watcher,
	last registry.ListResponse,
) Outcome {
	o := Outcome{Seed: c.options.Seed, Faults: len(faults), Changes: last.Index}
	var ops []op
	for _, w := range workers {
		ops = append(ops, w.ops...)
	}
	o.Ops = len(ops)
	for _, op := range ops {
		if !op.known {
			o.Unknown++
		}
	}
	switch porcupine.CheckOperationsTimeout(model, operations(ops), maxCheckTime) {
	case porcupine.Illegal:
		o.Broken = append(o.Broken, "writes and current reads are not linearizable")
	case porcupine.Unknown:
		o.Inconclusive = true
	}
	o.Broken = append(o.Broken, checkWatchers(watching, last)...)
	return o
}

// checkWatchers checks that all watchers received the same changes, and have the final list in the end.
func checkWatchers(watching []*watcher, last registry.ListResponse) []string {
	want := map[string]registry.Endpoint{}
	for _, e := range last.Endpoints {
		want[e.Name] = e
	}
	var broken []string
	received := map[uint64]registry.Endpoint{}
	for n, v := range watching {
		for _, w := range v.violations {
			broken = append(broken, fmt.Sprintf("watcher %d: %s", n, w))
		}
		if v.version == last.Index && !maps.Equal(v.entries, want) {
			broken = append(
				broken,
				fmt.Sprintf("watcher %d holds %v at %d, the list is %v", n, v.entries, v.version, want),
			)
		}
		for version, e := range v.changes {
			if other, ok := received[version]; ok && other != e {
				broken = append(
					broken,
					fmt.Sprintf("change %d is %+v to one watcher and %+v to another", version, e, other),
				)
			}
			received[version] = e
		}
	}
	return broken
}
