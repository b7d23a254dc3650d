package release

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"syscall"
	"time"

	"wrenspread/internal/agent"
	"wrenspread/internal/besteffort"
	"wrenspread/internal/fencing"
	"wrenspread/internal/registry"
	"wrenspread/internal/registry/client"
)

// Proxy is a proxy at which servers are put into maintenance and whose counts gates compare. Control is its
// control address.
type Proxy struct {
	Name    string `koanf:"name"`
	Control string `koanf:"control"`
}

// ServerExecutor carries out a release of servers that agents manage. Its methods are safe for concurrent
// use.
type ServerExecutor struct {
	Registry *client.Client
	Token    registry.FencingToken
	Proxies  []Proxy
	HTTP     *http.Client
	Grace    time.Duration // time that requests in flight get to complete at a server in maintenance

	mu        sync.Mutex
	agents    agentDirectory
	drainedAt map[string]time.Time // by server: the time at which its grace period ends
}

// Unavailable returns the servers that are not ready in the endpoint list, and those that agents manage but
// that are not in the list.
func (f *ServerExecutor) Unavailable(ctx context.Context) (Unavailable, error) {
	list, err := f.Registry.Registrations(ctx)
	if err != nil {
		return Unavailable{}, err
	}
	agents, err := f.agents.refresh(ctx, f.Registry)
	if err != nil {
		return Unavailable{}, err
	}
	var unavailable Unavailable
	listed := map[string]bool{}
	for _, registration := range list.Registrations {
		listed[registration.Endpoint.Name] = true
		if registration.Endpoint.Status != registry.Ready {
			unavailable.Endpoints = append(
				unavailable.Endpoints,
				Target{Name: registration.Endpoint.Name, Zone: registration.Endpoint.Zone,
					Type: registration.Endpoint.Type, Cell: registration.Endpoint.Cell},
			)
		}
	}
	for name, address := range agents {
		if listed[name] {
			continue
		}
		// Only the agent knows the zone of a server that is not in the list. A server with Handoff is a proxy,
		// which is never in the list and therefore not counted.
		if status, err := (agent.Client{HTTP: f.HTTP}).Status(ctx, address, name); err != nil || !status.Handoff {
			unavailable.Endpoints = append(unavailable.Endpoints,
				Target{Name: name, Zone: status.Zone, Type: status.Type, Cell: status.Cell})
		}
	}
	return unavailable, nil
}

// Do carries out an action or a part of it.
func (f *ServerExecutor) Do(ctx context.Context, action Action) (done bool, err error) {
	address, err := f.agents.addressOf(action.Target.Name)
	if err != nil {
		return false, err
	}
	caller, name := agent.Client{HTTP: f.HTTP}, action.Target.Name
	switch action.Step {
	case Maintenance:
		err := f.callProxies(ctx, name, "maint")
		return err == nil, err
	case Drain:
		_, err := caller.SetDesiredState(
			ctx,
			address,
			name,
			agent.DesiredState{Version: action.Target.Version, KeepDraining: true},
			f.Token,
		)
		return err == nil && f.isDrained(name), err
	case Replace:
		status, err := caller.SetDesiredState(ctx, address, name,
			agent.DesiredState{Version: action.Version, KeepDraining: true}, f.Token)
		return err == nil && status.Version == action.Version && status.Running, err
	case Ready:
		status, err := caller.Status(ctx, address, name)
		if err == nil && status.Version == action.Version && !status.Ready {
			err = errors.New(status.Reason)
		}
		return err == nil && status.Version == action.Version, err
	}
	status, err := caller.SetDesiredState(ctx, address, name,
		agent.DesiredState{Version: action.Version}, f.Token)
	if err != nil || !status.Ready || status.Version != action.Version {
		return false, err
	}
	err = f.callProxies(ctx, name, "ready")
	return err == nil, err
}

// isDrained reports whether the grace period of a server is over. The first call for a server starts the
// period. After a call that returned true, the next call starts another period.
func (f *ServerExecutor) isDrained(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.drainedAt == nil {
		f.drainedAt = map[string]time.Time{}
	}
	drained, ok := f.drainedAt[name]
	if !ok {
		drained = time.Now().Add(f.Grace)
		f.drainedAt[name] = drained
	}
	if time.Now().Before(drained) {
		return false
	}
	delete(f.drainedAt, name)
	return true
}

// callProxies calls each proxy to put a server into maintenance ("maint") or to end its maintenance
// ("ready"). A proxy that refuses the connection is taken as done: no process listens at its control address,
// so it sends no requests to the server. For a proxy that accepts the connection and does not answer,
// callProxies returns an error, so that the action is repeated.
func (f *ServerExecutor) callProxies(ctx context.Context, server, action string) error {
	results := make(chan error, len(f.Proxies))
	for _, proxy := range f.Proxies {
		go func() {
			err := f.callProxy(ctx, proxy, server, action)
			if errors.Is(err, syscall.ECONNREFUSED) {
				err = nil
			}
			results <- err
		}()
	}
	var failures []error
	for range f.Proxies {
		failures = append(failures, <-results)
	}
	return errors.Join(failures...)
}

// callProxy calls one proxy for callProxies.
func (f *ServerExecutor) callProxy(ctx context.Context, proxy Proxy, server, action string) error {
	req, err := http.NewRequestWithContext(
		ctx,
		http.MethodPost,
		"http://"+proxy.Control+"/backends/"+url.PathEscape(server)+"/"+action,
		nil,
	)
	if err != nil {
		return err
	}
	req.Header.Set(fencing.Header, fencing.Format(f.Token))
	resp, err := f.HTTP.Do(req)
	if err != nil {
		return fmt.Errorf("node %s: %w", proxy.Name, err)
	}
	besteffort.Close(resp.Body)
	switch resp.StatusCode {
	case http.StatusOK, http.StatusNotFound: // a proxy that does not know the server sends no requests to it
		return nil
	case http.StatusConflict:
		return fmt.Errorf("node %s: %w", proxy.Name, ErrSuperseded)
	}
	return fmt.Errorf("node %s: %s", proxy.Name, resp.Status)
}
