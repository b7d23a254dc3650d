package proxy

import (
	"context"
	"io"
	"net/http"
	"time"

	"wrenspread/internal/proxy/memory"
)

const (
	bodyReadSize     = 4 << 10                // bytes of one read before a response is streamed
	maxBufferingTime = 100 * time.Millisecond // a response of no stated length that takes longer is streamed
	// maxStallBuffering is how long a stalled response of no stated length is buffered after its first byte. The
	// attempt can still be retried in this time; a client must not wait 2 s for bytes that have come.
	maxStallBuffering = time.Second
	// streamStartMargin is the time before its request's deadline at which a stalled response is streamed, so
	// that it begins at the client in time.
	streamStartMargin = 50 * time.Millisecond
)

// responseBody is what has been read of a response's body.
type responseBody struct {
	start     []byte
	remaining io.Reader // the part that is still to come; nil if start is the complete body
}

// isComplete reports whether the body has been read to its end.
func (b responseBody) isComplete() bool { return b.remaining == nil }

// readResponseBody reads a response's body to its end, or until it has to be streamed: because it is longer
// than maxBufferedBody, or by the rules of readUnstatedBody. At least one byte of a body that has to be
// streamed has been read: a connection may break behind the head, and then the attempt has failed and its
// client can still get another response. deadline is that of the request; the zero time means that it is not
// known.
func (c *conn) readResponseBody(
	ctx context.Context,
	resp *http.Response,
	deadline time.Time,
) (responseBody, error) {
	body := c.bodyReader(resp)
	switch {
	case resp.ContentLength > maxBufferedBody:
		if err := c.memory.grow(ctx, memory.LongResponse); err != nil {
			return responseBody{}, err
		}
		start, err := readFirstPart(body)
		return responseBody{start: start, remaining: body}, err
	case resp.ContentLength >= 0:
		if err := c.memory.grow(ctx, resp.ContentLength); err != nil {
			return responseBody{}, err
		}
		complete := make([]byte, resp.ContentLength)
		_, err := io.ReadFull(body, complete)
		return responseBody{start: complete}, err
	}
	return c.readUnstatedBody(ctx, body, deadline)
}

// readFirstPart reads the first bytes of a body that is known not to be empty.
func readFirstPart(body io.Reader) ([]byte, error) {
	buf := make([]byte, bodyReadSize)
	n, err := io.ReadAtLeast(body, buf, 1)
	if n > 0 {
		return buf[:n], nil
	}
	return nil, err
}

// readUnstatedBody reads a body of no stated length to its end, or until it has to be streamed. That is the
// case when it is longer than maxBufferedBody, when a further part comes after maxBufferingTime, or when it
// has stalled until streamStartTime.
func (c *conn) readUnstatedBody(
	ctx context.Context,
	body io.Reader,
	deadline time.Time,
) (responseBody, error) {
	began := time.Now()
	start := responseBuffer{memory: &c.memory}
	buf := make([]byte, bodyReadSize)
	n, err := body.Read(buf)
	stalled := time.NewTimer(time.Until(streamStartTime(time.Now(), deadline)))
	defer stalled.Stop()
	for reads := 1; ; reads++ {
		if err := start.append(ctx, buf[:n]); err != nil {
			return responseBody{}, err
		}
		if err == io.EOF {
			return responseBody{start: start.data}, nil
		}
		if err != nil {
			return responseBody{}, err
		}
		if len(start.data) > maxBufferedBody || reads > 1 && time.Since(began) > maxBufferingTime {
			return responseBody{start: start.data, remaining: body}, c.memory.grow(ctx, memory.LongResponse)
		}
		if c.available() > maxChunkFraming {
			n, err = body.Read(buf) // it does not wait
			continue
		}
		next := startRead(body, buf)
		select {
		case read := <-next:
			n, err = len(read.data), read.err
		case <-stalled.C:
			return responseBody{start: start.data, remaining: &pendingReader{pending: next, body: body}},
				c.memory.grow(ctx, memory.LongResponse)
		}
	}
}

// discardRejection reads the body of a rejection to its end. Only a complete response proves that the request
// did not run.
func discardRejection(resp *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStreamedBody+1))
	if err == nil && n > maxStreamedBody {
		return errTooLong
	}
	return err
}

// discardFailure reads the body of a response that proves nothing, so that its connection can be used again,
// and reports whether it has been read to its end. It stops in a body of more than maxBufferedBody bytes, and
// in one of no stated length that takes longer than maxBufferingTime.
func discardFailure(resp *http.Response) (complete bool, err error) {
	if resp.ContentLength > maxBufferedBody {
		return false, nil
	}
	began := time.Now()
	buf := make([]byte, bodyReadSize)
	for discarded := 0; discarded <= maxBufferedBody; {
		n, err := resp.Body.Read(buf)
		if err == io.EOF {
			return true, nil
		}
		if err != nil {
			return false, err
		}
		discarded += n
		if resp.ContentLength < 0 && time.Since(began) > maxBufferingTime {
			return false, nil
		}
	}
	return false, nil
}

// streamStartTime returns the time from which on a stalled response is streamed whose first byte came at
// firstByteAt. deadline is that of its request, or the zero time if it is not known.
func streamStartTime(firstByteAt, deadline time.Time) time.Time {
	latest := firstByteAt.Add(maxStallBuffering)
	if inTime := deadline.Add(-streamStartMargin); !deadline.IsZero() && inTime.Before(latest) {
		return inTime
	}
	return latest
}

// bodyRead is the result of one read of a body.
type bodyRead struct {
	data []byte
	err  error
}

// startRead reads the next part of a body into buf, in a goroutine of its own, so that the caller can stop
// waiting for it. The goroutine ends with the read: when a part has come, or the connection's deadline has
// passed, or the connection is closed.
func startRead(body io.Reader, buf []byte) <-chan bodyRead {
	result := make(chan bodyRead, 1)
	go func() {
		n, err := body.Read(buf)
		result <- bodyRead{data: buf[:n], err: err}
	}()
	return result
}

// pendingReader reads a body of which one part is being read already.
type pendingReader struct {
	pending <-chan bodyRead // the read in progress; nil once its result has been taken
	part    bodyRead        // that result, as far as it has not been read
	body    io.Reader
}

// Read returns the result of the pending read first.
func (r *pendingReader) Read(p []byte) (int, error) {
	if r.pending != nil {
		r.part = <-r.pending
		r.pending = nil
	}
	if len(r.part.data) > 0 {
		n := copy(p, r.part.data)
		r.part.data = r.part.data[n:]
		return n, nil
	}
	if r.part.err != nil {
		return 0, r.part.err
	}
	return r.body.Read(p)
}
