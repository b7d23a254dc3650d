package proxy

import (
	"testing"
	"time"
)

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

// TestPanicInAHandlerIsAnswered guards against a panic that drops a request.
func TestPanicInAHandlerIsAnswered(t *testing.T) {
	srv := startProxy(t, okServer(t))
	rules := srv.frontend.rules.Swap(nil)
	defer srv.frontend.rules.Store(rules)
	if a := do(t, srv.request(t, "GET", "saldo", "q", "20", nil)); a.status != 500 {
		t.Errorf("status %d, want 500", a.status)
	}
	if n := srv.stats.panics.Load(); n != 1 {
		t.Errorf("%d panics are counted, want 1", n)
	}
}

// TestRequestIsAnsweredWhileTheLoopStands guards against a request that waits for a loop that stands.
func TestRequestIsAnsweredWhileTheLoopStands(t *testing.T) {
	srv := startProxy(t, okServer(t))
	release := make(chan bool)
	srv.post(func() { <-release })
	defer close(release)
	const timeout, lateness = 300 * time.Millisecond, 500 * time.Millisecond
	began := time.Now()
	if a := do(t, srv.request(t, "GET", "saldo", "q", "0.3", nil)); a.status != 504 || time.Since(began) > timeout+lateness {
		t.Errorf("status %d after %v, want 504", a.status, time.Since(began))
	}
}
