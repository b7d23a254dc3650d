package quorum

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"wrenspread/internal/backoff"
	"wrenspread/internal/besteffort"
	"wrenspread/internal/lab/history"
	"wrenspread/internal/lab/process"
	"wrenspread/internal/lab/replicas"
	"wrenspread/internal/registry"
	"wrenspread/internal/registry/client"
	"wrenspread/internal/registry/server"
)

// withCluster runs do against a new cluster with the snapshot threshold of production.
func withCluster(ctx context.Context, o Options, do func(*cluster, *client.Client) error) error {
	o.Snapshot = int(server.Default().SnapshotThreshold) // the production default
	log, err := history.New("")
	if err != nil {
		return err
	}
	c, err := newCluster(o, log)
	if err != nil {
		return err
	}
	defer c.close()
	if err := c.set.Begin(ctx); err != nil {
		return err
	}
	var addresses []string
	for _, r := range c.set.All {
		addresses = append(addresses, r.Address())
	}
	k, err := client.New(client.Config{Addresses: addresses})
	if err != nil {
		return err
	}
	defer k.Close()
	return do(c, k)
}

// WithReplicas runs do with new replicas, which have the snapshot threshold of production, and a client of them.
func WithReplicas(ctx context.Context, o Options, do func(*replicas.Set, *client.Client) error) error {
	return withCluster(ctx, o, func(c *cluster, k *client.Client) error { return do(c.set, k) })
}

// writeChange writes one entry with a start time that depends on n, so that calls with different n each
// change the entry.
func writeChange(ctx context.Context, k *client.Client, n int) (registry.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return k.Register(
		ctx,
		registry.Endpoint{
			Name:        "s",
			Address:     "127.0.0.1:1",
			Status:      registry.Ready,
			StartedAtMS: int64(2*max(n, -n) + n&1),
		},
		0,
		nil,
	)
}

// FanOutCost is the cost of a change for one replica with a number of watchers.
type FanOutCost struct {
	Watchers int
	P50, P99 time.Duration // from the beginning of the write to the watcher's first byte
	Memory   float64       // bytes of the replica per watcher
	CPU      time.Duration // CPU time of the replica per change
}

const fanRounds = 10 // number of changes that are measured

// FanOut measures changes with a number of waiting watchers at a single replica.
func FanOut(ctx context.Context, o Options, watchers int) (f FanOutCost, err error) {
	o.Replicas = 1
	err = withCluster(ctx, o, func(c *cluster, k *client.Client) error {
		pid := c.set.All[0].Proc().Pid
		empty, err := process.UseOf(pid)
		if err != nil {
			return err
		}
		first, err := writeChange(ctx, k, 0)
		if err != nil {
			return err
		}
		conns, err := dialAll(c.set.All[0].Address(), watchers)
		defer func() {
			for _, w := range conns {
				besteffort.Close(w)
			}
		}()
		if err != nil {
			return err
		}
		var took []time.Duration
		version := first.Version
		for round := range fanRounds {
			latencies, err := fanRound(ctx, c, k, conns, version, round+1)
			if err != nil {
				return err
			}
			version++
			took = append(took, latencies...)
			if round == 0 { // now each watcher has a waiting request
				waiting, err := process.UseOf(pid)
				if err != nil {
					return err
				}
				f.Memory, f.CPU = float64(waiting.RSS-empty.RSS)/float64(watchers), -waiting.CPU
			}
		}
		last, err := process.UseOf(pid)
		if err != nil {
			return err
		}
		f.CPU = (f.CPU + last.CPU) / (fanRounds - 1)
		slices.Sort(took)
		f.Watchers, f.P50, f.P99 = watchers, took[len(took)/2], took[len(took)*99/100]
		return nil
	})
	return f, err
}

// dialAll opens n connections to an address. The connections that were opened are returned with an error,
// too.
func dialAll(address string, n int) ([]net.Conn, error) {
	var all []net.Conn
	for range n {
		c, err := net.DialTimeout("tcp4", address, readyTimeout)
		if err != nil {
			return all, fmt.Errorf("watcher %d of %d: %w", len(all)+1, n, err)
		}
		all = append(all, c)
	}
	return all, nil
}

// fanRound sends a watch from the given version on each connection, makes a change, and returns the durations
// from the start of the write to the first byte at each watcher.
func fanRound(
	ctx context.Context,
	c *cluster,
	k *client.Client,
	conns []net.Conn,
	version uint64,
	n int,
) ([]time.Duration, error) {
	request := fmt.Sprintf(
		"GET /registry/instances?from=%d&hold_ms=60000 HTTP/1.1\r\nHost: list\r\n\r\n",
		version,
	)
	for _, w := range conns {
		besteffort.SocketOption(w.SetDeadline(time.Now().Add(readyTimeout)))
		if _, err := io.WriteString(w, request); err != nil {
			return nil, err
		}
	}
	if err := awaitWatchers(ctx, c.set.All[0].Address(), len(conns)); err != nil {
		return nil, err
	}
	took, errs := make([]time.Duration, len(conns)), make([]error, len(conns))
	start := time.Now()
	var all sync.WaitGroup
	for i, w := range conns {
		all.Go(func() {
			reader := bufio.NewReaderSize(w, 1024)
			if _, errs[i] = reader.Peek(1); errs[i] != nil {
				return
			}
			took[i] = time.Since(start)
			var resp *http.Response
			if resp, errs[i] = http.ReadResponse(reader, nil); errs[i] == nil {
				_, errs[i] = io.Copy(io.Discard, resp.Body)
				besteffort.Close(resp.Body)
			}
		})
	}
	begun := time.Since(start) // the time to start the readers is subtracted
	_, err := writeChange(ctx, k, n)
	all.Wait()
	for i := range took {
		took[i] -= begun
	}
	for _, e := range errs {
		if e != nil {
			return nil, e
		}
	}
	return took, err
}

// awaitWatchers waits until the metrics of the replica count n watchers.
func awaitWatchers(ctx context.Context, address string, n int) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	want := "\nwrenspread-registry_watchers " + strconv.FormatFloat(float64(n), 'g', -1, 64) + "\n"
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return fmt.Errorf("waiting for %d watchers: %w", n, err)
		}
		raw, err := io.ReadAll(resp.Body)
		besteffort.Close(resp.Body)
		if err == nil && strings.Contains(string(raw), want) {
			return nil
		}
		if !backoff.Sleep(ctx, 5*time.Millisecond) {
			return fmt.Errorf("waiting for %d watchers: %w", n, ctx.Err())
		}
	}
}
