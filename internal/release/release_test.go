package release

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wrenspread/internal/registry"
)

// fakeFleet is the Store and the Executor of the tests. A controller may crash at each of its calls. The
// number of calls serves as the clock.
type fakeFleet struct {
	mu                 sync.Mutex
	t                  interface{ Fatalf(string, ...any) }
	plan               Plan
	record             []byte
	version            uint64
	calls              int
	crashAtCall        int // the call at which the controller crashes; 0 means never
	servers            map[string]*fakeServer
	order              string // the pending order
	orderCount         int    // number of orders so far, the id of the pending one
	unstartableVersion string // servers do not become ready in this version
	newVersionFails    bool   // the new version fails requests
	nextFailure        func() failure
	violation          string // the first violation of a rule
	replacements       int
}

// fakeServer is a server of a fakeFleet with its actual version.
type fakeServer struct {
	Target
	inMaintenance bool
}

// failure is how an action fails.
type failure int

const (
	noFailure     failure = iota
	notCarriedOut         // the action was not carried out
	resultLost            // the action was carried out, but its result was lost
)

// reportViolation records the first violation of a rule. The caller holds the lock.
func (f *fakeFleet) reportViolation(format string, args ...any) {
	if f.violation == "" {
		f.violation = fmt.Sprintf(format, args...)
	}
}

var errCrashed = errors.New("controller crashed")

// countCall counts a call by the controller and fails if the controller crashes at it. The caller does not
// hold the lock.
func (f *fakeFleet) countCall(ctx context.Context) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.calls++; f.crashAtCall != 0 && f.calls >= f.crashAtCall {
		return errCrashed
	}
	return ctx.Err()
}

func (f *fakeFleet) Load(ctx context.Context) ([]byte, uint64, error) {
	return f.record, f.version, f.countCall(ctx)
}

func (f *fakeFleet) Save(ctx context.Context, raw []byte, version uint64) (uint64, error) {
	if err := f.countCall(ctx); err != nil {
		return 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if version != f.version {
		return 0, ErrSuperseded
	}
	f.record = raw
	f.version++
	return f.version, nil
}

func (f *fakeFleet) Order(ctx context.Context) (string, string, string, error) {
	if f.order == "" {
		return "", "", "", f.countCall(ctx)
	}
	return fmt.Sprint(f.orderCount), f.order, "somebody", f.countCall(ctx)
}

func (f *fakeFleet) ClearOrder(ctx context.Context) error {
	if err := f.countCall(ctx); err != nil {
		return err
	}
	f.order = ""
	return nil
}

func (f *fakeFleet) Unavailable(ctx context.Context) (Unavailable, error) {
	return Unavailable{}, f.countCall(ctx)
}

// Do carries out an action. It checks that the server's step in the record is that of the action, and that
// the limits are observed.
func (f *fakeFleet) Do(ctx context.Context, action Action) (bool, error) {
	if err := f.countCall(ctx); err != nil {
		return false, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	s, err := Decode(f.record)
	if err != nil {
		f.reportViolation("%v", err)
		return false, err
	}
	i := slices.IndexFunc(s.Targets, func(t Target) bool { return t.Name == action.Target.Name })
	if s.Targets[i].Step != action.Step {
		f.reportViolation("action %s of server %s is carried out while the record has step %s", action.Step, action.Target.Name, s.Targets[i].Step)
	}
	outcome := noFailure
	if f.nextFailure != nil {
		outcome = f.nextFailure()
	}
	if outcome == notCarriedOut {
		return false, errors.New("no answer")
	}
	err = f.apply(f.servers[action.Target.Name], action)
	f.checkLimits()
	if outcome == resultLost {
		return false, errors.New("no answer")
	}
	return err == nil, err
}

// apply carries out an action on a server and checks that the action may be carried out. The caller holds the
// lock.
func (f *fakeFleet) apply(server *fakeServer, action Action) error {
	switch action.Step {
	case Maintenance:
		server.inMaintenance = true
	case Replace:
		if !server.inMaintenance {
			f.reportViolation("server %s is replaced while it serves", server.Name)
		}
		if server.Version != action.Version {
			f.replacements++
		}
		server.Version = action.Version
	case Ready:
		if server.Version == f.unstartableVersion {
			return errors.New("server does not become ready")
		}
		if server.Version != action.Version {
			f.reportViolation("server %s has version %s, want %s", server.Name, server.Version, action.Version)
		}
	case Restore:
		if server.Version != action.Version {
			f.reportViolation("server %s is registered with version %s but has %s", server.Name, action.Version, server.Version)
		}
		server.inMaintenance = false
	}
	return nil
}

// checkLimits checks the servers in maintenance against the plan's limits. The caller holds the lock.
func (f *fakeFleet) checkLimits() {
	out, zone := 0, map[string]int{}
	for _, s := range f.servers {
		if s.inMaintenance {
			out++
			zone[s.Zone]++
		}
	}
	for z, n := range zone {
		if out > f.plan.Limits.Total || f.plan.Limits.Zone > 0 && n > f.plan.Limits.Zone {
			f.reportViolation("%d servers are out of service, %d of them in zone %s, which exceeds the limits", out, n, z)
		}
	}
}

func (f *fakeFleet) Counts(ctx context.Context, named []string) (map[string]Comparison, error) {
	calls := f.calls // the counts increase with each call
	released := Counts{Requests: 1000 * calls}
	if f.newVersionFails {
		released.Failed = 300 * calls
	}
	return map[string]Comparison{"n0": {released, Counts{Requests: 1000 * calls}}}, f.countCall(ctx)
}

// newFakeFleet returns a fleet of n servers in three zones, with the record of a new release. The change
// adapts the release's plan.
func newFakeFleet(t interface{ Fatalf(string, ...any) }, n int, change func(*Plan)) *fakeFleet {
	plan := DefaultPlan()
	plan.Name, plan.From, plan.To, plan.Soak, plan.Limits = "r", "v1", "v2", 0, Limits{Total: 3, Zone: 2, Cell: 1}
	if change != nil {
		change(&plan)
	}
	fleet := &fakeFleet{t: t, plan: plan, servers: map[string]*fakeServer{}}
	var targets []Target
	for i := range n {
		target := Target{Name: fmt.Sprint("s", i), Zone: string(rune('a' + i%3)), Type: "m", Cell: i % 2, Version: plan.From}
		targets = append(targets, target)
		fleet.servers[target.Name] = &fakeServer{Target: target}
	}
	s, err := New(plan, targets)
	if err != nil {
		t.Fatalf("%v", err)
	}
	if fleet.record, err = Encode(s); err != nil {
		t.Fatalf("%v", err)
	}
	return fleet
}

// runToEnd runs controllers one after another, each after the crash of the previous one, until one ends
// without an error. It returns the state from the record, and fails the test if none of maxControllers
// controllers does.
func (f *fakeFleet) runToEnd(maxControllers int) *State {
	for range maxControllers {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute) // reached only by a hang
		err := f.newController().Run(ctx)
		cancel()
		s, decodeErr := Decode(f.record)
		if decodeErr != nil {
			f.t.Fatalf("%v", decodeErr)
		}
		if f.violation != "" {
			f.t.Fatalf("%s", f.violation)
		}
		if err == nil {
			return s
		}
		if !errors.Is(err, errCrashed) {
			f.t.Fatalf("%v", err)
		}
		f.mu.Lock()
		f.crashAtCall = 0
		f.mu.Unlock()
	}
	f.t.Fatalf("release does not end with the given number of controllers")
	return nil
}

// assertAllHave fails the test unless all servers serve in the version.
func (f *fakeFleet) assertAllHave(t *testing.T, version string) {
	t.Helper()
	for _, s := range f.servers {
		if s.Version != version || s.inMaintenance {
			t.Fatalf("server %s has version %s (maintenance %v), want %s without maintenance", s.Name, s.Version, s.inMaintenance, version)
		}
	}
}

// A controller crashes at each of its calls in turn: in a good release, in a release whose gate fails, and in
// a release whose servers do not become ready. The next controller has to complete the release from the
// record, with at most two replacements per server.
func TestReleaseCompletesAfterControllerCrashAtAnyCall(t *testing.T) {
	for name, prepare := range map[string]func(*fakeFleet){"good": func(*fakeFleet) {}, "gate fails": func(fleet *fakeFleet) { fleet.newVersionFails = true }, "never ready": func(fleet *fakeFleet) { fleet.unstartableVersion = "v2" }} {
		calls := 0
		for crashAt := 0; crashAt == 0 || crashAt <= calls; crashAt++ {
			fleet := newFakeFleet(t, 7, func(p *Plan) {
				p.Halt, p.Deadline.Ready = HaltRollBack, time.Second
				if name == "never ready" {
					p.Limits = Limits{Total: 1}
				}
			})
			prepare(fleet)
			fleet.crashAtCall = crashAt
			s := fleet.runToEnd(2)
			if crashAt == 0 {
				calls = fleet.calls
			}
			if want := map[string]Phase{"good": Finished, "gate fails": RolledBack, "never ready": RolledBack}[name]; s.Phase != want {
				t.Fatalf("release %q, controller crashed at call %d: phase %s, reason %q", name, crashAt, s.Phase, s.HaltReason)
			}
			fleet.assertAllHave(t, map[string]string{"good": "v2", "gate fails": "v1", "never ready": "v1"}[name])
			if fleet.replacements > 2*len(fleet.servers) {
				t.Fatalf("release %q, controller crashed at call %d: %d replacements, want at most two per server", name, crashAt, fleet.replacements)
			}
		}
		t.Logf("release %q: %d calls", name, calls)
		if calls < 20 {
			t.Errorf("release %q makes %d calls, want at least 20", name, calls)
		}
	}
}

// newController returns a controller whose clock advances by 10 ms with each call.
func (f *fakeFleet) newController() *Controller {
	return &Controller{Store: f, Executor: f, Interval: time.Microsecond, Log: slog.New(slog.DiscardHandler), Clock: func() time.Duration {
		f.mu.Lock()
		defer f.mu.Unlock()
		return time.Duration(f.calls) * 10 * time.Millisecond
	}}
}

// With random failures of actions, crashes and orders, a release never has more servers out of service than
// its limits allow, and never carries out an action that is not in the record. At its end each server serves,
// in the version that the record has for it.
func TestReleaseKeepsLimitsAndRecordUnderRandomFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := newFakeFleet(t, rapid.IntRange(1, 12).Draw(t, "servers"), func(p *Plan) {
			p.Limits.Total = rapid.IntRange(1, 4).Draw(t, "out")
			p.Limits.Zone, p.Limits.Cell = min(p.Limits.Total, 2), 0
			p.Halt = rapid.SampledFrom([]string{HaltWait, HaltRollBack}).Draw(t, "halt")
		})
		fleet.newVersionFails = rapid.IntRange(0, 3).Draw(t, "new version fails if 0") == 0
		failing := rapid.SliceOfN(rapid.SampledFrom([]failure{noFailure, noFailure, notCarriedOut, resultLost}), 0, 60).Draw(t, "failures")
		fleet.nextFailure = func() failure {
			if len(failing) == 0 {
				return noFailure
			}
			f := failing[0]
			failing = failing[1:]
			return f
		}
		orders := rapid.SliceOfN(rapid.SampledFrom([]string{"", OrderPause, OrderResume, OrderSkip, OrderRollBack, "unknown"}), 0, 6).Draw(t, "orders")
		var s *State
		for _, order := range append(orders, OrderResume, OrderAbort) {
			fleet.orderCount++
			fleet.order, fleet.crashAtCall = order, fleet.calls+rapid.IntRange(1, 60).Draw(t, "calls until crash")
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			err := fleet.newController().Run(ctx)
			cancel()
			if err != nil && !errors.Is(err, errCrashed) {
				t.Fatal(err)
			}
		}
		fleet.orderCount++
		fleet.crashAtCall, fleet.order = 0, OrderAbort
		s = fleet.runToEnd(1)
		for _, server := range fleet.servers {
			i := slices.IndexFunc(s.Targets, func(t Target) bool { return t.Name == server.Name })
			if server.inMaintenance || s.Targets[i].Version != server.Version {
				t.Fatalf("server %s at the end of a release in phase %s: maintenance %v, has version %s, record has %s", server.Name, s.Phase, server.inMaintenance, server.Version, s.Targets[i].Version)
			}
		}
	})
}

// A controller can't write the record any more after another controller has taken over.
func TestSupersededControllerCannotWrite(t *testing.T) {
	fleet := newFakeFleet(t, 3, nil)
	c := fleet.newController()
	fleet.crashAtCall = 4
	if err := c.Run(context.Background()); !errors.Is(err, errCrashed) {
		t.Fatal(err)
	}
	fleet.crashAtCall = 0
	if s := fleet.runToEnd(1); s.Phase != Finished {
		t.Fatal(s.Phase)
	}
	if err := c.runRound(context.Background()); !errors.Is(err, ErrSuperseded) {
		t.Errorf("round of the superseded controller: error %v, want ErrSuperseded", err)
	}
}

// A proxy that has restarted counts from its restart. A proxy that is missing in one of the two readings does
// not affect the counts of the others.
func TestCountsSinceHandlesRestartedAndMissingProxies(t *testing.T) {
	base := map[string]Comparison{"a": {Counts{100, 10, 5}, Counts{1000, 0, 0}}, "b": {Counts{500, 50, 0}, Counts{}}, "gone": {}}
	now := map[string]Comparison{"a": {Counts{150, 12, 5}, Counts{1300, 1, 0}}, "b": {Counts{20, 1, 1}, Counts{7, 0, 0}}, "new": {Counts{9999, 9999, 0}, Counts{}}}
	if released, rest := CountsSince(base, now); released != (Counts{70, 3, 1}) || rest != (Counts{307, 1, 0}) {
		t.Errorf("counts of the released servers %+v and of the rest %+v, want {70 3 1} and {307 1 0}", released, rest)
	}
}

// The record of a release with the most targets, notes and proxies fits into one record of the registry.
func TestLargestReleaseFitsIntoOneRecord(t *testing.T) {
	longText := strings.Repeat("x", 64)
	var targets []Target
	for i := range MaxTargets {
		targets = append(targets, Target{Name: fmt.Sprint(longText[:32], i), Address: "255.255.255.255:65535", Zone: longText[:16], Type: longText[:16], Cell: i, Version: "v1"})
	}
	plan := DefaultPlan()
	plan.Name, plan.From, plan.To = "r", "v1", "v2"
	s, err := New(plan, targets)
	if err != nil {
		t.Fatal(err)
	}
	for i := range s.Targets {
		s.Targets[i].Reason, s.Targets[i].Since = longText, time.Hour
	}
	for range maxNotes {
		s.addNote(time.Hour, "%s%s", longText, longText)
	}
	s.Baseline = map[string]Comparison{}
	for i := range 300 {
		s.Baseline[fmt.Sprint("node-", i)] = Comparison{Counts{1 << 30, 1 << 30, 1 << 30}, Counts{1 << 30, 1 << 30, 1 << 30}}
	}
	raw, err := Encode(s)
	if err != nil || len(raw) > registry.MaxRecordValueBytes {
		t.Errorf("record of the largest release has %d bytes, want at most %d; error %v", len(raw), registry.MaxRecordValueBytes, err)
	}
}

// The verdict of a gate follows from the numbers of requests, failed and late requests of the released
// servers and of the rest.
func TestGateVerdictsByCounts(t *testing.T) {
	g := Gate{MinRequests: 100, MaxFailedExcess: 0.02, MaxLateExcess: 0.05, IncidentThreshold: 0.1}
	for _, c := range []struct {
		released, rest Counts
		alone          bool
		want           Verdict
	}{
		{Counts{99, 0, 0}, Counts{1000, 0, 0}, false, Undecided}, {Counts{1000, 0, 0}, Counts{99, 0, 0}, false, Undecided},
		{Counts{100, 3, 0}, Counts{1000, 0, 0}, false, Pass}, {Counts{100, 12, 0}, Counts{1000, 0, 0}, false, Fail}, {Counts{10000, 260, 0}, Counts{1000, 0, 0}, false, Fail},
		{Counts{1000, 20, 0}, Counts{1000, 0, 0}, false, Pass}, {Counts{1000, 160, 0}, Counts{1000, 100, 0}, false, Fail}, {Counts{1000, 125, 0}, Counts{1000, 100, 0}, false, Pass},
		{Counts{1000, 200, 0}, Counts{1000, 150, 0}, false, Incident}, {Counts{1000, 0, 90}, Counts{1000, 0, 0}, false, Fail}, {Counts{1000, 0, 60}, Counts{1000, 0, 0}, false, Pass},
		{Counts{1000, 100, 0}, Counts{}, true, Pass}, {Counts{1000, 150, 0}, Counts{}, true, Fail}, {Counts{9, 0, 0}, Counts{}, true, Undecided},
	} {
		if got := g.Evaluate(c.released, c.rest, c.alone); got != c.want {
			t.Errorf("released %+v, rest %+v: verdict %s, want %s", c.released, c.rest, got, c.want)
		}
	}
}

// Hardly any gate fails over servers that are as good as the rest. Nearly all gates fail over servers that
// fail a quarter of their requests, even with few requests.
func TestGateRarelyFailsEqualServersAndFindsWorseOnes(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	draw := func(n int, p float64) (failed int) {
		for range n {
			if random.Float64() < p {
				failed++
			}
		}
		return failed
	}
	g := Gate{MinRequests: 25, MaxFailedExcess: 0.01, MaxLateExcess: 0.05, IncidentThreshold: 0.9}
	const gates = 5000
	falseAlarms, detected := 0, 0
	for range gates {
		n := 40 + random.IntN(400)
		rest := Counts{2000, draw(2000, 0.02), draw(2000, 0.05)}
		if g.Evaluate(Counts{n, draw(n, 0.02), draw(n, 0.05)}, rest, false) != Pass {
			falseAlarms++
		}
		if g.Evaluate(Counts{n, draw(n, 0.25), draw(n, 0.05)}, rest, false) == Fail {
			detected++
		}
	}
	if falseAlarms > gates/500 || detected < gates*97/100 {
		t.Errorf("of %d gates %d fail equal servers (want at most 0.2 %%), %d find worse servers (want at least 97 %%)", gates, falseAlarms, detected)
	}
}

// The error of a faulty plan names the key of the faulty value.
func TestPlanCheckNamesKeyOfFault(t *testing.T) {
	for want, breakPlan := range map[string]func(*Plan){"name:": func(p *Plan) { p.Name = "" }, "to:": func(p *Plan) { p.To = p.From }, "limits.out": func(p *Plan) { p.Limits.Total = 0 },
		"limits.zone": func(p *Plan) { p.Limits.Zone = 9 }, "wave 1": func(p *Plan) { p.Waves = []Wave{{}} }, "wave:": func(p *Plan) { p.Waves = nil }, "halt:": func(p *Plan) { p.Halt = "" },
		"gate.failed": func(p *Plan) { p.Gate.MaxFailedExcess = 2 }, "deadline.ready": func(p *Plan) { p.Deadline.Ready = 0 }, "what.names": func(p *Plan) { p.Selector.Names = []string{"["} }} {
		plan := DefaultPlan()
		plan.Name, plan.From, plan.To = "r", "v1", "v2"
		if err := plan.Check(); err != nil {
			t.Fatal(err)
		}
		breakPlan(&plan)
		if err := plan.Check(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want an error with %q, got %v", want, err)
		}
	}
}
