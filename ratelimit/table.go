// Package ratelimit evaluates the operators' compiled limits. A Table is plain data that internal/policy
// compiles; a proxy asks it for every request (Admit) and keeps the tokens behind the Tokens interface
// (internal/quota). The package does no I/O, reads no clock, and Admit allocates nothing.
//
// A table must be made ready for use by Read or Finalize and must not be changed afterwards; it may then be
// read by any number of goroutines.
package ratelimit

import "time"

// Bounds of a table. Read and Finalize reject a table that exceeds one.
const (
	Format           = 1       // version of the encoding that this package writes; a higher one is rejected
	MaxLimits        = 10_000  // limits of a table, and scopes
	MaxMatchedLimits = 8       // limits that one request can match
	MaxMatchedScopes = 16      // scopes that one request can match
	MaxKeySlots      = 1 << 16 // key slots, all limits together
	MaxWindows       = 8       // schedule windows of one limit
	MaxLevels        = 8       // degradation levels
	MaxName          = 128     // bytes of a scope's value, which has neither a slash nor a colon
)

// Table is a tree of scopes with limits. A request matches a scope if its own attributes and those that the
// scope's ancestors name are equal to the scopes' values, and it is subject to the limits of every scope that
// it matches.
type Table struct {
	Format int `json:"format"`
	// set from the record that made it current; not part of the digest
	Version   uint64             `json:"version"`
	Digest    string             `json:"digest"` // SHA-256 in hex of its JSON with version 0 and no digest
	UTCOffset int                `json:"zone"`   // minutes by which the operators' clock is ahead of UTC
	Scopes    []Scope            `json:"parts"`  // parents before children; the first is the whole fleet
	Limits    []Limit            `json:"limits"` // in the order of their scopes
	Levels    []DegradationLevel `json:"levels"` // the first is level 1

	children map[scopeKey]int32 // scope by parent, attribute and value
	// by scope: bit set of the attributes by which its children are distinguished
	childAttributes []uint8
	firstKeySlot    []int32 // by limit: index of its first key slot among the token slots, 0: none
	tokenSlots      int     // one per limit, then the key slots
}

// Attribute is the property of a request that a scope's value is compared with.
type Attribute int

// The attributes, in the order in which a request's scopes are looked up.
const (
	AttributeFleet  Attribute = iota // of the root scope alone, which every request matches
	AttributeSite                    // Request.Site
	AttributeTenant                  // Request.Tenant
	AttributeClass                   // Request.Class
	AttributeCell                    // Request.Cell
)

// AnyOther is the value of a scope that matches requests whose attribute no sibling names. They share its
// limits.
const AnyOther = "*"

// Scope is a subset of the requests, and a node of the tree in which limits nest.
type Scope struct {
	Parent     int       `json:"within"` // index of the enclosing scope; -1: none
	Attribute  Attribute `json:"axis"`
	Value      string    `json:"word"`
	FirstLimit int       `json:"first"` // index of its first limit in Table.Limits
	LimitCount int       `json:"count"` // number of its limits; each has another Unit
	// 1: its requests have priority, -1: they have none, 0: the proxy decides
	Priority int `json:"priority,omitempty"`
}

// Unit is what a limit counts.
type Unit int

// The units.
const (
	UnitRequests    Unit = iota // each request counts 1
	UnitWork                    // milliseconds of expected work, Request.Work
	UnitConcurrency             // requests in flight: taken at admission, returned at the end
	UnitRetries                 // each request that its client marks as a retry counts 1, others 0
	UnitPerKey                  // as UnitRequests, separately for each key
)

// Limit bounds what all proxies together admit of a scope.
type Limit struct {
	Name   string `json:"name"`   // path of the scope and the unit, as in fleet or site/okuryangava:work
	Scope  int    `json:"part"`   // index in Table.Scopes
	Parent int    `json:"parent"` // index of the nearest enclosing limit of the same unit; -1: none
	// of the outermost scope below the parent's; siblings of one attribute share its rate
	Attribute Attribute `json:"axis"`
	Unit      Unit      `json:"unit"`
	Rate      float64   `json:"rate"`   // units per second; UnitConcurrency: units at once
	Burst     float64   `json:"burst"`  // units at once on top of the rate; UnitConcurrency: 0
	Floor     float64   `json:"floor"`  // units per second guaranteed before siblings borrow; at most Rate
	Weight    float64   `json:"weight"` // share of what the floors leave, among siblings that want more; above 0
	Borrow    bool      `json:"borrow"` // it may have more than its floor; if not, Rate is the floor
	// FallbackShare is the part of the limit, over all enrolled proxies, that they may use without a lease, in
	// (0, 1].
	FallbackShare float64 `json:"safe"`
	// PriorityReserve is the part of what a proxy can hold of the limit that is kept for requests with priority,
	// in [0, 1).
	PriorityReserve float64       `json:"reserve"`
	KeySlots        int           `json:"slots,omitempty"` // UnitPerKey: keys are hashed into so many slots
	Status          int           `json:"status"`          // HTTP status of a rejection: 429 or 503
	RetryAfter      time.Duration `json:"wait"`            // Retry-After for a rejected client
	// the first window that holds replaces rate, burst and floor
	Schedule []ScheduleWindow `json:"spans,omitempty"`
}

// ScheduleWindow is a recurring time with other rates.
type ScheduleWindow struct {
	FromMinute int     `json:"from"`      // minute of the day on the operators' clock
	ToMinute   int     `json:"to"`        // end, exclusive; before FromMinute: on the next day; both 0: all day
	LastDays   int     `json:"last_days"` // only in the last days of a month, so many; 0: on all days
	Rate       float64 `json:"rate"`
	Burst      float64 `json:"burst"`
	Floor      float64 `json:"floor"`
}

// DegradationLevel says which classes are shed while the fleet rejects many requests. A level also sheds the
// classes of the levels below it.
type DegradationLevel struct {
	// rejected fraction of the fleet's requests above which the level is entered
	EnterAbove    float64       `json:"above"`
	LeaveBelow    float64       `json:"below"`  // fraction below which it is left; less than EnterAbove
	RejectClasses []string      `json:"refuse"` // sorted
	Status        int           `json:"status"` // HTTP status of a rejection: 429 or 503
	RetryAfter    time.Duration `json:"wait"`
}

// Request has the attributes of a request that limits depend on.
type Request struct {
	Site        string
	Tenant      string
	Class       string
	Cell        string // empty: the request names none
	Key         string // idempotency key; empty: none
	Work        time.Duration
	Retry       bool // its client has tried before
	Priority    bool // unless a scope says otherwise
	Degradation int  // present level, 0: none
}

// Tokens holds a proxy's tokens of one table, by token slot (see Table.TokenSlots). A limit's tokens come at
// the proxy's share of its rate and add up to its share of the burst; those of a UnitConcurrency limit come
// back by Return alone. Implementations need not be safe for concurrent use.
type Tokens interface {
	// Available returns the tokens left, in the limit's unit. It is negative after a share has shrunk below what
	// is taken.
	Available(slot int) float64
	// Capacity returns the most that Available can come to with the proxy's present share.
	Capacity(slot int) float64
	// Take takes at most Available tokens.
	Take(slot int, amount float64)
	// Return gives tokens of a UnitConcurrency limit back when the request has ended.
	Return(slot int, amount float64)
	// Rejected records demand that Admit rejected, which the next allocation takes into account.
	Rejected(slot int, amount float64)
}

// Decision is the result of Admit.
type Decision struct {
	Admitted    bool
	Limit       int           // index of the limit that rejected the request; -1: the degradation level did
	Status      int           // HTTP status of a rejection
	RetryAfter  time.Duration // of a rejection, before jitter
	Reservation Reservation   // of an admitted request; to be released when it ends
}

// Reservation is what a request has taken of UnitConcurrency limits.
type Reservation struct {
	limits [MaxMatchedLimits]int16
	count  int8
}

// IsEmpty reports whether there is nothing to release.
func (r Reservation) IsEmpty() bool { return r.count == 0 }

// Release returns what an admitted request has taken of UnitConcurrency limits. It must be called once, with
// the Tokens that the request was admitted with.
func (r Reservation) Release(tokens Tokens) {
	for _, limit := range r.limits[:r.count] {
		tokens.Return(int(limit), 1)
	}
}
