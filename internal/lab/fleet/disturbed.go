package fleet

import (
	"sync"
	"time"
)

// disturbed knows the nodes to which something is done, or was a moment ago.
type disturbed struct {
	mu    sync.Mutex
	on    map[string]int
	until map[string]time.Time
}

// moment is how long the end of a fault may still show on a connection.
const moment = time.Second

func (d *disturbed) note(nodes []string, begins bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.on == nil {
		d.on, d.until = map[string]int{}, map[string]time.Time{}
	}
	for _, n := range nodes {
		if begins {
			d.on[n]++
			continue
		}
		d.on[n]--
		d.until[n] = time.Now().Add(moment)
	}
}

func (d *disturbed) is(node string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.on[node] > 0 || time.Now().Before(d.until[node])
}
