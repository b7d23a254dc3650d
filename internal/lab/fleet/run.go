package fleet

// The run itself, from the first process to the end of the last.

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

func (f *fleet) startNodes(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	errs := make(chan error, len(f.names))
	present := f.present()
	for _, name := range present {
		go func() { errs <- f.nodes[name].begin(ctx) }()
	}
	var all []error
	for range present {
		all = append(all, <-errs)
	}
	return errors.Join(all...)
}

// present are the nodes that are there from the beginning. The others' addresses refuse until they join.
func (f *fleet) present() []string {
	absent, _ := f.e.Parties(f.e.Fleet.Absent) // checked when the file was read
	return slices.DeleteFunc(slices.Clone(f.names), func(name string) bool {
		if !slices.Contains(absent, name) {
			return false
		}
		f.nodes[name].refuse()
		return true
	})
}

func (f *fleet) run(ctx context.Context) error {
	bg, stop := context.WithCancel(ctx)
	defer stop()
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer stop()
	late := NewLateness(f.log)
	tasks.Go(func() { late.Watch(bg) })
	tasks.Go(func() { f.sample(bg) })
	tasks.Go(func() { f.front.Watch(bg) })
	if f.e.Fleet.View {
		for _, name := range f.names {
			tasks.Go(func() { f.nodes[name].watchView(bg) })
		}
	}
	if err := f.admitted(ctx); err != nil {
		return err
	}
	clients := client.New(f.log, f.front, f.book, f.o.Seed)
	clients.Late, clients.Disturbed = late.Add, f.disturbed.is
	f.start = f.log.Now() + 200*time.Millisecond
	if err := f.startRelease(ctx); err != nil {
		return err
	}
	steps := make(chan error, 1)
	go func() { steps <- f.carryOut(ctx) }()
	changed := f.changeQuota(ctx)
	clients.Run(ctx, f.start, f.ops)
	if err := <-changed; err != nil {
		return err
	}
	if err := <-steps; err != nil {
		return err
	}
	if f.service != nil {
		if err := f.service.await(ctx); err != nil {
			return err
		}
	}
	f.log.Add(history.Event{Kind: history.Ending})
	if err := endAll(f.keepers); err != nil || f.service == nil {
		return err
	}
	if f.release != nil {
		if err := f.release.end(ctx); err != nil {
			return err
		}
	}
	if f.service.workers == nil {
		return nil
	}
	return f.service.workers.Terminate(endTime)
}

// admitted waits until the front lets clients to all nodes.
func (f *fleet) admitted(ctx context.Context) error {
	limit := time.After(readyTime)
	want := len(f.present())
	for f.front.Admitted() < want {
		select {
		case <-time.After(10 * time.Millisecond):
		case <-limit:
			return fmt.Errorf("the front admits %d of %d nodes", f.front.Admitted(), want)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (f *fleet) sample(ctx context.Context) {
	t := time.NewTicker(sampleEvery)
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

// atEnd has something ended with the run.
func (f *fleet) atEnd(end func()) {
	f.closing.Lock()
	defer f.closing.Unlock()
	f.closes = append(f.closes, end)
}

// close ends everything: the processes, then what was made last first.
func (f *fleet) close() {
	if f.group != nil {
		f.group.Close(endTime)
	}
	f.closing.Lock()
	defer f.closing.Unlock()
	for _, c := range slices.Backward(f.closes) {
		c()
	}
}
