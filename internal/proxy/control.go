package proxy

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"path"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"wrenspread/internal/backoff"
)

const (
	mostCallers = 16                     // operators' connections at a time
	callTime    = 2 * time.Second        // for a call to come whole: callers wait one
	maxCall     = 4 << 10                // bytes of a call's head
	controlWait = 250 * time.Millisecond // before the address is tried again, if it can't be had

	maintainTime = 800 * time.Millisecond // for the loop to take a maintenance call
)

// ServeControl answers operators at an address until ctx ends, beside the
// clients and for as long as the process lives. An address that can't be had
// costs clients nothing and is tried again.
func (n *Node) ServeControl(ctx context.Context, address string) {
	said := false
	for ctx.Err() == nil {
		ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
		if err == nil {
			err = n.serveControl(ctx, ln)
		}
		if err != nil && !said && ctx.Err() == nil {
			said = true
			n.log.Error("operators are not served, trying again", "err", err)
		}
		backoff.Sleep(ctx, controlWait)
	}
}

func (n *Node) serveControl(ctx context.Context, ln net.Listener) error {
	srv := &http.Server{Handler: n.controlMux(), ReadTimeout: callTime, WriteTimeout: callTime + time.Second, MaxHeaderBytes: maxCall,
		ErrorLog: slog.NewLogLogger(n.log.Handler(), slog.LevelDebug),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, callerKey{}, c)
		}}
	srv.SetKeepAlivesEnabled(false)
	stop := context.AfterFunc(ctx, func() { srv.Close() })
	defer stop()
	return srv.Serve(&callers{Listener: ln})
}

func (n *Node) controlMux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthcheck", func(w http.ResponseWriter, _ *http.Request) {
		if !n.front.welcomes() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ok")
	})
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		n.stats.write(w)
		if shell := n.view.Load(); shell != nil {
			shell.WriteStats(w)
		}
		if n.governed != nil {
			n.governed.write(w)
		}
		if n.tenants != nil {
			n.tenants.write(w)
		}
	})
	if n.cfg.Fleet.Name != "" {
		mux.HandleFunc("GET /fleet", n.answerFleet)
	}
	if n.cfg.Tenants.Known {
		mux.HandleFunc("GET /tenants", n.answerTenants)
	}
	mux.HandleFunc("POST /backends/{id}/maint", func(w http.ResponseWriter, r *http.Request) { n.answerMaintenance(w, r, true) })
	mux.HandleFunc("POST /backends/{id}/ready", func(w http.ResponseWriter, r *http.Request) { n.answerMaintenance(w, r, false) })
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(callerKey{}).(*caller); ok {
			c.called.Store(true)
		}
		if path.Clean(r.URL.Path) != r.URL.Path { // the mux would send the caller elsewhere, which is no answer
			http.NotFound(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// answerMaintenance takes a call, unless it names a fence and a later holder of
// that duty has called here.
func (n *Node) answerMaintenance(w http.ResponseWriter, r *http.Request, on bool) {
	if status, err := n.fences.CheckRequest(r); err != nil {
		http.Error(w, err.Error(), status)
		return
	}
	switch err := n.maintain(r.Context(), r.PathValue("id"), on); {
	case errors.Is(err, errUnknown):
		http.Error(w, err.Error(), http.StatusNotFound)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		fmt.Fprintln(w, "ok")
	}
}

type callerKey struct{}

// callers bounds the operators' connections. One that comes while all are open
// displaces the oldest that has made no call: those that only connect hold up
// nobody.
type callers struct {
	net.Listener
	mu   sync.Mutex
	open []*caller // the oldest first
}

type caller struct {
	net.Conn
	of     *callers
	called atomic.Bool
}

func (l *callers) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if in := l.admit(c); in != nil {
			return in, nil
		}
		c.Close()
	}
}

func (l *callers) admit(c net.Conn) *caller {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) >= mostCallers {
		i := slices.IndexFunc(l.open, func(c *caller) bool { return !c.called.Load() })
		if i < 0 {
			return nil
		}
		l.open[i].Conn.Close()
		l.open = slices.Delete(l.open, i, i+1)
	}
	in := &caller{Conn: c, of: l}
	l.open = append(l.open, in)
	return in
}

func (c *caller) Close() error {
	c.of.mu.Lock()
	c.of.open = slices.DeleteFunc(c.of.open, func(o *caller) bool { return o == c })
	c.of.mu.Unlock()
	return c.Conn.Close()
}
