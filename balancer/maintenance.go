package balancer

import "maps"

// setMaintenance takes an endpoint out on an operator's order, or back. It holds whatever the list says. As
// an endpoint in maintenance is restarted, nothing that was learned of it counts afterwards, and it begins a
// slow start.
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
		b.emit(CloseIdleConnections{Endpoint: e.ID}) // those in use are closed as their attempts end
		return
	}
	e.forgetFailures(b.now)
	e.excessLatency = 0
	b.beginSlowStart(e, b.now)
}

// rememberEndOfMaintenance keeps the time for endpoints that are not listed, or leave the subset and come
// back, while they may be in their slow start.
func (b *Balancer) rememberEndOfMaintenance(id EndpointID) {
	maps.DeleteFunc(b.maintenanceEnded, func(_ EndpointID, endedAt Time) bool {
		return b.now-endedAt > b.settings.SlowStartDuration
	})
	b.maintenanceEnded[id] = b.now
}
