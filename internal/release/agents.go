package release

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"

	"wrenspread/internal/agent"
	"wrenspread/internal/registry/client"
)

// findAgents reads which agent keeps which server or proxy: addresses, by name.
func findAgents(ctx context.Context, k *client.Client) (map[string]string, error) {
	all, err := k.Records(ctx, agent.RecordPrefix)
	if err != nil {
		return nil, err
	}
	found := map[string]string{}
	for _, r := range all {
		one, err := k.Record(ctx, r.Key)
		if err != nil {
			return nil, err
		}
		var card agent.Record
		if err := json.Unmarshal(one.Value, &card); err != nil {
			return nil, fmt.Errorf("%s: %w", r.Key, err)
		}
		for _, s := range card.Servers {
			found[s] = card.Address
		}
	}
	return found, nil
}

// agentDirectory are the addresses of agents by what they keep, as they were last read. It
// is safe for concurrent use.
type agentDirectory struct {
	mu        sync.Mutex
	addresses map[string]string
}

// read reads them anew.
func (a *agentDirectory) read(ctx context.Context, k *client.Client) (map[string]string, error) {
	found, err := findAgents(ctx, k)
	if err != nil {
		return nil, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.addresses = found
	return found, nil
}

// find finds the agent that keeps a server or a proxy.
func (a *agentDirectory) find(name string) (string, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at := a.addresses[name]; at != "" {
		return at, nil
	}
	return "", fmt.Errorf("no agent keeps %s", name)
}

// all returns every agent by what it keeps.
func (a *agentDirectory) all() map[string]string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.addresses
}

// ProxyTargets gives the proxies themselves as their agents have them. An agent that does not answer is an
// error: a plan is checked as a whole.
func ProxyTargets(ctx context.Context, k *client.Client, h *http.Client) ([]Target, error) {
	agents, err := findAgents(ctx, k)
	if err != nil {
		return nil, err
	}
	var all []Target
	for name, at := range agents {
		s, err := agent.Caller{HTTP: h}.Status(ctx, at, name)
		if err != nil {
			return nil, err
		}
		if s.Handover {
			all = append(
				all,
				Target{Name: name, Address: s.Address, Zone: s.Zone, Type: s.Type, Cell: s.Cell, Version: s.Version},
			)
		}
	}
	return all, nil
}
