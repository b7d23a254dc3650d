package proxy

import (
	"context"

	"wrenspread/balancer"
)

// requestMaintenance puts an endpoint into maintenance or ends its maintenance. When it returns nil, the
// change applies to all attempts that this process writes from then on, and has been forwarded to the linked
// processes.
func (srv *Server) requestMaintenance(ctx context.Context, name string, on bool) error {
	ctx, cancel := context.WithTimeout(ctx, maintenanceTimeout)
	defer cancel()
	completed := make(chan error, 1)
	select {
	case srv.calls <- func() {
		if _, listed := srv.listedEndpoints[name]; !listed && !srv.inMaintenance[name] {
			completed <- errUnknownBackend
			return
		}
		srv.setMaintenance(name, on)
		completed <- nil
	}:
	case <-srv.ended:
		return errEnded
	case <-ctx.Done():
		return ctx.Err()
	}
	err := <-completed // without a timeout, as the loop has begun the call
	if err == nil {
		srv.forwardMaintenance(nil, name, on)
	}
	return err
}

// setMaintenance changes the maintenance of an endpoint in the pool and in the balancer. An endpoint that
// leaves the list stays in maintenance, and keeps its ID until its maintenance ends.
func (srv *Server) setMaintenance(name string, on bool) {
	srv.log.Info("maintenance changed", "backend", name, "on", on)
	id := srv.endpointIDs.idOf(name)
	srv.pool.barBackend(id, on)
	srv.handle(balancer.Maintenance{Endpoint: id, On: on})
	if delete(srv.inMaintenance, name); on {
		srv.inMaintenance[name] = true
	} else if _, listed := srv.listedEndpoints[name]; !listed {
		srv.endpointIDs.forget(name)
	}
}
