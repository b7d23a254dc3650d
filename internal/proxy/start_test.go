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

// fakeDiscovery responds to each call for a list after answerTime. If polled is set, it answers one call at a
// time, because a single discovery serves all proxies. Otherwise it answers calls concurrently, because each
// proxy has its own agent, which pushes the list. If silent is set, it never responds.
type fakeDiscovery struct {
	address    string
	serial     sync.Mutex
	answerTime time.Duration
	silent     bool
	polled     bool
}

// newFakeDiscovery starts a fakeDiscovery that refuses connections for the first downtime. Meanwhile its port is
// reserved, so that no other socket of the machine can be given that port.
func newFakeDiscovery(t *testing.T, answerTime, downtime time.Duration, silent, polled bool) *fakeDiscovery {
	address, release, err := link.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(release)
	d := &fakeDiscovery{address: address, answerTime: answerTime, silent: silent, polled: polled}
	srv := &http.Server{Handler: d}
	t.Cleanup(func() { besteffort.Close(srv) })
	if downtime == 0 {
		ln, err := net.Listen("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = srv.Serve(ln) }()
		return d
	}
	listenError := make(chan error, 1)
	listenTimer := time.AfterFunc(downtime, func() {
		ln, err := net.Listen("tcp", address)
		if err != nil {
			listenError <- err
			return
		}
		_ = srv.Serve(ln)
	})
	t.Cleanup(func() {
		listenTimer.Stop()
		select {
		case err := <-listenError:
			t.Errorf("listening as discovery after its downtime: %v", err)
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

// TestThirtyProxiesStartingTogetherAreReadyInTime: nine of ten proxies are ready within 10 s of their start,
// even if discovery is slow, down or silent, or if clients use up all descriptors.
func TestThirtyProxiesStartingTogetherAreReadyInTime(t *testing.T) {
	const proxies, maxTime = 30, 10 * time.Second
	if maxReadyTime >= maxTime {
		t.Errorf("maxReadyTime is %v, want below 10 s", maxReadyTime)
	}
	for _, c := range []struct {
		name                 string
		answerTime, downtime time.Duration
		silent               bool
		idleClients          int // clients that connect to each proxy before it starts and send nothing
		noInitialList        bool
	}{
		{name: "discovery up", answerTime: 20 * time.Millisecond},
		{name: "discovery slow", answerTime: 500 * time.Millisecond}, // polled, the last of 30 calls is answered after 15 s
		{name: "discovery silent", silent: true},
		{name: "discovery down for 1 s", answerTime: 20 * time.Millisecond, downtime: time.Second},
		{name: "no free descriptors", silent: true, idleClients: 40},
		{name: "no initial list", answerTime: 20 * time.Millisecond, noInitialList: true},
		{name: "no initial list, discovery down for 1 s", answerTime: 20 * time.Millisecond, downtime: time.Second, noInitialList: true},
	} {
		for _, polled := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, polled %v", c.name, polled), func(t *testing.T) {
				d := newFakeDiscovery(t, c.answerTime, c.downtime, c.silent, polled)
				cfg := testConfig(d.address)
				cfg.MaxDescriptors, cfg.Settings.Proxies, cfg.Settings.PollForEndpoints, cfg.Settings.PollInterval = 64, proxies, polled, maxTime
				if !c.noInitialList {
					if err := json.Unmarshal([]byte(listOf(7, entryJSON("s", "127.0.0.1:1", "ready"))), &cfg.initialList); err != nil {
						t.Fatal(err)
					}
				}
				durations := make(chan time.Duration, proxies)
				for i := range proxies {
					go func(cfg Config) {
						cfg.Seed = int64(i)
						durations <- measureStart(t, cfg, c.idleClients)
					}(cfg)
				}
				late := 0
				for range proxies {
					if d := wait(t, durations, "a proxy to be ready"); d > maxTime {
						late++
					}
				}
				if late > proxies/10 {
					t.Errorf("%d of %d proxies take over %v to be ready", late, proxies, maxTime)
				}
			})
		}
	}
}

// measureStart starts a proxy and stops it when it is ready. It returns the time from the start until then.
func measureStart(t *testing.T, cfg Config, idleClients int) time.Duration {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Error(err)
		return testTimeout
	}
	srv, ended := New(cfg, discardLog), make(chan error, 1)
	srv.frontend.waitForLateConns = func() {}
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
	go func() { ended <- srv.Run(ctx, ln) }()
	probe := &http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for time.Since(start) < testTimeout {
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
