package release

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"indigotack/internal/agent"
	"indigotack/internal/list/client"
)

// findAgents reads which agent keeps which server or node: addresses, by name.
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
		var card agent.Card
		if err := json.Unmarshal(one.Value, &card); err != nil {
			return nil, fmt.Errorf("%s: %w", r.Key, err)
		}
		for _, s := range card.Servers {
			found[s] = card.Address
		}
	}
	return found, nil
}

// NodesOf gives the program's nodes as their agents have them. An agent that does
// not answer is an error: a plan is checked whole.
func NodesOf(ctx context.Context, k *client.Client, h *http.Client) ([]Target, error) {
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
			all = append(all, Target{Name: name, Address: s.Address, Zone: s.Zone, Type: s.Type, Group: s.Group, Version: s.Version})
		}
	}
	return all, nil
}
