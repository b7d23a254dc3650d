package controller

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

	"wrenspread/internal/besteffort"
	"wrenspread/internal/registry"
)

const (
	discoveredStat = "app.discovered:" // begins the line with the number of endpoints in a proxy's statistics
	unknownCount   = -1                // ProxyObservation.Discovered of a proxy that reports no number
)

// observe reads the registry, and checks every registered endpoint and every configured proxy.
func (c *Controller) observe(ctx context.Context) (Observation, error) {
	call, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	answer, err := c.client.Registrations(call)
	if err != nil {
		return Observation{}, err
	}
	var checks errgroup.Group
	checks.SetLimit(maxParallelChecks)
	reachable := newNameSet()
	for _, registration := range answer.Registrations {
		checks.Go(func() error {
			if acceptsConnections(ctx, registration.Endpoint) {
				reachable.add(registration.Endpoint.Name)
			}
			return nil
		})
	}
	proxies := make([]ProxyObservation, len(c.config.Proxies))
	for i, proxy := range c.config.Proxies {
		checks.Go(func() error {
			proxies[i] = c.observeProxy(ctx, proxy)
			return nil
		})
	}
	_ = checks.Wait() // no check returns an error: a missing answer is part of the observation
	observed := Observation{Registrations: answer.Registrations, Reachable: reachable.names, Proxies: proxies}
	return observed, ctx.Err()
}

// nameSet is a set of names to which several goroutines may add.
type nameSet struct {
	mu    sync.Mutex
	names map[string]bool
}

func newNameSet() *nameSet { return &nameSet{names: map[string]bool{}} }

func (s *nameSet) add(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.names[name] = true
}

// acceptsConnections reports whether an endpoint accepts a connection within callTimeout.
func acceptsConnections(ctx context.Context, endpoint registry.Endpoint) bool {
	dialer := net.Dialer{Timeout: callTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", endpoint.Address)
	if err != nil {
		return false
	}
	besteffort.Close(conn)
	return true
}

// observeProxy reads a proxy's health check and statistics at its control address.
func (c *Controller) observeProxy(ctx context.Context, proxy Proxy) ProxyObservation {
	observed := ProxyObservation{Name: proxy.Name, Discovered: unknownCount}
	status, _, err := c.get(ctx, "http://"+proxy.Control+"/healthcheck")
	observed.Up = err == nil
	observed.Ready = status == http.StatusOK
	if _, body, err := c.get(ctx, "http://"+proxy.Control+"/stats"); err == nil {
		observed.Discovered = parseDiscovered(body)
	}
	return observed
}

// get sends a GET request, and returns the response's status and up to maxStatsBytes of its body.
func (c *Controller) get(ctx context.Context, url string) (status int, body string, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, "", err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer besteffort.Close(response.Body)
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxStatsBytes))
	return response.StatusCode, string(raw), err
}

// parseDiscovered returns the number of endpoints in a proxy's statistics, or unknownCount if they have none.
func parseDiscovered(stats string) int {
	lines := bufio.NewScanner(strings.NewReader(stats))
	for lines.Scan() {
		rest, found := strings.CutPrefix(lines.Text(), discoveredStat)
		if !found {
			continue
		}
		value, _, _ := strings.Cut(rest, "|")
		if count, err := strconv.Atoi(value); err == nil {
			return count
		}
	}
	return unknownCount
}
