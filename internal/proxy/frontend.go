package proxy

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/proxy/listener"
)

const (
	headTimeout = 2500 * time.Millisecond // for a request's head; a slow client takes 2 s
	// readTimeout applies to a request that stalls: any peer must get an error or a close within 3 s.
	readTimeout  = 2700 * time.Millisecond
	writeTimeout = 5 * time.Second // for writing a response
	idleTimeout  = 2 * time.Minute // for a connection between requests
)

// connKey is the context key of the connection on which a request came.
type connKey struct{}

// frontend accepts clients' requests and writes their responses.
type frontend struct {
	server           *Server
	maxConnections   int // open client connections at a time
	rules            atomic.Pointer[requestRules]
	waitForLateConns func() // waits after SIGTERM, while new connections are still accepted
	ready            atomic.Bool
	draining         atomic.Bool
	accepting        atomic.Bool                       // set when serve begins to accept
	handedOff        atomic.Bool                       // to a new process
	clientListener   atomic.Pointer[listener.Listener] // nil before serve
	// successorEnded is closed when the process that accepts in place of this one has ended.
	successorEnded chan struct{}
	finishTime     time.Duration
	latestDeadline atomic.Int64              // of all requests so far, as time since the start of the proxy
	drainDeadline  atomic.Pointer[time.Time] // for requests that come after SIGTERM; nil before
	// closeConnections closes what serve has left open; nil before the end of serve.
	closeConnections func()
	streams          atomic.Int64 // long responses that have begun and not ended
}

func newFrontend(srv *Server, maxConnections int) *frontend {
	f := &frontend{
		server:           srv,
		maxConnections:   maxConnections,
		waitForLateConns: func() { time.Sleep(drainAcceptTime) },
		successorEnded:   make(chan struct{}),
		finishTime:       maxFinishTime,
	}
	f.rules.Store(newRequestRules(srv.config.Settings, nil))
	return f
}

func (f *frontend) newHTTPServer() *http.Server {
	handler := answeringHandler{f.server, f.ServeHTTP}
	return &http.Server{Handler: handler, ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: listener.MaxHead, DisableGeneralOptionsHandler: true, // all requests pass ServeHTTP
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
		ErrorLog: slog.NewLogLogger(f.server.log.Handler(), slog.LevelDebug)}
}

// ServeHTTP answers the health checks, and passes requests to the loop.
func (f *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// Only the HTTP server knows where a chunked body ends, so bytes behind it must not be taken for a request.
	if len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	switch r.URL.Path {
	case "/health/ready":
		f.askToClose(w, r)
		if !f.acceptsNow() && !f.handedOff.Load() { // a new process serves this address too
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		fallthrough
	case "/health/live":
		f.askToClose(w, r)
		besteffort.Response(io.WriteString(w, "ok\n"))
		return
	}
	req, event, err := f.read(w, r)
	if err != nil {
		f.rejectRequest(w, r, err)
		return
	}
	outstanding := &f.server.stats.outstanding
	if up := req.outbound.upload; up != nil {
		// It can't fail: HTTP/1 always supports it. A response may precede the end of the body.
		_ = http.NewResponseController(w).EnableFullDuplex()
		up.clientGone = req.abandoned
		up.onComplete = func(wait time.Duration) {
			f.server.post(func() { f.server.requestSent(req, f.remainingTime(wait)) })
		}
		defer up.close()
	} else {
		outstanding.Add(1)
	}
	ended := f.handleRequest(w, r, req, event)
	f.server.stats.count(req.class, ended.outcome)
	if up := req.outbound.upload; up != nil {
		if up.countEnd(outstanding); ended.answered {
			besteffort.Encode(http.NewResponseController(w).Flush())
			up.drain()
		}
	} else {
		outstanding.Add(-1)
	}
	if ended.truncated {
		if client := connOf(r); client != nil && !r.ProtoAtLeast(1, 1) {
			client.ResetOnClose() // HTTP/1.0 has no other way to tell that a response without a length is truncated
		}
		panic(http.ErrAbortHandler) // closes the connection before the response ends, so that the client can tell
	}
}

// rejectRequest answers a request that is not accepted.
func (f *frontend) rejectRequest(w http.ResponseWriter, r *http.Request, err error) {
	f.askToClose(w, r)
	status := http.StatusBadRequest
	var rejected *requestError
	if errors.As(err, &rejected) {
		status = rejected.status
	}
	http.Error(w, err.Error(), status)
}

// askToClose makes a client close its connection after the next response, if the proxy drains. If bytes of
// the client's next request have come, that request is answered first.
func (f *frontend) askToClose(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*listener.Conn); f.draining.Load() && (!ok || !c.Pending()) {
		w.Header().Set("Connection", "close")
	}
}

// serving reports whether the proxy is ready for new clients and does not drain.
func (f *frontend) serving() bool { return f.ready.Load() && f.accepting.Load() && !f.draining.Load() }

// acceptsNow reports whether the proxy accepts new clients at present. It does not while all slots are taken.
func (f *frontend) acceptsNow() bool {
	clientListener := f.clientListener.Load()
	return f.serving() && clientListener != nil && !clientListener.Full()
}
