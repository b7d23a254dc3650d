package proxy

import (
	"context"

	"wrenspread/balancer"
)

// maintain puts a server into maintenance or takes it out. It returns when that
// is in force for all later sends.
func (srv *Server) maintain(ctx context.Context, name string, on bool) error {
	ctx, cancel := context.WithTimeout(ctx, maintenanceTimeout)
	defer cancel()
	done := make(chan error, 1)
	select {
	case srv.calls <- func() {
		if _, listed := srv.listedEndpoints[name]; !listed && !srv.inMaintenance[name] {
			done <- errUnknownBackend
			return
		}
		srv.setMaintenance(name, on)
		done <- nil
	}:
	case <-srv.ended:
		return errEnded
	case <-ctx.Done():
		return ctx.Err()
	}
	err := <-done // the loop has it in hand
	if err == nil {
		srv.forwardMaintenance(nil, name, on)
	}
	return err
}

func (srv *Server) setMaintenance(name string, on bool) {
	srv.log.Info("maintenance", "backend", name, "on", on)
	id := srv.endpointIDs.idOf(name)
	srv.pool.barBackend(id, on)
	srv.handle(balancer.Maintenance{Endpoint: id, On: on})
	if delete(srv.inMaintenance, name); on {
		srv.inMaintenance[name] = true
	} else if _, listed := srv.listedEndpoints[name]; !listed {
		srv.endpointIDs.forget(name)
	}
}
