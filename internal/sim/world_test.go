package sim

import (
	"errors"
	"math"
	"testing"
	"time"

	"wrenspread/internal/registry"
)

// recorder notes what it is given and when, by its own clock.
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

func pair(seed uint64) (w *World, a, b *Host) {
	w = New(seed)
	start := func(time.Duration) Actor { return &recorder{wake: time.Second} }
	return w, w.Add("a", start), w.Add("b", start)
}

// A process counts by its own clock, which is off the true one by the stated drift at most.
func TestClocks(t *testing.T) {
	apart := 0.0
	for seed := uint64(1); seed <= 20; seed++ {
		w, a, _ := pair(seed)
		w.RunTo(1000 * time.Second)
		r := a.Actor().(*recorder)
		for i := 1; i < len(r.at); i++ {
			if d := r.at[i] - r.at[i-1]; d < time.Second || d > time.Second+10*time.Nanosecond {
				t.Fatalf("a tick after %v of the process's clock", d)
			}
		}
		off := math.Abs(float64(len(r.at)-1)/1000 - 1)
		if off > MaxClockDrift+0.0011 {
			t.Fatalf("seed %d: %d ticks in 1,000 s", seed, len(r.at)-1)
		}
		apart = max(apart, off)
	}
	if apart < MaxClockDrift/2 {
		t.Errorf("no clock is off by more than %v", apart)
	}
}

// What comes for a process that stands still waits, up to a socket's buffer; a later process gets none of it.
func TestStillAndAgain(t *testing.T) {
	w, a, b := pair(1)
	w.RunTo(500 * time.Millisecond)
	b.Pause()
	for range 1000 {
		w.Inject("a", "b", []byte("x"))
	}
	w.RunTo(5 * time.Second)
	if n := len(b.Actor().(*recorder).events); n != 1 {
		t.Fatalf("it was given %d events while it stood still", n)
	}
	b.Resume()
	w.RunTo(5*time.Second + time.Millisecond)
	if n := len(b.Actor().(*recorder).events); n != 1+maxPendingDatagrams+1 {
		t.Errorf("woken, it had %d events; want its start, %d datagrams and a tick", n, maxPendingDatagrams)
	}
	if b.LostDatagrams != 1000-maxPendingDatagrams {
		t.Errorf("%d were lost", b.LostDatagrams)
	}
	w.Inject("b", "a", []byte("x"))
	a.Pause()
	w.RunTo(6 * time.Second)
	a.Start()
	w.RunTo(6*time.Second + time.Millisecond)
	if r := a.Actor().(*recorder); len(r.events) != 1 || a.ProcessNumber() != 2 {
		t.Errorf("started anew, it was given %d events in life %d", len(r.events), a.ProcessNumber())
	}
}

func TestLinks(t *testing.T) {
	w, _, b := pair(1)
	wrong := w.Net.AddFault(func(from, to string) bool { return from == "a" && to == "b" }, CutLink)
	other := w.Net.AddFault(func(string, string) bool { return true }, func(l *Link) { l.Loss, l.Duplicate = 0.5, 0.5 })
	count := func() int {
		before := len(b.Actor().(*recorder).events)
		for range 1000 {
			w.Inject("a", "b", nil)
		}
		w.RunTo(w.Now() + 10*time.Millisecond)
		return len(b.Actor().(*recorder).events) - before
	}
	if n := count(); n != 0 {
		t.Errorf("%d arrived over a link that was cut", n)
	}
	w.Net.RemoveFault(wrong)
	if n := count(); n < 700 || n > 800 {
		t.Errorf("%d of 1,000 arrived, where half is lost and half of the rest comes twice", n)
	}
	w.Net.RemoveFault(other)
	if n := count(); n != 1000 {
		t.Errorf("%d of 1,000 arrived over a good link", n)
	}
}

// A command whose answer is cut off is carried out, and the caller is told that it can't know.
func TestLostAnswer(t *testing.T) {
	w, a, _ := pair(1)
	s := w.AddService()
	w.Net.AddFault(func(from, _ string) bool { return from == ServiceName }, CutLink)
	w.call(a, Call{Command: &registry.Command{Op: registry.OpPutRecord, Name: "k", Value: []byte("1")}})
	w.RunTo(CallTimeout + time.Millisecond)
	if _, there := s.State().Record("k"); !there {
		t.Error("the command was not carried out")
	}
	var answers []Answer
	for _, e := range a.Actor().(*recorder).events {
		if x, ok := e.(Answer); ok {
			answers = append(answers, x)
		}
	}
	if len(answers) != 1 || !answers[0].Lost {
		t.Errorf("the caller was told %+v", answers)
	}
}

// A schedule is cut down to the faults that break the check.
func TestShrink(t *testing.T) {
	kinds := []FaultKind{Pause, CutOff, Lossy}
	p := Play{Names: []string{"a", "b"}, Kinds: kinds, MaxFaults: 30, FaultWindow: 10 * time.Second, RecoveryTime: time.Second, CheckInterval: time.Second, Build: func(w *World) []Check {
		start := func(time.Duration) Actor { return &recorder{wake: time.Second} }
		a, _ := w.Add("a", start), w.Add("b", start)
		still, cut := false, false
		return []Check{{Name: "never both", Throughout: func() error {
			still, cut = still || a.Paused(), cut || !w.Net.Reaches("a", "b")
			if still && cut {
				return errors.New("it was both")
			}
			return nil
		}}}
	}}
	for seed := uint64(1); seed < 20; seed++ {
		faults := p.Faults(seed)
		_, b := p.Run(seed, faults)
		if b == nil {
			continue
		}
		if least := p.Shrink(seed, faults, b.Check); len(least) != 2 {
			t.Fatalf("seed %d: of %d faults %v are left", seed, len(faults), least)
		}
	}
}
