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

// Options configures a run or a measurement.
type Options struct {
	Seed     uint64
	Replicas int
	Clients  int
	Length   time.Duration // how long clients work and faults are injected
	Dir      string
	Command  []string // command line of a replica, to which its configuration file is appended
	Env      []string

	Election time.Duration // election timeout of the replicas; 0 means a short one
	Snapshot int           // log entries after which a replica makes a snapshot; 0 means a small number
}

const (
	readyTimeout    = 30 * time.Second // only a process that hangs takes longer
	shutdownTimeout = 20 * time.Second // for a replica to end after SIGTERM
)

// cluster holds the replicas of a run, with their links and processes.
type cluster struct {
	options   Options
	log       *history.Log
	net       *link.Net
	group     *process.Group
	replicas  *replicas.Set
	addresses []string // of the links from clients to the replicas
}

func newCluster(o Options, log *history.Log) (*cluster, error) {
	c := &cluster{options: o, log: log, net: link.NewNet(o.Seed), group: process.NewGroup(log)}
	var err error
	c.replicas, err = replicas.New(
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
		c.addresses, err = c.replicas.Connect("clients")
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
	if c.replicas != nil {
		c.replicas.ReleasePorts()
	}
}

// Outcome is the result of a run.
type Outcome struct {
	Seed         uint64
	Faults       int
	Ops          int      // operations of clients
	Unknown      int      // writes whose result stayed unknown
	Changes      uint64   // version of the final list
	Broken       []string // violations
	Inconclusive bool     // the check of the history took too long
}

// Line returns the result as a line of text.
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

// watcherCount is the number of watchers in a run.
const watcherCount = 2

// Play performs one run and checks its history. An error means that the lab could not perform the run.
func Play(ctx context.Context, o Options) (Outcome, error) {
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return Outcome{}, fmt.Errorf("create the run's folder: %w", err)
	}
	log, err := history.New(filepath.Join(o.Dir, "history.jsonl"))
	if err != nil {
		return Outcome{}, err
	}
	c, err := newCluster(o, log)
	if err != nil {
		return Outcome{}, err
	}
	outcome, err := c.play(ctx)
	c.close()
	for _, e := range log.Events() {
		if e.Kind == history.Proc && e.Bad {
			outcome.Broken = append(outcome.Broken, fmt.Sprintf("%s (pid %d) %s: %s", e.Node, e.Pid, e.How, e.Detail))
		}
	}
	return outcome, errors.Join(err, ctx.Err(), log.Close())
}

// play starts the replicas, runs clients, watchers, followers and faults, waits until all replicas are ready
// again, and checks the result.
func (c *cluster) play(ctx context.Context) (Outcome, error) {
	if err := c.replicas.StartAll(ctx); err != nil {
		return Outcome{}, err
	}
	followers, err := newFollowers(c)
	if err != nil {
		return Outcome{}, err
	}
	faults := drawFaults(c.options.Seed, c.options.Replicas, c.options.Length)
	workCtx, stop := context.WithTimeout(ctx, c.options.Length)
	defer stop()
	var clients []*randomClient
	var watchers []*watcher
	var clientsRunning, watchersRunning sync.WaitGroup
	var finalVersion atomic.Uint64 // the final version; watchers run until it is set
	finalVersion.Store(1<<64 - 1)
	watchCtx, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	for n := range c.options.Clients {
		w := newRandomClient(c, n)
		clients = append(clients, w)
		clientsRunning.Go(func() { w.run(workCtx) })
	}
	for n := range watcherCount {
		v := newWatcher(c, c.options.Clients+n)
		watchers = append(watchers, v)
		watchersRunning.Go(func() { v.run(watchCtx, finalVersion.Load) })
	}
	for _, f := range followers {
		watchersRunning.Go(func() { f.run(watchCtx) })
	}
	err = c.playFaults(workCtx, c.log.Now(), faults)
	clientsRunning.Wait()
	if err == nil {
		err = c.replicas.AwaitReady(ctx)
	}
	var finalList registry.ListResponse
	if err == nil {
		finalList, err = c.readFinalList(ctx)
	}
	var violations []string
	for _, f := range followers {
		if err == nil {
			violations = append(violations, f.awaitFinalList(finalList)...)
		}
	}
	finalVersion.Store(finalList.Index) // 0 after an error, so that the watchers end
	stopWatching()
	watchersRunning.Wait()
	if err != nil {
		return Outcome{}, err
	}
	outcome := c.check(faults, clients, watchers, finalList)
	outcome.Broken = append(outcome.Broken, violations...)
	for _, f := range followers {
		outcome.Broken = append(outcome.Broken, f.violations...)
	}
	return outcome, nil
}

// readFinalList reads the list after the last fault has ended.
func (c *cluster) readFinalList(ctx context.Context) (registry.ListResponse, error) {
	w := newRandomClient(c, 1<<20)
	defer w.httpClient.CloseIdleConnections()
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
		"read the final list within %v after the last fault: %w",
		readyTimeout,
		ctx.Err(),
	)
}

// check checks that the clients' writes and reads are linearizable, and that the watchers received the same
// changes and the final list.
func (c *cluster) check(
	faults []fault,
	clients []*randomClient,
	watchers []*watcher,
	finalList registry.ListResponse,
) Outcome {
	outcome := Outcome{Seed: c.options.Seed, Faults: len(faults), Changes: finalList.Index}
	var ops []op
	for _, w := range clients {
		ops = append(ops, w.ops...)
	}
	outcome.Ops = len(ops)
	for _, op := range ops {
		if !op.resultKnown {
			outcome.Unknown++
		}
	}
	switch porcupine.CheckOperationsTimeout(model, operations(ops), maxCheckTime) {
	case porcupine.Illegal:
		outcome.Broken = append(outcome.Broken, "writes and current reads are not linearizable")
	case porcupine.Unknown:
		outcome.Inconclusive = true
	}
	outcome.Broken = append(outcome.Broken, checkWatchers(watchers, finalList)...)
	return outcome
}

// checkWatchers returns the watchers' own violations, and checks that all watchers received the same changes
// and that each watcher at the final version has the entries of the final list.
func checkWatchers(watchers []*watcher, finalList registry.ListResponse) []string {
	want := map[string]registry.Endpoint{}
	for _, e := range finalList.Endpoints {
		want[e.Name] = e
	}
	var broken []string
	received := map[uint64]registry.Endpoint{}
	for n, v := range watchers {
		for _, violation := range v.violations {
			broken = append(broken, fmt.Sprintf("watcher %d: %s", n, violation))
		}
		if v.version == finalList.Index && !maps.Equal(v.entries, want) {
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
