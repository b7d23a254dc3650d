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

func (f *slowStartFleet) sortEndpoints() {
	for id := 1; id <= f.endpoints; id++ {
		f.listOrder = append(f.listOrder, balancer.EndpointID(id))
	}
	if f.subsetFactor > 0 {
		slices.SortFunc(f.listOrder, func(a, b balancer.EndpointID) int { return cmp.Compare(balancer.Position(a), balancer.Position(b)) })
	}
}

func (f *slowStartFleet) settingsOf(i int) balancer.Settings {
	settings := f.baseSettings
	if settings.ProxyIndex = f.proxyIndexes[i]; f.proxyCountsDiffer && i%2 == 1 {
		settings.Proxies /= 2
	}
	return settings
}

// relativeCapacity is the capacity of an endpoint relative to the mean.
func (f *slowStartFleet) relativeCapacity(id int) float64 {
	if f.endpointCapacity == 0 {
		return 1
	} else if id == 1 {
		return f.endpointCapacity
	}
	return 0.6 + 0.8*float64(id%2)
}

// listFor returns the present list of a proxy: all endpoints, or those of its subset.
func (f *slowStartFleet) listFor(i int) balancer.EndpointsUpdated {
	update := balancer.EndpointsUpdated{Kind: balancer.UpdateComplete}
	for _, id := range f.listOrder {
		listed := balancer.Endpoint{ID: id, Zone: "z", Weight: 8 * f.relativeCapacity(int(id))}
		if id == 1 && f.now >= f.start {
			listed.StartedAt = f.start
		}
		if id > 1 || f.downFor > 0 || listed.StartedAt > 0 {
			update.Endpoints = append(update.Endpoints, listed)
		}
	}
	if f.subsetFactor > 0 {
		update.TotalEndpoints, update.SubsetStart = len(update.Endpoints), balancer.StartPosition(f.proxyIndexes[i])
		first := sort.Search(update.TotalEndpoints, func(i int) bool { return balancer.Position(update.Endpoints[i].ID) >= update.SubsetStart })
		subsetSize := max(5, 6*update.TotalEndpoints/f.settingsOf(i).Proxies+1)
		update.Endpoints = slices.Concat(update.Endpoints[first:], update.Endpoints[:first])[:min(update.TotalEndpoints, f.subsetFactor*subsetSize)]
	}
	if slices.ContainsFunc(update.Endpoints, func(s balancer.Endpoint) bool { return s.StartedAt > 0 }) {
		f.listedAt[i] = min(f.listedAt[i], f.now)
	}
	return update
}

// sendStart sends a proxy the incremental update with the start of endpoint 1, if that is in its subset.
func (f *slowStartFleet) sendStart(i int) {
	update := f.listFor(i)
	update.Kind, update.Endpoints = balancer.UpdateIncremental, slices.DeleteFunc(update.Endpoints, func(s balancer.Endpoint) bool { return s.ID != 1 })
	f.feed(i, update)
}

// moveSubset increases the index of a proxy by three, and gives the proxy the subset of the new index.
func (f *slowStartFleet) moveSubset(i int) {
	before := slices.Contains(f.balancers[i].BaseSubset(), 1)
	f.proxyIndexes[i] = (f.proxyIndexes[i] + 3) % len(f.balancers)
	f.feed(i, balancer.SettingsChanged{Settings: f.settingsOf(i)})
	f.feed(i, f.listFor(i))
	if now := slices.Contains(f.balancers[i].BaseSubset(), 1); now && !before {
		f.subsetEntries++
	} else if before && !now {
		f.subsetExits++
	}
}

// The bound on the sum of all proxies' attempts also holds where proxies know subsets that change during a
// slow start: the endpoint leaves the subsets of some proxies and enters those of others, which must know how
// far its slow start has progressed. The proxies' estimates of how many proxies share an endpoint must be
// right on average. At each proxy they must be right within a factor of two, or of four where proxies use the
// smallest number of endpoints, as ring positions are random. Proxies whose settings name half the number of
// proxies may estimate half as many.
func TestProxiesWithMovingSubsetsDoNotOverloadSlowStart(t *testing.T) {
	const s = time.Second
	for _, c := range []struct {
		name     string
		scenario slowStartScenario
	}{
		{"new endpoint, subsets move", slowStartScenario{load: 0.7, subsetsMove: true}},
		{"returned endpoint, high load, subsets move", slowStartScenario{load: 1.1, downFor: s, subsetsMove: true}},
		{"burst, subsets move, proxy counts differ", slowStartScenario{load: 0.7, burstAt: 3 * s, subsetsMove: true, proxyCountsDiffer: true}},
		{"high load, proxies restart, proxy counts differ", slowStartScenario{load: 1.1, proxiesRestart: true, subsetsMove: true, proxyCountsDiffer: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for _, size := range []struct {
				proxies, endpoints int
				factor             float64
			}{{30, 48, 2}, {300, 42, 4}} {
				if size.proxies == 300 && c.scenario.load < 1 {
					continue // the simulation is slow: only the hard scenarios
				}
				scenario := c.scenario
				scenario.proxies, scenario.endpoints, scenario.subsetFactor, scenario.hidesQueue, scenario.endpointRate, scenario.minLatency = size.proxies, size.endpoints, 2, true, 16, 30*time.Millisecond
				scenario.overloadFactor, scenario.overloadDuration, scenario.slowStartDuration = 3, 1500*time.Millisecond, 10*s
				f := simulateSlowStart(scenario, int64(size.proxies))
				windows, overloaded, worst, used := f.countOverloadedWindows()
				low, mean, high := f.proxiesPerEndpointRatios()
				t.Logf("%d proxies: %.0f%% of the budget used, at most %.2f of the bound; %d entered; estimated over true proxies per endpoint: %.2f to %.2f, %.3f in all",
					scenario.proxies, 100*used, worst, f.subsetEntries, low, high, mean)
				if overloaded > 0 {
					t.Errorf("%d proxies: %d of %d windows over the bound, the worst at %.2f of it", scenario.proxies, overloaded, windows, worst)
				}
				if windows < 20 || used < 0.05 {
					t.Errorf("%d proxies: only %d windows and %.3f of the budget used", scenario.proxies, windows, used)
				}
				minRatio := 1.0
				if scenario.proxyCountsDiffer {
					minRatio = 0.5
				}
				if low < minRatio/size.factor || high > size.factor || mean < 0.99*minRatio || mean > 1.01 {
					t.Errorf("%d proxies estimate %.2f to %.2f times the true proxies per endpoint, %.3f in all", scenario.proxies, low, high, mean)
				}
				if f.subsetEntries == 0 || f.subsetExits == 0 && !scenario.proxyCountsDiffer {
					t.Errorf("%d proxies: endpoint 1 left %d subsets and entered %d", scenario.proxies, f.subsetExits, f.subsetEntries)
				}
			}
		})
	}
}

// proxiesPerEndpointRatios compares the proxies' estimates of how many proxies share an endpoint with the
// true numbers. low and high are the extremes over the proxies, each relative to the mean over the endpoints
// that the proxy uses. mean relates the mean estimate to the mean over all endpoints.
func (f *slowStartFleet) proxiesPerEndpointRatios() (low, mean, high float64) {
	users, pairs := map[balancer.EndpointID]float64{}, 0.0
	for _, proxy := range f.balancers {
		for _, id := range proxy.BaseSubset() {
			users[id], pairs = users[id]+1, pairs+1
		}
	}
	low = math.Inf(1)
	for _, proxy := range f.balancers {
		sum, baseSubset := 0.0, proxy.BaseSubset()
		for _, id := range baseSubset {
			sum += users[id]
		}
		ratio := proxy.ProxiesPerEndpoint() / (sum / float64(len(baseSubset)))
		low, high = math.Min(low, ratio), math.Max(high, ratio)
		mean += proxy.ProxiesPerEndpoint() / float64(len(f.balancers)) / (pairs / float64(f.endpoints))
	}
	return low, mean, high
}
