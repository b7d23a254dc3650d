package registry

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"
)

// What a command does.
const (
	OpBegin         = "begin"    // a new epoch, in a cluster that has none
	OpRegister      = "register" // Entry, TTL
	OpDrain         = "drain"    // Name
	OpRemove        = "remove"   // Name
	OpExpire        = "expire"   // Overdue
	OpRestore       = "restore"  // Image, with a new epoch
	OpAddReplica    = "member"   // Name, Address: where the others reach a replica
	OpForgetReplica = "forget"   // Name, of a replica

	OpOpenSession   = "session"  // Session: open one, or change its process info
	OpCloseSessions = "close"    // Sessions, Grant
	OpCampaign      = "campaign" // Session's ID, Wishes, Grant
	OpRelease       = "give-up"  // Session's ID, Wishes (their names), Grant
	OpTransfer      = "yield"    // Name, To
	OpBlock         = "block"    // Name, To, On
	OpGrant         = "grant"    // Grant

	OpPutRecord = "put" // Name, Value: a record; without a value it goes
)

var knownOps = []string{
	OpBegin,
	OpRegister,
	OpDrain,
	OpRemove,
	OpExpire,
	OpRestore,
	OpAddReplica,
	OpForgetReplica,
	OpOpenSession,
	OpCloseSessions,
	OpCampaign,
	OpRelease,
	OpTransfer,
	OpBlock,
	OpGrant,
	OpPutRecord,
}

// Bounds on commands.
const (
	MaxID     = 64 // bytes of a write id
	MaxExpire = 1000
	MinTTL    = time.Second
	MaxTTL    = time.Hour
	// bytes of a command as it is logged: a restore of a list of the greatest size with all records
	MaxCommand = 96 << 20
	format     = 1
)

// Command is one step of the state machine, as it stands in the log.
type Command struct {
	Format   int           `json:"v"`
	Op       string        `json:"do"`
	ID       string        `json:"id,omitempty"` // of a write, so that a repeat does not apply twice
	Name     string        `json:"name,omitempty"`
	Endpoint *Endpoint     `json:"entry,omitempty"`
	TTL      time.Duration `json:"ttl,omitempty"` // 0: the entry stays until it is removed
	// the version that the entry must have; 0: it must be absent
	IfVersion     *uint64           `json:"if,omitempty"`
	Expired       []EndpointVersion `json:"overdue,omitempty"`
	Epoch         string            `json:"epoch,omitempty"`
	ReplacesEpoch string            `json:"over,omitempty"` // the epoch that a restore means to replace
	Snapshot      json.RawMessage   `json:"image,omitempty"`
	Address       *Address          `json:"address,omitempty"`

	Value json.RawMessage `json:"value,omitempty"` // of a record

	Token       *FencingToken `json:"fence,omitempty"` // of the holder that writes
	Session     *Session      `json:"session,omitempty"`
	Sessions    []string      `json:"sessions,omitempty"`
	Candidacies []Candidacy   `json:"wishes,omitempty"`
	Grant       []string      `json:"grant,omitempty"` // leases that may be given on in this step
	Process     string        `json:"to,omitempty"`    // a process
	Enable      bool          `json:"on,omitempty"`
}

// EndpointVersion names an entry at the version that is meant.
type EndpointVersion struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
}

// Code says why a command changed nothing.
type Code string

// The codes. Done stands for a command that was carried out, also where it changed nothing.
const (
	Applied          Code = ""
	Conflict         Code = "conflict" // the entry has another version than the command's
	NotFound         Code = "absent"   // there is no such entry
	CapacityExceeded Code = "full"     // the list takes no more entries
	Invalid          Code = "invalid"
	StaleToken       Code = "fenced" // the writer does not hold the lease that it names
)

// Result is what a command came to.
type Result struct {
	Code    Code   `json:"code,omitempty"`
	Reason  string `json:"why,omitempty"`
	Version uint64 `json:"version"` // of the list, after the command
	// version of the entry that it is about; of the one in the way, at a conflict
	EntryVersion uint64 `json:"entry,omitempty"`
}

// Check validates a write before it is logged.
func (c Command) Check() error {
	if len(c.ID) > MaxID {
		return fmt.Errorf("id: %d bytes, %d at most", len(c.ID), MaxID)
	}
	switch c.Op {
	case OpRegister:
		if c.Endpoint == nil {
			return errors.New("entry: missing")
		}
		if c.TTL != 0 && (c.TTL < MinTTL || c.TTL > MaxTTL) {
			return fmt.Errorf("ttl: %v, want 0 or %v to %v", c.TTL, MinTTL, MaxTTL)
		}
		return c.Endpoint.Check()
	case OpDrain, OpRemove, OpForgetReplica:
		return c.checkName()
	case OpExpire:
		if len(c.Expired) > MaxExpire {
			return fmt.Errorf("overdue: %d entries, %d at most", len(c.Expired), MaxExpire)
		}
	case OpAddReplica:
		if err := c.checkName(); err != nil {
			return err
		}
		return c.Address.Check()
	case OpBegin, OpRestore:
		if c.Epoch == "" || len(c.Epoch) > MaxID {
			return fmt.Errorf("epoch: want 1 to %d bytes", MaxID)
		}
	case OpOpenSession, OpCloseSessions, OpCampaign, OpRelease, OpTransfer, OpBlock, OpGrant:
		return c.checkLease()
	case OpPutRecord:
		return c.checkRecord()
	default:
		return fmt.Errorf("do: %q is nothing that is done here", c.Op)
	}
	return nil
}

func (c Command) checkName() error {
	if c.Name == "" || len(c.Name) > MaxText {
		return fmt.Errorf("name: want 1 to %d bytes", MaxText)
	}
	return nil
}

// Encode returns the form in which a command is logged.
func (c Command) Encode() ([]byte, error) {
	c.Format = format
	return json.Marshal(c)
}

// Decode reads a command off the log. One of a later form is an error, since applying a part of it would
// let replicas differ.
func Decode(raw []byte) (Command, error) {
	var c Command
	if len(raw) > MaxCommand {
		return c, fmt.Errorf("a command of %d bytes, %d at most", len(raw), MaxCommand)
	}
	if err := json.Unmarshal(raw, &c); err != nil {
		return c, fmt.Errorf("a command that can't be read: %w", err)
	}
	if c.Format != format {
		return c, fmt.Errorf("a command of form %d, this program knows %d", c.Format, format)
	}
	if !slices.Contains(knownOps, c.Op) {
		return c, fmt.Errorf("a command to %q, which a later program may know", c.Op)
	}
	return c, nil
}
