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

// entryCount is the number of entries that clients write. It is small, so that several clients often write
// the same entry at the same time.
const entryCount = 4

// op is one operation of a client on one entry, with its result.
type op struct {
	client      int
	kind        string // register, drain, remove or read
	name        string
	weight      float64
	ifVersion   *uint64
	start, end  time.Duration
	resultKnown bool // false if the client got no complete response
	status      int
	version     uint64 // of the entry: after the write, or the version that differed from ifVersion
	entryFound  bool   // whether a read found the entry
	readWeight  float64
	readStatus  string
}

const (
	attemptTimeout = 1500 * time.Millisecond // for one attempt of a read or a write
	maxWriteTime   = 4 * time.Second         // for all attempts of a write; then its result stays unknown
)

// randomClient is a client that writes and reads entries at random. The run's seed and the client's number
// determine its random numbers.
type randomClient struct {
	cluster      *cluster
	number       int
	random       *rand.Rand
	httpClient   *http.Client
	lastVersions map[string]uint64 // last known versions of entries, for conditional writes
	ops          []op
}

func newRandomClient(c *cluster, number int) *randomClient {
	return &randomClient{
		cluster:      c,
		number:       number,
		random:       rand.New(rand.NewPCG(c.options.Seed, uint64(number))),
		httpClient:   &http.Client{Transport: &http.Transport{}},
		lastVersions: map[string]uint64{},
	}
}

// run carries out operations until ctx ends, and records them in ops. A read without a result is not
// recorded.
func (w *randomClient) run(ctx context.Context) {
	defer w.httpClient.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		o := op{
			client: w.number,
			name:   fmt.Sprint("s", w.random.IntN(entryCount)),
			weight: float64(w.random.IntN(1000)),
			kind:   "read",
		}
		switch k := w.random.IntN(10); {
		case k < 4:
			o.kind = "register"
		case k < 5:
			o.kind = "drain"
		case k < 6:
			o.kind = "remove"
		}
		if o.kind != "read" && w.random.IntN(2) == 0 {
			v := w.lastVersions[o.name]
			o.ifVersion = &v
		}
		o.start = w.cluster.log.Now()
		if o.kind == "read" {
			w.read(ctx, &o)
		} else {
			w.write(&o, fmt.Sprintf("%d-%d-%d", w.cluster.options.Seed, w.number, i))
		}
		o.end = w.cluster.log.Now()
		if o.resultKnown || o.kind != "read" {
			w.ops = append(w.ops, o)
		}
		if o.resultKnown {
			w.lastVersions[o.name] = o.version
		}
		backoff.Sleep(ctx, time.Duration(w.random.IntN(20))*time.Millisecond)
	}
}

// randomAddress returns the address of the link to a random replica.
func (w *randomClient) randomAddress() string {
	return w.cluster.addresses[w.random.IntN(len(w.cluster.addresses))]
}

// write attempts one write, always with the same request id, until its result is known or a random time of
// less than maxWriteTime has passed.
func (w *randomClient) write(o *op, id string) {
	maxTime := time.Duration(w.random.Int64N(int64(maxWriteTime)))
	timeout := attemptTimeout
	if w.random.IntN(3) == 0 { // the first response probably comes too late, and the write is retried
		timeout = time.Duration(1+w.random.IntN(8)) * time.Millisecond
	}
	for deadline := time.Now().Add(maxTime); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		status, body := w.sendWrite(o, id, timeout)
		timeout = attemptTimeout
		switch status {
		case http.StatusOK:
			var r registry.Result
			if json.Unmarshal(body, &r) == nil {
				o.resultKnown, o.status, o.version = true, status, r.EntryVersion
				return
			}
		case http.StatusConflict, http.StatusNotFound:
			var r registry.ErrorResponse
			if json.Unmarshal(body, &r) == nil {
				o.resultKnown, o.status, o.version = true, status, r.ConflictingVersion
				return
			}
		}
	}
}

// sendWrite makes one attempt of a write. The status is 0 if there was no complete response.
func (w *randomClient) sendWrite(o *op, id string, timeout time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
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
func (w *randomClient) send(ctx context.Context, method, path string, body []byte) (int, []byte) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+w.randomAddress()+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	resp, err := w.httpClient.Do(req)
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

// read makes one linearizable read (current=1). If the read fails, its result stays unknown.
func (w *randomClient) read(ctx context.Context, o *op) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	status, body := w.send(ctx, http.MethodGet, "/registry/instances?current=1", nil)
	var a registry.ListResponse
	if status != http.StatusOK || json.Unmarshal(body, &a) != nil || !a.Snapshot {
		return
	}
	o.resultKnown, o.status = true, status
	for _, e := range a.Endpoints {
		if e.Name == o.name {
			o.entryFound, o.readWeight, o.readStatus = true, e.Weight, e.Status
		}
	}
}

// watcher watches the list, each time at a random replica, and records the entries and changes that it
// receives.
type watcher struct {
	client     *randomClient
	version    uint64
	epoch      string
	entries    map[string]registry.Endpoint
	changes    map[uint64]registry.Endpoint // received changes by version
	violations []string
}

func newWatcher(c *cluster, number int) *watcher {
	return &watcher{
		client:  newRandomClient(c, number),
		entries: map[string]registry.Endpoint{},
		changes: map[uint64]registry.Endpoint{},
	}
}

// run watches until ctx has ended and the watcher has reached the version that finalVersion returns. A
// watcher that doesn't reach it within readyTimeout after the end of ctx is a violation.
func (v *watcher) run(ctx context.Context, finalVersion func() uint64) {
	defer v.client.httpClient.CloseIdleConnections()
	var endedAt time.Time
	for ctx.Err() == nil || v.version < finalVersion() {
		if ctx.Err() != nil && endedAt.IsZero() {
			endedAt = time.Now()
		} else if !endedAt.IsZero() && time.Since(endedAt) > readyTimeout {
			v.violations = append(
				v.violations,
				fmt.Sprintf("it stays at version %d, the list is at %d", v.version, finalVersion()),
			)
			return
		}
		callCtx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
		path := fmt.Sprintf("/registry/instances?from=%d&epoch=%s&hold_ms=300", v.version, v.epoch)
		status, body := v.client.send(callCtx, http.MethodGet, path, nil)
		cancel()
		var a registry.ListResponse
		if status != http.StatusOK || json.Unmarshal(body, &a) != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		v.apply(a)
	}
}

// apply applies a response to the watcher's entries. Violations are a changed epoch, a lower version, a
// complete list although the changes are still available, and a number of changes that doesn't match the
// versions.
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
