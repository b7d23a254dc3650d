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

// holdConnections opens connections of clients that then stay idle. Half of the clients send nothing, the
// others have received one response. closeAll closes the connections.
func (p *platform) holdConnections(t *testing.T, size int) (closeAll func()) {
	t.Helper()
	var connections []net.Conn
	for i := range size {
		c, err := net.Dial("tcp", p.address)
		if err != nil {
			t.Fatal(err)
		}
		if connections = append(connections, c); i%2 == 0 {
			continue
		}
		besteffort.SocketOption(c.SetDeadline(time.Now().Add(hangTimeout)))
		besteffort.Output(io.WriteString(c, "GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n"))
		if _, err := c.Read(make([]byte, 12)); err != nil {
			t.Fatalf("idle client %d got no response: %v", i, err)
		}
	}
	return func() {
		for _, c := range connections {
			besteffort.Close(c)
		}
	}
}

// openDescriptors returns the number of descriptors that a process has open.
func (c *process) openDescriptors(t *testing.T) int {
	t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", c.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	return len(entries)
}

// TestProxyWorksWhileClientsTakeAllDescriptors: idle clients open more connections than the system's limit on
// descriptors allows, while discovery does not respond. The settings have no limit on sockets. The proxy must
// still have descriptors for other clients, a connection to a server, operators, discovery after its return,
// a new configuration and the next process. It closes all descriptors in the end.
func TestProxyWorksWhileClientsTakeAllDescriptors(t *testing.T) {
	const maxDescriptors = 128
	p := newPlatform(t)
	discovery, err := net.Listen("tcp", "127.0.0.1:0") // no connection is accepted until it is served below
	if err != nil {
		t.Fatal(err)
	}
	config := map[string]any{"discovery": discovery.Addr().String(), "known": map[string]any{"index": 1,
		"endpoints": []any{map[string]any{"name": "s", "address": p.backend, "status": "ready"}}}}
	env := fmt.Sprint("WRENSPREAD_PROXY_DESCRIPTORS=", maxDescriptors)
	c := p.startWith(t, config, env)
	c.waitReady(t)
	p.wantServed(t, "before")
	before := c.openDescriptors(t)

	closeConnections := p.holdConnections(t, maxDescriptors)
	defer closeConnections()
	if got := c.openDescriptors(t); got < before+maxDescriptors/4 || got >= maxDescriptors {
		t.Errorf("%d descriptors of at most %d are open, %d before", got, maxDescriptors, before)
	}
	p.wantServed(t, "in the crowd")
	c.operate(t, "/backends/s/maint")
	c.operate(t, "/backends/s/ready")
	p.wantServed(t, "on a new connection to the server")
	calls := make(chan bool, 1000)
	returned := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- true
		<-r.Context().Done()
	})}
	go func() { _ = returned.Serve(discovery) }()
	t.Cleanup(func() { besteffort.Close(returned) })
	wantCall := func(callee string) {
		t.Helper()
		select {
		case <-calls:
		case <-time.After(hangTimeout):
			t.Errorf("%s is not called", callee)
		}
	}
	wantCall("discovery after its return")
	next := httptest.NewServer(returned.Handler)
	t.Cleanup(func() { next.CloseClientConnections(); next.Close() })
	besteffort.Close(returned)
	c.rewrite(t, "discovery", next.Listener.Addr().String())
	for len(calls) > 0 {
		<-calls
	}
	besteffort.Signal(c.Process.Signal(syscall.SIGHUP))
	wantCall("the new discovery")
	closeConnections()
	for until := time.Now().Add(hangTimeout); c.openDescriptors(t) > before+2; time.Sleep(10 * time.Millisecond) { // the connections to discovery and to the server may be new
		if time.Now().After(until) {
			t.Fatalf("%d descriptors are open, %d before", c.openDescriptors(t), before)
		}
	}

	closeConnections = p.holdConnections(t, maxDescriptors)
	config["discovery"] = next.Listener.Addr().String()
	successor := p.startWith(t, config, env)
	c.waitLogged(t, "handing over")
	closeConnections()
	successor.waitReady(t)
	p.wantServed(t, "by the next process")
	for _, proxy := range []*process{c, successor} {
		besteffort.Signal(proxy.Process.Signal(syscall.SIGTERM))
		proxy.waitEnd(t)
	}
}
