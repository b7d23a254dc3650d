package scale

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/registry/client"
)

// workKey is the query parameter with a request's work: how long the server takes to answer, in us.
const workKey = "work_us"

// backendServer is one server for all addresses of a list. It listens on all addresses of the loopback
// device. Each answer states when the server received the request and when it began to write the answer.
type backendServer struct {
	base   time.Time
	port   int
	server http.Server
	ended  chan error
}

// connKey is the context key of a connection's counter of requests.
type connKey struct{}

// startBackendServer starts a server, which states its times since base.
func startBackendServer(ctx context.Context, base time.Time) (*backendServer, error) {
	loopbackOnly := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var bound error
		err := c.Control(func(fd uintptr) { bound = unix.BindToDevice(int(fd), "lo") })
		return errors.Join(err, bound)
	}}
	l, err := loopbackOnly.Listen(ctx, "tcp4", "0.0.0.0:0")
	if err != nil {
		return nil, fmt.Errorf("listen on the loopback device: %w", err)
	}
	a := &backendServer{base: base, port: l.Addr().(*net.TCPAddr).Port, ended: make(chan error, 1)}
	a.server = http.Server{
		Handler:           http.HandlerFunc(a.answer),
		ReadHeaderTimeout: answerTimeout,
		IdleTimeout:       drawnIdle,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, new(atomic.Int64))
		},
	}
	go func() { a.ended <- a.server.Serve(l) }()
	return a, nil
}

// close ends the server and its connections.
func (a *backendServer) close() {
	besteffort.Close(&a.server)
	besteffort.Ended(<-a.ended)
}

// answer answers a request after the time that its work takes. The body has the request's id, the times when
// the request was received and when the work was done, and the request's number on its connection, from 1.
func (a *backendServer) answer(w http.ResponseWriter, r *http.Request) {
	began := time.Since(a.base)
	work, err := strconv.Atoi(r.URL.Query().Get(workKey))
	if err != nil || work < 0 {
		http.Error(w, "work_us: want a number of microseconds, 0 or more", http.StatusBadRequest)
		return
	}
	nth := r.Context().Value(connKey{}).(*atomic.Int64).Add(1)
	select {
	case <-time.After(time.Duration(work) * time.Microsecond):
	case <-r.Context().Done():
		return
	}
	besteffort.Output(
		fmt.Fprintf(w, "%s %d %d %d", r.Header.Get("X-Request-Id"), began, time.Since(a.base), nth),
	)
}

// serverTimes holds what the server states about a request.
type serverTimes struct {
	began, ended time.Duration
	nth          int64 // number of the request on its connection, from 1
}

// parseServerTimes parses the body of an answer, and checks that it answers the request with an id.
func parseServerTimes(id, body string) (s serverTimes, err error) {
	answeredID, times, _ := strings.Cut(body, " ")
	if answeredID != id {
		return s, fmt.Errorf("the answer to %q came for %q", answeredID, id)
	}
	_, err = fmt.Sscan(times, &s.began, &s.ended, &s.nth)
	return s, err
}

// address returns the i-th address of the server.
func (a *backendServer) address(i int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+i>>16, i>>8&255, i&255, a.port)
}

// registerAll registers servers that started an hour ago, each with its own address of the backend server.
func (a *backendServer) registerAll(ctx context.Context, k *client.Client, servers int) error {
	var g errgroup.Group
	g.SetLimit(concurrentWrites)
	for i := range servers {
		g.Go(func() error { return a.register(ctx, k, i, time.Now().Add(-time.Hour)) })
	}
	return g.Wait()
}

// register registers the i-th server with a start time.
func (a *backendServer) register(ctx context.Context, k *client.Client, i int, startedAt time.Time) error {
	e := entryOf(i)
	e.Address, e.StartedAtMS = a.address(i), startedAt.UnixMilli()
	_, err := k.Register(ctx, e, 0, nil)
	return err
}
