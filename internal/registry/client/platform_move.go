package client

import (
	"context"
	"net"
	"time"

	"wrenspread/internal/socketoption"
)

// Move follows the list at another address, or changes between polled and pushed lists. Versions of the
// previous address have no meaning there, so it begins with the complete list.
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

// endForMove stops a task for a move. A change that the previous address has sent by then counts as known, so
// a response that has begun to arrive is read to its end.
func (d *PlatformFollower) endForMove(t *task) {
	if d.answerArriving() {
		ctx, stop := context.WithTimeout(context.Background(), moveGrace)
		context.AfterFunc(ctx, t.stop)
		<-t.done
		stop()
		return
	}
	t.stop()
}

// answerArriving reports whether a part of the response to the call in progress has arrived, read or unread.
func (d *PlatformFollower) answerArriving() bool {
	if c := d.conn.Load(); c != nil && socketoption.Readable(*c) {
		return true
	}
	return d.answerBegun.Load() // checked last: see observedConn.Read
}

// observedConn is a connection that sets answerBegun when data arrives.
type observedConn struct {
	net.Conn
	platform *PlatformFollower
}

func (c observedConn) Read(p []byte) (int, error) {
	if socketoption.Await(c.Conn) {
		// set before the data is read: answerArriving then finds the data unread or this flag set
		c.platform.answerBegun.Store(true)
	}
	return c.Conn.Read(p)
}
