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
	"wrenspread/internal/proxy/memory"
)

// earlyResponseWait is the time for the response of a backend that has stopped reading the request.
const earlyResponseWait = 50 * time.Millisecond

// result is the outcome of an attempt, with the response if there is one.
type result struct {
	outcome          balancer.Outcome
	loadReport       *balancer.LoadReport
	header           http.Header // of the response, with outcome OK
	body             []byte
	stream           *responseStream // with outcome OK, for a long response: instead of the body
	repeatsDiscarded int             // second responses to earlier requests that came ahead of the response
	bodyDiscarded    bool            // the sent part of the upload is not retained, so no attempt can follow
}

// attempt sends a request once and waits for its response until ctx ends. When it returns, its connection is
// closed or back in the pool, so that a further attempt cannot overlap this one. Because connecting may take
// some time, attempt calls mayWrite right before the first byte; mayWrite reports whether the request may
// still be sent. A long response is handed to streamResponse, which returns when the response has ended, with
// an error if it was cut off; ctx no longer applies to a long response.
func (p *pool) attempt(
	ctx context.Context,
	id balancer.EndpointID,
	o *outbound,
	mayWrite func() bool,
	streamResponse func(result) error,
) result {
	deadline, ok := ctx.Deadline()
	if !ok {
		return result{outcome: balancer.NotSent} // an attempt without a deadline could hang forever
	}
	c, err := p.get(ctx, id)
	if err != nil {
		if wasCancelled(ctx) || isLocalLimit(err) {
			return result{outcome: balancer.NotSent}
		}
		return result{outcome: connectOutcome(err)}
	}
	if ctx.Err() != nil || p.isBarred(id, c) || !mayWrite() {
		c.closeDirty() // release would record a later idleSince than the true one
		return result{outcome: balancer.NotSent}
	}
	c.memory.begin(o.memory)
	stop := context.AfterFunc(ctx, func() { besteffort.SocketOption(c.SetDeadline(time.Unix(1, 0))) })
	defer stop()
	var res result
	var clean bool
	if o.upload != nil {
		res, clean, err = c.sendStreaming(ctx, o)
	} else if outcome, ok := c.send(ctx, o, deadline); ok {
		res, clean, err = c.receive(ctx, o)
	} else {
		c.closeDirty()
		return result{outcome: outcome}
	}
	if err != nil {
		c.closeDirty()
		return c.failedResult(ctx, res, err)
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
		besteffort.SocketOption(c.SetReadDeadline(time.Time{})) // of an upload's response; the stream sets its own
		return c.streamResult(res, clean, streamResponse)
	}
	// If the AfterFunc on ctx has already started, it may still expire the deadline of the connection's next
	// user.
	if clean && stop() {
		c.release()
	} else {
		c.closeDirty()
	}
	return res
}

// failedResult returns the result of an attempt of which the response could not be read completely.
func (c *conn) failedResult(ctx context.Context, res result, err error) result {
	failed := result{
		outcome:          res.outcome,
		loadReport:       res.loadReport,
		repeatsDiscarded: res.repeatsDiscarded,
		bodyDiscarded:    res.bodyDiscarded,
	}
	switch {
	case errors.Is(err, memory.ErrNone): // it says nothing about the backend; a retry needs the same memory
		failed.outcome = balancer.Cancelled
		failed.bodyDiscarded = true
	case res.outcome == balancer.OK: // no more specific outcome is known
		failed.outcome = failedOutcome(ctx, c.readError)
	}
	return failed
}

// send writes a request that is completely in memory, and counts it as forwarded. If ok is false, the attempt
// has failed with the returned outcome. until is the deadline of the attempt.
func (c *conn) send(ctx context.Context, o *outbound, until time.Time) (outcome balancer.Outcome, ok bool) {
	msg, err := o.encode(time.Until(until))
	if err != nil {
		return balancer.NotSent, false
	}
	sent, err := c.Write(msg)
	switch {
	case err == nil:
	case sent == len(msg):
		return failedOutcome(ctx, err), false // the backend may have received the last byte despite the error
	case wasCancelled(ctx):
		return balancer.NotSent, false
	default:
		return balancer.ConnectFailed, false
	}
	c.pool.forwards.Add(1)
	return balancer.OK, true
}

// connectOutcome returns the outcome of an attempt that got no connection. If the connection was refused or
// broke, the backend is gone; a timeout does not prove that.
func connectOutcome(err error) balancer.Outcome {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return balancer.ConnectTimedOut
	}
	return balancer.ConnectFailed
}

// wasCancelled reports whether the proxy has ended an attempt before its deadline.
func wasCancelled(ctx context.Context) bool { return errors.Is(ctx.Err(), context.Canceled) }

// timedWriter writes to a backend. A slow backend is allowed, but a write that stalls for progressTimeout
// fails.
type timedWriter struct {
	*conn
	ctx context.Context
}

func (w timedWriter) Write(b []byte) (int, error) {
	besteffort.SocketOption(w.SetWriteDeadline(time.Now().Add(progressTimeout)))
	if w.ctx.Err() != nil { // ctx may have ended just before the deadline was set
		besteffort.SocketOption(w.SetWriteDeadline(time.Unix(1, 0)))
	}
	return w.Conn.Write(b)
}

// sendStreaming sends an upload while its client sends it, and reads the response at the same time, so that
// it detects an early rejection. The response timeout runs from the time at which the client's last byte
// came. A request that broke off before its last byte was never executed.
func (c *conn) sendStreaming(ctx context.Context, o *outbound) (res result, clean bool, err error) {
	sent := make(chan error, 1)
	sendCtx, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		err := o.streamingRequest(sendCtx, o.upload.remaining()).Write(timedWriter{c, sendCtx})
		if err == nil {
			c.pool.forwards.Add(1)
			o.upload.completedAt.Store(time.Now().UnixNano())
			o.upload.startDeadline(lastByteAt(o.upload.reader.conn))
			wait := o.upload.remaining()
			o.upload.onComplete(wait)
			besteffort.SocketOption(c.SetReadDeadline(time.Now().Add(wait)))
			if ctx.Err() != nil {
				besteffort.SocketOption(c.SetReadDeadline(time.Unix(1, 0)))
			}
		} else {
			// the response that gives the reason for the close may be on its way
			besteffort.SocketOption(c.SetReadDeadline(time.Now().Add(earlyResponseWait)))
		}
		sent <- err
	}()
	res, clean, err = c.receive(ctx, o)
	var writeErr error
	select {
	case writeErr = <-sent:
	default: // the backend has answered early, or the connection has broken
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
	case err == nil && res.outcome != balancer.OK: // a proper rejection
		return res, false, nil
	case wasCancelled(ctx):
		return result{outcome: balancer.Cancelled, bodyDiscarded: res.bodyDiscarded}, false, writeErr
	}
	return result{outcome: balancer.ConnectFailed, bodyDiscarded: res.bodyDiscarded}, false, writeErr
}

// streamResult has a long response forwarded by streamResponse, and ends the attempt when that returns.
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

// failedOutcome returns the outcome of an attempt that got no response. The last byte of the request was
// written, so the request may have been executed. connErr is the error that ended the connection, if any.
func failedOutcome(ctx context.Context, connErr error) balancer.Outcome {
	switch {
	case wasCancelled(ctx):
		return balancer.Cancelled
	case ctx.Err() != nil, errors.Is(connErr, os.ErrDeadlineExceeded):
		return balancer.TimedOut
	case connErr != nil:
		return balancer.ConnectionReset
	}
	return balancer.ServerError // the response is malformed
}
