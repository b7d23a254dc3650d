// Package measure measures the lab itself: its emulated backends, for comparison with the brief's figures,
// the delay that its links add, and the load that it can generate before it is late.
package measure

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"wrenspread/internal/besteffort"
	"wrenspread/internal/lab/backend"
	"wrenspread/internal/lab/world"
)

// KindFigures holds the mean figures of the drawn backends whose machines are of one kind.
type KindFigures struct {
	Name          string
	Count         int
	Stated        float64 // cores times speed: work per second, in seconds on a standard core
	Measured      float64 // work per second with one job per core
	PausedShare   float64 // share of the time for which the backend pauses, as drawn
	FullRatio     float64 // work per second with all slots in use, divided by Measured
	Cold          float64 // capacity at a cold start, divided by Stated
	Half          float64 // capacity after half of the warm-up time without work, divided by Stated
	WarmIdle      float64 // seconds until a cold backend is warm, without work
	WarmBusy      float64 // seconds until a cold backend is warm, under work
	CrashMultiple float64 // least multiple of its capacity under which a cold backend crashes
}

// Backends draws n backends and measures them. It returns the means for each kind of machine.
func Backends(n int) []KindFigures {
	byName := map[string]*KindFigures{}
	var order []string
	for seed := range uint64(n) {
		m := world.Draw(seed, 1, 1).Machines[0]
		k := byName[m.Kind]
		if k == nil {
			k = &KindFigures{Name: m.Kind}
			byName[m.Kind] = k
			order = append(order, m.Kind)
		}
		k.add(m, seed)
	}
	var means []KindFigures
	for _, name := range order {
		k := byName[name]
		for _, v := range []*float64{
			&k.Stated, &k.Measured, &k.PausedShare, &k.FullRatio, &k.Cold, &k.Half, &k.WarmIdle, &k.WarmBusy,
			&k.CrashMultiple,
		} {
			*v /= float64(k.Count)
		}
		means = append(means, *k)
	}
	return means
}

// add measures a backend on one machine, and adds its figures to the sums.
func (k *KindFigures) add(m world.Machine, seed uint64) {
	const duration = 2 * time.Minute
	busy := workRate(m, seed, m.Cores, duration)
	k.Count++
	k.Stated += m.Capacity()
	k.Measured += busy
	k.PausedShare += m.Pause.Seconds() / (m.PauseEvery + m.Pause).Seconds()
	k.FullRatio += workRate(m, seed, m.Slots, duration) / busy
	b := backend.New(m, backend.NewPod(time.Second), seed, 0, true)
	k.Cold += b.Capacity(0) / m.Capacity()
	k.Half += b.Capacity(m.ColdTime/2) / m.Capacity()
	k.WarmIdle += m.ColdTime.Seconds()
	k.WarmBusy += warmUpTime(m, seed).Seconds()
	k.CrashMultiple += crashMultiple(m, seed)
}

const (
	jobWork      = 50 * time.Millisecond
	tickInterval = 5 * time.Millisecond
)

// keepBusy keeps the given number of jobs at a backend until a time or until stop returns true, and returns
// the work done.
func keepBusy(
	b *backend.Backend,
	jobs int,
	until time.Duration,
	stop func(now time.Duration) bool,
) (done time.Duration) {
	inFlight, num := 0, uint64(0)
	for now := time.Duration(0); now < until && !stop(now); now = min(now+tickInterval, max(now+1, b.Next())) {
		actions := b.Tick(now)
		for {
			for _, action := range actions {
				if action.Kind == backend.Done {
					inFlight--
					done += jobWork
				}
			}
			if inFlight >= jobs {
				break
			}
			inFlight, num = inFlight+1, num+1
			actions = b.Arrive(now, backend.Job{Num: num, Work: jobWork}, 0)
		}
	}
	return done
}

// workRate returns the work per second of a warm backend that always has the given number of jobs.
func workRate(m world.Machine, seed uint64, jobs int, duration time.Duration) float64 {
	m.Overload, m.ErrorRate = world.Overload{}, 0
	b := backend.New(m, backend.NewPod(time.Second), seed, 0, false)
	return keepBusy(b, jobs, duration, func(time.Duration) bool { return false }).Seconds() / duration.Seconds()
}

// warmUpTime returns how long a cold backend under work takes to become warm.
func warmUpTime(m world.Machine, seed uint64) time.Duration {
	m.Overload, m.ErrorRate = world.Overload{}, 0
	b := backend.New(m, backend.NewPod(time.Second), seed, 0, true)
	var warm time.Duration
	keepBusy(b, m.Cores, time.Minute, func(now time.Duration) bool {
		warm = now
		return b.Capacity(now) >= m.Capacity()
	})
	return warm
}

// crashMultiple returns the least multiple of its capacity at each time under which a cold backend crashes
// within 2 s, or 8 if it does not crash under less.
func crashMultiple(m world.Machine, seed uint64) float64 {
	const work = 5 * time.Millisecond
	for multiple := 2.0; multiple < 8; multiple += 0.1 {
		b := backend.New(m, backend.NewPod(time.Second), seed, 0, true)
		for now, i := time.Duration(0), uint64(0); now < 2*time.Second; i++ {
			for _, action := range b.Arrive(now, backend.Job{Num: i, Work: work}, 0) {
				if action.Kind == backend.Crashed {
					return multiple
				}
			}
			now += time.Duration(float64(work) / (multiple * b.Capacity(now)))
		}
	}
	return 8
}

// WriteBackends writes the kinds as a table.
func WriteBackends(w io.Writer, kinds []KindFigures) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	besteffort.Output(
		fmt.Fprintln(
			t,
			"kind\tdrawn\tstated\tmeasured\tstill\tslots full\tcold\tat half time\twarm idle\twarm busy\tfalls at\t",
		),
	)
	for _, k := range kinds {
		besteffort.Output(
			fmt.Fprintf(
				t,
				"%s\t%d\t%.3f\t%.3f\t%.1f%%\t%.2f\t%.2f\t%.2f\t%.1f s\t%.1f s\t%.1f x\t\n",
				k.Name,
				k.Count,
				k.Stated,
				k.Measured,
				100*k.PausedShare,
				k.FullRatio,
				k.Cold,
				k.Half,
				k.WarmIdle,
				k.WarmBusy,
				k.CrashMultiple,
			),
		)
	}
	return t.Flush()
}
