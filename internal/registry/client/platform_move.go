package client

import (
	"context"
	"net"
	"time"

	"wrenspread/internal/socketoption"
)

// Move follows the list at another address, or changes between polled and pushed lists. It begins with the
// complete list, because versions of the previous address have no meaning at the new address.
func (d *PlatformFollower) Move(ctx context.Context, address string, polled bool) {
	d.polls = polled
	if d.latestTask != nil {
		d.latestTask.stopping.Store(true)
	}
	began := time.Now()
	d.startTaskAfter(ctx, d.endForMove, func(ctx context.Context) {
		d.url, d.index, d.needsComplete = platformURL(address), 0, true
		if d.setTimes(polled); !polled {
			d.follow(ctx)
		} else if d.sleep(ctx, randomUpTo(moveSpread)-time.Since(began)) {
			d.reportFailure(ctx, d.poll(ctx))
		}
	})
}

// endForMove stops a task for a move. If a response has begun to arrive, endForMove first waits up to
// moveGrace for its end, because a change that the previous address has sent before the move counts as known.
func (d *PlatformFollower) endForMove(t *task) {
	if d.responseArriving() {
		ctx, stop := context.WithTimeout(context.Background(), moveGrace)
		context.AfterFunc(ctx, t.stop)
		<-t.done
		stop()
		return
	}
	t.stop()
}

// responseArriving reports whether a part of the response to the call in progress has arrived, read or
// unread.
func (d *PlatformFollower) responseArriving() bool {
	if c := d.conn.Load(); c != nil && socketoption.Readable(*c) {
		return true
	}
	return d.responseBegun.Load() // checked last: see observedConn.Read
}

// observedConn is a connection that sets responseBegun when data arrives.
type observedConn struct {
	net.Conn
	platform *PlatformFollower
}

func (c observedConn) Read(p []byte) (int, error) {
	if socketoption.Await(c.Conn) {
		// set before the data is read, so that responseArriving finds either unread data or this flag
		c.platform.responseBegun.Store(true)
	}
	return c.Conn.Read(p)
}
