package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"syscall"
	"testing"
	"time"

	"wrenspread/internal/besteffort"
)

// crowd is clients that only hold their connections: one half has sent nothing, the other has had an answer.
func (p *platform) crowd(t *testing.T, size int) (leave func()) {
	t.Helper()
	var all []net.Conn
	for i := range size {
		c, err := net.Dial("tcp", p.address)
		if err != nil {
			t.Fatal(err)
		}
		if all = append(all, c); i%2 == 0 {
			continue
		}
		besteffort.SocketOption(c.SetDeadline(time.Now().Add(enough)))
		besteffort.Output(io.WriteString(c, "GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n"))
		if _, err := c.Read(make([]byte, 12)); err != nil {
			t.Fatalf("client %d of the crowd has no answer: %v", i, err)
		}
	}
	return func() {
		for _, c := range all {
			besteffort.Close(c)
		}
	}
}

// descriptors is how many a process has open.
func (c *process) descriptors(t *testing.T) int {
	t.Helper()
	all, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", c.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	return len(all)
}

// TestDescriptorsFull: clients that rest take all that the system gives them, of which the settings know nothing, while
// discovery is silent. Other clients, a server, operators, discovery at its return, a new configuration and the next
// process get theirs all the same, and all is given back.
func TestDescriptorsFull(t *testing.T) {
	const most = 128
	p := newPlatform(t)
	disc, err := net.Listen("tcp", "127.0.0.1:0") // where nobody accepts
	if err != nil {
		t.Fatal(err)
	}
	config := map[string]any{"discovery": disc.Addr().String(), "known": map[string]any{"index": 1,
		"endpoints": []any{map[string]any{"name": "s", "address": p.backend, "status": "ready"}}}}
	env := fmt.Sprint("WRENSPREAD_PROXY_DESCRIPTORS=", most)
	c := p.startWith(t, config, env)
	c.waitReady(t)
	p.wantServed(t, "before")
	before := c.descriptors(t)

	leave := p.crowd(t, most)
	defer leave()
	if got := c.descriptors(t); got < before+most/4 || got >= most {
		t.Errorf("%d descriptors of %d are open, %d before", got, most, before)
	}
	p.wantServed(t, "in the crowd")
	c.operate(t, "/backends/s/maint")
	c.operate(t, "/backends/s/ready")
	p.wantServed(t, "on a new connection to the server")
	called := make(chan bool, 1000)
	back := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		called <- true
		<-r.Context().Done()
	})}
	go func() { _ = back.Serve(disc) }()
	t.Cleanup(func() { besteffort.Close(back) })
	wantCall := func(what string) {
		t.Helper()
		select {
		case <-called:
		case <-time.After(enough):
			t.Errorf("%s is not called", what)
		}
	}
	wantCall("discovery that is back")
	next := httptest.NewServer(back.Handler)
	t.Cleanup(func() { next.CloseClientConnections(); next.Close() })
	besteffort.Close(back)
	c.rewrite(t, "discovery", next.Listener.Addr().String())
	for len(called) > 0 {
		<-called
	}
	besteffort.Signal(c.Process.Signal(syscall.SIGHUP))
	wantCall("the new discovery")
	leave()
	for until := time.Now().Add(enough); c.descriptors(t) > before+2; time.Sleep(10 * time.Millisecond) { // discovery's, the server's
		if time.Now().After(until) {
			t.Fatalf("%d descriptors are open, %d before", c.descriptors(t), before)
		}
	}

	leave = p.crowd(t, most)
	config["discovery"] = next.Listener.Addr().String()
	after := p.startWith(t, config, env)
	c.waitSaid(t, "handing over")
	leave()
	after.waitReady(t)
	p.wantServed(t, "by the next process")
	for _, ends := range []*process{c, after} {
		besteffort.Signal(ends.Process.Signal(syscall.SIGTERM))
		ends.waitEnd(t)
	}
}
