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

// findAgents reads the agents' records and returns the addresses of the agents by the names of their servers
// and proxies.
func findAgents(ctx context.Context, registryClient *client.Client) (map[string]string, error) {
	records, err := registryClient.Records(ctx, agent.RecordPrefix)
	if err != nil {
		return nil, err
	}
	found := map[string]string{}
	for _, record := range records {
		latest, err := registryClient.Record(ctx, record.Key)
		if err != nil {
			return nil, err
		}
		var agentRecord agent.Record
		if err := json.Unmarshal(latest.Value, &agentRecord); err != nil {
			return nil, fmt.Errorf("decode agent's record %s: %w", record.Key, err)
		}
		for _, name := range agentRecord.Servers {
			found[name] = agentRecord.Address
		}
	}
	return found, nil
}

// agentDirectory caches the addresses of the agents by the names of their servers and proxies. It is safe for
// concurrent use.
type agentDirectory struct {
	mu        sync.Mutex
	addresses map[string]string
}

// refresh reads the agents' records and replaces the cached addresses.
func (a *agentDirectory) refresh(
	ctx context.Context, registryClient *client.Client) (map[string]string, error) {
	found, err := findAgents(ctx, registryClient)
	if err != nil {
		return nil, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.addresses = found
	return found, nil
}

// addressOf returns the cached address of the agent that manages a server or a proxy.
func (a *agentDirectory) addressOf(name string) (string, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if address := a.addresses[name]; address != "" {
		return address, nil
	}
	return "", fmt.Errorf("no agent keeps %s", name)
}

// addressesByName returns the cached addresses. The caller does not change the map.
func (a *agentDirectory) addressesByName() map[string]string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.addresses
}

// ProxyTargets returns the proxies as targets, with the attributes that their agents report. If an agent does
// not answer, ProxyTargets returns an error, because a plan is checked against the complete list of proxies.
func ProxyTargets(
	ctx context.Context, registryClient *client.Client, httpClient *http.Client) ([]Target, error) {
	agents, err := findAgents(ctx, registryClient)
	if err != nil {
		return nil, err
	}
	var targets []Target
	for name, address := range agents {
		status, err := agent.Client{HTTP: httpClient}.Status(ctx, address, name)
		if err != nil {
			return nil, err
		}
		if status.Handoff {
			targets = append(
				targets,
				Target{Name: name, Address: status.Address, Zone: status.Zone, Type: status.Type,
					Cell: status.Cell, Version: status.Version},
			)
		}
	}
	return targets, nil
}
