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

// Side is what clients cost a replica, by watching or by polling.
type Side struct {
	Watch, Poll           time.Duration // of processor in a second
	WatchBytes, PollBytes float64       // to all clients in a second
}

const sideTime = 10 * time.Second

// SideBySide has so many clients follow a list that changes once a second: by
// watches, and by reading all of it once a second.
func SideBySide(ctx context.Context, o Options, entries, clients int) (s Side, err error) {
	o.Replicas = 1
	err = measured(ctx, o, func(c *cluster, k *client.Client) error {
		if err := Fill(ctx, k, entries); err != nil {
			return err
		}
		if s.Watch, s.WatchBytes, err = side(ctx, c, k, clients, true); err != nil {
			return err
		}
		s.Poll, s.PollBytes, err = side(ctx, c, k, clients, false)
		return err
	})
	return s, err
}

func side(
	ctx context.Context,
	c *cluster,
	k *client.Client,
	clients int,
	watch bool,
) (cpu time.Duration, bytes float64, err error) {
	r := c.set.All[0]
	var read atomic.Int64
	working, stop := context.WithTimeout(ctx, sideTime)
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
		if _, err := write(ctx, k, n); err != nil {
			return 0, 0, err
		}
		backoff.Sleep(working, time.Second)
	}
	all.Wait()
	after, err := process.UseOf(r.Proc().Pid)
	return (after.CPU - before.CPU) / (sideTime / time.Second), float64(read.Load()) / sideTime.Seconds(), err
}

// readOnce makes one read, or one watch from a version, and gives the bytes and the version that came.
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
