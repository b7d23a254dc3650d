package release

import (
	"context"
	"errors"
	"net/http"

	"wrenspread/internal/agent"
	"wrenspread/internal/registry"
	"wrenspread/internal/registry/client"
)

// Programs is the program's nodes, whose agents start a new version beside the old
// one and hand over. Nothing has to be drained or listed. Its methods are safe for
// concurrent use.
type Programs struct {
	List  *client.Client
	Fence registry.FencingToken
	HTTP  *http.Client

	agents agents
}

// View gives the nodes that do not serve.
func (f *Programs) View(ctx context.Context) (View, error) {
	agents, err := f.agents.read(ctx, f.List)
	if err != nil {
		return View{}, err
	}
	var v View
	for name, at := range agents {
		s, err := agent.Caller{HTTP: f.HTTP}.Status(ctx, at, name)
		if err != nil { // its machine may be lost
			v.Out = append(v.Out, Target{Name: name})
		} else if s.Handover && !s.Ready {
			v.Out = append(v.Out, Target{Name: name, Zone: s.Zone, Type: s.Type, Group: s.Group})
		}
	}
	return v, nil
}

// Do carries an action out.
func (f *Programs) Do(ctx context.Context, a Action) (done bool, err error) {
	at, err := f.agents.of(a.Target.Name)
	if err != nil {
		return false, err
	}
	call := agent.Caller{HTTP: f.HTTP}
	switch a.Step {
	case Maint, Drain, Lift: // the handover does it
		return true, nil
	case Replace:
		s, err := call.Order(ctx, at, a.Target.Name, agent.Order{Version: a.Version}, f.Fence)
		return err == nil && s.Version == a.Version, wrong(s, a, err)
	}
	s, err := call.Status(ctx, at, a.Target.Name)
	return err == nil && s.Version == a.Version && s.Ready, wrong(s, a, err)
}

// wrong says what keeps a node from its version.
func wrong(s agent.Status, a Action, err error) error {
	switch {
	case err != nil:
		return err
	case s.Refused == a.Version, s.Version == a.Version && !s.Ready:
		return errors.New(s.Why)
	}
	return nil
}

// Counts asks every node, at the control address that its agent tells. Whatever was
// not served counts as failed: a version that refuses more than the others is worse.
func (f *Programs) Counts(ctx context.Context, named []string) (map[string]Parts, error) {
	is := map[string]bool{}
	for _, n := range named {
		is[n] = true
	}
	all := map[string]Parts{}
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
		p := Parts{Rest: c}
		if is[name] {
			p = Parts{Those: c}
		}
		all[name] = p
	}
	if len(all) == 0 {
		return nil, errors.New("no node tells its figures")
	}
	return all, nil
}
