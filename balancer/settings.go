package balancer

import "time"

// Idempotency says what a second execution of a request would do.
type Idempotency int

const (
	// NotIdempotent requests must never run twice.
	NotIdempotent Idempotency = iota
	// IdempotentByKey requests carry a key by which a group of endpoints drops duplicates.
	IdempotentByKey
	// Idempotent requests may run any number of times.
	Idempotent
)

// DedupScope is the group of endpoints that share the knowledge of idempotency keys.
type DedupScope int

const (
	// DedupInCell is one cell of endpoints.
	DedupInCell DedupScope = iota
	// DedupInZone is one zone.
	DedupInZone
	// DedupEverywhere is every endpoint.
	DedupEverywhere
)

// Class describes one kind of request.
type Class struct {
	Name                string
	PriorityWeight      float64       // of one request, relative to other classes
	LatencyObjective    time.Duration // a response within it has its full weight; 0: none
	ObjectivePerWork    float64       // the objective grows by this many times the request's work
	Deadline            time.Duration // after which the client stops waiting, over all its tries
	LateWeight          float64       // fraction of the weight for a response past the objective
	Idempotency         Idempotency
	DedupScope          DedupScope    // with IdempotentByKey: who drops duplicates
	DedupWindow         time.Duration // with IdempotentByKey: for how long
	Streamed            bool          // the response is a stream
	AllowedZones        []string      // nil: all, empty: none
	AllowedMachineTypes []string      // nil: all, empty: none
	VariantOf           string        // the class as which limits know this one; empty: it is no variant
}

// Tenant is a customer with a guaranteed quota.
type Tenant struct {
	Name       string
	Quota      float64 // requests per second over all proxies
	QuotaShare float64
}

// Settings configure a balancer. They are never changed once it has them.
type Settings struct {
	Proxies      int    // how many proxies decide for these endpoints
	ProxyIndex   int    // of this proxy among them
	Zone         string // of this proxy
	Zones        []string
	MachineTypes []string
	Classes      []Class
	Tenants      []Tenant

	MaxAttempts        int           // per request
	AllowHedging       bool          // two attempts of a request may be in flight at once
	AllowCancel        bool          // CancelAttempt is allowed
	AllowLoadQueries   bool          // QueryLoad is allowed
	AllowGossip        bool          // SendMessage is allowed
	SendRetryAfter     bool          // clients get Reject.RetryAfter
	MaxRetryAfter      time.Duration // the longest that clients follow
	ClientsMarkRetries bool
	ConnectTimeout     time.Duration
	MinEventInterval   time.Duration // events come no closer together
	PollForEndpoints   bool          // updates come only after Subscribe or FetchEndpoints
	WeightKnown        bool          // Endpoint.Weight tells something of the machine's capacity
	WeightApproximate  bool
	WeightDynamic      bool    // Endpoint.Weight falls as the endpoint fills
	OverQuotaWeight    float64 // fraction of the weight of a request beyond its tenant's quota
	WeightByWork       bool    // weight counts by unit of work, not by request
	LoadReports        LoadReportSource
	LoadReportFields   []string // names of the values in load reports

	Family      string   // the kind of service
	Tier        int      // to which this proxy forwards, by its index in Tiers
	Tiers       []string // names
	KeyAffinity bool     // an endpoint that has lately seen a key needs less work for it
	// an endpoint's calls to the next tier carry what is left of the request's time
	ForwardsDeadline      bool
	AttemptsPerConnection int // at once
	ConnectionIdleTimeout time.Duration
	MaxOpenRequests       int           // of this proxy
	CPUPerSecond          time.Duration // processor time that this proxy may spend on decisions; 0: no limit
	CPUPerRequest         time.Duration // the same for a request with its outcomes; 0: no limit
	Goal                  Goal
	Prices                Prices

	ResponseSlack     time.Duration // a final answer this long past the deadline still counts
	PollInterval      time.Duration // without a watch, poll at least this often
	DrainGrace        time.Duration // attempts at a draining endpoint must have ceased by then
	DrainClose        time.Duration // idle connections to one must be closed by then; 0: no such rule
	SlowStartInitial  float64       // fraction of its capacity that an endpoint starts with, at least
	SlowStartDuration time.Duration // after which a started endpoint is warm
	OverloadFactor    float64       // times its capacity, beyond which a starting endpoint fails
	OverloadDuration  time.Duration // when that lasts so long
}

// Goal weighs the parts of the result.
type Goal struct {
	WholeDay    float64
	WorstWindow float64
	WorstClass  float64
	WorstTenant float64
}

// Prices are points off the result, each for one unit of what it names.
type Prices struct {
	Connection      float64
	Handshake       float64
	CrossZone       float64
	WastedWork      float64
	LateFailure     float64
	LoadQuery       float64
	Message         float64 // per 256 bytes
	Migrations      float64
	OriginRead      float64
	EndpointUpdates float64
	Fleet           float64
}

// LoadReportSource is the way in which load reports reach a proxy.
type LoadReportSource int

const (
	// LoadReportsNone means that there are none.
	LoadReportsNone LoadReportSource = iota
	// LoadReportsByQuery means that results of load queries alone have them.
	LoadReportsByQuery
	// LoadReportsInResponses means that responses have them too.
	LoadReportsInResponses
)
