package proxy

import (
	"context"

	"wrenspread/balancer"
)

// maintain puts a server into maintenance or takes it out. It returns when that
// is in force for all later sends.
func (n *Node) maintain(ctx context.Context, name string, on bool) error {
	ctx, cancel := context.WithTimeout(ctx, maintainTime)
	defer cancel()
	done := make(chan error, 1)
	select {
	case n.calls <- func() {
		if _, listed := n.listed[name]; !listed && !n.banned[name] {
			done <- errUnknown
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
		n.forward(nil, name, on)
	}
	return err
}

func (n *Node) setMaintenance(name string, on bool) {
	n.log.Info("maintenance", "backend", name, "on", on)
	id := n.ids.of(name)
	n.backends.hold(id, on)
	n.handle(balancer.Maintenance{Endpoint: id, On: on})
	if delete(n.banned, name); on {
		n.banned[name] = true
	} else if _, listed := n.listed[name]; !listed {
		n.ids.forget(name)
	}
}
