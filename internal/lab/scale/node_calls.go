package scale

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"wrenspread/internal/backoff"
	"wrenspread/internal/besteffort"
)

const callTimeout = 2 * time.Second // for a node's answer to a call at its control address

// callNode makes an HTTP request at a node's control address, and returns the status of the answer.
func callNode(ctx context.Context, method, control, path string) (status int, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+control+path, nil)
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, fmt.Errorf("%s %s at node %s: %w", method, path, control, err)
	}
	defer besteffort.Close(resp.Body)
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// awaitReady waits until the node with a control address is ready.
func awaitReady(ctx context.Context, control string) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		status, err := callNode(ctx, http.MethodGet, control, "/healthcheck")
		if err == nil && status == http.StatusOK {
			return nil
		}
		if !backoff.Sleep(ctx, pollInterval) {
			return fmt.Errorf("node %s is not ready: status %d: %w", control, status, err)
		}
	}
}

// callAll makes the same POST request at every node, concurrentWrites requests at a time. It returns the
// times from the start of the calls until each answer, sorted.
func callAll(ctx context.Context, controls []string, path string) ([]float64, error) {
	times, start := make([]float64, len(controls)), time.Now()
	var g errgroup.Group
	g.SetLimit(concurrentWrites)
	for i, control := range controls {
		g.Go(func() error {
			status, err := callNode(ctx, http.MethodPost, control, path)
			if err == nil && status != http.StatusOK {
				err = fmt.Errorf("%s of node %d: status %d", path, i, status)
			}
			times[i] = seconds(time.Since(start))
			return err
		})
	}
	err := g.Wait()
	slices.Sort(times)
	return times, err
}
