package tenant

import (
	"encoding/json"
	"fmt"
	"time"
)

// State is where a tenant is. Each is written before anything is done about it.
type State string

// The states. What is asked for waits as an order (Ask); what is checked becomes
// reserved by the same write, so that no two tenants are let in on one floor.
const (
	Refused   State = "refused"   // not let in; its names and floors are free
	Reserved  State = "reserved"  // its names and floors are its own; nodes prepare it and answer 503
	Active    State = "active"    // served
	Suspended State = "suspended" // known, and refused
	Changing  State = "changing"  // nodes prepare the next form and serve the present one
	Switching State = "switching" // nodes answer 503 for what differs
	Draining  State = "draining"  // refused for good; what is open ends
	Gone      State = "gone"      // a tombstone: its floors are free, its names not yet
)

// rests tells whether a tenant takes an order.
func (s State) rests() bool {
	return s == Refused || s == Active || s == Suspended || s == Gone
}

// owns tells whether a tenant's limits and their floors are taken.
func (s State) owns() bool { return s != Refused && s != Gone }

// Tenant is a tenant on record.
type Tenant struct {
	V     int           `json:"v"`
	Name  string        `json:"name"`
	State State         `json:"state"`
	Now   *Form         `json:"now,omitempty"`      // in effect; of one that is gone, the last
	Next  *Form         `json:"next,omitempty"`     // to come; none while it goes
	Order string        `json:"order,omitempty"`    // the id of the last order that was taken
	Done  []Outcome     `json:"done,omitempty"`     // of the last orders, as many as mostDone
	Until time.Duration `json:"until_ns,omitempty"` // on the conductors' clock: a tombstone or a refusal goes then

	more    fields
	version uint64
}

// Outcome is what came of an order.
type Outcome struct {
	Order string `json:"order"`
	Why   string `json:"why,omitempty"` // it was not followed, or taken back; empty: it is done
}

const mostDone = 4 // so that whoever asked finds its order's outcome after others

// finish notes what came of the order that was taken last.
func (t *Tenant) finish(why string) {
	t.Done = append(t.Done, Outcome{t.Order, why})
	if n := len(t.Done) - mostDone; n > 0 {
		t.Done = t.Done[n:]
	}
}

const form = 1 // of all documents; a later one may add fields, never change what one means

// The orders.
const (
	Add     = "add"
	Change  = "change"
	Suspend = "suspend"
	Resume  = "resume"
	Remove  = "remove"
	Forget  = "forget" // a node: the operator vouches that it serves nothing any more
)

// Order is what an operator asks for.
type Order struct {
	V    int    `json:"v"`
	ID   string `json:"id"`
	Do   string `json:"do"`
	Form *Form  `json:"form,omitempty"`
	Who  string `json:"who,omitempty"`
}

// Ask is an order on record, about a tenant or, to forget, a node. One a name waits
// at a time, so that changes of one tenant go in order.
type Ask struct {
	Key     string
	Name    string
	Version uint64
	Order   Order
}

// Member is a node that may serve tenants. Enrolled it stays until it has left, is
// forgotten, or must have stopped by its own hold: a step that has to have all nodes
// waits for it, there or not.
type Member struct {
	Name   string `json:"name"`
	Life   uint64 `json:"life"`              // a restart is another; it serves nothing before the book has it
	HoldMS int64  `json:"hold_ms,omitempty"` // it stops after so long without word; 0: never
}

// Hold is how long a member serves on without word; 0: for ever.
func (m Member) Hold() time.Duration { return time.Duration(m.HoldMS) * time.Millisecond }

// Book has the members, and the conductors' clock, which goes on from one to the next.
type Book struct {
	V       int           `json:"v"`
	Clock   time.Duration `json:"clock_ns"`
	Members []Member      `json:"members,omitempty"` // by name
}

// Keys of the records.
const (
	Prefix       = "tenant/"
	AskPrefix    = "tenant-ask/"
	ForgetPrefix = "tenant-forget/"
	BookKey      = "catalogue/members"
	HeadKey      = "catalogue/head"
	PagePrefix   = "catalogue/page/"
)

// askKey is where an order waits.
func askKey(do, name string) string {
	if do == Forget {
		return ForgetPrefix + name
	}
	return AskPrefix + name
}

// DecodeTenant reads a record.
func DecodeTenant(raw []byte, version uint64) (*Tenant, error) {
	t := &Tenant{version: version}
	if err := json.Unmarshal(raw, t); err != nil {
		return nil, fmt.Errorf("tenant: a record that can't be read: %w", err)
	}
	if t.V != form || t.Name == "" {
		return nil, fmt.Errorf("tenant: record %q of form %d, this program knows %d", t.Name, t.V, form)
	}
	served := t.State == Active || t.State == Suspended || t.State == Changing || t.State == Switching || t.State == Draining
	if !served && !(t.State == Reserved && t.Next != nil) && t.State != Refused && t.State != Gone || served && t.Now == nil {
		return nil, fmt.Errorf("tenant: %s is %q and lacks a form", t.Name, t.State)
	}
	return t, nil
}
