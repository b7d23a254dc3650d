// Package client is the lab's load on sockets: a front that spreads clients over
// the nodes of their zone, and clients that do what was drawn for them.
package client

import (
	"context"
	"net/http"
	"sync"
	"time"

	"wrenspread/internal/besteffort"
)

// Front admits a node once its /health/ready has answered 200, and notices only
// some time later that one has died.
type Front struct {
	notice time.Duration
	mu     sync.Mutex
	nodes  map[string]*door
	zones  map[string][]*door
	all    []*door
}

type door struct {
	name, address string
	admitted      bool
	leaving       bool      // a planned restart is under way
	failing       time.Time // since when it has not answered; zero: it does
}

// NewFront makes a front that notices a death after notice.
func NewFront(notice time.Duration) *Front {
	return &Front{notice: notice, nodes: map[string]*door{}, zones: map[string][]*door{}}
}

// Add tells the front of a node of a zone and where its clients reach it.
func (f *Front) Add(name, zone, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := &door{name: name, address: address}
	f.nodes[name] = d
	f.zones[zone] = append(f.zones[zone], d)
	f.all = append(f.all, d)
}

const (
	checkEvery = 200 * time.Millisecond
	checkTime  = time.Second
)

// Watch asks all nodes for their health until ctx ends.
func (f *Front) Watch(ctx context.Context) {
	var all sync.WaitGroup
	client := &http.Client{Timeout: checkTime, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, d := range f.all {
		all.Add(1)
		go func() {
			defer all.Done()
			t := time.NewTicker(checkEvery)
			defer t.Stop()
			for {
				f.heard(d, healthy(ctx, client, d.address))
				select {
				case <-t.C:
				case <-ctx.Done():
					return
				}
			}
		}()
	}
	all.Wait()
	client.CloseIdleConnections()
}

func healthy(ctx context.Context, client *http.Client, address string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/health/ready", nil)
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	besteffort.Close(resp.Body)
	return resp.StatusCode == http.StatusOK
}

func (f *Front) heard(d *door, well bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case d.leaving:
	case well:
		d.admitted, d.failing = true, time.Time{}
	case d.failing.IsZero():
		d.failing = time.Now()
	case time.Since(d.failing) >= f.notice:
		d.admitted = false
	}
}

// Leave sends no new clients to a node that is to be restarted, until Return.
func (f *Front) Leave(name string) { f.leaving(name, true) }

// Return has a node admitted again once it is ready.
func (f *Front) Return(name string) { f.leaving(name, false) }

func (f *Front) leaving(name string, is bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[name].leaving = is
	if is {
		f.nodes[name].admitted = false
	}
}

// Admitted tells how many nodes are.
func (f *Front) Admitted() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, d := range f.all {
		if d.admitted {
			n++
		}
	}
	return n
}

// pick chooses a node for a client of a zone: one of that zone, or any where the zone has none.
func (f *Front) pick(zone string, by uint64) (name, address string, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, doors := range [][]*door{f.zones[zone], f.all} {
		var open []*door
		for _, d := range doors {
			if d.admitted {
				open = append(open, d)
			}
		}
		if len(open) > 0 {
			d := open[by%uint64(len(open))]
			return d.name, d.address, true
		}
	}
	return "", "", false
}
