package quorum

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"wrenspread/internal/backoff"
	"wrenspread/internal/besteffort"
	"wrenspread/internal/lab/process"
	"wrenspread/internal/registry/client"
)

// ClientCost is the cost of clients for a replica, both for clients that watch and for clients that poll.
type ClientCost struct {
	Watch, Poll           time.Duration // CPU time of the replica per second
	WatchBytes, PollBytes float64       // bytes of the responses to all clients per second
}

// costWindow is the time over which the cost of watching and that of polling are each measured.
const costWindow = 10 * time.Second

// MeasureClientCost measures the cost of clients that follow a list which changes once a second. First, the
// clients watch the list; then they poll the complete list once a second.
func MeasureClientCost(ctx context.Context, o Options, entries, clients int) (cost ClientCost, err error) {
	o.Replicas = 1
	err = withCluster(ctx, o, func(c *cluster, registryClient *client.Client) error {
		if err := Fill(ctx, registryClient, entries); err != nil {
			return err
		}
		if cost.Watch, cost.WatchBytes, err = measureClients(ctx, c, registryClient, clients, true); err != nil {
			return err
		}
		cost.Poll, cost.PollBytes, err = measureClients(ctx, c, registryClient, clients, false)
		return err
	})
	return cost, err
}

// measureClients measures for costWindow the cost of clients that watch or, if watch is false, that poll.
func measureClients(
	ctx context.Context,
	c *cluster,
	registryClient *client.Client,
	clients int,
	watch bool,
) (cpu time.Duration, bytes float64, err error) {
	r := c.replicas.All[0]
	var bytesRead atomic.Int64
	windowCtx, stop := context.WithTimeout(ctx, costWindow)
	defer stop()
	before, err := process.UseOf(r.Proc().Pid)
	if err != nil {
		return 0, 0, err
	}
	httpClient := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clients}}
	defer httpClient.CloseIdleConnections()
	var running sync.WaitGroup
	for i := range clients {
		running.Go(func() {
			backoff.Sleep(windowCtx, time.Duration(i)*time.Second/time.Duration(clients))
			for from := uint64(0); windowCtx.Err() == nil; {
				size, version := readOnce(windowCtx, httpClient, r.Address(), from)
				bytesRead.Add(size)
				if from = version; !watch {
					from = 0
					backoff.Sleep(windowCtx, time.Second)
				}
			}
		})
	}
	for n := 0; windowCtx.Err() == nil; n++ {
		if _, err := writeChange(ctx, registryClient, n); err != nil {
			return 0, 0, err
		}
		backoff.Sleep(windowCtx, time.Second)
	}
	running.Wait()
	after, err := process.UseOf(r.Proc().Pid)
	return (after.CPU - before.CPU) / (costWindow / time.Second),
		float64(bytesRead.Load()) / costWindow.Seconds(),
		err
}

// readOnce makes one read or, if from is not 0, one watch from this version. It returns the size of the
// response in bytes and the version of the list in it, or from if there was no complete response.
func readOnce(ctx context.Context, httpClient *http.Client, address string,
	from uint64) (size int64, version uint64) {
	url := "http://" + address + "/registry/instances"
	if from > 0 {
		url += fmt.Sprintf("?from=%d&hold_ms=20000", from)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, from
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return 0, from
	}
	defer besteffort.Close(resp.Body)
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, from
	}
	if _, err := fmt.Sscanf(string(raw[:min(len(raw), 64)]), `{"index":%d`, &version); err != nil {
		return int64(len(raw)), from
	}
	return int64(len(raw)), version
}
