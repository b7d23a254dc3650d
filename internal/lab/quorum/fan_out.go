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

// withCluster runs do with a new cluster, which has the snapshot threshold of production, and a client that
// reaches the replicas without links.
func withCluster(ctx context.Context, o Options, do func(*cluster, *client.Client) error) error {
	o.Snapshot = int(server.Default().SnapshotThreshold)
	log, err := history.New("")
	if err != nil {
		return err
	}
	c, err := newCluster(o, log)
	if err != nil {
		return err
	}
	defer c.close()
	if err := c.replicas.StartAll(ctx); err != nil {
		return err
	}
	var addresses []string
	for _, r := range c.replicas.All {
		addresses = append(addresses, r.Address())
	}
	registryClient, err := client.New(client.Config{Addresses: addresses})
	if err != nil {
		return err
	}
	defer registryClient.Close()
	return do(c, registryClient)
}

// WithReplicas runs do with new replicas, which have the snapshot threshold of production, and a client that
// reaches the replicas without links.
func WithReplicas(ctx context.Context, o Options, do func(*replicas.Set, *client.Client) error) error {
	return withCluster(ctx, o,
		func(c *cluster, registryClient *client.Client) error { return do(c.replicas, registryClient) })
}

// writeChange writes one entry with a start time that depends on the absolute value of n. So a call changes
// the entry if this value differs from that of the previous call.
func writeChange(ctx context.Context, registryClient *client.Client, n int) (registry.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return registryClient.Register(
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

// FanOutCost is the cost of delivering a change from one replica to a number of watchers.
type FanOutCost struct {
	Watchers int
	P50, P99 time.Duration // time from the start of the write to the first byte at a watcher
	Memory   float64       // resident memory of the replica per watcher, in bytes
	CPU      time.Duration // CPU time of the replica per change
}

const fanOutRounds = 10 // number of changes; the CPU time of the first is not counted

// FanOut measures the cost of changes at a single replica for which a number of watchers wait.
func FanOut(ctx context.Context, o Options, watchers int) (cost FanOutCost, err error) {
	o.Replicas = 1
	err = withCluster(ctx, o, func(c *cluster, registryClient *client.Client) error {
		pid := c.replicas.All[0].Proc().Pid
		beforeWatchers, err := process.UseOf(pid)
		if err != nil {
			return err
		}
		first, err := writeChange(ctx, registryClient, 0)
		if err != nil {
			return err
		}
		conns, err := dialAll(c.replicas.All[0].Address(), watchers)
		defer func() {
			for _, conn := range conns {
				besteffort.Close(conn)
			}
		}()
		if err != nil {
			return err
		}
		var allLatencies []time.Duration
		version := first.Version
		for round := range fanOutRounds {
			latencies, err := fanOutRound(ctx, c, registryClient, conns, version, round+1)
			if err != nil {
				return err
			}
			version++
			allLatencies = append(allLatencies, latencies...)
			if round == 0 { // each watcher has now sent a request
				withWatchers, err := process.UseOf(pid)
				if err != nil {
					return err
				}
				cost.Memory, cost.CPU = float64(withWatchers.RSS-beforeWatchers.RSS)/float64(watchers), -withWatchers.CPU
			}
		}
		afterRounds, err := process.UseOf(pid)
		if err != nil {
			return err
		}
		cost.CPU = (cost.CPU + afterRounds.CPU) / (fanOutRounds - 1)
		slices.Sort(allLatencies)
		cost.Watchers, cost.P50, cost.P99 =
			watchers, allLatencies[len(allLatencies)/2], allLatencies[len(allLatencies)*99/100]
		return nil
	})
	return cost, err
}

// dialAll opens n connections to an address. If one fails, it returns the connections opened so far and the
// error.
func dialAll(address string, n int) ([]net.Conn, error) {
	var conns []net.Conn
	for range n {
		c, err := net.DialTimeout("tcp4", address, readyTimeout)
		if err != nil {
			return conns, fmt.Errorf("connect watcher %d of %d: %w", len(conns)+1, n, err)
		}
		conns = append(conns, c)
	}
	return conns, nil
}

// fanOutRound sends a watch from the given version on each connection, makes the change n, and returns the
// durations from the start of the write to the first byte at each watcher.
func fanOutRound(
	ctx context.Context,
	c *cluster,
	registryClient *client.Client,
	conns []net.Conn,
	version uint64,
	n int,
) ([]time.Duration, error) {
	request := fmt.Sprintf(
		"GET /registry/instances?from=%d&hold_ms=60000 HTTP/1.1\r\nHost: list\r\n\r\n",
		version,
	)
	for _, conn := range conns {
		besteffort.SocketOption(conn.SetDeadline(time.Now().Add(readyTimeout)))
		if _, err := io.WriteString(conn, request); err != nil {
			return nil, err
		}
	}
	if err := awaitWatchers(ctx, c.replicas.All[0].Address(), len(conns)); err != nil {
		return nil, err
	}
	latencies, errs := make([]time.Duration, len(conns)), make([]error, len(conns))
	start := time.Now()
	var readers sync.WaitGroup
	for i, conn := range conns {
		readers.Go(func() {
			reader := bufio.NewReaderSize(conn, 1024)
			if _, errs[i] = reader.Peek(1); errs[i] != nil {
				return
			}
			latencies[i] = time.Since(start)
			var resp *http.Response
			if resp, errs[i] = http.ReadResponse(reader, nil); errs[i] == nil {
				_, errs[i] = io.Copy(io.Discard, resp.Body)
				besteffort.Close(resp.Body)
			}
		})
	}
	startupTime := time.Since(start) // subtracted from the latencies, as the write starts after it
	_, err := writeChange(ctx, registryClient, n)
	readers.Wait()
	for i := range latencies {
		latencies[i] -= startupTime
	}
	for _, e := range errs {
		if e != nil {
			return nil, e
		}
	}
	return latencies, err
}

// awaitWatchers waits until the metrics of the replica show n watchers.
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
			return fmt.Errorf("wait for %d watchers: %w", n, err)
		}
		raw, err := io.ReadAll(resp.Body)
		besteffort.Close(resp.Body)
		if err == nil && strings.Contains(string(raw), want) {
			return nil
		}
		if !backoff.Sleep(ctx, 5*time.Millisecond) {
			return fmt.Errorf("wait for %d watchers: %w", n, ctx.Err())
		}
	}
}
