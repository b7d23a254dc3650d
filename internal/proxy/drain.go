package proxy

import (
	"context"
	"fmt"
	"net"
	"time"

	"wrenspread/internal/backoff"
	"wrenspread/internal/besteffort"
	"wrenspread/internal/proxy/listener"
)

const (
	drainAcceptTime = 600 * time.Millisecond // after SIGTERM, as new connections still come for a while
	finishSlack     = 100 * time.Millisecond // for open requests, beyond the longest deadline
	// holdUpSlack is how late the process may be, in noticing SIGTERM and in writing its last responses.
	holdUpSlack = 300 * time.Millisecond
	// fullTimeout is how long all slots may be taken before further clients are closed unread. An idle
	// client that was evicted has closed its connection by then.
	fullTimeout = 600 * time.Millisecond
	// maxFinishTime is the longest time for the last responses after drainAcceptTime. SIGKILL may come when
	// drainAcceptTime, finishSlack and the shorter of maxFinishTime and the longest deadline have passed since
	// SIGTERM.
	maxFinishTime = 3 * time.Second
	// maxStreamFinishTime bounds the time for long responses that have begun.
	maxStreamFinishTime = 5 * time.Minute
	acceptErrorsPerLine = 200 // accept errors for each line of the log
	crossingsPerLine    = 200 // requests that crossed a close, for each line of the log
)

// serve accepts clients until ctx ends. It then accepts for drainAcceptTime longer, because new clients are
// still sent to this proxy until its drain has been noticed, but asks each client to close. Finally it
// finishes the open requests, but for long responses that have begun; finish waits for these.
func (f *frontend) serve(ctx context.Context, ln net.Listener) error {
	httpServer := f.newHTTPServer()
	clientListener := listener.Limit(ln, f.maxConnections)
	clientListener.HeadTimeout, clientListener.FullTimeout = headTimeout, fullTimeout
	clientListener.OnAcceptError = f.noteAcceptError
	clientListener.CountIn(&f.server.stats.connections)
	clientListener.OnCrossing = f.noteCrossing
	clientListener.OnReject = f.noteMemoryRejection
	clientListener.OnPause = func() { f.server.stats.pauses.Add(1) }
	clientListener.AdmitBy(f.server.memory)
	clientListener.Pace(f.server.config.Cores)
	httpServer.ConnState = clientListener.TrackState
	f.clientListener.Store(clientListener)
	if f.handedOff.Load() { // stopAccepting came before clientListener was set
		besteffort.Close(clientListener)
	}
	f.accepting.Store(true)
	var serveError error
	served := make(chan struct{})
	go func() {
		defer close(served)
		serveError = httpServer.Serve(clientListener)
	}()
	select {
	case <-served:
		if !f.handedOff.Load() {
			return fmt.Errorf("serving clients: %w", serveError)
		}
		waitCtx, cancelWait := context.WithCancel(ctx)
		go func() {
			defer cancelWait()
			select {
			case <-f.successorEnded: // no process accepts until this one ends and another is started
			case <-waitCtx.Done():
			}
		}()
		clientListener.WaitForConns(waitCtx, minOverlapTime)
		cancelWait()
	case <-ctx.Done():
	}
	f.draining.Store(true)
	longest := f.rules.Load().longestDeadline
	if ctx.Err() != nil {
		deadline := time.Now().Add(drainAcceptTime + lastResponseTime(min(longest, f.finishTime)))
		f.logDrain("drain began", clientListener)
		f.waitForLateConns()
		f.drainDeadline.Store(&deadline)
	}
	f.finishConnections(context.WithoutCancel(ctx), served, clientListener)
	f.closeConnections = func() {
		clientListener.SkipLinger()
		besteffort.Close(httpServer)
	}
	return nil
}

// finish waits for the long responses that have begun, and closes all connections. It is called after serve.
func (f *frontend) finish(ctx context.Context) {
	if f.closeConnections != nil {
		f.finishStreams(ctx)
		f.closeConnections()
	}
}

// finishStreams waits until the long responses that have begun have ended, or SIGKILL comes. Each of them
// ends by itself when its backend or its client stalls.
func (f *frontend) finishStreams(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxStreamFinishTime)
	defer cancel()
	for ok := true; ok && f.streams.Load() > 0; {
		ok = backoff.Sleep(ctx, shortWait)
	}
}

// noteAcceptError counts an accept that failed for a moment, and logs the first one and then one in
// acceptErrorsPerLine.
func (f *frontend) noteAcceptError(err error) {
	if n := f.server.stats.acceptErrors.Add(1); n%acceptErrorsPerLine == 1 {
		f.server.log.Warn("accepting a client failed, trying again", "err", err, "errors", n)
	}
}

// noteCrossing logs the first request that crossed the close of its connection, and then one in
// crossingsPerLine.
func (f *frontend) noteCrossing(number int64, crossing listener.Crossing) {
	if number%crossingsPerLine == 1 {
		f.server.log.Info("request crossed the close of its connection, unread", "id", crossing.RequestID,
			"client", crossing.Client, "reason", crossing.Reason, "after_ms", crossing.After.Milliseconds(),
			"crossings", number)
	}
}

// noteMemoryRejection counts a request that has been rejected because there is no memory for it.
func (f *frontend) noteMemoryRejection() { f.server.stats.memoryRejections.Add(1) }

// finishConnections closes idle connections and waits until the requests on the others have been answered.
// When no further request can be served before SIGKILL, it answers the requests that are not complete, and in
// the end it closes the connections that have not been used. Shutdown of http.Server is no alternative: a
// request whose head is complete only after the call of Shutdown is dropped without a response.
func (f *frontend) finishConnections(
	ctx context.Context,
	served <-chan struct{},
	clientListener *listener.Listener,
) {
	remaining := f.longestRemainingTime()
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	receiveCtx, cancel := context.WithTimeout(ctx, f.remainingTime(remaining))
	defer cancel()
	clientListener.Drain()
	f.logDrain("idle connections closed", clientListener)
	select {
	case <-served:
	case <-receiveCtx.Done():
		besteffort.Close(clientListener)
		<-served // from here on, WaitForConns counts every accepted connection
	}
	clientListener.WaitForConns(receiveCtx, 0)
	f.logDrain("no time is left for further requests", clientListener)
	clientListener.EndIncomplete()
	clientListener.WaitForConns(ctx, 0)
	clientListener.CloseNew()
	clientListener.EndIncomplete() // what has come since
	slackCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishSlack)
	defer cancel()
	clientListener.WaitForConns(slackCtx, 0)
}

// lastResponseTime returns the time for the last responses after drainAcceptTime, of the time that is left
// until SIGKILL without finishSlack.
func lastResponseTime(left time.Duration) time.Duration {
	return left - min(holdUpSlack-finishSlack, left/2)
}

// logDrain logs a step of the drain.
func (f *frontend) logDrain(step string, clientListener *listener.Listener) {
	f.server.log.Info(step, "connections", clientListener.Open(),
		"outstanding", f.server.stats.outstanding.Load())
}

// longestRemainingTime returns the longest time that an open request, or one that is still to come, may take.
// An open request may have the deadline of earlier settings.
func (f *frontend) longestRemainingTime() time.Duration {
	return max(f.rules.Load().longestDeadline, time.Duration(f.latestDeadline.Load())-time.Since(f.server.start))
}

// remainingTime returns how long a request whose last byte has just come may still wait for its response. A
// request that comes late in a drain has to be answered before SIGKILL.
func (f *frontend) remainingTime(wait time.Duration) time.Duration {
	if deadline := f.drainDeadline.Load(); deadline != nil {
		return min(wait, time.Until(*deadline))
	}
	return wait
}

// stopAccepting stops accepting, so that new connections go to another process that listens on the same
// socket; the socket is closed here but not shut down. The clients of open connections are asked to close. It
// is called once, after handedOff is set.
func (f *frontend) stopAccepting() {
	f.draining.Store(true)
	if clientListener := f.clientListener.Load(); clientListener != nil {
		besteffort.Close(clientListener)
	}
}
