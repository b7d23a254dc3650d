// Package world draws a deployment from a seed: zones, machines, classes of requests and tenants. The ranges
// from which it draws are the operators' figures, given in the brief and in the site file windhoek-main. The
// package has no side effects.
package world

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// The effects of a class say whether its requests may be repeated.
const (
	Safe   = "safe"   // a request may be repeated
	Unsafe = "unsafe" // a request must never run twice
	Keyed  = "keyed"  // a pod drops repeats of an idempotency key for a time
)

// Class is one kind of request.
type Class struct {
	Name             string
	Effect           string
	Share            float64       // share of all requests
	Work             time.Duration // mean work of a request, on a standard core
	CV               float64       // coefficient of variation of the work of single requests
	LatencyObjective time.Duration
	Deadline         time.Duration // time after which the client gives up the operation
	Importance       float64
	Window           time.Duration // time for which a pod drops repeats of an idempotency key
}

// Tenant is one tenant, with its share of the service and its demand.
type Tenant struct {
	Name   string
	Share  float64 // the tenant's share of the service
	Demand float64 // the tenant's demand divided by Share
}

// Machine describes the machine of one app backend.
type Machine struct {
	Name, Kind, Zone string
	Pod              int
	Cores            int
	Speed            float64 // speed of a core relative to a standard core
	Slots            int     // requests that are processed at once
	Queue            int     // requests that may wait
	// The machine's rate is divided by 1 + Thrash × the number of requests per core above ThrashAt.
	Thrash, ThrashAt float64
	ColdFrom         float64       // share of its capacity that the machine has after a start
	ColdTime         time.Duration // time until it is warm, without work
	PauseEvery       time.Duration // mean time between two pauses
	Pause            time.Duration // length of a pause
	ErrorRate        float64       // share of requests that fails
	DropsCancelled   bool          // a waiting request is dropped when its node cancels it
	Connections      int           // requests on connections above this number are rejected
	Handshake        time.Duration // extra work for the first request of a connection
	Noise            float64       // coefficient of variation of the work between attempts of one request
	Overload         Overload
}

// Overload describes the overload state of a machine: it becomes slower after having too many requests for
// too long.
type Overload struct {
	At           float64       // requests per core above which the machine is crowded; 0: no overload state
	After        time.Duration // time of being crowded that begins the state
	Slower       float64       // factor by which the machine is slower in the state
	RecoveryIdle time.Duration // time of being mostly idle that ends the state
	MaxDuration  time.Duration // longest duration of the state
}

// World is one drawn deployment.
type World struct {
	Zones    []string
	Kinds    []string
	Classes  []Class
	Tenants  []Tenant
	Machines []Machine

	Same, Cross, Client time.Duration // one-way network delays within a zone, between zones and from clients
	Jitter              float64       // greatest random addition, as a share of the delay
}

// Figures of the rules that the lab checks, from the brief and the site file.
const (
	// a node may still send new requests this long after a drain notification
	DrainGrace = 2 * time.Second
	// a cold backend that receives more work than this multiple of its capacity may stop answering
	CrashMultiple  = 3.0
	CrashWindow    = 1500 * time.Millisecond // period over which the work for CrashMultiple is summed
	ColdFrom       = 0.16                    // least share of its capacity that a cold backend has
	ColdTime       = 23 * time.Second        // longest warm-up time
	AnswerSlack    = 16 * time.Millisecond   // a node's final answer counts until this long after the deadline
	IdleClose      = 10 * time.Second        // backends close connections that were idle for this long
	ConnectTimeout = 100 * time.Millisecond
	KeyWindow      = 1200 * time.Millisecond // time for which a pod drops repeats of a key
	MaxAttempts    = 5                       // attempts of a node for one request
	MaxRetryAfter  = 2 * time.Second         // longest Retry-After that clients follow
	SocketSlack    = 50 * time.Millisecond   // added to each time limit where real sockets are involved
)

var zones = []string{"klein-windhoek", "southern-ind", "okuryangava"}

// tenants lists each tenant's share, and the range of its demand relative to that share.
var tenants = []struct {
	name                 string
	share                float64
	minDemand, maxDemand float64
}{
	{"kalahari-core", 0.3, 0.51, 1.4}, {"namib-factors", 0.25, 0.54, 1.1}, {"oshana-credit", 0.17, 0.65, 1.2},
	{"erongo-trade", 0.11, 0.74, 1.4}, {"kalahari-agri", 0.08, 0.67, 1.2}, {"kunene-mining", 0.05, 0.81, 1.4},
	{"otjozondjupa-sme", 0.04, 0.82, 1.3},
}

// classes lists the classes of requests, with the ranges from which their work is drawn.
var classes = []struct {
	name, effect               string
	share                      float64
	minWork, maxWork           float64 // work, ms
	cvMin, cvMax               float64
	latencyObjective, deadline float64 // ms
	importance, windowSeconds  float64
}{
	{"ledger-view", Safe, 0.36, 33, 61, 0.83, 1.4, 600, 1200, 2, 0},
	{"aging-report", Safe, 0.24, 81, 140, 0.73, 1.3, 600, 3000, 1, 0},
	{"payment-post", Unsafe, 0.23, 18, 31, 0.84, 1.5, 200, 600, 2, 0},
	{"advance-release", Keyed, 0.17, 43, 78, 0.84, 1.3, 400, 1200, 5, 1.2},
}

// kinds lists the kinds of machines, with the ranges from which a machine is drawn.
var kinds = []struct {
	name                         string
	share                        float64
	cores                        int
	minSpeed, maxSpeed           float64
	queueMin, queueMax           float64 // per core
	thrashMin                    float64
	coldTimeMin, coldTimeMax     float64 // s
	maxPause                     float64 // ms
	pauseEveryMin, pauseEveryMax float64 // s
}{
	{"fast-single", 0.32, 1, 1.1, 1.5, 13, 35, 0.08, 11, 23, 95, 1.5, 5.7},
	{"std-single", 0.36, 1, 0.85, 1.1, 13, 36, 0.035, 13, 20, 130, 3.1, 5.8},
	{"slow-dual", 0.32, 2, 0.59, 0.8, 8.2, 38, 0.067, 12, 22, 96, 1.6, 5.8},
}

// Draw draws a deployment with zoneCount zones and the given number of machines. The result depends only on
// the arguments.
func Draw(seed uint64, zoneCount, machines int) World {
	r := rand.New(rand.NewPCG(seed, 0x776f726c64))
	between := func(low, high float64) float64 { return low + r.Float64()*(high-low) }
	ms := func(low, high float64) time.Duration {
		return time.Duration(between(low, high) * float64(time.Millisecond))
	}
	world := World{Same: ms(0.1, 0.3), Cross: ms(0.76, 1.4), Client: ms(0.29, 1.2), Jitter: between(0.19, 0.34)}
	for i := range zoneCount {
		name := fmt.Sprintf("zone-%d", i+1)
		if i < len(zones) {
			name = zones[i]
		}
		world.Zones = append(world.Zones, name)
	}
	for _, t := range tenants {
		world.Tenants = append(world.Tenants,
			Tenant{Name: t.name, Share: t.share, Demand: between(t.minDemand, t.maxDemand)})
	}
	for _, c := range classes {
		world.Classes = append(
			world.Classes,
			Class{Name: c.name, Effect: c.effect, Share: c.share, Work: ms(c.minWork, c.maxWork),
				CV:               between(c.cvMin, c.cvMax),
				LatencyObjective: ms(c.latencyObjective, c.latencyObjective),
				Deadline:         ms(c.deadline, c.deadline),
				Importance:       c.importance,
				Window:           time.Duration(c.windowSeconds * float64(time.Second))},
		)
	}
	for _, k := range kinds {
		world.Kinds = append(world.Kinds, k.name)
	}
	podSize := 2 + r.IntN(2) // smaller than in the site file, where one cell is as large as the complete fleet
	for i := range machines {
		m := drawMachine(r, between, ms)
		m.Name, m.Zone = fmt.Sprintf("s%d", i), world.Zones[i%zoneCount]
		m.Pod = i%zoneCount + zoneCount*(i/zoneCount/podSize) // a pod's machines are all in one zone
		world.Machines = append(world.Machines, m)
	}
	return world
}

// drawMachine draws a machine without name, zone and pod. drawNumber returns a number from a range, and
// drawMilliseconds a duration from a range in milliseconds; both have to draw from r, so that the machine
// depends only on r.
func drawMachine(r *rand.Rand, drawNumber func(a, b float64) float64,
	drawMilliseconds func(a, b float64) time.Duration) Machine {
	remainingShare := r.Float64()
	kind := kinds[0]
	for _, next := range kinds[1:] {
		if remainingShare -= kind.share; remainingShare < 0 {
			break
		}
		kind = next
	}
	cores := float64(kind.cores)
	m := Machine{
		Kind:     kind.name,
		Cores:    kind.cores,
		Speed:    drawNumber(kind.minSpeed, kind.maxSpeed),
		Slots:    int(drawNumber(4, 12) * cores),
		Queue:    int(drawNumber(kind.queueMin, kind.queueMax) * cores),
		Thrash:   drawNumber(kind.thrashMin, 0.14),
		ThrashAt: drawNumber(6.8, 12),
		ColdFrom: drawNumber(
			ColdFrom,
			0.32,
		),
		ColdTime:   drawMilliseconds(1000*kind.coldTimeMin, 1000*kind.coldTimeMax),
		PauseEvery: drawMilliseconds(1000*kind.pauseEveryMin, 1000*kind.pauseEveryMax),
		Pause: drawMilliseconds(
			37,
			kind.maxPause,
		),
		ErrorRate:      drawNumber(0, 0.001),
		DropsCancelled: r.IntN(2) == 0,
		Connections:    int(drawNumber(600, 900) * cores),
		Handshake:      drawMilliseconds(0.59, 1.7),
		Noise:          drawNumber(0.087, 0.55),
	}
	if r.Float64() < 0.6 {
		m.Overload = Overload{
			At:           drawNumber(4, 7),
			After:        drawMilliseconds(1500, 2500),
			Slower:       drawNumber(2.2, 3.2),
			RecoveryIdle: drawMilliseconds(2400, 5000),
			MaxDuration:  drawMilliseconds(21000, 33000),
		}
	}
	return m
}

// Capacity returns the work that a warm machine does per second, in seconds on a standard core.
func (m Machine) Capacity() float64 { return float64(m.Cores) * m.Speed }

// Capacity returns the sum of the capacities of all machines.
func (w World) Capacity() float64 {
	var sum float64
	for _, m := range w.Machines {
		sum += m.Capacity()
	}
	return sum
}

// MeanWork returns the mean work of a request over all classes.
func (w World) MeanWork() time.Duration {
	var sum, shares float64
	for _, c := range w.Classes {
		sum += c.Share * float64(c.Work)
		shares += c.Share
	}
	return time.Duration(sum / shares)
}

// Spread draws a log-normal factor with mean 1 and standard deviation cv.
func Spread(r *rand.Rand, cv float64) float64 {
	variance := math.Log(1 + cv*cv)
	return math.Exp(r.NormFloat64()*math.Sqrt(variance) - variance/2)
}
