package proxy

import (
	"net/http"
	"net/http/httptest"
	"os"
	"testing"

	"wrenspread/internal/besteffort"
)

// TestNotReadyWhileAllSlotsAreTaken checks that, with all slots taken, a further client is closed unread
// and neither health check reports ready; both do once a slot is free.
func TestNotReadyWhileAllSlotsAreTaken(t *testing.T) {
	server, got, _ := silentServer(t)
	n := startNodeWith(t, func(n *Server) { n.frontend.maxConnections = 2 }, server)
	ready := func() int {
		w := httptest.NewRecorder()
		n.controlMux().ServeHTTP(w, httptest.NewRequest("GET", "/healthcheck", nil))
		probe := httptest.NewRecorder()
		n.frontend.ServeHTTP(probe, httptest.NewRequest("GET", "/health/ready", nil))
		if w.Code != probe.Code {
			t.Errorf("/healthcheck returns %d, /health/ready %d", w.Code, probe.Code)
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
		t.Errorf("client beyond the slots reads %q, %v, want a close", b, err)
	}
	if code := ready(); code != http.StatusServiceUnavailable {
		t.Errorf("status %d with all slots taken, want 503", code)
	}
	besteffort.Close(open[0])
	until(t, "a slot to be free", func() bool { return ready() == http.StatusOK })
}
