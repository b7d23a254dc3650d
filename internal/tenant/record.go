package tenant

import (
	"encoding/json"
	"fmt"
	"time"
)

// State is a tenant's state on record. A state is written before the controller acts on it.
type State string

// The states. A request to add a tenant waits as a PendingOrder. The write that accepts it makes the tenant
// Reserved, so that two tenants can't be accepted for the same floor.
const (
	Rejected  State = "refused"   // not accepted; its names and floors are free
	Reserved  State = "reserved"  // its names and floors are reserved; proxies prepare it and answer 503
	Active    State = "active"    // served
	Suspended State = "suspended" // proxies know the tenant and reject its requests
	Changing  State = "changing"  // proxies prepare the next spec and serve by the current one
	Switching State = "switching" // proxies answer 503 for requests on which the two specs differ
	Draining  State = "draining"  // proxies reject its requests; requests in flight end
	Removed   State = "gone"      // a tombstone: its floors are free, its names are not yet
)

// isSettled reports whether a tenant in this state can take its next order.
func (s State) isSettled() bool {
	return s == Rejected || s == Active || s == Suspended || s == Removed
}

// ownsLimits reports whether a tenant in this state owns its limits and their floors.
func (s State) ownsLimits() bool { return s != Rejected && s != Removed }

// Tenant is a tenant on record.
type Tenant struct {
	Format   int       `json:"v"`
	Name     string    `json:"name"`
	State    State     `json:"state"`
	Current  *Spec     `json:"now,omitempty"`   // spec in effect; of a removed tenant, the last spec
	Next     *Spec     `json:"next,omitempty"`  // spec to take effect next; nil during a removal
	Order    string    `json:"order,omitempty"` // id of the last order that was taken
	Outcomes []Outcome `json:"done,omitempty"`  // outcomes of the last orders, at most maxOutcomes
	// ExpiresAt is the time, by the controllers' clock, at which the record of a removed or rejected tenant is
	// deleted; 0: never.
	ExpiresAt time.Duration `json:"until_ns,omitempty"`

	unknownFields rawFields
	version       uint64 // version of the record
}

// Outcome is the result of an order.
type Outcome struct {
	Order  string `json:"order"`
	Reason string `json:"why,omitempty"` // why the order was rejected or reverted; empty: it was carried out
}

const maxOutcomes = 4 // lets an operator find the outcome of an order after the next three orders

// recordOutcome appends the outcome of the last order that was taken; reason is Outcome.Reason.
func (t *Tenant) recordOutcome(reason string) {
	t.Outcomes = append(t.Outcomes, Outcome{t.Order, reason})
	if excess := len(t.Outcomes) - maxOutcomes; excess > 0 {
		t.Outcomes = t.Outcomes[excess:]
	}
}

// documentFormat is the format of all documents except the head of a hash tree. Later versions of the program
// may add fields, but may not change the meaning of a field.
const documentFormat = 1

// The operations that an order may ask for.
const (
	OrderAdd          = "add"
	OrderChange       = "change"
	OrderSuspend      = "suspend"
	OrderResume       = "resume"
	OrderRemove       = "remove"
	OrderForgetMember = "forget" // removes a proxy that, as the operator knows, serves nothing
)

// Order is an operator's request for a change.
type Order struct {
	Format   int    `json:"v"`
	ID       string `json:"id"`
	Op       string `json:"do"`
	Spec     *Spec  `json:"form,omitempty"`
	Operator string `json:"who,omitempty"`
}

// PendingOrder is an order on record that waits for the controller. Only one order per name can wait, so that
// the changes of a tenant are made in order.
type PendingOrder struct {
	Key     string // key of the order's record
	Name    string // name of the tenant, or of the proxy for OrderForgetMember
	Version uint64
	Order   Order
}

// Member is a proxy that may serve tenants. It stays on the member record until it has left, an operator
// removes it (OrderForgetMember), or it must have stopped by its own maximal staleness. Until then, each step
// that needs all members waits for it, even if it has no session.
type Member struct {
	Name string `json:"name"`
	// Generation differs between a process and its restart. A proxy serves no tenant before the member record
	// has its generation.
	Generation uint64 `json:"life"`
	// MaxStalenessMS is the time, in ms, after which the proxy stops serving tenants if it has no contact with
	// the registry; 0: it never stops.
	MaxStalenessMS int64 `json:"hold_ms,omitempty"`
}

// MaxStaleness returns for how long a member serves tenants without contact with the registry; 0: without
// limit.
func (m Member) MaxStaleness() time.Duration {
	return time.Duration(m.MaxStalenessMS) * time.Millisecond
}

// MemberRecord is the record of the members and of the controllers' clock, which each controller continues
// from the value on record.
type MemberRecord struct {
	Format  int           `json:"v"`
	Clock   time.Duration `json:"clock_ns"`
	Members []Member      `json:"members,omitempty"` // sorted by name
}

// Keys, and prefixes of the keys, of the records in the registry.
const (
	TenantPrefix = "tenant/"
	OrderPrefix  = "tenant-ask/"
	ForgetPrefix = "tenant-forget/"
	MembersKey   = "catalogue/members"
	HeadKey      = "catalogue/head"
	PagePrefix   = "catalogue/page/"
)

// orderKey returns the key of the record in which an order waits.
func orderKey(op, name string) string {
	if op == OrderForgetMember {
		return ForgetPrefix + name
	}
	return OrderPrefix + name
}

// DecodeTenant decodes a tenant's record; version is the version of the record.
func DecodeTenant(raw []byte, version uint64) (*Tenant, error) {
	t := &Tenant{version: version}
	if err := json.Unmarshal(raw, t); err != nil {
		return nil, fmt.Errorf("tenant: decode tenant: %w", err)
	}
	if t.Format != documentFormat || t.Name == "" {
		return nil, fmt.Errorf(
			"tenant: decode tenant %q: unsupported format %d, want %d",
			t.Name,
			t.Format,
			documentFormat,
		)
	}
	served := t.State == Active || t.State == Suspended || t.State == Changing || t.State == Switching ||
		t.State == Draining
	if !served && (t.State != Reserved || t.Next == nil) && t.State != Rejected && t.State != Removed ||
		served && t.Current == nil {
		return nil, fmt.Errorf("tenant: decode tenant %s: state %q is unknown or lacks its spec", t.Name, t.State)
	}
	return t, nil
}
