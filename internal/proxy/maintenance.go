package proxy

import (
	"context"

	"wrenspread/balancer"
)

// maintain puts a server into maintenance or takes it out. It returns when that
// is in force for all later sends.
func (n *Server) maintain(ctx context.Context, name string, on bool) error {
	ctx, cancel := context.WithTimeout(ctx, maintenanceTimeout)
	defer cancel()
	done := make(chan error, 1)
	select {
	case n.calls <- func() {
		if _, listed := n.listedEndpoints[name]; !listed && !n.inMaintenance[name] {
			done <- errUnknownBackend
			return
		}
		n.setMaintenance(name, on)
		done <- nil
	}:
	case <-n.ended:
		return errEnded
	case <-ctx.Done():
		return ctx.Err()
	}
	err := <-done // the loop has it in hand
	if err == nil {
		n.forwardMaintenance(nil, name, on)
	}
	return err
}

func (n *Server) setMaintenance(name string, on bool) {
	n.log.Info("maintenance", "backend", name, "on", on)
	id := n.endpointIDs.idOf(name)
	n.pool.holdBackend(id, on)
	n.handle(balancer.Maintenance{Endpoint: id, On: on})
	if delete(n.inMaintenance, name); on {
		n.inMaintenance[name] = true
	} else if _, listed := n.listedEndpoints[name]; !listed {
		n.endpointIDs.forget(name)
	}
}
