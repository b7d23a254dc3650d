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

// Resource is what holders act on. It takes every write, or with a guard those
// that no later holder has overtaken, and remembers the order in which they came.
type Resource struct {
	guard *fencing.Guard // nil: it takes all
	srv   *http.Server
	ln    net.Listener
	mu    sync.Mutex
	acts  []Act // those taken
	down  int   // turned down
}

// maxAct bounds a write, in bytes.
const maxAct = 4 << 10

// NewResource serves on a port of the system's choice until Close.
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
		return nil, fmt.Errorf("resource: %w", err)
	}
	r.ln, r.srv = ln, &http.Server{Handler: r, ReadHeaderTimeout: time.Minute}
	go func() { _ = r.srv.Serve(ln) }() // until Close
	return r, nil
}

// Address is where it listens.
func (r *Resource) Address() string { return r.ln.Addr().String() }

// Close ends it.
func (r *Resource) Close() { besteffort.Close(r.srv) }

func (r *Resource) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxAct))
	var a Act
	if err == nil {
		err = json.Unmarshal(raw, &a)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.mu.Lock() // the check and the act are one step, as at any guarded resource
	defer r.mu.Unlock()
	if r.guard != nil {
		if status, err := r.guard.CheckRequest(req); err != nil {
			r.down++
			http.Error(w, err.Error(), status)
			return
		}
	}
	a.To, a.Done = clock(), true
	r.acts = append(r.acts, a)
}

// Acts are those taken, in their order, and how many were turned down.
func (r *Resource) Acts() (acts []Act, down int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Act(nil), r.acts...), r.down
}
