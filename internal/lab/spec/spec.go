// Package spec describes an experiment of the lab: it reads and checks the experiment's file, and draws the
// schedule of faults from a seed. Apart from reading the file it has no side effects.
package spec

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Duration is a time that is written with its unit in the file: "1.5s", "200ms".
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
	Name    string   `toml:"name"`
	About   string   `toml:"about"`  // one line of description for lists of experiments
	Length  Duration `toml:"length"` // the time during which operations arrive
	Quick   bool     `toml:"quick"`  // the experiment belongs to the quick set
	Fleet   Fleet    `toml:"fleet"`
	Load    Load     `toml:"load"`
	Net     Net      `toml:"net"`
	List    List     `toml:"discovery"`
	Faults  []Fault  `toml:"fault"`
	Duties  Duties   `toml:"duties"`
	Release *Release `toml:"release"`
	Quota   *Quota   `toml:"quota"`
	Draw    *Draw    `toml:"draw"`
	Bounds  Bounds   `toml:"bounds"`

	path   string
	source string
}

// Fleet describes the nodes and backends that take part.
type Fleet struct {
	Nodes    int  `toml:"nodes"`
	Boxes    int  `toml:"boxes"`
	Zones    int  `toml:"zones"`
	MemoryMB int  `toml:"memory_mb"` // memory limit of each node
	Sockets  int  `toml:"sockets"`   // file descriptor limit of each node
	Messages bool `toml:"messages"`  // nodes send each other messages
	View     bool `toml:"view"`      // nodes maintain a view of each other with these messages

	Absent []string `toml:"absent"`    // nodes that do not run at first; a join starts them
	Accept bool     `toml:"accept_fd"` // the platform owns the clients' listening sockets, which upgrades need
}

// Load describes the operations that clients send. Either Rate or Use is given.
type Load struct {
	Rate   float64 `toml:"rate"`   // operations per second
	Use    float64 `toml:"use"`    // load as a share of the capacity of all warm backends
	Bursty bool    `toml:"bursty"` // the rate oscillates
	Swing  float64 `toml:"swing"`  // amplitude of a bursty load, as a share of the rate
	Skew   float64 `toml:"skew"`   // what the first zone has beyond an even share, as a fraction of that share
	Surges []Surge `toml:"surge"`
}

// Surge multiplies the load by Times during a period.
type Surge struct {
	At    Duration `toml:"at"`
	For   Duration `toml:"for"`
	Times float64  `toml:"times"`
}

// Net describes the network; absent values are drawn from the operators' ranges.
type Net struct {
	Same   *Duration `toml:"same"`  // one-way delay within a zone
	Cross  *Duration `toml:"cross"` // one-way delay between zones
	Client *Duration `toml:"client"`
	Loss   float64   `toml:"loss"`  // share of messages between nodes that is lost
	Front  Duration  `toml:"front"` // time until the front notices that a node died; 0: drawn
}

// List describes discovery: its delays, and the registry where it is used instead of the lab's discovery.
type List struct {
	Notice Duration `toml:"notice"` // delay until a change reaches a node, give or take half; 0: drawn
	// delay until the loss of a backend that did not announce it is noticed; 0: drawn
	Silent Duration `toml:"silent"`

	// Replicas is the number of registry replicas that replace the lab's discovery; 0: no registry.
	Replicas  int  `toml:"replicas"`
	Direct    bool `toml:"direct"`    // nodes follow the registry directly, without an agent
	Followers int  `toml:"followers"` // additional clients that follow the registry
}

// Duties describes the workers that hold leases.
type Duties struct {
	Workers int      `toml:"workers"` // number of workers, named d0, d1 and so on; 0: none
	Count   int      `toml:"count"`   // number of leases for which all workers compete
	TTL     Duration `toml:"ttl"`     // of the workers' sessions
	Guard   bool     `toml:"guard"`   // the resource that the workers write to checks fencing tokens
	Spread  bool     `toml:"spread"`  // leases are distributed evenly over the workers
}

// Release is a staged rollout over all backends that real controllers carry out.
type Release struct {
	At         Duration  `toml:"at"`
	Conductors int       `toml:"conductors"` // number of controllers, named c0, c1 and so on
	Out        int       `toml:"out"`        // number of backends that may be out of service at the same time
	Waves      []float64 `toml:"waves"`      // the share of the backends that each wave covers
	Soak       Duration  `toml:"soak"`
	Least      int       `toml:"least"`    // requests that a gate needs from each of the two versions
	Gateless   bool      `toml:"gateless"` // every gate passes without a comparison
	Halt       string    `toml:"halt"`     // what a halted release does: wait or back
	Slower     float64   `toml:"slower"`   // factor by which backends of the new version are slower
	Fails      float64   `toml:"fails"`    // share of the requests to the new version that fails
	End        string    `toml:"end"`      // the phase in which the release has to end
}

// Quota is a policy with one limit on the requests of the complete fleet, which the quota keepers distribute.
type Quota struct {
	// number of keepers that compete for the lease, named k0, k1 and so on
	Holders int           `toml:"holders"`
	Rate    float64       `toml:"rate"` // requests per second
	Burst   float64       `toml:"burst"`
	Changes []QuotaChange `toml:"change"`
}

// QuotaChange is a policy that replaces the previous one at a time.
type QuotaChange struct {
	At    Duration `toml:"at"`
	Rate  float64  `toml:"rate"`
	Burst float64  `toml:"burst"`
}

// Fault is a failure that the lab causes, or an operator's order. Which of the keys apply depends on Do.
type Fault struct {
	At  Duration `toml:"at"`
	For Duration `toml:"for"`
	Do  string   `toml:"do"`
	On  []string `toml:"on"` // target parties
	To  []string `toml:"to"` // the other ends, for faults of links

	Share  float64  `toml:"share"`  // share of the named parties, drawn by seed; 0: all
	Way    string   `toml:"way"`    // direction of a cut or mute: "both" (the default), "forward", "back"
	Delay  Duration `toml:"delay"`  // of a link
	Jitter Duration `toml:"jitter"` // of a link
	Loss   float64  `toml:"loss"`
	Rate   Rate     `toml:"rate"`
	Bytes  int      `toml:"bytes"` // a connection is reset after 1 to Bytes bytes
	Every  Duration `toml:"every"` // interval of repeated resets
	Times  float64  `toml:"times"` // factor by which a backend is slower
	Part   float64  `toml:"part"`  // share of requests that fails, or of the machine that another program takes
}

// Draw describes additional faults that are drawn by seed, evenly over the time from From to Until.
type Draw struct {
	Faults int      `toml:"faults"`
	From   Duration `toml:"from"`
	Until  Duration `toml:"until"` // all drawn faults are over by then
	Menu   []string `toml:"menu"`
}

// Bounds are limits for the run's figures, in addition to the checks. Absent bounds are not checked.
type Bounds struct {
	// least share of operations served within their latency objective
	Served float64 `toml:"served"`
	// greatest share that ends failed, broken, silent or unreached
	Failed  *float64           `toml:"failed"`
	Refused *float64           `toml:"refused"` // greatest share that ends refused
	Class   map[string]float64 `toml:"class"`   // least share served within the latency objective, by class
	P99     map[string]string  `toml:"p99"`     // greatest 99th percentile of served operations, by class
	Holder  Duration           `toml:"holder"`  // longest time that a lease may be without a holder
	// longest time until 99% of the followers know a change, counted from the first that does
	Followers Duration `toml:"followers"`
	Recovered Duration `toml:"recovered"` // longest time from the last fault's end to recovery
	// Level is the share of the service before the first fault that counts as recovered; 0 means
	// defaultRecoveredShare.
	Level float64 `toml:"recovered_at"`
	// Used is the least share of the quota that is used, over the complete run.
	Used     float64 `toml:"used"`
	Attempts float64 `toml:"attempts"` // greatest mean number of attempts at backends per operation
}

// defaultRecoveredShare allows for the random variation of single seconds with a hundred operations.
const defaultRecoveredShare = 0.9
