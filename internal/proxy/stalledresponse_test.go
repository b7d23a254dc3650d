package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"wrenspread/internal/besteffort"
)

// stalledResponses are beginnings of responses of no stated length, each with its end.
var stalledResponses = map[string]struct{ begin, end string }{
	"chunks":           {chunkedHead + "3\r\nabc\r\n", "2\r\nde\r\n0\r\n\r\n"},
	"part of a chunk":  {chunkedHead + "5\r\nabc", "de\r\n0\r\n\r\n"},
	"ended by a close": {okStatusLine + "\r\nabc", "de"},
	"many bytes": {
		chunkedHead + "ea60\r\n" + strings.Repeat("x", 60000) + "\r\n",
		"ea60\r\n" + strings.Repeat("x", 60000) + "\r\n0\r\n\r\n",
	},
}

// TestStalledResponseIsForwardedInTime guards against cutting off, at its request's deadline or after a long
// wait, a response of no stated length of which a part has come and that goes on later (review/10).
func TestStalledResponseIsForwardedInTime(t *testing.T) {
	for name, response := range stalledResponses {
		for form, deadline := range map[string]time.Duration{
			"get":      time.Second,
			"late get": 20 * time.Second,
			"upload":   time.Second,
		} {
			t.Run(name+", "+form, func(t *testing.T) {
				t.Parallel()
				resume := make(chan struct{})
				srv := startProxy(t, backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
					if readRequest(r) != nil {
						besteffort.Output(io.WriteString(c, response.begin))
						<-resume
						besteffort.Output(io.WriteString(c, response.end))
					}
				}))
				c := srv.dial(t)
				sentAt := time.Now()
				if form == "upload" {
					besteffort.Output(fmt.Fprintf(c, strings.Replace(uploadHeadFormat, "X-Deadline: 20", "X-Deadline: 1", 1)+
						"Content-Length: 70000\r\n\r\n%s", "q", pattern(70000)))
				} else {
					c.sendGet(t, "saldo", "q", fmt.Sprint(deadline.Seconds()))
				}
				resp := c.readBegun(t)
				if _, err := io.ReadFull(resp.Body, make([]byte, 1)); err != nil {
					t.Fatalf("no first byte: %v", err)
				}
				if waited := time.Since(sentAt); waited > min(deadline, 2*time.Second) {
					t.Errorf("first byte after %v, want it by the deadline and within 2 s", waited)
				}
				if deadline == time.Second {
					time.Sleep(time.Until(sentAt.Add(deadline + bodyStartGrace/4)))
				}
				close(resume)
				rest, err := io.ReadAll(resp.Body)
				if err != nil || len(rest) != 4 && len(rest) != 2*60000-1 {
					t.Errorf("the rest has %d bytes, %v", len(rest), err)
				}
			})
		}
	}
}

// TestStalledResponseIsCutWhereItsClientCanTell checks that a response of no stated length that has been
// streamed because it stalled, and then breaks off, does not look complete.
func TestStalledResponseIsCutWhereItsClientCanTell(t *testing.T) {
	for name, breakOff := range map[string]func(c net.Conn){
		"reset": func(c net.Conn) { besteffort.SocketOption(c.(*net.TCPConn).SetLinger(0)) },
		"hang":  func(c net.Conn) { _, _ = c.Read(make([]byte, 1)) }, // until the proxy gives up
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			begun := make(chan bool, 1)
			srv := startProxy(t, backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
				if readRequest(r) != nil {
					besteffort.Output(io.WriteString(c, okStatusLine+"\r\nabc"))
					<-begun
					breakOff(c)
				}
			}))
			address := srv.serveControlRoutes(t)
			c := srv.dial(t)
			c.sendGet(t, "saldo", "q", "1")
			resp := c.readBegun(t)
			begun <- true
			if got, err := io.ReadAll(resp.Body); err == nil {
				t.Errorf("%q looks like a complete response", got)
			}
			waitForStat(t, address, "app.results.saldo.aborted:1|c")
			waitForStat(t, address, "app.forwards:1|c")
		})
	}
}
