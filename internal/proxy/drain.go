package proxy

import (
	"context"
	"fmt"
	"net"
	"time"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/proxy/listener"
)

const (
	drainAcceptTime = 600 * time.Millisecond // after SIGTERM, as new connections still come for a while
	finishSlack     = 100 * time.Millisecond // for open requests, beyond the longest deadline
	// fullTimeout is how long all slots may be taken before further clients are closed unread. An idle
	// client that was evicted has closed its connection by then.
	fullTimeout = 600 * time.Millisecond
	// maxKillTimeout is the longest time for the last responses after SIGTERM: SIGKILL may come this long
	// after drainAcceptTime and finishSlack, or after the longest deadline if that is shorter.
	maxKillTimeout = 3 * time.Second
)

// serve accepts clients until ctx ends. It accepts for drainAcceptTime longer, because the front sends
// new connections until it has noticed, but asks each client to close; finally it finishes the open
// requests.
func (f *frontend) serve(ctx context.Context, ln net.Listener) error {
	srv := f.newHTTPServer()
	limited := listener.Limit(ln, f.maxConnections)
	limited.HeadTimeout, limited.FullTimeout = headTimeout, fullTimeout
	srv.ConnState = limited.TrackState
	f.clientListener.Store(limited)
	if f.handedOff.Load() { // stopAccepting came before clientListener was set
		besteffort.Close(limited)
	}
	f.accepting.Store(true)
	var failed error
	served := make(chan struct{})
	go func() {
		defer close(served)
		failed = srv.Serve(limited)
	}()
	select {
	case <-served:
		if !f.handedOff.Load() {
			return fmt.Errorf("serving clients: %w", failed)
		}
		waitCtx, cancelWait := context.WithCancel(ctx)
		go func() {
			defer cancelWait()
			select {
			case <-f.successorEnded: // no process accepts until this one ends and another is started
			case <-waitCtx.Done():
			}
		}()
		limited.WaitForConns(waitCtx, minOverlapTime)
		cancelWait()
	case <-ctx.Done():
	}
	f.draining.Store(true)
	longest := f.rules.Load().longestDeadline
	if ctx.Err() != nil {
		deadline := time.Now().Add(drainAcceptTime + min(longest, f.killTimeout))
		f.waitForLateConns()
		f.drainDeadline.Store(&deadline)
	}
	finishCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), f.longestRemainingTime())
	defer cancel()
	finishConnections(finishCtx, served, limited)
	limited.CloseNew()
	slackCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishSlack)
	defer cancel()
	limited.WaitForConns(slackCtx, 0)
	limited.SkipLinger()
	besteffort.Close(srv)
	return nil
}

// finishConnections closes idle connections and waits until the others have been answered, or ctx ends:
// then all requests are past their deadlines, and the remaining connections have no request. Shutdown of
// http.Server is no alternative: it drops without a response each request whose head is complete only
// after its call.
func finishConnections(ctx context.Context, served <-chan struct{}, limited *listener.Listener) {
	limited.Drain()
	select {
	case <-served:
	case <-ctx.Done():
		besteffort.Close(limited)
		<-served // connections accepted meanwhile are counted from here on
	}
	limited.WaitForConns(ctx, 0)
}

// longestRemainingTime returns how long a request that is open, or that is still to come, may take. An
// open request may have the deadline of earlier settings.
func (f *frontend) longestRemainingTime() time.Duration {
	return max(f.rules.Load().longestDeadline, time.Duration(f.latestDeadline.Load())-time.Since(f.server.start))
}

// remainingTime returns how much of its wait a request has whose last byte has just come: a request that
// comes late in a drain has to be answered before SIGKILL.
func (f *frontend) remainingTime(wait time.Duration) time.Duration {
	if deadline := f.drainDeadline.Load(); deadline != nil {
		return min(wait, time.Until(*deadline))
	}
	return wait
}

// stopAccepting leaves new connections to another process that listens on the same socket, which is
// closed here but not shut down. It is called once, after handedOff is set. The clients of open
// connections are asked to close.
func (f *frontend) stopAccepting() {
	f.draining.Store(true)
	if limited := f.clientListener.Load(); limited != nil {
		besteffort.Close(limited)
	}
}
