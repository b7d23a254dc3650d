package simwire

import (
	"encoding/json"
	"fmt"
	"time"

	"wrenspread/balancer"
)

type entry struct {
	Backend *uint32 `json:"backend"`
	Zone    string  `json:"zone"`
	Model   string  `json:"model"`
	Pod     int     `json:"pod"`
	State   string  `json:"state"`
	Nominal float64 `json:"nominal"`
	ReadyAt int64   `json:"ready_at_ns"`
}

var updateKinds = map[string]balancer.UpdateKind{
	"D": balancer.UpdateIncremental,
	"F": balancer.UpdateComplete,
	"C": balancer.UpdateCached,
	"X": balancer.UpdateFailed,
}

var states = map[string]balancer.EndpointState{
	"ready": balancer.Ready, "draining": balancer.Draining, "gone": balancer.Removed,
}

func decodeList(raw json.RawMessage) (ScheduledEvent, error) {
	var e struct {
		How     string  `json:"how"`
		Version uint64  `json:"version"`
		Items   []entry `json:"items"`
	}
	if err := json.Unmarshal(raw, &e); err != nil {
		return ScheduledEvent{}, err
	}
	kind, ok := updateKinds[e.How]
	if !ok {
		return ScheduledEvent{}, fmt.Errorf("unknown how %q", e.How)
	}
	l := balancer.EndpointsUpdated{Kind: kind, Version: e.Version}
	for i, it := range e.Items {
		if it.Backend == nil {
			return ScheduledEvent{}, fmt.Errorf("entry %d: %w", i, missing("backend"))
		}
		state, ok := states[it.State]
		if !ok {
			return ScheduledEvent{}, fmt.Errorf("entry %d: unknown state %q", i, it.State)
		}
		l.Endpoints = append(
			l.Endpoints,
			balancer.Endpoint{ID: balancer.EndpointID(*it.Backend), Zone: it.Zone, MachineType: it.Model,
				Cell: it.Pod, State: state, Weight: it.Nominal, StartedAt: time.Duration(it.ReadyAt)},
		)
	}
	return ScheduledEvent{Event: l}, nil
}
