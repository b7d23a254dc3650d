package simwire

import (
	"encoding/json"
	"fmt"
	"time"

	"wrenspread/balancer"
)

// entry is an entry of the endpoint list on the wire.
type entry struct {
	Backend     *uint32 `json:"backend"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"model"`
	Cell        int     `json:"pod"`
	State       string  `json:"state"`
	Weight      float64 `json:"nominal"`
	StartedAt   int64   `json:"ready_at_ns"`
}

// updateKinds are the kinds of updates by their codes on the wire.
var updateKinds = map[string]balancer.UpdateKind{
	"D": balancer.UpdateIncremental,
	"F": balancer.UpdateComplete,
	"C": balancer.UpdateCached,
	"X": balancer.UpdateFailed,
}

// endpointStates are the states of endpoints by their names on the wire.
var endpointStates = map[string]balancer.EndpointState{
	"ready": balancer.Ready, "draining": balancer.Draining, "gone": balancer.Removed,
}

// decodeList decodes an update of the endpoint list.
func decodeList(raw json.RawMessage) (InstanceEvent, error) {
	var e struct {
		Kind      string  `json:"how"`
		Version   uint64  `json:"version"`
		Endpoints []entry `json:"items"`
	}
	if err := json.Unmarshal(raw, &e); err != nil {
		return InstanceEvent{}, err
	}
	kind, ok := updateKinds[e.Kind]
	if !ok {
		return InstanceEvent{}, fmt.Errorf("unknown how %q", e.Kind)
	}
	update := balancer.EndpointsUpdated{Kind: kind, Version: e.Version}
	for i, listed := range e.Endpoints {
		if listed.Backend == nil {
			return InstanceEvent{}, fmt.Errorf("entry %d: %w", i, missing("backend"))
		}
		state, ok := endpointStates[listed.State]
		if !ok {
			return InstanceEvent{}, fmt.Errorf("entry %d: unknown state %q", i, listed.State)
		}
		update.Endpoints = append(
			update.Endpoints,
			balancer.Endpoint{ID: balancer.EndpointID(*listed.Backend), Zone: listed.Zone,
				MachineType: listed.MachineType, Cell: listed.Cell, State: state,
				Weight: listed.Weight, StartedAt: time.Duration(listed.StartedAt)},
		)
	}
	return InstanceEvent{Event: update}, nil
}
