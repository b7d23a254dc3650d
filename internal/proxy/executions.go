package proxy

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"wrenspread/balancer"
)

const (
	// executionMemory is how long the ID of a request that may have run is remembered.
	executionMemory = time.Minute
	// maxExecutions bounds the IDs that are remembered; the oldest are forgotten first.
	maxExecutions = 8192
)

// executionKey stands for a request's ID: clients choose the IDs, and a key takes little memory.
type executionKey uint64

func keyOf(id balancer.RequestID) executionKey { return executionKey(xxhash.Sum64String(string(id))) }

// executions remembers which requests that must not run twice are open or may have run, in this process or in
// another process of this proxy. A client may send an ID again after it has left; the request does not run
// again then.
type executions struct {
	mu     sync.Mutex
	open   map[executionKey]bool      // being served by this process
	ran    map[executionKey]time.Time // when it may have run
	recent []executionKey             // the keys of ran, oldest first
}

func newExecutions() *executions {
	return &executions{open: map[executionKey]bool{}, ran: map[executionKey]time.Time{}}
}

// begin notes that this process serves a request. It returns false if the request is open or may have run.
func (e *executions) begin(key executionKey, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isKnownLocked(key, now) {
		return false
	}
	e.open[key] = true
	return true
}

// end notes that this process no longer serves a request.
func (e *executions) end(key executionKey, mayHaveRun bool, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if delete(e.open, key); mayHaveRun {
		e.recordLocked(key, now)
	}
}

// claim notes that another process serves a request. It returns false if the request is open here, or may
// have run.
func (e *executions) claim(key executionKey, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isKnownLocked(key, now) {
		return false
	}
	e.recordLocked(key, now)
	return true
}

// known returns all requests that are open or may have run.
func (e *executions) known() (keys []executionKey) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for key := range e.open {
		keys = append(keys, key)
	}
	return append(keys, e.recent...)
}

// restore notes requests that are open or may have run in the previous process.
func (e *executions) restore(keys []executionKey, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, key := range keys {
		e.recordLocked(key, now)
	}
}

func (e *executions) isKnownLocked(key executionKey, now time.Time) bool {
	at, ran := e.ran[key]
	return e.open[key] || ran && now.Sub(at) < executionMemory
}

func (e *executions) recordLocked(key executionKey, now time.Time) {
	if _, known := e.ran[key]; !known {
		e.recent = append(e.recent, key)
	}
	e.ran[key] = now
	for len(e.recent) > 0 && (len(e.recent) > maxExecutions || now.Sub(e.ran[e.recent[0]]) >= executionMemory) {
		delete(e.ran, e.recent[0])
		e.recent = e.recent[1:]
	}
}

// beginExecution notes that a request is served which must not run twice, in this process and in the other
// one of an upgrade. If the request may have run already, or that is not known, it returns the response and
// false.
func (srv *Server) beginExecution(ctx context.Context, r *request) (refusal response, ok bool) {
	if !r.runsOnce {
		return response{}, true
	}
	key := keyOf(r.id)
	if !srv.executions.begin(key, time.Now()) {
		return srv.refuseRepeatedID(r), false
	}
	result := srv.claimEverywhere(ctx, nil, key)
	if result == claimGranted {
		return response{}, true
	}
	srv.executions.end(key, false, time.Now())
	if result == claimDenied {
		return srv.refuseRepeatedID(r), false
	}
	srv.log.Warn("the other process has not answered a claim", "id", r.id)
	return response{status: http.StatusServiceUnavailable}, false
}

// refuseRepeatedID counts and logs a request whose ID has come before, and returns its response.
func (srv *Server) refuseRepeatedID(r *request) response {
	srv.stats.repeatedIDs.Add(1)
	srv.log.Info("request not forwarded, its id is open or may have run", "id", r.id, "class", r.class)
	return response{status: http.StatusConflict}
}

// endExecution notes that a request is no longer served. Its ID is remembered if it may have run and its
// client has no response that says so.
func (srv *Server) endExecution(r *request) {
	if r.runsOnce {
		srv.executions.end(keyOf(r.id), r.mayHaveRun && !r.served, time.Now())
	}
}

// recheckClient remembers the ID of a request that has run if its client left before it had the response.
func (srv *Server) recheckClient(r *request) {
	if r.runsOnce && r.abandoned() {
		srv.executions.claim(keyOf(r.id), time.Now())
	}
}
