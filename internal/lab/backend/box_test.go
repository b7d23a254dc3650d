package backend

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "wrenspread/internal/rapidseed"

	"wrenspread/internal/lab/world"
)

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
		begun, over := map[uint64]bool{}, map[uint64]bool{}
		work := map[uint64]time.Duration{}
		var now, finished time.Duration
		fell := false
		keys, came := map[uint64]string{}, map[uint64]time.Duration{}
		lastBegun := -time.Hour // time at which the key "k" last began, or a little before
		var previous time.Duration
		see := func(outs []Action) {
			for _, o := range outs {
				switch {
				case o.Kind == Fell:
					fell = true
				case o.Kind == Begun && (begun[o.Num] || over[o.Num]):
					t.Fatalf("job %d begins twice, or after its end", o.Num)
				case o.Kind == Begun:
					begun[o.Num] = true
					if keys[o.Num] == "" {
						continue
					}
					if came[o.Num] <= lastBegun+window {
						t.Fatalf("the key begins again for job %d, which came %v after it began", o.Num, came[o.Num]-lastBegun)
					}
					lastBegun = previous
				case (o.Kind == Done || o.Kind == Rejected) && over[o.Num]:
					t.Fatalf("job %d ends twice", o.Num)
				case o.Kind == Done || o.Kind == Rejected:
					over[o.Num] = true
					if begun[o.Num] && o.Status == 200 {
						finished += work[o.Num]
					}
				}
			}
		}
		n := rapid.IntRange(1, 200).Draw(t, "events")
		for i := range uint64(n) {
			previous = now
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				see(b.Cancel(now, rapid.Uint64Range(0, i).Draw(t, "num")))
			case 1:
				see(b.SetDegradation(now, Degradation{Hangs: rapid.Bool().Draw(t, "hangs"), Slower: 2, Fails: rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "fails")}))
			default:
				work[i] = time.Duration(rapid.IntRange(1, 300).Draw(t, "work")) * time.Millisecond
				keys[i], came[i] = rapid.SampledFrom([]string{"", "", "k"}).Draw(t, "key"), now
				see(b.Arrive(now, Job{Num: i, Work: work[i], Key: keys[i]}, 0))
			}
			if b.JobCount() > m.Slots+m.Queue {
				t.Fatalf("%d jobs in %d slots and %d queue places", b.JobCount(), m.Slots, m.Queue)
			}
		}
		if limit := time.Duration(m.Capacity() * float64(now)); finished > limit+time.Microsecond {
			t.Fatalf("%v of work in %v, %v at most", finished, now, limit)
		}
		see(b.SetDegradation(now, Degradation{}))
		see(b.Tick(now + time.Hour))
		if !fell && b.JobCount() > 0 {
			t.Fatalf("%d jobs never end", b.JobCount())
		}
	})
}

// TestNumberOfTicksDoesNotChangeTheWorkDone: the number of Tick calls does not change when the work is done.
func TestNumberOfTicksDoesNotChangeTheWorkDone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawTestMachine(t)
		play := func(steps []time.Duration) time.Duration {
			b := New(m, NewPod(time.Second), 1, 0, false)
			for i := range uint64(3) {
				b.Arrive(time.Duration(i)*time.Millisecond, Job{Num: i, Work: 50 * time.Millisecond}, 0)
			}
			for _, at := range steps {
				b.Tick(at)
			}
			for b.JobCount() > 0 {
				b.Tick(b.Next())
			}
			return b.now
		}
		var steps []time.Duration
		at := 3 * time.Millisecond
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			at += time.Duration(rapid.IntRange(0, 3000).Draw(t, "us")) * time.Microsecond
			steps = append(steps, at)
		}
		a, b := play(nil), play(steps)
		if len(steps) > 0 && steps[len(steps)-1] > a {
			return // the last tick came after the end
		}
		if d := a - b; d > time.Microsecond || d < -time.Microsecond {
			t.Fatalf("done at %v, and at %v with additional ticks", a, b)
		}
	})
}

// TestColdBackendWarmsUpAndFallsOnlyWhenOverloaded: a cold backend begins at its share of capacity, is warm
// in time, and falls over under too much work, but not under what the rule allows.
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
		for times, want := range map[float64]bool{2.5: false, 6: true} {
			if got := fallsUnderLoad(m, seed, times); got != want {
				t.Errorf("seed %d: under %v times its capacity the backend falls over: %v", seed, times, got)
			}
		}
	}
}

// fallsUnderLoad sends a cold backend the given multiple of its capacity for three seconds, and reports
// whether it falls over.
func fallsUnderLoad(m world.Machine, seed uint64, times float64) bool {
	b := New(m, NewPod(time.Second), seed, 0, true)
	const work = 10 * time.Millisecond
	for now, i := time.Duration(0), uint64(0); now < 3*time.Second; i++ {
		for _, o := range b.Arrive(now, Job{Num: i, Work: work}, 0) {
			if o.Kind == Fell {
				return true
			}
		}
		now += time.Duration(float64(work) / (times * b.Capacity(now)))
	}
	return false
}
