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

// ClientCost is the cost of clients for a replica: if they watch, and if they poll.
type ClientCost struct {
	Watch, Poll           time.Duration // CPU time of the replica per second
	WatchBytes, PollBytes float64       // bytes to all clients per second
}

// sideWindow is the time over which each of the two costs is measured.
const sideWindow = 10 * time.Second

// SideBySide measures the cost of clients that follow a list which changes once a second: first by watches,
// then by polls of the complete list once a second.
func SideBySide(ctx context.Context, o Options, entries, clients int) (s ClientCost, err error) {
	o.Replicas = 1
	err = withCluster(ctx, o, func(c *cluster, k *client.Client) error {
		if err := Fill(ctx, k, entries); err != nil {
			return err
		}
		if s.Watch, s.WatchBytes, err = measureClients(ctx, c, k, clients, true); err != nil {
			return err
		}
		s.Poll, s.PollBytes, err = measureClients(ctx, c, k, clients, false)
		return err
	})
	return s, err
}

// measureClients measures clients that either watch or poll for sideWindow.
func measureClients(
	ctx context.Context,
	c *cluster,
	k *client.Client,
	clients int,
	watch bool,
) (cpu time.Duration, bytes float64, err error) {
	r := c.set.All[0]
	var read atomic.Int64
	working, stop := context.WithTimeout(ctx, sideWindow)
	defer stop()
	before, err := process.UseOf(r.Proc().Pid)
	if err != nil {
		return 0, 0, err
	}
	h := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clients}}
	defer h.CloseIdleConnections()
	var all sync.WaitGroup
	for i := range clients {
		all.Go(func() {
			backoff.Sleep(working, time.Duration(i)*time.Second/time.Duration(clients))
			for from := uint64(0); working.Err() == nil; {
				n, index := readOnce(working, h, r.Address(), from)
				read.Add(n)
				if from = index; !watch {
					from = 0
					backoff.Sleep(working, time.Second)
				}
			}
		})
	}
	for n := 0; working.Err() == nil; n++ {
		if _, err := writeChange(ctx, k, n); err != nil {
			return 0, 0, err
		}
		backoff.Sleep(working, time.Second)
	}
	all.Wait()
	after, err := process.UseOf(r.Proc().Pid)
	return (after.CPU - before.CPU) / (sideWindow / time.Second),
		float64(read.Load()) / sideWindow.Seconds(),
		err
}

// readOnce makes one read or, if from is not 0, one watch from this version. It returns the size of the
// response in bytes and its version.
func readOnce(ctx context.Context, h *http.Client, address string, from uint64) (n int64, index uint64) {
	url := "http://" + address + "/registry/instances"
	if from > 0 {
		url += fmt.Sprintf("?from=%d&hold_ms=20000", from)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, from
	}
	resp, err := h.Do(req)
	if err != nil {
		return 0, from
	}
	defer besteffort.Close(resp.Body)
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, from
	}
	if _, err := fmt.Sscanf(string(raw[:min(len(raw), 64)]), `{"index":%d`, &index); err != nil {
		return int64(len(raw)), from
	}
	return int64(len(raw)), index
}
