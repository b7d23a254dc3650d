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
	DoBegin    = "begin"    // a new epoch, in a cluster that has none
	DoRegister = "register" // Entry, TTL
	DoDrain    = "drain"    // Name
	DoRemove   = "remove"   // Name
	DoExpire   = "expire"   // Overdue
	DoRestore  = "restore"  // Image, with a new epoch
	DoMember   = "member"   // Name, Address: where the others reach a replica
	DoForget   = "forget"   // Name, of a replica

	DoSession  = "session"  // Session: open, or change its word
	DoClose    = "close"    // Sessions, Grant
	DoCampaign = "campaign" // Session's ID, Wishes, Grant
	DoGiveUp   = "give-up"  // Session's ID, Wishes (their names), Grant
	DoYield    = "yield"    // Name, To
	DoBlock    = "block"    // Name, To, On
	DoGrant    = "grant"    // Grant

	DoPut = "put" // Name, Value: a record; without a value it goes
)

var known = []string{DoBegin, DoRegister, DoDrain, DoRemove, DoExpire, DoRestore, DoMember, DoForget,
	DoSession, DoClose, DoCampaign, DoGiveUp, DoYield, DoBlock, DoGrant, DoPut}

// Bounds on commands.
const (
	MaxID      = 64 // bytes of a write id
	MaxExpire  = 1000
	MinTTL     = time.Second
	MaxTTL     = time.Hour
	MaxCommand = 96 << 20 // bytes of a command as it is logged: a restore of a full list with all records
	form       = 1
)

// Command is one step of the state machine, as it stands in the log.
type Command struct {
	Form    int             `json:"v"`
	Do      string          `json:"do"`
	ID      string          `json:"id,omitempty"` // of a write, so that a repeat does not apply twice
	Name    string          `json:"name,omitempty"`
	Entry   *Entry          `json:"entry,omitempty"`
	TTL     time.Duration   `json:"ttl,omitempty"` // 0: the entry stays until it is removed
	If      *uint64         `json:"if,omitempty"`  // the version that the entry must have; 0: it must be absent
	Overdue []Lease         `json:"overdue,omitempty"`
	Epoch   string          `json:"epoch,omitempty"`
	Over    string          `json:"over,omitempty"` // the epoch that a restore means to replace
	Image   json.RawMessage `json:"image,omitempty"`
	Address *Address        `json:"address,omitempty"`

	Value json.RawMessage `json:"value,omitempty"` // of a record

	Fence    *Fence   `json:"fence,omitempty"` // of the holder that writes
	Session  *Session `json:"session,omitempty"`
	Sessions []string `json:"sessions,omitempty"`
	Wishes   []Wish   `json:"wishes,omitempty"`
	Grant    []string `json:"grant,omitempty"` // duties that may be given on in this step
	To       string   `json:"to,omitempty"`    // a process
	On       bool     `json:"on,omitempty"`
}

// Lease names an entry at the version that is meant.
type Lease struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
}

// Code says why a command changed nothing.
type Code string

// The codes. Done stands for a command that was carried out, also where it changed nothing.
const (
	Done     Code = ""
	Conflict Code = "conflict" // the entry has another version than the command's
	Absent   Code = "absent"   // there is no such entry
	Full     Code = "full"     // the list takes no more entries
	Invalid  Code = "invalid"
	Fenced   Code = "fenced" // the writer does not hold the duty that it names
)

// Result is what a command came to.
type Result struct {
	Code    Code   `json:"code,omitempty"`
	Why     string `json:"why,omitempty"`
	Version uint64 `json:"version"`         // of the list, after the command
	Entry   uint64 `json:"entry,omitempty"` // version of the entry that it is about; of the one in the way, at a conflict
}

// Check says what is wrong with a write before it is logged.
func (c Command) Check() error {
	if len(c.ID) > MaxID {
		return fmt.Errorf("id: %d bytes, %d at most", len(c.ID), MaxID)
	}
	switch c.Do {
	case DoRegister:
		if c.Entry == nil {
			return errors.New("entry: missing")
		}
		if c.TTL != 0 && (c.TTL < MinTTL || c.TTL > MaxTTL) {
			return fmt.Errorf("ttl: %v, want 0 or %v to %v", c.TTL, MinTTL, MaxTTL)
		}
		return c.Entry.Check()
	case DoDrain, DoRemove:
		if c.Name == "" || len(c.Name) > MaxText {
			return fmt.Errorf("name: want 1 to %d bytes", MaxText)
		}
	case DoExpire:
		if len(c.Overdue) > MaxExpire {
			return fmt.Errorf("overdue: %d entries, %d at most", len(c.Overdue), MaxExpire)
		}
	case DoMember, DoForget:
		if c.Name == "" || len(c.Name) > MaxText {
			return fmt.Errorf("name: want 1 to %d bytes", MaxText)
		}
		if c.Do == DoMember {
			return c.Address.Check()
		}
	case DoBegin, DoRestore:
		if c.Epoch == "" || len(c.Epoch) > MaxID {
			return fmt.Errorf("epoch: want 1 to %d bytes", MaxID)
		}
	case DoSession, DoClose, DoCampaign, DoGiveUp, DoYield, DoBlock, DoGrant:
		return c.checkDuty()
	case DoPut:
		return c.checkRecord()
	default:
		return fmt.Errorf("do: %q is nothing that is done here", c.Do)
	}
	return nil
}

// Encode gives the form in which a command is logged.
func (c Command) Encode() ([]byte, error) {
	c.Form = form
	return json.Marshal(c)
}

// Decode reads a command off the log. One of a later form is an error, since
// applying a part of it would let replicas differ.
func Decode(raw []byte) (Command, error) {
	var c Command
	if len(raw) > MaxCommand {
		return c, fmt.Errorf("a command of %d bytes, %d at most", len(raw), MaxCommand)
	}
	if err := json.Unmarshal(raw, &c); err != nil {
		return c, fmt.Errorf("a command that can't be read: %w", err)
	}
	if c.Form != form {
		return c, fmt.Errorf("a command of form %d, this program knows %d", c.Form, form)
	}
	if !slices.Contains(known, c.Do) {
		return c, fmt.Errorf("a command to %q, which a later program may know", c.Do)
	}
	return c, nil
}
