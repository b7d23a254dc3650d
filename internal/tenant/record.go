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
	Rejected  State = "refused"   // not let in; its names and floors are free
	Reserved  State = "reserved"  // its names and floors are its own; proxies prepare it and answer 503
	Active    State = "active"    // served
	Suspended State = "suspended" // known, and refused
	Changing  State = "changing"  // proxies prepare the next spec and serve the present one
	Switching State = "switching" // proxies answer 503 for what differs
	Draining  State = "draining"  // refused for good; requests in flight end
	Removed   State = "gone"      // a tombstone: its floors are free, its names not yet
)

// isSettled reports whether a tenant takes an order.
func (s State) isSettled() bool {
	return s == Rejected || s == Active || s == Suspended || s == Removed
}

// ownsLimits reports whether a tenant's limits and their floors are taken.
func (s State) ownsLimits() bool { return s != Rejected && s != Removed }

// Tenant is a tenant on record.
type Tenant struct {
	Format   int       `json:"v"`
	Name     string    `json:"name"`
	State    State     `json:"state"`
	Current  *Spec     `json:"now,omitempty"`   // in effect; of one that is gone, the last
	Next     *Spec     `json:"next,omitempty"`  // to come; none while it goes
	Order    string    `json:"order,omitempty"` // the id of the last order that was taken
	Outcomes []Outcome `json:"done,omitempty"`  // of the last orders, as many as maxOutcomes
	// on the controllers' clock: a tombstone or a refusal goes then
	ExpiresAt time.Duration `json:"until_ns,omitempty"`

	unknownFields rawFields
	version       uint64
}

// Outcome is what came of an order.
type Outcome struct {
	Order  string `json:"order"`
	Reason string `json:"why,omitempty"` // it was not followed, or taken back; empty: it is done
}

const maxOutcomes = 4 // so that whoever asked finds its order's outcome after others

// finish notes what came of the order that was taken last.
func (t *Tenant) finish(why string) {
	t.Outcomes = append(t.Outcomes, Outcome{t.Order, why})
	if n := len(t.Outcomes) - maxOutcomes; n > 0 {
		t.Outcomes = t.Outcomes[n:]
	}
}

const format = 1 // of all documents; a later one may add fields, never change what one means

// The orders.
const (
	OrderAdd          = "add"
	OrderChange       = "change"
	OrderSuspend      = "suspend"
	OrderResume       = "resume"
	OrderRemove       = "remove"
	OrderForgetMember = "forget" // a proxy: the operator vouches that it serves nothing any more
)

// Order is what an operator asks for.
type Order struct {
	Format   int    `json:"v"`
	ID       string `json:"id"`
	Op       string `json:"do"`
	Spec     *Spec  `json:"form,omitempty"`
	Operator string `json:"who,omitempty"`
}

// PendingOrder is an order on record, about a tenant or, to forget, a proxy. One a name waits
// at a time, so that changes of one tenant go in order.
type PendingOrder struct {
	Key     string
	Name    string
	Version uint64
	Order   Order
}

// Member is a proxy that may serve tenants. Enrolled it stays until it has left, is forgotten, or must have
// stopped by its own maximal staleness: a step that has to have all proxies waits for it, there or not.
type Member struct {
	Name string `json:"name"`
	// a restart is another; it serves nothing before the member record has it
	Generation uint64 `json:"life"`
	// it stops after so long without contact with the registry; 0: never
	MaxStalenessMS int64 `json:"hold_ms,omitempty"`
}

// MaxStaleness is how long a member serves on without contact with the registry; 0: for ever.
func (m Member) MaxStaleness() time.Duration {
	return time.Duration(m.MaxStalenessMS) * time.Millisecond
}

// MemberRecord has the members, and the controllers' clock, which goes on from one to the next.
type MemberRecord struct {
	Format  int           `json:"v"`
	Clock   time.Duration `json:"clock_ns"`
	Members []Member      `json:"members,omitempty"` // by name
}

// Keys of the records.
const (
	Prefix       = "tenant/"
	OrderPrefix  = "tenant-ask/"
	ForgetPrefix = "tenant-forget/"
	MembersKey   = "catalogue/members"
	HeadKey      = "catalogue/head"
	PagePrefix   = "catalogue/page/"
)

// orderKey is where an order waits.
func orderKey(do, name string) string {
	if do == OrderForgetMember {
		return ForgetPrefix + name
	}
	return OrderPrefix + name
}

// DecodeTenant reads a record.
func DecodeTenant(raw []byte, version uint64) (*Tenant, error) {
	t := &Tenant{version: version}
	if err := json.Unmarshal(raw, t); err != nil {
		return nil, fmt.Errorf("tenant: a record that can't be read: %w", err)
	}
	if t.Format != format || t.Name == "" {
		return nil, fmt.Errorf("tenant: record %q of form %d, this program knows %d", t.Name, t.Format, format)
	}
	served := t.State == Active || t.State == Suspended || t.State == Changing || t.State == Switching ||
		t.State == Draining
	if !served && (t.State != Reserved || t.Next == nil) && t.State != Rejected && t.State != Removed ||
		served && t.Current == nil {
		return nil, fmt.Errorf("tenant: %s is %q and lacks a form", t.Name, t.State)
	}
	return t, nil
}
