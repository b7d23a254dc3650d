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
	maxOperatorConns    = 16                     // operators' connections at a time
	operatorCallTimeout = 2 * time.Second        // for a call to be complete: callers wait one
	maxCall             = 4 << 10                // bytes of a call's head
	controlRetry        = 250 * time.Millisecond // before the address is tried again, if it can't be had

	maintenanceTimeout = 800 * time.Millisecond // for the loop to take a maintenance call
)

// ServeControl answers operators at an address until ctx ends, beside the
// clients and for as long as the process lives. An address that can't be had
// costs clients nothing and is tried again.
func (srv *Server) ServeControl(ctx context.Context, address string) {
	said := false
	for ctx.Err() == nil {
		ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
		if err == nil {
			err = srv.serveControl(ctx, ln)
		}
		if err != nil && !said && ctx.Err() == nil {
			said = true
			srv.log.Error("control address not available, retrying", "err", err)
		}
		backoff.Sleep(ctx, controlRetry)
	}
}

func (srv *Server) serveControl(ctx context.Context, ln net.Listener) error {
	server := &http.Server{
		Handler:        srv.controlMux(),
		ReadTimeout:    operatorCallTimeout,
		WriteTimeout:   operatorCallTimeout + time.Second,
		MaxHeaderBytes: maxCall,
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
		if shell := srv.membership.Load(); shell != nil {
			shell.WriteStats(w)
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
		if path.Clean(r.URL.Path) != r.URL.Path { // the mux would send the caller elsewhere, which is no answer
			http.NotFound(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// serveMaintenance takes a call, unless it names a fencing token and a later holder of
// that lease has called here.
func (srv *Server) serveMaintenance(w http.ResponseWriter, r *http.Request, on bool) {
	if status, err := srv.fencing.CheckRequest(r); err != nil {
		http.Error(w, err.Error(), status)
		return
	}
	switch err := srv.maintain(r.Context(), r.PathValue("id"), on); {
	case errors.Is(err, errUnknownBackend):
		http.Error(w, err.Error(), http.StatusNotFound)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		besteffort.Output(fmt.Fprintln(w, "ok"))
	}
}

type operatorConnKey struct{}

// operatorListener bounds the operators' connections. One that comes while all are open
// displaces the oldest that has made no call: those that only connect hold up
// nobody.
type operatorListener struct {
	net.Listener
	mu   sync.Mutex
	open []*operatorConn // the oldest first
}

type operatorConn struct {
	net.Conn
	listener  *operatorListener
	hasCalled atomic.Bool
}

func (l *operatorListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if in := l.admit(c); in != nil {
			return in, nil
		}
		besteffort.Close(c)
	}
}

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
	in := &operatorConn{Conn: c, listener: l}
	l.open = append(l.open, in)
	return in
}

func (c *operatorConn) Close() error {
	c.listener.mu.Lock()
	c.listener.open = slices.DeleteFunc(c.listener.open, func(o *operatorConn) bool { return o == c })
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
