package agent

import (
	"context"
	"fmt"
	"net"
	"net/http"

	"wrenspread/internal/backoff"
	"wrenspread/internal/besteffort"
)

// checkReadiness checks at intervals whether the server is ready, and publishes the result in its status,
// until ctx ends. control is the index of the process's control address.
func (k *supervisor) checkReadiness(ctx context.Context, control int) {
	for ctx.Err() == nil {
		err := k.probeReady(ctx, control)
		if ctx.Err() != nil {
			return
		}
		k.updateStatus(func(s *Status) {
			if s.Ready = err == nil; err != nil {
				s.Reason = err.Error()
			} else {
				s.Reason = ""
			}
		})
		backoff.Sleep(ctx, readyInterval)
	}
}

// probeReady checks once whether the process at a control address is ready, and returns the reason if it is
// not.
func (k *supervisor) probeReady(ctx context.Context, control int) error {
	address := k.server.Address
	if k.server.Handoff {
		address = k.server.Control[control]
	}
	if k.server.Ready == "" {
		c, err := (&net.Dialer{Timeout: readyTimeout}).DialContext(ctx, "tcp", address)
		if err == nil {
			besteffort.Close(c)
		}
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+k.server.Ready, nil)
	if err != nil {
		return err
	}
	resp, err := k.http.Do(req)
	if err != nil {
		return err
	}
	besteffort.Close(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answers %s", k.server.Ready, resp.Status)
	}
	return nil
}
