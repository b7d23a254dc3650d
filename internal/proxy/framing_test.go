package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"wrenspread/internal/besteffort"
)

// rawPost returns the bytes of a POST request, whose framing may be invalid.
func rawPost(version, id, headers, body string) string {
	return fmt.Sprintf("POST /api/x HTTP/%s\r\nHost: app.svc\r\nX-Request-Id: %s\r\nX-Class: pagar\r\nX-Deadline: 20\r\n%s\r\n%s",
		version, id, headers, body)
}

// echoServer starts a backend that responds to each request with the request's ID, and sends the ID on the
// channel.
func echoServer(t *testing.T) (string, chan string) {
	got := make(chan string, 100)
	return backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for req := readRequest(r); req != nil; req = readRequest(r) {
			id := req.Header.Get("X-Request-Id")
			got <- id
			besteffort.Output(fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id))
		}
	}), got
}

// TestNoRequestIsSmuggledInABody checks that no part of a request's body reaches a backend as a request,
// whether the client's framing is valid or not.
func TestNoRequestIsSmuggledInABody(t *testing.T) {
	hidden := rawPost("1.1", "hidden", "Content-Length: 0\r\n", "")
	chunk := "0\r\n\r\n" + hidden
	length := fmt.Sprintf("Content-Length: %d\r\n", len(chunk))
	const te = "Transfer-Encoding: chunked\r\n"
	for _, c := range []struct {
		name, sent string
		responses  []string // for each response its body if the status is 200, otherwise its status
		forwarded  []string
	}{
		{"length, then transfer coding", rawPost("1.1", "outer", length+te, chunk), []string{"400"}, nil},
		{"transfer coding, then length", rawPost("1.1", "outer", te+length, chunk), []string{"400"}, nil},
		{"unusual case and whitespace", rawPost("1.1", "outer", "content-length:  5\t\r\ntransfer-ENCODING:chunked\r\n", chunk), []string{"400"}, nil},
		{"bare line feeds", strings.ReplaceAll(rawPost("1.1", "outer", length+te, ""), "\r", "") + chunk, []string{"400"}, nil},
		{"two lengths", rawPost("1.1", "outer", "Content-Length: 0\r\n"+length, chunk), []string{"400"}, nil},
		{"invalid length", rawPost("1.1", "outer", "Content-Length: +5\r\n", chunk), []string{"400"}, nil},
		{"two transfer codings", rawPost("1.1", "outer", te+te, chunk), []string{"400"}, nil},
		{"transfer coding in HTTP/1.0", rawPost("1.0", "outer", "Connection: keep-alive\r\n"+te, "5\r\nhello\r\n"+chunk), []string{"400"}, nil},
		{"transfer coding in a folded line", rawPost("1.1", "outer", length+"X-A: b\r\n "+te, chunk), []string{"400"}, nil},
		{"after a valid request", rawPost("1.1", "first", "Content-Length: 2\r\n", "ok") + rawPost("1.1", "outer", length+te, chunk),
			[]string{"first", "400"}, []string{"first"}},
		{"chunked", rawPost("1.1", "outer", te, "4\r\nabcd\r\n0\r\n\r\n"), []string{"outer"}, []string{"outer"}},
		{"after a chunked request", rawPost("1.1", "outer", te, "4\r\nabcd\r\n"+chunk), []string{"outer"}, []string{"outer"}},
		{"a malformed chunk", rawPost("1.1", "outer", te, "4\r\nabcd\r\nzz\r\nabcd\r\n"+chunk), []string{"400"}, nil},
		{"OPTIONS * with a chunked body", "OPTIONS * HTTP/1.1\r\nHost: app.svc\r\n" + te + "\r\n" + chunk, []string{"400"}, nil},
		{"a request as a body", rawPost("1.1", "outer", fmt.Sprintf("Content-Length: %d\r\n", len(hidden)), hidden),
			[]string{"outer"}, []string{"outer"}},
		{"pipelined", rawPost("1.1", "a", "Content-Length: 0\r\n", "") + "\r\n" + rawPost("1.1", "b", "Content-Length: 1\r\n", "x") +
			rawPost("1.1", "c", "", ""), []string{"a", "b", "c"}, []string{"a", "b", "c"}},
	} {
		for _, atOnce := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, in one write %v", c.name, atOnce), func(t *testing.T) {
				server, got := echoServer(t)
				srv := startProxy(t, server)
				conn := srv.dial(t)
				go func() { // concurrently, because the proxy may close before it has read all bytes
					if atOnce {
						besteffort.Output(io.WriteString(conn, c.sent))
						return
					}
					besteffort.SocketOption(conn.SetNoDelay(true))
					for i := range len(c.sent) {
						besteffort.Output(io.WriteString(conn, c.sent[i:i+1]))
					}
				}()
				for i, want := range c.responses {
					if a := conn.readBodyOrStatus(t); a != want {
						t.Errorf("response %d is %q, want %q", i, a, want)
					}
				}
				if c.name != "pipelined" && c.name != "a request as a body" {
					if resp, err := http.ReadResponse(conn.reader, nil); err == nil {
						t.Errorf("unexpected response after the last one: %s", resp.Status)
					}
				}
				for _, want := range c.forwarded {
					if id := wait(t, got, "a request"); id != want {
						t.Errorf("backend received %q, want %q", id, want)
					}
				}
				select {
				case id := <-got:
					t.Errorf("backend received %q, which no client sent", id)
				default:
				}
			})
		}
	}
}

// requestForms are valid forms of a request. %s is the ID.
var requestForms = []string{
	"GET /api/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\nX-Class: saldo\r\nX-Deadline: 20\r\n\r\n",
	"GET http://app.svc/api/x?a=b HTTP/1.1\r\nhost:app.svc\r\nx-request-id:%s\r\nX-CLASS: \tsaldo \r\nx-deadline: 20.000\r\n\r\n",
	"GET /api/x HTTP/1.1\nHost: app.svc\nX-Request-Id: %s\nX-Class: saldo\nX-Deadline: 2e1\n\n",
	"GET /api/x HTTP/1.0\r\nHost: app.svc\r\nX-Request-Id: %s\r\nX-Class: saldo\r\nX-Deadline: 20\r\n\r\n",
	"POST /api/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\nX-Class: pagar\r\nX-Deadline: 20\r\nContent-Length: 4\r\n\r\nrent",
	"POST /api/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\nX-Class: pagar\r\nX-Deadline: 20\r\nConnection: close\r\nContent-Length: 04\r\n\r\nrent",
	"POST /api/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\nX-Class: pagar\r\nX-Deadline: 20\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\nrent",
	"POST /api/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\nX-Class: pagar\r\nX-Deadline: 20\r\nTransfer-Encoding: Chunked\r\n\r\n" +
		"03;a=b\r\nren\r\n1\r\nt\r\n0\r\nX-Trailer: t\r\n\r\n",
}

// TestBytewiseRequestsAreServedAndPartialOnesNotForwarded checks that a request that arrives byte by byte
// is answered, and that an incomplete request is not forwarded when its client leaves.
func TestBytewiseRequestsAreServedAndPartialOnesNotForwarded(t *testing.T) {
	for i, form := range requestForms {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			server, got := echoServer(t)
			srv := startProxy(t, server)
			partial := fmt.Sprintf(form, "partial")
			for size := range len(partial) {
				c := srv.dial(t)
				besteffort.Output(io.WriteString(c, partial[:size]))
				_ = c.CloseWrite()
				_, _ = io.Copy(io.Discard, c) // returns when the proxy has closed
			}
			c := srv.dial(t)
			for _, b := range fmt.Sprintf(form, "complete") {
				besteffort.Output(io.WriteString(c, string(b)))
			}
			a := c.readBodyOrStatus(t)
			if strings.Contains(form, "Expect") && a == "100" {
				a = c.readBodyOrStatus(t)
			}
			if a != "complete" {
				t.Errorf("response %q, want complete", a)
			}
			if id := wait(t, got, "a request"); id != "complete" || len(got) > 0 {
				t.Errorf("backend received %q and %d more, want only complete", id, len(got))
			}
		})
	}
}

// readBodyOrStatus reads a response. It returns the body if the status is 200, otherwise the status.
func (c clientConn) readBodyOrStatus(t *testing.T) string {
	t.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	body, _ := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return fmt.Sprint(resp.StatusCode)
	}
	return string(body)
}
