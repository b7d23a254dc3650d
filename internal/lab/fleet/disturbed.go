package fleet

import (
	"sync"
	"time"
)

// disturbedNodes records the nodes that a fault affects now, or affected less than disturbanceTail ago.
type disturbedNodes struct {
	mu     sync.Mutex
	active map[string]int       // number of faults that affect each node now
	until  map[string]time.Time // end of disturbanceTail after the last fault that affected each node
}

// disturbanceTail is the time after the end of a fault during which connections may still show its effects.
const disturbanceTail = time.Second

// update records the beginning or the end of a fault on nodes.
func (d *disturbedNodes) update(nodes []string, begins bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.active == nil {
		d.active, d.until = map[string]int{}, map[string]time.Time{}
	}
	for _, n := range nodes {
		if begins {
			d.active[n]++
			continue
		}
		d.active[n]--
		d.until[n] = time.Now().Add(disturbanceTail)
	}
}

// includes reports whether a fault affects the node, or did so less than disturbanceTail ago.
func (d *disturbedNodes) includes(node string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.active[node] > 0 || time.Now().Before(d.until[node])
}
