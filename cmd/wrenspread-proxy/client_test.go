package main

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"wrenspread/internal/besteffort"
)

// crossingTime is the longest time from the write of a request to the end of its connection in which the
// proxy may have closed the connection before the request came: the slack of each time limit on the protocol
// page.
const crossingTime = 50 * time.Millisecond

// unanswered is how a request ended to which no complete response came.
type unanswered string

const (
	crossedClose  unanswered = "crossed the close of its kept connection" // it is sent once more
	closedUnread  unanswered = "a new connection was closed unread"
	notConnected  unanswered = "no connection"
	endedTaken    unanswered = "the connection ended long after the request was written"
	endedResponse unanswered = "the connection ended within the response"
	neverAnswered unanswered = "no answer came"
)

// isLost reports whether the proxy had taken the request, and so has lost it.
func (u unanswered) isLost() bool {
	return slices.Contains([]unanswered{endedTaken, endedResponse, neverAnswered}, u)
}

// judgeEnd says how a request ended whose connection ended with err, before the first byte of a response,
// some time after the write. A machine that closes a connection with unread bytes resets it.
func judgeEnd(kept bool, after time.Duration, err error) unanswered {
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		return neverAnswered
	case kept && after <= crossingTime:
		return crossedClose
	case !kept && (after <= crossingTime || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)):
		return closedUnread
	}
	return endedTaken
}

// TestClientJudgesTheEndOfAConnection guards against a test client that forgives a lost request.
func TestClientJudgesTheEndOfAConnection(t *testing.T) {
	reset := &net.OpError{Op: "read", Err: syscall.ECONNRESET}
	for _, c := range []struct {
		kept  bool
		after time.Duration
		err   error
		lost  bool
	}{
		{true, time.Millisecond, io.EOF, false},
		{true, time.Millisecond, reset, false},
		{true, 60 * time.Millisecond, io.EOF, true},
		{true, 60 * time.Millisecond, reset, true},
		{false, time.Millisecond, io.EOF, false},
		{false, 60 * time.Millisecond, io.EOF, true},
		{false, 600 * time.Millisecond, reset, false},
		{true, time.Second, &net.OpError{Op: "read", Err: syscall.ETIMEDOUT}, true},
	} {
		if end := judgeEnd(c.kept, c.after, c.err); end.isLost() != c.lost {
			t.Errorf("kept %v, %v after the write, %v: %s", c.kept, c.after, c.err, end)
		}
	}
}

// ordinaryResult is how a request of an ordinary client ended.
type ordinaryResult struct {
	id, class string
	status    int // 0: no response
	took      time.Duration
	at        time.Time     // when it was sent
	deadline  time.Duration // its X-Deadline
	ended     unanswered    // empty: it was answered
	crossed   int           // closes of kept connections that it crossed
	crossing  time.Duration // the longest time from its write to such a close
}

// clientLoad is what a number of ordinary clients send.
type clientLoad struct {
	clients  int
	pause    time.Duration // before each request of a client
	split    time.Duration // between the two halves of a request; 0: it is written at once
	deadline time.Duration // X-Deadline
	query    string
	classes  []string
}

// ordinaryClients send small requests one after the other, each on its own connection, until stop is closed.
func ordinaryClients(address string, stop <-chan struct{}) (results func() []ordinaryResult) {
	load := clientLoad{
		clients: ordinaryCount, pause: ordinaryPause, deadline: ordinaryTime, classes: []string{"read", "write"},
	}
	return load.run(address, stop)
}

// run runs the clients until stop is closed.
func (load clientLoad) run(address string, stop <-chan struct{}) (results func() []ordinaryResult) {
	var mu sync.Mutex
	var all []ordinaryResult
	var ended sync.WaitGroup
	for i := range load.clients {
		ended.Go(func() {
			client := ordinaryClient{address: address, deadline: load.deadline, query: load.query, split: load.split}
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(load.pause):
				}
				result := client.request(fmt.Sprintf("client-%d-%d", i, n), load.classes[n%len(load.classes)])
				mu.Lock()
				all = append(all, result)
				mu.Unlock()
			}
		})
	}
	return func() []ordinaryResult { ended.Wait(); return all }
}

// ordinaryClient is a client that keeps its connection.
type ordinaryClient struct {
	address  string
	deadline time.Duration // X-Deadline; 0: ordinaryTime
	query    string
	split    time.Duration // as in clientLoad
	conn     net.Conn
	reader   *bufio.Reader
}

// request sends a request. If it crosses the close of a kept connection, the client sends it once more on a
// new one.
func (c *ordinaryClient) request(id, class string) ordinaryResult {
	if c.deadline == 0 {
		c.deadline = ordinaryTime
	}
	result := ordinaryResult{id: id, class: class, at: time.Now(), deadline: c.deadline}
	for {
		kept := c.conn != nil
		if !kept {
			conn, err := net.DialTimeout("tcp", c.address, ordinaryTime)
			if err != nil {
				result.ended = notConnected
				return result
			}
			c.conn, c.reader = conn, bufio.NewReader(conn)
		}
		result.at = time.Now()
		result.status, result.ended = c.exchange(id, class, kept)
		result.took = time.Since(result.at) - c.split
		if result.ended == "" {
			return result
		}
		besteffort.Close(c.conn)
		c.conn = nil
		if result.ended != crossedClose {
			return result
		}
		result.crossed++
		result.crossing = max(result.crossing, result.took)
	}
}

// exchange sends a request and reads its response.
func (c *ordinaryClient) exchange(id, class string, kept bool) (status int, ended unanswered) {
	besteffort.SocketOption(c.conn.SetDeadline(time.Now().Add(c.deadline + 2*ordinaryTime)))
	method, body := "GET", "\r\n"
	if class != "read" {
		method, body = "POST", "Content-Length: 2\r\n\r\nhi"
	}
	if class == "keyed" {
		body = "Idempotency-Key: " + id + "\r\n" + body
	}
	text := fmt.Sprintf("%s /api/x%s HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Deadline: %v\r\n%s",
		method, c.query, id, class, c.deadline.Seconds(), body)
	writtenAt, writeErr := c.write(text)
	if _, err := c.reader.Peek(1); err != nil {
		return 0, judgeEnd(kept, time.Since(writtenAt), cmp.Or(writeErr, err))
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, endedResponse
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, endedResponse
	}
	if resp.Close {
		besteffort.Close(c.conn)
		c.conn = nil
	}
	return resp.StatusCode, ""
}

// write writes a request, and returns when it wrote the last part.
func (c *ordinaryClient) write(text string) (at time.Time, err error) {
	if c.split > 0 {
		half := len(text) / 2
		besteffort.Output(io.WriteString(c.conn, text[:half]))
		time.Sleep(c.split)
		text = text[half:]
	}
	at = time.Now()
	_, err = io.WriteString(c.conn, text)
	return at, err
}
