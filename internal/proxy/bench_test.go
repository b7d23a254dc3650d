package proxy

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"

	"wrenspread/internal/besteffort"
)

// skipHead reads a head and discards body bytes after it, without allocation.
func skipHead(r *bufio.Reader, body int) error {
	for {
		line, err := r.ReadSlice('\n')
		if len(line) == 2 {
			_, err = r.Discard(body)
			return err
		} else if err != nil {
			return err
		}
	}
}

// benchProxy starts a proxy with one backend and returns a client's connection to the proxy. The backend
// expects request bodies of the given size.
func benchProxy(b *testing.B, body int, change func(*Config)) net.Conn {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { besteffort.Close(server) })
	go func() { // each goroutine ends with its connection
		for c, err := server.Accept(); err == nil; c, err = server.Accept() {
			go func() {
				r := bufio.NewReader(c)
				for rawResponse := []byte(okResponse); skipHead(r, body) == nil; besteffort.Output(c.Write(rawResponse)) {
				}
			}()
		}
	}()
	disc := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if from := r.URL.Query().Get("from"); from == "0" || from == "" {
			besteffort.Output(fmt.Fprintf(w, `{"index":1,"snapshot":true,"endpoints":[{"name":"s","address":%q,"zone":"a","type":"m2","status":"ready"}]}`, server.Addr()))
			return
		}
		<-r.Context().Done()
	}))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	cfg := testConfig(disc.Listener.Addr().String())
	change(&cfg)
	srv := New(cfg, discardLog)
	srv.frontend.waitForLateConns = func() {}
	go func() { _ = srv.Run(ctx, ln) }()
	b.Cleanup(func() { stop(); disc.CloseClientConnections(); disc.Close(); <-srv.ended })
	if !srv.waitFor(ctx, testTimeout, srv.listKnown) {
		b.Fatal("the proxy does not discover its endpoint")
	}
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { besteffort.Close(c) })
	return c
}

// BenchmarkWhole measures one request through the complete proxy, on persistent connections. Processor time
// and elapsed time include the work of the client and of the backend, which allocate nothing.
func BenchmarkWhole(b *testing.B) {
	for _, k := range []struct {
		method, class string
		body          int
	}{{"GET", "saldo", 0}, {"POST", "pagar", 1000}} {
		b.Run(k.method, func(b *testing.B) {
			benchRequests(b, benchProxy(b, k.body, func(*Config) {}), k.method, k.class, k.body)
		})
	}
}

// benchRequests measures requests that are sent on a connection, each after the previous response.
func benchRequests(b *testing.B, c net.Conn, method, class string, body int) {
	const head = " /api/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: q\r\nX-Class: %s\r\nX-Deadline: 20\r\nContent-Length: %d\r\n\r\n"
	r, sent := bufio.NewReader(c), []byte(method+fmt.Sprintf(head, class, body)+strings.Repeat("x", body))
	b.ReportAllocs()
	var before, after syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &before)
	for b.Loop() {
		if _, err := c.Write(sent); err != nil {
			b.Fatal(err)
		}
		if first, err := r.Peek(12); err != nil || string(first) != "HTTP/1.1 200" || skipHead(r, len("hi")) != nil {
			b.Fatalf("response %q, %v", first, err)
		}
	}
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &after)
	cpu := after.Utime.Nano() + after.Stime.Nano() - before.Utime.Nano() - before.Stime.Nano()
	b.ReportMetric(float64(cpu)/float64(b.N), "cpu-ns/op")
}
