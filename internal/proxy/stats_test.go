package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"wrenspread/balancer"
	"wrenspread/internal/besteffort"
)

// TestStatsCountRequestsAndAttempts: each request is counted once, by its outcome. Each attempt is counted
// when it has been written.
func TestStatsCountRequestsAndAttempts(t *testing.T) {
	srv := startProxy(t, backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for req := readRequest(r); req != nil; req = readRequest(r) {
			switch req.Header.Get("X-Request-Id") {
			case "served":
				besteffort.Output(io.WriteString(c, okResponse))
			case "failed":
				besteffort.Output(io.WriteString(c, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"))
			case "refused":
				besteffort.Output(io.WriteString(c, "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"))
			}
		}
	}))
	address := srv.serveControlRoutes(t)
	for _, line := range []string{"app.results.saldo.succeeded:0|c", "app.results.pagar.aborted:0|c", "app.forwards:0|c",
		"app.outstanding:0|g", "app.discovered:1|g", "app.ejected:0|g", "app.sighup_applied:0|c", "app.sighup_rejected:0|c"} {
		waitForStat(t, address, line)
	}
	do(t, srv.request(t, "GET", "saldo", "served", "20", nil))
	do(t, srv.request(t, "POST", "pagar", "failed", "20", strings.NewReader("x")))
	do(t, srv.request(t, "GET", "saldo", "refused", "20", nil))
	do(t, srv.request(t, "GET", "odd", "unknown", "20", nil))
	for _, line := range []string{"app.results.saldo.succeeded:1|c", "app.results.saldo.declined:1|c",
		"app.results.saldo.aborted:0|c", "app.results.pagar.aborted:1|c", "app.forwards:3|c", "app.outstanding:0|g"} {
		waitForStat(t, address, line)
	}
}

func TestStatsCountAnOpenRequest(t *testing.T) {
	server, got, _ := silentServer(t)
	srv := startProxy(t, server)
	address := srv.serveControlRoutes(t)
	ctx, cancel := context.WithCancel(context.Background())
	clientError := make(chan error, 1)
	go func() {
		_, err := http.DefaultClient.Do(srv.request(t, "GET", "saldo", "q", "60", nil).WithContext(ctx))
		clientError <- err
	}()
	wait(t, got, "the attempt")
	waitForStat(t, address, "app.outstanding:1|g")
	cancel()
	_ = wait(t, clientError, "the client to fail")
	waitForStat(t, address, "app.outstanding:0|g")
}

// TestStatsReplaceSeparatorsInNames: characters of a class's or an endpoint's name that separate parts of
// a /stats line are replaced.
func TestStatsReplaceSeparatorsInNames(t *testing.T) {
	s := newStats([]balancer.Class{{Name: "a.b:1|c\napp.x"}}, true)
	s.count("a.b:1|c\napp.x", outcomeAborted)
	s.count("nobody's", outcomeAborted)
	for code, late := range map[balancer.Outcome]bool{balancer.OK: true, balancer.Rejected: false, balancer.ConnectionReset: false, balancer.NotSent: false, balancer.Cancelled: false} {
		s.attempt("b c", code, late)
	}
	s.attempt("forgotten", balancer.OK, false)
	s.forget("forgotten")
	var b strings.Builder
	s.write(&b)
	for _, line := range strings.Split(strings.TrimSuffix(b.String(), "\n"), "\n") {
		var n int
		name, value, _ := strings.Cut(line, ":")
		if _, err := fmt.Sscanf(value, "%d|", &n); err != nil || strings.ContainsAny(name, " |") || strings.Count(value, "|") != 1 {
			t.Errorf("malformed line %q", line)
		}
	}
	if !strings.Contains(b.String(), "app.results.a_b_1_c_app_x.aborted:1|c\n") ||
		!strings.Contains(b.String(), "app.backends.b_c.succeeded:1|c\napp.backends.b_c.failed:2|c\napp.backends.b_c.late:1|c\n") || strings.Contains(b.String(), "forgotten") {
		t.Errorf("/stats shows\n%s", b.String())
	}
}
