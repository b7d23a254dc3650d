package client

import (
	"context"
	"net"
	"time"

	"wrenspread/internal/socketoption"
)

// Move goes on at another address, or in the other way. Versions seen before
// mean nothing there, so it begins with the whole list.
func (d *Platform) Move(ctx context.Context, address string, asked bool) {
	d.asked = asked
	if d.last != nil {
		d.last.leaves.Store(true)
	}
	began := time.Now()
	d.beginAfter(ctx, d.leave, func(ctx context.Context) {
		d.url, d.index, d.whole = platformURL(address), 0, true
		if d.pace(asked); !asked {
			d.follow(ctx)
		} else if d.sleep(ctx, drawn(spreadMove)-time.Since(began)) {
			d.end(ctx, d.ask(ctx))
		}
	})
}

// leave ends a task for a move. What the former address has written by then counts as told, whatever the next one
// says, and when: an answer that has begun to come is read to its end.
func (d *Platform) leave(t *task) {
	if d.arriving() {
		whole, stop := context.WithTimeout(context.Background(), leaveTime)
		context.AfterFunc(whole, t.stop)
		<-t.done
		stop()
		return
	}
	t.stop()
}

// arriving tells whether something of the answer to the call under way has come, read or not.
func (d *Platform) arriving() bool {
	if c := d.conn.Load(); c != nil && socketoption.Readable(*c) {
		return true
	}
	return d.begun.Load() // after the look at what is not read
}

// arrival is a connection on which it is noted that something comes.
type arrival struct {
	net.Conn
	of *Platform
}

func (c arrival) Read(p []byte) (int, error) {
	if socketoption.Await(c.Conn) {
		c.of.begun.Store(true) // ahead of the read: by arriving's look something is either to be read or noted
	}
	return c.Conn.Read(p)
}
