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

// world is a fleet and a store without time: each call of a controller is a moment
// at which it may die.
type world struct {
	mu       sync.Mutex
	t        interface{ Fatalf(string, ...any) }
	plan     Plan
	raw      []byte
	version  uint64
	calls    int
	dieAt    int // the call at which the controller dies; 0: never
	servers  map[string]*server
	order    string // that waits
	orders   int    // so far
	bad      string // servers that don't come up in this version
	worse    bool   // the new version fails its requests
	fails    func() failure
	wrong    string // the first rule that was broken
	replaced int
}

type server struct {
	Target
	maint bool
}

// failure is how an action fails.
type failure int

const (
	fine   failure = iota
	undone         // it was not carried out
	unsaid         // it was, and the answer was lost
)

// fail keeps what is wrong; the caller holds the lock.
func (w *world) fail(format string, args ...any) {
	if w.wrong == "" {
		w.wrong = fmt.Sprintf(format, args...)
	}
}

var errDead = errors.New("the conductor has died")

// call counts a call of the controller's; the caller holds no lock.
func (w *world) call(ctx context.Context) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.calls++; w.dieAt != 0 && w.calls >= w.dieAt {
		return errDead
	}
	return ctx.Err()
}

func (w *world) Load(ctx context.Context) ([]byte, uint64, error) {
	return w.raw, w.version, w.call(ctx)
}

func (w *world) Save(ctx context.Context, raw []byte, version uint64) (uint64, error) {
	if err := w.call(ctx); err != nil {
		return 0, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if version != w.version {
		return 0, ErrSuperseded
	}
	w.raw = raw
	w.version++
	return w.version, nil
}

func (w *world) Order(ctx context.Context) (string, string, string, error) {
	if w.order == "" {
		return "", "", "", w.call(ctx)
	}
	return fmt.Sprint(w.orders), w.order, "somebody", w.call(ctx)
}

func (w *world) ClearOrder(ctx context.Context) error {
	if err := w.call(ctx); err != nil {
		return err
	}
	w.order = ""
	return nil
}

func (w *world) Unavailable(ctx context.Context) (Unavailable, error) {
	return Unavailable{}, w.call(ctx)
}

// Do checks that the action's intent is in the record, and the limits.
func (w *world) Do(ctx context.Context, a Action) (bool, error) {
	if err := w.call(ctx); err != nil {
		return false, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	s, err := Decode(w.raw)
	if err != nil {
		w.fail("%v", err)
		return false, err
	}
	i := slices.IndexFunc(s.Targets, func(t Target) bool { return t.Name == a.Target.Name })
	if s.Targets[i].Step != a.Step {
		w.fail("%s of %s is carried out, the record has %s", a.Step, a.Target.Name, s.Targets[i].Step)
	}
	how := fine
	if w.fails != nil {
		how = w.fails()
	}
	if how == undone {
		return false, errors.New("no answer")
	}
	err = w.carryOut(w.servers[a.Target.Name], a)
	w.count()
	if how == unsaid {
		return false, errors.New("no answer")
	}
	return err == nil, err
}

func (w *world) carryOut(is *server, a Action) error {
	switch a.Step {
	case Maintenance:
		is.maint = true
	case Replace:
		if !is.maint {
			w.fail("%s is replaced while it serves", is.Name)
		}
		if is.Version != a.Version {
			w.replaced++
		}
		is.Version = a.Version
	case Ready:
		if is.Version == w.bad {
			return errors.New("it does not come up")
		}
		if is.Version != a.Version {
			w.fail("%s has %s, not %s", is.Name, is.Version, a.Version)
		}
	case Restore:
		if is.Version != a.Version {
			w.fail("%s is registered as %s and has %s", is.Name, a.Version, is.Version)
		}
		is.maint = false
	}
	return nil
}

func (w *world) count() {
	out, zone := 0, map[string]int{}
	for _, s := range w.servers {
		if s.maint {
			out++
			zone[s.Zone]++
		}
	}
	for z, n := range zone {
		if out > w.plan.Limits.Total || w.plan.Limits.Zone > 0 && n > w.plan.Limits.Zone {
			w.fail("%d are out, %d of zone %s", out, n, z)
		}
	}
}

func (w *world) Counts(ctx context.Context, named []string) (map[string]Comparison, error) {
	n := w.calls // each look finds more
	those := Counts{Requests: 1000 * n}
	if w.worse {
		those.Failed = 300 * n
	}
	return map[string]Comparison{"n0": {those, Counts{Requests: 1000 * n}}}, w.call(ctx)
}

func newWorld(t interface{ Fatalf(string, ...any) }, n int, change func(*Plan)) *world {
	p := Default()
	p.Name, p.From, p.To, p.Soak, p.Limits = "r", "v1", "v2", 0, Limits{Total: 3, Zone: 2, Cell: 1}
	if change != nil {
		change(&p)
	}
	w := &world{t: t, plan: p, servers: map[string]*server{}}
	var all []Target
	for i := range n {
		one := Target{Name: fmt.Sprint("s", i), Zone: string(rune('a' + i%3)), Type: "m", Cell: i % 2, Version: p.From}
		all = append(all, one)
		w.servers[one.Name] = &server{Target: one}
	}
	s, err := New(p, all)
	if err != nil {
		t.Fatalf("%v", err)
	}
	if w.raw, err = Encode(s); err != nil {
		t.Fatalf("%v", err)
	}
	return w
}

// conduct runs controllers, each after the other's death, until the release rests; it gives the state then.
func (w *world) conduct(rounds int) *State {
	for range rounds {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute) // only a hang takes so long
		err := w.conductor().Run(ctx)
		cancel()
		s, e := Decode(w.raw)
		if e != nil {
			w.t.Fatalf("%v", e)
		}
		if w.wrong != "" {
			w.t.Fatalf("%s", w.wrong)
		}
		if err == nil {
			return s
		}
		if !errors.Is(err, errDead) {
			w.t.Fatalf("%v", err)
		}
		w.mu.Lock()
		w.dieAt = 0
		w.mu.Unlock()
	}
	w.t.Fatalf("no end")
	return nil
}

func (w *world) has(t *testing.T, version string) {
	t.Helper()
	for _, s := range w.servers {
		if s.Version != version || s.maint {
			t.Fatalf("%s has %s (maintenance %v), want %s", s.Name, s.Version, s.maint, version)
		}
	}
}

// TestEveryCrash: a controller dies at each call that it makes, of a good release, of
// one whose gate fails, and of one whose servers don't come up; the next brings it to its end.
func TestEveryCrash(t *testing.T) {
	for name, prepare := range map[string]func(*world){"good": func(*world) {}, "worse": func(w *world) { w.worse = true }, "bad": func(w *world) { w.bad = "v2" }} {
		calls := 0
		for at := 0; at == 0 || at <= calls; at++ {
			w := newWorld(t, 7, func(p *Plan) {
				p.Halt, p.Deadline.Ready = HaltRollBack, time.Second
				if name == "bad" {
					p.Limits = Limits{Total: 1}
				}
			})
			prepare(w)
			w.dieAt = at
			s := w.conduct(2)
			if at == 0 {
				calls = w.calls
			}
			if want := map[string]Phase{"good": Finished, "worse": RolledBack, "bad": RolledBack}[name]; s.Phase != want {
				t.Fatalf("%s, dead at call %d: %s, %s", name, at, s.Phase, s.HaltReason)
			}
			w.has(t, map[string]string{"good": "v2", "worse": "v1", "bad": "v1"}[name])
			if w.replaced > 2*len(w.servers) {
				t.Fatalf("%s, dead at call %d: %d replacements", name, at, w.replaced)
			}
		}
		t.Logf("%s: %d calls", name, calls)
		if calls < 20 {
			t.Errorf("%s makes %d calls only", name, calls)
		}
	}
}

// controller makes one whose clock goes on by a step with each of its calls.
func (w *world) conductor() *Controller {
	return &Controller{Store: w, Executor: w, Interval: time.Microsecond, Log: slog.New(slog.DiscardHandler), Clock: func() time.Duration {
		w.mu.Lock()
		defer w.mu.Unlock()
		return time.Duration(w.calls) * 10 * time.Millisecond
	}}
}

// TestDrawn: with failing actions, deaths and orders drawn, a release never has more
// out than it may, never carries out what is not on record, and comes to rest.
func TestDrawn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.IntRange(1, 12).Draw(t, "servers"), func(p *Plan) {
			p.Limits.Total = rapid.IntRange(1, 4).Draw(t, "out")
			p.Limits.Zone, p.Limits.Cell = min(p.Limits.Total, 2), 0
			p.Halt = rapid.SampledFrom([]string{HaltWait, HaltRollBack}).Draw(t, "halt")
		})
		w.worse = rapid.IntRange(0, 3).Draw(t, "worse") == 0
		failing := rapid.SliceOfN(rapid.SampledFrom([]failure{fine, fine, undone, unsaid}), 0, 60).Draw(t, "failing")
		w.fails = func() failure {
			if len(failing) == 0 {
				return fine
			}
			f := failing[0]
			failing = failing[1:]
			return f
		}
		orders := rapid.SliceOfN(rapid.SampledFrom([]string{"", OrderPause, OrderResume, OrderSkip, OrderRollBack, "dance"}), 0, 6).Draw(t, "orders")
		var s *State
		for _, o := range append(orders, OrderResume, OrderAbort) {
			w.orders++
			w.order, w.dieAt = o, w.calls+rapid.IntRange(1, 60).Draw(t, "dies after")
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			err := w.conductor().Run(ctx)
			cancel()
			if err != nil && !errors.Is(err, errDead) {
				t.Fatal(err)
			}
		}
		w.orders++
		w.dieAt, w.order = 0, OrderAbort
		s = w.conduct(1)
		for _, one := range w.servers {
			i := slices.IndexFunc(s.Targets, func(t Target) bool { return t.Name == one.Name })
			if one.maint || s.Targets[i].Version != one.Version {
				t.Fatalf("%s at the end of a %s release: maintenance %v, it has %s, the record %s", one.Name, s.Phase, one.maint, one.Version, s.Targets[i].Version)
			}
		}
	})
}

// TestSecondConductor: one that was followed can write nothing more.
func TestSecondConductor(t *testing.T) {
	w := newWorld(t, 3, nil)
	c := w.conductor()
	w.dieAt = 4
	if err := c.Run(context.Background()); !errors.Is(err, errDead) {
		t.Fatal(err)
	}
	w.dieAt = 0
	if s := w.conduct(1); s.Phase != Finished {
		t.Fatal(s.Phase)
	}
	if err := c.runRound(context.Background()); !errors.Is(err, ErrSuperseded) {
		t.Errorf("the first conductor goes on: %v", err)
	}
}

// TestSince: a proxy that began anew, and one that was not there, do not spoil the figures of others.
func TestSince(t *testing.T) {
	base := map[string]Comparison{"a": {Counts{100, 10, 5}, Counts{1000, 0, 0}}, "b": {Counts{500, 50, 0}, Counts{}}, "gone": {}}
	now := map[string]Comparison{"a": {Counts{150, 12, 5}, Counts{1300, 1, 0}}, "b": {Counts{20, 1, 1}, Counts{7, 0, 0}}, "new": {Counts{9999, 9999, 0}, Counts{}}}
	if those, rest := CountsSince(base, now); those != (Counts{70, 3, 1}) || rest != (Counts{307, 1, 0}) {
		t.Errorf("%+v and %+v", those, rest)
	}
}

// TestLargestRecord fits into one record of the registry, with all that a release may note.
func TestLargestRecord(t *testing.T) {
	long := strings.Repeat("x", 64)
	var all []Target
	for i := range MaxTargets {
		all = append(all, Target{Name: fmt.Sprint(long[:32], i), Address: "255.255.255.255:65535", Zone: long[:16], Type: long[:16], Cell: i, Version: "v1"})
	}
	p := Default()
	p.Name, p.From, p.To = "r", "v1", "v2"
	s, err := New(p, all)
	if err != nil {
		t.Fatal(err)
	}
	for i := range s.Targets {
		s.Targets[i].Reason, s.Targets[i].Since = long, time.Hour
	}
	for range maxNotes {
		s.addNote(time.Hour, "%s%s", long, long)
	}
	s.Baseline = map[string]Comparison{}
	for i := range 300 {
		s.Baseline[fmt.Sprint("node-", i)] = Comparison{Counts{1 << 30, 1 << 30, 1 << 30}, Counts{1 << 30, 1 << 30, 1 << 30}}
	}
	raw, err := Encode(s)
	if err != nil || len(raw) > registry.MaxRecordValueBytes {
		t.Errorf("%d bytes, %d at most; %v", len(raw), registry.MaxRecordValueBytes, err)
	}
}

func TestGate(t *testing.T) {
	g := Gate{MinRequests: 100, MaxFailedExcess: 0.02, MaxLateExcess: 0.05, IncidentThreshold: 0.1}
	for _, c := range []struct {
		those, rest Counts
		alone       bool
		want        Verdict
	}{
		{Counts{99, 0, 0}, Counts{1000, 0, 0}, false, Undecided}, {Counts{1000, 0, 0}, Counts{99, 0, 0}, false, Undecided},
		{Counts{100, 3, 0}, Counts{1000, 0, 0}, false, Pass}, {Counts{100, 12, 0}, Counts{1000, 0, 0}, false, Fail}, {Counts{10000, 260, 0}, Counts{1000, 0, 0}, false, Fail},
		{Counts{1000, 20, 0}, Counts{1000, 0, 0}, false, Pass}, {Counts{1000, 160, 0}, Counts{1000, 100, 0}, false, Fail}, {Counts{1000, 125, 0}, Counts{1000, 100, 0}, false, Pass},
		{Counts{1000, 200, 0}, Counts{1000, 150, 0}, false, Incident}, {Counts{1000, 0, 90}, Counts{1000, 0, 0}, false, Fail}, {Counts{1000, 0, 60}, Counts{1000, 0, 0}, false, Pass},
		{Counts{1000, 100, 0}, Counts{}, true, Pass}, {Counts{1000, 150, 0}, Counts{}, true, Fail}, {Counts{9, 0, 0}, Counts{}, true, Undecided},
	} {
		if got := g.Evaluate(c.those, c.rest, c.alone); got != c.want {
			t.Errorf("%+v beside %+v: %s, want %s", c.those, c.rest, got, c.want)
		}
	}
}

// TestChance: of gates over equally good parts hardly any fails; of those over a part
// that fails a quarter of its requests nearly all do, also with few requests.
func TestChance(t *testing.T) {
	chance := rand.New(rand.NewPCG(1, 1))
	draw := func(n int, p float64) (failed int) {
		for range n {
			if chance.Float64() < p {
				failed++
			}
		}
		return failed
	}
	g := Gate{MinRequests: 25, MaxFailedExcess: 0.01, MaxLateExcess: 0.05, IncidentThreshold: 0.9}
	const gates = 5000
	falsely, found := 0, 0
	for range gates {
		n := 40 + chance.IntN(400)
		rest := Counts{2000, draw(2000, 0.02), draw(2000, 0.05)}
		if g.Evaluate(Counts{n, draw(n, 0.02), draw(n, 0.05)}, rest, false) != Pass {
			falsely++
		}
		if g.Evaluate(Counts{n, draw(n, 0.25), draw(n, 0.05)}, rest, false) == Fail {
			found++
		}
	}
	if falsely > gates/500 || found < gates*97/100 {
		t.Errorf("of %d gates %d good ones fail, %d bad ones are found", gates, falsely, found)
	}
}

// TestBadPlans are told by their keys.
func TestBadPlans(t *testing.T) {
	for want, spoil := range map[string]func(*Plan){"name:": func(p *Plan) { p.Name = "" }, "to:": func(p *Plan) { p.To = p.From }, "limits.out": func(p *Plan) { p.Limits.Total = 0 },
		"limits.zone": func(p *Plan) { p.Limits.Zone = 9 }, "wave 1": func(p *Plan) { p.Waves = []Wave{{}} }, "wave:": func(p *Plan) { p.Waves = nil }, "halt:": func(p *Plan) { p.Halt = "" },
		"gate.failed": func(p *Plan) { p.Gate.MaxFailedExcess = 2 }, "deadline.ready": func(p *Plan) { p.Deadline.Ready = 0 }, "what.names": func(p *Plan) { p.Selector.Names = []string{"["} }} {
		p := Default()
		p.Name, p.From, p.To = "r", "v1", "v2"
		if err := p.Check(); err != nil {
			t.Fatal(err)
		}
		spoil(&p)
		if err := p.Check(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}
