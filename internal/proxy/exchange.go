package proxy

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"wrenspread/balancer"
)

const lastWords = 50 * time.Millisecond // from a server that takes no more of a request

// result is how an attempt ended.
type result struct {
	code   balancer.Outcome
	report *balancer.LoadReport
	header http.Header // with OK: the answer's
	body   []byte
	stream *stream // with OK, for a long answer: instead of the body
	spent  bool    // no other attempt can be made, as what was sent is not kept
}

// attempt sends a request once and waits for its answer until ctx ends. When
// it returns, its connection is closed or back in the pool, so that a further
// attempt cannot overlap it. The connection may take its time to come up, so
// may says right before the first byte whether the request may still be sent.
// A long answer is given to begun, which returns when that is over and tells
// how it ended; ctx has no part in it any more.
func (p *pool) attempt(ctx context.Context, id balancer.EndpointID, o *outbound, may func() bool, begun func(result) error) result {
	end, ok := ctx.Deadline()
	if !ok {
		return result{code: balancer.NotSent} // an attempt without an end could hang for ever
	}
	c, err := p.get(ctx, id)
	if err != nil {
		if calledOff(ctx) || ownLimit(err) {
			return result{code: balancer.NotSent}
		}
		return result{code: unconnected(err)}
	}
	if ctx.Err() != nil || p.barred(id, c) || !may() {
		c.discard() // it has been idle for longer than a release would say
		return result{code: balancer.NotSent}
	}
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
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
		if res.code == balancer.OK { // nothing better is known
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
func (c *conn) send(ctx context.Context, o *outbound, end time.Time) (code balancer.Outcome, ok bool) {
	msg, err := o.bytes(time.Until(end))
	if err != nil {
		return balancer.NotSent, false
	}
	sent, err := c.Write(msg)
	switch {
	case err == nil:
	case sent == len(msg):
		return ending(ctx, err), false // a last byte that left with an error may have come
	case calledOff(ctx):
		return balancer.NotSent, false
	default:
		return balancer.ConnectFailed, false
	}
	c.pool.forwards.Add(1)
	return balancer.OK, true
}

// unconnected is the outcome of an attempt that has no connection. Only one that
// was refused or broken tells that the server is gone.
func unconnected(err error) balancer.Outcome {
	var late net.Error
	if errors.As(err, &late) && late.Timeout() {
		return balancer.ConnectTimedOut
	}
	return balancer.ConnectFailed
}

// calledOff tells that an attempt was ended from here, before its time was over.
func calledOff(ctx context.Context) bool { return errors.Is(ctx.Err(), context.Canceled) }

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
	sending, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		err := o.request(sending, o.rest.wait).Write(progress{c, sending})
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
		stop()
		c.SetWriteDeadline(time.Unix(1, 0))
		if o.rest.taken.Load() {
			o.rest.pipe.Close()
		}
		werr = <-sent
	}
	res.spent = o.rest.taken.Load()
	switch {
	case o.rest.failed():
		return result{code: balancer.Cancelled, spent: true}, false, errClientGone
	case werr == nil:
		return res, clean, err
	case err == nil && res.code != balancer.OK: // a proper word that it is not wanted
		return res, false, nil
	case calledOff(ctx):
		return result{code: balancer.Cancelled, spent: res.spent}, false, werr
	}
	return result{code: balancer.ConnectFailed, spent: res.spent}, false, werr
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
		res.code = balancer.Cancelled
	default:
		res.code = balancer.ConnectionReset
	}
	c.discard()
	return res
}

// ending is the outcome of an attempt whose answer did not come: its last byte
// was written, so it may have run. broken is how the connection ended, if it did.
func ending(ctx context.Context, broken error) balancer.Outcome {
	switch {
	case calledOff(ctx):
		return balancer.Cancelled
	case ctx.Err() != nil, errors.Is(broken, os.ErrDeadlineExceeded):
		return balancer.TimedOut
	case broken != nil:
		return balancer.ConnectionReset
	}
	return balancer.ServerError // it can't be read
}
