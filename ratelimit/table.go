// Package ratelimit evaluates the operators' compiled limits. A Table is plain data that internal/policy
// compiles. A proxy calls Table.Admit for every request; internal/quota provides the tokens through the
// Tokens interface. The package does no I/O and reads no clock, and Admit allocates no memory.
//
// A table must be made ready for use by Read or Finalize and must not be changed afterwards; it may then be
// read by any number of goroutines.
package ratelimit

import "time"

// Bounds of a table. Read and Finalize reject a table that exceeds one.
const (
	Format           = 1       // version of the encoding that this package writes; a higher one is rejected
	MaxLimits        = 10_000  // limits of a table; scopes have the same bound
	MaxMatchedLimits = 8       // limits that one request can match
	MaxMatchedScopes = 16      // scopes that one request can match
	MaxKeySlots      = 1 << 16 // key slots of all limits together
	MaxWindows       = 8       // schedule windows of one limit
	MaxLevels        = 8       // degradation levels
	MaxName          = 128     // bytes of a scope's value, which must contain neither a slash nor a colon
)

// Table is a tree of scopes with limits. A request matches a scope if its attributes equal the values of the
// scope and of the scope's ancestors. It is subject to the limits of every scope that it matches.
type Table struct {
	Format int `json:"format"`
	// Version is set from the record that holds the table; the digest does not cover it.
	Version   uint64             `json:"version"`
	Digest    string             `json:"digest"` // SHA-256 in hex of its JSON with version 0 and an empty digest
	UTCOffset int                `json:"zone"`   // minutes by which the operators' clock is ahead of UTC
	Scopes    []Scope            `json:"parts"`  // parents before children; the first is the complete fleet
	Limits    []Limit            `json:"limits"` // in the order of their scopes
	Levels    []DegradationLevel `json:"levels"` // the first is level 1

	children map[scopeKey]int32 // scope by parent, attribute and value
	// childAttributes has, by scope, a bit for each attribute that distinguishes the scope's children.
	childAttributes []uint8
	firstKeySlot    []int32 // by limit: its first key slot among the token slots; 0: none
	tokenSlots      int     // number of token slots: one for each limit, then the key slots
}

// Attribute is the property of a request that is compared with the value of a scope.
type Attribute int

// The attributes, in the order in which a request's scopes are looked up.
const (
	AttributeFleet  Attribute = iota // of the root scope alone, which every request matches
	AttributeSite                    // Request.Site
	AttributeTenant                  // Request.Tenant
	AttributeClass                   // Request.Class
	AttributeCell                    // Request.Cell
)

// AnyOther is the value of a scope that matches every request whose attribute equals the value of no sibling
// scope. All these requests share the scope's limits.
const AnyOther = "*"

// Scope is a set of requests, and a node of the tree of limits.
type Scope struct {
	Parent     int       `json:"within"` // index of the enclosing scope; -1: none
	Attribute  Attribute `json:"axis"`
	Value      string    `json:"word"`
	FirstLimit int       `json:"first"` // index in Table.Limits of its first limit
	LimitCount int       `json:"count"` // number of its limits, whose units differ
	// 1: requests of the scope have priority; -1: they have none; 0: the proxy decides.
	Priority int `json:"priority,omitempty"`
}

// Unit is the quantity that a limit counts.
type Unit int

// The quantities that limits count.
const (
	UnitRequests    Unit = iota // each request counts 1
	UnitWork                    // milliseconds of expected work, Request.Work
	UnitConcurrency             // requests in flight: taken at admission, returned when the request ends
	UnitRetries                 // each request that its client marks as a retry counts 1, any other 0
	UnitPerKey                  // each request counts 1, separately for each idempotency key
)

// Limit bounds the requests of a scope that all proxies together admit.
type Limit struct {
	Name   string `json:"name"`   // path of the scope, and the unit, such as fleet or site/okuryangava:work
	Scope  int    `json:"part"`   // index in Table.Scopes
	Parent int    `json:"parent"` // index of the nearest enclosing limit of the same unit; -1: none
	// Attribute is that of the outermost scope below the parent's scope. Siblings with the same attribute share
	// the rate of the parent.
	Attribute Attribute `json:"axis"`
	Unit      Unit      `json:"unit"`
	Rate      float64   `json:"rate"`   // units per second; UnitConcurrency: units at once
	Burst     float64   `json:"burst"`  // units at once in addition to the rate; UnitConcurrency: 0
	Floor     float64   `json:"floor"`  // units per second guaranteed before siblings borrow; at most Rate
	Weight    float64   `json:"weight"` // share of what floors leave, relative to siblings with demand; above 0
	Borrow    bool      `json:"borrow"` // the limit may exceed its floor; if not, Rate must equal the floor
	// FallbackShare is the fraction of the limit that all enrolled proxies together may use without a lease, in
	// (0, 1].
	FallbackShare float64 `json:"safe"`
	// PriorityReserve is the fraction of a proxy's capacity of the limit that is reserved for requests with
	// priority, in [0, 1).
	PriorityReserve float64       `json:"reserve"`
	KeySlots        int           `json:"slots,omitempty"` // UnitPerKey: number of slots that keys are hashed to
	Status          int           `json:"status"`          // HTTP status of a rejection: 429 or 503
	RetryAfter      time.Duration `json:"wait"`            // Retry-After of a rejection, before jitter
	// The first window that contains the present time replaces rate, burst and floor.
	Schedule []ScheduleWindow `json:"spans,omitempty"`
}

// ScheduleWindow is a recurring time at which a limit has other rates.
type ScheduleWindow struct {
	FromMinute int     `json:"from"`      // minute of the day on the operators' clock
	ToMinute   int     `json:"to"`        // end, exclusive; before FromMinute: on the next day; both 0: all day
	LastDays   int     `json:"last_days"` // number of last days of a month with this window; 0: on all days
	Rate       float64 `json:"rate"`
	Burst      float64 `json:"burst"`
	Floor      float64 `json:"floor"`
}

// DegradationLevel lists the classes that are shed while the fleet rejects many requests. A level also sheds
// the classes of the lower levels.
type DegradationLevel struct {
	// EnterAbove is the rejected fraction of the fleet's requests above which the level is entered.
	EnterAbove    float64       `json:"above"`
	LeaveBelow    float64       `json:"below"`  // fraction below which the level is left; less than EnterAbove
	RejectClasses []string      `json:"refuse"` // classes that are shed, sorted
	Status        int           `json:"status"` // HTTP status of a rejection: 429 or 503
	RetryAfter    time.Duration `json:"wait"`
}

// Request has the attributes of a request by which limits decide.
type Request struct {
	Site        string
	Tenant      string
	Class       string
	Cell        string        // empty: the request has none
	Key         string        // idempotency key; empty: none
	Work        time.Duration // expected work
	Retry       bool          // the client marks the request as a retry
	Priority    bool          // it has priority, unless a scope decides otherwise
	Degradation int           // present degradation level; 0: none
}

// Tokens holds a proxy's tokens of one table, by token slot (see Table.TokenSlots). The tokens of a limit
// arrive at the proxy's share of the limit's rate and accumulate up to its share of the burst. Those of a
// UnitConcurrency limit arrive only by Return. Implementations need not be safe for concurrent use.
type Tokens interface {
	// Available returns the available tokens, in the limit's unit. The result is negative if the proxy's share
	// has shrunk below what requests have taken.
	Available(slot int) float64
	// Capacity returns the highest number that Available can return with the proxy's present share.
	Capacity(slot int) float64
	// Take takes an amount of tokens, which must not exceed Available.
	Take(slot int, amount float64)
	// Return returns tokens of a UnitConcurrency limit when the request has ended.
	Return(slot int, amount float64)
	// Rejected records the demand of a rejected request, which the next allocation takes into account.
	Rejected(slot int, amount float64)
}

// Decision is the result of Admit.
type Decision struct {
	Admitted    bool
	Limit       int           // index of the limit that rejected the request; -1: the degradation level did
	Status      int           // HTTP status of a rejection
	RetryAfter  time.Duration // Retry-After of a rejection, before jitter
	Reservation Reservation   // of an admitted request; to be released when it ends
}

// Reservation lists the UnitConcurrency limits of which a request has taken a token.
type Reservation struct {
	limits [MaxMatchedLimits]int16
	count  int8
}

// IsEmpty reports whether there is nothing to release.
func (r Reservation) IsEmpty() bool { return r.count == 0 }

// Release returns the tokens that an admitted request has taken of UnitConcurrency limits. It must be called
// once, with the Tokens that the request was admitted with.
func (r Reservation) Release(tokens Tokens) {
	for _, limit := range r.limits[:r.count] {
		tokens.Return(int(limit), 1)
	}
}
