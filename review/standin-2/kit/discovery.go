package kit

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Entry is an endpoint in discovery's lists.
type Entry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"`
}

// ListAnswer is an answer of discovery.
type ListAnswer struct {
	Index     int     `json:"index"`
	Snapshot  bool    `json:"snapshot"`
	Endpoints []Entry `json:"endpoints"`
}

// Discovery plays the agent on a node's machine: it answers with what it has, at once, and holds watches.
type Discovery struct {
	Address string
	c       *Case

	mu      sync.Mutex
	index   int
	entries map[string]Entry
	changed map[string]int // version of the last change, by name
	order   []string
	silent  bool
	news    chan struct{} // closed at the next change
}

// NewDiscovery starts an agent that has a list.
func (c *Case) NewDiscovery(entries []Entry) (*Discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{Address: ln.Addr().String(), c: c, index: 41, entries: map[string]Entry{},
		changed: map[string]int{}, news: make(chan struct{})}
	for _, e := range entries {
		d.entries[e.Name] = e
		d.changed[e.Name] = d.index
		d.order = append(d.order, e.Name)
	}
	go func() { _ = http.Serve(ln, d) }()
	return d, nil
}

// List returns the whole list.
func (d *Discovery) List() ListAnswer {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listLocked()
}

func (d *Discovery) listLocked() ListAnswer {
	a := ListAnswer{Index: d.index, Snapshot: true, Endpoints: []Entry{}}
	for _, name := range d.order {
		if e := d.entries[name]; e.Status != "gone" {
			a.Endpoints = append(a.Endpoints, e)
		}
	}
	return a
}

// Set changes entries, in one version of the list.
func (d *Discovery) Set(entries ...Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index++
	for _, e := range entries {
		if _, known := d.entries[e.Name]; !known {
			d.order = append(d.order, e.Name)
		}
		d.entries[e.Name] = e
		d.changed[e.Name] = d.index
		d.c.Log("discovery: version %d: %s is %s", d.index, e.Name, e.Status)
	}
	close(d.news)
	d.news = make(chan struct{})
}

// Silence makes the agent silent (discovery is down), or ends that.
func (d *Discovery) Silence(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = on
	d.c.Log("discovery: silent: %v", on)
	close(d.news)
	d.news = make(chan struct{})
}

// ServeHTTP answers a read or a watch.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/registry/instances" {
		http.NotFound(w, r)
		return
	}
	from := -1
	hold := time.Duration(0)
	if text := r.URL.Query().Get("from"); text != "" {
		from, _ = strconv.Atoi(text)
		ms, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
		hold = time.Duration(min(ms, 60000)) * time.Millisecond
	}
	end := time.NewTimer(hold)
	defer end.Stop()
	over := false
	for {
		d.mu.Lock()
		news := d.news
		var a ListAnswer
		answer := false
		if !d.silent {
			switch {
			case from < 0 || from > d.index:
				a, answer = d.listLocked(), true
			case from < d.index || over:
				a, answer = ListAnswer{Index: d.index, Endpoints: []Entry{}}, true
				for _, name := range d.order {
					if d.changed[name] > from {
						a.Endpoints = append(a.Endpoints, d.entries[name])
					}
				}
			}
		}
		d.mu.Unlock()
		if answer {
			raw, _ := json.Marshal(a)
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write(raw)
			d.c.Log("discovery: told version %d, snapshot %v, %d entries, to %s", a.Index, a.Snapshot,
				len(a.Endpoints), r.RemoteAddr)
			return
		}
		select {
		case <-news:
		case <-end.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}
