package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"wrenspread/internal/besteffort"
)

// TestIDOfADepartedClientRunsOnce guards against a request that runs a second time because its ID comes again
// after its client has left.
func TestIDOfADepartedClientRunsOnce(t *testing.T) {
	for class, headers := range map[string]string{"pagar": "", "pedido": "Idempotency-Key: k\r\n"} {
		t.Run(class, func(t *testing.T) {
			server, got, gone := silentServer(t)
			srv := startProxy(t, server, server)
			post := fmt.Sprintf("POST /api/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: q\r\nX-Class: %s\r\nX-Deadline: 1\r\n"+
				"%sContent-Length: 2\r\n\r\nhi", class, headers)
			first := srv.dial(t)
			besteffort.Output(io.WriteString(first, post))
			wait(t, got, "the attempt")
			besteffort.Close(first)
			wait(t, gone, "the attempt to end")
			srv.waitNoRequests(t)
			second := srv.dial(t)
			besteffort.Output(io.WriteString(second, post))
			if status := second.readStatus(t); status == http.StatusOK || status == http.StatusServiceUnavailable {
				t.Errorf("status %d, want neither a success nor the promise that the request has not run", status)
			}
			if len(got) > 0 {
				t.Error("the request has run twice")
			}
		})
	}
}

// TestNoAttemptStartsForAClientClosedBehindUnreadBytes guards against attempts that begin although the client has
// closed its connection, because so much of it is unread that the end can't be seen.
func TestNoAttemptStartsForAClientClosedBehindUnreadBytes(t *testing.T) {
	release, ran := make(chan struct{}), make(chan string, 100000)
	script := func(_ int, c net.Conn, r *bufio.Reader) {
		for req := readRequest(r); req != nil; req = readRequest(r) {
			ran <- req.Header.Get("X-Request-Id")
			<-release
			besteffort.Output(io.WriteString(c, "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"))
		}
	}
	srv := startProxy(t, backendServer(t, script), backendServer(t, script))
	c := srv.dial(t)
	besteffort.Output(io.WriteString(c, completeGet))
	wait(t, ran, "the first attempt")
	besteffort.SocketOption(c.SetWriteDeadline(time.Now().Add(time.Second)))
	for i, err := 0, error(nil); err == nil; i++ { // until nothing more fits between the client and the proxy
		_, err = io.WriteString(c, strings.Replace(completeGet, "Id: q", fmt.Sprint("Id: q", i), 1))
	}
	besteffort.Close(c)
	time.Sleep(clientGoneLimit)
	close(release)
	srv.waitNoRequests(t)
	time.Sleep(10 * clientGoneLimit)
	if n := len(ran); n > 0 {
		t.Errorf("%d attempts began after the client had closed", n)
	}
}
