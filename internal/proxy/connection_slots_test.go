package proxy

import (
	"net/http"
	"net/http/httptest"
	"os"
	"testing"

	"wrenspread/internal/besteffort"
)

// TestNotReadyWhileAllSlotsAreTaken checks that, while all connection slots are taken, a further client is
// closed unread and neither health check reports ready. Both report ready once a slot is free.
func TestNotReadyWhileAllSlotsAreTaken(t *testing.T) {
	server, got, _ := silentServer(t)
	srv := startProxyWith(t, func(srv *Server) { srv.frontend.maxConnections = 2 }, server)
	healthcheck := func() int {
		w := httptest.NewRecorder()
		srv.controlMux().ServeHTTP(w, httptest.NewRequest("GET", "/healthcheck", nil))
		return w.Code
	}
	ready := func() int {
		w := httptest.NewRecorder()
		srv.frontend.ServeHTTP(w, httptest.NewRequest("GET", "/health/ready", nil))
		return w.Code
	}
	var open []clientConn
	for _, id := range []string{"one", "two"} {
		c := srv.dial(t)
		c.sendGet(t, "saldo", id, "60")
		wait(t, got, "the attempt")
		open = append(open, c)
	}
	late := srv.dial(t)
	late.sendGet(t, "saldo", "three", "60")
	if b, err := late.reader.ReadByte(); err == nil || os.IsTimeout(err) {
		t.Errorf("a client that gets no slot reads %q, %v, want a close", b, err)
	}
	if health, probe := healthcheck(), ready(); health != http.StatusServiceUnavailable || probe != health {
		t.Errorf("with all slots taken /healthcheck returns %d, /health/ready %d, want 503 from both", health, probe)
	}
	besteffort.Close(open[0])
	waitUntil(t, "a slot to become free", func() bool {
		// The slot may become free between two checks, so /health/ready has to agree with the check of
		// /healthcheck before it or with the check after it.
		before, probe, after := healthcheck(), ready(), healthcheck()
		if probe != before && probe != after {
			t.Errorf("/health/ready returns %d, /healthcheck %d before it and %d after", probe, before, after)
		}
		return before == http.StatusOK && probe == http.StatusOK
	})
}
