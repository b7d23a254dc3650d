// Package leases plays processes that hold leases: real workers that act on a
// resource outside the registry, faults between them all, and a check of what
// the resource and the service saw.
package leases

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"wrenspread/internal/backoff"
	"wrenspread/internal/besteffort"
	"wrenspread/internal/fencing"
	"wrenspread/internal/lease"
	"wrenspread/internal/registry"
	"wrenspread/internal/registry/client"
)

// WorkerOptions say what a worker's process does.
type WorkerOptions struct {
	Process  string
	List     []string // where it finds the registry
	Resource string   // and what it acts on, host:port
	Duties   []string
	TTL      time.Duration
	Every    time.Duration // between two acts on one lease
	Log      string        // file for its own history
	Spread   bool          // leases are shared out evenly
	Deaf     time.Duration // a broken stand-in: work goes on for so long after it is told to stop
}

const (
	noteNth  = 8 // every so many acts one write goes to the list, too
	actTime  = 300 * time.Millisecond
	handTime = 3 * time.Second // to transfer at the end
)

// Act is one line of a worker's history, and one write as the resource has it.
type Act struct {
	From    time.Duration `json:"from"` // by the machine's monotonic clock
	To      time.Duration `json:"to"`
	Process string        `json:"process"`
	Run     string        `json:"run"` // of the process; another after each restart
	Do      string        `json:"do"`  // start, hold, note or write
	registry.FencingToken
	Done bool `json:"done"` // else it was turned down
}

// clock reads the machine's monotonic clock, which all processes share.
func clock() time.Duration {
	var t unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &t) // never fails for this clock
	return time.Duration(t.Nano())
}

// worker is a process that holds leases.
type worker struct {
	o    WorkerOptions
	run  string
	list *client.Client
	http *http.Client
	mu   sync.Mutex
	file *os.File
}

// Work is the whole life of a worker's process.
func Work(ctx context.Context, o WorkerOptions, log *slog.Logger) error {
	k, err := client.New(client.Config{Addresses: o.List})
	if err != nil {
		return err
	}
	defer k.Close()
	f, err := os.OpenFile(o.Log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return fmt.Errorf("worker: %w", err)
	}
	defer besteffort.Close(f)
	p, err := lease.Open(
		lease.Config{
			Client:  k,
			Process: o.Process,
			TTL:     o.TTL,
			Info:    registry.ProcessInfo{Note: "a worker of the lab"},
			Log:     log,
		},
	)
	if err != nil {
		return err
	}
	w := &worker{
		o:    o,
		run:  fmt.Sprint(o.Process, "-", os.Getpid()),
		list: k,
		file: f,
		http: &http.Client{Timeout: actTime},
	}
	w.note(Act{From: clock(), Do: "start"})
	var all sync.WaitGroup
	for _, name := range o.Duties {
		var options []lease.Option
		if o.Spread {
			options = append(options, lease.Spread(o.Process, name))
		}
		// it ends with the session
		all.Go(func() { _ = p.Run(context.WithoutCancel(ctx), name, w.work, options...) })
	}
	<-ctx.Done()
	err = p.Close(handTime)
	all.Wait()
	return err
}

// work acts on the resource as long as it may, and now and then on the list.
func (w *worker) work(ctx context.Context, f lease.Token) error {
	now := clock()
	w.note(Act{From: now, To: now, Do: "hold", FencingToken: f, Done: true})
	acting := ctx
	if w.o.Deaf > 0 {
		var cancel context.CancelFunc
		acting, cancel = context.WithCancel(context.WithoutCancel(ctx))
		defer cancel()
		context.AfterFunc(ctx, func() { time.AfterFunc(w.o.Deaf, cancel) })
	}
	for n := 0; acting.Err() == nil; n++ {
		if err := w.act(acting, f); err != nil {
			return err
		}
		if n%noteNth == 0 {
			w.noteInList(acting, f)
		}
		backoff.Sleep(acting, w.o.Every)
	}
	return ctx.Err()
}

// act writes to the resource, which is turned down with 409.
func (w *worker) act(ctx context.Context, f lease.Token) error {
	raw, err := json.Marshal(Act{From: clock(), Process: w.o.Process, Run: w.run, Do: "write", FencingToken: f})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(
		ctx,
		http.MethodPost,
		"http://"+w.o.Resource+"/",
		bytes.NewReader(raw),
	)
	if err != nil {
		return err
	}
	req.Header.Set(fencing.Header, fencing.Format(f))
	resp, err := w.http.Do(req)
	if err != nil {
		return nil // the resource can't be reached now
	}
	defer besteffort.Close(resp.Body)
	besteffort.Drained(io.Copy(io.Discard, resp.Body))
	if resp.StatusCode == http.StatusConflict {
		return errors.New("another holds the duty")
	}
	return nil
}

// noteInList makes a fenced write to the list.
func (w *worker) noteInList(ctx context.Context, f lease.Token) {
	ctx, cancel := context.WithTimeout(ctx, actTime)
	defer cancel()
	a := Act{From: clock(), Do: "note", FencingToken: f}
	e := registry.Endpoint{
		Name:        "note-" + f.Lease,
		Address:     "127.0.0.1:1",
		Status:      registry.Ready,
		StartedAtMS: int64(a.From),
	}
	_, err := w.list.WithToken(f).Register(ctx, e, 0, nil)
	a.To = clock()
	var refused *client.Error
	switch {
	case err == nil:
		a.Done = true
	case errors.As(err, &refused) && refused.Code == string(registry.StaleToken):
	default:
		return // of unknown end, which changes nothing that is checked
	}
	w.note(a)
}

func (w *worker) note(a Act) {
	a.Process, a.Run = w.o.Process, w.run
	raw, err := json.Marshal(a)
	if err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	besteffort.Response(w.file.Write(append(raw, '\n'))) // a line that is missing takes nothing from the check
}
