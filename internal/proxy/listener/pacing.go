package listener

import (
	"bytes"
	"time"

	"golang.org/x/time/rate"
)

// Work on what clients send is counted in requests: a request costs one, a short read a part of one. Each
// connection may use lightRate without a wait. What exceeds that comes from a common allowance, so that a
// client that sends without a pause leaves the processor to others.
const (
	lightRate  = 8.0  // requests a second of one connection that are not paced
	lightBurst = 20.0 // requests of one connection that may come at once
	heavyRate  = 1000 // requests a second for each core, of all connections that send more
	heavyBurst = 20   // requests

	shortReadBytes = 512    // a read of less is a short read
	shortReadCost  = 0.1    // requests
	chunkLineCost  = 0.0005 // requests for each line of a chunked body
	// maxPause is the longest pause before a read, so that a connection that ends does not wait for it.
	maxPause = 250 * time.Millisecond
)

// pacer says how long a connection pauses before its next read.
type pacer struct {
	tokens float64 // requests that it may still send without a pause
	at     time.Time
	debt   float64 // requests to be taken from the common allowance, less than one
}

// take takes an amount of work, and returns the pause after it.
func (p *pacer) take(cost float64, now time.Time, heavy *rate.Limiter) time.Duration {
	if p.at.IsZero() {
		p.tokens = lightBurst
	} else {
		p.tokens = min(lightBurst, p.tokens+lightRate*now.Sub(p.at).Seconds())
	}
	p.at = now
	if p.tokens >= cost {
		p.tokens -= cost
		return 0
	}
	if p.debt += cost; p.debt < 1 || heavy == nil {
		return 0
	}
	whole := int(p.debt)
	p.debt -= float64(whole)
	return min(maxPause, heavy.ReserveN(now, min(whole, heavyBurst)).DelayFrom(now))
}

// Pace sets the allowance of connections that send much, for a process with a number of cores. It is called
// before Accept.
func (l *Listener) Pace(cores float64) {
	l.heavy = rate.NewLimiter(rate.Limit(heavyRate*cores), heavyBurst)
}

// pause waits before a read. The caller holds c.mu, which is not held during the wait.
func (c *Conn) pause() {
	wait := c.nextPause
	c.nextPause = 0
	if wait <= 0 {
		return
	}
	if c.listener.OnPause != nil {
		c.listener.OnPause()
	}
	c.mu.Unlock()
	time.Sleep(wait)
	c.mu.Lock()
}

// countRead counts a read, as the work that it causes.
func (c *Conn) countRead(read []byte) {
	cost := 0.0
	if len(read) < shortReadBytes {
		cost += shortReadCost
	}
	if c.framing.chunked {
		cost += chunkLineCost * float64(bytes.Count(read, []byte("\n")))
	}
	if cost > 0 {
		c.nextPause += c.pacer.take(cost, c.arrival.receivedAt, c.listener.heavy)
	}
}

// countRequest counts a request that begins.
func (c *Conn) countRequest(now time.Time) {
	c.nextPause += c.pacer.take(1, now, c.listener.heavy)
}
