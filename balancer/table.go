package balancer

// The operators' table of limits, as internal/policy compiles it and a node takes it. It is data alone: how a
// request is judged by it is in limits.go, how it is read and checked in tableread.go.

import "time"

// Bounds of a table. What goes beyond is no table.
const (
	TableFormat = 1       // that this code writes; a higher one is refused
	MostLimits  = 10_000  // limits, and parts, of a table
	MostTouched = 8       // limits that one request can touch
	MostParts   = 16      // parts that one request can touch
	MostSlots   = 1 << 16 // slots of keys, all limits together
	MostSpans   = 8       // of one limit
	MostLevels  = 8       // of degradation
	MostName    = 128     // bytes of a word; no word has a slash or a colon
)

// Table holds limits that nest. A request touches every part whose words and whose parents' words all match it,
// and the limits there. A table is never changed once a module has it.
type Table struct {
	Format  int     `json:"format"`
	Version uint64  `json:"version"` // given by the record that made it current; not part of the digest
	Digest  string  `json:"digest"`  // SHA-256 in hex of its JSON with version 0 and no digest
	Zone    int     `json:"zone"`    // minutes that the operators' clock is ahead of UTC
	Parts   []Part  `json:"parts"`   // parents before children; the first is the fleet
	Limits  []Limit `json:"limits"`  // in the order of their parts, and so parents before children
	Levels  []Level `json:"levels"`  // of degradation, the first is level 1

	index map[partKey]int32 // the part of a word within a part
	axes  []uint8           // by part: the axes that its children have, as bits
	slots []int32           // by limit: its first slot's index at the hand, 0: none
	hands int
}

// Axis is the property of a request that a part's word is compared with.
type Axis int

// The axes, in the order in which a table lists the children of a part.
const (
	OfFleet Axis = iota // only the first part, which every request matches
	OfSite              // Ask.Site
	OfBook              // Ask.Book
	OfClass             // Ask.Class
	OfPod               // Ask.Pod
)

// Others is the word of a part for all that no sibling names. They share its limits.
const Others = "*"

// Part is a part of the requests: a node of the tree in which limits nest.
type Part struct {
	Within   int    `json:"within"` // the part that it is a part of; -1: none
	Axis     Axis   `json:"axis"`
	Word     string `json:"word"`
	First    int    `json:"first"`              // of its limits in Table.Limits
	Count    int    `json:"count"`              // of them; Unit is different in each
	Priority int    `json:"priority,omitempty"` // 1: its requests have priority, -1: they have not, 0: as the node judges
}

// Unit is what a limit counts.
type Unit int

const (
	UnitRequests Unit = iota // each request is 1
	UnitWork                 // ms of expected work: Ask.Cost
	UnitOpen                 // requests open at once: taken at the start, given back at the end
	UnitRepeats              // each request that its client says it repeats is 1, others 0
	UnitKey                  // as UnitRequests, for each key by itself
)

// Limit bounds what all nodes together admit of a part.
type Limit struct {
	Name   string  `json:"name"`   // such as fleet, book/kalahari-core/class/ledger-view, site/okuryangava:work
	Part   int     `json:"part"`   // in Table.Parts
	Parent int     `json:"parent"` // the nearest limit around it with the same unit; -1: none
	Axis   Axis    `json:"axis"`   // of the first word past the parent's: floors of siblings of one axis fit together
	Unit   Unit    `json:"unit"`
	Rate   float64 `json:"rate"`   // units a second, never exceeded but by the burst; UnitOpen: units at once
	Burst  float64 `json:"burst"`  // units that may come at once; UnitOpen: 0
	Floor  float64 `json:"floor"`  // units a second (UnitOpen: at once) that it gets before siblings borrow; <= Rate
	Weight float64 `json:"weight"` // its part, among siblings that want more, of what their floors leave over; > 0
	Borrow bool    `json:"borrow"` // it may have more than its floor; without, Rate is the floor
	Safe   float64 `json:"safe"`   // part of it, over all enrolled nodes, that they keep without a lease: (0, 1]
	// Reserve is the part of what a node can hold of it that only requests with priority may draw: [0, 1).
	Reserve float64       `json:"reserve"`
	Slots   int           `json:"slots,omitempty"` // UnitKey: keys are hashed into so many; keys in one slot share
	Status  int           `json:"status"`          // told to those it refuses: 429 or 503
	Wait    time.Duration `json:"wait"`            // told to them as Retry-After
	Spans   []Span        `json:"spans,omitempty"` // the first that holds replaces rate, burst and floor
}

// Span is a recurring time with other figures. It holds where all that it says does.
type Span struct {
	From     int     `json:"from"`      // minute of the day on the operators' clock
	To       int     `json:"to"`        // the minute at which it ends; before From: on the next day; both 0: all day
	LastDays int     `json:"last_days"` // only in so many last days of the month; 0: on all days
	Rate     float64 `json:"rate"`
	Burst    float64 `json:"burst"`
	Floor    float64 `json:"floor"`
}

// Level is a step of degradation, by the part of the fleet's requests that is refused. It refuses its classes and
// those of the levels before it.
type Level struct {
	Above  float64       `json:"above"`  // the level is taken when more is refused
	Below  float64       `json:"below"`  // and left when less is; < Above
	Refuse []string      `json:"refuse"` // classes, in order
	Status int           `json:"status"` // told to those it refuses: 429 or 503
	Wait   time.Duration `json:"wait"`   // told to them as Retry-After
}

// Ask is a request as limits see it.
type Ask struct {
	Site, Book, Class, Key string
	Pod                    string        // where the request names one
	Cost                   time.Duration // expected work
	Repeat                 bool          // its client has tried before
	Priority               bool          // as the node judges
	Level                  int           // of degradation, at present
}

// Hand holds a node's tokens of each limit of one table. The index is that in Table.Limits or, beyond, a slot of keys:
// see Table.Hands. It is used by one goroutine at a time. A limit's tokens come at its rate and gather up to its burst;
// a UnitOpen one's are as many as may be open, and come back by Give alone.
type Hand interface {
	Left(limit int) float64            // tokens, in the limit's unit; below 0 when a share has shrunk under what is taken
	Full(limit int) float64            // the most that Left can come to at the node's present share
	Take(limit int, amount float64)    // amount <= Left
	Give(limit int, amount float64)    // back, to a UnitOpen limit, when the request has ended
	Refused(limit int, amount float64) // demand that Admit turned away, for the next share
}

// Verdict is the answer to an Ask.
type Verdict struct {
	OK         bool
	Limit      int           // that refused, in Table.Limits; -1: none did, but the level of degradation
	Status     int           // 429 or 503
	RetryAfter time.Duration // before spreading
	Held       Held          // what an admitted request holds while it is open
}

// Held is what a request has taken from the limits on open requests.
type Held struct {
	limits [MostTouched]int16
	count  int8
}
