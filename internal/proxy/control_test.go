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

// operate serves the proxy's control routes and returns their address.
func (n *running) operate(t *testing.T) (address string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); _ = n.serveControl(ctx, ln) }()
	t.Cleanup(func() { stop(); <-ended })
	return ln.Addr().String()
}

// call makes a call to the control address, as an operator does.
func call(t *testing.T, address, method, path string) (status int, body string) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+address+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	a := do(t, req)
	return a.status, a.body
}

// figure waits until /stats shows a line.
func figure(t *testing.T, address, line string) {
	t.Helper()
	var body string
	for until := time.Now().Add(enough); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if _, body = call(t, address, "GET", "/stats"); strings.Contains("\n"+body, "\n"+line+"\n") {
			return
		}
	}
	t.Fatalf("no line %q in\n%s", line, body)
}

func TestControlRoutesAnswerWithTheirStatus(t *testing.T) {
	n := startNode(t, refusing(t))
	address := n.operate(t)
	for _, c := range []struct {
		method, path string
		want         int
	}{
		{"GET", "/healthcheck", 200}, {"GET", "/stats", 200}, {"POST", "/stats", 405}, {"GET", "/", 404},
		{"GET", "/health/ready", 404}, {"POST", "/healthcheck", 405},
	} {
		if status, _ := call(t, address, c.method, c.path); status != c.want {
			t.Errorf("%s %s: %d, want %d", c.method, c.path, status, c.want)
		}
	}
	empty := startNode(t)
	if status, _ := call(t, empty.operate(t), "GET", "/healthcheck"); status != 503 {
		t.Errorf("/healthcheck without endpoints: %d, want 503", status)
	}
}

// TestHealthAndStatsDoNotWaitForTheLoop: /stats and /healthcheck answer while the loop is blocked.
func TestHealthAndStatsDoNotWaitForTheLoop(t *testing.T) {
	n := startNode(t, refusing(t))
	address := n.operate(t)
	blocked, release := make(chan bool, 1), make(chan struct{})
	defer close(release)
	n.post(func() { blocked <- true; <-release })
	wait(t, blocked, "the loop")
	for _, path := range []string{"/healthcheck", "/stats"} {
		if status, _ := call(t, address, "GET", path); status != 200 {
			t.Errorf("%s: %d", path, status)
		}
	}
}

// TestIdleOperatorConnectionsBlockNoCall: operators' connections without a complete call are limited in
// number, and block neither calls nor clients.
func TestIdleOperatorConnectionsBlockNoCall(t *testing.T) {
	n := startNode(t, refusing(t))
	address := n.operate(t)
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
	if status, _ := call(t, address, "GET", "/stats"); status != 200 {
		t.Errorf("a call among idle connections gets %d, want 200", status)
	}
	besteffort.SocketOption(conns[0].SetDeadline(time.Now().Add(enough)))
	if b, err := io.ReadAll(conns[0]); err != nil && len(b) > 0 {
		t.Errorf("the first idle connection got %q, %v, want a close", b, err)
	}
	if got := n.request(t, "GET", "saldo", "q", "20", nil); do(t, got).status != 503 {
		t.Error("the clients' address does not answer with 503")
	}
}
