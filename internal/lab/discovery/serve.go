package discovery

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/lab/history"
)

// maxWatchHold is the longest time for which a response is held back until a change. The protocol sets the
// same bound.
const maxWatchHold = time.Minute

// Serve answers the requests of the agent's node until stop is called. It listens on a separate address.
func (a *Agent) Serve(log *history.Log) (address string, stop func(), err error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", nil, fmt.Errorf("listen for discovery of %s: %w", a.Node, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	srv := &http.Server{Handler: a.handler(log), ReadHeaderTimeout: 5 * time.Second,
		BaseContext: func(net.Listener) context.Context { return ctx }}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = srv.Serve(ln) // returns an error when the server is closed
	}()
	return ln.Addr().String(), func() { cancel(); besteffort.Close(srv); <-ended }, nil
}

// handler returns a handler that serves the list protocol and records each entry that it sends.
func (a *Agent) handler(log *history.Log) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", func(w http.ResponseWriter, r *http.Request) {
		from, hold, err := parseQuery(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if from > 0 && hold > 0 && !a.wait(r.Context(), from, hold) {
			return // the client has disconnected
		}
		response := a.List(from, a.now())
		w.Header().Set("Content-Type", "application/json")
		if json.NewEncoder(w).Encode(response) != nil || http.NewResponseController(w).Flush() != nil {
			return
		}
		for _, e := range response.Endpoints {
			log.Add(history.Event{Kind: history.Notified, Node: a.Node, Backend: e.Name, How: e.Status,
				Index: response.Index, Detail: strconv.FormatInt(e.StartedAtMS, 10)})
		}
	})
	return mux
}

// parseQuery returns the version that the client has, and for how long the response may be held back.
func parseQuery(r *http.Request) (from uint64, hold time.Duration, err error) {
	q := r.URL.Query()
	if s := q.Get("from"); s != "" {
		if from, err = strconv.ParseUint(s, 10, 64); err != nil {
			return 0, 0, fmt.Errorf("from: %w", err)
		}
	}
	if s := q.Get("hold_ms"); s != "" {
		ms, err := strconv.ParseUint(s, 10, 32)
		if err != nil {
			return 0, 0, fmt.Errorf("hold_ms: %w", err)
		}
		hold = min(maxWatchHold, time.Duration(ms)*time.Millisecond)
	}
	return from, hold, nil
}

// wait waits until the agent has another version than from, or hold has passed. It returns false if the
// client has disconnected.
func (a *Agent) wait(ctx context.Context, from uint64, hold time.Duration) bool {
	deadline := a.now() + hold
	for {
		now := a.now()
		index, nextArrival, wake := a.state(now)
		if index != from || now >= deadline {
			return true
		}
		if nextArrival == 0 || nextArrival > deadline {
			nextArrival = deadline
		}
		t := time.NewTimer(nextArrival - now)
		select {
		case <-wake:
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return false
		}
		t.Stop()
	}
}
