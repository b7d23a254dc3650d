package release

import (
	"context"
	"errors"
	"net/http"

	"wrenspread/internal/agent"
	"wrenspread/internal/registry"
	"wrenspread/internal/registry/client"
)

// ProxyExecutor is the proxies themselves, whose agents start a new version beside the old one and hand off.
// Nothing has to be drained or listed. Its methods are safe for concurrent use.
type ProxyExecutor struct {
	Registry *client.Client
	Token    registry.FencingToken
	HTTP     *http.Client

	agents agentDirectory
}

// Unavailable returns the proxies that do not serve.
func (f *ProxyExecutor) Unavailable(ctx context.Context) (Unavailable, error) {
	agents, err := f.agents.read(ctx, f.Registry)
	if err != nil {
		return Unavailable{}, err
	}
	var v Unavailable
	for name, at := range agents {
		s, err := agent.Caller{HTTP: f.HTTP}.Status(ctx, at, name)
		if err != nil { // its machine may be lost
			v.Endpoints = append(v.Endpoints, Target{Name: name})
		} else if s.Handover && !s.Ready {
			v.Endpoints = append(v.Endpoints, Target{Name: name, Zone: s.Zone, Type: s.Type, Cell: s.Cell})
		}
	}
	return v, nil
}

// Do carries an action out.
func (f *ProxyExecutor) Do(ctx context.Context, a Action) (done bool, err error) {
	at, err := f.agents.find(a.Target.Name)
	if err != nil {
		return false, err
	}
	call := agent.Caller{HTTP: f.HTTP}
	switch a.Step {
	case Maintenance, Drain, Restore: // the handoff does it
		return true, nil
	case Replace:
		s, err := call.Order(ctx, at, a.Target.Name, agent.DesiredState{Version: a.Version}, f.Token)
		return err == nil && s.Version == a.Version, wrong(s, a, err)
	}
	s, err := call.Status(ctx, at, a.Target.Name)
	return err == nil && s.Version == a.Version && s.Ready, wrong(s, a, err)
}

// wrong says the reason why a proxy does not run its version.
func wrong(s agent.Status, a Action, err error) error {
	switch {
	case err != nil:
		return err
	case s.RejectedVersion == a.Version, s.Version == a.Version && !s.Ready:
		return errors.New(s.Reason)
	}
	return nil
}

// Counts asks every proxy, at the control address that its agent publishes. Whatever was not served counts as
// failed: a version that rejects more than the others is worse.
func (f *ProxyExecutor) Counts(ctx context.Context, named []string) (map[string]Comparison, error) {
	is := map[string]bool{}
	for _, n := range named {
		is[n] = true
	}
	all := map[string]Comparison{}
	for name, at := range f.agents.all() {
		s, err := agent.Caller{HTTP: f.HTTP}.Status(ctx, at, name)
		if err != nil || !s.Handover || s.Control == "" {
			continue
		}
		text, err := readControl(ctx, f.HTTP, s.Control)
		if err != nil {
			continue
		}
		var c Counts
		figures(text, "app.results.", func(_, what string, n int) {
			c.Requests += n
			if what != "succeeded" {
				c.Failed += n
			}
		})
		p := Comparison{Rest: c}
		if is[name] {
			p = Comparison{Released: c}
		}
		all[name] = p
	}
	if len(all) == 0 {
		return nil, errors.New("no node tells its figures")
	}
	return all, nil
}
