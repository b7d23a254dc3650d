package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"wrenspread/internal/besteffort"
)

// TestNotReadyWithoutEndpoints checks that a proxy without endpoints is live but not ready.
func TestNotReadyWithoutEndpoints(t *testing.T) {
	srv := startProxy(t)
	for path, want := range map[string]int{"/health/ready": 503, "/health/live": 200} {
		resp, err := http.Get("http://" + srv.address + path)
		if err != nil {
			t.Fatal(err)
		}
		besteffort.Close(resp.Body)
		if resp.StatusCode != want {
			t.Errorf("%s: %d, want %d", path, resp.StatusCode, want)
		}
	}
}

// TestStopAnswersOpenAndLateRequests checks that after SIGTERM new connections are accepted for a while,
// and that both their requests and the open requests are answered.
func TestStopAnswersOpenAndLateRequests(t *testing.T) {
	release, got := make(chan struct{}), make(chan bool, 2)
	srv := startProxy(t, backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for readRequest(r) != nil {
			got <- true
			<-release
			besteffort.Output(io.WriteString(c, okResponse))
		}
	}))
	responses := make(chan receivedResponse, 2)
	sendRequest := func(id string) { responses <- do(t, srv.request(t, "GET", "saldo", id, "20", nil)) }
	go sendRequest("before")
	wait(t, got, "the attempt before the stop")
	srv.stop()
	go sendRequest("after")
	wait(t, got, "the attempt after the stop")
	select {
	case err := <-srv.ended:
		t.Fatalf("the proxy ends while requests are open: %v", err)
	default:
	}
	srv.endLateAccepting()
	close(release)
	for range 2 {
		if a := wait(t, responses, "a response"); a.status != 200 || a.body != "hi" {
			t.Errorf("response %+v, want 200 with body hi", a)
		}
	}
	if err := wait(t, srv.ended, "the end of the proxy"); err != nil {
		t.Errorf("the proxy ends with %v, want no error", err)
	}
	if c, err := net.Dial("tcp", srv.address); err == nil {
		besteffort.Close(c)
		t.Error("the proxy still listens after its end")
	}
}
