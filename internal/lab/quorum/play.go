// Package quorum plays real replicas of the registry: clients that write,
// read and watch, faults drawn by seed, and a check of the whole history.
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

// Options say what is played.
type Options struct {
	Seed     uint64
	Replicas int
	Clients  int
	Length   time.Duration // of the clients' work and the faults
	Dir      string
	Command  []string // of a replica; its configuration file is added
	Env      []string

	Election time.Duration // of the replicas; 0: a short one
	Snapshot int           // entries of the log after which a replica makes one; 0: few
}

const (
	readyTime = 30 * time.Second // only a hang takes so long
	endTime   = 20 * time.Second
)

// cluster is the replicas of a run, and what holds them.
type cluster struct {
	o     Options
	log   *history.Log
	net   *link.Net
	group *process.Group
	set   *replicas.Set
	doors []string // where clients find the replicas
}

func newCluster(o Options, log *history.Log) (*cluster, error) {
	c := &cluster{o: o, log: log, net: link.NewNet(o.Seed), group: process.NewGroup(log)}
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
		c.doors, err = c.set.Doors("clients")
	}
	if err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (c *cluster) close() {
	c.group.Close(endTime)
	c.net.Close()
	if c.set != nil {
		c.set.Free()
	}
}

// Outcome is what a run shows.
type Outcome struct {
	Seed    uint64
	Faults  int
	Ops     int // of clients
	Unknown int // of them, writes whose end stayed unknown
	Changes uint64
	Broken  []string
	Unsure  bool // the check of the history took too long
}

// Line is the run in one line.
func (o Outcome) Line() string {
	switch {
	case len(o.Broken) > 0:
		return fmt.Sprintf("FAIL quorum: seed %d, %s (and %d more)", o.Seed, o.Broken[0], len(o.Broken)-1)
	case o.Unsure:
		return fmt.Sprintf(
			"VOID quorum: seed %d, the check of %d operations took over %v",
			o.Seed,
			o.Ops,
			checkTime,
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

// watchers is how many clients watch in a run.
const watchers = 2

// Play plays one run. The error says why it could not be played.
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

func (c *cluster) play(ctx context.Context) (Outcome, error) {
	if err := c.set.Begin(ctx); err != nil {
		return Outcome{}, err
	}
	own, err := newFollowers(c)
	if err != nil {
		return Outcome{}, err
	}
	faults := draw(c.o.Seed, c.o.Replicas, c.o.Length)
	working, stop := context.WithTimeout(ctx, c.o.Length)
	defer stop()
	var workers []*worker
	var watching []*watcher
	var work, watch sync.WaitGroup
	var final atomic.Uint64 // until it is known, no watcher is done
	final.Store(1<<64 - 1)
	watched, done := context.WithCancel(ctx)
	defer done()
	for n := range c.o.Clients {
		w := newWorker(c, n)
		workers = append(workers, w)
		work.Go(func() { w.run(working) })
	}
	for n := range watchers {
		v := newWatcher(c, c.o.Clients+n)
		watching = append(watching, v)
		watch.Go(func() { v.run(watched, final.Load) })
	}
	for _, f := range own {
		watch.Go(func() { f.run(watched) })
	}
	err = c.carryOut(working, c.log.Now(), faults)
	work.Wait()
	if err == nil {
		err = c.set.Ready(ctx)
	}
	var last registry.ListResponse
	if err == nil {
		last, err = c.final(ctx)
	}
	var left []string
	for _, f := range own {
		if err == nil {
			left = append(left, f.reach(last)...)
		}
	}
	final.Store(last.Index) // 0 after an error, which ends the watchers
	done()
	watch.Wait()
	if err != nil {
		return Outcome{}, err
	}
	o := c.judge(faults, workers, watching, last)
	o.Broken = append(o.Broken, left...)
	for _, f := range own {
		o.Broken = append(o.Broken, f.wrong...)
	}
	return o, nil
}

// final reads the list once all is well again.
func (c *cluster) final(ctx context.Context) (registry.ListResponse, error) {
	w := newWorker(c, 1<<20)
	defer w.http.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	for ctx.Err() == nil {
		status, body := w.do(ctx, http.MethodGet, "/registry/instances?current=1", nil)
		var a registry.ListResponse
		if status == http.StatusOK && json.Unmarshal(body, &a) == nil {
			return a, nil
		}
		backoff.Sleep(ctx, 20*time.Millisecond)
	}
	return registry.ListResponse{}, fmt.Errorf(
		"the list can't be read %v after the last fault: %w",
		readyTime,
		ctx.Err(),
	)
}

func (c *cluster) judge(
	faults []fault,
	workers []*worker,
	watching []*watcher,
	last registry.ListResponse,
) Outcome {
	o := Outcome{Seed: c.o.Seed, Faults: len(faults), Changes: last.Index}
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
	switch porcupine.CheckOperationsTimeout(model, operations(ops), checkTime) {
	case porcupine.Illegal:
		o.Broken = append(o.Broken, "writes and current reads are not linearizable")
	case porcupine.Unknown:
		o.Unsure = true
	}
	o.Broken = append(o.Broken, agree(watching, last)...)
	return o
}

// agree checks that all watchers were told the same, and hold the list in the end.
func agree(watching []*watcher, last registry.ListResponse) []string {
	want := map[string]registry.Endpoint{}
	for _, e := range last.Endpoints {
		want[e.Name] = e
	}
	var broken []string
	told := map[uint64]registry.Endpoint{}
	for n, v := range watching {
		for _, w := range v.wrong {
			broken = append(broken, fmt.Sprintf("watcher %d: %s", n, w))
		}
		if v.version == last.Index && !maps.Equal(v.held, want) {
			broken = append(
				broken,
				fmt.Sprintf("watcher %d holds %v at %d, the list is %v", n, v.held, v.version, want),
			)
		}
		for version, e := range v.told {
			if other, ok := told[version]; ok && other != e {
				broken = append(
					broken,
					fmt.Sprintf("change %d is %+v to one watcher and %+v to another", version, e, other),
				)
			}
			told[version] = e
		}
	}
	return broken
}
