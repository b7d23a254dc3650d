package fleet

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"wrenspread/internal/agent"
	"wrenspread/internal/backoff"
	"wrenspread/internal/besteffort"
	"wrenspread/internal/fencing"
	"wrenspread/internal/lab/backend"
	"wrenspread/internal/lab/link"
	"wrenspread/internal/lab/spec"
	"wrenspread/internal/registry"
)

// agents is the stand-in for the agents of all machines of backends: their calls and
// fencing tokens are those of the real one, their servers the emulated backends. A backend of a
// bad version has its trouble.
type agents struct {
	f     *fleet
	guard *fencing.Guard
	bad   map[string]backend.Trouble // by version
	srv   *http.Server
	tasks sync.WaitGroup

	mu      sync.Mutex
	boxes   map[string]*kept
	mostOut int // backends that did not serve at once, at the most
}

// kept is one backend as its agent has it.
type kept struct {
	agent.Status
	busy bool // a replacement is under way
}

const (
	agentsRecord = "lab"
	replaceTime  = 400 * time.Millisecond // from the end of a backend's process to the start of the next
)

// newAgents serves until the run ends. All backends begin in a version.
func newAgents(f *fleet, version string, bad map[string]backend.Trouble) (*agents, error) {
	a := &agents{f: f, bad: bad, boxes: map[string]*kept{}}
	var err error
	if a.guard, err = fencing.Open(""); err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	door, err := f.net.Connect(link.Ends{From: spec.Conductors, To: spec.Agents}, ln.Addr().String())
	if err != nil {
		besteffort.Close(ln)
		return nil, err
	}
	card := agent.Record{Machine: agentsRecord, Address: door}
	for _, m := range f.w.Machines {
		card.Servers = append(card.Servers, m.Name)
		a.boxes[m.Name] = &kept{
			Status: agent.Status{Name: m.Name, Version: version, WantedVersion: version, Running: true, Ready: true},
		}
		a.list(m.Name)
	}
	raw, err := json.Marshal(card)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /servers/{name}", a.get)
	mux.HandleFunc("PUT /servers/{name}", a.put)
	a.srv = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = a.srv.Serve(ln) }() // until Close
	f.atEnd(func() { besteffort.Close(a.srv); a.tasks.Wait() })
	ctx, cancel := context.WithTimeout(f.service.ctx, readyTime)
	defer cancel()
	_, err = f.service.boxes.client.Put(ctx, agent.RecordPrefix+agentsRecord, raw, nil)
	return a, err
}

func (a *agents) get(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	k := a.boxes[r.PathValue("name")]
	if k == nil {
		http.NotFound(w, r)
		return
	}
	besteffort.Encode(json.NewEncoder(w).Encode(k.Status))
}

func (a *agents) put(w http.ResponseWriter, r *http.Request) {
	var o agent.DesiredState
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if status, err := a.guard.CheckRequest(r); err != nil {
		http.Error(w, err.Error(), status)
		return
	}
	name := r.PathValue("name")
	a.mu.Lock()
	defer a.mu.Unlock()
	k := a.boxes[name]
	if k == nil {
		http.NotFound(w, r)
		return
	}
	if changed := k.KeepDraining != o.KeepDraining; changed {
		k.KeepDraining = o.KeepDraining
		a.list(name)
	}
	if k.WantedVersion = o.Version; k.WantedVersion != k.Version && !k.busy {
		k.busy, k.Running, k.Ready = true, false, false
		a.tasks.Go(func() { a.replace(name) })
	}
	a.count()
	besteffort.Encode(json.NewEncoder(w).Encode(k.Status))
}

// count notes how many backends do not serve. The caller holds the lock.
func (a *agents) count() {
	out := 0
	for _, k := range a.boxes {
		if k.KeepDraining || !k.Ready {
			out++
		}
	}
	a.mostOut = max(a.mostOut, out)
}

// list has a backend's entry be as the backend is. The caller holds the lock.
func (a *agents) list(name string) {
	k := a.boxes[name]
	e := a.f.entry(name, registry.Ready, strconv.FormatInt(k.StartedAtMS, 10))
	e.Version = k.Version
	if k.KeepDraining {
		e.Status = registry.Draining
	}
	a.f.service.boxes.ready(e)
}

// replace ends a backend's process and starts it, cold, in the version that is wanted.
func (a *agents) replace(name string) {
	b := a.f.host.Box(name)
	b.Crash()
	backoff.Sleep(a.f.service.ctx, replaceTime)
	since := a.f.log.At(a.f.log.Now()).UnixMilli()
	err := b.Start(strconv.FormatInt(since, 10))
	a.mu.Lock()
	defer a.mu.Unlock()
	k := a.boxes[name]
	k.Version, k.StartedAtMS, k.busy = k.WantedVersion, since, false
	if k.Running, k.Ready = err == nil, err == nil; err != nil {
		k.Reason = err.Error()
	}
	b.Suffer("version", nil)
	if t, ok := a.bad[k.Version]; ok {
		b.Suffer("version", &t)
	}
	a.list(name)
}

// versions counts the backends that serve, by version.
func (a *agents) versions() (by map[string]int, mostOut int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	by = map[string]int{}
	for _, k := range a.boxes {
		if k.Ready && !k.KeepDraining {
			by[k.Version]++
		}
	}
	return by, a.mostOut
}
