// Package backend is one emulated app backend: a queue whose rate of work changes with
// its cores, pauses, warmth and troubles. It is pure: events and a time in,
// what it does out. Times are of the run and never go back.
package backend

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"wrenspread/internal/lab/world"
)

// Job is an attempt that has reached the backend.
type Job struct {
	Num  uint64 // names it at this backend
	Key  string // or empty
	Work time.Duration
}

// What a backend does with a job.
type What int

const (
	Begun   What = iota // its work starts, so that it may have an effect
	Dropped             // it repeats a key that its pod has seen
	Turned              // rejected unseen; Why says why
	Done                // answered with Status
	Fell                // the backend has fallen over; it answers nothing more
)

// Out is one thing that a backend does.
type Out struct {
	What   What
	Num    uint64
	Status int
	Why    string
}

// Trouble is what goes wrong with a backend. The zero value is none.
type Trouble struct {
	Slower float64 // so many times; 0 or 1: not
	Hangs  bool    // takes work, answers nothing
	Fails  float64 // share that fails at once
	Taken  float64 // share of the machine that another program takes
}

// Worse is two troubles at once. Their order makes no difference.
func Worse(a, b Trouble) Trouble {
	return Trouble{
		Slower: max(1, a.Slower) * max(1, b.Slower),
		Hangs:  a.Hangs || b.Hangs,
		Fails:  1 - (1-a.Fails)*(1-b.Fails),
		Taken:  1 - (1-a.Taken)*(1-b.Taken),
	}
}

// Pod is what the backends of one pod share: the keys they have begun. It keeps all
// of a run, since a job may wait for longer than the window. It is not safe for
// concurrent use.
type Pod struct {
	window time.Duration
	begun  map[string]time.Duration
}

// NewPod makes a pod that drops a key for window.
func NewPod(window time.Duration) *Pod {
	return &Pod{window: window, begun: map[string]time.Duration{}}
}

// first reports whether a job with that key, arrived then, is to run, and notes that it begins now.
func (p *Pod) first(key string, arrived, now time.Duration) bool {
	if t, ok := p.begun[key]; ok && arrived <= t+p.window {
		return false
	}
	p.begun[key] = now
	return true
}

// step bounds how long a rate that changes by itself is held constant.
const step = 50 * time.Millisecond

// fallSlack is what a cold backend takes beyond the rule's budget, for chance.
const fallSlack = 1.1

// Backend is the state of one backend.
type Box struct {
	m       world.Machine
	pod     *Pod
	chance  *rand.Rand
	now     time.Duration
	started time.Duration
	cold    bool
	done    float64 // work since the start, in seconds on a standard core
	fallen  bool
	trouble Trouble

	pauseFrom, pauseTo time.Duration // the next standstill, or the present one
	crowdedSince       time.Duration // -1: not crowded
	choked             bool
	chokedAt           time.Duration
	restingSince       time.Duration // -1: not idle enough

	served  float64 // work that each job in service has had, all since the start, as they share alike
	running jobs
	waiting []*job
	sent    []parcel // what came within world.FallTime, while cold
}

type job struct {
	Job
	arrived time.Duration
	ends    float64 // value of served at which it is done
}

type parcel struct {
	at   time.Duration
	work float64
}

// New makes a backend that is warm, or as cold as one that has just started.
func New(m world.Machine, pod *Pod, seed uint64, now time.Duration, cold bool) *Box {
	b := &Box{m: m, pod: pod, chance: rand.New(rand.NewPCG(seed, 0x626f78)), now: now, started: now, cold: cold,
		crowdedSince: -1, restingSince: -1}
	b.nextPause(now)
	return b
}

func (b *Box) nextPause(after time.Duration) {
	if b.m.PauseEvery <= 0 {
		b.pauseFrom, b.pauseTo = math.MaxInt64, math.MaxInt64
		return
	}
	gap := time.Duration(float64(b.m.PauseEvery) * (0.5 + b.chance.Float64()))
	b.pauseFrom, b.pauseTo = after+gap, after+gap+b.m.Pause
}

// Capacity is the work that the backend could do in a second now, but for standstills
// and troubles, in seconds on a standard core.
func (b *Box) Capacity(now time.Duration) float64 { return b.m.Capacity() * b.warmth(now) }

func (b *Box) warmth(now time.Duration) float64 {
	if !b.cold || b.m.ColdTime <= 0 {
		return 1
	}
	byTime := float64(now-b.started) / float64(b.m.ColdTime)
	byWork := b.done / (b.m.Capacity() * b.m.ColdTime.Seconds() / 2)
	return b.m.ColdFrom + (1-b.m.ColdFrom)*min(1, max(byTime, byWork))
}

// rate is the work that each job in service gets in a second.
func (b *Box) rate() float64 {
	n := len(b.running)
	if n == 0 || b.fallen || b.trouble.Hangs || (b.now >= b.pauseFrom && b.now < b.pauseTo) {
		return 0
	}
	r := min(1, float64(b.m.Cores)/float64(n)) * b.m.Speed * b.warmth(b.now) * (1 - b.trouble.Taken)
	if over := float64(n)/float64(b.m.Cores) - b.m.ThrashAt; over > 0 {
		r /= 1 + b.m.Thrash*over
	}
	if b.trouble.Slower > 1 {
		r /= b.trouble.Slower
	}
	if b.choked {
		r /= b.m.Choke.Slower
	}
	return r
}

// Next is when the backend wants Tick, if nothing else comes before.
func (b *Box) Next() time.Duration {
	next := b.pauseFrom
	if b.now >= b.pauseFrom {
		next = b.pauseTo
	}
	if b.cold || b.m.Choke.At > 0 && (len(b.running) > 0 || b.choked) {
		next = min(next, b.now+step)
	}
	if r := b.rate(); r > 0 {
		left := (b.running[0].ends - b.served) / r
		next = min(next, b.now+time.Duration(math.Ceil(left*float64(time.Second)))+1)
	}
	return next
}

// Tick lets the time pass.
func (b *Box) Tick(now time.Duration) []Out { return b.pass(now, nil) }

// pass carries the state on to now, through every change of rate in between.
func (b *Box) pass(now time.Duration, outs []Out) []Out {
	for b.now < now {
		to := min(now, max(b.Next(), b.now+1))
		r := b.rate()
		b.served += r * (to - b.now).Seconds()
		b.done += r * float64(len(b.running)) * (to - b.now).Seconds()
		b.now = to
		if to >= b.pauseTo {
			b.nextPause(to)
		}
		if b.cold && b.warmth(to) >= 1 {
			b.cold, b.sent = false, nil
		}
		outs = b.finish(outs)
		b.crowd()
	}
	return outs
}

func (b *Box) finish(outs []Out) []Out {
	for len(b.running) > 0 && b.running[0].ends <= b.served+1e-12 {
		j := heap.Pop(&b.running).(*job)
		status := 200
		if b.chance.Float64() < b.m.ErrorRate {
			status = 500
		}
		outs = append(outs, Out{What: Done, Num: j.Num, Status: status})
	}
	return b.fillSlots(outs)
}

func (b *Box) fillSlots(outs []Out) []Out {
	for len(b.waiting) > 0 && len(b.running) < b.m.Slots {
		j := b.waiting[0]
		b.waiting = b.waiting[1:]
		outs = b.start(j, outs)
	}
	return outs
}

func (b *Box) start(j *job, outs []Out) []Out {
	if j.Key != "" && !b.pod.first(j.Key, j.arrived, b.now) {
		return append(outs, Out{What: Dropped, Num: j.Num}, Out{What: Done, Num: j.Num, Status: 200})
	}
	j.ends = b.served + j.Work.Seconds()
	heap.Push(&b.running, j)
	return append(outs, Out{What: Begun, Num: j.Num})
}

// crowd follows whether the backend holds too much, or has rested enough.
func (b *Box) crowd() {
	c := b.m.Choke
	if c.At <= 0 {
		return
	}
	held := float64(len(b.running)+len(b.waiting)) / float64(b.m.Cores)
	b.crowdedSince = since(held > c.At, b.crowdedSince, b.now)
	b.restingSince = since(held < c.At/4, b.restingSince, b.now)
	switch {
	case !b.choked && b.crowdedSince >= 0 && b.now-b.crowdedSince >= c.Over:
		b.choked, b.chokedAt = true, b.now
	case b.choked && (b.now-b.chokedAt >= c.Most || b.restingSince >= 0 && b.now-b.restingSince >= c.Rest):
		b.choked, b.crowdedSince = false, -1
	}
}

// since is when a condition that holds now began to hold, or -1.
func since(holds bool, before, now time.Duration) time.Duration {
	if !holds {
		return -1
	}
	if before >= 0 {
		return before
	}
	return now
}

// Arrive takes a job. extra is work that its connection costs.
func (b *Box) Arrive(now time.Duration, j Job, extra time.Duration) []Out {
	outs := b.pass(now, nil)
	if b.fallen {
		return outs
	}
	if b.cold && b.pushedOver(j.Work.Seconds()) {
		b.fallen = true
		return append(outs, Out{What: Fell})
	}
	j.Work += extra
	in := &job{Job: j, arrived: b.now}
	if b.trouble.Fails > 0 && b.chance.Float64() < b.trouble.Fails {
		return append(outs, b.fail(in)...)
	}
	switch {
	case len(b.running) < b.m.Slots && len(b.waiting) == 0:
		outs = b.start(in, outs)
	case len(b.waiting) < b.m.Queue:
		b.waiting = append(b.waiting, in)
	default:
		outs = append(outs, Out{What: Turned, Num: j.Num, Why: "full"})
	}
	b.crowd()
	return outs
}

// fail answers at once that the job has failed. It may have had its effect, so its pod knows the key.
func (b *Box) fail(j *job) []Out {
	first := Out{What: Begun, Num: j.Num}
	if j.Key != "" && !b.pod.first(j.Key, j.arrived, b.now) {
		first.What = Dropped
	}
	return []Out{first, {What: Done, Num: j.Num, Status: 500}}
}

// pushedOver notes work sent to a cold backend and reports whether it is too much.
func (b *Box) pushedOver(work float64) bool {
	b.sent = append(b.sent, parcel{b.now, work})
	for b.now-b.sent[0].at > world.FallTime {
		b.sent = b.sent[1:]
	}
	var sum, most float64
	for _, p := range b.sent {
		sum += p.work
		most = max(most, p.work)
	}
	// One heavy request alone can't push a backend over.
	return sum-most > fallSlack*world.FallMultiple*b.Capacity(b.now)*world.FallTime.Seconds()
}

// Leave says that the node has ended the attempt.
func (b *Box) Leave(now time.Duration, num uint64) []Out {
	outs := b.pass(now, nil)
	for i, j := range b.waiting {
		if j.Num == num && b.m.DropsCancelled {
			b.waiting = append(b.waiting[:i:i], b.waiting[i+1:]...)
			break
		}
	}
	return outs
}

// Suffer changes what is wrong with the backend.
func (b *Box) Suffer(now time.Duration, t Trouble) []Out {
	outs := b.pass(now, nil)
	b.trouble = t
	return outs
}

// Held is the number of jobs in work and waiting.
func (b *Box) Held() int { return len(b.running) + len(b.waiting) }

// jobs is a heap by the end of the work.
type jobs []*job

func (h jobs) Len() int           { return len(h) }
func (h jobs) Less(i, k int) bool { return h[i].ends < h[k].ends }
func (h jobs) Swap(i, k int)      { h[i], h[k] = h[k], h[i] }
func (h *jobs) Push(x any)        { *h = append(*h, x.(*job)) }
func (h *jobs) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
