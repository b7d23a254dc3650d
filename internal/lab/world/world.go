// Package world draws a deployment by seed from the operators' figures: zones,
// kinds of machine, classes of request, tenants. It is pure. The ranges are
// those of the brief and of the site file windhoek-main.
package world

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Effects of a class: what a repeat of its requests may do.
const (
	Safe   = "safe"
	Unsafe = "unsafe" // must never run twice
	Keyed  = "keyed"  // a pod drops repeats of a key for a while
)

// Class is one kind of request.
type Class struct {
	Name     string
	Effect   string
	Share    float64 // of all requests
	Work     time.Duration
	CV       float64 // spread of the work of single requests, as deviation over mean
	Aim      time.Duration
	Deadline time.Duration
	Worth    float64
	Window   time.Duration // for which a pod drops a key
}

// Tenant is one book.
type Tenant struct {
	Name  string
	Share float64 // of the service
	Usage float64 // asked for, over its share
}

// Machine is one app backend.
type Machine struct {
	Name, Kind, Zone string
	Pod              int
	Cores            int
	Speed            float64 // of a core, over a standard one
	Slots            int     // requests in work
	Queue            int     // requests that may wait
	Thrash, ThrashAt float64 // from so many requests a core, each further one costs that share of efficiency
	ColdFrom         float64
	ColdTime         time.Duration
	PauseEvery       time.Duration
	Pause            time.Duration
	ErrorRate        float64
	DropsCancelled   bool // waiting work whose node has left is dropped
	Connections      int
	Handshake        time.Duration // work for a new connection
	Noise            float64       // spread of the work from attempt to attempt
	Choke            Choke
}

// Choke is the trouble of a machine that holds too much for too long.
type Choke struct {
	At     float64 // requests a core; 0: it does not choke
	Over   time.Duration
	Slower float64
	Rest   time.Duration // mostly idle for so long ends it
	Most   time.Duration // and so does this time
}

// World is one deployment.
type World struct {
	Zones    []string
	Kinds    []string
	Classes  []Class
	Tenants  []Tenant
	Machines []Machine

	Same, Cross, Client time.Duration // one way, over the network
	Jitter              float64       // up to such a part more
}

// The rules' figures that the lab checks, from the brief and the site file.
const (
	DrainGrace     = 2 * time.Second
	FallMultiple   = 3.0
	FallTime       = 1500 * time.Millisecond
	ColdFrom       = 0.16
	ColdTime       = 23 * time.Second
	AnswerSlack    = 16 * time.Millisecond
	IdleClose      = 10 * time.Second
	ConnectTimeout = 100 * time.Millisecond
	KeyWindow      = 1200 * time.Millisecond // for which a pod drops a key
	MaxAttempts    = 5
	MaxRetryAfter  = 2 * time.Second
	SocketSlack    = 50 * time.Millisecond // each time limit is longer by this on sockets
)

var zones = []string{"klein-windhoek", "southern-ind", "okuryangava"}

var tenants = []struct {
	name        string
	share       float64
	least, most float64
}{
	{"kalahari-core", 0.3, 0.51, 1.4}, {"namib-factors", 0.25, 0.54, 1.1}, {"oshana-credit", 0.17, 0.65, 1.2},
	{"erongo-trade", 0.11, 0.74, 1.4}, {"kalahari-agri", 0.08, 0.67, 1.2}, {"kunene-mining", 0.05, 0.81, 1.4},
	{"otjozondjupa-sme", 0.04, 0.82, 1.3},
}

var classes = []struct {
	name, effect   string
	share          float64
	least, most    float64 // work, ms
	cvMin, cvMax   float64
	aim, deadline  float64 // ms
	worth, windowS float64
}{
	{"ledger-view", Safe, 0.36, 33, 61, 0.83, 1.4, 600, 1200, 2, 0},
	{"aging-report", Safe, 0.24, 81, 140, 0.73, 1.3, 600, 3000, 1, 0},
	{"payment-post", Unsafe, 0.23, 18, 31, 0.84, 1.5, 200, 600, 2, 0},
	{"advance-release", Keyed, 0.17, 43, 78, 0.84, 1.3, 400, 1200, 5, 1.2},
}

var kinds = []struct {
	name               string
	share              float64
	cores              int
	slow, fast         float64
	queueMin, queueMax float64 // a core
	thrashMin          float64
	coldMin, coldMax   float64 // s
	pauseMax           float64 // ms
	everyMin, everyMax float64 // s
}{
	{"fast-single", 0.32, 1, 1.1, 1.5, 13, 35, 0.08, 11, 23, 95, 1.5, 5.7},
	{"std-single", 0.36, 1, 0.85, 1.1, 13, 36, 0.035, 13, 20, 130, 3.1, 5.8},
	{"slow-dual", 0.32, 2, 0.59, 0.8, 8.2, 38, 0.067, 12, 22, 96, 1.6, 5.8},
}

// Draw draws a deployment of that many zones and machines. The same seed gives the same one.
func Draw(seed uint64, zoneCount, machines int) World {
	r := rand.New(rand.NewPCG(seed, 0x776f726c64))
	in := func(least, most float64) float64 { return least + r.Float64()*(most-least) }
	ms := func(least, most float64) time.Duration {
		return time.Duration(in(least, most) * float64(time.Millisecond))
	}
	w := World{Same: ms(0.1, 0.3), Cross: ms(0.76, 1.4), Client: ms(0.29, 1.2), Jitter: in(0.19, 0.34)}
	for i := range zoneCount {
		name := fmt.Sprintf("zone-%d", i+1)
		if i < len(zones) {
			name = zones[i]
		}
		w.Zones = append(w.Zones, name)
	}
	for _, t := range tenants {
		w.Tenants = append(w.Tenants, Tenant{Name: t.name, Share: t.share, Usage: in(t.least, t.most)})
	}
	for _, c := range classes {
		w.Classes = append(
			w.Classes,
			Class{Name: c.name, Effect: c.effect, Share: c.share, Work: ms(c.least, c.most),
				CV: in(c.cvMin, c.cvMax), Aim: ms(c.aim, c.aim), Deadline: ms(c.deadline, c.deadline), Worth: c.worth,
				Window: time.Duration(c.windowS * float64(time.Second))},
		)
	}
	for _, k := range kinds {
		w.Kinds = append(w.Kinds, k.name)
	}
	podSize := 2 + r.IntN(2) // small groups; the site's own cells are as large as its whole fleet
	for i := range machines {
		m := drawMachine(r, in, ms)
		m.Name, m.Zone = fmt.Sprintf("s%d", i), w.Zones[i%zoneCount]
		m.Pod = i%zoneCount + zoneCount*(i/zoneCount/podSize) // no two zones share a number
		w.Machines = append(w.Machines, m)
	}
	return w
}

func drawMachine(r *rand.Rand, in func(a, b float64) float64, ms func(a, b float64) time.Duration) Machine {
	pick := r.Float64()
	k := kinds[0]
	for _, next := range kinds[1:] {
		if pick -= k.share; pick < 0 {
			break
		}
		k = next
	}
	cores := float64(k.cores)
	m := Machine{
		Kind:     k.name,
		Cores:    k.cores,
		Speed:    in(k.slow, k.fast),
		Slots:    int(in(4, 12) * cores),
		Queue:    int(in(k.queueMin, k.queueMax) * cores),
		Thrash:   in(k.thrashMin, 0.14),
		ThrashAt: in(6.8, 12),
		ColdFrom: in(
			ColdFrom,
			0.32,
		),
		ColdTime:   ms(1000*k.coldMin, 1000*k.coldMax),
		PauseEvery: ms(1000*k.everyMin, 1000*k.everyMax),
		Pause: ms(
			37,
			k.pauseMax,
		),
		ErrorRate:      in(0, 0.001),
		DropsCancelled: r.IntN(2) == 0,
		Connections:    int(in(600, 900) * cores),
		Handshake:      ms(0.59, 1.7),
		Noise:          in(0.087, 0.55),
	}
	if r.Float64() < 0.6 {
		m.Choke = Choke{
			At:     in(4, 7),
			Over:   ms(1500, 2500),
			Slower: in(2.2, 3.2),
			Rest:   ms(2400, 5000),
			Most:   ms(21000, 33000),
		}
	}
	return m
}

// Capacity is the work that a warm machine does in a second, in seconds on a standard core.
func (m Machine) Capacity() float64 { return float64(m.Cores) * m.Speed }

// Capacity is that of all machines.
func (w World) Capacity() float64 {
	var sum float64
	for _, m := range w.Machines {
		sum += m.Capacity()
	}
	return sum
}

// MeanWork is that of a request, over all classes.
func (w World) MeanWork() time.Duration {
	var sum, shares float64
	for _, c := range w.Classes {
		sum += c.Share * float64(c.Work)
		shares += c.Share
	}
	return time.Duration(sum / shares)
}

// Spread draws a factor of mean 1 and the deviation cv, log-normally.
func Spread(r *rand.Rand, cv float64) float64 {
	s2 := math.Log(1 + cv*cv)
	return math.Exp(r.NormFloat64()*math.Sqrt(s2) - s2/2)
}
