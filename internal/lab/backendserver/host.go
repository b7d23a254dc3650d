// Package backendserver puts sockets around emulated app backends and writes down every
// attempt that reaches them.
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

// Host owns the backends of a lab.
type Host struct {
	log   *history.Log
	net   *link.Net
	book  *load.Book
	seed  uint64
	boxes map[string]*Server
	tasks sync.WaitGroup

	mu   sync.Mutex // never held while a backend's is taken
	open map[string][]*attempt
	pods map[int]*pod
}

type pod struct {
	sync.Mutex
	*backend.Pod
}

// NewHost makes the backends of a world; they answer at their addresses once started.
func NewHost(log *history.Log, net *link.Net, book *load.Book, seed uint64, w world.World) (*Host, error) {
	h := &Host{
		log:   log,
		net:   net,
		book:  book,
		seed:  seed,
		boxes: map[string]*Server{},
		open:  map[string][]*attempt{},
		pods:  map[int]*pod{},
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
			return nil, fmt.Errorf("box %s: %w", m.Name, err)
		}
		s := &Server{host: h, m: m, Address: address, free: free, seed: seed + uint64(i)<<32, pod: h.pods[m.Pod],
			attempts: map[uint64]*attempt{}, conns: map[*connection]bool{}, troubles: map[string]backend.Trouble{}}
		h.boxes[m.Name] = s
		if err := s.Start(""); err != nil {
			h.Close()
			return nil, err
		}
	}
	return h, nil
}

// Backend finds a backend by its name, or nil.
func (h *Host) Box(name string) *Server { return h.boxes[name] }

// Close ends all backends and waits for all that serves them.
func (h *Host) Close() {
	for _, s := range h.boxes {
		s.Crash()
		s.free()
	}
	h.tasks.Wait()
}

// enter notes that an attempt is open and gives the backends where the same
// request is open too: those of which the kernel says that the node has not
// ended the connection.
func (h *Host) enter(a *attempt) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var also []string
	for _, other := range h.open[a.id] {
		if other.conn.stream != nil && !other.conn.stream.LeftByOpener() {
			also = append(also, other.box)
		}
	}
	h.open[a.id] = append(h.open[a.id], a)
	return also
}

func (h *Host) leave(a *attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := h.open[a.id]
	for i, other := range all {
		if other == a {
			all = append(all[:i:i], all[i+1:]...)
			break
		}
	}
	if len(all) == 0 {
		delete(h.open, a.id)
	} else {
		h.open[a.id] = all
	}
}
