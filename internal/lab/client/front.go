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

// nodeState is the front's state of one node.
type nodeState struct {
	name, address string
	admitted      bool      // requests may be sent to the node
	leaving       bool      // a planned restart is under way
	failingSince  time.Time // when health checks began to fail; zero: they succeed
}

// NewFront returns a front that notices a node's death after deathDelay.
func NewFront(deathDelay time.Duration) *Front {
	return &Front{deathDelay: deathDelay, nodes: map[string]*nodeState{}, zones: map[string][]*nodeState{}}
}

// Add adds a node of a zone, with the address at which clients reach it.
func (f *Front) Add(name, zone, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := &nodeState{name: name, address: address}
	f.nodes[name] = n
	f.zones[zone] = append(f.zones[zone], n)
	f.allNodes = append(f.allNodes, n)
}

const (
	healthCheckInterval = 200 * time.Millisecond
	healthCheckTimeout  = time.Second
)

// Watch checks the health of all nodes until ctx ends.
func (f *Front) Watch(ctx context.Context) {
	var watches sync.WaitGroup
	client := &http.Client{Timeout: healthCheckTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, n := range f.allNodes {
		watches.Add(1)
		go func() {
			defer watches.Done()
			t := time.NewTicker(healthCheckInterval)
			defer t.Stop()
			for {
				f.recordHealth(n, healthy(ctx, client, n.address))
				select {
				case <-t.C:
				case <-ctx.Done():
					return
				}
			}
		}()
	}
	watches.Wait()
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
func (f *Front) recordHealth(n *nodeState, isHealthy bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case n.leaving:
	case isHealthy:
		n.admitted, n.failingSince = true, time.Time{}
	case n.failingSince.IsZero():
		n.failingSince = time.Now()
	case time.Since(n.failingSince) >= f.deathDelay:
		n.admitted = false
	}
}

// Leave stops sending requests to a node that is about to be restarted, until Return is called.
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
	count := 0
	for _, n := range f.allNodes {
		if n.admitted {
			count++
		}
	}
	return count
}

// pick returns an admitted node of the client's zone, or of any zone if no node of the client's zone is
// admitted. choice selects among the admitted nodes.
func (f *Front) pick(zone string, choice uint64) (name, address string, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, candidates := range [][]*nodeState{f.zones[zone], f.allNodes} {
		var admitted []*nodeState
		for _, n := range candidates {
			if n.admitted {
				admitted = append(admitted, n)
			}
		}
		if len(admitted) > 0 {
			n := admitted[choice%uint64(len(admitted))]
			return n.name, n.address, true
		}
	}
	return "", "", false
}
