package tenant

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// simulation runs proxies, controllers, clients and the registry on a fake clock. Each call takes a random
// time in each direction and may be lost; the clock of each process has its own rate.
type simulation struct {
	*rand.Rand
	now       time.Duration // true time since the start
	queue     queue
	seq       int
	violation string // the first violation of a rule; "": none
	trace     []string
	mutations mutations // the parts that are broken deliberately

	records             map[string]storedRecord
	version             uint64
	sessions            map[string]*session
	token               uint64
	hashTree            bool             // all controllers except every fourth write the catalogue as a hash tree
	decodedPages        map[string]*page // all pages that have been read, by digest
	currentPages        map[string]*page // pages on record at currentPagesVersion, by digest
	currentPagesVersion uint64
	snapshots           map[uint64]*Snapshot // complete catalogues by number

	proxies         []*testProxy
	controllers     []*testController
	policy          PolicyFloors
	oracle          oracle
	faultless       bool // no faults are injected from now on
	pendingCutOffs  int  // number of proxies that are cut off soon after the next changes of tenants' states
	tenantCount     int
	failAtCall      int             // number of the call at which a controller fails; 0: never
	failurePause    time.Duration   // if not 0, the failing controller pauses for this time instead of stopping
	controllerCalls int             // number of all controllers' calls
	idCount         int             // number of ids given to orders and sessions
	removalOrdered  map[string]bool // tenants whose removal has been ordered at some time
}

// mutations names the parts of the program that are broken deliberately:
//   - CutRequests ignored: proxies do not end requests in flight;
//   - PhaseHold ignored: proxies treat PhaseHold as PhasePrepare;
//   - authority never ends: a proxy's authority does not end;
//   - authority restored by renewal: each renewal restores a proxy's authority;
//   - floors doubled: the policy allows a sum of floors twice as large as the oracle does;
//   - leaf in use evicted: proxies evict leaves of tenants with requests in flight;
//   - limits not checked: proxies take any limit as present in their policy table;
//   - maximal staleness ignored: proxies have no maximal staleness, but n0 reports one;
//   - members not awaited: controllers see all proxies as prepared and drained;
//   - no tombstone: the tombstone time is 0;
//   - not enrolled: proxies serve before they are enrolled;
//   - not found without leaf: a proxy decides that a tenant does not exist without the tenant's leaf;
//   - policy needs ignored: proxies ignore Head.PolicyNeeds;
//   - previous leaves read: some reads return leaves of the previous snapshot;
//   - session without status: sessions are opened without a status, which follows later;
//   - writes not fenced: writes are not checked for the fencing token and the version.
type mutations map[string]bool

// storedRecord is a record in the registry.
type storedRecord struct {
	value   []byte
	version uint64
}

// session is a proxy's session in the registry.
type session struct {
	proxy  string
	status *Status // nil: not reported yet
	endsAt time.Duration
}

// scheduledCall is a call at a time; seq orders calls at the same time.
type scheduledCall struct {
	at   time.Duration
	seq  int
	call func()
}

// queue is a heap of scheduled calls.
type queue []scheduledCall

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(scheduledCall)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

const (
	testTTL     = 2 * time.Second
	testDrain   = time.Second
	callTimeout = 600 * time.Millisecond // after this time without a response, a call has failed
)

// newSimulation returns a simulation with the proxies n0, n1, ... and a controller.
func newSimulation(seed uint64, proxyCount, tenantCount int, mutated mutations) *simulation {
	w := &simulation{Rand: rand.New(rand.NewPCG(seed, 7)), records: map[string]storedRecord{}, sessions: map[string]*session{}, hashTree: seed%2 == 1, decodedPages: map[string]*page{}, snapshots: map[uint64]*Snapshot{}, removalOrdered: map[string]bool{}, mutations: mutated, tenantCount: tenantCount, oracle: newOracle()}
	w.newPolicy()
	for i := range proxyCount {
		w.startProxy(fmt.Sprint("n", i))
	}
	w.startController()
	return w
}

// newPolicy replaces the policy table by the next version, which has more limits.
func (w *simulation) newPolicy() {
	w.policy = PolicyFloors{Version: w.policy.Version + 1, Floors: map[string]float64{}, TotalFloor: 9 * float64(w.tenantCount) / 4}
	for t := range w.tenantCount {
		w.policy.Floors[fmt.Sprintf("t%d.p", t)] = 1
		for k := range limitCount(int64(w.policy.Version)) {
			w.policy.Floors[fmt.Sprintf("t%d.q%d", t, k)] = 1
		}
	}
}

// limitCount returns the number of limits of class a that each tenant has in a version of the policy table.
func limitCount(version int64) int { return 20 + 5*int(version) }

// tableHasLimit reports whether a version of the policy table has a limit.
func tableHasLimit(limit string, version int64) bool {
	var t, k int
	n, _ := fmt.Sscanf(limit, "t%d.q%d", &t, &k)
	return version > 0 && (n < 2 || k < limitCount(version))
}

// after schedules a call.
func (w *simulation) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, scheduledCall{w.now + d, w.seq, do})
}

// run runs the scheduled calls until a time or the first violation.
func (w *simulation) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until && w.violation == "" {
		e := heap.Pop(&w.queue).(scheduledCall)
		w.now = e.at
		e.call()
	}
	w.now = max(w.now, until)
}

// fail records the first violation of a rule.
func (w *simulation) fail(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...)
		w.logf("VIOLATION: %s", w.violation)
	}
}

// logf adds a line to the trace, which has the last 200 to 400 lines.
func (w *simulation) logf(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%8v %s", w.now.Round(time.Millisecond), fmt.Sprintf(format, args...)))
	if len(w.trace) > 400 {
		w.trace = w.trace[200:]
	}
}

// testSpec returns a variant of a tenant's spec. The route and the limit of class a and the second name
// contain the variant; the route and the limit of class b are the same in all variants.
func testSpec(name string, variant int) *Spec {
	return &Spec{Names: []string{"x-" + name, secondName(name, variant)}, Classes: []string{"a", "b"}, DrainMS: testDrain.Milliseconds(),
		Quotas: []QuotaRef{{fmt.Sprintf("%s.q%d", name, variant), []string{"a"}}, {name + ".p", []string{"b"}}},
		Routes: []Route{{Classes: []string{"a"}, Zones: []string{fmt.Sprint("z", variant)}}, {Classes: []string{"b"}, Zones: []string{"z0"}}}}
}

// secondName returns the tenant's name in X-Tenant that differs between variants.
func secondName(name string, variant int) string { return fmt.Sprintf("y-%s-%d", name, variant) }

// submitOrder submits an order for a tenant or a proxy, and returns false if another order waits.
func (w *simulation) submitOrder(name, op string, variant int) bool {
	key := orderKey(op, name)
	if _, pending := w.records[key]; pending {
		return false
	}
	w.idCount++
	w.removalOrdered[name] = w.removalOrdered[name] || op == OrderRemove
	order := Order{Format: documentFormat, ID: fmt.Sprint("o", w.idCount), Op: op}
	if op == OrderAdd || op == OrderChange {
		order.Spec = testSpec(name, variant)
	}
	raw, _ := json.Marshal(order)
	w.version++
	w.records[key] = storedRecord{raw, w.version}
	w.logf("order: %s %s, variant %d", op, name, variant)
	return true
}

func (w *simulation) traceText() string { return strings.Join(w.trace, "\n") }
