// Package backend emulates an app backend: a queue whose service rate depends on its cores, pauses, warm-up
// and degradations. The package has no side effects: each call passes an event and the time, and returns the
// resulting actions. Times count from the start of the run and never go back.
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
	Num  uint64 // identifies the job at this backend
	Key  string // idempotency key, or empty
	Work time.Duration
}

// ActionKind says what happened to a job or to the backend.
type ActionKind int

// The kinds of actions.
const (
	Begun    ActionKind = iota // the work starts, so the job may have an effect
	Dropped                    // the job repeats a key that its pod has begun within the window
	Rejected                   // the job is rejected without being started; Reason says why
	Done                       // the job is answered with Status
	Crashed                    // the backend has crashed; it answers nothing more
)

// Action is one result of an event at a backend. Num is the number of the job.
type Action struct {
	Kind   ActionKind
	Num    uint64
	Status int
	Reason string
}

// Degradation describes how a backend is degraded. The zero value has no effect.
type Degradation struct {
	Slower     float64 // factor by which work is slower; 0 or 1: none
	Hangs      bool    // accepts jobs and answers none
	FailShare  float64 // share of jobs that fails at once
	TakenShare float64 // share of the machine that another program uses
}

// Merge combines two degradations. The order of merging makes no difference.
func Merge(a, b Degradation) Degradation {
	return Degradation{
		Slower:     max(1, a.Slower) * max(1, b.Slower),
		Hangs:      a.Hangs || b.Hangs,
		FailShare:  1 - (1-a.FailShare)*(1-b.FailShare),
		TakenShare: 1 - (1-a.TakenShare)*(1-b.TakenShare),
	}
}

// Pod holds the keys that the backends of one pod have begun. It stores all keys of a run, since a job may
// wait for longer than the window. It is not safe for concurrent use.
type Pod struct {
	window time.Duration
	begun  map[string]time.Duration
}

// NewPod makes a pod that drops repeats of a key for the time window.
func NewPod(window time.Duration) *Pod {
	return &Pod{window: window, begun: map[string]time.Duration{}}
}

// begin reports whether a job with this key and arrival time has to run. If so, begin records that the key
// begins now.
func (p *Pod) begin(key string, arrived, now time.Duration) bool {
	if t, ok := p.begun[key]; ok && arrived <= t+p.window {
		return false
	}
	p.begun[key] = now
	return true
}

// maxStep is the longest time for which a continuously changing service rate is treated as constant.
const maxStep = 50 * time.Millisecond

// crashTolerance is the factor by which a cold backend tolerates more work than the rule allows nodes to
// send, since arrivals are random.
const crashTolerance = 1.1

// Backend is the state of one backend.
type Backend struct {
	machine     world.Machine
	pod         *Pod
	rng         *rand.Rand
	now         time.Duration
	started     time.Duration
	cold        bool
	workDone    float64 // work since the start, in seconds on a standard core
	crashed     bool
	degradation Degradation

	pauseFrom, pauseTo time.Duration // the next or current pause
	crowdedSince       time.Duration // when there began to be too many jobs; -1: there are not too many
	overloaded         bool
	overloadedAt       time.Duration
	idleSince          time.Duration // when the backend became mostly idle; -1: it is not mostly idle

	// work that a job in service since the start would have received; jobs share the service rate evenly
	servicePerJob float64
	running       jobHeap
	waiting       []*job
	recentWork    []arrivedWork // work that arrived within the last world.CrashWindow, while cold
}

// job is a job in service or waiting.
type job struct {
	Job
	arrived time.Duration
	endsAt  float64 // value of servicePerJob at which the job is done
}

// arrivedWork is work with the time of its arrival, in seconds on a standard core.
type arrivedWork struct {
	at   time.Duration
	work float64
}

// New returns a backend that is warm or, as after a start, cold. seed determines its random pauses and
// errors.
func New(m world.Machine, pod *Pod, seed uint64, now time.Duration, cold bool) *Backend {
	b := &Backend{machine: m, pod: pod, rng: rand.New(rand.NewPCG(seed, 0x626f78)), now: now, started: now,
		cold:         cold,
		crowdedSince: -1, idleSince: -1}
	b.nextPause(now)
	return b
}

// nextPause draws the next pause after the time after.
func (b *Backend) nextPause(after time.Duration) {
	if b.machine.PauseEvery <= 0 {
		b.pauseFrom, b.pauseTo = math.MaxInt64, math.MaxInt64
		return
	}
	gap := time.Duration(float64(b.machine.PauseEvery) * (0.5 + b.rng.Float64()))
	b.pauseFrom, b.pauseTo = after+gap, after+gap+b.machine.Pause
}

// Capacity returns the work that the backend could do per second now, without pauses and degradations, in
// seconds on a standard core.
func (b *Backend) Capacity(now time.Duration) float64 { return b.machine.Capacity() * b.warmth(now) }

// warmth returns the share of its full capacity that the backend has now. The share grows with time and with
// the work done.
func (b *Backend) warmth(now time.Duration) float64 {
	if !b.cold || b.machine.ColdTime <= 0 {
		return 1
	}
	byTime := float64(now-b.started) / float64(b.machine.ColdTime)
	byWork := b.workDone / (b.machine.Capacity() * b.machine.ColdTime.Seconds() / 2)
	return b.machine.ColdFrom + (1-b.machine.ColdFrom)*min(1, max(byTime, byWork))
}

// ratePerJob returns the work per second that each job in service receives.
func (b *Backend) ratePerJob() float64 {
	n := len(b.running)
	if n == 0 || b.crashed || b.degradation.Hangs || (b.now >= b.pauseFrom && b.now < b.pauseTo) {
		return 0
	}
	r := min(1, float64(b.machine.Cores)/float64(n)) * b.machine.Speed * b.warmth(b.now) *
		(1 - b.degradation.TakenShare)
	if excess := float64(n)/float64(b.machine.Cores) - b.machine.ThrashAt; excess > 0 {
		r /= 1 + b.machine.Thrash*excess
	}
	if b.degradation.Slower > 1 {
		r /= b.degradation.Slower
	}
	if b.overloaded {
		r /= b.machine.Overload.Slower
	}
	return r
}

// Next returns the time at which Tick has to be called, unless another method is called before.
func (b *Backend) Next() time.Duration {
	next := b.pauseFrom
	if b.now >= b.pauseFrom {
		next = b.pauseTo
	}
	if b.cold || b.machine.Overload.At > 0 && (len(b.running) > 0 || b.overloaded) {
		next = min(next, b.now+maxStep)
	}
	if r := b.ratePerJob(); r > 0 {
		remaining := (b.running[0].endsAt - b.servicePerJob) / r
		next = min(next, b.now+time.Duration(math.Ceil(remaining*float64(time.Second)))+1)
	}
	return next
}

// Tick advances the backend to now.
func (b *Backend) Tick(now time.Duration) []Action { return b.advance(now, nil) }

// advance moves the state forward to now in steps of constant rate, and appends the resulting actions to
// actions.
func (b *Backend) advance(now time.Duration, actions []Action) []Action {
	for b.now < now {
		to := min(now, max(b.Next(), b.now+1))
		r := b.ratePerJob()
		b.servicePerJob += r * (to - b.now).Seconds()
		b.workDone += r * float64(len(b.running)) * (to - b.now).Seconds()
		b.now = to
		if to >= b.pauseTo {
			b.nextPause(to)
		}
		if b.cold && b.warmth(to) >= 1 {
			b.cold, b.recentWork = false, nil
		}
		actions = b.finish(actions)
		b.updateOverload()
	}
	return actions
}

// finish answers the jobs whose work is done, and starts waiting jobs in the free slots.
func (b *Backend) finish(actions []Action) []Action {
	for len(b.running) > 0 && b.running[0].endsAt <= b.servicePerJob+1e-12 {
		j := heap.Pop(&b.running).(*job)
		status := 200
		if b.rng.Float64() < b.machine.ErrorRate {
			status = 500
		}
		actions = append(actions, Action{Kind: Done, Num: j.Num, Status: status})
	}
	return b.fillSlots(actions)
}

// fillSlots starts waiting jobs while there are free slots.
func (b *Backend) fillSlots(actions []Action) []Action {
	for len(b.waiting) > 0 && len(b.running) < b.machine.Slots {
		j := b.waiting[0]
		b.waiting = b.waiting[1:]
		actions = b.start(j, actions)
	}
	return actions
}

// start begins a job, or answers the job at once if its pod has begun its key within the window.
func (b *Backend) start(j *job, actions []Action) []Action {
	if j.Key != "" && !b.pod.begin(j.Key, j.arrived, b.now) {
		return append(actions, Action{Kind: Dropped, Num: j.Num}, Action{Kind: Done, Num: j.Num, Status: 200})
	}
	j.endsAt = b.servicePerJob + j.Work.Seconds()
	heap.Push(&b.running, j)
	return append(actions, Action{Kind: Begun, Num: j.Num})
}

// updateOverload enters the overload state after there have been too many jobs for too long. It leaves the
// state after enough idle time or the longest duration.
func (b *Backend) updateOverload() {
	overload := b.machine.Overload
	if overload.At <= 0 {
		return
	}
	jobsPerCore := float64(len(b.running)+len(b.waiting)) / float64(b.machine.Cores)
	b.crowdedSince = since(jobsPerCore > overload.At, b.crowdedSince, b.now)
	b.idleSince = since(jobsPerCore < overload.At/4, b.idleSince, b.now)
	switch {
	case !b.overloaded && b.crowdedSince >= 0 && b.now-b.crowdedSince >= overload.After:
		b.overloaded, b.overloadedAt = true, b.now
	case b.overloaded && (b.now-b.overloadedAt >= overload.MaxDuration ||
		b.idleSince >= 0 && b.now-b.idleSince >= overload.RecoveryIdle):
		b.overloaded, b.crowdedSince = false, -1
	}
}

// since returns when a condition began to hold, or -1 if the condition does not hold now. before is the
// previous result.
func since(holds bool, before, now time.Duration) time.Duration {
	if !holds {
		return -1
	}
	if before >= 0 {
		return before
	}
	return now
}

// Arrive adds a job that arrives now. extra is additional work for its connection.
func (b *Backend) Arrive(now time.Duration, j Job, extra time.Duration) []Action {
	actions := b.advance(now, nil)
	if b.crashed {
		return actions
	}
	if b.cold && b.exceedsColdLimit(j.Work.Seconds()) {
		b.crashed = true
		return append(actions, Action{Kind: Crashed})
	}
	j.Work += extra
	added := &job{Job: j, arrived: b.now}
	if b.degradation.FailShare > 0 && b.rng.Float64() < b.degradation.FailShare {
		return append(actions, b.fail(added)...)
	}
	switch {
	case len(b.running) < b.machine.Slots && len(b.waiting) == 0:
		actions = b.start(added, actions)
	case len(b.waiting) < b.machine.Queue:
		b.waiting = append(b.waiting, added)
	default:
		actions = append(actions, Action{Kind: Rejected, Num: j.Num, Reason: "full"})
	}
	b.updateOverload()
	return actions
}

// fail answers a job at once as failed. The job may still have had its effect, so its pod records the key.
func (b *Backend) fail(j *job) []Action {
	first := Action{Kind: Begun, Num: j.Num}
	if j.Key != "" && !b.pod.begin(j.Key, j.arrived, b.now) {
		first.Kind = Dropped
	}
	return []Action{first, {Kind: Done, Num: j.Num, Status: 500}}
}

// exceedsColdLimit adds work that arrived at a cold backend, and reports whether the recent work makes the
// backend crash.
func (b *Backend) exceedsColdLimit(work float64) bool {
	b.recentWork = append(b.recentWork, arrivedWork{b.now, work})
	for b.now-b.recentWork[0].at > world.CrashWindow {
		b.recentWork = b.recentWork[1:]
	}
	var sum, largest float64
	for _, a := range b.recentWork {
		sum += a.work
		largest = max(largest, a.work)
	}
	// the largest request is left out, since a single request must not make a backend crash
	return sum-largest > crashTolerance*world.CrashMultiple*b.Capacity(b.now)*world.CrashWindow.Seconds()
}

// Cancel handles the end of a job's attempt by the node.
func (b *Backend) Cancel(now time.Duration, num uint64) []Action {
	actions := b.advance(now, nil)
	for i, j := range b.waiting {
		if j.Num == num && b.machine.DropsCancelled {
			b.waiting = append(b.waiting[:i:i], b.waiting[i+1:]...)
			break
		}
	}
	return actions
}

// SetDegradation replaces the backend's degradation.
func (b *Backend) SetDegradation(now time.Duration, d Degradation) []Action {
	actions := b.advance(now, nil)
	b.degradation = d
	return actions
}

// JobCount returns the number of jobs in service and waiting.
func (b *Backend) JobCount() int { return len(b.running) + len(b.waiting) }

// jobHeap is a heap of the jobs in service, ordered by the end of their work.
type jobHeap []*job

func (h jobHeap) Len() int           { return len(h) }
func (h jobHeap) Less(i, k int) bool { return h[i].endsAt < h[k].endsAt }
func (h jobHeap) Swap(i, k int)      { h[i], h[k] = h[k], h[i] }
func (h *jobHeap) Push(x any)        { *h = append(*h, x.(*job)) }
func (h *jobHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
