package balancer

// The state that the decisions keep. Nothing is decided here.

import (
	"math"
	"time"
)

const forever Time = math.MaxInt64

// Mode is the overload state of a server as this node sees it: the paper's s = 0, 1, 2.
type Mode int

const (
	Normal Mode = iota
	Overloaded
	Blocking
)

type server struct {
	Server
	mode, own, told, imposed Mode // as judged; by own count; by reports; by a full answer or a report, until it lapses
	imposedUntil             Time
	n, high                  float64 // own attempts in flight or, after a look, all that it holds; H
	load                     float64 // the work of the own attempts in flight, in mean requests
	shared                   []int   // the other nodes that work with it, as with found them
	sharedAt                 int     // by m.changes
	notes                    []note  // what they have said
	dither                   float64 // in [0,1), moves on each period: H is rounded by it
	excess, rate             float64 // s, smoothed latency of a mean request over m.mean; own answers each second, smoothed
	latencyAt, rateAt        Time
	since, reportAt          Time    // first listed; last report
	strikes, unanswered      int     // failures since the last success; sends since the last answer
	muteSince, heard         Time    // the suspectAt-th of those sends; the last send that was answered
	suspect, cold, home      bool    // home: in reach if none were suspects
	banned                   bool    // by hand
	away                     bool    // a suspect that may be down and so may come back cold
	failing                  float64 // smoothed part of its attempts that fail
	order                    uint64  // its place on the ring
	fill                     float64 // where its count stands between H, 0, and R, 1
	trialAt, coldSince       Time
	trialWait                time.Duration
	tokens                   float64 // sends that its budget allows while cold
	tokensAt                 Time
	quietUntil               Time // no log line about it until then
}

// mute tells whether a listed server has sends out and answers none.
func (s *server) mute() bool { return s.State != Gone && s.unanswered >= suspectAt }

// group holds the classes of one placement: thresholds and shedding are judged over the servers open to it.
type group struct {
	zones, kinds        []string  // that are open to it; nil: all
	list                ring      // of the fleet, from this node's place on
	near                []*server // in reach
	reach               float64   // how many servers are in reach
	pooled              bool      // they are judged together, with the mode and fill below
	mode                Mode
	smooth, fill        float64 // their smoothed count; where it stands between H, 0, and R, 1
	top                 float64 // the highest worth of its classes
	smoothAt, crowdedAt Time    // crowdedAt: when last no server was normal
	n1, n2, q1, q2      float64 // priority and other arrivals of this period; drop probabilities
	filled, ticks       float64 // sum of how far the servers were above H, over this period's ticks
}

type class struct {
	Class
	group             *group
	hint, hints       float64 // s, smoothed work hint; how many
	count, latency    float64 // answers; s, smoothed over all servers
	ambient, relative float64 // s, m.mean at the times of its answers;
	// and its cost as a multiple of the mean request's
}

type attempt struct {
	server        *server
	sent          Time
	ahead         float64 // requests that its server was known to hold
	work          float64 // expected, in mean requests
	ended, mayRun bool    // mayRun: out, or ended without proof that it never ran
	lost          bool    // no longer in its server's count
}

type request struct {
	id                             RequestID
	class                          *class
	arrived, deadline              Time
	spent                          time.Duration // how long its client has waited before this try, at least
	attempts                       []attempt
	heavy                          float64   // its work by its hint, over its class's mean
	most, out, rounds              int       // most: attempts; rounds: looks at servers for the next attempt
	asked                          []*server // in these looks, the last two in the last
	lookAt                         Time
	looking                        bool
	priority, done, started, trial bool // done: it has its final answer; started: a stream has begun
	coming                         bool // its last byte has not left yet
	grants                         [2]grant
}

type tenant struct {
	perNode, tokens float64
	at              Time
}

// Module decides for one node. It is not safe for concurrent use.
type Module struct {
	set              Settings
	rng              uint64
	now, periodAt    Time
	out              []Action
	classes, former  map[string]*class // former: of the settings before
	order            []*class
	tenants          map[string]*tenant
	known            map[ServerID]*server
	banned           map[ServerID]bool          // by hand, listed or not
	lifted           map[ServerID]Time          // when the last bans ended, listed or not
	inherited        map[ServerID]ServerLearned // of servers that no list has named yet
	leaving          bool                       // a new process serves
	groups           []*group
	list             ring       // those not gone, from this node's place on
	first            uint64     // that place
	part                        // of the list that this node knows
	suspects, silent ring       // those not gone that are suspects; that answer nothing; some are so no longer
	homes            []*server  // those with home set
	changes          int        // of lists and settings so far
	nodes            []int      // all of them by their starts, where nodes share
	shares           bool       // it needs to know which other nodes work with a server
	sharers          float64    // how many nodes a server is in reach of, on average
	looking          []*request // that wait for answers to probes
	running          float64    // requests that a server works on at once, by its reports
	unit, tight      float64    // s: service time of a mean request; the tightest aim for one
	looks            bool       // it asks servers for their load before each send
	tells            bool       // it tells other nodes what it has out at the servers that they share
	requests         map[RequestID]*request
	open             []*request // in order of arrival
	ticking, learned bool
	answers          float64
	mean, base       float64 // s: smoothed latency; uncrowded
	fleetRate, peak  float64 // answers each second from the mean server; the most that this has been
	fleetSize        float64 // its size
	trials           float64 // trial requests allowed
	budget           float64 // further attempts allowed
	spared           float64 // s; processor time left for notes
	sparedAt         Time
	sentAt           Time          // of the last attempt
	idleWait         time.Duration // from it on, until a suspect is tried where there is nothing else
	asker
	limits [2]limiter // of the table that holds; of the one that is tried
	level  int        // of degradation
}

// within takes a token of the tenant's share, if there is one.
func (t *tenant) within(now Time) bool {
	t.tokens, t.at = math.Min(t.perNode, t.tokens+t.perNode*(now-t.at).Seconds()), now
	ok := t.tokens >= 1
	if ok {
		t.tokens--
	}
	return ok
}
