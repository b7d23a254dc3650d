package balancer

import "maps"

// setMaintenance starts or ends the maintenance of an endpoint by order of an operator, whatever the endpoint
// list says. An endpoint is restarted during maintenance: afterwards nothing that was learned of it counts,
// and it begins a slow start.
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

// rememberEndOfMaintenance stores the time for the duration of a slow start. Endpoints that are not listed,
// or that leave the subset and return, need it.
func (b *Balancer) rememberEndOfMaintenance(id EndpointID) {
	maps.DeleteFunc(b.maintenanceEnded, func(_ EndpointID, endedAt Time) bool {
		return b.now-endedAt > b.settings.SlowStartDuration
	})
	b.maintenanceEnded[id] = b.now
}
