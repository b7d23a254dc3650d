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

// TestBadClientsAreClosedAndLeakNothing checks many clients that send a malformed or incomplete request and
// don't close: each gets an error or a close. It also checks clients that leave during a request. Afterwards
// the numbers of descriptors, goroutines and requests are as before.
func TestBadClientsAreClosedAndLeakNothing(t *testing.T) {
	server, got, _ := silentServer(t)
	srv := startProxy(t, server)
	http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	openDescriptors := func() int {
		fds, err := os.ReadDir("/proc/self/fd")
		if err != nil {
			t.Fatal(err)
		}
		return len(fds)
	}
	fds, goroutines := openDescriptors(), runtime.NumGoroutine()
	var badClients []clientConn
	for _, text := range []string{"", "G", "x\r\n\r\n", completeGet[:40], "GET / HTTP/1.1\r\n" + strings.Repeat("X: y\r\n", 8<<10),
		completePost[:len(completePost)-2], "x\r\n\r\n" + strings.Repeat("x", 300<<10)} {
		for range 20 {
			c := srv.dial(t)
			go func() { besteffort.Output(io.WriteString(c, text)) }()
			badClients = append(badClients, c)
		}
	}
	var departing []clientConn
	for range 4 { // clients that leave during a request
		c := srv.dialAccepted(t)
		besteffort.Output(io.WriteString(c, strings.Replace(completeGet, "Id: q", "Id: "+c.LocalAddr().String(), 1)))
		wait(t, got, "the attempt")
		departing = append(departing, c)
	}
	for _, c := range badClients {
		if _, err := io.ReadAll(c.reader); os.IsTimeout(err) {
			t.Error("a client receives neither an error nor a close")
		}
	}
	for _, c := range append(badClients, departing...) {
		besteffort.Close(c)
	}
	waitUntil(t, "descriptors and goroutines to be released", func() bool { return openDescriptors() <= fds && runtime.NumGoroutine() <= goroutines })
	srv.waitNoRequests(t)
}
