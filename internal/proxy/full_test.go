package proxy

import (
	"net/http"
	"net/http/httptest"
	"os"
	"testing"

	"wrenspread/internal/besteffort"
)

// TestNotReadyWhileAllSlotsAreTaken: with all places in use a client that comes is shut, and neither health check says
// that the proxy is ready; both do once a place is free.
func TestNotReadyWhileAllSlotsAreTaken(t *testing.T) {
	server, got, _ := silentServer(t)
	n := startNodeWith(t, func(n *Server) { n.frontend.maxConnections = 2 }, server)
	ready := func() int {
		w := httptest.NewRecorder()
		n.controlMux().ServeHTTP(w, httptest.NewRequest("GET", "/healthcheck", nil))
		probe := httptest.NewRecorder()
		n.frontend.ServeHTTP(probe, httptest.NewRequest("GET", "/health/ready", nil))
		if w.Code != probe.Code {
			t.Errorf("operators hear %d, clients %d", w.Code, probe.Code)
		}
		return w.Code
	}
	var open []raw
	for _, id := range []string{"one", "two"} {
		c := n.dial(t)
		c.ask(t, "saldo", id, "60")
		wait(t, got, "the attempt")
		open = append(open, c)
	}
	late := n.dial(t)
	late.ask(t, "saldo", "three", "60")
	if b, err := late.read.ReadByte(); err == nil || os.IsTimeout(err) {
		t.Errorf("a client that can't be taken reads %q, %v", b, err)
	}
	if code := ready(); code != http.StatusServiceUnavailable {
		t.Errorf("full, the node says %d", code)
	}
	besteffort.Close(open[0])
	until(t, "a place to be free", func() bool { return ready() == http.StatusOK })
}
