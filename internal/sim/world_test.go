package sim

import (
	"errors"
	"math"
	"testing"
	"time"

	"wrenspread/internal/registry"
)

// recorder records its events and their times by its host's clock, and wakes regularly.
type recorder struct {
	now    time.Duration
	events []Event
	at     []time.Duration
	wake   time.Duration
}

func (r *recorder) Handle(now time.Duration, e Event) []Effect {
	r.now, r.events, r.at = now, append(r.events, e), append(r.at, now)
	switch e.(type) {
	case Started, Tick:
		return []Effect{Wake{After: r.wake}}
	}
	return nil
}

// recorderPair returns a world with two hosts a and b that run recorders.
func recorderPair(seed uint64) (w *World, a, b *Host) {
	w = New(seed)
	start := func(time.Duration) Actor { return &recorder{wake: time.Second} }
	return w, w.Add("a", start), w.Add("b", start)
}

// TestClockRateStaysWithinMaxDrift: timers run by the host's own clock. Its rate differs from true time by at
// most MaxClockDrift, and for some host by more than half of that.
func TestClockRateStaysWithinMaxDrift(t *testing.T) {
	maxDeviation := 0.0
	for seed := uint64(1); seed <= 20; seed++ {
		w, a, _ := recorderPair(seed)
		w.RunTo(1000 * time.Second)
		r := a.Actor().(*recorder)
		for i := 1; i < len(r.at); i++ {
			if d := r.at[i] - r.at[i-1]; d < time.Second || d > time.Second+10*time.Nanosecond {
				t.Fatalf("a tick after %v of the host's clock, want 1 s", d)
			}
		}
		deviation := math.Abs(float64(len(r.at)-1)/1000 - 1)
		if deviation > MaxClockDrift+0.0011 {
			t.Fatalf("seed %d: %d ticks in 1,000 s, want 1,000 within the drift", seed, len(r.at)-1)
		}
		maxDeviation = max(maxDeviation, deviation)
	}
	if maxDeviation < MaxClockDrift/2 {
		t.Errorf("no clock deviates by more than %v", maxDeviation)
	}
}

// TestPausedProcessBuffersDatagramsAndRestartedOneDoesNot: events for a paused process wait until Resume,
// datagrams up to the size of the socket buffer. A process that is started on the same host later gets none
// of these events.
func TestPausedProcessBuffersDatagramsAndRestartedOneDoesNot(t *testing.T) {
	w, a, b := recorderPair(1)
	w.RunTo(500 * time.Millisecond)
	b.Pause()
	for range 1000 {
		w.Inject("a", "b", []byte("x"))
	}
	w.RunTo(5 * time.Second)
	if n := len(b.Actor().(*recorder).events); n != 1 {
		t.Fatalf("the paused process had %d events, want only its start", n)
	}
	b.Resume()
	w.RunTo(5*time.Second + time.Millisecond)
	if n := len(b.Actor().(*recorder).events); n != 1+maxPendingDatagrams+1 {
		t.Errorf("the resumed process had %d events; want its start, %d datagrams and a tick", n, maxPendingDatagrams)
	}
	if b.LostDatagrams != 1000-maxPendingDatagrams {
		t.Errorf("%d datagrams were lost, want those of 1,000 that do not fit into the socket buffer", b.LostDatagrams)
	}
	w.Inject("b", "a", []byte("x"))
	a.Pause()
	w.RunTo(6 * time.Second)
	a.Start()
	w.RunTo(6*time.Second + time.Millisecond)
	if r := a.Actor().(*recorder); len(r.events) != 1 || a.ProcessNumber() != 2 {
		t.Errorf("the new process had %d events, want only its start; its number is %d, want 2", len(r.events), a.ProcessNumber())
	}
}

// TestLinkFaultsCutLoseAndDuplicate: over a cut link nothing arrives. With a loss of half and a duplication
// of half about 750 of 1,000 datagrams arrive, and without faults all do.
func TestLinkFaultsCutLoseAndDuplicate(t *testing.T) {
	w, _, b := recorderPair(1)
	cutFault := w.Net.AddFault(func(from, to string) bool { return from == "a" && to == "b" }, CutLink)
	lossFault := w.Net.AddFault(func(string, string) bool { return true }, func(l *Link) { l.Loss, l.Duplicate = 0.5, 0.5 })
	count := func() int {
		before := len(b.Actor().(*recorder).events)
		for range 1000 {
			w.Inject("a", "b", nil)
		}
		w.RunTo(w.Now() + 10*time.Millisecond)
		return len(b.Actor().(*recorder).events) - before
	}
	if n := count(); n != 0 {
		t.Errorf("%d datagrams arrived over a cut link", n)
	}
	w.Net.RemoveFault(cutFault)
	if n := count(); n < 700 || n > 800 {
		t.Errorf("%d datagrams arrived, want 700 to 800 of 1,000 with half lost and half of the rest duplicated", n)
	}
	w.Net.RemoveFault(lossFault)
	if n := count(); n != 1000 {
		t.Errorf("%d of 1,000 datagrams arrived over a link without faults", n)
	}
}

// TestCommandWithLostAnswerIsCarriedOut: if the link back from the registry is cut, a command is carried out
// and the caller gets one answer, which is marked as lost.
func TestCommandWithLostAnswerIsCarriedOut(t *testing.T) {
	w, a, _ := recorderPair(1)
	s := w.AddService()
	w.Net.AddFault(func(from, _ string) bool { return from == ServiceName }, CutLink)
	w.call(a, Call{Command: &registry.Command{Op: registry.OpPutRecord, Name: "k", Value: []byte("1")}})
	w.RunTo(CallTimeout + time.Millisecond)
	if _, found := s.State().Record("k"); !found {
		t.Error("the command was not carried out")
	}
	var answers []Answer
	for _, e := range a.Actor().(*recorder).events {
		if x, ok := e.(Answer); ok {
			answers = append(answers, x)
		}
	}
	if len(answers) != 1 || !answers[0].Lost {
		t.Errorf("the caller got the answers %+v, want one that is lost", answers)
	}
}

// TestShrinkLeavesOnlyTheNeededFaults: Shrink reduces a schedule to the two faults that are needed for the
// violation.
func TestShrinkLeavesOnlyTheNeededFaults(t *testing.T) {
	kinds := []FaultKind{Pause, CutOff, Lossy}
	p := Play{Names: []string{"a", "b"}, Kinds: kinds, MaxFaults: 30, FaultWindow: 10 * time.Second, RecoveryTime: time.Second, CheckInterval: time.Second, Build: func(w *World) []Check {
		start := func(time.Duration) Actor { return &recorder{wake: time.Second} }
		a, _ := w.Add("a", start), w.Add("b", start)
		paused, cut := false, false
		return []Check{{Name: "never both", Throughout: func() error {
			paused, cut = paused || a.Paused(), cut || !w.Net.Reaches("a", "b")
			if paused && cut {
				return errors.New("a was paused and its link to b was cut")
			}
			return nil
		}}}
	}}
	for seed := uint64(1); seed < 20; seed++ {
		faults := p.Faults(seed)
		_, violation := p.Run(seed, faults)
		if violation == nil {
			continue
		}
		if needed := p.Shrink(seed, faults, violation.Check); len(needed) != 2 {
			t.Fatalf("seed %d: of %d faults %v are left, want two", seed, len(faults), needed)
		}
	}
}
