package node

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"
)

// The terms: a connection on which no request is open may go after 2 s, and
// whoever connects gets an error or a close within 3 s.
func TestPeersGetTheirDueInTime(t *testing.T) {
	srv := New(testConfig("127.0.0.1:1"), quiet).front.server()
	if h := srv.ReadHeaderTimeout; h < 2*time.Second || h > 2500*time.Millisecond {
		t.Errorf("%v for a head", h)
	}
	if r := srv.ReadTimeout; r < srv.ReadHeaderTimeout || r > 2800*time.Millisecond {
		t.Errorf("%v for a request", r)
	}
}

// TestUnfinishedRequestsEnd: peers that say nothing, or stop within a head or a
// body, get an error or a close, and reach no server.
func TestUnfinishedRequestsEnd(t *testing.T) {
	server, got := echoServer(t)
	n := startNode(t, server)
	for _, sent := range []string{
		"", "G", "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Req",
		rawPost("1.1", "part", "Content-Length: 9\r\n", "four"),
		rawPost("1.1", "none", "Content-Length: 9\r\n", ""),
		rawPost("1.1", "chunk", "Transfer-Encoding: chunked\r\n", "4\r\nab"),
	} {
		t.Run(fmt.Sprintf("%.20q %d", sent, len(sent)), func(t *testing.T) {
			t.Parallel()
			c := n.dial(t)
			if _, err := io.WriteString(c, sent); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(c.read, nil)
			if err == nil && (resp.StatusCode < 400 || !resp.Close) {
				t.Errorf("answer %s, connection kept: %v", resp.Status, !resp.Close)
			}
			if ne, ok := err.(interface{ Timeout() bool }); ok && ne.Timeout() {
				t.Error("neither an error nor a close")
			}
		})
	}
	t.Cleanup(func() {
		select {
		case id := <-got:
			t.Errorf("a server got %q", id)
		default:
		}
	})
}
