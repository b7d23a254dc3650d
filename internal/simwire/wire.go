// Package simwire converts between the JSON lines of the simulator and the types of package balancer. The
// simulator drives several balancers, which it numbers: the instances. The simulator's names (submit, leg,
// roster, note) occur only in this package. The settings of a proxy have the same encoding as those of the
// simulator, so package proxy decodes them with this package, too.
package simwire

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"wrenspread/balancer"
)

// The codes of outcomes on the wire.
const (
	codeOK            = 0
	codeCancelled     = 1
	codeTimeout       = 4
	codeRejected      = 8
	codeNotSent       = 9
	codeReset         = 10
	codeError         = 13
	codeConnectFailed = 14
)

// The bits of the flags of a submit event.
const (
	flagWorkHint    = 1
	flagClientRetry = 2
	flagWrite       = 4
)

// outcomes are the outcomes by their codes on the wire.
var outcomes = map[int]balancer.Outcome{
	codeOK:            balancer.OK,
	codeCancelled:     balancer.Cancelled,
	codeTimeout:       balancer.TimedOut,
	codeRejected:      balancer.Rejected,
	codeNotSent:       balancer.NotSent,
	codeReset:         balancer.ConnectionReset,
	codeError:         balancer.ServerError,
	codeConnectFailed: balancer.ConnectFailed,
}

// Start is an up event, which starts an instance.
type Start struct {
	Settings balancer.Settings
	Seed     int64
}

// InstanceEvent is an event for an instance: its start (Start), its end (Retire), or an event that its
// balancer handles (Event).
type InstanceEvent struct {
	Start  *Start
	Retire bool
	Event  balancer.Event
}

// Group is the list of events for one instance.
type Group struct {
	Proxy  int // number of the instance
	Events []InstanceEvent
}

// Batch is one line from the simulator. All of its events occur at the time Now.
type Batch struct {
	Now    balancer.Time
	Groups []Group
}

// DecodeBatch decodes one line from the simulator.
func DecodeBatch(line []byte) (Batch, error) {
	var message struct {
		Now    *int64 `json:"sim_time_ns"`
		Groups []struct {
			ProxyIndex *int                         `json:"node_id"`
			Events     []map[string]json.RawMessage `json:"happened"`
		} `json:"groups"`
	}
	if err := json.Unmarshal(line, &message); err != nil {
		return Batch{}, fmt.Errorf("batch: %w", err)
	}
	if message.Now == nil {
		return Batch{}, errors.New("batch: sim_time_ns is missing")
	}
	decoded := Batch{Now: time.Duration(*message.Now)}
	for i, received := range message.Groups {
		if received.ProxyIndex == nil {
			return Batch{}, fmt.Errorf("group %d: node_id is missing", i)
		}
		group := Group{Proxy: *received.ProxyIndex}
		for j, keyed := range received.Events {
			position := fmt.Sprintf("node %d, event %d", *received.ProxyIndex, j)
			if len(keyed) != 1 {
				return Batch{}, fmt.Errorf("%s: want one key, have %d", position, len(keyed))
			}
			for name, raw := range keyed {
				event, err := decodeEvent(name, raw)
				if err != nil {
					return Batch{}, fmt.Errorf("%s, %s: %w", position, name, err)
				}
				group.Events = append(group.Events, event)
			}
		}
		decoded.Groups = append(decoded.Groups, group)
	}
	return decoded, nil
}

// missing is the error that the key of this name is absent.
type missing string

func (m missing) Error() string { return string(m) + " is missing" }
