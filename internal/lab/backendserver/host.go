// Package backendserver serves emulated app backends on sockets, and records every attempt that reaches them.
package backendserver

import (
	"fmt"
	"sync"

	"wrenspread/internal/lab/backend"
	"wrenspread/internal/lab/history"
	"wrenspread/internal/lab/link"
	"wrenspread/internal/lab/load"
	"wrenspread/internal/lab/world"
)

// Host runs the backends of a lab.
type Host struct {
	log      *history.Log
	net      *link.Net
	requests *load.RequestIndex
	seed     uint64
	servers  map[string]*Server // by the backend's name
	tasks    sync.WaitGroup

	mu           sync.Mutex            // not to be held while a Server's lock is acquired
	openAttempts map[string][]*attempt // by request ID
	pods         map[int]*pod          // by number
}

// pod is a backend.Pod with the lock that its backends share.
type pod struct {
	sync.Mutex
	*backend.Pod
}

// NewHost creates and starts the backends of a world.
func NewHost(log *history.Log, net *link.Net, requests *load.RequestIndex, seed uint64,
	w world.World) (*Host, error) {
	h := &Host{
		log:          log,
		net:          net,
		requests:     requests,
		seed:         seed,
		servers:      map[string]*Server{},
		openAttempts: map[string][]*attempt{},
		pods:         map[int]*pod{},
	}
	var window = w.Classes[0].Window
	for _, c := range w.Classes {
		window = max(window, c.Window)
	}
	for i, m := range w.Machines {
		if h.pods[m.Pod] == nil {
			h.pods[m.Pod] = &pod{Pod: backend.NewPod(window + world.SocketSlack)}
		}
		address, free, err := link.Reserve()
		if err != nil {
			h.Close()
			return nil, fmt.Errorf("reserve address of backend %s: %w", m.Name, err)
		}
		s := &Server{host: h, machine: m, Address: address, free: free, seed: seed + uint64(i)<<32,
			pod:      h.pods[m.Pod],
			attempts: map[uint64]*attempt{}, conns: map[*connection]bool{},
			degradations: map[string]backend.Degradation{}}
		h.servers[m.Name] = s
		if err := s.Start(""); err != nil {
			h.Close()
			return nil, err
		}
	}
	return h, nil
}

// Backend returns the backend of that name, or nil.
func (h *Host) Backend(name string) *Server { return h.servers[name] }

// Close ends all backends and waits for their goroutines.
func (h *Host) Close() {
	for _, s := range h.servers {
		s.Crash()
		s.free()
	}
	h.tasks.Wait()
}

// addAttempt records that an attempt is open. It returns the backends at which other attempts of the same
// request are open. An attempt is open if, according to the kernel, the node has not closed its connection.
func (h *Host) addAttempt(a *attempt) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var openAt []string
	for _, other := range h.openAttempts[a.id] {
		if other.conn.stream != nil && !other.conn.stream.ClosedByOpener() {
			openAt = append(openAt, other.backend)
		}
	}
	h.openAttempts[a.id] = append(h.openAttempts[a.id], a)
	return openAt
}

// removeAttempt records that an attempt has ended.
func (h *Host) removeAttempt(a *attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	attempts := h.openAttempts[a.id]
	for i, other := range attempts {
		if other == a {
			attempts = append(attempts[:i:i], attempts[i+1:]...)
			break
		}
	}
	if len(attempts) == 0 {
		delete(h.openAttempts, a.id)
	} else {
		h.openAttempts[a.id] = attempts
	}
}
