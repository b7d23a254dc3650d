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

// agents emulates the agents of all backend machines. It has the API of the real agent and checks fencing
// tokens in the same way, but controls the emulated backends instead of processes. A backend that runs a
// version in degradationByVersion is degraded accordingly.
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

// newAgents starts the HTTP server of the agents, which serves until the run is closed, and puts the record
// that names the server's address and all backends into the registry. All backends start with the given
// version.
func newAgents(f *fleet, version string, degradations map[string]backend.Degradation) (*agents, error) {
	a := &agents{fleet: f, degradationByVersion: degradations, backends: map[string]*agentBackend{}}
	var err error
	if a.guard, err = fencing.Open(""); err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	address, err := f.net.Connect(link.Ends{From: spec.Controllers, To: spec.Agents}, ln.Addr().String())
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
	state := a.backends[r.PathValue("name")]
	if state == nil {
		http.NotFound(w, r)
		return
	}
	besteffort.Encode(json.NewEncoder(w).Encode(state.Status))
}

// putBackend sets the desired state of one backend: whether it stays draining, and its version. If the
// version differs from the running one, putBackend starts a replacement of the process, unless a replacement
// is in progress.
func (a *agents) putBackend(w http.ResponseWriter, r *http.Request) {
	var desired agent.DesiredState
	if err := json.NewDecoder(r.Body).Decode(&desired); err != nil {
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
	state := a.backends[name]
	if state == nil {
		http.NotFound(w, r)
		return
	}
	if changed := state.KeepDraining != desired.KeepDraining; changed {
		state.KeepDraining = desired.KeepDraining
		a.updateEntry(name)
	}
	if state.WantedVersion = desired.Version; state.WantedVersion != state.Version && !state.replacing {
		state.replacing, state.Running, state.Ready = true, false, false
		a.tasks.Go(func() { a.replaceProcess(name) })
	}
	a.updateMaxUnavailable()
	besteffort.Encode(json.NewEncoder(w).Encode(state.Status))
}

// updateMaxUnavailable counts the backends that are draining or not ready, and raises maxUnavailable to this
// number if it is higher. The caller holds the lock.
func (a *agents) updateMaxUnavailable() {
	unavailable := 0
	for _, state := range a.backends {
		if state.KeepDraining || !state.Ready {
			unavailable++
		}
	}
	a.maxUnavailable = max(a.maxUnavailable, unavailable)
}

// updateEntry registers a backend's present version and status. The caller holds the lock.
func (a *agents) updateEntry(name string) {
	state := a.backends[name]
	e := a.fleet.entry(name, registry.Ready, strconv.FormatInt(state.StartedAtMS, 10))
	e.Version = state.Version
	if state.KeepDraining {
		e.Status = registry.Draining
	}
	a.fleet.service.registrar.register(e)
}

// replaceProcess ends a backend's process and, after replacementDelay, starts a cold process of the wanted
// version.
func (a *agents) replaceProcess(name string) {
	b := a.fleet.host.Backend(name)
	b.Crash()
	backoff.Sleep(a.fleet.service.ctx, replacementDelay)
	startedAtMS := a.fleet.log.At(a.fleet.log.Now()).UnixMilli()
	err := b.Start(strconv.FormatInt(startedAtMS, 10))
	a.mu.Lock()
	defer a.mu.Unlock()
	state := a.backends[name]
	state.Version, state.StartedAtMS, state.replacing = state.WantedVersion, startedAtMS, false
	if state.Running, state.Ready = err == nil, err == nil; err != nil {
		state.Reason = err.Error()
	}
	b.SetDegradation("version", nil)
	if degradation, ok := a.degradationByVersion[state.Version]; ok {
		b.SetDegradation("version", &degradation)
	}
	a.updateEntry(name)
}

// servingByVersion returns the number of backends of each version that are ready and not draining, and the
// highest number of backends that were unavailable at the same time.
func (a *agents) servingByVersion() (serving map[string]int, maxUnavailable int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	serving = map[string]int{}
	for _, state := range a.backends {
		if state.Ready && !state.KeepDraining {
			serving[state.Version]++
		}
	}
	return serving, a.maxUnavailable
}
