package proxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"wrenspread/balancer"
	"wrenspread/internal/besteffort"
	"wrenspread/internal/fencing"
	"wrenspread/internal/registry"
)

// TestMaintenanceIsInForceWhenTheCallIsAnswered: after a call that begins the maintenance of a backend has been
// answered, no request is sent to that backend, not even by an attempt that was chosen before. After a call
// that ends the maintenance, requests are sent again.
func TestMaintenanceIsInForceWhenTheCallIsAnswered(t *testing.T) {
	serve := func(_ int, c net.Conn, r *bufio.Reader) {
		for readRequest(r) != nil {
			besteffort.Output(io.WriteString(c, okResponse))
		}
	}
	srv := startProxy(t, backendServer(t, serve))
	address := srv.serveControlRoutes(t)
	for _, c := range []struct {
		method, path      string
		want, wantRequest int
	}{
		{"POST", "/backends/nobody/maint", 404, 200}, {"POST", "/backends/nobody/ready", 404, 200},
		{"GET", "/backends/s-0/maint", 405, 200}, {"POST", "/backends/s-0/odd", 404, 200}, {"POST", "/backends//maint", 404, 200},
		{"POST", "/backends/s-0/ready", 200, 200},
		{"POST", "/backends/s-0/maint", 200, 503}, {"POST", "/backends/s-0/maint", 200, 503},
		{"POST", "/backends/s-0/ready", 200, 200}, {"POST", "/backends/s-0/ready", 200, 200},
	} {
		if status, _ := callControl(t, address, c.method, c.path); status != c.want {
			t.Errorf("%s %s: %d, want %d", c.method, c.path, status, c.want)
		}
		var status int
		for until := time.Now().Add(testTimeout); status != c.wantRequest && time.Now().Before(until); {
			// After its maintenance a backend is in slow start, so its first request comes only after some time.
			status = do(t, srv.request(t, "GET", "saldo", "q", "20", nil)).status
		}
		if status != c.wantRequest {
			t.Errorf("after %s %s a request gets %d, want %d", c.method, c.path, status, c.wantRequest)
		}
	}
}

// TestMaintenanceSurvivesRemovalFromTheList: a backend that is removed from the list keeps its ID and its
// maintenance until a call ends the maintenance.
func TestMaintenanceSurvivesRemovalFromTheList(t *testing.T) {
	srv := startProxy(t, refusingAddress(t))
	ctx := context.Background()
	if err := srv.requestMaintenance(ctx, "s-0", true); err != nil {
		t.Fatal(err)
	}
	id := make(chan balancer.EndpointID, 2)
	srv.post(func() {
		id <- srv.endpointIDs.idOf("s-0")
		srv.applyList(registry.ListResponse{Snapshot: true}, balancer.UpdateComplete)
		id <- srv.endpointIDs.idOf("s-0")
	})
	if before, after := wait(t, id, "the ID before"), wait(t, id, "the ID after"); before != after || !srv.pool.hasBarred(before) {
		t.Errorf("ID %d, after the removal %d: want the same ID, in maintenance", before, after)
	}
	if err := srv.requestMaintenance(ctx, "s-0", false); err != nil {
		t.Errorf("ending the maintenance of a backend that has left: %v", err)
	}
	if err := srv.requestMaintenance(ctx, "s-0", false); err == nil {
		t.Error("a call for an unknown backend gives no error")
	}
}

// TestNothingIsWrittenToBackendInMaintenance: an attempt at a backend in maintenance is not sent. Such an attempt
// exists if the maintenance begins while the attempt's connection is being established.
func TestNothingIsWrittenToBackendInMaintenance(t *testing.T) {
	got := make(chan bool, 1)
	p := testPool(backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if readRequest(r) != nil {
			got <- true
		}
	}))
	p.barBackend(1, true)
	if res := attemptOnce(t, p, testTimeout); res.outcome != balancer.NotSent || p.openConnections != 0 {
		t.Errorf("outcome %v with %d connections open, want NotSent with 0", res.outcome, p.openConnections)
	}
	select {
	case <-got:
		t.Error("the backend received a request")
	default:
	}
}

// TestMaintenanceRejectsOldFencingTokens: a call is rejected if its fencing token is lower than an earlier
// token of the same lease. Calls with the same or a higher token and calls without a token are carried out.
func TestMaintenanceRejectsOldFencingTokens(t *testing.T) {
	srv := startProxy(t, refusingAddress(t))
	for _, c := range []struct {
		value string
		want  int
	}{{"conductor 7", 200}, {"conductor 7", 200}, {"conductor 6", 409}, {"", 200}, {"other 1", 200}, {"odd", 400}, {"conductor 9", 200}, {"conductor 8", 409}} {
		r := httptest.NewRequest("POST", "/backends/s-0/maint", nil)
		if c.value != "" {
			r.Header.Set(fencing.Header, c.value)
		}
		w := httptest.NewRecorder()
		if srv.controlMux().ServeHTTP(w, r); w.Code != c.want {
			t.Errorf("fencing token %q: %d %s, want %d", c.value, w.Code, w.Body, c.want)
		}
	}
}
