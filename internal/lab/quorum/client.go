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

// The entries that clients write: few, so that they meet.
const names = 4

// op is one operation of a client on one entry, with its answer.
type op struct {
	client     int
	do         string // register, drain, remove or read
	name       string
	weight     float64
	cond       *uint64
	from, to   time.Duration
	known      bool // what came of it is known
	status     int
	version    uint64 // of the entry: after a write, or in the way
	there      bool   // what a read found
	seenWeight float64
	seenStatus string
}

const (
	tryTime = 1500 * time.Millisecond // for one try of a write
	opTime  = 4 * time.Second         // at most, after which a write is given up, its end unknown
)

// worker is one client.
type worker struct {
	c      *cluster
	n      int
	chance *rand.Rand
	http   *http.Client
	last   map[string]uint64 // versions of entries, as last seen, for conditions
	ops    []op
}

func newWorker(c *cluster, n int) *worker {
	return &worker{
		c:      c,
		n:      n,
		chance: rand.New(rand.NewPCG(c.o.Seed, uint64(n))),
		http:   &http.Client{Transport: &http.Transport{}},
		last:   map[string]uint64{},
	}
}

func (w *worker) run(ctx context.Context) {
	defer w.http.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		o := op{
			client: w.n,
			name:   fmt.Sprint("s", w.chance.IntN(names)),
			weight: float64(w.chance.IntN(1000)),
			do:     "read",
		}
		switch k := w.chance.IntN(10); {
		case k < 4:
			o.do = "register"
		case k < 5:
			o.do = "drain"
		case k < 6:
			o.do = "remove"
		}
		if o.do != "read" && w.chance.IntN(2) == 0 {
			v := w.last[o.name]
			o.cond = &v
		}
		o.from = w.c.log.Now()
		if o.do == "read" {
			w.read(ctx, &o)
		} else {
			w.write(&o, fmt.Sprintf("%d-%d-%d", w.c.o.Seed, w.n, i))
		}
		o.to = w.c.log.Now()
		if o.known || o.do != "read" {
			w.ops = append(w.ops, o)
		}
		if o.known {
			w.last[o.name] = o.version
		}
		backoff.Sleep(ctx, time.Duration(w.chance.IntN(20))*time.Millisecond)
	}
}

func (w *worker) door() string { return w.c.doors[w.chance.IntN(len(w.c.doors))] }

// write tries one write, under one id, until its end is known or its time is over.
func (w *worker) write(o *op, id string) {
	patience := time.Duration(w.chance.Int64N(int64(opTime)))
	wait := tryTime
	if w.chance.IntN(3) == 0 { // the first answer may well be lost, and the write is repeated under its id
		wait = time.Duration(1+w.chance.IntN(8)) * time.Millisecond
	}
	for until := time.Now().Add(patience); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		status, body := w.call(o, id, wait)
		wait = tryTime
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

func (w *worker) call(o *op, id string, wait time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	body := registry.WriteRequest{ID: id, IfVersion: o.cond}
	method, path := http.MethodDelete, "/registry/instances/"+o.name
	switch o.do {
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
	return w.do(ctx, method, path, raw)
}

func (w *worker) do(ctx context.Context, method, path string, body []byte) (int, []byte) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+w.door()+path, bytes.NewReader(body))
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

// read makes one current read; one that fails says nothing.
func (w *worker) read(ctx context.Context, o *op) {
	ctx, cancel := context.WithTimeout(ctx, tryTime)
	defer cancel()
	status, body := w.do(ctx, http.MethodGet, "/registry/instances?current=1", nil)
	var a registry.ListResponse
	if status != http.StatusOK || json.Unmarshal(body, &a) != nil || !a.Snapshot {
		return
	}
	o.known, o.status = true, status
	for _, e := range a.Endpoints {
		if e.Name == o.name {
			o.there, o.seenWeight, o.seenStatus = true, e.Weight, e.Status
		}
	}
}

// watcher follows the list over all replicas and keeps what it was told.
type watcher struct {
	w       *worker
	version uint64
	epoch   string
	held    map[string]registry.Endpoint
	told    map[uint64]registry.Endpoint // changes by their versions
	wrong   []string
}

func newWatcher(c *cluster, n int) *watcher {
	return &watcher{
		w:    newWorker(c, n),
		held: map[string]registry.Endpoint{},
		told: map[uint64]registry.Endpoint{},
	}
}

// run watches until ctx ends and it has reached the version that enough gives by then.
func (v *watcher) run(ctx context.Context, enough func() uint64) {
	defer v.w.http.CloseIdleConnections()
	var over time.Time
	for ctx.Err() == nil || v.version < enough() {
		if ctx.Err() != nil && over.IsZero() {
			over = time.Now()
		} else if !over.IsZero() && time.Since(over) > readyTime {
			v.wrong = append(v.wrong, fmt.Sprintf("it stays at version %d, the list is at %d", v.version, enough()))
			return
		}
		call, cancel := context.WithTimeout(context.Background(), tryTime)
		path := fmt.Sprintf("/registry/instances?from=%d&epoch=%s&hold_ms=300", v.version, v.epoch)
		status, body := v.w.do(call, http.MethodGet, path, nil)
		cancel()
		var a registry.ListResponse
		if status != http.StatusOK || json.Unmarshal(body, &a) != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		v.take(a)
	}
}

func (v *watcher) take(a registry.ListResponse) {
	switch {
	case v.epoch != "" && a.Epoch != v.epoch:
		v.wrong = append(v.wrong, fmt.Sprintf("epoch %s after %s, though nothing was lost", a.Epoch, v.epoch))
	case a.Index < v.version:
		v.wrong = append(v.wrong, fmt.Sprintf("version %d after %d", a.Index, v.version))
	case a.Snapshot && v.version > 0:
		v.wrong = append(
			v.wrong,
			fmt.Sprintf("a whole list at %d, though version %d can't have been trimmed", a.Index, v.version),
		)
	case !a.Snapshot && a.Index-v.version != uint64(len(a.Endpoints)):
		v.wrong = append(v.wrong, fmt.Sprintf("%d changes from %d to %d", len(a.Endpoints), v.version, a.Index))
	}
	for i, e := range a.Endpoints {
		if !a.Snapshot {
			v.told[v.version+uint64(i)+1] = e
		}
		v.held[e.Name] = e
		if e.Status == registry.Removed {
			delete(v.held, e.Name)
		}
	}
	v.version, v.epoch = a.Index, a.Epoch
}
