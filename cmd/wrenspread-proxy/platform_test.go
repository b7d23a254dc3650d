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

const enough = 30 * time.Second // only a hang takes so long

// platform holds what outlives a process: the clients' socket, the folder, discovery and a backend.
type platform struct {
	socket     *os.File
	dir        string
	address    string // of clients
	discovery  string
	backend    string
	served     atomic.Int32
	fetches    chan bool // whole lists that were asked for
	hold       atomic.Pointer[chan struct{}]
	peerListen string
	stdin      *os.File // of processes; nil: none
}

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
	p := &platform{socket: f, address: ln.Addr().String(), fetches: make(chan bool, 100)}
	t.Cleanup(func() { besteffort.Close(f) })
	// The usual folder of a test may have too long a name for a socket.
	if p.dir, err = os.MkdirTemp("", "up"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { besteffort.Cleanup(os.RemoveAll(p.dir)) })
	back := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.served.Add(1)
		if hold := p.hold.Load(); hold != nil {
			<-*hold
		}
		besteffort.Output(io.WriteString(w, r.Header.Get("X-Request-Id")))
	}))
	t.Cleanup(back.Close)
	p.backend = back.Listener.Addr().String()
	entries := fmt.Sprintf(`{"index":1,"snapshot":true,"endpoints":[{"name":"s","address":%q,"status":"ready"}]}`, p.backend)
	disc := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("from") == "" || r.URL.Query().Get("from") == "0" {
			p.fetches <- true
			besteffort.Output(io.WriteString(w, entries))
			return
		}
		<-r.Context().Done()
	}))
	t.Cleanup(func() { disc.CloseClientConnections(); disc.Close() })
	p.discovery = disc.Listener.Addr().String()
	udp, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p.peerListen = udp.LocalAddr().String()
	besteffort.Close(udp)
	return p
}

func (p *platform) request(id string) (status int, body string, closing bool) {
	return ask("GET", "http://"+p.address+"/api/x", map[string]string{"X-Request-Id": id, "X-Class": "a", "X-Deadline": "30"})
}

func (p *platform) wantServed(t *testing.T, id string) {
	t.Helper()
	if status, body, closing := p.request(id); status != 200 || body != id || closing {
		t.Errorf("request %s: %d %q, told to close %v", id, status, body, closing)
	}
}

// waitOpen sends a request that stays open at the backend until hold is closed.
func (p *platform) waitOpen(t *testing.T, hold chan struct{}) (answer chan string) {
	t.Helper()
	p.hold.Store(&hold)
	before, answer := p.served.Load(), make(chan string, 1)
	go func() {
		status, body, closing := p.request("open")
		answer <- fmt.Sprintln(status, body, closing)
	}()
	for until := time.Now().Add(enough); p.served.Load() == before; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("the request does not reach the backend")
		}
	}
	p.hold.Store(nil)
	return answer
}
