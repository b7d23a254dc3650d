package proxy

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/lab/link"
)

// fakeDiscovery answers each call for a list after answerTime. Where it is polled, it answers one call at a
// time, as one discovery serves all proxies. Where it pushes, it answers calls concurrently, as each proxy
// has its own agent.
type fakeDiscovery struct {
	address    string
	serial     sync.Mutex
	answerTime time.Duration
	silent     bool
	polled     bool
}

// newDiscovery starts a fakeDiscovery that refuses connections at first, for the time down. Its port is
// reserved meanwhile, so that no other socket of the machine is given it.
func newDiscovery(t *testing.T, answerTime, down time.Duration, silent, polled bool) *fakeDiscovery {
	address, release, err := link.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(release)
	d := &fakeDiscovery{address: address, answerTime: answerTime, silent: silent, polled: polled}
	srv := &http.Server{Handler: d}
	t.Cleanup(func() { besteffort.Close(srv) })
	if down == 0 {
		ln, err := net.Listen("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = srv.Serve(ln) }()
		return d
	}
	listenError := make(chan error, 1)
	back := time.AfterFunc(down, func() {
		ln, err := net.Listen("tcp", address)
		if err != nil {
			listenError <- err
			return
		}
		_ = srv.Serve(ln)
	})
	t.Cleanup(func() {
		back.Stop()
		select {
		case err := <-listenError:
			t.Errorf("discovery stayed down: %v", err)
		default:
		}
	})
	return d
}

func (d *fakeDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if from := r.URL.Query().Get("from"); d.silent || from != "" && from != "0" && r.URL.Query().Get("hold_ms") != "1" {
		<-r.Context().Done()
		return
	}
	if d.polled {
		d.serial.Lock()
		defer d.serial.Unlock()
	}
	time.Sleep(d.answerTime)
	besteffort.Output(io.WriteString(w, listOf(9, entryJSON("s", "127.0.0.1:1", "ready"))))
}

// TestThirtyProxiesStartingTogetherAreReadyInTime: nine in ten of the proxies are ready within 10 s of their
// start, whatever discovery does, and also with clients that use up all descriptors.
func TestThirtyProxiesStartingTogetherAreReadyInTime(t *testing.T) {
	const starts, within = 30, 10 * time.Second
	if maxReadyTime >= within {
		t.Errorf("maxReadyTime is %v, want below 10 s", maxReadyTime)
	}
	for _, c := range []struct {
		name             string
		answerTime, down time.Duration
		silent           bool
		idleClients      int  // silent clients that connect to each proxy before it starts
		noInitialList    bool // without an initial list
	}{
		{name: "up", answerTime: 20 * time.Millisecond},
		{name: "slow", answerTime: 500 * time.Millisecond}, // the last call is answered after 15 s
		{name: "silent", silent: true},
		{name: "back a moment ago", answerTime: 20 * time.Millisecond, down: time.Second},
		{name: "descriptors full", silent: true, idleClients: 40},
		{name: "nothing known", answerTime: 20 * time.Millisecond, noInitialList: true},
		{name: "nothing known, back a moment ago", answerTime: 20 * time.Millisecond, down: time.Second, noInitialList: true},
	} {
		for _, polled := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, asked for %v", c.name, polled), func(t *testing.T) {
				d := newDiscovery(t, c.answerTime, c.down, c.silent, polled)
				cfg := testConfig(d.address)
				cfg.MaxDescriptors, cfg.Settings.Proxies, cfg.Settings.PollForEndpoints, cfg.Settings.PollInterval = 64, starts, polled, within
				if !c.noInitialList {
					if err := json.Unmarshal([]byte(listOf(7, entryJSON("s", "127.0.0.1:1", "ready"))), &cfg.initialList); err != nil {
						t.Fatal(err)
					}
				}
				durations := make(chan time.Duration, starts)
				for i := range starts {
					go func(cfg Config) {
						cfg.Seed = int64(i)
						durations <- measureStart(t, cfg, c.idleClients)
					}(cfg)
				}
				late := 0
				for range starts {
					if d := wait(t, durations, "a proxy to be ready"); d > within {
						late++
					}
				}
				if late > starts/10 {
					t.Errorf("%d of %d proxies take over %v to be ready", late, starts, within)
				}
			})
		}
	}
}

// measureStart starts a proxy, ends it when it is ready, and returns how long that took.
func measureStart(t *testing.T, cfg Config, idleClients int) time.Duration {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Error(err)
		return enough
	}
	n, ended := New(cfg, quiet), make(chan error, 1)
	n.frontend.waitForLateConns = func() {}
	ctx, stop := context.WithCancel(context.Background())
	defer func() { stop(); besteffort.Ended(<-ended) }() // after the idle clients have been closed
	for range idleClients {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Error(err)
			break
		}
		defer besteffort.Close(c)
	}
	start := time.Now()
	go func() { ended <- n.Run(ctx, ln) }()
	probe := &http.Client{Timeout: enough, Transport: &http.Transport{DisableKeepAlives: true}}
	for time.Since(start) < enough {
		resp, err := probe.Get("http://" + ln.Addr().String() + "/health/ready")
		if err == nil {
			besteffort.Close(resp.Body)
		}
		if err == nil && resp.StatusCode == http.StatusOK {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(start)
}
