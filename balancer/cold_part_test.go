package balancer_test

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"testing"
	"time"

	"wrenspread/balancer"
)

func (f *coldFleet) sort() {
	for id := 1; id <= f.servers; id++ {
		f.order = append(f.order, balancer.EndpointID(id))
	}
	if f.parts > 0 {
		slices.SortFunc(f.order, func(a, b balancer.EndpointID) int { return cmp.Compare(balancer.Place(a), balancer.Place(b)) })
	}
}

func (f *coldFleet) settings(i int) balancer.Settings {
	set := f.set
	if set.ProxyIndex = f.number[i]; f.sizes && i%2 == 1 {
		set.Proxies /= 2
	}
	return set
}

// sizeOf is a server's size: what it can do, over what the mean one can.
func (f *coldFleet) sizeOf(id int) float64 {
	if f.size == 0 {
		return 1
	} else if id == 1 {
		return f.size
	}
	return 0.6 + 0.8*float64(id%2)
}

// list is what a node is told now: all servers, or those of its part.
func (f *coldFleet) list(i int) balancer.EndpointsUpdated {
	u := balancer.EndpointsUpdated{Kind: balancer.UpdateComplete}
	for _, id := range f.order {
		s := balancer.Endpoint{ID: id, Zone: "z", Weight: 8 * f.sizeOf(int(id))}
		if id == 1 && f.now >= f.start {
			s.StartedAt = f.start
		}
		if id > 1 || f.down > 0 || s.StartedAt > 0 {
			u.Endpoints = append(u.Endpoints, s)
		}
	}
	if f.parts > 0 {
		u.TotalEndpoints, u.SubsetStart = len(u.Endpoints), balancer.StartPoint(f.number[i])
		first := sort.Search(u.TotalEndpoints, func(i int) bool { return balancer.Place(u.Endpoints[i].ID) >= u.SubsetStart })
		reach := max(5, 6*u.TotalEndpoints/f.settings(i).Proxies+1)
		u.Endpoints = slices.Concat(u.Endpoints[first:], u.Endpoints[:first])[:min(u.TotalEndpoints, f.parts*reach)]
	}
	if slices.ContainsFunc(u.Endpoints, func(s balancer.Endpoint) bool { return s.StartedAt > 0 }) {
		f.told[i] = min(f.told[i], f.now)
	}
	return u
}

// tell tells a node of server 1's start, if that is in its part: the change alone.
func (f *coldFleet) tell(i int) {
	u := f.list(i)
	u.Kind, u.Endpoints = balancer.UpdateIncremental, slices.DeleteFunc(u.Endpoints, func(s balancer.Endpoint) bool { return s.ID != 1 })
	f.feed(i, u)
}

// move gives a node the number after the next two, and the part that goes with it.
func (f *coldFleet) move(i int) {
	before := slices.Contains(f.nodes[i].Homes(), 1)
	f.number[i] = (f.number[i] + 3) % len(f.nodes)
	f.feed(i, balancer.SettingsChanged{Settings: f.settings(i)})
	f.feed(i, f.list(i))
	if now := slices.Contains(f.nodes[i].Homes(), 1); now && !before {
		f.entered++
	} else if before && !now {
		f.left++
	}
}

// The sum holds where nodes know parts, and these change while a server is cold: it leaves those of some nodes, and comes
// into those of others, which have to take it for as cold as it is. What nodes take for the count of those that work with
// a server is true on average, and at each node within a factor of two, or four where it works with the least number of
// servers, as places lie by chance; nodes that take the fleet for half as large add a factor of two, downwards.
func TestColdServerUnderTheSumOfParts(t *testing.T) {
	const s = time.Second
	for _, c := range []struct {
		name string
		day  coldDay
	}{
		{"joined, parts move", coldDay{load: 0.7, moves: true}},
		{"returned, busy, parts move", coldDay{load: 1.1, down: s, moves: true}},
		{"burst, parts move, sizes differ", coldDay{load: 0.7, burst: 3 * s, moves: true, sizes: true}},
		{"busy, nodes restart, sizes differ", coldDay{load: 1.1, restarts: true, moves: true, sizes: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for _, size := range []struct {
				nodes, servers int
				factor         float64
			}{{30, 48, 2}, {300, 42, 4}} {
				if size.nodes == 300 && c.day.load < 1 {
					continue // long to play: the hard ones only
				}
				d := c.day
				d.nodes, d.servers, d.parts, d.flat, d.rate, d.base = size.nodes, size.servers, 2, true, 16, 30*time.Millisecond
				d.factor, d.window, d.ramp = 3, 1500*time.Millisecond, 10*s
				f := playCold(d, int64(size.nodes))
				windows, over, worst, used := f.windows()
				low, mean, high := f.sharers()
				t.Logf("%d nodes: %.0f%% used, at most %.2f of the bound; %d came in; sharers taken for %.2f to %.2f of the true, %.3f in all",
					d.nodes, 100*used, worst, f.entered, low, high, mean)
				if over > 0 {
					t.Errorf("%d nodes: %d of %d windows over, the worst %.2f of the bound", d.nodes, over, windows, worst)
				}
				if windows < 20 || used < 0.05 {
					t.Errorf("%d nodes: only %d windows, %.3f of the budget", d.nodes, windows, used)
				}
				least := 1.0
				if d.sizes {
					least = 0.5
				}
				if low < least/size.factor || high > size.factor || mean < 0.99*least || mean > 1.01 {
					t.Errorf("%d nodes take sharers for %.2f to %.2f times the true ones, %.3f in all", d.nodes, low, high, mean)
				}
				if f.entered == 0 || f.left == 0 && !d.sizes {
					t.Errorf("%d nodes: server 1 left %d and came into %d", d.nodes, f.left, f.entered)
				}
			}
		})
	}
}

// sharers gives the least and the greatest of what nodes take for the number that works with a server, over how many do
// with those that the node works with, on average; and the mean of all nodes, over that of all servers.
func (f *coldFleet) sharers() (low, mean, high float64) {
	with, pairs := map[balancer.EndpointID]float64{}, 0.0
	for _, m := range f.nodes {
		for _, id := range m.Homes() {
			with[id], pairs = with[id]+1, pairs+1
		}
	}
	low = math.Inf(1)
	for _, m := range f.nodes {
		sum, homes := 0.0, m.Homes()
		for _, id := range homes {
			sum += with[id]
		}
		part := m.Sharers() / (sum / float64(len(homes)))
		low, high = math.Min(low, part), math.Max(high, part)
		mean += m.Sharers() / float64(len(f.nodes)) / (pairs / float64(f.servers))
	}
	return low, mean, high
}
