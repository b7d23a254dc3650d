package proxy

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"wrenspread/balancer"
	"wrenspread/internal/besteffort"
)

const earlyResponseWait = 50 * time.Millisecond // from a server that takes no more of a request

// result is how an attempt ended.
type result struct {
	outcome       balancer.Outcome
	loadReport    *balancer.LoadReport
	header        http.Header // with OK: the answer's
	body          []byte
	stream        *responseStream // with OK, for a long answer: instead of the body
	bodyDiscarded bool            // no other attempt can be made, as what was sent is not kept
}

// attempt sends a request once and waits for its answer until ctx ends. When
// it returns, its connection is closed or back in the pool, so that a further
// attempt cannot overlap it. The connection may take its time to come up, so
// may says right before the first byte whether the request may still be sent.
// A long answer is given to begun, which returns when that is over and tells
// how it ended; ctx has no part in it any more.
func (p *pool) attempt(
	ctx context.Context,
	id balancer.EndpointID,
	o *outbound,
	mayWrite func() bool,
	streamResponse func(result) error,
) result {
	deadline, ok := ctx.Deadline()
	if !ok {
		return result{outcome: balancer.NotSent} // an attempt without an end could hang for ever
	}
	c, err := p.get(ctx, id)
	if err != nil {
		if wasCancelled(ctx) || isLocalLimit(err) {
			return result{outcome: balancer.NotSent}
		}
		return result{outcome: connectOutcome(err)}
	}
	if ctx.Err() != nil || p.isBarred(id, c) || !mayWrite() {
		c.closeDirty() // it has been idle for longer than a release would say
		return result{outcome: balancer.NotSent}
	}
	stop := context.AfterFunc(ctx, func() { besteffort.SocketOption(c.SetDeadline(time.Unix(1, 0))) })
	defer stop()
	var res result
	var clean bool
	if o.upload != nil {
		res, clean, err = c.sendStreaming(ctx, o)
	} else if outcome, ok := c.send(ctx, o, deadline); ok {
		res, clean, err = c.receive(ctx, o.method)
	} else {
		c.closeDirty()
		return result{outcome: outcome}
	}
	if err != nil {
		c.closeDirty()
		if res.outcome == balancer.OK { // nothing better is known
			res.outcome = failedOutcome(ctx, c.readError)
		}
		return result{outcome: res.outcome, loadReport: res.loadReport, bodyDiscarded: res.bodyDiscarded}
	}
	if res.stream != nil {
		if !stop() {
			c.closeDirty()
			return result{
				outcome:       failedOutcome(ctx, nil),
				loadReport:    res.loadReport,
				bodyDiscarded: res.bodyDiscarded,
			}
		}
		return c.streamResult(res, clean, streamResponse)
	}
	// Once the watch on ctx cannot be stopped it may yet spoil the deadline of
	// whoever has the connection next.
	if clean && stop() {
		c.release()
	} else {
		c.closeDirty()
	}
	return res
}

// send writes a request that is in memory as a whole, and counts it.
func (c *conn) send(ctx context.Context, o *outbound, deadline time.Time) (outcome balancer.Outcome, ok bool) {
	msg, err := o.encode(time.Until(deadline))
	if err != nil {
		return balancer.NotSent, false
	}
	sent, err := c.Write(msg)
	switch {
	case err == nil:
	case sent == len(msg):
		return failedOutcome(ctx, err), false // a last byte that left with an error may have come
	case wasCancelled(ctx):
		return balancer.NotSent, false
	default:
		return balancer.ConnectFailed, false
	}
	c.pool.forwards.Add(1)
	return balancer.OK, true
}

// connectOutcome is the outcome of an attempt that has no connection. Only one that
// was refused or broken tells that the server is gone.
func connectOutcome(err error) balancer.Outcome {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return balancer.ConnectTimedOut
	}
	return balancer.ConnectFailed
}

// wasCancelled tells that an attempt was ended from here, before its time was over.
func wasCancelled(ctx context.Context) bool { return errors.Is(ctx.Err(), context.Canceled) }

// timedWriter writes to a server that may take its time, but may not stand still.
type timedWriter struct {
	*conn
	ctx context.Context
}

func (p timedWriter) Write(b []byte) (int, error) {
	besteffort.SocketOption(p.SetWriteDeadline(time.Now().Add(progressTimeout)))
	if p.ctx.Err() != nil { // it may have ended just before
		besteffort.SocketOption(p.SetWriteDeadline(time.Unix(1, 0)))
	}
	return p.Conn.Write(b)
}

// sendStreaming sends a long request as its client gives it, and hears meanwhile
// whether the server turns it away. The time for the answer runs from the last
// byte. What broke before that one never ran.
func (c *conn) sendStreaming(ctx context.Context, o *outbound) (res result, clean bool, err error) {
	sent := make(chan error, 1)
	sendCtx, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		err := o.streamingRequest(sendCtx, o.upload.responseTimeout).Write(timedWriter{c, sendCtx})
		if err == nil {
			c.pool.forwards.Add(1)
			o.upload.completedAt.Store(time.Now().UnixNano())
			o.upload.onComplete(o.upload.responseTimeout)
			besteffort.SocketOption(c.SetReadDeadline(time.Now().Add(o.upload.responseTimeout)))
			if ctx.Err() != nil {
				besteffort.SocketOption(c.SetReadDeadline(time.Unix(1, 0)))
			}
		} else {
			// why the server has closed may be on its way
			besteffort.SocketOption(c.SetReadDeadline(time.Now().Add(earlyResponseWait)))
		}
		sent <- err
	}()
	res, clean, err = c.receive(ctx, o.method)
	var writeErr error
	select {
	case writeErr = <-sent:
	default: // it has answered early, or the connection has broken
		stop()
		besteffort.SocketOption(c.SetWriteDeadline(time.Unix(1, 0)))
		if o.upload.consumed.Load() {
			besteffort.Close(o.upload.pipe)
		}
		writeErr = <-sent
	}
	res.bodyDiscarded = o.upload.consumed.Load()
	switch {
	case o.upload.clientFailed():
		return result{outcome: balancer.Cancelled, bodyDiscarded: true}, false, errClientGone
	case writeErr == nil:
		return res, clean, err
	case err == nil && res.outcome != balancer.OK: // it was properly rejected
		return res, false, nil
	case wasCancelled(ctx):
		return result{outcome: balancer.Cancelled, bodyDiscarded: res.bodyDiscarded}, false, writeErr
	}
	return result{outcome: balancer.ConnectFailed, bodyDiscarded: res.bodyDiscarded}, false, writeErr
}

// streamResult has a long answer passed on, and ends the attempt with it.
func (c *conn) streamResult(res result, clean bool, streamResponse func(result) error) result {
	err := streamResponse(res)
	res.stream = nil
	switch {
	case err == nil && clean && c.reader.Buffered() == 0:
		c.release()
		return res
	case err == nil:
	case errors.Is(err, errClientGone):
		res.outcome = balancer.Cancelled
	default:
		res.outcome = balancer.ConnectionReset
	}
	c.closeDirty()
	return res
}

// failedOutcome is the outcome of an attempt whose answer did not come: its last byte
// was written, so it may have run. broken is how the connection ended, if it did.
func failedOutcome(ctx context.Context, connErr error) balancer.Outcome {
	switch {
	case wasCancelled(ctx):
		return balancer.Cancelled
	case ctx.Err() != nil, errors.Is(connErr, os.ErrDeadlineExceeded):
		return balancer.TimedOut
	case connErr != nil:
		return balancer.ConnectionReset
	}
	return balancer.ServerError // it can't be read
}
