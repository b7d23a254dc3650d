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
	"wrenspread/internal/besteffort"
)

const (
	maxOperatorConns     = 16                     // open connections of operators
	operatorCallTimeout  = 2 * time.Second        // to read a complete call; callers wait 1 s
	maxCallHeadBytes     = 4 << 10                // size of a call's header
	controlRetryInterval = 250 * time.Millisecond // between two attempts to listen at the control address

	maintenanceTimeout = 800 * time.Millisecond // for the loop to begin a maintenance call
)

// ServeControl serves the operators' routes at an address until ctx ends. If it can't listen there, it tries
// again every controlRetryInterval; clients are served meanwhile.
func (srv *Server) ServeControl(ctx context.Context, address string) {
	logged := false
	for ctx.Err() == nil {
		ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
		if err == nil {
			err = srv.serveControl(ctx, ln)
		}
		if err != nil && !logged && ctx.Err() == nil {
			logged = true
			srv.log.Error("control address not available, retrying", "err", err)
		}
		backoff.Sleep(ctx, controlRetryInterval)
	}
}

func (srv *Server) serveControl(ctx context.Context, ln net.Listener) error {
	server := &http.Server{
		Handler:        srv.controlMux(),
		ReadTimeout:    operatorCallTimeout,
		WriteTimeout:   operatorCallTimeout + time.Second,
		MaxHeaderBytes: maxCallHeadBytes,
		ErrorLog:       slog.NewLogLogger(srv.log.Handler(), slog.LevelDebug),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, operatorConnKey{}, c)
		},
	}
	server.SetKeepAlivesEnabled(false)
	stop := context.AfterFunc(ctx, func() { besteffort.Close(server) })
	defer stop()
	return server.Serve(&operatorListener{Listener: ln})
}

func (srv *Server) controlMux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthcheck", func(w http.ResponseWriter, _ *http.Request) {
		if !srv.frontend.acceptsNow() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		besteffort.Output(fmt.Fprintln(w, "ok"))
	})
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		srv.stats.write(w)
		writeStats(w, []stat{
			gauge("app.memory_reserved_bytes", srv.memory.Used()),
			gauge("app.memory_budget_bytes", srv.memory.Capacity()),
			gauge("app.memory_waiting", int64(srv.memory.Waiting())),
			counter("app.memory_denials", srv.memory.Denials()),
		})
		if gossipServer := srv.membership.Load(); gossipServer != nil {
			gossipServer.WriteStats(w)
		}
		if srv.policy != nil {
			srv.policy.write(w)
		}
		if srv.tenants != nil {
			srv.tenants.write(w)
		}
	})
	if srv.config.Membership.Name != "" {
		mux.HandleFunc("GET /fleet", srv.serveFleet)
	}
	if srv.config.Tenants.Enabled {
		mux.HandleFunc("GET /tenants", srv.serveTenants)
	}
	mux.HandleFunc(
		"POST /backends/{id}/maint",
		func(w http.ResponseWriter, r *http.Request) { srv.serveMaintenance(w, r, true) },
	)
	mux.HandleFunc(
		"POST /backends/{id}/ready",
		func(w http.ResponseWriter, r *http.Request) { srv.serveMaintenance(w, r, false) },
	)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(operatorConnKey{}).(*operatorConn); ok {
			c.hasCalled.Store(true)
		}
		if path.Clean(r.URL.Path) != r.URL.Path { // the mux would answer with a redirect instead of 404
			http.NotFound(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// serveMaintenance carries out a maintenance call. It rejects a call that has the fencing token of a lease if
// a later holder of that lease has already called this proxy.
func (srv *Server) serveMaintenance(w http.ResponseWriter, r *http.Request, on bool) {
	if status, err := srv.fencing.CheckRequest(r); err != nil {
		http.Error(w, err.Error(), status)
		return
	}
	switch err := srv.requestMaintenance(r.Context(), r.PathValue("id"), on); {
	case errors.Is(err, errUnknownBackend):
		http.Error(w, err.Error(), http.StatusNotFound)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		besteffort.Output(fmt.Fprintln(w, "ok"))
	}
}

// operatorConnKey is the context key of the operatorConn on which a request came.
type operatorConnKey struct{}

// operatorListener limits the operators' connections to maxOperatorConns. A new connection above the limit
// displaces the oldest one that has made no call, so that idle connections don't block calls.
type operatorListener struct {
	net.Listener
	mu   sync.Mutex
	open []*operatorConn // oldest first
}

// operatorConn is an operator's connection that operatorListener counts.
type operatorConn struct {
	net.Conn
	listener  *operatorListener
	hasCalled atomic.Bool
}

// Accept returns the next connection that is admitted, and closes those that are not.
func (l *operatorListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if admitted := l.admit(c); admitted != nil {
			return admitted, nil
		}
		besteffort.Close(c)
	}
}

// admit counts a connection as open. If the limit is reached, it closes the oldest connection that has made
// no call; if all have made one, it returns nil.
func (l *operatorListener) admit(c net.Conn) *operatorConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) >= maxOperatorConns {
		i := slices.IndexFunc(l.open, func(c *operatorConn) bool { return !c.hasCalled.Load() })
		if i < 0 {
			return nil
		}
		besteffort.Close(l.open[i].Conn)
		l.open = slices.Delete(l.open, i, i+1)
	}
	admitted := &operatorConn{Conn: c, listener: l}
	l.open = append(l.open, admitted)
	return admitted
}

// Close closes the connection and removes it from the listener's count.
func (c *operatorConn) Close() error {
	c.listener.mu.Lock()
	c.listener.open = slices.DeleteFunc(c.listener.open, func(open *operatorConn) bool { return open == c })
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
