package client

import (
	"context"
	"net"
	"time"

	"wrenspread/internal/socketoption"
)

// Move goes on at another address, or in the other way. Versions seen before
// mean nothing there, so it begins with the complete list.
func (d *Platform) Move(ctx context.Context, address string, asked bool) {
	d.polls = asked
	if d.latest != nil {
		d.latest.leaves.Store(true)
	}
	began := time.Now()
	d.beginAfter(ctx, d.endForMove, func(ctx context.Context) {
		d.url, d.index, d.needsComplete = platformURL(address), 0, true
		if d.setTimes(asked); !asked {
			d.follow(ctx)
		} else if d.sleep(ctx, randomUpTo(spreadMove)-time.Since(began)) {
			d.end(ctx, d.poll(ctx))
		}
	})
}

// endForMove ends a task for a move. What the previous address has written by then counts as known, whatever
// the next one says, and when: an answer that has begun to come is read to its end.
func (d *Platform) endForMove(t *task) {
	if d.answerArriving() {
		whole, stop := context.WithTimeout(context.Background(), moveGrace)
		context.AfterFunc(whole, t.stop)
		<-t.done
		stop()
		return
	}
	t.stop()
}

// answerArriving reports whether something of the answer to the call under way has come, read or not.
func (d *Platform) answerArriving() bool {
	if c := d.conn.Load(); c != nil && socketoption.Readable(*c) {
		return true
	}
	return d.answerBegun.Load() // after the look at what is not read
}

// observedConn is a connection on which it is noted that something comes.
type observedConn struct {
	net.Conn
	platform *Platform
}

func (c observedConn) Read(p []byte) (int, error) {
	if socketoption.Await(c.Conn) {
		// ahead of the read: by arriving's look something is either to be read or noted
		c.platform.answerBegun.Store(true)
	}
	return c.Conn.Read(p)
}
