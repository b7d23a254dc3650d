package tenant

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// world is proxies, a registry, controllers and clients on one drawn clock. Every
// call takes a drawn time each way and may be lost; every clock has its own rate.
type world struct {
	*rand.Rand
	now    time.Duration
	queue  queue
	seq    int
	wrong  string // the first rule that was broken
	log    []string
	broken broken // what a mutation leaves out

	records  map[string]record0
	version  uint64
	sessions map[string]*session
	fence    uint64
	tree     bool             // controllers write the catalogue as a hash tree, but each fourth
	pages    map[string]*page // that were read, by digest
	have     map[string]*page // those that are on record at haveAt
	haveAt   uint64
	images   map[uint64]*Snapshot

	nodes      []*node
	conductors []*conductor
	policy     PolicyFloors
	truth      truth
	quiet      bool // no more faults
	ambush     int  // so many proxies are cut off just as a tenant comes into a state
	tenants    int
	dieAt      int           // the call at which a controller dies; 0: never
	dieSleeps  time.Duration // it does not die then, but sleeps so long
	calls      int           // of controllers
	asked      int
	removed    map[string]bool // tenants that were to be, at some time
}

// broken says which parts are left out, by a word each.
type broken map[string]bool

type record0 struct {
	value   []byte
	version uint64
}

type session struct {
	node string
	word *Status
	at   time.Duration // it ends
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

const (
	ttl       = 2 * time.Second
	testDrain = time.Second
	lost      = 600 * time.Millisecond // a call without an answer is given up
)

func newWorld(seed uint64, nodes, tenants int, what broken) *world {
	w := &world{Rand: rand.New(rand.NewPCG(seed, 7)), records: map[string]record0{}, sessions: map[string]*session{}, tree: seed%2 == 1, pages: map[string]*page{}, images: map[uint64]*Snapshot{}, removed: map[string]bool{}, broken: what, tenants: tenants, truth: newTruth()}
	w.newPolicy()
	for i := range nodes {
		w.start(fmt.Sprint("n", i))
	}
	w.grant()
	return w
}

// newPolicy makes the next table: each has more limits than the one before.
func (w *world) newPolicy() {
	w.policy = PolicyFloors{Version: w.policy.Version + 1, Floors: map[string]float64{}, TotalFloor: 9 * float64(w.tenants) / 4}
	for t := range w.tenants {
		w.policy.Floors[fmt.Sprintf("t%d.p", t)] = 1
		for k := range limitsOf(int64(w.policy.Version)) {
			w.policy.Floors[fmt.Sprintf("t%d.q%d", t, k)] = 1
		}
	}
}

// limitsOf is how many limits of class a each tenant has in a table.
func limitsOf(version int64) int { return 20 + 5*int(version) }

// inTable tells whether a limit is in the table of a version.
func inTable(limit string, version int64) bool {
	var t, k int
	n, _ := fmt.Sscanf(limit, "t%d.q%d", &t, &k)
	return version > 0 && (n < 2 || k < limitsOf(version))
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + d, w.seq, do})
}

func (w *world) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until && w.wrong == "" {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = max(w.now, until)
}

func (w *world) fail(format string, args ...any) {
	if w.wrong == "" {
		w.wrong = fmt.Sprintf(format, args...)
		w.note("WRONG: %s", w.wrong)
	}
}

func (w *world) note(format string, args ...any) {
	w.log = append(w.log, fmt.Sprintf("%8v %s", w.now.Round(time.Millisecond), fmt.Sprintf(format, args...)))
	if len(w.log) > 400 {
		w.log = w.log[200:]
	}
}

// testForm is form k of a tenant: class a's route and quota carry k, as does a second name; class b's never change.
func testForm(name string, k int) *Spec {
	return &Spec{Names: []string{"x-" + name, alias(name, k)}, Classes: []string{"a", "b"}, DrainMS: testDrain.Milliseconds(),
		Quotas: []QuotaRef{{fmt.Sprintf("%s.q%d", name, k), []string{"a"}}, {name + ".p", []string{"b"}}},
		Routes: []Route{{Classes: []string{"a"}, Zones: []string{fmt.Sprint("z", k)}}, {Classes: []string{"b"}, Zones: []string{"z0"}}}}
}

func alias(name string, k int) string { return fmt.Sprintf("y-%s-%d", name, k) }

// ask leaves an order, unless one waits.
func (w *world) ask(name, do string, k int) bool {
	key := orderKey(do, name)
	if _, waits := w.records[key]; waits {
		return false
	}
	w.asked++
	w.removed[name] = w.removed[name] || do == OrderRemove
	o := Order{Format: documentFormat, ID: fmt.Sprint("o", w.asked), Op: do}
	if do == OrderAdd || do == OrderChange {
		o.Spec = testForm(name, k)
	}
	raw, _ := json.Marshal(o)
	w.version++
	w.records[key] = record0{raw, w.version}
	w.note("asked: %s %s %d", do, name, k)
	return true
}

func (w *world) story() string { return strings.Join(w.log, "\n") }
