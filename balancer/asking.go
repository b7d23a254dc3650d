package balancer

// When discovery is called, where lists are asked for. Nothing of a request is decided here. The interface is in api.go.

import "time"

// How calls to discovery are spread.
const (
	askFirst  = 200 * time.Millisecond  // before a call, at least; grows to four times that while calls fail
	askTurn   = 50 * time.Millisecond   // for each node: all may ask at once, of one discovery
	askAtOnce = 500 * time.Millisecond  // a call that fails sooner stood in no queue; a broken one may be made twice meanwhile
	askStorm  = 20 * time.Second        // of calls that failed, with none answered
	askKnown  = 10 * askStorm           // the same where an answer has shown that calls fit into askRoom
	askRoom   = 3400 * time.Millisecond // for a call of each node in turn; see jammed
)

// asker is what is known of the calls to discovery.
type asker struct {
	subscribed, asking bool
	askAt, askedAt     Time          // the next call; the last
	askLost            Time          // since when calls fail; 0: the last did not
	askWaited          bool          // the last that failed was waited for
	askTook            time.Duration // the shortest that an answer has taken; 0: none has come
}

// ask makes a call whose time has come. One that waits, or a watch that is held, is left alone: asking again would
// leave its turn.
func (m *Module) ask() {
	if m.set.AskForList && !m.subscribed && !m.asking && m.now >= m.askAt {
		m.asking, m.askedAt = true, m.now
		m.do(Subscribe{On: true})
	}
}

// askAnswered takes the answer to a call.
func (m *Module) askAnswered() {
	if took := m.now - m.askedAt; m.askTook == 0 || took < m.askTook {
		m.askTook = took
	}
	m.subscribed, m.asking, m.askLost, m.askWaited = true, false, 0, false
}

// askFailed takes a call that came to nothing, or the end of a watch. A call that is refused or broken at once stood in
// no queue.
func (m *Module) askFailed() {
	if m.askLost == 0 {
		m.askLost = m.now
	}
	m.askWaited = m.asking && m.now-m.askedAt >= askAtOnce
	m.subscribed, m.asking = false, false
	m.askAt = m.now + m.jitter(m.askWait())
}

// askLeast is the shortest wait between calls to discovery, which serves all nodes in turn: nodes that start
// together and call together fill its queue with calls that fail in it and so are made again.
func (m *Module) askLeast() time.Duration {
	return max(askFirst, min(time.Duration(m.set.Nodes)*askTurn, m.set.AskWithin/2))
}

// askWait is the mean wait after calls that failed; jitter makes half as much again of it at most. It keeps to
// MostAskWait.
func (m *Module) askWait() time.Duration {
	least, failing := m.askLeast(), m.now-m.askLost
	if least > MostAskWait*2/3 && m.jammed() {
		return max(least, m.set.AskWithin)
	}
	return min(MostAskWait*2/3, max(least, min(failing, 4*askFirst, m.set.AskWithin/2)))
}

// jammed tells that calls may fail in the queue of a discovery that is too slow for so many at this rate: none would
// ever be answered. Silence looks the same from here, so it is believed after a storm; a call that is refused or broken
// at once is no queue. An answer takes its turn at least, so one that came within askRoom for each node has shown that
// the calls of all fit: at the return each makes two, of which the second is held, and those that know leave the queue.
// With up to 2.4 s for a call of each all know within 6 s, up to 3.5 s within 15 s, and at 4 s the queue is for ever
// (80 nodes, simulated). Discovery may have become slower since, so after askKnown that proves nothing any more.
func (m *Module) jammed() bool {
	storm := askStorm
	if m.askTook > 0 && time.Duration(m.set.Nodes)*m.askTook <= askRoom {
		storm = askKnown
	}
	return m.askWaited && m.now-m.askLost > storm
}
