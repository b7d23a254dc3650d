package quorum

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"wrenspread/internal/backoff"
	"wrenspread/internal/besteffort"
	"wrenspread/internal/registry"
)

// entryCount is the number of entries that clients write. It is small, so that several clients write the same
// entry at the same time.
const entryCount = 4

// op is one operation of a client on one entry, with its response.
type op struct {
	client     int
	kind       string // register, drain, remove or read
	name       string
	weight     float64
	ifVersion  *uint64
	from, to   time.Duration
	known      bool // the result is known
	status     int
	version    uint64 // of the entry: after the write, or the version that conflicted with its condition
	found      bool   // whether a read found the entry
	seenWeight float64
	seenStatus string
}

const (
	attemptTimeout = 1500 * time.Millisecond // for one attempt of a read or a write
	maxWriteTime   = 4 * time.Second         // the result of a write that is given up is unknown
)

// worker is one client that writes and reads entries at random, drawn from the seed and its number.
type worker struct {
	cluster  *cluster
	number   int
	chance   *rand.Rand
	http     *http.Client
	lastSeen map[string]uint64 // last known versions of entries, for conditional writes
	ops      []op
}

func newWorker(c *cluster, n int) *worker {
	return &worker{
		cluster:  c,
		number:   n,
		chance:   rand.New(rand.NewPCG(c.options.Seed, uint64(n))),
		http:     &http.Client{Transport: &http.Transport{}},
		lastSeen: map[string]uint64{},
	}
}

// run carries out operations until ctx ends, and records them. A read without a result is not recorded.
func (w *worker) run(ctx context.Context) {
	defer w.http.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		o := op{
			client: w.number,
			name:   fmt.Sprint("s", w.chance.IntN(entryCount)),
			weight: float64(w.chance.IntN(1000)),
			kind:   "read",
		}
		switch k := w.chance.IntN(10); {
		case k < 4:
			o.kind = "register"
		case k < 5:
			o.kind = "drain"
		case k < 6:
			o.kind = "remove"
		}
		if o.kind != "read" && w.chance.IntN(2) == 0 {
			v := w.lastSeen[o.name]
			o.ifVersion = &v
		}
		o.from = w.cluster.log.Now()
		if o.kind == "read" {
			w.read(ctx, &o)
		} else {
			w.write(&o, fmt.Sprintf("%d-%d-%d", w.cluster.options.Seed, w.number, i))
		}
		o.to = w.cluster.log.Now()
		if o.known || o.kind != "read" {
			w.ops = append(w.ops, o)
		}
		if o.known {
			w.lastSeen[o.name] = o.version
		}
		backoff.Sleep(ctx, time.Duration(w.chance.IntN(20))*time.Millisecond)
	}
}

func (w *worker) randomAddress() string {
	return w.cluster.addresses[w.chance.IntN(len(w.cluster.addresses))]
}

// write attempts one write, always with the same request id, until its result is known or a random time has
// passed.
func (w *worker) write(o *op, id string) {
	patience := time.Duration(w.chance.Int64N(int64(maxWriteTime)))
	wait := attemptTimeout
	if w.chance.IntN(3) == 0 { // the first response is probably lost, and the write is retried with the same id
		wait = time.Duration(1+w.chance.IntN(8)) * time.Millisecond
	}
	for until := time.Now().Add(patience); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		status, body := w.sendWrite(o, id, wait)
		wait = attemptTimeout
		switch status {
		case http.StatusOK:
			var r registry.Result
			if json.Unmarshal(body, &r) == nil {
				o.known, o.status, o.version = true, status, r.EntryVersion
				return
			}
		case http.StatusConflict, http.StatusNotFound:
			var r registry.ErrorResponse
			if json.Unmarshal(body, &r) == nil {
				o.known, o.status, o.version = true, status, r.ConflictingVersion
				return
			}
		}
	}
}

// sendWrite makes one attempt of a write. The status is 0 if there was no complete response.
func (w *worker) sendWrite(o *op, id string, wait time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	body := registry.WriteRequest{ID: id, IfVersion: o.ifVersion}
	method, path := http.MethodDelete, "/registry/instances/"+o.name
	switch o.kind {
	case "register":
		method = http.MethodPut
		body.Endpoint = &registry.Endpoint{
			Name:    o.name,
			Address: "127.0.0.1:1",
			Status:  registry.Ready,
			Weight:  o.weight,
		}
	case "drain":
		method, path = http.MethodPost, path+"/drain"
	}
	raw, err := json.Marshal(body)
	if err != nil {
		return 0, nil
	}
	return w.send(ctx, method, path, raw)
}

// send sends a request to a random replica. The status is 0 if there was no complete response.
func (w *worker) send(ctx context.Context, method, path string, body []byte) (int, []byte) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+w.randomAddress()+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	resp, err := w.http.Do(req)
	if err != nil {
		return 0, nil
	}
	defer besteffort.Close(resp.Body)
	raw, err := io.ReadAll(io.LimitReader(resp.Body, 1<<24))
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, raw
}

// read makes one linearizable read (current=1). The result of a read that fails stays unknown.
func (w *worker) read(ctx context.Context, o *op) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	status, body := w.send(ctx, http.MethodGet, "/registry/instances?current=1", nil)
	var a registry.ListResponse
	if status != http.StatusOK || json.Unmarshal(body, &a) != nil || !a.Snapshot {
		return
	}
	o.known, o.status = true, status
	for _, e := range a.Endpoints {
		if e.Name == o.name {
			o.found, o.seenWeight, o.seenStatus = true, e.Weight, e.Status
		}
	}
}

// watcher watches the list through random replicas and records the entries and changes that it receives.
type watcher struct {
	worker     *worker
	version    uint64
	epoch      string
	entries    map[string]registry.Endpoint
	changes    map[uint64]registry.Endpoint // received changes by version
	violations []string
}

func newWatcher(c *cluster, n int) *watcher {
	return &watcher{
		worker:  newWorker(c, n),
		entries: map[string]registry.Endpoint{},
		changes: map[uint64]registry.Endpoint{},
	}
}

// run watches until ctx has ended and the watcher has reached the version that enough returns.
func (v *watcher) run(ctx context.Context, enough func() uint64) {
	defer v.worker.http.CloseIdleConnections()
	var over time.Time
	for ctx.Err() == nil || v.version < enough() {
		if ctx.Err() != nil && over.IsZero() {
			over = time.Now()
		} else if !over.IsZero() && time.Since(over) > readyTimeout {
			v.violations = append(
				v.violations,
				fmt.Sprintf("it stays at version %d, the list is at %d", v.version, enough()),
			)
			return
		}
		call, cancel := context.WithTimeout(context.Background(), attemptTimeout)
		path := fmt.Sprintf("/registry/instances?from=%d&epoch=%s&hold_ms=300", v.version, v.epoch)
		status, body := v.worker.send(call, http.MethodGet, path, nil)
		cancel()
		var a registry.ListResponse
		if status != http.StatusOK || json.Unmarshal(body, &a) != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		v.apply(a)
	}
}

// apply applies a response to the watcher's entries. Violations are a changed epoch, a version that goes
// back, a complete list where changes suffice, and a gap in the changes.
func (v *watcher) apply(a registry.ListResponse) {
	switch {
	case v.epoch != "" && a.Epoch != v.epoch:
		v.violations = append(
			v.violations,
			fmt.Sprintf("epoch %s after %s, though nothing was lost", a.Epoch, v.epoch),
		)
	case a.Index < v.version:
		v.violations = append(v.violations, fmt.Sprintf("version %d after %d", a.Index, v.version))
	case a.Snapshot && v.version > 0:
		v.violations = append(
			v.violations,
			fmt.Sprintf("a whole list at %d, though version %d can't have been trimmed", a.Index, v.version),
		)
	case !a.Snapshot && a.Index-v.version != uint64(len(a.Endpoints)):
		v.violations = append(
			v.violations,
			fmt.Sprintf("%d changes from %d to %d", len(a.Endpoints), v.version, a.Index),
		)
	}
	for i, e := range a.Endpoints {
		if !a.Snapshot {
			v.changes[v.version+uint64(i)+1] = e
		}
		v.entries[e.Name] = e
		if e.Status == registry.Removed {
			delete(v.entries, e.Name)
		}
	}
	v.version, v.epoch = a.Index, a.Epoch
}
