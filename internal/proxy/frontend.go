package proxy

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"wrenspread/balancer"
	"wrenspread/internal/proxy/listener"
)

const (
	headTime  = 2500 * time.Millisecond // for a request's head: a slow client takes 2 s
	readTime  = 2700 * time.Millisecond // for a request that stops: any peer is owed an error or a close within 3 s
	writeTime = 5 * time.Second         // for an answer
	idleTime  = 2 * time.Minute         // for a connection between requests
)

type connKey struct{}

// frontend takes clients' requests and writes their answers.
type frontend struct {
	node     *Node
	most     int // connections
	rules    atomic.Pointer[rules]
	room     room   // for requests that are not small
	linger   func() // goes on accepting for a while after the order to stop
	ready    atomic.Bool
	draining atomic.Bool
	open     atomic.Bool                       // it accepts
	handed   atomic.Bool                       // to a new process
	clients  atomic.Pointer[listener.Listener] // nil: it does not serve yet
	alone    chan struct{}                     // closed when the process has ended that accepts in its place
	killMost time.Duration
	latest   atomic.Int64              // deadline of a request read so far, from the node's start
	answerBy atomic.Pointer[time.Time] // for requests that come from now on; nil: their deadlines
}

func newFrontend(n *Node, most int) *frontend {
	f := &frontend{node: n, most: most, linger: func() { time.Sleep(lingerTime) }, alone: make(chan struct{}), killMost: killMost}
	f.rules.Store(newRules(n.cfg.Settings, nil))
	return f
}

func (f *frontend) server() *http.Server {
	return &http.Server{Handler: f, ReadHeaderTimeout: headTime, IdleTimeout: idleTime,
		MaxHeaderBytes: listener.MaxHead, DisableGeneralOptionsHandler: true, // all requests pass ServeHTTP
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
		ErrorLog: slog.NewLogLogger(f.node.log.Handler(), slog.LevelDebug)}
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
		if !f.welcomes() && !f.handed.Load() { // the new process has this address too
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		fallthrough
	case "/health/live":
		f.askToClose(w, r)
		io.WriteString(w, "ok\n")
		return
	}
	req, event, status, err := f.read(w, r)
	if req != nil && req.leaveRoom != nil {
		defer req.leaveRoom()
	}
	if err != nil {
		f.askToClose(w, r)
		http.Error(w, err.Error(), status)
		return
	}
	outstanding := &f.node.stats.outstanding
	if up := req.out.rest; up != nil {
		http.NewResponseController(w).EnableFullDuplex() // an answer may come ahead of the body's end
		up.gone = req.abandoned
		up.whole = func(wait time.Duration) { f.node.post(func() { f.node.whole(req, f.left(wait)) }) }
		defer up.close()
	} else {
		outstanding.Add(1)
	}
	o := f.carry(w, r, req, event)
	f.node.stats.count(req.class, o.outcome)
	if up := req.out.rest; up != nil {
		if up.end(outstanding); o.answered {
			http.NewResponseController(w).Flush()
			up.drain()
		}
	} else {
		outstanding.Add(-1)
	}
	if o.cut {
		panic(http.ErrAbortHandler) // closes the connection short of the answer's end, so that the client can tell
	}
}

// askToClose has a client close after the answer that is written next, if the node
// drains. If some of its next request has been read, that is answered before.
func (f *frontend) askToClose(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*listener.Conn); f.draining.Load() && !(ok && c.Pending()) {
		w.Header().Set("Connection", "close")
	}
}

// serving tells whether the node takes new clients.
func (f *frontend) serving() bool { return f.ready.Load() && f.open.Load() && !f.draining.Load() }

// welcomes tells whether it takes them now: it does not while all places are in use.
func (f *frontend) welcomes() bool {
	limited := f.clients.Load()
	return f.serving() && limited != nil && !limited.Full()
}

// carried is how a request ended, whether its client has an answer to read, and
// whether that stopped short.
type carried struct {
	outcome       outcome
	answered, cut bool
}

// carry has the loop end a request, passes the answer on and tells how it went.
func (f *frontend) carry(w http.ResponseWriter, r *http.Request, req *request, event balancer.RequestArrived) carried {
	var broken <-chan struct{} // closed when an upload has ended, which may be well or not
	var looks <-chan time.Time // at its client: the server hears nothing ahead of a body's end
	if req.out.rest != nil {
		broken = req.out.rest.ended
		often := time.NewTicker(goneTime / 2)
		defer often.Stop()
		looks = often.C
	}
	f.node.post(func() { f.node.open(req, event) })
	for {
		select {
		case <-broken:
			if broken = nil; req.out.rest.err == nil {
				continue
			}
			f.node.post(func() { f.node.abandon(req) })
			f.askToClose(w, r)
			http.Error(w, "the body is not whole", http.StatusBadRequest)
			return carried{outcome: aborted}
		default:
		}
		select {
		case <-broken:
			continue // see above
		case a := <-req.answer:
			f.askToClose(w, r)
			return f.passOn(w, req, a)
		case <-looks:
			if !req.abandoned() {
				continue
			}
			f.abandon(w, req)
		case <-r.Context().Done():
			f.abandon(w, req)
		case <-f.node.ended:
			http.Error(w, "the node has ended", http.StatusBadGateway)
		}
		return carried{outcome: aborted}
	}
}

// abandon ends a request whose client has left, or has only ended its sending and can still read. Without a word from
// here the server would tell it 200, which no backend said.
func (f *frontend) abandon(w http.ResponseWriter, req *request) {
	f.node.post(func() { f.node.abandon(req) })
	write(w, answer{status: http.StatusBadGateway})
}

// passOn gives a client its answer.
func (f *frontend) passOn(w http.ResponseWriter, req *request, a answer) carried {
	if up := req.out.rest; up != nil {
		if up.pipe.Close(); up.wholeAt.Load() == 0 {
			w.Header().Set("Connection", "close") // what it has still to send is not read
		}
	}
	if a.stream == nil {
		return carried{outcome: write(w, a), answered: true}
	}
	writeHeader(w, a, a.stream.length)
	err := a.stream.pass(w, req.deadline)
	a.stream.ended <- err
	if err != nil {
		f.node.log.Info("a long answer breaks off", "id", req.id, "err", err)
		return carried{outcome: aborted, cut: true}
	}
	return carried{outcome: succeeded, answered: true}
}
