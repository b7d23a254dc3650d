package release

import (
	"context"
	"errors"
	"net/http"

	"wrenspread/internal/agent"
	"wrenspread/internal/registry"
	"wrenspread/internal/registry/client"
)

// ProxyExecutor carries out a release of the proxies themselves. A proxy's agent starts the new version while
// the old one runs, and the old process hands off to the new one. So a proxy needs no maintenance, is not
// drained and is not in the endpoint list. The methods are safe for concurrent use.
type ProxyExecutor struct {
	Registry *client.Client
	Token    registry.FencingToken
	HTTP     *http.Client

	agents agentDirectory
}

// Unavailable returns the proxies that are not ready, and those whose agents do not answer.
func (f *ProxyExecutor) Unavailable(ctx context.Context) (Unavailable, error) {
	agents, err := f.agents.refresh(ctx, f.Registry)
	if err != nil {
		return Unavailable{}, err
	}
	var unavailable Unavailable
	for name, address := range agents {
		status, err := agent.Client{HTTP: f.HTTP}.Status(ctx, address, name)
		if err != nil { // the machine may be lost
			unavailable.Endpoints = append(unavailable.Endpoints, Target{Name: name})
		} else if status.Handoff && !status.Ready {
			unavailable.Endpoints = append(unavailable.Endpoints,
				Target{Name: name, Zone: status.Zone, Type: status.Type, Cell: status.Cell})
		}
	}
	return unavailable, nil
}

// Do carries out an action. Only Replace and Ready need work.
func (f *ProxyExecutor) Do(ctx context.Context, action Action) (done bool, err error) {
	address, err := f.agents.addressOf(action.Target.Name)
	if err != nil {
		return false, err
	}
	caller := agent.Client{HTTP: f.HTTP}
	switch action.Step {
	case Maintenance, Drain, Restore: // the handoff replaces these steps
		return true, nil
	case Replace:
		status, err := caller.SetDesiredState(ctx, address, action.Target.Name,
			agent.DesiredState{Version: action.Version}, f.Token)
		return err == nil && status.Version == action.Version, proxyError(status, action, err)
	}
	status, err := caller.Status(ctx, address, action.Target.Name)
	return err == nil && status.Version == action.Version && status.Ready, proxyError(status, action, err)
}

// proxyError returns why a proxy does not serve in the version of an action: err, or the reason that the
// agent reports. It returns nil if there is no error.
func proxyError(status agent.Status, action Action, err error) error {
	switch {
	case err != nil:
		return err
	case status.RejectedVersion == action.Version, status.Version == action.Version && !status.Ready:
		return errors.New(status.Reason)
	}
	return nil
}

// Counts reads the counts of each proxy at the control address that the proxy's agent reports. All requests
// that did not succeed count as failed, also rejected ones, because a version that rejects more requests is
// worse.
func (f *ProxyExecutor) Counts(ctx context.Context, named []string) (map[string]Comparison, error) {
	released := map[string]bool{}
	for _, n := range named {
		released[n] = true
	}
	counts := map[string]Comparison{}
	for name, address := range f.agents.addressesByName() {
		status, err := agent.Client{HTTP: f.HTTP}.Status(ctx, address, name)
		if err != nil || !status.Handoff || status.Control == "" {
			continue
		}
		text, err := fetchStats(ctx, f.HTTP, status.Control)
		if err != nil {
			continue
		}
		var proxyCounts Counts
		forEachStat(text, "app.results.", func(_, counter string, n int) {
			proxyCounts.Requests += n
			if counter != "succeeded" {
				proxyCounts.Failed += n
			}
		})
		comparison := Comparison{Rest: proxyCounts}
		if released[name] {
			comparison = Comparison{Released: proxyCounts}
		}
		counts[name] = comparison
	}
	if len(counts) == 0 {
		return nil, errors.New("read gate counts: no proxy answered")
	}
	return counts, nil
}
