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

// agents stands in for the agents of all backend machines. It has the API of the real agent and checks
// fencing tokens in the same way, but its servers are the emulated backends. A backend that runs a version
// in degradationByVersion is degraded accordingly.
type agents struct {
	fleet                *fleet
	guard                *fencing.Guard
	degradationByVersion map[string]backend.Degradation // degradation by version; other versions run normally
	server               *http.Server
	tasks                sync.WaitGroup

	mu             sync.Mutex
	backends       map[string]*agentBackend
	maxUnavailable int // highest number of backends that were unavailable at the same time
}

// agentBackend is the agent's state of one backend.
type agentBackend struct {
	agent.Status
	replacing bool // a replacement of the process is in progress
}

const (
	agentsRecordName = "lab"
	replacementDelay = 400 * time.Millisecond // from the end of a backend's process to the start of the next one
)

// newAgents starts the server of the agents, which runs until the run ends, and puts the agents' record into
// the registry. All backends start with the given version.
func newAgents(f *fleet, version string, bad map[string]backend.Degradation) (*agents, error) {
	a := &agents{fleet: f, degradationByVersion: bad, backends: map[string]*agentBackend{}}
	var err error
	if a.guard, err = fencing.Open(""); err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	address, err := f.net.Connect(link.Ends{From: spec.Conductors, To: spec.Agents}, ln.Addr().String())
	if err != nil {
		besteffort.Close(ln)
		return nil, err
	}
	machineRecord := agent.Record{Machine: agentsRecordName, Address: address}
	for _, m := range f.world.Machines {
		machineRecord.Servers = append(machineRecord.Servers, m.Name)
		a.backends[m.Name] = &agentBackend{
			Status: agent.Status{Name: m.Name, Version: version, WantedVersion: version, Running: true, Ready: true},
		}
		a.updateEntry(m.Name)
	}
	raw, err := json.Marshal(machineRecord)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /servers/{name}", a.getBackend)
	mux.HandleFunc("PUT /servers/{name}", a.putBackend)
	a.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = a.server.Serve(ln) }() // until Close
	f.onClose(func() { besteffort.Close(a.server); a.tasks.Wait() })
	ctx, cancel := context.WithTimeout(f.service.ctx, readyTimeout)
	defer cancel()
	_, err = f.service.registrar.client.Put(ctx, agent.RecordPrefix+agentsRecordName, raw, nil)
	return a, err
}

// getBackend answers with the status of one backend.
func (a *agents) getBackend(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	k := a.backends[r.PathValue("name")]
	if k == nil {
		http.NotFound(w, r)
		return
	}
	besteffort.Encode(json.NewEncoder(w).Encode(k.Status))
}

// putBackend sets the desired state of one backend: whether it stays draining, and its version. A different
// version starts a replacement of the process, unless one is in progress.
func (a *agents) putBackend(w http.ResponseWriter, r *http.Request) {
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
	k := a.backends[name]
	if k == nil {
		http.NotFound(w, r)
		return
	}
	if changed := k.KeepDraining != o.KeepDraining; changed {
		k.KeepDraining = o.KeepDraining
		a.updateEntry(name)
	}
	if k.WantedVersion = o.Version; k.WantedVersion != k.Version && !k.replacing {
		k.replacing, k.Running, k.Ready = true, false, false
		a.tasks.Go(func() { a.replaceProcess(name) })
	}
	a.updateMaxUnavailable()
	besteffort.Encode(json.NewEncoder(w).Encode(k.Status))
}

// updateMaxUnavailable counts the backends that are draining or not ready. The caller holds the lock.
func (a *agents) updateMaxUnavailable() {
	unavailable := 0
	for _, k := range a.backends {
		if k.KeepDraining || !k.Ready {
			unavailable++
		}
	}
	a.maxUnavailable = max(a.maxUnavailable, unavailable)
}

// updateEntry registers a backend's present version and status. The caller holds the lock.
func (a *agents) updateEntry(name string) {
	k := a.backends[name]
	e := a.fleet.entry(name, registry.Ready, strconv.FormatInt(k.StartedAtMS, 10))
	e.Version = k.Version
	if k.KeepDraining {
		e.Status = registry.Draining
	}
	a.fleet.service.registrar.register(e)
}

// replaceProcess ends a backend's process and starts a cold process of the wanted version.
func (a *agents) replaceProcess(name string) {
	b := a.fleet.host.Backend(name)
	b.Crash()
	backoff.Sleep(a.fleet.service.ctx, replacementDelay)
	since := a.fleet.log.At(a.fleet.log.Now()).UnixMilli()
	err := b.Start(strconv.FormatInt(since, 10))
	a.mu.Lock()
	defer a.mu.Unlock()
	k := a.backends[name]
	k.Version, k.StartedAtMS, k.replacing = k.WantedVersion, since, false
	if k.Running, k.Ready = err == nil, err == nil; err != nil {
		k.Reason = err.Error()
	}
	b.SetDegradation("version", nil)
	if t, ok := a.degradationByVersion[k.Version]; ok {
		b.SetDegradation("version", &t)
	}
	a.updateEntry(name)
}

// servingByVersion counts the ready backends that aren't draining by version, and returns the highest
// number of backends that were unavailable at the same time.
func (a *agents) servingByVersion() (by map[string]int, mostOut int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	by = map[string]int{}
	for _, k := range a.backends {
		if k.Ready && !k.KeepDraining {
			by[k.Version]++
		}
	}
	return by, a.maxUnavailable
}
