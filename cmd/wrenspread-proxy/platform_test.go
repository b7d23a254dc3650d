package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"wrenspread/internal/besteffort"
)

const hangTimeout = 30 * time.Second // only a hang takes this long

// platform holds what several processes of a proxy share: the clients' socket, the folder, discovery and a
// backend.
type platform struct {
	socket          *os.File
	dir             string
	address         string // address for clients
	discovery       string
	backend         string
	backendRequests atomic.Int32                  // requests that the backend has received
	listReads       chan bool                     // receives a value for each read of the complete list
	heldUntil       atomic.Pointer[chan struct{}] // the backend answers once this channel is closed; nil: at once
	peerListen      string
	stdin           *os.File // standard input of processes; nil: none
}

// newPlatform returns a platform that ends with the test.
func newPlatform(t *testing.T) *platform {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer besteffort.Close(ln)
	f, err := ln.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	p := &platform{socket: f, address: ln.Addr().String(), listReads: make(chan bool, 100)}
	t.Cleanup(func() { besteffort.Close(f) })
	// The path of t.TempDir may be too long for a Unix socket.
	if p.dir, err = os.MkdirTemp("", "up"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { besteffort.Cleanup(os.RemoveAll(p.dir)) })
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.backendRequests.Add(1)
		if hold := p.heldUntil.Load(); hold != nil {
			<-*hold
		}
		besteffort.Output(io.WriteString(w, r.Header.Get("X-Request-Id")))
	}))
	t.Cleanup(backend.Close)
	p.backend = backend.Listener.Addr().String()
	entries := fmt.Sprintf(`{"index":1,"snapshot":true,"endpoints":[{"name":"s","address":%q,"status":"ready"}]}`, p.backend)
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("from") == "" || r.URL.Query().Get("from") == "0" {
			p.listReads <- true
			besteffort.Output(io.WriteString(w, entries))
			return
		}
		<-r.Context().Done()
	}))
	t.Cleanup(func() { discovery.CloseClientConnections(); discovery.Close() })
	p.discovery = discovery.Listener.Addr().String()
	udp, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p.peerListen = udp.LocalAddr().String()
	besteffort.Close(udp)
	return p
}

// request sends a request to the proxy. closing reports that the response asks the client to close the
// connection.
func (p *platform) request(id string) (status int, body string, closing bool) {
	return sendRequest("GET", "http://"+p.address+"/api/x", map[string]string{"X-Request-Id": id, "X-Class": "a", "X-Deadline": "30"})
}

// wantServed sends a request that the backend must answer.
func (p *platform) wantServed(t *testing.T, id string) {
	t.Helper()
	if status, body, closing := p.request(id); status != 200 || body != id || closing {
		t.Errorf("request %s: status %d, body %q, connection closing %v", id, status, body, closing)
	}
}

// holdRequest sends a request that stays in flight at the backend until hold is closed. It returns once the
// backend has received the request.
func (p *platform) holdRequest(t *testing.T, hold chan struct{}) (answer chan string) {
	t.Helper()
	p.heldUntil.Store(&hold)
	before, answer := p.backendRequests.Load(), make(chan string, 1)
	go func() {
		status, body, closing := p.request("open")
		answer <- fmt.Sprintln(status, body, closing)
	}()
	for until := time.Now().Add(hangTimeout); p.backendRequests.Load() == before; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("the request does not reach the backend")
		}
	}
	p.heldUntil.Store(nil)
	return answer
}
