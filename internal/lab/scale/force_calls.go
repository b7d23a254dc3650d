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

const callTime = 2 * time.Second // a node answers its operators within one

// callOf makes a call at a node's control address.
func callOf(ctx context.Context, method, control, path string) (status int, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+control+path, nil)
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, fmt.Errorf("a call to a node: %w", err)
	}
	defer besteffort.Close(resp.Body)
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// ready waits until a node is.
func ready(ctx context.Context, control string) error {
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	for {
		status, err := callOf(ctx, http.MethodGet, control, "/healthcheck")
		if err == nil && status == http.StatusOK {
			return nil
		}
		if !backoff.Sleep(ctx, lookEvery) {
			return fmt.Errorf("a node is not ready: %d, %w", status, err)
		}
	}
}

// callAll makes a call at every node, as many at once as operators write, and gives the times to each answer,
// in order.
func callAll(ctx context.Context, controls []string, path string) ([]float64, error) {
	all, start := make([]float64, len(controls)), time.Now()
	var g errgroup.Group
	g.SetLimit(operators)
	for i, control := range controls {
		g.Go(func() error {
			status, err := callOf(ctx, http.MethodPost, control, path)
			if err == nil && status != http.StatusOK {
				err = fmt.Errorf("%s of node %d: status %d", path, i, status)
			}
			all[i] = seconds(time.Since(start))
			return err
		})
	}
	err := g.Wait()
	slices.Sort(all)
	return all, err
}
