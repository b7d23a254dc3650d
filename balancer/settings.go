package balancer

import "time"

// Idempotency says whether a request may run more than once.
type Idempotency int

const (
	// NotIdempotent requests must never run twice.
	NotIdempotent Idempotency = iota
	// IdempotentByKey requests carry a key by which a group of endpoints recognizes and drops duplicates.
	IdempotentByKey
	// Idempotent requests may run any number of times.
	Idempotent
)

// DedupScope is the group of endpoints that share their knowledge of idempotency keys.
type DedupScope int

const (
	// DedupInCell is one cell of endpoints.
	DedupInCell DedupScope = iota
	// DedupInZone is one zone.
	DedupInZone
	// DedupEverywhere is every endpoint.
	DedupEverywhere
)

// Class describes a class of requests.
type Class struct {
	Name           string
	PriorityWeight float64 // of one request, relative to other classes
	// A response within the objective has its full weight; 0: there is no objective.
	LatencyObjective time.Duration
	// The objective grows by this multiple of the request's expected work.
	ObjectivePerWork float64
	// The client stops waiting after this time, over all its tries.
	Deadline            time.Duration
	LateWeight          float64 // fraction of the weight that a response after the objective has
	Idempotency         Idempotency
	DedupScope          DedupScope    // with IdempotentByKey: the endpoints that drop duplicates
	DedupWindow         time.Duration // with IdempotentByKey: the time for which they drop duplicates
	Streamed            bool          // the response is a stream
	AllowedZones        []string      // zones whose endpoints may be used; nil: all, empty: none
	AllowedMachineTypes []string      // machine types whose endpoints may be used; nil: all, empty: none
	VariantOf           string        // class that limits take this variant for; empty: it is no variant
}

// Tenant is a customer with a guaranteed quota.
type Tenant struct {
	Name       string
	Quota      float64 // requests per second, over all proxies
	QuotaShare float64
}

// Settings configure a balancer. They must not be changed after they have been passed to it.
type Settings struct {
	Proxies      int    // number of proxies that use these endpoints
	ProxyIndex   int    // index of this proxy among them
	Zone         string // zone of this proxy
	Zones        []string
	MachineTypes []string
	Classes      []Class
	Tenants      []Tenant

	MaxAttempts        int           // per request
	AllowHedging       bool          // hedged requests are allowed: two attempts may be in flight at once
	AllowCancel        bool          // CancelAttempt actions are allowed
	AllowLoadQueries   bool          // QueryLoad actions are allowed
	AllowGossip        bool          // SendMessage actions are allowed
	SendRetryAfter     bool          // Reject.RetryAfter is sent to clients
	MaxRetryAfter      time.Duration // longest Retry-After that clients follow
	ClientsMarkRetries bool          // clients mark retries, see RequestArrived.ClientRetry
	ConnectTimeout     time.Duration
	MinEventInterval   time.Duration // shortest time between events
	PollForEndpoints   bool          // updates of the endpoint list come only after Subscribe or FetchEndpoints
	WeightKnown        bool          // Endpoint.Weight reflects the capacity of the machine
	WeightApproximate  bool          // Endpoint.Weight reflects the capacity only roughly
	WeightDynamic      bool          // Endpoint.Weight falls with the endpoint's load
	OverQuotaWeight    float64       // fraction of its weight that a request beyond its tenant's quota has
	WeightByWork       bool          // weight counts by unit of work instead of by request
	LoadReports        LoadReportSource
	LoadReportFields   []string // names of the values in load reports

	Family      string   // kind of service
	Tier        int      // index in Tiers of the tier that this proxy forwards to
	Tiers       []string // names of the tiers
	KeyAffinity bool     // an endpoint needs less work for a key that it has seen recently
	// An endpoint's calls to the next tier carry the remaining time of the request.
	ForwardsDeadline      bool
	AttemptsPerConnection int // attempts that a connection can carry at once
	ConnectionIdleTimeout time.Duration
	MaxOpenRequests       int           // open requests that this proxy may have
	CPUPerSecond          time.Duration // processor time for this proxy's decisions, each second; 0: no limit
	CPUPerRequest         time.Duration // processor time for a request with its outcomes; 0: no limit
	ScoreWeights          ScoreWeights
	Prices                Prices

	ResponseSlack time.Duration // a final answer counts up to this long after the deadline
	PollInterval  time.Duration // without a watch, discovery must be polled at least this often
	// Attempts at a draining endpoint must end within this time.
	DrainGrace time.Duration
	// Idle connections to a draining endpoint must be closed within this time; 0: there is no such rule.
	DrainClose        time.Duration
	SlowStartInitial  float64       // fraction of its capacity that an endpoint has at least when it starts
	SlowStartDuration time.Duration // time after its start from which an endpoint is warm
	// A starting endpoint fails when its load exceeds its capacity by this factor for OverloadDuration.
	OverloadFactor   float64
	OverloadDuration time.Duration
}

// ScoreWeights are the weights of the parts of the score by which a run is rated.
type ScoreWeights struct {
	WholeDay    float64
	WorstWindow float64
	WorstClass  float64
	WorstTenant float64
}

// Prices are deductions from the score by which a run is rated, each for one unit of what the field names.
type Prices struct {
	Connection      float64
	Handshake       float64
	CrossZone       float64
	WastedWork      float64
	LateFailure     float64
	LoadQuery       float64
	Message         float64 // for 256 bytes
	Migrations      float64
	OriginRead      float64
	EndpointUpdates float64
	Fleet           float64
}

// LoadReportSource is the way in which load reports reach a proxy.
type LoadReportSource int

const (
	// LoadReportsNone means that there are no load reports.
	LoadReportsNone LoadReportSource = iota
	// LoadReportsByQuery means that only the results of load queries include load reports.
	LoadReportsByQuery
	// LoadReportsInResponses means that responses include load reports, too.
	LoadReportsInResponses
)
