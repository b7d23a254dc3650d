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

	"wrenspread/balancer"
	"wrenspread/internal/besteffort"
	"wrenspread/internal/proxy/listener"
)

const (
	headTimeout = 2500 * time.Millisecond // for a request's head: a slow client takes 2 s
	// for a request that stops: any peer is owed an error or a close within 3 s
	readTimeout  = 2700 * time.Millisecond
	writeTimeout = 5 * time.Second // for an answer
	idleTimeout  = 2 * time.Minute // for a connection between requests
)

type connKey struct{}

// frontend takes clients' requests and writes their answers.
type frontend struct {
	server         *Server
	maxConnections int // connections
	rules          atomic.Pointer[requestRules]
	memory         memoryBudget // for requests that are not small
	keepAccepting  func()       // goes on accepting for a while after the order to stop
	ready          atomic.Bool
	draining       atomic.Bool
	accepting      atomic.Bool                       // it accepts
	handedOff      atomic.Bool                       // to a new process
	clients        atomic.Pointer[listener.Listener] // nil: it does not serve yet
	// closed when the process has ended that accepts in its place
	successorEnded chan struct{}
	killTimeout    time.Duration
	latestDeadline atomic.Int64              // deadline of a request read so far, from the proxy's start
	answerBy       atomic.Pointer[time.Time] // for requests that come from now on; nil: their deadlines
}

func newFrontend(n *Server, most int) *frontend {
	f := &frontend{
		server:         n,
		maxConnections: most,
		keepAccepting:  func() { time.Sleep(acceptLinger) },
		successorEnded: make(chan struct{}),
		killTimeout:    maxKillTimeout,
	}
	f.rules.Store(newRequestRules(n.config.Settings, nil))
	return f
}

func (f *frontend) newHTTPServer() *http.Server {
	return &http.Server{Handler: f, ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: listener.MaxHead, DisableGeneralOptionsHandler: true, // all requests pass ServeHTTP
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
		ErrorLog: slog.NewLogLogger(f.server.log.Handler(), slog.LevelDebug)}
}

// ServeHTTP answers the health checks and passes requests to the loop.
func (f *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// The length of a chunked body is for the server alone to tell, so nothing
	// that comes behind it may count as a request.
	if len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	switch r.URL.Path {
	case "/health/ready":
		f.askToClose(w, r)
		if !f.acceptsNow() && !f.handedOff.Load() { // the new process has this address too
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
	if req.releaseMemory != nil {
		defer req.releaseMemory()
	}
	outstanding := &f.server.stats.outstanding
	if up := req.outbound.upload; up != nil {
		// HTTP/1 always has it; an answer may come ahead of the body's end
		_ = http.NewResponseController(w).EnableFullDuplex()
		up.clientGone = req.abandoned
		up.onComplete = func(wait time.Duration) {
			f.server.post(func() { f.server.requestSent(req, f.timeLeft(wait)) })
		}
		defer up.close()
	} else {
		outstanding.Add(1)
	}
	o := f.handleRequest(w, r, req, event)
	f.server.stats.count(req.class, o.outcome)
	if up := req.outbound.upload; up != nil {
		if up.countEnd(outstanding); o.answered {
			besteffort.Encode(http.NewResponseController(w).Flush())
			up.drain()
		}
	} else {
		outstanding.Add(-1)
	}
	if o.truncated {
		panic(http.ErrAbortHandler) // closes the connection short of the answer's end, so that the client can tell
	}
}

// rejectRequest answers a request that is not taken.
func (f *frontend) rejectRequest(w http.ResponseWriter, r *http.Request, err error) {
	f.askToClose(w, r)
	status := http.StatusBadRequest
	var rejected *requestError
	if errors.As(err, &rejected) {
		status = rejected.status
	}
	http.Error(w, err.Error(), status)
}

// askToClose has a client close after the answer that is written next, if the proxy
// drains. If some of its next request has been read, that is answered before.
func (f *frontend) askToClose(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*listener.Conn); f.draining.Load() && (!ok || !c.Pending()) {
		w.Header().Set("Connection", "close")
	}
}

// serving reports whether the proxy takes new clients.
func (f *frontend) serving() bool { return f.ready.Load() && f.accepting.Load() && !f.draining.Load() }

// acceptsNow reports whether it takes them now: it does not while all places are in use.
func (f *frontend) acceptsNow() bool {
	limited := f.clients.Load()
	return f.serving() && limited != nil && !limited.Full()
}

// requestResult is how a request ended, whether its client has an answer to read, and
// whether that stopped short.
type requestResult struct {
	outcome             requestOutcome
	answered, truncated bool
}

// handleRequest has the loop end a request, passes the answer on and tells how it went.
func (f *frontend) handleRequest(
	w http.ResponseWriter,
	r *http.Request,
	req *request,
	event balancer.RequestArrived,
) requestResult {
	var broken <-chan struct{} // closed when an upload has ended, which may be well or not
	var looks <-chan time.Time // at its client: the server hears nothing ahead of a body's end
	if req.outbound.upload != nil {
		broken = req.outbound.upload.readingEnded
		often := time.NewTicker(clientGoneLimit / 2)
		defer often.Stop()
		looks = often.C
	}
	f.server.post(func() { f.server.openRequest(req, event) })
	for {
		select {
		case <-broken:
			if broken = nil; req.outbound.upload.err == nil {
				continue
			}
			f.server.post(func() { f.server.abandonRequest(req) })
			f.askToClose(w, r)
			http.Error(w, "the body is not whole", http.StatusBadRequest)
			return requestResult{outcome: outcomeAborted}
		default:
		}
		select {
		case <-broken:
			continue // see above
		case a := <-req.response:
			f.askToClose(w, r)
			return f.writeResponse(w, req, a)
		case <-looks:
			if !req.abandoned() {
				continue
			}
			f.abandon(w, req)
		case <-r.Context().Done():
			f.abandon(w, req)
		case <-f.server.ended:
			http.Error(w, "the node has ended", http.StatusBadGateway)
		}
		return requestResult{outcome: outcomeAborted}
	}
}

// abandon ends a request whose client has left, or has only ended its sending and can still read. Without a
// word from here the server would send it 200, which no backend said.
func (f *frontend) abandon(w http.ResponseWriter, req *request) {
	f.server.post(func() { f.server.abandonRequest(req) })
	write(w, response{status: http.StatusBadGateway})
}

// writeResponse gives a client its answer.
func (f *frontend) writeResponse(w http.ResponseWriter, req *request, a response) requestResult {
	if up := req.outbound.upload; up != nil {
		if besteffort.Close(up.pipe); up.completedAt.Load() == 0 {
			w.Header().Set("Connection", "close") // what it has still to send is not read
		}
	}
	if a.stream == nil {
		return requestResult{outcome: write(w, a), answered: true}
	}
	writeHeader(w, a, a.stream.length)
	err := a.stream.writeTo(w, req.deadline)
	a.stream.ended <- err
	if err != nil {
		f.server.log.Info("streamed response broke off", "id", req.id, "err", err)
		return requestResult{outcome: outcomeAborted, truncated: true}
	}
	return requestResult{outcome: outcomeSucceeded, answered: true}
}
