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
	healthcheck := func() int {
		w := httptest.NewRecorder()
		n.controlMux().ServeHTTP(w, httptest.NewRequest("GET", "/healthcheck", nil))
		return w.Code
	}
	ready := func() int {
		w := httptest.NewRecorder()
		n.frontend.ServeHTTP(w, httptest.NewRequest("GET", "/health/ready", nil))
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
	if health, probe := healthcheck(), ready(); health != http.StatusServiceUnavailable || probe != health {
		t.Errorf("with all slots taken /healthcheck returns %d, /health/ready %d, want 503 from both", health, probe)
	}
	besteffort.Close(open[0])
	until(t, "a slot to be free", func() bool {
		// The slot may get free between two reads, so /health/ready may agree with either of the
		// reads of /healthcheck around it.
		before, probe, after := healthcheck(), ready(), healthcheck()
		if probe != before && probe != after {
			t.Errorf("/health/ready returns %d, /healthcheck %d before it and %d after", probe, before, after)
		}
		return before == http.StatusOK && probe == http.StatusOK
	})
}
