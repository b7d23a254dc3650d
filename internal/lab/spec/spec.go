// Package spec describes an experiment of the lab: it reads and checks the experiment's file, and draws the
// schedule of faults from a seed. Reading the file is its only side effect.
package spec

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Duration is a duration that is written with its unit in the file: "1.5s", "200ms".
type Duration time.Duration

// UnmarshalText reads a duration; a number without a unit is an error.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("%q is not a duration, want a number with its unit, as \"1.5s\" or \"200ms\"", b)
	}
	*d = Duration(v)
	return nil
}

// Rate is in bytes per second, written as "64kB/s" in the file.
type Rate int64

// UnmarshalText reads a rate; a number without a unit is an error.
func (r *Rate) UnmarshalText(b []byte) error {
	s, ok := strings.CutSuffix(string(b), "/s")
	for unit, times := range map[string]float64{"kB": 1e3, "MB": 1e6, "B": 1} {
		if n, has := strings.CutSuffix(s, unit); ok && has {
			if v, err := strconv.ParseFloat(n, 64); err == nil && v > 0 {
				*r = Rate(v * times)
				return nil
			}
		}
	}
	return fmt.Errorf("%q is not a rate, want bytes a second, as \"64kB/s\", \"2MB/s\" or \"500B/s\"", b)
}

// Experiment is the content of one experiment file.
type Experiment struct {
	Name         string            `toml:"name"`
	About        string            `toml:"about"`  // one line of description for lists of experiments
	Length       Duration          `toml:"length"` // the time during which operations arrive
	Quick        bool              `toml:"quick"`  // the experiment belongs to the quick set
	Fleet        Fleet             `toml:"fleet"`
	Load         Load              `toml:"load"`
	Net          Net               `toml:"net"`
	Discovery    DiscoverySettings `toml:"discovery"`
	Faults       []Fault           `toml:"fault"`
	LeaseWorkers LeaseWorkers      `toml:"duties"`
	Release      *Release          `toml:"release"`
	Quota        *Quota            `toml:"quota"`
	Draw         *Draw             `toml:"draw"`
	Bounds       Bounds            `toml:"bounds"`

	path   string
	source string
}

// Fleet describes the nodes and backends that take part.
type Fleet struct {
	Nodes    int  `toml:"nodes"`
	Backends int  `toml:"boxes"`
	Zones    int  `toml:"zones"`
	MemoryMB int  `toml:"memory_mb"` // memory limit of each node
	Sockets  int  `toml:"sockets"`   // file descriptor limit of each node
	Messages bool `toml:"messages"`  // nodes send each other messages
	View     bool `toml:"view"`      // nodes maintain a view of each other with these messages

	Absent []string `toml:"absent"`    // nodes that do not run at first; a join starts them
	Accept bool     `toml:"accept_fd"` // the platform owns the clients' listening sockets, which upgrades need
}

// Load describes the operations that clients send. Either Rate or Utilization is given.
type Load struct {
	Rate        float64 `toml:"rate"`   // operations per second
	Utilization float64 `toml:"use"`    // load as a share of the capacity of all warm backends
	Bursty      bool    `toml:"bursty"` // the rate oscillates
	Swing       float64 `toml:"swing"`  // amplitude of a bursty load, as a share of the rate
	// Skew is the load of the first zone above an even share, as a fraction of that share.
	Skew   float64 `toml:"skew"`
	Surges []Surge `toml:"surge"`
}

// Surge multiplies the load by Factor during a period.
type Surge struct {
	At     Duration `toml:"at"`
	For    Duration `toml:"for"`
	Factor float64  `toml:"times"`
}

// Net describes the network; delays that are absent are drawn from the ranges that the operators gave.
type Net struct {
	Same   *Duration `toml:"same"`   // one-way delay within a zone
	Cross  *Duration `toml:"cross"`  // one-way delay between zones
	Client *Duration `toml:"client"` // one-way delay between clients and nodes
	Loss   float64   `toml:"loss"`   // share of messages between nodes that are lost
	Front  Duration  `toml:"front"`  // time until the front notices that a node died; 0: drawn
}

// DiscoverySettings describes discovery: the delays of the lab's own discovery, or the registry that
// replaces it.
type DiscoverySettings struct {
	// Notice is the mean delay until a change reaches a node; each delay differs from it by up to half. 0 means
	// that the delays are drawn from a default range.
	Notice Duration `toml:"notice"`
	// Silent is the same for the loss of a backend that didn't announce it.
	Silent Duration `toml:"silent"`

	// Replicas is the number of registry replicas that replace the lab's discovery; 0: no registry.
	Replicas  int  `toml:"replicas"`
	Direct    bool `toml:"direct"`    // nodes follow the registry directly, without an agent
	Followers int  `toml:"followers"` // additional clients that follow the registry
}

// LeaseWorkers describes the workers that hold leases.
type LeaseWorkers struct {
	Number  int      `toml:"workers"` // number of workers, named d0, d1 and so on; 0: none
	Leases  int      `toml:"count"`   // number of leases for which all workers compete
	TTL     Duration `toml:"ttl"`     // of the workers' sessions
	Guarded bool     `toml:"guard"`   // the resource that the workers write to checks fencing tokens
	Spread  bool     `toml:"spread"`  // leases are distributed evenly over the workers
}

// Release is a staged rollout over all backends that real controllers carry out.
type Release struct {
	At              Duration  `toml:"at"`
	Controllers     int       `toml:"conductors"` // number of controllers, named c0, c1 and so on
	MaxUnavailable  int       `toml:"out"`        // number of backends that may be unavailable at the same time
	Waves           []float64 `toml:"waves"`      // the share of the backends that each wave covers
	Soak            Duration  `toml:"soak"`       // time for which each wave is observed before its gate
	MinGateRequests int       `toml:"least"`      // requests of each version that a gate needs to compare them
	PassGates       bool      `toml:"gateless"`   // every gate passes without a comparison
	OnHalt          string    `toml:"halt"`       // what a halted release does: wait or back
	SlowFactor      float64   `toml:"slower"`     // factor by which backends of the new version are slower
	FailedShare     float64   `toml:"fails"`      // share of the requests to the new version that fail
	FinalPhase      string    `toml:"end"`        // the phase in which the release has to end
}

// Quota is a policy with one limit on the requests of the complete fleet, which quota controllers distribute
// over the nodes.
type Quota struct {
	// Controllers is the number of quota controllers, named k0, k1 and so on, that compete for the lease.
	Controllers int           `toml:"holders"`
	Rate        float64       `toml:"rate"` // requests per second
	Burst       float64       `toml:"burst"`
	Changes     []QuotaChange `toml:"change"`
}

// QuotaChange is a policy that replaces the previous policy at the time At.
type QuotaChange struct {
	At    Duration `toml:"at"`
	Rate  float64  `toml:"rate"`
	Burst float64  `toml:"burst"`
}

// Fault is a failure that the lab injects, or an operator's action. The kind in Do determines which of the
// other keys it accepts.
type Fault struct {
	At  Duration `toml:"at"`
	For Duration `toml:"for"`
	Do  string   `toml:"do"`
	On  []string `toml:"on"` // target parties
	To  []string `toml:"to"` // the other ends, for faults of links

	Share      float64  `toml:"share"`  // share of the named parties, drawn by seed; 0: all
	Direction  string   `toml:"way"`    // direction of a cut or mute: "both" (the default), "forward", "back"
	Delay      Duration `toml:"delay"`  // of a link
	Jitter     Duration `toml:"jitter"` // of a link
	Loss       float64  `toml:"loss"`
	Rate       Rate     `toml:"rate"`
	Bytes      int      `toml:"bytes"` // a connection is reset after 1 to Bytes bytes
	Interval   Duration `toml:"every"` // interval of repeated resets
	SlowFactor float64  `toml:"times"` // factor by which a backend is slower
	// Fraction is the share of requests that fail, or the share of the machine that another program takes.
	Fraction float64 `toml:"part"`
}

// Draw describes additional faults that are drawn by seed, evenly over the time from From to Until.
type Draw struct {
	Faults int      `toml:"faults"`
	From   Duration `toml:"from"`
	Until  Duration `toml:"until"` // all drawn faults are over by then
	Menu   []string `toml:"menu"`  // kinds of faults to draw from
}

// Bounds are limits for the run's figures, in addition to the checks. Absent bounds are not checked.
type Bounds struct {
	// Served is the least share of operations that are served within their latency objective.
	Served float64 `toml:"served"`
	// Failed is the greatest share of operations that end as failed, broken, silent or unreached.
	Failed   *float64           `toml:"failed"`
	Refused  *float64           `toml:"refused"` // greatest share that ends refused
	Class    map[string]float64 `toml:"class"`   // least share served within the latency objective, by class
	P99      map[string]string  `toml:"p99"`     // greatest 99th percentile of served operations, by class
	LeaseGap Duration           `toml:"holder"`  // longest time that a lease may be without a holder
	// Propagation is the longest time from the first follower that knows of a change until 99% of the followers
	// know of it.
	Propagation Duration `toml:"followers"`
	Recovered   Duration `toml:"recovered"` // longest time from the last fault's end to recovery
	// Level is the share of served operations that counts as recovered, relative to the share before the first
	// fault. The parser replaces 0 by defaultRecoveredShare.
	Level float64 `toml:"recovered_at"`
	// QuotaUsed is the least share of the quota that has to be used over the complete run.
	QuotaUsed float64 `toml:"used"`
	Attempts  float64 `toml:"attempts"` // greatest mean number of attempts at backends per operation
}

// defaultRecoveredShare allows for the random variation of single seconds with a hundred operations.
const defaultRecoveredShare = 0.9
