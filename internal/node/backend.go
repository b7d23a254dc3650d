package node

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
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
	"syscall"
	"time"

	"indigotack/decide"
	"indigotack/internal/pause"
	"indigotack/internal/wire"
)

const (
	maxBody   = 64 << 10              // of a request or an answer that is kept whole
	maxHead   = 16 << 10              // of an answer
	lastWords = 50 * time.Millisecond // from a server that takes no more of a request
	maxInfos  = 8                     // 1xx answers ahead of the real one
	idlePart  = 0.75                  // of the settings' idle time: the server must never be the first to close
)

// errCrowded says that this node has no room for a connection.
var errCrowded = errors.New("too many connections")

// ownLimit tells whether the node itself could not open a connection, which
// says nothing of the server.
func ownLimit(err error) bool {
	for _, limit := range []error{errCrowded, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, limit) {
			return true
		}
	}
	return false
}

// pool keeps connections to servers. It never sends anything itself.
type pool struct {
	dialer   net.Dialer
	maxIdle  time.Duration
	forwards *atomic.Int64 // attempts written whole

	mu       sync.Mutex
	open     int // connections, idle, in use or being dialled
	most     int
	shared   bool // with another process of this node: half of them
	backends map[decide.ServerID]*backend
	held     map[decide.ServerID]bool // nothing is written to them
	room     room                     // for answers that are not small
}

// backend is one process of a server. A restart or a new address makes a new
// one, to which the old one's connections never return.
type backend struct {
	address string
	since   int64
	closed  bool
	idle    []*conn // the one used last comes last
}

type conn struct {
	net.Conn
	of     *backend
	pool   *pool
	budget io.LimitedReader // what one answer may take
	read   *bufio.Reader
	broken error  // how reading ended, if the connection did
	room   func() // gives back what its answer has taken of the pool's; nil: nothing
	idleAt time.Time
}

// Read notes how the connection ended, which tells a break from an answer
// that can't be read, or is longer than its budget.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.broken = err
	return n, err
}

func newPool(s decide.Settings, most int) *pool {
	p := &pool{most: most, forwards: new(atomic.Int64), backends: map[decide.ServerID]*backend{}, held: map[decide.ServerID]bool{},
		room:   newRoom(defaultMemoryMB),
		dialer: net.Dialer{KeepAlive: -1}}
	p.configure(s)
	return p
}

// configure takes the settings that concern connections.
func (p *pool) configure(s decide.Settings) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialer.Timeout = s.ConnectTimeout
	if p.maxIdle = time.Duration(idlePart * float64(s.ConnIdle)); s.ConnIdle <= 0 {
		p.maxIdle = time.Minute
	}
}

// idleTime is how long a connection may stay idle.
func (p *pool) idleTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.maxIdle
}

// set takes a server's address from the list. Connections to an earlier
// process of it are worthless and are closed.
func (p *pool) set(id decide.ServerID, address string, since int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.backends[id]; b != nil {
		if b.address == address && b.since == since {
			return
		}
		b.closed = true
		p.drop(b)
	}
	p.backends[id] = &backend{address: address, since: since}
}

func (p *pool) remove(id decide.ServerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.backends[id]; b != nil {
		b.closed = true
		p.drop(b)
		delete(p.backends, id)
	}
}

// closeIdle closes the connections to a server that carry nothing.
func (p *pool) closeIdle(id decide.ServerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.backends[id]; b != nil {
		p.drop(b)
	}
}

// share leaves half of the connections to another process of this node, or
// takes them back.
func (p *pool) share(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shared = on
	for p.open > p.limit() && p.evict() {
	}
}

func (p *pool) limit() int {
	if p.shared {
		return max(1, p.most/2)
	}
	return p.most
}

// hold has nothing more written to a server, whatever was picked before, or
// lets it be used again.
func (p *pool) hold(id decide.ServerID, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if delete(p.held, id); on {
		p.held[id] = true
	}
}

func (p *pool) isHeld(id decide.ServerID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held[id]
}

func (p *pool) drop(b *backend) {
	for _, c := range b.idle {
		c.Conn.Close()
		p.open--
	}
	b.idle = nil
}

// expire closes the connections that have been idle too long.
func (p *pool) expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range p.backends {
		old := 0
		for old < len(b.idle) && now.Sub(b.idle[old].idleAt) >= p.maxIdle {
			b.idle[old].Conn.Close()
			old++
		}
		p.open -= old
		b.idle = append(b.idle[:0], b.idle[old:]...)
	}
}

// run expires idle connections until ctx ends.
func (p *pool) run(ctx context.Context) {
	for pause.For(ctx, max(p.idleTime()/8, 50*time.Millisecond)) {
		p.expire(time.Now())
	}
}

// get finds an idle connection or dials. An error proves that nothing was sent.
func (p *pool) get(ctx context.Context, id decide.ServerID) (*conn, error) {
	b, c, dialer, err := p.take(id)
	if c != nil || err != nil {
		return c, err
	}
	raw, err := dialer.DialContext(ctx, "tcp", b.address)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	c = &conn{Conn: raw, of: b, pool: p}
	c.budget.R = c
	c.read = bufio.NewReader(&c.budget)
	return c, nil
}

// take returns an idle connection, or the backend with leave to dial it.
func (p *pool) take(id decide.ServerID) (*backend, *conn, net.Dialer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.backends[id]
	if b == nil {
		return nil, nil, p.dialer, fmt.Errorf("server %d is not listed", id)
	}
	now := time.Now()
	for n := len(b.idle); n > 0; n = len(b.idle) {
		c := b.idle[n-1]
		b.idle = b.idle[:n-1]
		// A connection that its server has closed, or on which it said
		// something unasked, would end as a reset that may have run. Nothing
		// has been sent on it, so another one can do.
		if now.Sub(c.idleAt) < p.maxIdle && silent(c.Conn) {
			return b, c, p.dialer, nil
		}
		c.Conn.Close()
		p.open--
	}
	if p.open >= p.limit() && !p.evict() {
		return nil, nil, p.dialer, errCrowded
	}
	p.open++
	return b, nil, p.dialer, nil
}

// evict closes the connection that has been idle longest.
func (p *pool) evict() bool {
	var oldest *backend
	for _, b := range p.backends {
		if len(b.idle) > 0 && (oldest == nil || b.idle[0].idleAt.Before(oldest.idle[0].idleAt)) {
			oldest = b
		}
	}
	if oldest == nil {
		return false
	}
	oldest.idle[0].Conn.Close()
	oldest.idle = oldest.idle[1:]
	p.open--
	return true
}

// discard closes a connection that is not known to be at an answer's end.
func (c *conn) discard() {
	c.Conn.Close()
	c.pool.mu.Lock()
	c.pool.open--
	c.pool.mu.Unlock()
}

// release puts a connection back that has been read cleanly to its end.
func (c *conn) release() {
	c.SetDeadline(time.Time{})
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.of.closed {
		c.Conn.Close()
		c.pool.open--
		return
	}
	c.idleAt = time.Now()
	c.of.idle = append(c.of.idle, c)
}

// silent tells whether an idle connection is open with nothing to read.
func silent(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// outbound is what goes to a server for a client's request.
type outbound struct {
	method string
	url    *url.URL
	host   string
	header http.Header // end to end ones
	body   []byte
	rest   *upload // what follows the body above; nil: it is all
}

// bytes writes the request in full, so that one write sends it and its result
// tells whether the last byte left.
func (o *outbound) bytes(wait time.Duration) ([]byte, error) {
	uri := o.url.RequestURI()
	if o.host == "" || strings.ContainsFunc(o.host+uri, func(r rune) bool { return r <= ' ' || r == 0x7f }) {
		return nil, errors.New("not a request that can be sent")
	}
	b := make([]byte, 0, 512+len(o.body))
	line := func(parts ...string) {
		for _, p := range parts {
			b = append(b, p...)
		}
		b = append(b, "\r\n"...)
	}
	line(o.method, " ", uri, " HTTP/1.1")
	line("Host: ", o.host)
	if len(o.body) > 0 || o.method != http.MethodGet {
		line("Content-Length: ", strconv.Itoa(len(o.body)))
	}
	names := make([]string, 0, 16)
	for name := range o.header {
		if name != deadlineHeader && name != "Host" {
			names = append(names, name)
		}
	}
	names = append(names, deadlineHeader)
	slices.Sort(names) // the same request, the same bytes
	for _, name := range names {
		if name == deadlineHeader {
			line(name, ": ", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
			continue
		}
		for _, v := range o.header[name] {
			line(name, ": ", v)
		}
	}
	line()
	return append(b, o.body...), nil
}

const deadlineHeader = "X-Deadline"

// request is the same for a long request, which goes out as it comes.
func (o *outbound) request(wait time.Duration) *http.Request {
	r := &http.Request{Method: o.method, URL: o.url, Host: o.host, Header: o.header.Clone(),
		Body: io.NopCloser(io.MultiReader(bytes.NewReader(o.body), o.rest)), ContentLength: o.rest.length}
	r.Header.Set(deadlineHeader, strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	if _, ok := r.Header["User-Agent"]; !ok {
		r.Header["User-Agent"] = nil // none was sent, none is made up
	}
	return r
}

// result is how an attempt ended.
type result struct {
	code   decide.OutcomeCode
	report *decide.Report
	header http.Header // with OK: the answer's
	body   []byte
	stream *stream // with OK, for a long answer: instead of the body
	spent  bool    // no other attempt can be made, as what was sent is not kept
}

// attempt sends a request once and waits for its answer until ctx ends. When
// it returns, its connection is closed or back in the pool, so that a further
// attempt cannot overlap it. A long answer is given to begun, which returns
// when that is over and tells how it ended; ctx has no part in it any more.
func (p *pool) attempt(ctx context.Context, id decide.ServerID, o *outbound, begun func(result) error) result {
	end, ok := ctx.Deadline()
	if !ok {
		return result{code: decide.Moot} // an attempt without an end could hang for ever
	}
	c, err := p.get(ctx, id)
	if err != nil {
		if errors.Is(context.Cause(ctx), context.Canceled) {
			return result{code: decide.Cancelled}
		}
		if ownLimit(err) {
			return result{code: decide.Moot}
		}
		return result{code: decide.ConnectFailed}
	}
	if p.isHeld(id) { // since it was picked
		c.discard()
		return result{code: decide.Moot}
	}
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	defer c.leaveRoom()
	var res result
	var clean bool
	if o.rest != nil {
		res, clean, err = c.exchange(ctx, o)
	} else if code, ok := c.send(ctx, o, end); ok {
		res, clean, err = c.receive(ctx, o.method)
	} else {
		c.discard()
		return result{code: code}
	}
	if err != nil {
		c.discard()
		if res.code == decide.OK { // nothing better is known
			res.code = ending(ctx, c.broken)
		}
		return result{code: res.code, report: res.report, spent: res.spent}
	}
	if res.stream != nil {
		if !stop() {
			c.discard()
			return result{code: ending(ctx, nil), report: res.report, spent: res.spent}
		}
		return c.pass(res, clean, begun)
	}
	// Once the watch on ctx cannot be stopped it may yet spoil the deadline of
	// whoever has the connection next.
	if clean && stop() {
		c.release()
	} else {
		c.discard()
	}
	return res
}

// send writes a request that is kept whole, and counts it.
func (c *conn) send(ctx context.Context, o *outbound, end time.Time) (code decide.OutcomeCode, ok bool) {
	msg, err := o.bytes(time.Until(end))
	if err != nil {
		return decide.Moot, false
	}
	if sent, err := c.Write(msg); err != nil {
		if sent < len(msg) {
			return decide.ConnectFailed, false
		}
		return ending(ctx, err), false // a last byte that left with an error may have come
	}
	c.pool.forwards.Add(1)
	return decide.OK, true
}

// progress writes to a server that may take its time, but may not stand still.
type progress struct {
	*conn
	ctx context.Context
}

func (p progress) Write(b []byte) (int, error) {
	p.SetWriteDeadline(time.Now().Add(progressTime))
	if p.ctx.Err() != nil { // it may have ended just before
		p.SetWriteDeadline(time.Unix(1, 0))
	}
	return p.Conn.Write(b)
}

// exchange sends a long request as its client gives it, and hears meanwhile
// whether the server turns it away. The time for the answer runs from the last
// byte. What broke before that one never ran.
func (c *conn) exchange(ctx context.Context, o *outbound) (res result, clean bool, err error) {
	sent := make(chan error, 1)
	go func() {
		err := o.request(o.rest.wait).Write(progress{c, ctx})
		if err == nil {
			c.pool.forwards.Add(1)
			o.rest.wholeAt.Store(time.Now().UnixNano())
			o.rest.whole(o.rest.wait)
			c.SetReadDeadline(time.Now().Add(o.rest.wait))
			if ctx.Err() != nil {
				c.SetReadDeadline(time.Unix(1, 0))
			}
		} else {
			c.SetReadDeadline(time.Now().Add(lastWords)) // why the server has closed may be on its way
		}
		sent <- err
	}()
	res, clean, err = c.receive(ctx, o.method)
	var werr error
	select {
	case werr = <-sent:
	default: // it has answered early, or the connection has broken
		c.SetWriteDeadline(time.Unix(1, 0))
		if o.rest.taken.Load() {
			o.rest.pipe.Close()
		}
		werr = <-sent
	}
	res.spent = o.rest.taken.Load()
	switch {
	case o.rest.failed():
		return result{code: decide.Cancelled, spent: true}, false, errClientGone
	case werr == nil:
		return res, clean, err
	case err == nil && res.code != decide.OK: // a proper word that it is not wanted
		return res, false, nil
	case errors.Is(ctx.Err(), context.Canceled):
		return result{code: decide.Cancelled, spent: res.spent}, false, werr
	}
	return result{code: decide.ConnectFailed, spent: res.spent}, false, werr
}

// pass has a long answer passed on, and ends the attempt with it.
func (c *conn) pass(res result, clean bool, begun func(result) error) result {
	err := begun(res)
	res.stream = nil
	switch {
	case err == nil && clean && c.read.Buffered() == 0:
		c.release()
		return res
	case err == nil:
	case errors.Is(err, errClientGone):
		res.code = decide.Cancelled
	default:
		res.code = decide.Reset
	}
	c.discard()
	return res
}

// ending is the outcome of an attempt whose answer did not come: its last byte
// was written, so it may have run. broken is how the connection ended, if it did.
func ending(ctx context.Context, broken error) decide.OutcomeCode {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return decide.Cancelled
	case ctx.Err() != nil, errors.Is(broken, os.ErrDeadlineExceeded):
		return decide.TimedOut
	case broken != nil:
		return decide.Reset
	}
	return decide.ServerError // it can't be read
}

// receive reads one answer to its end; clean tells that the connection can
// carry another request.
func (c *conn) receive(ctx context.Context, method string) (res result, clean bool, err error) {
	c.budget.N = maxHead + maxBody
	var resp *http.Response
	for i := 0; ; i++ {
		resp, err = http.ReadResponse(c.read, &http.Request{Method: method})
		if err != nil {
			return res, false, err
		}
		if resp.StatusCode >= 200 {
			break
		}
		if i == maxInfos || resp.StatusCode == http.StatusSwitchingProtocols {
			return res, false, fmt.Errorf("unexpected answer %s", resp.Status)
		}
	}
	res.report = parseLoad(resp.Header.Get("X-Load"))
	if resp.ContentLength > maxLarge {
		return res, false, errLong
	}
	c.budget.N = math.MaxInt64 // the body is held to its own size
	body, long, err := readAnswer(ctx, resp, c.pool.room.on(&c.room))
	if err != nil {
		return res, false, err
	}
	if long && resp.StatusCode == http.StatusOK {
		res.code, res.header = decide.OK, resp.Header
		res.stream = &stream{length: resp.ContentLength, start: body, rest: resp.Body, conn: c, ended: make(chan error, 1)}
		return res, !resp.Close, nil
	}
	switch {
	case resp.StatusCode == http.StatusOK:
		res.code, res.header, res.body = decide.OK, resp.Header, body
	case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("X-Not-Run") == "1":
		res.code = decide.Full
	default:
		res.code = decide.ServerError
	}
	return res, !resp.Close && !long && c.read.Buffered() == 0, nil
}

// readAnswer reads an answer's body. Where that is long, or may be and takes its
// time, it is not read to its end.
func readAnswer(ctx context.Context, resp *http.Response, room func(context.Context) error) (body []byte, long bool, err error) {
	if resp.ContentLength > smallBody {
		if err := room(ctx); err != nil {
			return nil, false, err
		}
	}
	if resp.ContentLength > maxBody {
		return nil, true, nil
	}
	if resp.ContentLength >= 0 {
		body = make([]byte, resp.ContentLength)
		_, err = io.ReadFull(resp.Body, body)
		return body, false, err
	}
	began := time.Now()
	for buf := make([]byte, 4<<10); ; {
		n, err := resp.Body.Read(buf)
		if body = append(body, buf[:n]...); err == io.EOF {
			return body, false, nil
		}
		if err != nil {
			return nil, false, err
		}
		if len(body) > smallBody {
			if err := room(ctx); err != nil {
				return nil, false, err
			}
		}
		if len(body) > maxBody || time.Since(began) > streamWait {
			return body, true, nil
		}
	}
}

// parseLoad reads a load report. One that is malformed in any part is ignored
// as a whole: half a report says less than the count it would replace.
func parseLoad(s string) *decide.Report {
	if s == "" {
		return nil
	}
	var r decide.Report
	known := false
	for part := range strings.SplitSeq(s, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok {
			return nil
		}
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			return nil
		}
		known = wire.SetReportField(&r, name, v) || known
	}
	if !known {
		return nil
	}
	return &r
}
