package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math"
	"net"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"indigotack/decide"
	"indigotack/internal/pause"
)

const (
	lingerTime  = 600 * time.Millisecond  // after SIGTERM new connections still come for a while
	finishSlack = 100 * time.Millisecond  // what is open then may take the longest deadline and this
	headTime    = 2500 * time.Millisecond // for a request's head: a slow client takes 2 s
	readTime    = 2700 * time.Millisecond // for a request that stops: any peer is owed an error or a close within 3 s
	writeTime   = 5 * time.Second         // for an answer
	idleTime    = 2 * time.Minute         // for a connection between requests
	maxIDLength = 128
	maxPatience = time.Hour
)

// frontend takes clients' requests and writes their answers.
type frontend struct {
	node     *Node
	most     int // connections
	rules    atomic.Pointer[rules]
	room     room   // for requests that are not small
	linger   func() // goes on accepting for a while after the order to stop
	ready    atomic.Bool
	draining atomic.Bool
	open     atomic.Bool   // it accepts
	handed   atomic.Bool   // to a new process
	closing  chan struct{} // closed when it is to accept no more
}

func newFrontend(n *Node, most int) *frontend {
	f := &frontend{node: n, most: most, linger: func() { time.Sleep(lingerTime) }, closing: make(chan struct{})}
	f.rules.Store(newRules(n.cfg.Settings, nil))
	return f
}

// serve takes requests until ctx ends. Then it goes on for a while, as the
// front sends new connections until it has noticed, but asks each client to
// close; at last it finishes what is open.
func (f *frontend) serve(ctx context.Context, ln net.Listener) error {
	srv := f.server()
	limited := limitListener(ln, f.most)
	srv.ConnState = limited.note
	failed := make(chan error, 1)
	f.open.Store(true)
	go func() { failed <- srv.Serve(limited) }()
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-f.closing:
			ln.Close()
		case <-ended:
		}
	}()
	select {
	case err := <-failed:
		if !f.handed.Load() {
			return fmt.Errorf("serving clients: %w", err)
		}
		limited.outlive(ctx)
	case <-ctx.Done():
	}
	if f.draining.Store(true); ctx.Err() != nil {
		f.linger()
	}
	end, cancel := context.WithTimeout(context.WithoutCancel(ctx), f.rules.Load().longest+finishSlack)
	defer cancel()
	err := srv.Shutdown(end)
	if errors.Is(err, context.DeadlineExceeded) {
		// All requests are past their deadlines and so are answered: what is
		// left are connections on which none has come.
		return srv.Close()
	}
	return err
}

// stopAccepting leaves new connections to another process that listens on the
// same socket, which is closed here but not shut down. It is called once, after
// handed is set: those that come on open connections are asked to close.
func (f *frontend) stopAccepting() {
	f.draining.Store(true)
	close(f.closing)
}

func (f *frontend) server() *http.Server {
	return &http.Server{Handler: f, ReadHeaderTimeout: headTime, IdleTimeout: idleTime,
		MaxHeaderBytes: maxHead, DisableGeneralOptionsHandler: true, // all requests pass ServeHTTP
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
		ErrorLog: slog.NewLogLogger(f.node.log.Handler(), slog.LevelDebug)}
}

// ServeHTTP answers the health checks and passes requests to the loop.
func (f *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// The length of a chunked body is for the server alone to tell, so nothing
	// that comes behind it may count as a request.
	if f.draining.Load() || len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	switch r.URL.Path {
	case "/health/ready":
		if !f.serving() && !f.handed.Load() { // the new process has this address too
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		fallthrough
	case "/health/live":
		io.WriteString(w, "ok\n")
		return
	}
	req, event, status, err := f.read(w, r)
	if req != nil && req.leaveRoom != nil {
		defer req.leaveRoom()
	}
	if err != nil {
		http.Error(w, err.Error(), status)
		return
	}
	outstanding := &f.node.stats.outstanding
	if up := req.out.rest; up != nil {
		http.NewResponseController(w).EnableFullDuplex() // an answer may come ahead of the body's end
		up.whole = func(wait time.Duration) { f.node.post(func() { f.node.whole(req, wait) }) }
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

// carried is how a request ended, whether its client has an answer to read, and
// whether that stopped short.
type carried struct {
	outcome       outcome
	answered, cut bool
}

// carry has the loop end a request, passes the answer on and tells how it went.
func (f *frontend) carry(w http.ResponseWriter, r *http.Request, req *request, event decide.RequestArrived) carried {
	var broken <-chan struct{} // closed when an upload has ended, which may be well or not
	if req.out.rest != nil {
		broken = req.out.rest.ended
	}
	f.node.post(func() { f.node.open(req, event) })
	for {
		select {
		case <-broken:
			if broken = nil; req.out.rest.err == nil {
				continue
			}
			f.node.post(func() { f.node.abandon(req) })
			http.Error(w, "the body is not whole", http.StatusBadRequest)
			return carried{outcome: aborted}
		default:
		}
		select {
		case <-broken:
			continue // see above
		case a := <-req.answer:
			return f.passOn(w, req, a)
		case <-r.Context().Done():
			f.node.post(func() { f.node.abandon(req) })
			// A client that only ended its sending can still read. Without a word
			// from here the server would tell it 200, which no backend said.
			write(w, answer{status: http.StatusBadGateway})
		case <-f.node.ended:
			http.Error(w, "the node has ended", http.StatusBadGateway)
		}
		return carried{outcome: aborted}
	}
}

// passOn gives a client its answer.
func (f *frontend) passOn(w http.ResponseWriter, req *request, a answer) carried {
	if f.draining.Load() { // since the request came
		w.Header().Set("Connection", "close")
	}
	if up := req.out.rest; up != nil {
		if up.pipe.Close(); up.wholeAt.Load() == 0 {
			w.Header().Set("Connection", "close") // what it has still to send is not read
		}
	}
	if a.stream == nil {
		return carried{outcome: write(w, a), answered: true}
	}
	writeHeader(w, a, a.stream.length)
	err := a.stream.pass(w)
	a.stream.ended <- err
	if err != nil {
		f.node.log.Info("a long answer breaks off", "id", req.id, "err", err)
		return carried{outcome: aborted, cut: true}
	}
	return carried{outcome: succeeded, answered: true}
}

// serving tells whether new clients are welcome.
func (f *frontend) serving() bool { return f.ready.Load() && f.open.Load() && !f.draining.Load() }

// read checks a request. The status goes with the error.
func (f *frontend) read(w http.ResponseWriter, r *http.Request) (*request, decide.RequestArrived, int, error) {
	e := decide.RequestArrived{Class: r.Header.Get("X-Class"), Tenant: r.Header.Get("X-Tenant"),
		Repeat: r.Header.Get("X-Retry") == "1"}
	var back func()
	bad := func(status int, format string, args ...any) (*request, decide.RequestArrived, int, error) {
		if back != nil {
			back()
		}
		return nil, e, status, fmt.Errorf(format, args...)
	}
	id := r.Header.Get("X-Request-Id")
	if id == "" || len(id) > maxIDLength || len(r.Header.Values("X-Request-Id")) > 1 {
		return bad(http.StatusBadRequest, "want one X-Request-Id of at most %d bytes", maxIDLength)
	}
	e.ID = decide.RequestID(id)
	former, err := f.rules.Load().effect(e.Class, func(effect decide.Effect) error { return fits(r, e.Class, effect) })
	if err != nil {
		var wrong formError
		errors.As(err, &wrong)
		return bad(wrong.status, "%w", err)
	}
	e.Former = former
	patience, err := seconds(r.Header.Get("X-Deadline"))
	if err != nil {
		return bad(http.StatusBadRequest, "X-Deadline: %w", err)
	}
	if hint, err := strconv.ParseFloat(r.Header.Get("X-Cost-Hint"), 64); err == nil && hint >= 0 && hint < 1e12 {
		e.WorkHint, e.HasHint = time.Duration(hint*float64(time.Microsecond)), true
	}
	e.Key = r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
	if r.ContentLength > maxLarge {
		w.Header().Set("Connection", "close")
		return bad(http.StatusRequestEntityTooLarge, "the body is over %d bytes", maxLarge)
	}
	var body []byte
	var long bool
	var reader *bodyReader
	if r.Body != http.NoBody {
		reader = newBodyReader(w, r)
		body, long, err = readStart(r.Context(), reader, f.room.on(&back))
	}
	switch {
	case errors.Is(err, errNoRoom):
		w.Header().Set("Connection", "close")
		return bad(http.StatusServiceUnavailable, "%w", err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return bad(http.StatusRequestTimeout, "the body does not come")
	case err != nil:
		return bad(http.StatusBadRequest, "reading the body: %w", err)
	}
	patience -= answerMargin
	u := url.URL{Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery}
	deadline := time.Now().Add(patience) // its last byte has come now, and its client waits from there
	var rest *upload
	if long {
		rest = startUpload(r, reader, len(body), patience)
	}
	return &request{id: e.ID, deadline: deadline, leaveRoom: back, class: e.Class, answer: make(chan answer, 1),
		out: &outbound{method: r.Method, url: &u, host: r.Host, header: endToEnd(r.Header), body: body, rest: rest}}, e, 0, nil
}

// formError is a request whose form its class does not have.
type formError struct {
	status int
	text   string
}

func (e formError) Error() string { return e.text }

func badRequest(format string, args ...any) error {
	return formError{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

// fits checks a request's form. The method and the key tell the server what a
// repeat would do, so they must agree with what the module believes.
func fits(r *http.Request, class string, effect decide.Effect) error {
	want := http.MethodPost
	if effect == decide.Safe {
		want = http.MethodGet
	}
	if r.Method != want {
		return formError{http.StatusMethodNotAllowed, fmt.Sprintf("class %s wants %s", class, want)}
	}
	switch keys := r.Header.Values("Idempotency-Key"); {
	case effect == decide.Keyed && (len(keys) != 1 || keys[0] == ""), effect == decide.Unsafe && len(keys) > 0:
		return badRequest("class %s and Idempotency-Key do not agree", class)
	}
	return nil
}

func seconds(s string) (time.Duration, error) {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil {
		return 0, err
	}
	if !(v > 0) || math.IsInf(v, 0) { // NaN is not over 0 either
		return 0, fmt.Errorf("%v is no time to wait", v)
	}
	return time.Duration(math.Min(v, maxPatience.Seconds()) * float64(time.Second)), nil
}

// perHop lists the headers that concern one connection only.
var perHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Expect", "Content-Length", "X-Load", "X-Not-Run"}

// endToEnd gives the headers that are passed on. Their values are shared.
func endToEnd(h http.Header) http.Header {
	out := maps.Clone(h)
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			if name = http.CanonicalHeaderKey(strings.TrimSpace(name)); !slices.Contains(vital, name) {
				out.Del(name)
			}
		}
	}
	for _, name := range perHop {
		out.Del(name)
	}
	return out
}

// vital headers stay, whatever a client's Connection header says: without
// them a server could not tell a repeat.
var vital = []string{"X-Request-Id", "Idempotency-Key"}

// write passes an answer on, and tells what it was to the client.
func write(w http.ResponseWriter, a answer) outcome {
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTime))
	if a.status != http.StatusOK {
		a.body = []byte(http.StatusText(a.status) + "\n")
	}
	writeHeader(w, a, int64(len(a.body)))
	_, err := w.Write(a.body) // if it fails, the client has gone
	switch {
	case err != nil:
		return aborted
	case a.status == http.StatusOK:
		return succeeded
	case a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests:
		return declined
	}
	return aborted
}

type connKey struct{}

// writeHeader begins an answer. Without a length it goes in chunks.
func writeHeader(w http.ResponseWriter, a answer, length int64) {
	h := w.Header()
	for name, values := range endToEnd(a.header) {
		h[name] = values
	}
	if a.status != http.StatusOK {
		h.Set("Content-Type", "text/plain; charset=utf-8")
	}
	if a.holdOff > 0 {
		h.Set("Retry-After", strconv.FormatFloat(a.holdOff.Seconds(), 'f', 3, 64))
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	w.WriteHeader(a.status)
}

// limited holds accepted connections to a number, so that clients leave
// descriptors for the servers.
type limited struct {
	net.Listener
	slots chan struct{}

	mu   sync.Mutex
	idle map[net.Conn]time.Time // since when
}

func limitListener(ln net.Listener, most int) *limited {
	return &limited{Listener: ln, slots: make(chan struct{}, most), idle: map[net.Conn]time.Time{}}
}

// Accept makes room by closing the connection that has been idle longest:
// clients that keep connections without using them must not shut out others.
// With none idle, those that come wait in the listener's queue.
func (l *limited) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	default:
		l.evict()
		l.slots <- struct{}{}
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	lc := &limitedConn{Conn: c, free: sync.OnceFunc(func() { <-l.slots })}
	lc.began.Store(time.Now().UnixNano())
	return lc, nil
}

// note follows which connections are idle, for http.Server's ConnState.
func (l *limited) note(c net.Conn, s http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s == http.StateIdle {
		l.idle[c] = time.Now()
	} else {
		delete(l.idle, c)
	}
}

// outlive returns when ctx ends, or all connections have for some time.
func (l *limited) outlive(ctx context.Context) {
	for ok := pause.For(ctx, outliveLeast); ok && len(l.slots) > 0; {
		ok = pause.For(ctx, shortWait)
	}
}

func (l *limited) evict() {
	l.mu.Lock()
	defer l.mu.Unlock()
	var oldest net.Conn
	for c, since := range l.idle {
		if oldest == nil || since.Before(l.idle[oldest]) {
			oldest = c
		}
	}
	if oldest != nil {
		delete(l.idle, oldest)
		oldest.Close()
	}
}

type limitedConn struct {
	net.Conn
	began   atomic.Int64 // when the request under way did, or the connection
	free    func()
	framing framing
	served  bool   // something has come before
	behind  []byte // what came with the end of a request
}

// Read holds back what follows a head of ambiguous length. It ends at the end
// of a request: beside a handler the server reads one byte ahead, and an error
// in what comes behind a request must not end the request. The server never
// has two reads at a time.
func (c *limitedConn) Read(p []byte) (n int, err error) {
	if c.framing.err != nil {
		return 0, c.framing.err
	}
	if len(c.behind) > 0 {
		n = copy(p, c.behind)
		c.behind = c.behind[n:]
	} else if n, err = c.Conn.Read(p); err != nil && n == 0 {
		return 0, err
	}
	if c.framing.between() && c.served {
		c.began.Store(time.Now().UnixNano())
	}
	c.served = true
	passed := c.framing.pass(p[:n])
	if passed < n && c.framing.err == nil {
		c.behind = append(append([]byte(nil), p[passed:n]...), c.behind...)
	}
	if passed == 0 && c.framing.err != nil {
		return 0, c.framing.err
	}
	return passed, nil
}

func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.free()
	return err
}
