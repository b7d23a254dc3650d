package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"wrenspread/internal/besteffort"
)

// serveControlRoutes serves the proxy's control routes until the test ends, and returns their address.
func (srv *runningProxy) serveControlRoutes(t *testing.T) (address string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); _ = srv.serveControl(ctx, ln) }()
	t.Cleanup(func() { stop(); <-ended })
	return ln.Addr().String()
}

// callControl sends a request to the control address, as an operator does.
func callControl(t *testing.T, address, method, path string) (status int, body string) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+address+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	a := do(t, req)
	return a.status, a.body
}

// waitForStat waits until the response of /stats contains a line.
func waitForStat(t *testing.T, address, line string) {
	t.Helper()
	var body string
	for until := time.Now().Add(testTimeout); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if _, body = callControl(t, address, "GET", "/stats"); strings.Contains("\n"+body, "\n"+line+"\n") {
			return
		}
	}
	t.Fatalf("no line %q in\n%s", line, body)
}

func TestControlRoutesAnswerWithTheirStatus(t *testing.T) {
	srv := startProxy(t, refusingAddress(t))
	address := srv.serveControlRoutes(t)
	for _, c := range []struct {
		method, path string
		want         int
	}{
		{"GET", "/healthcheck", 200}, {"GET", "/stats", 200}, {"POST", "/stats", 405}, {"GET", "/", 404},
		{"GET", "/health/ready", 404}, {"POST", "/healthcheck", 405},
	} {
		if status, _ := callControl(t, address, c.method, c.path); status != c.want {
			t.Errorf("%s %s: %d, want %d", c.method, c.path, status, c.want)
		}
	}
	empty := startProxy(t)
	if status, _ := callControl(t, empty.serveControlRoutes(t), "GET", "/healthcheck"); status != 503 {
		t.Errorf("/healthcheck without endpoints: %d, want 503", status)
	}
}

// TestHealthAndStatsDoNotWaitForTheLoop: /stats and /healthcheck respond while the loop is blocked.
func TestHealthAndStatsDoNotWaitForTheLoop(t *testing.T) {
	srv := startProxy(t, refusingAddress(t))
	address := srv.serveControlRoutes(t)
	blocked, release := make(chan bool, 1), make(chan struct{})
	defer close(release)
	srv.post(func() { blocked <- true; <-release })
	wait(t, blocked, "the loop")
	for _, path := range []string{"/healthcheck", "/stats"} {
		if status, _ := callControl(t, address, "GET", path); status != 200 {
			t.Errorf("%s: %d", path, status)
		}
	}
}

// TestIdleOperatorConnectionsBlockNoCall: control connections on which no complete request has been sent are
// limited in number. They block neither control requests nor clients' requests.
func TestIdleOperatorConnectionsBlockNoCall(t *testing.T) {
	srv := startProxy(t, refusingAddress(t))
	address := srv.serveControlRoutes(t)
	var conns []net.Conn
	for i := range 2 * maxOperatorConns {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer besteffort.Close(c)
		if i%2 == 1 {
			besteffort.Output(io.WriteString(c, "GET /sta"))
		}
		conns = append(conns, c)
	}
	if status, _ := callControl(t, address, "GET", "/stats"); status != 200 {
		t.Errorf("GET /stats with many idle connections: %d, want 200", status)
	}
	besteffort.SocketOption(conns[0].SetDeadline(time.Now().Add(testTimeout)))
	if b, err := io.ReadAll(conns[0]); err != nil && len(b) > 0 {
		t.Errorf("the first idle connection received %q, %v, want a close", b, err)
	}
	if req := srv.request(t, "GET", "saldo", "q", "20", nil); do(t, req).status != 503 {
		t.Error("a client's request is not answered 503")
	}
}
