package balancer

import "maps"

// setMaintenance starts or ends the maintenance of an endpoint by order of an operator, whatever the endpoint
// list says. The endpoint is restarted during maintenance. When maintenance ends, what was learned of its
// failures and latency is therefore dropped, and it begins a slow start.
func (b *Balancer) setMaintenance(event Maintenance) {
	if event.On != b.maintenance[event.Endpoint] {
		if e := b.endpoints[event.Endpoint]; e != nil {
			b.changeMaintenance(e, event.On)
		}
		if event.On {
			b.maintenance[event.Endpoint] = true
		} else {
			b.rememberEndOfMaintenance(event.Endpoint)
			delete(b.maintenance, event.Endpoint)
		}
	}
	b.updateCandidates()
}

func (b *Balancer) changeMaintenance(e *endpoint, on bool) {
	e.inMaintenance = on
	if on {
		b.emit(CloseIdleConnections{Endpoint: e.ID}) // the other connections are closed as their attempts end
		return
	}
	e.forgetFailures(b.now)
	e.excessLatency = 0
	b.beginSlowStart(e, b.now)
}

// rememberEndOfMaintenance stores when the maintenance of an endpoint ended, and drops the times that are
// longer ago than a slow start takes. An endpoint that is not listed at that time, or that leaves the subset
// and returns, begins its slow start from the stored time.
func (b *Balancer) rememberEndOfMaintenance(id EndpointID) {
	maps.DeleteFunc(b.maintenanceEnded, func(_ EndpointID, endedAt Time) bool {
		return b.now-endedAt > b.settings.SlowStartDuration
	})
	b.maintenanceEnded[id] = b.now
}
