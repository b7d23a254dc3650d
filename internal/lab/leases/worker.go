// Package leases tests the registry's leases: real worker processes hold leases and act on a resource outside
// the registry, faults are injected into processes and links, and a check judges the acts that the resource
// accepted and the grants of the registry.
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

// WorkerOptions configures a worker process.
type WorkerOptions struct {
	Process           string
	RegistryAddresses []string // addresses of the registry's replicas
	Resource          string   // address of the resource, host:port
	Leases            []string // names of the leases that the worker competes for
	TTL               time.Duration
	ActInterval       time.Duration // time between two acts on one lease
	Log               string        // file of the worker's own history
	Spread            bool          // leases are distributed evenly over the workers
	OverrunAfterLoss  time.Duration // deliberate fault: the work continues for this long after the lease is lost
}

const (
	actsPerRegistryWrite = 8 // a worker makes one fenced write to the registry per this number of acts
	requestTimeout       = 300 * time.Millisecond
	handoffTimeout       = 3 * time.Second // for the handoff of all leases when the worker ends
)

// Act is one line of a worker's history, or the body of one write to the resource.
type Act struct {
	From    time.Duration `json:"from"` // on the machine's monotonic clock
	To      time.Duration `json:"to"`
	Process string        `json:"process"`
	Run     string        `json:"run"` // name and PID of the process, different after each restart
	// Do is "start" (the process started), "hold" (it became the holder of the lease), "note" (it wrote to the
	// registry) or "write" (it wrote to the resource).
	Do string `json:"do"`
	registry.FencingToken
	Done bool `json:"done"` // false if the act was refused
}

// monotonicNow reads the machine's monotonic clock. All processes of the machine share this clock.
func monotonicNow() time.Duration {
	var t unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &t) // never fails for this clock
	return time.Duration(t.Nano())
}

// worker is the state of one worker process.
type worker struct {
	options    WorkerOptions
	run        string
	registry   *client.Client
	httpClient *http.Client
	mu         sync.Mutex
	file       *os.File
}

// Work runs a worker process until ctx ends. The worker requests its leases, acts on the resource for each
// lease that it holds, and hands off its leases at the end.
func Work(ctx context.Context, o WorkerOptions, log *slog.Logger) error {
	registryClient, err := client.New(client.Config{Addresses: o.RegistryAddresses})
	if err != nil {
		return err
	}
	defer registryClient.Close()
	file, err := os.OpenFile(o.Log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return fmt.Errorf("open worker history: %w", err)
	}
	defer besteffort.Close(file)
	session, err := lease.Open(
		lease.Config{
			Client:  registryClient,
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
		options:    o,
		run:        fmt.Sprint(o.Process, "-", os.Getpid()),
		registry:   registryClient,
		file:       file,
		httpClient: &http.Client{Timeout: requestTimeout},
	}
	w.record(Act{From: monotonicNow(), Do: "start"})
	var running sync.WaitGroup
	for _, name := range o.Leases {
		var options []lease.Option
		if o.Spread {
			options = append(options, lease.Spread(o.Process, name))
		}
		// Run ends when the session is closed.
		running.Go(func() { _ = session.Run(context.WithoutCancel(ctx), name, w.work, options...) })
	}
	<-ctx.Done()
	err = session.Close(handoffTimeout)
	running.Wait()
	return err
}

// work runs while the worker holds a lease. It acts on the resource and, with one in actsPerRegistryWrite
// acts, also writes to the registry.
func (w *worker) work(ctx context.Context, token lease.Token) error {
	now := monotonicNow()
	w.record(Act{From: now, To: now, Do: "hold", FencingToken: token, Done: true})
	actCtx := ctx
	if w.options.OverrunAfterLoss > 0 {
		var cancel context.CancelFunc
		actCtx, cancel = context.WithCancel(context.WithoutCancel(ctx))
		defer cancel()
		context.AfterFunc(ctx, func() { time.AfterFunc(w.options.OverrunAfterLoss, cancel) })
	}
	for n := 0; actCtx.Err() == nil; n++ {
		if err := w.act(actCtx, token); err != nil {
			return err
		}
		if n%actsPerRegistryWrite == 0 {
			w.writeToRegistry(actCtx, token)
		}
		backoff.Sleep(actCtx, w.options.ActInterval)
	}
	return ctx.Err()
}

// act sends one write to the resource. It returns an error if the resource refuses the write (status 409),
// but none if the resource can't be reached.
func (w *worker) act(ctx context.Context, token lease.Token) error {
	raw, err := json.Marshal(
		Act{From: monotonicNow(), Process: w.options.Process, Run: w.run, Do: "write", FencingToken: token},
	)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(
		ctx,
		http.MethodPost,
		"http://"+w.options.Resource+"/",
		bytes.NewReader(raw),
	)
	if err != nil {
		return err
	}
	req.Header.Set(fencing.Header, fencing.Format(token))
	resp, err := w.httpClient.Do(req)
	if err != nil {
		return nil // the resource can't be reached at present
	}
	defer besteffort.Close(resp.Body)
	besteffort.Drained(io.Copy(io.Discard, resp.Body))
	if resp.StatusCode == http.StatusConflict {
		return errors.New("the resource refused the write: another process holds the lease")
	}
	return nil
}

// writeToRegistry makes a fenced write to the registry and records whether the registry accepted it.
func (w *worker) writeToRegistry(ctx context.Context, token lease.Token) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	a := Act{From: monotonicNow(), Do: "note", FencingToken: token}
	e := registry.Endpoint{
		Name:        "note-" + token.Lease,
		Address:     "127.0.0.1:1",
		Status:      registry.Ready,
		StartedAtMS: int64(a.From),
	}
	_, err := w.registry.WithToken(token).Register(ctx, e, 0, nil)
	a.To = monotonicNow()
	var refused *client.Error
	switch {
	case err == nil:
		a.Done = true
	case errors.As(err, &refused) && refused.Code == string(registry.StaleToken):
	default:
		return // the result is unknown; the check is valid without this write
	}
	w.record(a)
}

// record appends an act to the worker's history.
func (w *worker) record(a Act) {
	a.Process, a.Run = w.options.Process, w.run
	raw, err := json.Marshal(a)
	if err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	besteffort.Response(w.file.Write(append(raw, '\n'))) // the check is valid without a missing line
}
