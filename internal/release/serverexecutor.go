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

// Proxy is a proxy at which servers are put into maintenance, and whose figures gates read.
type Proxy struct {
	Name    string `koanf:"name"`
	Control string `koanf:"control"`
}

// ServerExecutor is a fleet of servers that agents keep. Its methods are safe for concurrent use.
type ServerExecutor struct {
	Registry *client.Client
	Token    registry.FencingToken
	Proxies  []Proxy
	HTTP     *http.Client
	Grace    time.Duration // for requests in flight at a server that is in maintenance

	mu         sync.Mutex
	agents     agentDirectory
	emptySince map[string]time.Time // when a server has no request in flight left, since it was seen draining
}

// Unavailable returns the servers that the endpoint list has as leaving, and those that agents keep and the
// endpoint list does not have.
func (f *ServerExecutor) Unavailable(ctx context.Context) (Unavailable, error) {
	a, err := f.Registry.Registrations(ctx)
	if err != nil {
		return Unavailable{}, err
	}
	agents, err := f.agents.read(ctx, f.Registry)
	if err != nil {
		return Unavailable{}, err
	}
	var v Unavailable
	listed := map[string]bool{}
	for _, i := range a.Registrations {
		listed[i.Endpoint.Name] = true
		if i.Endpoint.Status != registry.Ready {
			v.Endpoints = append(
				v.Endpoints,
				Target{Name: i.Endpoint.Name, Zone: i.Endpoint.Zone, Type: i.Endpoint.Type, Cell: i.Endpoint.Cell},
			)
		}
	}
	for name, at := range agents {
		if listed[name] {
			continue
		}
		// Its zone went with its entry; one that is upgraded by handoff is a proxy, and in no list.
		if s, err := (agent.Caller{HTTP: f.HTTP}).Status(ctx, at, name); err != nil || !s.Handover {
			v.Endpoints = append(v.Endpoints, Target{Name: name, Zone: s.Zone, Type: s.Type, Cell: s.Cell})
		}
	}
	return v, nil
}

// Do carries an action out.
func (f *ServerExecutor) Do(ctx context.Context, a Action) (done bool, err error) {
	at, err := f.agents.find(a.Target.Name)
	if err != nil {
		return false, err
	}
	call, name := agent.Caller{HTTP: f.HTTP}, a.Target.Name
	switch a.Step {
	case Maintenance:
		err := f.callProxies(ctx, name, "maint")
		return err == nil, err
	case Drain:
		_, err := call.Order(
			ctx,
			at,
			name,
			agent.DesiredState{Version: a.Target.Version, KeepDraining: true},
			f.Token,
		)
		return err == nil && f.isDrained(name), err
	case Replace:
		s, err := call.Order(ctx, at, name, agent.DesiredState{Version: a.Version, KeepDraining: true}, f.Token)
		return err == nil && s.Version == a.Version && s.Running, err
	case Ready:
		s, err := call.Status(ctx, at, name)
		if err == nil && s.Version == a.Version && !s.Ready {
			err = errors.New(s.Reason)
		}
		return err == nil && s.Version == a.Version, err
	}
	s, err := call.Order(ctx, at, name, agent.DesiredState{Version: a.Version}, f.Token)
	if err != nil || !s.Ready || s.Version != a.Version {
		return false, err
	}
	err = f.callProxies(ctx, name, "ready")
	return err == nil, err
}

// isDrained reports whether a server has been in maintenance for its grace period.
func (f *ServerExecutor) isDrained(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.emptySince == nil {
		f.emptySince = map[string]time.Time{}
	}
	at, ok := f.emptySince[name]
	if !ok {
		at = time.Now().Add(f.Grace)
		f.emptySince[name] = at
	}
	if time.Now().Before(at) {
		return false
	}
	delete(f.emptySince, name)
	return true
}

// callProxies has every proxy put a server into maintenance, or take it out. A proxy
// that is not there sends nothing to anybody: nobody listens at its control
// address. One that is there and does not answer is waited for.
func (f *ServerExecutor) callProxies(ctx context.Context, server, call string) error {
	errs := make(chan error, len(f.Proxies))
	for _, n := range f.Proxies {
		go func() {
			err := f.callProxy(ctx, n, server, call)
			if errors.Is(err, syscall.ECONNREFUSED) {
				err = nil
			}
			errs <- err
		}()
	}
	var all []error
	for range f.Proxies {
		all = append(all, <-errs)
	}
	return errors.Join(all...)
}

func (f *ServerExecutor) callProxy(ctx context.Context, n Proxy, server, call string) error {
	req, err := http.NewRequestWithContext(
		ctx,
		http.MethodPost,
		"http://"+n.Control+"/backends/"+url.PathEscape(server)+"/"+call,
		nil,
	)
	if err != nil {
		return err
	}
	req.Header.Set(fencing.Header, fencing.Format(f.Token))
	resp, err := f.HTTP.Do(req)
	if err != nil {
		return fmt.Errorf("node %s: %w", n.Name, err)
	}
	besteffort.Close(resp.Body)
	switch resp.StatusCode {
	case http.StatusOK, http.StatusNotFound: // one that does not know the server sends it nothing
		return nil
	case http.StatusConflict:
		return fmt.Errorf("node %s: %w", n.Name, ErrSuperseded)
	}
	return fmt.Errorf("node %s: %s", n.Name, resp.Status)
}
