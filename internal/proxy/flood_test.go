package proxy

import (
	"io"
	"net/http"
	"os"
	"runtime"
	"strings"
	"testing"

	"wrenspread/internal/besteffort"
)

// TestBadPeersAreClosedAndLeaveNothingBehind checks that each of many clients with a broken or unfinished
// request gets an error or a close, even if it does not close itself, and that clients which leave during
// a request leave nothing behind: the numbers of descriptors, goroutines and requests return to those
// before.
func TestBadPeersAreClosedAndLeaveNothingBehind(t *testing.T) {
	server, got, _ := silentServer(t)
	n := startNode(t, server)
	http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	open := func() int {
		fds, err := os.ReadDir("/proc/self/fd")
		if err != nil {
			t.Fatal(err)
		}
		return len(fds)
	}
	fds, goroutines := open(), runtime.NumGoroutine()
	var peers []raw
	for _, text := range []string{"", "G", "x\r\n\r\n", wholeGet[:40], "GET / HTTP/1.1\r\n" + strings.Repeat("X: y\r\n", 8<<10),
		wholePost[:len(wholePost)-2], "x\r\n\r\n" + strings.Repeat("x", 300<<10)} {
		for range 20 {
			c := n.dial(t)
			go func() { besteffort.Output(io.WriteString(c, text)) }()
			peers = append(peers, c)
		}
	}
	var departing []raw
	for range 4 {
		c := n.opened(t)
		besteffort.Output(io.WriteString(c, strings.Replace(wholeGet, "Id: q", "Id: "+c.LocalAddr().String(), 1)))
		wait(t, got, "the attempt")
		departing = append(departing, c)
	}
	for _, c := range peers {
		if _, err := io.ReadAll(c.read); os.IsTimeout(err) {
			t.Error("a client got neither an error nor a close")
		}
	}
	for _, c := range append(peers, departing...) {
		besteffort.Close(c)
	}
	until(t, "descriptors and goroutines to return", func() bool { return open() <= fds && runtime.NumGoroutine() <= goroutines })
	n.waitNoRequests(t)
}
