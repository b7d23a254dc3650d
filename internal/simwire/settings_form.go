package simwire

// SettingsForm is the encoding of settings: the keys and the types of their values. The fields are named
// after the settings that ReadSettings converts them to. The values of keys that end in _ns are in
// nanoseconds.
type SettingsForm struct {
	Tenants []struct {
		Name     string  `json:"name"`
		Quota    float64 `json:"quota_per_s"`
		Fraction float64 `json:"fraction"`
	} `json:"accounts"`
	Proxies      int `json:"balancers"`
	Capabilities struct {
		Cancel                bool    `json:"cancel"`
		ConnectionIdleTimeout int64   `json:"conn_idle_ns"`
		ConnectTimeout        int64   `json:"connect_timeout_ns"`
		CPUPerRequest         float64 `json:"cpu_us_per_request"`
		CPUPerSecond          float64 `json:"cpu_us_per_s"`
		MaxAttempts           int     `json:"max_attempts"`
		MaxRetryAfter         int64   `json:"max_retry_after_ns"`
		Hedging               bool    `json:"may_duplicate"`
		MaxOpenRequests       int     `json:"most_held"`
		AttemptsPerConnection int     `json:"multiplex"`
		Gossip                bool    `json:"peers"`
		LoadQueries           bool    `json:"probes"`
		RetryAfter            bool    `json:"retry_after"`
	} `json:"caps"`
	Prices struct {
		Connection      float64 `json:"connection"`
		CrossZone       float64 `json:"cross_zone"`
		Fleet           float64 `json:"fleet"`
		Handshake       float64 `json:"handshake"`
		LateFailure     float64 `json:"late_fail"`
		EndpointUpdates float64 `json:"membership_mode"`
		Migrations      float64 `json:"moves"`
		OriginRead      float64 `json:"origin"`
		Message         float64 `json:"peer"`
		LoadQuery       float64 `json:"probe"`
		WastedWork      float64 `json:"waste"`
	} `json:"charges"`
	Classes        []classForm `json:"classes"`
	ClientBehavior struct {
		MarksRetry bool `json:"marks_retry"`
	} `json:"client_habits"`
	Zones        []string `json:"failure_domains"`
	Family       string   `json:"family"`
	ScoreWeights struct {
		WholeDay    float64 `json:"whole"`
		WorstClass  float64 `json:"worst_class"`
		WorstTenant float64 `json:"worst_tenant"`
		WorstWindow float64 `json:"worst_window"`
	} `json:"goal"`
	MachineTypes    []string `json:"kinds"`
	EndpointUpdates string   `json:"membership_mode"`
	OverQuotaWeight float64  `json:"over_share_worth"`
	LoadReport      struct {
		Fields []string `json:"fields"`
		Source string   `json:"how"`
	} `json:"report"`
	ProxyIndex    int `json:"slot_no"`
	ServiceTraits struct {
		ForwardsDeadline bool `json:"passes_deadline"`
		KeyAffinity      bool `json:"warm_keys"`
	} `json:"specifics"`
	Invariants struct {
		ResponseSlack     int64   `json:"answer_slack_ns"`
		PollInterval      int64   `json:"ask_within_ns"`
		SlowStartInitial  float64 `json:"cold_from"`
		SlowStartDuration int64   `json:"cold_ns"`
		DrainClose        int64   `json:"drain_close_ns"`
		DrainGrace        int64   `json:"drain_grace_ns"`
		OverloadFactor    float64 `json:"overload_factor"`
		OverloadDuration  int64   `json:"tip_after_ns"`
	} `json:"invariants"`
	MinEventInterval int64    `json:"tick_ns"`
	Tier             int      `json:"tier"`
	Tiers            []string `json:"tiers"`
	WeightKind       string   `json:"weight_kind"`
	WeightBy         string   `json:"worth_by"`
	Zone             string   `json:"zone"`
}

// classForm is the encoding of a class of requests. Times are in nanoseconds.
type classForm struct {
	ObjectivePerWork    float64  `json:"aim_stretch"`
	LatencyObjective    int64    `json:"aim_ns"`
	AllowedMachineTypes []string `json:"allowed_on"`
	DedupWindow         int64    `json:"dedup_window_ns"`
	AllowedZones        []string `json:"failure_domains_open"`
	Idempotency         string   `json:"effect"`
	Deadline            int64    `json:"give_up_ns"`
	PriorityWeight      float64  `json:"importance"`
	DedupScope          string   `json:"key_scope"`
	LateWeight          float64  `json:"late_worth"`
	Name                string   `json:"name"`
	Streamed            bool     `json:"streamed"`
}
