package fleet

// This file contains the phases of a run: it starts the nodes, sends the load, and ends all processes.

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"wrenspread/internal/lab/client"
	"wrenspread/internal/lab/history"
)

// startNodes starts the nodes that are present from the beginning, all at the same time.
func (f *fleet) startNodes(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	errs := make(chan error, len(f.nodeNames))
	present := f.presentNodes()
	for _, name := range present {
		go func() { errs <- f.nodes[name].start(ctx) }()
	}
	var joined []error
	for range present {
		joined = append(joined, <-errs)
	}
	return errors.Join(joined...)
}

// presentNodes returns the nodes that run from the beginning. The addresses of the other nodes refuse
// connections until these nodes join.
func (f *fleet) presentNodes() []string {
	absent, _ := f.experiment.Parties(f.experiment.Fleet.Absent) // the parser has checked the names
	return slices.DeleteFunc(slices.Clone(f.nodeNames), func(name string) bool {
		if !slices.Contains(absent, name) {
			return false
		}
		f.nodes[name].refuseConnections()
		return true
	})
}

// run sends the load and carries out the schedule of faults and the changes of the quota at the same time. It
// waits for the end of all three, and then ends controllers and workers.
func (f *fleet) run(ctx context.Context) error {
	background, stop := context.WithCancel(ctx)
	defer stop()
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer stop()
	lateness := NewLateness(f.log)
	tasks.Go(func() { lateness.Watch(background) })
	tasks.Go(func() { f.sampleProcesses(background) })
	tasks.Go(func() { f.front.Watch(background) })
	if f.experiment.Fleet.View {
		for _, name := range f.nodeNames {
			tasks.Go(func() { f.nodes[name].watchView(background) })
		}
	}
	if err := f.awaitAdmission(ctx); err != nil {
		return err
	}
	clients := client.New(f.log, f.front, f.requestIndex, f.options.Seed)
	clients.Late, clients.Disturbed = lateness.Add, f.disturbed.includes
	f.loadStart = f.log.Now() + 200*time.Millisecond
	if err := f.startRelease(ctx); err != nil {
		return err
	}
	scheduleDone := make(chan error, 1)
	go func() { scheduleDone <- f.runSchedule(ctx) }()
	quotaChangesDone := f.scheduleQuotaChanges(ctx)
	clients.Run(ctx, f.loadStart, f.operations)
	if err := <-quotaChangesDone; err != nil {
		return err
	}
	if err := <-scheduleDone; err != nil {
		return err
	}
	if f.service != nil {
		if err := f.service.awaitFollowers(ctx); err != nil {
			return err
		}
	}
	f.log.Add(history.Event{Kind: history.Ending})
	if err := terminateAll(f.quotaControllers); err != nil || f.service == nil {
		return err
	}
	if f.release != nil {
		if err := f.release.finish(ctx); err != nil {
			return err
		}
	}
	if f.service.workers == nil {
		return nil
	}
	return f.service.workers.Terminate(shutdownTimeout)
}

// awaitAdmission waits until the front admits clients to all present nodes.
func (f *fleet) awaitAdmission(ctx context.Context) error {
	limit := time.After(readyTimeout)
	want := len(f.presentNodes())
	for f.front.Admitted() < want {
		select {
		case <-time.After(10 * time.Millisecond):
		case <-limit:
			return fmt.Errorf("wait for admission: the front admits %d of %d nodes", f.front.Admitted(), want)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// sampleProcesses records the resource use of all processes every sampleInterval until ctx ends.
func (f *fleet) sampleProcesses(ctx context.Context) {
	t := time.NewTicker(sampleInterval)
	defer t.Stop()
	for {
		f.group.Sample()
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// onClose registers a function that close calls.
func (f *fleet) onClose(end func()) {
	f.closersMu.Lock()
	defer f.closersMu.Unlock()
	f.closers = append(f.closers, end)
}

// close ends all processes, and then calls the functions registered with onClose in reverse order.
func (f *fleet) close() {
	if f.group != nil {
		f.group.Close(shutdownTimeout)
	}
	f.closersMu.Lock()
	defer f.closersMu.Unlock()
	for _, c := range slices.Backward(f.closers) {
		c()
	}
}
