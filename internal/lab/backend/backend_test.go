package backend

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "wrenspread/internal/rapidseed"

	"wrenspread/internal/lab/world"
)

// drawTestMachine draws the machine of a backend.
func drawTestMachine(t *rapid.T) world.Machine {
	seed := rapid.Uint64().Draw(t, "seed")
	m := world.Draw(seed, 1, 1).Machines[0]
	return m
}

// TestEveryJobBeginsAndEndsAtMostOnce: whatever happens to a backend, a job begins at most once and is
// answered once. The backend does no more work than its machine can, and no key begins again for a job that
// arrived within the window.
func TestEveryJobBeginsAndEndsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawTestMachine(t)
		m.ErrorRate = 0
		const window = 1250 * time.Millisecond
		b := New(m, NewPod(window), 1, 0, rapid.Bool().Draw(t, "cold"))
		begun, ended := map[uint64]bool{}, map[uint64]bool{}
		work := map[uint64]time.Duration{}
		var now, finished time.Duration
		crashed := false
		keys, arrivedAt := map[uint64]string{}, map[uint64]time.Duration{}
		lastBegun := -time.Hour // when the key "k" last began, or a short time before that
		var previous time.Duration
		check := func(actions []Action) {
			for _, a := range actions {
				switch {
				case a.Kind == Crashed:
					crashed = true
				case a.Kind == Begun && (begun[a.Num] || ended[a.Num]):
					t.Fatalf("job %d begins twice, or after its end", a.Num)
				case a.Kind == Begun:
					begun[a.Num] = true
					if keys[a.Num] == "" {
						continue
					}
					if arrivedAt[a.Num] <= lastBegun+window {
						t.Fatalf("the key begins again for job %d, which arrived %v after it began", a.Num, arrivedAt[a.Num]-lastBegun)
					}
					lastBegun = previous
				case (a.Kind == Done || a.Kind == Rejected) && ended[a.Num]:
					t.Fatalf("job %d ends twice", a.Num)
				case a.Kind == Done || a.Kind == Rejected:
					ended[a.Num] = true
					if begun[a.Num] && a.Status == 200 {
						finished += work[a.Num]
					}
				}
			}
		}
		n := rapid.IntRange(1, 200).Draw(t, "events")
		for i := range uint64(n) {
			previous = now
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				check(b.Cancel(now, rapid.Uint64Range(0, i).Draw(t, "num")))
			case 1:
				check(b.SetDegradation(now, Degradation{Hangs: rapid.Bool().Draw(t, "hangs"), Slower: 2, FailShare: rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "fails")}))
			default:
				work[i] = time.Duration(rapid.IntRange(1, 300).Draw(t, "work")) * time.Millisecond
				keys[i], arrivedAt[i] = rapid.SampledFrom([]string{"", "", "k"}).Draw(t, "key"), now
				check(b.Arrive(now, Job{Num: i, Work: work[i], Key: keys[i]}, 0))
			}
			if b.JobCount() > m.Slots+m.Queue {
				t.Fatalf("%d jobs in %d slots and %d queue places", b.JobCount(), m.Slots, m.Queue)
			}
		}
		if limit := time.Duration(m.Capacity() * float64(now)); finished > limit+time.Microsecond {
			t.Fatalf("%v of work done in %v, want %v at most", finished, now, limit)
		}
		check(b.SetDegradation(now, Degradation{}))
		check(b.Tick(now + time.Hour))
		if !crashed && b.JobCount() > 0 {
			t.Fatalf("%d jobs never end", b.JobCount())
		}
	})
}

// TestNumberOfTicksDoesNotChangeTheWorkDone: the number of Tick calls does not change when the work is done.
func TestNumberOfTicksDoesNotChangeTheWorkDone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawTestMachine(t)
		finishTime := func(ticks []time.Duration) time.Duration {
			b := New(m, NewPod(time.Second), 1, 0, false)
			for i := range uint64(3) {
				b.Arrive(time.Duration(i)*time.Millisecond, Job{Num: i, Work: 50 * time.Millisecond}, 0)
			}
			for _, at := range ticks {
				b.Tick(at)
			}
			for b.JobCount() > 0 {
				b.Tick(b.Next())
			}
			return b.now
		}
		var ticks []time.Duration
		at := 3 * time.Millisecond
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			at += time.Duration(rapid.IntRange(0, 3000).Draw(t, "us")) * time.Microsecond
			ticks = append(ticks, at)
		}
		a, b := finishTime(nil), finishTime(ticks)
		if len(ticks) > 0 && ticks[len(ticks)-1] > a {
			return // the last tick came after the end
		}
		if d := a - b; d > time.Microsecond || d < -time.Microsecond {
			t.Fatalf("done at %v, and at %v with additional ticks", a, b)
		}
	})
}

// TestColdBackendWarmsUpAndFallsOnlyWhenOverloaded: a cold backend begins at its share of capacity, is warm
// in time, and crashes under too much work, but not under what the rule allows.
func TestColdBackendWarmsUpAndFallsOnlyWhenOverloaded(t *testing.T) {
	for seed := range uint64(50) {
		m := world.Draw(seed, 1, 1).Machines[0]
		b := New(m, NewPod(time.Second), seed, 0, true)
		if got := b.Capacity(0) / m.Capacity(); got < world.ColdFrom || got > 0.33 {
			t.Errorf("seed %d: the backend begins at %.2f of its capacity", seed, got)
		}
		b.Tick(m.ColdTime)
		if got := b.Capacity(m.ColdTime); got != m.Capacity() || m.ColdTime > world.ColdTime {
			t.Errorf("seed %d: after %v the backend has capacity %.2f of %.2f", seed, m.ColdTime, got, m.Capacity())
		}
		for multiple, want := range map[float64]bool{2.5: false, 6: true} {
			if got := fallsUnderLoad(m, seed, multiple); got != want {
				t.Errorf("seed %d: under %v times its capacity the backend crashes: %v", seed, multiple, got)
			}
		}
	}
}

// fallsUnderLoad sends a cold backend the given multiple of its capacity for three seconds, and reports
// whether it crashes.
func fallsUnderLoad(m world.Machine, seed uint64, multiple float64) bool {
	b := New(m, NewPod(time.Second), seed, 0, true)
	const work = 10 * time.Millisecond
	for now, i := time.Duration(0), uint64(0); now < 3*time.Second; i++ {
		for _, a := range b.Arrive(now, Job{Num: i, Work: work}, 0) {
			if a.Kind == Crashed {
				return true
			}
		}
		now += time.Duration(float64(work) / (multiple * b.Capacity(now)))
	}
	return false
}
