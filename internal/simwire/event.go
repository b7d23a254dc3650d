package simwire

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"

	"wrenspread/balancer"
)

// decodeEvent decodes an event with the given name on the wire.
func decodeEvent(name string, raw json.RawMessage) (InstanceEvent, error) {
	switch name {
	case "submit":
		return decodeRequest(raw)
	case "attempt_end", "probe_result", "streaming":
		return decodeOutcome(name, raw)
	case "due":
		return decodeTimer(raw)
	case "abandoned":
		return decodeAbandoned(raw)
	case "note_from":
		return decodeMessage(raw)
	case "roster_change":
		return decodeList(raw)
	case "up":
		return decodeStart(raw)
	case "retire":
		return InstanceEvent{Retire: true}, nil
	}
	return InstanceEvent{}, errors.New("unknown event")
}

// decodeRequest decodes the arrival of a request. A user_group that is not a string means no tenant.
func decodeRequest(raw json.RawMessage) (InstanceEvent, error) {
	var e struct {
		Req      *string `json:"req"`
		Class    string  `json:"band"`
		Tenant   any     `json:"user_group"`
		Key      string  `json:"partition_key"`
		Timeout  *int64  `json:"patience_left_ns"`
		WorkHint int64   `json:"cost_guess_ns"`
		Flags    int     `json:"flags"`
	}
	if err := json.Unmarshal(raw, &e); err != nil {
		return InstanceEvent{}, err
	}
	if e.Req == nil {
		return InstanceEvent{}, missing("req")
	}
	if e.Timeout == nil {
		return InstanceEvent{}, missing("patience_left_ns")
	}
	tenant, _ := e.Tenant.(string)
	return InstanceEvent{
		Event: balancer.RequestArrived{
			ID:          balancer.RequestID(*e.Req),
			Class:       e.Class,
			Tenant:      tenant,
			Key:         e.Key,
			Timeout:     time.Duration(*e.Timeout),
			WorkHint:    time.Duration(e.WorkHint),
			HasWorkHint: e.Flags&flagWorkHint != 0,
			ClientRetry: e.Flags&flagClientRetry != 0,
			Write:       e.Flags&flagWrite != 0,
		},
	}, nil
}

// decodeTimer decodes the firing of a timer.
func decodeTimer(raw json.RawMessage) (InstanceEvent, error) {
	var e struct {
		Token *int64 `json:"label"`
	}
	if err := json.Unmarshal(raw, &e); err != nil {
		return InstanceEvent{}, err
	}
	if e.Token == nil {
		return InstanceEvent{}, missing("label")
	}
	return InstanceEvent{Event: balancer.TimerFired{Token: *e.Token}}, nil
}

// decodeAbandoned decodes the abandonment of a request by its client.
func decodeAbandoned(raw json.RawMessage) (InstanceEvent, error) {
	var e struct {
		Req *string `json:"req"`
	}
	if err := json.Unmarshal(raw, &e); err != nil {
		return InstanceEvent{}, err
	}
	if e.Req == nil {
		return InstanceEvent{}, missing("req")
	}
	return InstanceEvent{Event: balancer.RequestAbandoned{ID: balancer.RequestID(*e.Req)}}, nil
}

// decodeMessage decodes a gossip message.
func decodeMessage(raw json.RawMessage) (InstanceEvent, error) {
	var e struct {
		From *int   `json:"from"`
		Data []byte `json:"bytes"`
	}
	if err := json.Unmarshal(raw, &e); err != nil {
		return InstanceEvent{}, err
	}
	if e.From == nil {
		return InstanceEvent{}, missing("from")
	}
	return InstanceEvent{Event: balancer.MessageReceived{From: *e.From, Data: e.Data}}, nil
}

// decodeOutcome decodes the end of an attempt or of a load query, or the start of a streamed response.
func decodeOutcome(name string, raw json.RawMessage) (InstanceEvent, error) {
	var e struct {
		Req             *string                    `json:"req"`
		Attempt         *int                       `json:"leg"`
		Endpoint        *uint32                    `json:"backend"`
		RequestAnswered bool                       `json:"over"`
		Elapsed         int64                      `json:"delay_seen_ns"`
		Outcome         *int                       `json:"disposition"`
		LoadReport      map[string]json.RawMessage `json:"feedback"`
	}
	if err := json.Unmarshal(raw, &e); err != nil {
		return InstanceEvent{}, err
	}
	if e.Endpoint == nil {
		return InstanceEvent{}, missing("backend")
	}
	endpoint, elapsed := balancer.EndpointID(*e.Endpoint), time.Duration(e.Elapsed)
	var id balancer.RequestID
	if name != "probe_result" {
		if e.Req == nil {
			return InstanceEvent{}, missing("req")
		}
		if e.Attempt == nil {
			return InstanceEvent{}, missing("leg")
		}
		id = balancer.RequestID(*e.Req)
	}
	if name == "streaming" {
		return InstanceEvent{
			Event: balancer.ResponseStarted{ID: id, Attempt: *e.Attempt, Endpoint: endpoint, Elapsed: elapsed},
		}, nil
	}
	if e.Outcome == nil {
		return InstanceEvent{}, missing("disposition")
	}
	outcome, ok := outcomes[*e.Outcome]
	if !ok {
		return InstanceEvent{}, fmt.Errorf("unknown disposition %d", *e.Outcome)
	}
	report := decodeReport(e.LoadReport)
	if name == "probe_result" {
		return InstanceEvent{
			Event: balancer.LoadQueryEnded{Endpoint: endpoint, Outcome: outcome, Elapsed: elapsed, LoadReport: report},
		}, nil
	}
	return InstanceEvent{
		Event: balancer.AttemptEnded{ID: id, Attempt: *e.Attempt, Endpoint: endpoint,
			RequestAnswered: e.RequestAnswered, Elapsed: elapsed, Outcome: outcome, LoadReport: report},
	}, nil
}

// decodeStart decodes the settings and the seed of a new instance. If the seed on the wire is not an integer,
// the bits of its floating-point value are used as the seed.
func decodeStart(raw json.RawMessage) (InstanceEvent, error) {
	var e struct {
		Seed     *json.Number    `json:"seed"`
		Settings json.RawMessage `json:"profile_data"`
	}
	if err := json.Unmarshal(raw, &e); err != nil {
		return InstanceEvent{}, err
	}
	if e.Seed == nil {
		return InstanceEvent{}, missing("seed")
	}
	if e.Settings == nil {
		return InstanceEvent{}, missing("profile_data")
	}
	seed, err := strconv.ParseUint(e.Seed.String(), 10, 64)
	if err != nil {
		float, floatErr := e.Seed.Float64()
		if floatErr != nil {
			return InstanceEvent{}, fmt.Errorf("seed: %w", err)
		}
		seed = math.Float64bits(float)
	}
	settings, err := DecodeSettings(e.Settings)
	if err != nil {
		return InstanceEvent{}, err
	}
	return InstanceEvent{Start: &Start{Settings: settings, Seed: int64(seed)}}, nil
}
