package proxy

import "testing"

// TestPanicInTheLoopEndsNoOtherRequest guards against a process that ends because one event can't be handled.
func TestPanicInTheLoopEndsNoOtherRequest(t *testing.T) {
	srv := startProxy(t, okServer(t))
	srv.post(func() { panic("an event that can't be handled") })
	if a := do(t, srv.request(t, "GET", "saldo", "q", "20", nil)); a.status != 200 {
		t.Errorf("status %d, want 200", a.status)
	}
	if n := srv.stats.panics.Load(); n != 1 {
		t.Errorf("%d panics are counted, want 1", n)
	}
}
