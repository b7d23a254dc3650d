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
)

// oneDiscovery answers calls from a moment on, each in some time: all in turn where it is asked, as one serves all proxies,
// and each by itself where it pushes, as each proxy has an agent of its own.
type oneDiscovery struct {
	address string
	turn    sync.Mutex
	each    time.Duration
	silent  bool
	asked   bool
}

// newDiscovery makes one that refuses connections for a time.
func newDiscovery(t *testing.T, each, down time.Duration, silent, asked bool) *oneDiscovery {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &oneDiscovery{address: ln.Addr().String(), each: each, silent: silent, asked: asked}
	srv := &http.Server{Handler: d}
	t.Cleanup(func() { besteffort.Close(srv) })
	if down == 0 {
		go func() { _ = srv.Serve(ln) }()
		return d
	}
	besteffort.Close(ln)
	back := time.AfterFunc(down, func() {
		if ln, err := net.Listen("tcp", d.address); err == nil { // else discovery stays down
			_ = srv.Serve(ln)
		}
	})
	t.Cleanup(func() { back.Stop() })
	return d
}

func (d *oneDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if from := r.URL.Query().Get("from"); d.silent || from != "" && from != "0" && r.URL.Query().Get("hold_ms") != "1" {
		<-r.Context().Done()
		return
	}
	if d.asked {
		d.turn.Lock()
		defer d.turn.Unlock()
	}
	time.Sleep(d.each)
	besteffort.Output(io.WriteString(w, listOf(9, entryJSON("s", "127.0.0.1:1", "ready"))))
}

// TestThirtyStartsTogether: whatever discovery does, and with clients that fill all places, nine in ten proxies are ready
// within 10 s of their start.
func TestThirtyStartsTogether(t *testing.T) {
	const starts, within = 30, 10 * time.Second
	if maxReadyTime >= within {
		t.Errorf("the waits add up to %v", maxReadyTime)
	}
	for _, c := range []struct {
		name       string
		each, down time.Duration
		silent     bool
		crowd      int  // silent clients of each proxy, in its queue at the start
		unknown    bool // no list of before
	}{
		{name: "up", each: 20 * time.Millisecond},
		{name: "slow", each: 500 * time.Millisecond}, // the last call is answered after 15 s
		{name: "silent", silent: true},
		{name: "back a moment ago", each: 20 * time.Millisecond, down: time.Second},
		{name: "descriptors full", silent: true, crowd: 40},
		{name: "nothing known", each: 20 * time.Millisecond, unknown: true},
		{name: "nothing known, back a moment ago", each: 20 * time.Millisecond, down: time.Second, unknown: true},
	} {
		for _, asked := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, asked for %v", c.name, asked), func(t *testing.T) {
				d := newDiscovery(t, c.each, c.down, c.silent, asked)
				cfg := testConfig(d.address)
				cfg.MaxDescriptors, cfg.Settings.Proxies, cfg.Settings.PollForEndpoints, cfg.Settings.PollInterval = 64, starts, asked, within
				if !c.unknown {
					if err := json.Unmarshal([]byte(listOf(7, entryJSON("s", "127.0.0.1:1", "ready"))), &cfg.initialList); err != nil {
						t.Fatal(err)
					}
				}
				took := make(chan time.Duration, starts)
				for i := range starts {
					go func(cfg Config) {
						cfg.Seed = int64(i)
						took <- startTime(t, cfg, c.crowd)
					}(cfg)
				}
				late := 0
				for range starts {
					if d := wait(t, took, "a node to be ready"); d > within {
						late++
					}
				}
				if late > starts/10 {
					t.Errorf("%d of %d nodes take over %v to be ready", late, starts, within)
				}
			})
		}
	}
}

// startTime starts a proxy, and ends it when it is ready.
func startTime(t *testing.T, cfg Config, crowd int) time.Duration {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Error(err)
		return enough
	}
	n, ended := New(cfg, quiet), make(chan error, 1)
	n.frontend.waitForLateConns = func() {}
	ctx, stop := context.WithCancel(context.Background())
	defer func() { stop(); besteffort.Ended(<-ended) }() // after the crowd has gone
	for range crowd {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Error(err)
			break
		}
		defer besteffort.Close(c)
	}
	began := time.Now()
	go func() { ended <- n.Run(ctx, ln) }()
	probe := &http.Client{Timeout: enough, Transport: &http.Transport{DisableKeepAlives: true}}
	for time.Since(began) < enough {
		resp, err := probe.Get("http://" + ln.Addr().String() + "/health/ready")
		if err == nil {
			besteffort.Close(resp.Body)
		}
		if err == nil && resp.StatusCode == http.StatusOK {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(began)
}
