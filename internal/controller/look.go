package controller

// How the keeper looks at the list, the servers and the nodes.

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"golang.org/x/sync/errgroup"
)

// observe sees the list, and every server and node at its address.
func (w *Controller) observe(ctx context.Context) (Observation, error) {
	call, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	a, err := w.client.Registrations(call)
	if err != nil {
		return Observation{}, err
	}
	l := Observation{Registrations: a.Registrations, Reachable: map[string]bool{}, Proxies: make([]ProxyObservation, len(w.config.Proxies))}
	var mu sync.Mutex // of Answers
	var g errgroup.Group
	g.SetLimit(maxParallelChecks)
	for _, i := range a.Registrations {
		g.Go(func() error {
			if conn, err := (&net.Dialer{Timeout: callTimeout}).DialContext(ctx, "tcp", i.Endpoint.Address); err == nil {
				conn.Close()
				mu.Lock()
				l.Reachable[i.Endpoint.Name] = true
				mu.Unlock()
			}
			return nil
		})
	}
	for i, n := range w.config.Proxies {
		g.Go(func() error {
			l.Proxies[i] = w.observeProxy(ctx, n)
			return nil
		})
	}
	g.Wait() // nothing of it fails
	return l, ctx.Err()
}

func (w *Controller) observeProxy(ctx context.Context, n Proxy) ProxyObservation {
	l := ProxyObservation{Name: n.Name, Discovered: -1}
	status, _, err := w.get(ctx, "http://"+n.Control+"/healthcheck")
	l.Up, l.Ready = err == nil, status == http.StatusOK
	if _, body, err := w.get(ctx, "http://"+n.Control+"/stats"); err == nil {
		l.Discovered = parseDiscovered(body)
	}
	return l
}

func (w *Controller) get(ctx context.Context, url string) (int, string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, "", err
	}
	resp, err := w.http.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxStats))
	return resp.StatusCode, string(raw), err
}

// parseDiscovered reads the number of servers out of a node's figures, or gives -1.
func parseDiscovered(stats string) int {
	in := bufio.NewScanner(strings.NewReader(stats))
	for in.Scan() {
		if rest, ok := strings.CutPrefix(in.Text(), "app.discovered:"); ok {
			value, _, _ := strings.Cut(rest, "|")
			if n, err := strconv.Atoi(value); err == nil {
				return n
			}
		}
	}
	return -1
}
