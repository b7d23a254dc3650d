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

// workKey is the request's own statement of its work, in us of a server's time.
const workKey = "work_us"

// answerer is one server behind all addresses of a list: it listens on the loopback device, whatever the
// address, and states of each answer when it had the request and when it began to write.
type answerer struct {
	base  time.Time
	port  int
	serve http.Server
	ended chan error
}

type connKey struct{}

// listenBehind starts a server; its times count from base.
func listenBehind(ctx context.Context, base time.Time) (*answerer, error) {
	only := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var bound error
		err := c.Control(func(fd uintptr) { bound = unix.BindToDevice(int(fd), "lo") })
		return errors.Join(err, bound)
	}}
	l, err := only.Listen(ctx, "tcp4", "0.0.0.0:0")
	if err != nil {
		return nil, fmt.Errorf("a server on the loopback device: %w", err)
	}
	a := &answerer{base: base, port: l.Addr().(*net.TCPAddr).Port, ended: make(chan error, 1)}
	a.serve = http.Server{
		Handler:           http.HandlerFunc(a.answer),
		ReadHeaderTimeout: patience,
		IdleTimeout:       drawnIdle,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, new(atomic.Int64))
		},
	}
	go func() { a.ended <- a.serve.Serve(l) }()
	return a, nil
}

// close ends the server and its connections.
func (a *answerer) close() {
	besteffort.Close(&a.serve)
	besteffort.Ended(<-a.ended)
}

// answer has a request wait for its work, and says when it came, when it was done, and the how manieth of its
// connection it is.
func (a *answerer) answer(w http.ResponseWriter, r *http.Request) {
	began := time.Since(a.base)
	work, err := strconv.Atoi(r.URL.Query().Get(workKey))
	if err != nil || work < 0 {
		http.Error(w, "how long?", http.StatusBadRequest)
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

// stated is what a server says of a request.
type stated struct {
	began, ended time.Duration
	nth          int64 // of its connection
}

// parseStated reads an answer to a request.
func parseStated(id, body string) (s stated, err error) {
	whose, rest, _ := strings.Cut(body, " ")
	if whose != id {
		return s, fmt.Errorf("the answer to %q came for %q", whose, id)
	}
	_, err = fmt.Sscan(rest, &s.began, &s.ended, &s.nth)
	return s, err
}

// address is the i-th one of the server.
func (a *answerer) address(i int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+i>>16, i>>8&255, i&255, a.port)
}

// list registers so many servers, up for long, each at an address of its own.
func (a *answerer) list(ctx context.Context, k *client.Client, servers int) error {
	var g errgroup.Group
	g.SetLimit(operators)
	for i := range servers {
		g.Go(func() error { return a.register(ctx, k, i, time.Now().Add(-time.Hour)) })
	}
	return g.Wait()
}

// register lists a server as one that came up at a time.
func (a *answerer) register(ctx context.Context, k *client.Client, i int, up time.Time) error {
	e := entryOf(i)
	e.Address, e.StartedAtMS = a.address(i), up.UnixMilli()
	_, err := k.Register(ctx, e, 0, nil)
	return err
}
