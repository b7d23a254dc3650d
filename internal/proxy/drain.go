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
	acceptLinger = 600 * time.Millisecond // after SIGTERM new connections still come for a while
	finishSlack  = 100 * time.Millisecond // what is open then may take the longest deadline and this
	// without a place for clients, after which they are shut: one that was idle has let go of its own by then
	fullTimeout = 600 * time.Millisecond
	// SIGKILL may come so long after lingerTime and finishSlack, or a longest deadline that is shorter
	maxKillTimeout = 3 * time.Second
)

// serve takes requests until ctx ends. Then it goes on for a while, as the
// front sends new connections until it has noticed, but asks each client to
// close; at last it finishes what is open.
func (f *frontend) serve(ctx context.Context, ln net.Listener) error {
	srv := f.newHTTPServer()
	limited := listener.Limit(ln, f.maxConnections)
	limited.HeadTimeout, limited.FullTimeout = headTimeout, fullTimeout
	srv.ConnState = limited.TrackState
	f.clients.Store(limited)
	if f.handedOff.Load() { // before there was anything to close
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
		beside, end := context.WithCancel(ctx)
		go func() {
			defer end()
			select {
			case <-f.successorEnded: // nobody accepts until this process ends and another is started
			case <-beside.Done():
			}
		}()
		limited.WaitForConns(beside, minOverlapTime)
		end()
	case <-ctx.Done():
	}
	f.draining.Store(true)
	longest := f.rules.Load().longestDeadline
	if ctx.Err() != nil {
		last := time.Now().Add(acceptLinger + min(longest, f.killTimeout))
		f.keepAccepting()
		f.answerBy.Store(&last)
	}
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), f.longestTimeLeft())
	defer cancel()
	finishConnections(last, served, limited)
	limited.CloseNew()
	end, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishSlack)
	defer cancel()
	limited.WaitForConns(end, 0)
	limited.SkipLinger()
	besteffort.Close(srv)
	return nil
}

// finishConnections ends what is idle and waits until the rest has been answered, or last is over: then all
// requests are past their deadlines, and what is left are connections on which none has come. http.Server's
// Shutdown does not do, as it drops without an answer each request whose head is complete after its call.
func finishConnections(last context.Context, served <-chan struct{}, limited *listener.Listener) {
	limited.Drain()
	select {
	case <-served:
	case <-last.Done():
		besteffort.Close(limited)
		<-served // what it accepts in that moment is known from here on
	}
	limited.WaitForConns(last, 0)
}

// longestTimeLeft is how long a request that is open, or comes yet, may take: by its settings, which may be
// earlier ones.
func (f *frontend) longestTimeLeft() time.Duration {
	return max(f.rules.Load().longestDeadline, time.Duration(f.latestDeadline.Load())-time.Since(f.server.start))
}

// timeLeft is how much of the time of a request, whose last byte is here now, there
// is for its answer: what comes late after the order to stop has to be answered
// ahead of SIGKILL.
func (f *frontend) timeLeft(wait time.Duration) time.Duration {
	if last := f.answerBy.Load(); last != nil {
		return min(wait, time.Until(*last))
	}
	return wait
}

// stopAccepting leaves new connections to another process that listens on the
// same socket, which is closed here but not shut down. It is called once, after
// handed is set: those that come on open connections are asked to close.
func (f *frontend) stopAccepting() {
	f.draining.Store(true)
	if limited := f.clients.Load(); limited != nil {
		besteffort.Close(limited)
	}
}
