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

// decodeEvent reads one event by its name on the wire.
func decodeEvent(name string, raw json.RawMessage) (ScheduledEvent, error) {
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
		return ScheduledEvent{Retire: true}, nil
	}
	return ScheduledEvent{}, errors.New("unknown event")
}

func decodeRequest(raw json.RawMessage) (ScheduledEvent, error) {
	var e struct {
		Req      *string `json:"req"`
		Band     string  `json:"band"`
		Group    any     `json:"user_group"`
		Key      string  `json:"partition_key"`
		Patience *int64  `json:"patience_left_ns"`
		Cost     int64   `json:"cost_guess_ns"`
		Flags    int     `json:"flags"`
	}
	if err := json.Unmarshal(raw, &e); err != nil {
		return ScheduledEvent{}, err
	}
	if e.Req == nil {
		return ScheduledEvent{}, missing("req")
	}
	if e.Patience == nil {
		return ScheduledEvent{}, missing("patience_left_ns")
	}
	tenant, _ := e.Group.(string)
	return ScheduledEvent{
		Event: balancer.RequestArrived{
			ID:          balancer.RequestID(*e.Req),
			Class:       e.Band,
			Tenant:      tenant,
			Key:         e.Key,
			Timeout:     time.Duration(*e.Patience),
			WorkHint:    time.Duration(e.Cost),
			HasWorkHint: e.Flags&flagWorkHint != 0,
			ClientRetry: e.Flags&flagClientRetry != 0,
			Write:       e.Flags&flagWrite != 0,
		},
	}, nil
}

func decodeTimer(raw json.RawMessage) (ScheduledEvent, error) {
	var e struct {
		Label *int64 `json:"label"`
	}
	if err := json.Unmarshal(raw, &e); err != nil {
		return ScheduledEvent{}, err
	}
	if e.Label == nil {
		return ScheduledEvent{}, missing("label")
	}
	return ScheduledEvent{Event: balancer.TimerFired{Token: *e.Label}}, nil
}

func decodeAbandoned(raw json.RawMessage) (ScheduledEvent, error) {
	var e struct {
		Req *string `json:"req"`
	}
	if err := json.Unmarshal(raw, &e); err != nil {
		return ScheduledEvent{}, err
	}
	if e.Req == nil {
		return ScheduledEvent{}, missing("req")
	}
	return ScheduledEvent{Event: balancer.RequestAbandoned{ID: balancer.RequestID(*e.Req)}}, nil
}

func decodeMessage(raw json.RawMessage) (ScheduledEvent, error) {
	var e struct {
		From  *int   `json:"from"`
		Bytes []byte `json:"bytes"`
	}
	if err := json.Unmarshal(raw, &e); err != nil {
		return ScheduledEvent{}, err
	}
	if e.From == nil {
		return ScheduledEvent{}, missing("from")
	}
	return ScheduledEvent{Event: balancer.MessageReceived{From: *e.From, Data: e.Bytes}}, nil
}

// decodeOutcome reads the end of an attempt or of a load query, or the start of a streamed response.
func decodeOutcome(name string, raw json.RawMessage) (ScheduledEvent, error) {
	var e struct {
		Req         *string                    `json:"req"`
		Leg         *int                       `json:"leg"`
		Backend     *uint32                    `json:"backend"`
		Over        bool                       `json:"over"`
		Delay       int64                      `json:"delay_seen_ns"`
		Disposition *int                       `json:"disposition"`
		Feedback    map[string]json.RawMessage `json:"feedback"`
	}
	if err := json.Unmarshal(raw, &e); err != nil {
		return ScheduledEvent{}, err
	}
	if e.Backend == nil {
		return ScheduledEvent{}, missing("backend")
	}
	endpoint, elapsed := balancer.EndpointID(*e.Backend), time.Duration(e.Delay)
	var id balancer.RequestID
	if name != "probe_result" {
		if e.Req == nil {
			return ScheduledEvent{}, missing("req")
		}
		if e.Leg == nil {
			return ScheduledEvent{}, missing("leg")
		}
		id = balancer.RequestID(*e.Req)
	}
	if name == "streaming" {
		return ScheduledEvent{
			Event: balancer.ResponseStarted{ID: id, Attempt: *e.Leg, Endpoint: endpoint, Elapsed: elapsed},
		}, nil
	}
	if e.Disposition == nil {
		return ScheduledEvent{}, missing("disposition")
	}
	code, ok := outcomes[*e.Disposition]
	if !ok {
		return ScheduledEvent{}, fmt.Errorf("unknown disposition %d", *e.Disposition)
	}
	report := decodeReport(e.Feedback)
	if name == "probe_result" {
		return ScheduledEvent{
			Event: balancer.LoadQueryEnded{Endpoint: endpoint, Outcome: code, Elapsed: elapsed, LoadReport: report},
		}, nil
	}
	return ScheduledEvent{
		Event: balancer.AttemptEnded{ID: id, Attempt: *e.Leg, Endpoint: endpoint, RequestAnswered: e.Over,
			Elapsed: elapsed, Outcome: code, LoadReport: report},
	}, nil
}

// decodeStart reads the settings and the seed of an instance. A seed that is no integer counts by its bits.
func decodeStart(raw json.RawMessage) (ScheduledEvent, error) {
	var e struct {
		Seed    *json.Number    `json:"seed"`
		Profile json.RawMessage `json:"profile_data"`
	}
	if err := json.Unmarshal(raw, &e); err != nil {
		return ScheduledEvent{}, err
	}
	if e.Seed == nil {
		return ScheduledEvent{}, missing("seed")
	}
	if e.Profile == nil {
		return ScheduledEvent{}, missing("profile_data")
	}
	seed, err := strconv.ParseUint(e.Seed.String(), 10, 64)
	if err != nil {
		f, ferr := e.Seed.Float64()
		if ferr != nil {
			return ScheduledEvent{}, fmt.Errorf("seed: %w", err)
		}
		seed = math.Float64bits(f)
	}
	s, err := DecodeSettings(e.Profile)
	if err != nil {
		return ScheduledEvent{}, err
	}
	return ScheduledEvent{Start: &Start{Settings: s, Seed: int64(seed)}}, nil
}
