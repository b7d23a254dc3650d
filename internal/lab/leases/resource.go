package leases

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/fencing"
)

// Resource is an HTTP server to which lease holders send their acts. Without a guard it accepts every act.
// With a guard it accepts only acts whose fencing token is not lower than the highest token of the lease so
// far. It records the accepted acts in order.
type Resource struct {
	guard    *fencing.Guard // nil means that every act is accepted
	server   *http.Server
	listener net.Listener
	mu       sync.Mutex
	acts     []Act // accepted acts, in order of arrival
	refused  int   // number of acts that the guard refused
}

// maxActBytes bounds the size of a request's body.
const maxActBytes = 4 << 10

// NewResource starts a resource on a free port of the loopback address; it serves until Close. A guarded
// resource checks fencing tokens, and stores the highest ones in memory only.
func NewResource(guarded bool) (*Resource, error) {
	r := &Resource{}
	if guarded {
		var err error
		if r.guard, err = fencing.Open(""); err != nil {
			return nil, err
		}
	}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for the workers' resource: %w", err)
	}
	r.listener, r.server = ln, &http.Server{Handler: r, ReadHeaderTimeout: time.Minute}
	go func() { _ = r.server.Serve(ln) }() // until Close
	return r, nil
}

// Address returns the address at which the resource listens.
func (r *Resource) Address() string { return r.listener.Addr().String() }

// Close ends the resource's server.
func (r *Resource) Close() { besteffort.Close(r.server) }

// ServeHTTP accepts or refuses one act.
func (r *Resource) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxActBytes))
	var a Act
	if err == nil {
		err = json.Unmarshal(raw, &a)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.mu.Lock() // the check of the token and the record of the act have to be one atomic step
	defer r.mu.Unlock()
	if r.guard != nil {
		if status, err := r.guard.CheckRequest(req); err != nil {
			r.refused++
			http.Error(w, err.Error(), status)
			return
		}
	}
	a.To, a.Done = monotonicNow(), true
	r.acts = append(r.acts, a)
}

// Acts returns the accepted acts in order, and the number of acts that the guard refused.
func (r *Resource) Acts() (acts []Act, refused int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Act(nil), r.acts...), r.refused
}
