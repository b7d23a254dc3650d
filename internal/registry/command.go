package registry

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Operations of a command. The comments name the fields of Command that the operation uses.
const (
	OpBegin         = "begin"    // Epoch: begin the list of a cluster that has no epoch yet
	OpRegister      = "register" // Endpoint, TTL, IfVersion
	OpDrain         = "drain"    // Name, IfVersion
	OpRemove        = "remove"   // Name, IfVersion
	OpExpire        = "expire"   // Expired
	OpRestore       = "restore"  // Snapshot, Epoch (the new one), ReplacesEpoch
	OpAddReplica    = "member"   // Name, Address: where the other replicas reach this replica
	OpForgetReplica = "forget"   // Name of a replica

	OpOpenSession   = "session"  // Session: open it, or change its process info
	OpCloseSessions = "close"    // Sessions, Grant
	OpCampaign      = "campaign" // Session's ID, Candidacies, Grant
	OpRelease       = "give-up"  // Session's ID, Candidacies (only the leases' names), Grant
	OpTransfer      = "yield"    // Name of a lease, Process
	OpBlock         = "block"    // Name of a lease, Process, Enable
	OpGrant         = "grant"    // Grant

	OpPutRecord = "put" // Name (the key), Value, IfVersion; without a value the record is removed
)

// knownOps are the operations that this program can apply.
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
	MaxID     = 64          // bytes of a write id
	MaxExpire = 1000        // entries that one command expires
	MinTTL    = time.Second // shortest time to live of an entry
	MaxTTL    = time.Hour   // longest time to live of an entry
	// MaxCommand is the size of a logged command in bytes. It is enough for a restore of the largest list with
	// all records.
	MaxCommand = 96 << 20
	// formatVersion is the format of logged commands and of snapshots.
	formatVersion = 1
)

// Command is one step of the state machine in the form in which it is logged.
type Command struct {
	Format   int           `json:"v"`
	Op       string        `json:"do"`
	ID       string        `json:"id,omitempty"` // id of a write: a repeat of the write is not applied again
	Name     string        `json:"name,omitempty"`
	Endpoint *Endpoint     `json:"entry,omitempty"`
	TTL      time.Duration `json:"ttl,omitempty"` // 0: the entry stays until it is removed
	// IfVersion is the version that the entry must have; 0: the entry must be absent; nil: any
	IfVersion     *uint64           `json:"if,omitempty"`
	Expired       []EndpointVersion `json:"overdue,omitempty"`
	Epoch         string            `json:"epoch,omitempty"`
	ReplacesEpoch string            `json:"over,omitempty"` // epoch of the list that a restore replaces
	Snapshot      json.RawMessage   `json:"image,omitempty"`
	Address       *Address          `json:"address,omitempty"`

	Value json.RawMessage `json:"value,omitempty"` // value of a record

	Token       *FencingToken `json:"fence,omitempty"` // of the lease holder that writes
	Session     *Session      `json:"session,omitempty"`
	Sessions    []string      `json:"sessions,omitempty"`
	Candidacies []Candidacy   `json:"wishes,omitempty"`
	Grant       []string      `json:"grant,omitempty"` // leases that may be granted by this command
	Process     string        `json:"to,omitempty"`    // successor of a transfer, or the process to be blocked
	Enable      bool          `json:"on,omitempty"`    // true: block the process; false: unblock it
}

// EndpointVersion names an entry at a version. An expiry has no effect if the entry has another version.
type EndpointVersion struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
}

// Code is the outcome of a command: Applied, or why the command was not carried out.
type Code string

// Codes of results. Applied means that the command was carried out, even if it changed nothing.
const (
	Applied          Code = ""
	Conflict         Code = "conflict" // the entry does not have the version that the command requires
	NotFound         Code = "absent"   // there is no such entry, record, session, lease or candidate
	CapacityExceeded Code = "full"     // a bound on entries, records, sessions, leases or replicas is reached
	Invalid          Code = "invalid"
	StaleToken       Code = "fenced" // the writer does not hold the lease of its fencing token
)

// Result is the outcome of a command.
type Result struct {
	Code    Code   `json:"code,omitempty"`
	Reason  string `json:"why,omitempty"`
	Version uint64 `json:"version"` // version of the list after the command
	// EntryVersion is the version of the command's entry or record after the command; after a Conflict, the
	// version that it has; after a StaleToken, the number of the lease's last grant
	EntryVersion uint64 `json:"entry,omitempty"`
}

// Check validates a command before it is logged.
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

// checkName validates the length of the name of an endpoint or a replica.
func (c Command) checkName() error {
	if c.Name == "" || len(c.Name) > MaxTextBytes {
		return fmt.Errorf("name: want 1 to %d bytes", MaxTextBytes)
	}
	return nil
}

// Encode returns the command in the form in which it is logged.
func (c Command) Encode() ([]byte, error) {
	c.Format = formatVersion
	return json.Marshal(c)
}

// Decode parses a logged command. A command of a later format is an error: replicas would diverge if some of
// them applied only the fields that they know.
func Decode(raw []byte) (Command, error) {
	var c Command
	if len(raw) > MaxCommand {
		return c, fmt.Errorf("a command of %d bytes, %d at most", len(raw), MaxCommand)
	}
	if err := json.Unmarshal(raw, &c); err != nil {
		return c, fmt.Errorf("a command that can't be read: %w", err)
	}
	if c.Format != formatVersion {
		return c, fmt.Errorf("a command of form %d, this program knows %d", c.Format, formatVersion)
	}
	if !slices.Contains(knownOps, c.Op) {
		return c, fmt.Errorf("a command to %q, which a later program may know", c.Op)
	}
	return c, nil
}
