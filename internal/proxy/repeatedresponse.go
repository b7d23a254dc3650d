package proxy

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"wrenspread/balancer"
)

const (
	// repeatWindow is how long after a response the backend may still send it a second time.
	repeatWindow = time.Second
	// failureRepeatWindow is the same for rejections and server errors. They look alike, so it has to be shorter
	// than the time in which a busy backend rejects two requests on one connection.
	failureRepeatWindow = 25 * time.Millisecond
	// maxRecentOnConn bounds the responses of one connection that are compared with the next one.
	maxRecentOnConn = 8
	// maxRecentOfClass bounds the responses of one class that show whether its bodies differ.
	maxRecentOfClass = 64
	// minIdentifyingBody is the length in bytes from which on a body can be specific to one request.
	minIdentifyingBody = 16
	// maxRepeatsInARow bounds the repeated responses that an attempt discards.
	maxRepeatsInARow = 4
	// maxUnexplainedRepeats is the number of discarded responses without a successor from which on equal
	// bodies are taken as usual in a class.
	maxUnexplainedRepeats = 3
)

// errRepeats is the error of an attempt that got nothing but repeated responses.
var errRepeats = errors.New("read response: the backend repeats earlier responses")

// bodyDigest identifies the content of a response body.
type bodyDigest struct {
	length int
	hash   uint64
}

// recentResponse is a successful response that has been read, with the request that it belongs to.
type recentResponse struct {
	digest         bodyDigest
	class          string
	requestID      string
	idempotencyKey string
	connNumber     uint64
	at             time.Time
}

func newRecentResponse(o *outbound, body []byte, connNumber uint64) recentResponse {
	return recentResponse{
		digest:         bodyDigest{len(body), xxhash.Sum64(body)},
		class:          o.header.Get("X-Class"),
		requestID:      o.header.Get("X-Request-Id"),
		idempotencyKey: o.header.Get("Idempotency-Key"),
		connNumber:     connNumber,
		at:             time.Now(),
	}
}

// sameOperation reports whether two responses belong to one operation, for which backends may give the same
// body twice.
func (r recentResponse) sameOperation(other recentResponse) bool {
	return r.requestID == other.requestID ||
		r.idempotencyKey != "" && r.idempotencyKey == other.idempotencyKey
}

// responseVariety learns in which classes a body identifies the request that it answers. HTTP/1.1 ties a
// response to its request by order alone, so a second response that comes after the next request has been
// sent is taken for the response to that request. Where bodies differ, a body equal to an earlier one on the
// same connection gives it away.
type responseVariety struct {
	mu      sync.Mutex
	classes map[string]*classVariety
}

// classVariety is what is known about the response bodies of one class.
type classVariety struct {
	recent      []recentResponse // with different bodies, oldest first
	shared      bool             // requests that have nothing to do with each other get equal bodies
	explained   int              // discarded responses that were followed by another one
	unexplained int              // discarded responses that were not
}

func newResponseVariety() *responseVariety {
	return &responseVariety{classes: map[string]*classVariety{}}
}

// ofClassLocked returns what is known about a class. The caller holds v.mu.
func (v *responseVariety) ofClassLocked(class string) *classVariety {
	c := v.classes[class]
	if c == nil {
		c = &classVariety{}
		v.classes[class] = c
	}
	return c
}

// record learns from a response that is passed to its client.
func (v *responseVariety) record(r recentResponse) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.ofClassLocked(r.class).record(r)
}

func (c *classVariety) record(r recentResponse) {
	for _, earlier := range c.recent {
		if earlier.digest != r.digest {
			continue
		}
		// On one connection, an equal body within repeatWindow may be a second response.
		independent := earlier.connNumber != r.connNumber || r.at.Sub(earlier.at) > repeatWindow
		if independent && !earlier.sameOperation(r) {
			c.shared = true
		}
		return
	}
	if len(c.recent) == maxRecentOfClass {
		c.recent = c.recent[1:]
	}
	c.recent = append(c.recent, r)
}

// identifies reports whether a response body of a class shows which request it answers.
func (v *responseVariety) identifies(class string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	c := v.classes[class]
	if c == nil || c.shared || len(c.recent) < 2 {
		return false
	}
	return c.unexplained < maxUnexplainedRepeats || c.unexplained <= c.explained
}

// recordDiscarded learns from a discarded response of a class: followed reports whether another response came
// after it, as is to be expected after a second response.
func (v *responseVariety) recordDiscarded(class string, followed bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	c := v.ofClassLocked(class)
	if followed {
		c.explained++
	} else {
		c.unexplained++
	}
}

// responseHistory is what the responses on a connection have been, to recognise them when they come again.
type responseHistory struct {
	succeeded  []recentResponse // the last ones, oldest first
	rejectedAt time.Time        // when the last rejection came
	failedAt   time.Time        // when the last server error came
}

// receive reads the response to a request. It discards second responses to earlier requests on the
// connection, as far as they can be told from the response to this one. clean reports whether the connection
// can carry another request afterwards.
func (c *conn) receive(ctx context.Context, o *outbound) (res result, clean bool, err error) {
	discarded := "" // class of the last discarded response
	for repeats := range maxRepeatsInARow {
		res, clean, err = c.receiveOne(ctx, o)
		res.repeatsDiscarded = repeats
		if discarded != "" {
			c.pool.variety.recordDiscarded(discarded, err == nil)
			clean = false // the backend may repeat this response, too
		}
		switch {
		case err != nil:
			return res, clean, err
		case res.stream != nil:
			return res, false, nil // if it came again, it could not be recognised
		case res.outcome != balancer.OK:
			repeated := c.history.recordFailure(&res, time.Now())
			return res, clean && !repeated, nil
		}
		current := newRecentResponse(o, res.body, c.number)
		earlier, isRepeat := c.findRepeated(current)
		if !isRepeat {
			c.memory.keep()
			c.history.recordSuccess(current)
			c.pool.variety.record(current)
			return res, clean, nil
		}
		discarded = earlier.class
		c.memory.release()
	}
	return result{repeatsDiscarded: maxRepeatsInARow}, false, errRepeats
}

// findRepeated returns the earlier response on the connection that a response repeats, if there is one.
func (c *conn) findRepeated(current recentResponse) (earlier recentResponse, isRepeat bool) {
	if current.digest.length < minIdentifyingBody {
		return recentResponse{}, false
	}
	for _, earlier := range c.history.succeeded {
		if earlier.digest == current.digest && current.at.Sub(earlier.at) < repeatWindow &&
			!earlier.sameOperation(current) && c.pool.variety.identifies(earlier.class) {
			return earlier, true
		}
	}
	return recentResponse{}, false
}

// recordSuccess records a response that is passed to its client.
func (h *responseHistory) recordSuccess(r recentResponse) {
	if len(h.succeeded) == maxRecentOnConn {
		h.succeeded = h.succeeded[1:]
	}
	h.succeeded = append(h.succeeded, r)
}

// recordFailure records a rejection or a server error. It returns true if the same came within
// failureRepeatWindow, so that this one may be a second response to an earlier request, and the response to
// this one may still come. A rejection then does not prove that the request did not run.
func (h *responseHistory) recordFailure(res *result, now time.Time) (repeated bool) {
	last := &h.failedAt
	if res.outcome == balancer.Rejected {
		last = &h.rejectedAt
	}
	repeated = !last.IsZero() && now.Sub(*last) < failureRepeatWindow
	*last = now
	if repeated {
		res.outcome = balancer.ServerError
	}
	return repeated
}
