package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"indigotack/decide"
	"indigotack/internal/fence"
	"indigotack/internal/list"
)

// operate opens a node's address for operators.
func (n *running) operate(t *testing.T) (address string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); n.serveControl(ctx, ln) }()
	t.Cleanup(func() { stop(); <-ended })
	return ln.Addr().String()
}

// call makes one call as an operator does.
func call(t *testing.T, address, method, path string) (status int, body string) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+address+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	a := do(t, req)
	return a.status, a.body
}

// figure waits for a line of the figures.
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

func TestControlCalls(t *testing.T) {
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
		t.Errorf("without servers: %d, want 503", status)
	}
}

// TestControlWithTheLoopStuck: figures and health wait for nothing that the
// loop has to do.
func TestControlWithTheLoopStuck(t *testing.T) {
	n := startNode(t, refusing(t))
	address := n.operate(t)
	stuck, release := make(chan bool, 1), make(chan struct{})
	defer close(release)
	n.post(func() { stuck <- true; <-release })
	wait(t, stuck, "the loop")
	for _, path := range []string{"/healthcheck", "/stats"} {
		if status, _ := call(t, address, "GET", path); status != 200 {
			t.Errorf("%s: %d", path, status)
		}
	}
}

// TestCallersThatNeverCall hold up nobody, and are bounded in number.
func TestCallersThatNeverCall(t *testing.T) {
	n := startNode(t, refusing(t))
	address := n.operate(t)
	var conns []net.Conn
	for i := range 2 * mostCallers {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 1 {
			io.WriteString(c, "GET /sta")
		}
		conns = append(conns, c)
	}
	if status, _ := call(t, address, "GET", "/stats"); status != 200 {
		t.Errorf("among them a call gets %d", status)
	}
	conns[0].SetDeadline(time.Now().Add(enough))
	if b, err := io.ReadAll(conns[0]); err != nil && len(b) > 0 {
		t.Errorf("the first is told %q, %v", b, err)
	}
	if got := n.request(t, "GET", "saldo", "q", "20", nil); do(t, got).status != 503 {
		t.Error("the clients' address is disturbed")
	}
}

// TestFigures: each request counts once where it ends, each attempt when it has
// been written.
func TestFigures(t *testing.T) {
	n := startNode(t, backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for req := readRequest(r); req != nil; req = readRequest(r) {
			switch req.Header.Get("X-Request-Id") {
			case "served":
				io.WriteString(c, okAnswer)
			case "failed":
				io.WriteString(c, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
			case "refused":
				io.WriteString(c, "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
			}
		}
	}))
	address := n.operate(t)
	for _, line := range []string{"app.results.saldo.succeeded:0|c", "app.results.pagar.aborted:0|c", "app.forwards:0|c",
		"app.outstanding:0|g", "app.discovered:1|g", "app.ejected:0|g", "app.sighup_applied:0|c", "app.sighup_rejected:0|c"} {
		figure(t, address, line)
	}
	do(t, n.request(t, "GET", "saldo", "served", "20", nil))
	do(t, n.request(t, "POST", "pagar", "failed", "20", strings.NewReader("x")))
	do(t, n.request(t, "GET", "saldo", "refused", "20", nil))
	do(t, n.request(t, "GET", "odd", "unknown", "20", nil))
	for _, line := range []string{"app.results.saldo.succeeded:1|c", "app.results.saldo.declined:1|c",
		"app.results.saldo.aborted:0|c", "app.results.pagar.aborted:1|c", "app.forwards:3|c", "app.outstanding:0|g"} {
		figure(t, address, line)
	}
}

func TestFiguresOfAnOpenRequest(t *testing.T) {
	server, got, _ := silentServer(t)
	n := startNode(t, server)
	address := n.operate(t)
	ctx, cancel := context.WithCancel(context.Background())
	left := make(chan error, 1)
	go func() {
		_, err := http.DefaultClient.Do(n.request(t, "GET", "saldo", "q", "60", nil).WithContext(ctx))
		left <- err
	}()
	wait(t, got, "the attempt")
	figure(t, address, "app.outstanding:1|g")
	cancel()
	wait(t, left, "the client")
	figure(t, address, "app.outstanding:0|g")
}

// TestNamesBreakNoLine: a class named by someone careless stays one word.
func TestNamesBreakNoLine(t *testing.T) {
	s := newStats([]decide.Class{{Name: "a.b:1|c\napp.x"}}, true)
	s.count("a.b:1|c\napp.x", aborted)
	s.count("nobody's", aborted)
	for code, late := range map[decide.OutcomeCode]bool{decide.OK: true, decide.Full: false, decide.Reset: false, decide.Moot: false, decide.Cancelled: false} {
		s.attempt("b c", code, late)
	}
	s.attempt("left", decide.OK, false)
	s.forget("left")
	var b strings.Builder
	s.write(&b)
	for _, line := range strings.Split(strings.TrimSuffix(b.String(), "\n"), "\n") {
		var n int
		name, rest, _ := strings.Cut(line, ":")
		if _, err := fmt.Sscanf(rest, "%d|", &n); err != nil || strings.ContainsAny(name, " |") || strings.Count(rest, "|") != 1 {
			t.Errorf("line %q", line)
		}
	}
	if !strings.Contains(b.String(), "app.results.a_b_1_c_app_x.aborted:1|c\n") ||
		!strings.Contains(b.String(), "app.backends.b_c.succeeded:1|c\napp.backends.b_c.failed:2|c\napp.backends.b_c.late:1|c\n") || strings.Contains(b.String(), "left") {
		t.Errorf("figures\n%s", b.String())
	}
}

// TestMaintenanceCalls: once the answer is yes, nothing is written to the server, attempts picked before included.
func TestMaintenanceCalls(t *testing.T) {
	serve := func(_ int, c net.Conn, r *bufio.Reader) {
		for readRequest(r) != nil {
			io.WriteString(c, okAnswer)
		}
	}
	n := startNode(t, backendServer(t, serve))
	address := n.operate(t)
	for _, c := range []struct {
		method, path string
		want, served int
	}{
		{"POST", "/backends/nobody/maint", 404, 200}, {"POST", "/backends/nobody/ready", 404, 200},
		{"GET", "/backends/s-0/maint", 405, 200}, {"POST", "/backends/s-0/odd", 404, 200}, {"POST", "/backends//maint", 404, 200},
		{"POST", "/backends/s-0/ready", 200, 200},
		{"POST", "/backends/s-0/maint", 200, 503}, {"POST", "/backends/s-0/maint", 200, 503},
		{"POST", "/backends/s-0/ready", 200, 200}, {"POST", "/backends/s-0/ready", 200, 200},
	} {
		if status, _ := call(t, address, c.method, c.path); status != c.want {
			t.Errorf("%s %s: %d, want %d", c.method, c.path, status, c.want)
		}
		var status int
		for until := time.Now().Add(enough); status != c.served && time.Now().Before(until); {
			// A server that is back starts cold, and gets its first request after a while.
			status = do(t, n.request(t, "GET", "saldo", "q", "20", nil)).status
		}
		if status != c.served {
			t.Errorf("after %s %s a request gets %d, want %d", c.method, c.path, status, c.served)
		}
	}
}

// TestBanOutlivesTheList: the name goes and comes back, and is out until the call back.
func TestBanOutlivesTheList(t *testing.T) {
	n := startNode(t, refusing(t))
	ctx := context.Background()
	if err := n.maintain(ctx, "s-0", true); err != nil {
		t.Fatal(err)
	}
	id := make(chan decide.ServerID, 2)
	n.post(func() {
		id <- n.ids.of("s-0")
		n.follow(list.Answer{Snapshot: true}, decide.ListFull)
		id <- n.ids.of("s-0")
	})
	if a, b := wait(t, id, "its number"), wait(t, id, "its number"); a != b || !n.backends.isHeld(a) {
		t.Errorf("number %d, later %d", a, b)
	}
	if err := n.maintain(ctx, "s-0", false); err != nil {
		t.Errorf("the call back of one that has left: %v", err)
	}
	if err := n.maintain(ctx, "s-0", false); err == nil {
		t.Error("a name that nobody has is known")
	}
}

// TestHeldServerIsNotWrittenTo: the ban came while the connection was made.
func TestHeldServerIsNotWrittenTo(t *testing.T) {
	got := make(chan bool, 1)
	p := testPool(backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if readRequest(r) != nil {
			got <- true
		}
	}))
	p.hold(1, true)
	if res := try(t, p, enough); res.code != decide.Moot || p.open != 0 {
		t.Errorf("outcome %v with %d connections open", res.code, p.open)
	}
	select {
	case <-got:
		t.Error("it was written to")
	default:
	}
}

// TestFencedMaintenance: an earlier holder's call is turned down, a later one's and one without a fence are taken.
func TestFencedMaintenance(t *testing.T) {
	n := startNode(t, refusing(t))
	for _, c := range []struct {
		value string
		want  int
	}{{"conductor 7", 200}, {"conductor 7", 200}, {"conductor 6", 409}, {"", 200}, {"other 1", 200}, {"odd", 400}, {"conductor 9", 200}, {"conductor 8", 409}} {
		r := httptest.NewRequest("POST", "/backends/s-0/maint", nil)
		if c.value != "" {
			r.Header.Set(fence.Header, c.value)
		}
		w := httptest.NewRecorder()
		if n.controlMux().ServeHTTP(w, r); w.Code != c.want {
			t.Errorf("%q: %d %s, want %d", c.value, w.Code, w.Body, c.want)
		}
	}
}
