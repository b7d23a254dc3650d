// Package client sends the lab's load over sockets: a front distributes clients over the nodes of their zone,
// and clients send the operations that were drawn for them.
package client

import (
	"context"
	"net/http"
	"sync"
	"time"

	"wrenspread/internal/besteffort"
)

// Front chooses a node for each request. It admits a node once its /health/ready answers 200, and notices a
// node's death only after a delay.
type Front struct {
	deathDelay time.Duration
	mu         sync.Mutex
	nodes      map[string]*nodeState
	zones      map[string][]*nodeState
	allNodes   []*nodeState
}

// nodeState is what the front knows of one node.
type nodeState struct {
	name, address string
	admitted      bool
	leaving       bool      // a planned restart is under way
	failingSince  time.Time // when health checks began to fail; zero: they succeed
}

// NewFront makes a front that notices a node's death after the time notice.
func NewFront(notice time.Duration) *Front {
	return &Front{deathDelay: notice, nodes: map[string]*nodeState{}, zones: map[string][]*nodeState{}}
}

// Add adds a node of a zone, with the address at which clients reach it.
func (f *Front) Add(name, zone, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := &nodeState{name: name, address: address}
	f.nodes[name] = d
	f.zones[zone] = append(f.zones[zone], d)
	f.allNodes = append(f.allNodes, d)
}

const (
	healthCheckInterval = 200 * time.Millisecond
	healthCheckTimeout  = time.Second
)

// Watch checks the health of all nodes until ctx ends.
func (f *Front) Watch(ctx context.Context) {
	var all sync.WaitGroup
	client := &http.Client{Timeout: healthCheckTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, d := range f.allNodes {
		all.Add(1)
		go func() {
			defer all.Done()
			t := time.NewTicker(healthCheckInterval)
			defer t.Stop()
			for {
				f.recordHealth(d, healthy(ctx, client, d.address))
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

// healthy reports whether a node's health check answers 200.
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

// recordHealth applies the result of a health check: success admits the node, and failure for deathDelay
// removes it.
func (f *Front) recordHealth(d *nodeState, isHealthy bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case d.leaving:
	case isHealthy:
		d.admitted, d.failingSince = true, time.Time{}
	case d.failingSince.IsZero():
		d.failingSince = time.Now()
	case time.Since(d.failingSince) >= f.deathDelay:
		d.admitted = false
	}
}

// Leave takes a node that is about to be restarted out of the choice, until Return.
func (f *Front) Leave(name string) { f.setLeaving(name, true) }

// Return allows a node to be admitted again once it is ready.
func (f *Front) Return(name string) { f.setLeaving(name, false) }

func (f *Front) setLeaving(name string, leaving bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[name].leaving = leaving
	if leaving {
		f.nodes[name].admitted = false
	}
}

// Admitted returns the number of admitted nodes.
func (f *Front) Admitted() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, d := range f.allNodes {
		if d.admitted {
			n++
		}
	}
	return n
}

// pick chooses an admitted node of the client's zone, or of any zone if the zone has none. by selects among
// them.
func (f *Front) pick(zone string, by uint64) (name, address string, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, doors := range [][]*nodeState{f.zones[zone], f.allNodes} {
		var open []*nodeState
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
